package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/config"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

func testSite(models int, coldMillis int64) *config.Site {
	site := &config.Site{Revision: 1}
	site.WeightStore = config.WeightStore{LoadsPerSecond: 7, Parallel: 4, AdapterParallel: 32}
	site.Placement = config.Placement{IdleMillis: 300_000, HoldMillis: 10_000, LoadFactor: 3, FreeMemoryShare: 0.5}
	site.Models = map[entity.ModelID]config.Model{}
	for i := range models {
		site.Models[modelName(i)] = config.Model{
			Bytes: 10, ColdStartMillis: coldMillis, Slots: 4, MaxReplicas: 3, Accelerators: 1, UpstreamKind: "engine",
			Adapters: map[entity.AdapterID]config.Adapter{"a0": {Bytes: 1}, "a1": {Bytes: 1}, "a2": {Bytes: 1}},
		}
	}
	return site
}

func modelName(i int) entity.ModelID { return entity.ModelID(fmt.Sprintf("m%d", i)) }

func engineRecord(i int, memory int64, fence bool) config.UpstreamRecord {
	return config.UpstreamRecord{
		ID: entity.UpstreamID(fmt.Sprintf("e%d", i)), Kind: "engine", State: config.UpstreamLive, Accelerators: 8,
		MemoryBytes: memory, ChecksFence: fence, FailureDomain: fmt.Sprintf("d%d", i%3),
	}
}

// TestHostsShareLoads guards against a separate load for each host when all hosts have demand for the same model that
// is not loaded.
func TestHostsShareLoads(t *testing.T) {
	for _, hosts := range []int{1, 3, 8} {
		s := newSim(1, testSite(2, 2000))
		for range hosts {
			s.addHost(Policy{})
		}
		for i := range 4 {
			s.addEngine(engineRecord(i, 100, i%2 == 0))
		}
		for _, h := range s.hosts {
			h.demand = []wire.ModelDemand{{Model: "m0", Running: 0, WaitingInteractive: 1, OldestDeadline: time.Minute}}
		}
		s.hosts[0].demand = append(s.hosts[0].demand, wire.ModelDemand{Model: "m0", Adapter: "a1", WaitingInteractive: 1, OldestDeadline: time.Minute})
		for range 300 {
			s.step()
			if err := s.check(); err != nil {
				t.Fatal(err)
			}
		}
		want := min(3, (hosts+1+3)/4)
		if s.loads["m0"] != want || s.ready("m0", "") != want || s.ready("m0", "a1") != 1 {
			t.Errorf("%d hosts: %d loads, %d ready, %d with adapter a1; want %d loads and ready replicas, 1 with adapter a1\n%s", hosts, s.loads["m0"], s.ready("m0", ""), s.ready("m0", "a1"), want, s.dump())
		}
		for _, h := range s.hosts {
			ready := 0
			for _, r := range h.p.Replicas("m0", "a1") {
				if r.Ready && !r.Draining && r.Slots == 4 {
					ready++
				}
			}
			if ready != 1 || h.p.NextLoadEstimate("m0", s.now) != 0 {
				t.Errorf("%s: %d ready replicas with adapter a1, want 1, and a load estimate of 0", h.rec.ID, ready)
			}
		}
	}
}

// TestDelayedReportOfFormerBoot guards against ignoring an engine permanently after a delayed report of a
// former boot was taken for a newer one.
func TestDelayedReportOfFormerBoot(t *testing.T) {
	s := newSim(1, testSite(1, 2000))
	h := s.addHost(Policy{})
	steps := []struct {
		boot   string
		seq    uint64
		at     time.Duration
		accept bool
	}{
		{"new", 1, 0, true},
		{"old", 9, 10 * time.Millisecond, true},
		{"new", 2, time.Second, false},
		{"new", 3, 4 * time.Second, true},
		{"old", 9, 5 * time.Second, false},
	}
	for i, step := range steps {
		h.p.HandleReport(wire.UpstreamReport{Upstream: "e0", Boot: step.boot, Seq: step.seq}, s.now.Add(step.at))
		r := h.p.upstreams["e0"].report
		if accepted := r.Boot == step.boot && r.Seq == step.seq; accepted != step.accept {
			t.Errorf("step %d: accepted is %v, want %v", i, accepted, step.accept)
		}
	}
}
