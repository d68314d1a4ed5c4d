package faults

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/host"
	"github.com/foxtailpass/foxtailpass/internal/standin/engine"
	"github.com/foxtailpass/foxtailpass/internal/standin/kv"
	"github.com/foxtailpass/foxtailpass/internal/standin/service"
	"github.com/foxtailpass/foxtailpass/test/harness"
)

// fault is one of the failures that controlRounds combines to pairs. begin starts it and returns a function that ends
// it.
type fault struct {
	name  string
	begin func(s *harness.Site, rng *rand.Rand) (end func())
}

// storeFault returns the begin function of a fault of the key-value service. It leaves the other active
// faults of the service unchanged.
func storeFault(set, clear func(*kv.Faults)) func(*harness.Site, *rand.Rand) func() {
	change := func(s *harness.Site, f func(*kv.Faults)) {
		now := s.Store.Faults()
		f(&now)
		s.Store.SetFaults(now)
	}
	return func(s *harness.Site, _ *rand.Rand) func() {
		change(s, set)
		return func() { change(s, clear) }
	}
}

func pairFaults() []fault {
	anyHost := func(s *harness.Site, rng *rand.Rand) *harness.Host { return s.Hosts[rng.IntN(len(s.Hosts))] }
	return []fault{
		{"kill", func(s *harness.Site, rng *rand.Rand) func() {
			h := anyHost(s, rng)
			if h.Running() {
				h.Kill()
			}
			return func() {
				if !h.Running() {
					h.Start()
				}
			}
		}},
		{"pause", func(s *harness.Site, rng *rand.Rand) func() {
			h := anyHost(s, rng)
			if !h.Running() {
				return func() {}
			}
			h.Pause()
			return func() {
				if h.Running() {
					h.Resume()
				}
			}
		}},
		{"outage", func(s *harness.Site, _ *rand.Rand) func() { return outage(s) }},
		{"cut from platform", func(s *harness.Site, rng *rand.Rand) func() {
			l := harness.PlatformLink(anyHost(s, rng).Index)
			s.Net.Cut(l)
			return func() { s.Net.Heal(l) }
		}},
		{"cut from hosts", func(s *harness.Site, rng *rand.Rand) func() { return partition(s, anyHost(s, rng).Index) }},
		{"cut from platform and hosts", func(s *harness.Site, rng *rand.Rand) func() { return isolate(s, anyHost(s, rng).Index) }},
		{"lost answers of the platform", storeFault(func(f *kv.Faults) { f.LoseEvery = 3 }, func(f *kv.Faults) { f.LoseEvery = 0 })},
		{"frozen watches", storeFault(func(f *kv.Faults) { f.FreezeWatches = true }, func(f *kv.Faults) { f.FreezeWatches = false })},
		{"slow platform", storeFault(func(f *kv.Faults) { f.DelayMillis = 300 }, func(f *kv.Faults) { f.DelayMillis = 0 })},
		{"expired leases", func(s *harness.Site, rng *rand.Rand) func() {
			s.Store.ExpireKey("foxtailpass/v/hosts/" + string(anyHost(s, rng).Settings.Host))
			return func() {}
		}},
		{"engine restart", func(s *harness.Site, rng *rand.Rand) func() {
			if err := s.Engines[rng.IntN(len(s.Engines))].Restart(); err != nil {
				s.T.Error(err)
			}
			return func() {}
		}},
		{"late orders to engines", func(s *harness.Site, rng *rand.Rand) func() {
			e := s.Engines[rng.IntN(len(s.Engines))]
			_ = e.SetFault(engine.Fault{Kind: engine.FaultOrderDelay, Count: 3, DelayMS: 1500})
			return func() {}
		}},
		{"lost answers of services", func(s *harness.Site, _ *rand.Rand) func() {
			_ = s.Services[0].SetFault(service.Fault{Kind: service.FaultLose, Count: 10})
			return func() {}
		}},
	}
}

// pairsDocument returns a base document with more models than fit into the memory of the engines, a
// workspace with a low rate, and a route for orders. Each n gives a different document.
func pairsDocument(n int) string {
	return fmt.Sprintf(`{"models": {
	    "m0": {"bytes": 1000, "cold_start_ms": 300, "max_replicas": 1}, "m1": {"bytes": 1000, "cold_start_ms": 300, "max_replicas": 1},
	    "m2": {"bytes": 1000, "cold_start_ms": 300, "max_replicas": 1}, "m3": {"bytes": 1000, "cold_start_ms": 300, "max_replicas": 1},
	    "m4": {"bytes": 1000, "cold_start_ms": %d, "max_replicas": 1}},
	  "placement": {"idle_ms": 200, "hold_ms": 200},
	  "workspaces": {"clerks": {"rate_tokens_per_s": 100000, "burst_tokens": 100000, "models": ["*"], "routes": ["*"]},
	    "greedy": {"rate_tokens_per_s": %v, "burst_tokens": %v, "routes": ["*"]}},
	  "routes": {"/orders/": {"upstream_kind": "orders", "timeout_ms": 3000, "cost_tokens": %v}}}`, 300+n, tokenRate, burstSize, orderCost)
}

