package faults

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/standin/engine"
	"github.com/foxtailpass/foxtailpass/internal/standin/kv"
	"github.com/foxtailpass/foxtailpass/test/harness"
)

// TestTwoDecidersLoadOnce checks that bursts of requests for cold models load every model once although
// there are two deciders. Two groups of hosts that are cut from each other have a decider each, and while
// watches are frozen, a decider does not see the records of the other before its next poll.
func TestTwoDecidersLoadOnce(t *testing.T) {
	list, store := engineOptions(3, 4000, true)
	s := parallelSite(t, harness.Options{Hosts: 4, Engines: list, Base: modelsDocument(6, 1000)})
	d := followDecisions(s)
	key, _ := s.Key("clerks")
	heal := partition(s, 0, 1)
	s.Eventually(10*time.Second, "two deciders", func() bool {
		n := 0
		for _, h := range s.Hosts {
			if h.Status().Control.Placement.IsDecider {
				n++
			}
		}
		return n == 2
	})
	s.Store.SetFaults(kv.Faults{FreezeWatches: true})
	var a answers
	for m := range 6 {
		for _, h := range s.Hosts {
			a.send(h, harness.Chat(key, fmt.Sprintf("m%d", m), 5, false))
		}
	}
	got := a.wait()
	s.Store.SetFaults(kv.Faults{})
	heal()
	if n := summary(got)["200 "]; n != len(got) {
		t.Errorf("want status 200 for all requests, answers: %v", summary(got))
	}
	checkPlacement(s, d, store, 1)
	for m := range 6 {
		if n := loadCount(s, entity.ModelID(fmt.Sprintf("m%d", m))); n != 1 {
			t.Errorf("model m%d was loaded %d times, want once", m, n)
		}
	}
}

// TestDeciderKilledInLoad kills the decider during a load. The next decider must continue from the placement
// record: the requests at the other hosts are served, and there is no second load.
func TestDeciderKilledInLoad(t *testing.T) {
	for _, fence := range []bool{true, false} {
		t.Run(fmt.Sprintf("fence=%t", fence), func(t *testing.T) {
			list, store := engineOptions(2, 3000, fence)
			s := parallelSite(t, harness.Options{Hosts: 3, Engines: list, Base: modelsDocument(1, 1000), LeaseTTL: 2 * time.Second})
			d := followDecisions(s)
			key, _ := s.Key("clerks")
			store.SetSlowdown(4)
			killed := decider(s)
			rest := otherHosts(s, killed)
			var a answers
			a.send(rest[0], harness.Chat(key, "m0", 5, false))
			a.send(rest[1], harness.Chat(key, "m0", 5, false))
			s.Eventually(5*time.Second, "the load has begun", func() bool { return loadCount(s, "m0") > 0 })
			killed.Kill()
			if got := summary(a.wait()); got["200 "] != 2 {
				t.Errorf("want status 200 for both requests, answers: %v", got)
			}
			checkPlacement(s, d, store, 1)
			if n := loadCount(s, "m0"); n != 1 {
				t.Errorf("the model was loaded %d times, want once", n)
			}
		})
	}
}

// delayedOrder is a site with one engine, to which the decider has sent a load order that has not arrived yet.
type delayedOrder struct {
	site      *harness.Site
	decisions *decisions
	store     *engine.WeightStore
	key       string
	decider   *harness.Host
	// rest holds all hosts except the decider.
	rest    []*harness.Host
	answers answers
}

// startDelayedOrder starts the site, sends a request for m0 with the given deadline, and waits until its load is
// recorded. The engine executes the load order only after delayMS milliseconds. fence sets whether the engine checks
// fencing tokens.
func startDelayedOrder(t *testing.T, fence bool, delayMS int64, deadline time.Duration) *delayedOrder {
	t.Helper()
	list, store := engineOptions(1, 3000, fence)
	// Two models of 2000 bytes do not fit into the 3000 bytes of the engine.
	s := parallelSite(t, harness.Options{Hosts: 3, Engines: list, Base: modelsDocument(2, 2000), LeaseTTL: time.Second})
	o := &delayedOrder{site: s, decisions: followDecisions(s), store: store}
	o.key, _ = s.Key("clerks")
	if err := s.Engines[0].SetFault(engine.Fault{Kind: engine.FaultOrderDelay, Count: 1, DelayMS: delayMS}); err != nil {
		t.Fatal(err)
	}
	o.decider = decider(s)
	o.rest = otherHosts(s, o.decider)
	o.answers.send(o.rest[0], withDeadline(harness.Chat(o.key, "m0", 5, false), deadline))
	s.Eventually(5*time.Second, "the order is recorded", func() bool { return hasReplicaRecord(s, "m0") })
	time.Sleep(100 * time.Millisecond)
	return o
}

