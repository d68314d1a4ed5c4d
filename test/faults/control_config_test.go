package faults

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/foxtailpass/foxtailpass/internal/config"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
	"github.com/foxtailpass/foxtailpass/internal/standin/kv"
	"github.com/foxtailpass/foxtailpass/test/harness"
)

// activationBound is the time within which an accepted configuration must be active at all hosts.
const activationBound = 5 * time.Second

// registerInput is one operation on the configuration register, which holds the newest revision and the attempt that
// created it. The operation is a read if from is negative, otherwise an apply on top of revision from.
type registerInput struct {
	from    int64
	attempt string
}

type registerState struct {
	revision int64
	attempt  string
}

type registerOutput struct {
	registerState
	conflict bool
}

// registerModel is the sequential behavior of the configuration register, against which porcupine checks that the
// concurrent operations are linearizable. An apply conflicts unless it starts from the newest revision.
var registerModel = porcupine.Model{
	Init: func() any { return registerState{} },
	Step: func(state, input, output any) (bool, any) {
		st, in, out := state.(registerState), input.(registerInput), output.(registerOutput)
		switch {
		case in.from < 0:
			// The zero state stands for the unknown head from before the test. The first read defines it.
			return st == out.registerState || st == registerState{}, out.registerState
		case out.conflict:
			return st == out.registerState && st.revision != in.from, st
		}
		next := registerState{in.from + 1, in.attempt}
		return st.revision == in.from && out.registerState == next, next
	},
}

// operators apply changes concurrently and record the history of the register.
type operators struct {
	s  *harness.Site
	wg sync.WaitGroup
	mu sync.Mutex
	// history holds the finished operations. accepted holds the time at which each revision was accepted.
	// last is the head with the highest accepted revision, and lastModel is the model that this revision
	// added.
	history   []porcupine.Operation
	accepted  map[int64]time.Time
	last      config.Head
	lastModel string
}

func (o *operators) record(client int, began, ended time.Time, in registerInput, out registerOutput) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history = append(o.history, porcupine.Operation{
		ClientId: client, Input: in, Call: began.UnixNano(), Output: out, Return: ended.UnixNano(),
	})
}

// run reads and changes the configuration repeatedly until the end.
func (o *operators) run(client int, end time.Time) {
	defer o.wg.Done()
	ctx := context.Background()
	for n := 0; time.Now().Before(end); n++ {
		began := time.Now()
		head, err := o.s.Config.Head(ctx)
		if err != nil {
			continue
		}
		o.record(client, began, time.Now(), registerInput{from: -1}, registerOutput{registerState: registerState{head.Revision, head.Attempt}})
		o.apply(client, n, head)
		time.Sleep(100 * time.Millisecond)
	}
}

// apply applies a change on top of the given head. It repeats the attempt until its outcome is known.
func (o *operators) apply(client, n int, from config.Head) {
	name := fmt.Sprintf("op%d-%d", client, n)
	doc := strings.Replace(modelsDocument(2, 1000), `{"models": {`, `{"models": {"`+name+`": {"bytes": 1000, "cold_start_ms": 300},`, 1)
	req := config.ApplyRequest{BaseRevision: from.Revision, Base: []byte(doc), Who: name, Attempt: entity.RandomHex(8)}
	in := registerInput{from.Revision, req.Attempt}
	for began := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		head, err := o.s.Config.Apply(context.Background(), req)
		ended := time.Now()
		var conflict *config.ConflictError
		switch {
		case errors.As(err, &conflict):
			w := conflict.Winner
			o.record(client, began, ended, in, registerOutput{registerState{w.Revision, w.Attempt}, true})
			return
		case err == nil:
			o.record(client, began, ended, in, registerOutput{registerState: registerState{head.Revision, head.Attempt}})
			o.mu.Lock()
			o.accepted[head.Revision] = ended
			if head.Revision > o.last.Revision {
				o.last, o.lastModel = head, name
			}
			o.mu.Unlock()
			return
		case !errors.Is(err, kvstore.ErrUnknown) && !errors.Is(err, kvstore.ErrUnavailable):
			o.s.T.Errorf("apply: %v", err)
			return
		}
	}
}

