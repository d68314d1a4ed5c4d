package capacity

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/config"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
	"github.com/foxtailpass/foxtailpass/internal/standin/engine"
	"github.com/foxtailpass/foxtailpass/test/harness"
)

// hostProcs is the number of cores that the measured hosts use, as on a small entry host. On a large machine the
// Go scheduler would spend processor time on idle cores that look for work to steal.
const hostProcs = "2"

func TestMain(m *testing.M) {
	// The Go runtime of this process has read the variable already, so the setting applies only to the hosts.
	if err := os.Setenv("GOMAXPROCS", hostProcs); err != nil {
		panic(err)
	}
	code := m.Run()
	harness.RemoveBinary()
	os.Exit(code)
}

const (
	// settleTime is the wait after the start, after which the site counts as idle.
	settleTime = 6 * time.Second
	// measureWindow is the time over which an idle site is measured.
	measureWindow = 10 * time.Second
	// reportInterval is the interval at which hosts read reports of engines. It is the default of their settings.
	reportInterval = 100 * time.Millisecond
	// clockTicks is the number of clock ticks per second in /proc, which the kernel's interface fixes.
	clockTicks = 100
)

// usage holds the resources that one host has used since its start: CPU time, bytes sent to and received from other
// hosts, and calls of the key-value service by kind. rss is its current resident memory in bytes.
type usage struct {
	cpu       time.Duration
	rss       float64
	peerBytes float64
	calls     map[string]float64
}