// TestDelayedOrderOfPausedDecider delays the order of a decider, which is then paused. The order arrives
// when another host has already planned the same memory for another model. The engine must refuse the order
// because of its fencing token, or the memory for the order must still be reserved.
func TestDelayedOrderOfPausedDecider(t *testing.T) {
	for _, fence := range []bool{true, false} {
		t.Run(fmt.Sprintf("fence=%t", fence), func(t *testing.T) {
			o := startDelayedOrder(t, fence, 4000, 1500*time.Millisecond)
			o.decider.Pause()
			time.Sleep(1500 * time.Millisecond)
			for range 4 {
				o.answers.send(o.rest[1], withDeadline(harness.Chat(o.key, "m1", 5, false), 8*time.Second))
				time.Sleep(300 * time.Millisecond)
			}
			time.Sleep(1500 * time.Millisecond)
			o.decider.Resume()
			got := summary(o.answers.wait())
			t.Logf("answers: %v", got)
			if got["200 "] < 4 {
				t.Errorf("the other model was not served: %v", got)
			}
			checkPlacement(o.site, o.decisions, o.store, 1)
		})
	}
}

// TestDelayedOrderOfRestartedDecider kills the decider after it has sent an order. The order may still be
// in transit when a new process registers at the same address. The memory for the order must stay reserved
// unless the engine checks fencing tokens.
func TestDelayedOrderOfRestartedDecider(t *testing.T) {
	for _, fence := range []bool{true, false} {
		t.Run(fmt.Sprintf("fence=%t", fence), func(t *testing.T) {
			o := startDelayedOrder(t, fence, 2500, time.Second)
			o.decider.Kill()
			o.decider.Start()
			time.Sleep(time.Second)
			o.answers.send(o.rest[1], withDeadline(harness.Chat(o.key, "m1", 5, false), 10*time.Second))
			got := summary(o.answers.wait())
			t.Logf("answers: %v", got)
			time.Sleep(time.Second)
			if got["200 "] < 1 {
				t.Errorf("the other model was not served: %v", got)
			}
			checkPlacement(o.site, o.decisions, o.store, 1)
		})
	}
}

// hasReplicaRecord reports whether a host knows a placement record with a replica of the model.
func hasReplicaRecord(s *harness.Site, m entity.ModelID) bool {
	for _, h := range s.Hosts {
		for _, x := range h.Status().Control.Placement.Models {
			if x.Model == m && len(x.Replicas) > 0 {
				return true
			}
		}
	}
	return false
}

// placementFault is a fault that is active during placement under memory pressure.
type placementFault struct {
	name  string
	begin func(s *harness.Site, rng *rand.Rand) (end func())
}

func placementFaults() []placementFault {
	return []placementFault{
		{"none", func(*harness.Site, *rand.Rand) func() { return func() {} }},
		{"lost answers of the key-value service", func(s *harness.Site, _ *rand.Rand) func() {
			s.Store.SetFaults(kv.Faults{LoseEvery: 3})
			return func() { s.Store.SetFaults(kv.Faults{}) }
		}},
		{"lost and delayed orders", func(s *harness.Site, _ *rand.Rand) func() {
			for _, e := range s.Engines {
				_ = e.SetFault(engine.Fault{Kind: engine.FaultOrderLost, Count: 2})
				_ = e.SetFault(engine.Fault{Kind: engine.FaultOrderDelay, Count: 2, DelayMS: 1500})
			}
			return func() {
				for _, e := range s.Engines {
					e.ClearFaults()
				}
			}
		}},
		{"engine restart", func(s *harness.Site, rng *rand.Rand) func() {
			e := s.Engines[rng.IntN(len(s.Engines))]
			if err := e.Restart(); err != nil {
				s.T.Error(err)
			}
			return func() {}
		}},
		{"two deciders", func(s *harness.Site, rng *rand.Rand) func() { return partition(s, rng.IntN(len(s.Hosts))) }},
	}
}

// TestMemoryPressure runs more models than fit into memory, so that loads and unloads overlap. Whatever fails
// meanwhile, no engine may be given orders beyond its memory, no model may have two replicas at once, and every
// request must get an answer.
func TestMemoryPressure(t *testing.T) {
	for _, f := range placementFaults() {
		t.Run(f.name, func(t *testing.T) {
			list, store := engineOptions(2, 2500, f.name != "two deciders")
			s := parallelSite(t, harness.Options{Hosts: 3, Engines: list, Base: modelsDocument(7, 1000), LeaseTTL: 2 * time.Second})
			d := followDecisions(s)
			key, _ := s.Key("clerks")
			rng := rand.New(rand.NewPCG(7, 7))
			var a answers
			send := func(n int) {
				for range n {
					m := fmt.Sprintf("m%d", rng.IntN(7))
					a.send(s.Hosts[rng.IntN(3)], withDeadline(harness.Chat(key, m, 20, false), 8*time.Second))
					time.Sleep(25 * time.Millisecond)
				}
			}
			send(40)
			end := f.begin(s, rng)
			send(60)
			end()
			send(20)
			got := a.wait()
			t.Logf("answers: %v", summary(got))
			checkPlacement(s, d, store, 1)
			for _, x := range got {
				if x.Err != nil || x.Status == 0 {
					t.Errorf("a request got no answer: %v", x.Err)
				}
			}
			if n := summary(got)["200 "]; n < len(got)/2 {
				t.Errorf("%d of %d requests were served, want at least half", n, len(got))
			}
		})
	}
}