// revisions records which revision is active at each running host.
type revisions struct {
	wg      sync.WaitGroup
	mu      sync.Mutex
	samples map[int][]revisionSample
}

type revisionSample struct {
	at          time.Time
	revision    int64
	incarnation entity.Incarnation
}

func watchRevisions(s *harness.Site, stop chan struct{}) *revisions {
	r := &revisions{samples: make(map[int][]revisionSample)}
	for i, h := range s.Hosts {
		r.wg.Add(1)
		go func() {
			defer r.wg.Done()
			for {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				st, ok := statusOf(h)
				if !ok {
					continue
				}
				r.mu.Lock()
				r.samples[i] = append(r.samples[i], revisionSample{time.Now(), st.ConfigRevision, st.Incarnation})
				r.mu.Unlock()
			}
		}()
	}
	return r
}

// check verifies that no process of a host returned to an older revision, and that every accepted revision was
// active at all hosts within activationBound.
func (r *revisions) check(t *testing.T, accepted map[int64]time.Time) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	for host, list := range r.samples {
		for i := 1; i < len(list); i++ {
			if list[i].revision < list[i-1].revision && list[i].incarnation == list[i-1].incarnation {
				t.Errorf("host %d went from revision %d back to %d", host+1, list[i-1].revision, list[i].revision)
			}
		}
		for rev, at := range accepted {
			activeInTime := false
			for _, x := range list {
				activeInTime = activeInTime || x.revision >= rev && x.at.Before(at.Add(activationBound))
			}
			if !activeInTime {
				t.Errorf("host %d did not activate revision %d within %v", host+1, rev, activationBound)
			}
		}
	}
}

// TestConfigurationUnderFaults lets concurrent operators change the configuration during traffic and a
// fault. The register must be linearizable, every accepted revision must be active at all hosts within 5 s
// and must never be reverted, and no request may be lost or refused.
func TestConfigurationUnderFaults(t *testing.T) {
	repeat := func(s *harness.Site, stop chan struct{}, f func()) {
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(200 * time.Millisecond):
					f()
				}
			}
		}()
	}
	for _, c := range []struct {
		name  string
		begin func(s *harness.Site, stop chan struct{})
	}{
		{"lost answers", func(s *harness.Site, _ chan struct{}) { s.Store.SetFaults(kv.Faults{LoseEvery: 3}) }},
		{"stale reads and frozen watches", func(s *harness.Site, _ chan struct{}) {
			s.Store.SetFaults(kv.Faults{StaleReads: true, FreezeWatches: true})
		}},
		{"broken watches and compaction", func(s *harness.Site, stop chan struct{}) {
			repeat(s, stop, func() { s.Store.Compact(s.Store.Revision()); s.Store.BreakWatches() })
		}},
		{"host cut from the platform", func(s *harness.Site, _ chan struct{}) { s.Net.Cut(harness.PlatformLink(1)) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			list, _ := engineOptions(2, 3000, true)
			s := parallelSite(t, harness.Options{Hosts: 3, Engines: list, Base: modelsDocument(2, 1000)})
			key, _ := s.Key("clerks")
			stop := make(chan struct{})
			observed := watchRevisions(s, stop)
			ended := sync.OnceFunc(func() { close(stop); observed.wg.Wait() })
			defer ended()
			c.begin(s, stop)
			o := &operators{s: s, accepted: make(map[int64]time.Time)}
			end := time.Now().Add(3 * time.Second)
			for i := range 3 {
				o.wg.Add(1)
				go o.run(i, end)
			}
			var a answers
			for time.Now().Before(end) {
				for _, h := range s.Hosts {
					a.send(h, harness.Chat(key, "m0", 20, true))
				}
				time.Sleep(40 * time.Millisecond)
			}
			o.wg.Wait()
			s.Eventually(activationBound, "the last revision is active at all hosts", func() bool {
				for _, h := range s.Hosts {
					if h.Status().ConfigRevision != o.last.Revision {
						return false
					}
				}
				return true
			})
			for _, h := range s.Hosts {
				if list := h.Do(harness.Request{Path: "/v1/models", Key: key}); !strings.Contains(list.Body, o.lastModel) {
					t.Errorf("host %d does not offer the model of the last revision: %s", h.Index+1, list.Body)
				}
			}
			time.Sleep(100 * time.Millisecond)
			ended()
			observed.check(t, o.accepted)
			t.Logf("%d changes accepted, %d operations", len(o.accepted), len(o.history))
			if len(o.accepted) < 3 {
				t.Errorf("%d changes were accepted, want at least 3", len(o.accepted))
			}
			if !porcupine.CheckOperations(registerModel, o.history) {
				t.Error("the history of the configuration register is not linearizable")
			}
			got := a.wait()
			if n := summary(got)["200 "]; n != len(got) {
				t.Errorf("want status 200 for all requests, answers: %v", summary(got))
			}
			for _, x := range got {
				if _, whole := harness.StreamText(x.Body); !whole {
					t.Errorf("a stream ended early: %s", x.Body)
				}
			}
		})
	}
}

