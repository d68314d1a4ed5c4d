package swap

import (
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// offerDelay returns the time from the end of a model's load until the model is offered to the hosts.
func (s *sim) offerDelay(model entity.ModelID) time.Duration {
	s.t.Helper()
	var loaded time.Time
	for range 2000 {
		s.step()
		for _, id := range s.ids() {
			if s.engines[id].models[model] != nil && loaded.IsZero() {
				loaded = s.now
			}
		}
		for _, h := range s.swapper.EngineViews() {
			for _, m := range h.LoadedModels {
				if m.Model == model && !loaded.IsZero() {
					return s.now.Sub(loaded)
				}
			}
		}
	}
	s.t.Fatalf("model %s was not offered", model)
	return 0
}

// TestProbeDetectsEndOfLoad guards against requests that wait, and engines that stay idle, until a delayed
// report shows the end of a load.
func TestProbeDetectsEndOfLoad(t *testing.T) {
	s := newSim(t, 1, 2, 5, simFaults{})
	for _, id := range s.ids() {
		s.engines[id].copies["m04"] = true
		s.publishEntry(s.engines[id])
	}
	s.runFor(time.Second, 0, false)
	s.reportDemand(map[poolKey]int{{model: "m04"}: 1})
	if late := s.offerDelay("m04"); late > simReportLag/2 {
		t.Errorf("the model was offered %v after its load, want at most half of the report lag", late)
	}
}

// TestLoadLongerThanExpectedIsKept guards against abandoning a load that takes longer than its engine's
// configured load time, as loads do while others run.
func TestLoadLongerThanExpectedIsKept(t *testing.T) {
	s := newSim(t, 1, 2, 5, simFaults{})
	for _, id := range s.ids() {
		s.engines[id].copies["m04"] = true
		s.publishEntry(s.engines[id])
	}
	s.runFor(time.Second, 0, false)
	s.slowLoads = 2 * time.Second
	s.reportDemand(map[poolKey]int{{model: "m04"}: 1})
	before := s.ordersSent
	if late := s.offerDelay("m04"); late > 2*simReportLag {
		t.Errorf("the model was offered %v after its load, want at most twice the report lag", late)
	}
	if sent := s.ordersSent - before; sent > 2+maxProbes {
		t.Errorf("%d orders were sent for one load, want at most %d", sent, 2+maxProbes)
	}
}

// TestRepeatedOrderThatStartsNewLoad guards against a load that never ends at an engine that executes the
// repeated order as a new load: every probe restarted the load.
func TestRepeatedOrderThatStartsNewLoad(t *testing.T) {
	s := newSim(t, 1, 2, 5, simFaults{})
	s.reloadsLoadedModel = true
	for _, id := range s.ids() {
		s.engines[id].copies["m04"] = true
		s.publishEntry(s.engines[id])
	}
	s.runFor(time.Second, 0, false)
	before := s.ordersSent
	s.reportDemand(map[poolKey]int{{model: "m04"}: 1})
	s.offerDelay("m04")
	if sent := s.ordersSent - before; sent > 4 {
		t.Errorf("%d orders were sent for one load, want at most 4", sent)
	}
}
