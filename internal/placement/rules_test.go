package placement

import (
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/config"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

// waitingDemand returns demand of waiting interactive requests.
func waitingDemand(model, adapter string, interactive int) wire.ModelDemand {
	return wire.ModelDemand{Model: entity.ModelID(model), Adapter: entity.AdapterID(adapter), WaitingInteractive: interactive, OldestDeadline: time.Minute}
}

// newRuleSim returns a simulation of one host with the given demand and of engines with the given memory.
func newRuleSim(site *config.Site, engines int, memory int64, demand ...wire.ModelDemand) *sim {
	s := newSim(1, site)
	s.addHost(Policy{}).demand = demand
	for i := range engines {
		s.addEngine(engineRecord(i, memory, false))
	}
	return s
}

// runFor runs the simulation for the duration, checks the safety properties after every step and calls each
// unless it is nil.
func (s *sim) runFor(t *testing.T, d time.Duration, each func()) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.step()
		if err := s.check(); err != nil {
			t.Fatalf("%v\n%s", err, s.dump())
		}
		if each != nil {
			each()
		}
	}
}

// TestReplicasSpreadOverDomains guards against placing all replicas of a model in one failure domain, even
// when only the upstreams of that domain have the checkpoint cached.
func TestReplicasSpreadOverDomains(t *testing.T) {
	s := newSim(1, testSite(1, 1000))
	s.addHost(Policy{}).demand = []wire.ModelDemand{waitingDemand("m0", "", 12)}
	for i := range 9 {
		rec := engineRecord(i, 40, false)
		if rec.FailureDomain == "d1" {
			rec.Checkpoints = map[entity.ModelID]string{"m0": SourceMemory}
		}
		s.addEngine(rec)
	}
	s.runFor(t, 10*time.Second, nil)
	domains := map[string]int{}
	for _, e := range s.engines {
		if e.find("m0", "") >= 0 {
			domains[e.rec.FailureDomain]++
		}
	}
	if len(domains) != 3 {
		t.Errorf("replicas by failure domain: %v, want one in each of three", domains)
	}
}

// TestAdapterEviction guards against evicting a model or an adapter in use to free memory for an adapter. It
// also checks that the least recently used adapter is evicted.
func TestAdapterEviction(t *testing.T) {
	s := newRuleSim(testSite(1, 500), 1, 12, waitingDemand("m0", "a1", 1))
	s.runFor(t, 3*time.Second, nil)
	s.hosts[0].demand = []wire.ModelDemand{waitingDemand("m0", "a0", 1), waitingDemand("m0", "", 0)}
	s.runFor(t, 3*time.Second, nil)
	s.hosts[0].demand = []wire.ModelDemand{waitingDemand("m0", "a2", 1)}
	s.runFor(t, 5*time.Second, func() {
		if s.ready("m0", "") != 1 {
			t.Fatal("the model was unloaded for an adapter")
		}
	})
	if s.ready("m0", "a1") != 0 || s.ready("m0", "a0") != 1 || s.ready("m0", "a2") != 1 {
		t.Errorf("ready adapters are not a0 and a2; the least recently used one, a1, should have been evicted for a2\n%s", s.dump())
	}
}

// TestAdapterLoadsInFlight guards against more simultaneous adapter loads than the weight store serves at
// full speed.
func TestAdapterLoadsInFlight(t *testing.T) {
	site := testSite(4, 500)
	site.WeightStore.AdapterParallel = 3
	var demand []wire.ModelDemand
	for _, m := range []string{"m0", "m1", "m2", "m3"} {
		demand = append(demand, waitingDemand(m, "a0", 1), waitingDemand(m, "a1", 1), waitingDemand(m, "a2", 1))
	}
	s := newRuleSim(site, 4, 40, demand...)
	s.adapterLoad = 300 * time.Millisecond
	most := 0
	s.runFor(t, 10*time.Second, func() {
		loading := 0
		for _, e := range s.engines {
			for _, x := range e.entries {
				if x.Adapter != "" && x.State == StateLoading {
					loading++
				}
			}
		}
		most = max(most, loading)
	})
	if most != 3 {
		t.Errorf("%d adapter loads were in flight at once, want 3", most)
	}
	for _, d := range demand {
		if s.ready(d.Model, d.Adapter) == 0 {
			t.Errorf("%s:%s is not ready at the end", d.Model, d.Adapter)
		}
	}
}

