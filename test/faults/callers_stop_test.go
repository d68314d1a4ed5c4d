package faults

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/config"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
	"github.com/foxtailpass/foxtailpass/test/harness"
)

const (
	// stopLag is how long a stopping host still accepts requests.
	stopLag = 600 * time.Millisecond
	// balancerLag is the interval at which the balancer reads the readiness of a host. It is the longest delay
	// after which the balancer reacts to a change.
	balancerLag = 400 * time.Millisecond
)

// balancer sends every request once, to a host that was ready when the balancer last checked it. It keeps idle
// connections, as load balancers do.
type balancer struct {
	hosts  []*harness.Host
	ready  []atomic.Bool
	client *http.Client
	next   atomic.Int64
}

func newBalancer(t *testing.T, s *harness.Site) *balancer {
	b := &balancer{hosts: s.Hosts, ready: make([]atomic.Bool, len(s.Hosts)), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}}
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range b.ready {
		b.ready[i].Store(true)
		wg.Go(func() {
			for ctx.Err() == nil {
				time.Sleep(balancerLag)
				b.ready[i].Store(isReady(b.hosts[i]))
			}
		})
	}
	t.Cleanup(func() { stop(); wg.Wait(); b.client.CloseIdleConnections() })
	return b
}

func isReady(h *harness.Host) bool {
	resp, err := http.Get("http://" + h.Settings.OperatorAddr + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// do sends a request without any retry. The HTTP client does not retry either, because the body cannot be
// sent again.
func (b *balancer) do(r harness.Request) harness.Answer {
	for range 1000 {
		i := int(b.next.Add(1)) % len(b.hosts)
		if !b.ready[i].Load() {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		return b.hosts[i].DoWithClient(ctx, b.client, r)
	}
	return harness.Answer{Err: fmt.Errorf("no host is ready")}
}

// TestCallersRollingRestart guards against a planned stop that cuts requests short. Under load, all hosts are
// stopped and started again one after the other.
func TestCallersRollingRestart(t *testing.T) {
	s := startSite(t, func(o *harness.Options) {
		o.StopLag = stopLag
		setTokenInterval(o, 2*time.Millisecond)
	})
	key, _ := s.Key("clerks")
	awaitServed(s, key, "warm")
	b := newBalancer(t, s)
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var sent atomic.Int64
	for i := range 12 {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				marker := fmt.Sprint("r", i, "-", n)
				sent.Add(1)
				switch i % 4 {
				case 0:
					if a := b.do(order(key, marker)); a.Status != 200 || s.Services[0].Runs(marker) != 1 {
						t.Errorf("order: status %d, code %q, err %v, runs %d, want status 200 and one run", a.Status, a.Code, a.Err, s.Services[0].Runs(marker))
					}
				case 1:
					checkOwnAnswer(t, s, b.do(chat(key, "warm", marker, 200, true, 0)), "warm", marker, 200)
				default:
					checkOwnAnswer(t, s, b.do(chat(key, "warm", marker, 5, i%4 == 2, 0)), "warm", marker, 5)
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	for i, h := range s.Hosts {
		h.Terminate()
		if code := h.WaitExit(15 * time.Second); code != 0 {
			t.Errorf("host %d ended with exit code %d, want 0", i+1, code)
		}
		h.Start()
		h.WaitReady()
		// The balancer must observe that the host is ready before the next host stops.
		time.Sleep(2 * balancerLag)
	}
	stop()
	wg.Wait()
	t.Logf("%d requests", sent.Load())
}

// TestCallersStopFinishesQueuedRequests guards against a stop that drops requests which wait for a load or run
// for a long time. The host must finish them before its process ends.
func TestCallersStopFinishesQueuedRequests(t *testing.T) {
	s := startSite(t, func(o *harness.Options) {
		o.StopLag = 100 * time.Millisecond
		setTokenInterval(o, 5*time.Millisecond)
		for i := range o.Engines {
			o.Engines[i].LoadTimes.Remote = 1500 * time.Millisecond
		}
	})
	key, _ := s.Key("clerks")
	awaitServed(s, key, "warm")
	h := s.Hosts[0]
	stream := openStream(t, h, chat(key, "warm", "open", 300, true, 0))
	queued := make(chan []harness.Answer, 1)
	go func() {
		queued <- burst(8, func(i int) harness.Answer {
			return h.Do(chat(key, "cold", fmt.Sprint("q", i), 20, i%2 == 0, 0))
		})
	}()
	time.Sleep(200 * time.Millisecond)
	h.Terminate()
	for i, a := range <-queued {
		checkOwnAnswer(t, s, a, "cold", fmt.Sprint("q", i), 20)
	}
	checkOwnAnswer(t, s, <-stream, "warm", "open", 300)
	if code := h.WaitExit(10 * time.Second); code != 0 {
		t.Errorf("exit code %d, want 0", code)
	}
}

// TestCallersSecondSignalAborts guards against a second SIGTERM that does not end the process at once. It covers
// both phases of a stop: the stop lag, in which the host still accepts requests, and the time in which the host only
// finishes the running ones.
func TestCallersSecondSignalAborts(t *testing.T) {
	for name, lag := range map[string]time.Duration{"in the lag": 20 * time.Second, "while requests finish": 50 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			s := startSite(t, func(o *harness.Options) {
				o.StopLag = lag
				setTokenInterval(o, longStreamInterval)
			})
			key, _ := s.Key("clerks")
			awaitServed(s, key, "warm")
			h := s.Hosts[0]
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			resp, err := h.Open(ctx, chat(key, "warm", "open", longStreamTokens, true, 0))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = resp.Body.Close() }()
			_, _ = io.ReadFull(resp.Body, make([]byte, 1))
			h.Terminate()
			time.Sleep(300 * time.Millisecond)
			if !h.Running() {
				t.Fatal("the first signal ended a process with a running request")
			}
			h.Signal(syscall.SIGTERM)
			if code := h.WaitExit(3 * time.Second); code != 1 {
				t.Errorf("exit code %d, want 1", code)
			}
		})
	}
}

// TestCallersSupersededHostEnds guards against a process that keeps serving after a newer process has registered
// under the name of its host.
func TestCallersSupersededHostEnds(t *testing.T) {
	s := startSite(t, nil)
	h := s.Hosts[0]
	old := string(h.Status().Incarnation)
	pair, _, err := s.Client.Get(t.Context(), config.HostsPrefix+string(h.Settings.Host))
	if err != nil || pair == nil {
		t.Fatalf("no registration: %v", err)
	}
	newer := strings.Replace(string(pair.Value), old, "newer", 1)
	if _, err := s.Client.Txn(t.Context(), kvstore.Txn{Success: []kvstore.Op{kvstore.Put(pair.Key, []byte(newer))}}); err != nil {
		t.Fatal(err)
	}
	s.Store.ExpireLease(pair.Lease)
	if code := h.WaitExit(5 * time.Second); code != 3 {
		t.Errorf("exit code %d, want 3", code)
	}
}