// readUsage reads the usage of a host from /proc and from its metrics.
func readUsage(b *testing.B, h *harness.Host) usage {
	b.Helper()
	u := usage{calls: make(map[string]float64)}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", h.PID()))
	if err != nil {
		b.Fatal(err)
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	u.cpu = time.Duration(user+system) * time.Second / clockTicks
	pages, _ := strconv.ParseFloat(fields[21], 64)
	u.rss = pages * float64(os.Getpagesize())
	resp, err := http.Get("http://" + h.Settings.OperatorAddr + "/metrics")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	sc := bufio.NewScanner(resp.Body)
	for sc.Scan() {
		name, value, _ := strings.Cut(sc.Text(), "} ")
		v, _ := strconv.ParseFloat(value, 64)
		switch {
		case strings.HasPrefix(name, "foxtailpass_peer_bytes_total"):
			u.peerBytes += v
		case strings.HasPrefix(name, "foxtailpass_platform_calls_total"):
			_, kind, _ := strings.Cut(name, `kind="`)
			u.calls[strings.TrimSuffix(kind, `"`)] += v
		}
	}
	return u
}

// startSite starts hosts and engines with a configuration of the given size, and issues the given number of keys.
func startSite(b *testing.B, hosts, engines, models, adapters, workspaces, keys int) *harness.Site {
	b.Helper()
	store := engine.NewWeightStore(engine.WeightStoreOptions{})
	o := harness.Options{Hosts: hosts, ReportInterval: reportInterval, Base: string(baseDocument(models, adapters, workspaces))}
	for i := range engines {
		o.Engines = append(o.Engines, engine.Options{ID: entity.UpstreamID(fmt.Sprintf("engine-%03d", i)), MemoryBytes: 80e9, ChecksFence: true, Store: store, ReportLag: 50 * time.Millisecond})
	}
	s := harness.Start(b, o)
	for i := range keys {
		value := fmt.Sprintf(`{"id":"k-%016d","workspace":"workspace-001","issued":"2026-01-01T00:00:00Z","attempt":"x"}`, i)
		key := fmt.Sprintf("%s%064x", config.KeysPrefix, rand.Uint64())
		if _, err := s.Client.Txn(context.Background(), kvstore.Txn{Success: []kvstore.Op{kvstore.Put(key, []byte(value))}}); err != nil {
			b.Fatal(err)
		}
	}
	return s
}

// BenchmarkIdleSite reports the resources that an idle host uses, for sites of different size. The lines of
// docs/CAPACITY.md are calculated from the slopes of these figures over hosts, engines, adapters, workspaces and
// keys. The bytes between hosts count both directions.
func BenchmarkIdleSite(b *testing.B) {
	for _, c := range []struct{ hosts, engines, adapters, workspaces, keys int }{
		{2, 4, 100, 5, 0}, {4, 4, 100, 5, 0}, {8, 4, 100, 5, 0}, {8, 24, 100, 5, 0}, {8, 4, 6000, 5, 0}, {8, 4, 100, 50, 0}, {8, 4, 100, 5, 5000},
	} {
		b.Run(fmt.Sprintf("hosts=%d,engines=%d,adapters=%d,workspaces=%d,keys=%d", c.hosts, c.engines, c.adapters, c.workspaces, c.keys), func(b *testing.B) {
			s := startSite(b, c.hosts, c.engines, 57, c.adapters, c.workspaces, c.keys)
			time.Sleep(settleTime)
			var before, after []usage
			for _, h := range s.Hosts {
				before = append(before, readUsage(b, h))
			}
			time.Sleep(measureWindow)
			for _, h := range s.Hosts {
				after = append(after, readUsage(b, h))
			}
			reportIdleUsage(b, before, after)
		})
	}
}

func reportIdleUsage(b *testing.B, before, after []usage) {
	b.Helper()
	n := float64(len(after))
	var cpu, rss, bytes, reads, writes float64
	for i := range after {
		cpu += (after[i].cpu - before[i].cpu).Seconds() / measureWindow.Seconds()
		rss += after[i].rss
		bytes += (after[i].peerBytes - before[i].peerBytes) / measureWindow.Seconds()
		for kind, v := range after[i].calls {
			d := (v - before[i].calls[kind]) / measureWindow.Seconds()
			if kind == "range" || kind == "watch" {
				reads += d
			} else {
				writes += d
			}
		}
	}
	b.ReportMetric(100*cpu/n, "%core/host")
	b.ReportMetric(rss/n/1e6, "MB/host")
	b.ReportMetric(bytes/n, "peerB/s/host")
	b.ReportMetric(reads/n, "reads/s/host")
	b.ReportMetric(writes/n, "writes/s/host")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkInForce reports the longest time from the acceptance of a configuration until it is active at all
// hosts. The hosts receive it through their watches or, if all hosts but one are cut from the key-value service,
// through the relay by the remaining host.
func BenchmarkInForce(b *testing.B) {
	for _, relay := range []bool{false, true} {
		b.Run(fmt.Sprintf("relay=%t", relay), func(b *testing.B) {
			s := startSite(b, 8, 2, 57, 6000, 50, 0)
			time.Sleep(settleTime)
			if relay {
				for i := 1; i < len(s.Hosts); i++ {
					s.Net.Cut(harness.PlatformLink(i))
				}
				time.Sleep(3 * time.Second)
			}
			var worst time.Duration
			for i := range 5 {
				worst = max(worst, applyAndWait(b, s, i))
			}
			b.ReportMetric(worst.Seconds()*1000, "worst-ms")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// applyAndWait applies a changed configuration and returns the time until it is active at all hosts.
func applyAndWait(b *testing.B, s *harness.Site, i int) time.Duration {
	b.Helper()
	base := strings.Replace(string(baseDocument(57, 6000, 50)), `"cold_start_ms":8000`, fmt.Sprintf(`"cold_start_ms":%d`, 8001+i), 1)
	began := time.Now()
	revision := s.Apply(base)
	for _, h := range s.Hosts {
		s.Eventually(10*time.Second, fmt.Sprintf("revision %d is active at host %d", revision, h.Index+1), func() bool {
			return h.Status().ConfigRevision >= revision
		})
	}
	return time.Since(began)
}

// BenchmarkDataPath reports the processor time that one host spends per request and per streamed
// token.
func BenchmarkDataPath(b *testing.B) {
	for _, c := range []struct {
		name              string
		callers, tokens   int
		requestsPerCaller int
	}{{"short", 8, 1, 400}, {"stream", 32, 512, 4}} {
		b.Run(c.name, func(b *testing.B) {
			s := dataPathSite(b)
			key, _ := s.Key("workspace-000")
			h := s.Hosts[0]
			if a := h.Do(harness.Chat(key, "model-000", 1, false)); a.Status != http.StatusOK {
				b.Fatalf("first request: %d %s", a.Status, a.Body)
			}
			before := readUsage(b, h)
			var wg sync.WaitGroup
			for range c.callers {
				wg.Go(func() {
					for range c.requestsPerCaller {
						h.Do(harness.Chat(key, "model-000", c.tokens, c.tokens > 1))
					}
				})
			}
			wg.Wait()
			after := readUsage(b, h)
			cpu := after.cpu - before.cpu
			n := c.callers * c.requestsPerCaller
			b.ReportMetric(float64(cpu.Microseconds())/float64(n), "cpu-us/request")
			b.ReportMetric(float64(cpu.Microseconds())/float64(n*c.tokens), "cpu-us/token")
			b.ReportMetric(after.rss/1e6, "MB/host")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func dataPathSite(b *testing.B) *harness.Site {
	b.Helper()
	o := harness.Options{Hosts: 1, Base: string(baseDocument(1, 0, 1))}
	o.Engines = []engine.Options{{
		ID: "engine-000", MemoryBytes: 80e9, ChecksFence: true, Slots: 64, TokenInterval: time.Millisecond,
		LoadTimes: engine.LoadTimes{Remote: 100 * time.Millisecond}, ReceivedLimit: -1,
	}}
	return harness.Start(b, o)
}