// TestWeightStoreLimits guards against more loads per second, or more simultaneous loads, than the weight
// store allows.
func TestWeightStoreLimits(t *testing.T) {
	for _, c := range []struct {
		rate     float64
		parallel int
		cold     int64
	}{{2, 4, 600}, {7, 3, 2000}} {
		site := testSite(16, c.cold)
		site.WeightStore.LoadsPerSecond, site.WeightStore.Parallel = c.rate, c.parallel
		var demand []wire.ModelDemand
		for i := range 16 {
			demand = append(demand, waitingDemand(string(modelName(i)), "", 1))
		}
		s := newRuleSim(site, 4, 100, demand...)
		s.runFor(t, 20*time.Second, nil)
		if len(s.remoteStarts) != 16 {
			t.Fatalf("%d loads were started, want 16", len(s.remoteStarts))
		}
		if s.maxLoads > c.parallel {
			t.Errorf("%d loads ran at the same time, allowed are %d", s.maxLoads, c.parallel)
		}
		gap := time.Duration(float64(time.Second) / c.rate)
		for i := range s.remoteStarts {
			for k := i + 1; k < len(s.remoteStarts); k++ {
				// Decisions and deliveries are rounded to simulation steps.
				if took := s.remoteStarts[k].Sub(s.remoteStarts[i]); took < time.Duration(k-i)*gap-2*simStep {
					t.Fatalf("%d loads started within %v, allowed are %v per second", k-i+1, took, c.rate)
				}
			}
		}
	}
}

// TestSlowLoad guards against an estimate that stays short while a load takes much longer than its hint, and
// against a slow load that the status does not show.
func TestSlowLoad(t *testing.T) {
	site := testSite(1, 2000)
	site.Placement.LoadFactor = 3
	x := newScript(t, site, engineRecord(0, 40, true))
	var before time.Duration
	for range 6 {
		x.demand("m0", 1)
		x.runFor(time.Second)
	}
	if got := x.p.Status(); got.SlowLoads != 0 || got.Models[0].SlowLoads != 0 {
		t.Errorf("a load is reported as slow before three times its hint, want no slow load: %+v", got)
	}
	for range 5 {
		x.demand("m0", 1)
		x.runFor(2 * time.Second)
		got := x.p.NextLoadEstimate("m0", x.now)
		if got <= before {
			t.Errorf("the estimate is %v, want more than the previous one of %v", got, before)
		}
		before = got
	}
	// The load has run for 16 s; the expected remaining time is as long again.
	if before < 10*time.Second || before > 20*time.Second {
		t.Errorf("the estimate for a load that has run for 16 s is %v, want 10 s to 20 s", before)
	}
	if got := x.p.Status(); got.SlowLoads != 1 || got.Models[0].SlowLoads != 1 {
		t.Errorf("the slow load is not reported, want 1 slow load in the status and in its model: %+v", got)
	}
}