// TestRestartDuringOutage checks that a host which restarts while the platform is down gets the newest
// configuration from a peer, serves requests, and activates the next change after the outage.
func TestRestartDuringOutage(t *testing.T) {
	list, _ := engineOptions(2, 3000, true)
	s := parallelSite(t, harness.Options{Hosts: 3, Engines: list, Base: modelsDocument(2, 1000)})
	key, _ := s.Key("clerks")
	if a := s.Hosts[0].Do(harness.Chat(key, "m0", 2, false)); a.Status != 200 {
		t.Fatalf("first request: status %d, want 200: %s", a.Status, a.Body)
	}
	rev := s.Apply(modelsDocument(2, 1000))
	s.Eventually(activationBound, "the change is active", func() bool { return s.Hosts[0].Status().ConfigRevision == rev })
	end := outage(s)
	h := s.Hosts[2]
	h.Kill()
	h.Start()
	restarted := time.Now()
	h.WaitReady()
	if took := time.Since(restarted); took > activationBound {
		t.Errorf("the restarted host was ready after %v, want at most %v", took, activationBound)
	}
	if got := h.Status().ConfigRevision; got != rev {
		t.Errorf("revision %d is active after the restart, want %d", got, rev)
	}
	for range 5 {
		if a := h.Do(harness.Chat(key, "m0", 5, false)); a.Status != 200 {
			t.Errorf("request at the restarted host: status %d, want 200; body %s, err %v", a.Status, a.Body, a.Err)
		}
	}
	end()
	rev = s.Apply(modelsDocument(3, 1000))
	s.Eventually(activationBound, "the next change is active", func() bool { return h.Status().ConfigRevision == rev })
}

// TestQueuedRequestsSurviveChange checks that requests which are queued for a load survive changes of the
// configuration, also at a host that receives the changes from a peer.
func TestQueuedRequestsSurviveChange(t *testing.T) {
	list, store := engineOptions(2, 3000, true)
	s := parallelSite(t, harness.Options{Hosts: 3, Engines: list, Base: modelsDocument(2, 1000)})
	key, _ := s.Key("clerks")
	store.SetSlowdown(8)
	s.Net.Cut(harness.PlatformLink(2))
	var a answers
	for i := range 30 {
		a.send(s.Hosts[i%3], harness.Chat(key, "m1", 5, true))
	}
	s.Eventually(5*time.Second, "the load has begun", func() bool { return loadCount(s, "m1") > 0 })
	for n := range 3 {
		rev := s.Apply(modelsDocument(3+n, 1000))
		s.Eventually(activationBound, "the change is active", func() bool {
			return s.Hosts[2].Status().ConfigRevision == rev && s.Hosts[0].Status().ConfigRevision == rev
		})
	}
	if got := summary(a.wait()); got["200 "] != 30 {
		t.Errorf("want status 200 for all 30 requests, answers: %v", got)
	}
	if n := loadCount(s, "m1"); n != 1 {
		t.Errorf("the model was loaded %d times, want once", n)
	}
}