// statusOf reads the status that the host shows to operators. The result is false if the host does not answer.
func statusOf(h *harness.Host) (host.Status, bool) {
	var st host.Status
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + h.Settings.OperatorAddr + "/status")
	if err != nil {
		return st, false
	}
	defer func() { _ = resp.Body.Close() }()
	return st, json.NewDecoder(resp.Body).Decode(&st) == nil
}

// controlRounds runs pairs of failures during traffic for the duration d. Then it checks the guarantees that the
// control state of the hosts gives: on configuration, placement, idempotency keys and token limits.
func controlRounds(t *testing.T, seed uint64, d time.Duration) {
	t.Logf("seed %d, duration %v", seed, d)
	rng := rand.New(rand.NewPCG(seed, 1))
	list, store := engineOptions(2, 2500, true)
	list[1].ChecksFence = false
	s := parallelSite(t, harness.Options{
		Hosts: 3, Engines: list, Base: pairsDocument(0), LeaseTTL: time.Second,
		Services: []service.Options{{ID: "orders-1", Kind: "orders", WorkTime: 5 * time.Millisecond, ReceivedLimit: 1 << 20}},
	})
	decided := followDecisions(s)
	logPlacementOnFailure(s)
	clerks, _ := s.Key("clerks")
	greedyKey, _ := s.Key("greedy")
	greedy := &traffic{name: "greedy", key: greedyKey, sent: make(map[string]time.Time)}
	phases := []phase{{time.Now(), tokenRate, burstSize}}
	end := time.Now().Add(d)
	done := make(chan struct{}, 2)
	hostRNG := rand.New(rand.NewPCG(seed, 2))
	go greedy.run(250, end, func() *harness.Host { return s.Hosts[hostRNG.IntN(3)] }, done)
	var others answers
	go func() {
		defer func() { done <- struct{}{} }()
		r := rand.New(rand.NewPCG(seed, 3))
		for n := 0; time.Now().Before(end); n++ {
			others.send(s.Hosts[r.IntN(3)], withDeadline(harness.Chat(clerks, fmt.Sprintf("m%d", r.IntN(5)), 10, false), 4*time.Second))
			// Each order is sent twice, and about half of the iterations repeat one of the last 20 orders.
			id := n - r.IntN(2)*r.IntN(20)
			for range 2 {
				others.send(s.Hosts[r.IntN(3)], claimedOrder(clerks, fmt.Sprint("k", id), fmt.Sprint("keyed", id)))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}()
	stop := make(chan struct{})
	observed := watchRevisions(s, stop)
	faults := pairFaults()
	for round := 0; time.Until(end) > 3*time.Second; round++ {
		pair := []fault{faults[rng.IntN(len(faults))], faults[rng.IntN(len(faults))]}
		if rng.IntN(4) == 0 {
			pair[1] = pair[0]
		}
		t.Logf("%v left: %s, %s", time.Until(end).Round(time.Second), pair[0].name, pair[1].name)
		first := pair[0].begin(s, rng)
		time.Sleep(time.Duration(rng.IntN(600)) * time.Millisecond)
		second := pair[1].begin(s, rng)
		s.Apply(pairsDocument(round + 1))
		time.Sleep(time.Duration(500+rng.IntN(2000)) * time.Millisecond)
		first()
		time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
		second()
	}
	<-done
	<-done
	got, limited := others.wait(), greedy.wait()
	for _, h := range s.Hosts {
		if !h.Running() {
			h.Start()
		}
		h.WaitReady()
	}
	last := s.Apply(pairsDocument(-1))
	s.Eventually(activationBound, "the last change is active at all hosts", func() bool {
		for _, h := range s.Hosts {
			if st, ok := statusOf(h); !ok || st.ConfigRevision != last {
				return false
			}
		}
		return true
	})
	close(stop)
	observed.wg.Wait()
	observed.check(t, nil)
	for m := range 5 {
		for _, h := range s.Hosts {
			s.Eventually(15*time.Second, fmt.Sprintf("model m%d is served by host %d", m, h.Index+1), func() bool {
				a := h.Do(withDeadline(harness.Chat(clerks, fmt.Sprint("m", m), 2, false), 5*time.Second))
				if a.Status != 200 {
					t.Logf("model m%d, host %d: status %d, code %q after %v, error %v", m, h.Index+1, a.Status, a.Code, a.Took, a.Err)
				}
				return a.Status == 200
			})
		}
	}
	checkPlacement(s, decided, store, 1)
	checkNoRepeatedRuns(t, s)
	over := excess(greedy.admissions(t, s.Services[0]), phases)
	if over > 1e-6 {
		t.Errorf("greedy got %.1f tokens more than burst + rate*d in some interval", over)
	}
	t.Logf("clerks: %v; greedy: %v, at most %.0f tokens above the bound", summary(got), summary(limited), over)
	if n := summary(got)["200 "]; n < len(got)/3 {
		t.Errorf("%d of %d requests were served, want at least a third", n, len(got))
	}
}

// TestPairsOfFailures guards against failures that are harmless alone but not together. It runs pairs of overlapping
// failures, also pairs of the same failure. The guarantees of the control state must hold (see controlRounds), and
// every model must be served again afterwards.
func TestPairsOfFailures(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { controlRounds(t, seed, 12*time.Second) })
	}
}