// TestFreesMemoryBeforeLoad guards against a weight store that is idle while memory is freed, and against
// freeing memory on an upstream without the checkpoint when another upstream has it cached.
func TestFreesMemoryBeforeLoad(t *testing.T) {
	site := testSite(4, 5000)
	site.WeightStore.Parallel = 1
	short := site.Models["m1"]
	short.ColdStartMillis = 200
	site.Models["m1"], site.Models["m2"] = short, short
	for _, c := range []struct{ blocker, wanted, removed entity.ModelID }{{"m0", "m3", "m1"}, {"m3", "m0", "m2"}} {
		s := newSim(1, site)
		s.addHost(Policy{}).demand = []wire.ModelDemand{waitingDemand("m1", "", 1)}
		s.addEngine(engineRecord(0, 10, false))
		s.runFor(t, 2*time.Second, nil)
		// Only e1 has a cached checkpoint, that of m0.
		rec := engineRecord(1, 10, false)
		rec.Checkpoints = map[entity.ModelID]string{"m0": SourceDisk}
		s.addEngine(rec)
		s.hosts[0].demand = []wire.ModelDemand{waitingDemand("m1", "", 0), waitingDemand("m2", "", 1)}
		s.runFor(t, 2*time.Second, nil)
		s.addEngine(engineRecord(2, 10, false))
		s.hosts[0].demand = []wire.ModelDemand{waitingDemand("m2", "", 0), waitingDemand(string(c.blocker), "", 1)}
		s.runFor(t, 700*time.Millisecond, nil)
		s.hosts[0].demand = append(s.hosts[0].demand, waitingDemand(string(c.wanted), "", 1))
		s.runFor(t, 3*time.Second, nil)
		if s.ready(c.blocker, "") != 0 || s.ready(c.removed, "") != 0 {
			t.Errorf("%s should have been unloaded for %s while %s was loading\n%s", c.removed, c.wanted, c.blocker, s.dump())
		}
	}
}

// TestEstimateOfShortLoad guards against an estimate longer than the load: requests whose deadline is later
// than the end of the load would be refused.
func TestEstimateOfShortLoad(t *testing.T) {
	x := newScript(t, testSite(1, 300), engineRecord(0, 40, true))
	if got := x.p.NextLoadEstimate("m0", x.now); got != 300*time.Millisecond {
		t.Errorf("the estimate before the load is %v, want 300ms", got)
	}
	x.demand("m0", 1)
	x.runFor(200 * time.Millisecond)
	if got := x.p.NextLoadEstimate("m0", x.now); got > 300*time.Millisecond {
		t.Errorf("the estimate during the load is %v, want at most 300ms", got)
	}
}

// Guards against a model that is refused for good: its first load took 9 s because its order was lost and the engine
// restarted. That was taken for the time of every load, so each request was refused at once as not ready in time, and
// without requests no load corrected the estimate.
func TestInterruptedLoadDoesNotCountAsLoadTime(t *testing.T) {
	x := newScript(t, testSite(2, 300), engineRecord(0, 40, true))
	x.p.now = x.now
	x.p.recordLoadTime(&Entry{ID: "x", Model: "m0", State: StateLoading, Source: SourceRemote, OrderCount: 3}, 9*time.Second)
	for _, m := range []entity.ModelID{"m0", "m1"} {
		if got := x.p.NextLoadEstimate(m, x.now); got != 300*time.Millisecond {
			t.Errorf("the estimate of %s is %v after an interrupted load of m0, want the hint of 300ms", m, got)
		}
	}
}

// Guards against a long load time that keeps requests out although the weight store is fast again: without requests
// there is no load that shows it.
func TestLongLoadTimeIsForgotten(t *testing.T) {
	x := newScript(t, testSite(2, 300), engineRecord(0, 40, true))
	x.p.now = x.now
	x.p.recordLoadTime(&Entry{ID: "x", Model: "m0", State: StateLoading, Source: SourceRemote, OrderCount: 1}, 9*time.Second)
	for _, m := range []entity.ModelID{"m0", "m1"} {
		if got := x.p.NextLoadEstimate(m, x.now); got < 8*time.Second {
			t.Errorf("the estimate of %s is %v right after a load of 9s, want about that", m, got)
		}
		if got := x.p.NextLoadEstimate(m, x.now.Add(time.Hour)); got > 500*time.Millisecond {
			t.Errorf("the estimate of %s is %v an hour after a load of 9s, want about the hint of 300ms", m, got)
		}
	}
}
