package swap

import (
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// usableAfter returns how long after the end of its load a model is offered to the hosts.
func (s *sim) usableAfter(model entity.ModelID) time.Duration {
	s.t.Helper()
	var loaded time.Time
	for range 2000 {
		s.step()
		for _, id := range s.ids() {
			if s.engines[id].models[model] != nil && loaded.IsZero() {
				loaded = s.now
			}
		}
		for _, h := range s.swapper.Holdings() {
			for _, m := range h.Held {
				if m.Model == model && !loaded.IsZero() {
					return s.now.Sub(loaded)
				}
			}
		}
	}
	s.t.Fatalf("model %s was not offered", model)
	return 0
}

// TestEndOfLoadIsSeenAtOnce guards against requests that wait, and engines that stand still, for a
// report that lags behind the end of a load.
func TestEndOfLoadIsSeenAtOnce(t *testing.T) {
	s := newSim(t, 1, 2, 5, simFaults{})
	for _, id := range s.ids() {
		s.engines[id].copies["m04"] = true
		s.list(s.engines[id])
	}
	s.runFor(time.Second, 0, false)
	s.report(map[poolKey]int{{model: "m04"}: 1})
	if late := s.usableAfter("m04"); late > simReportLag/2 {
		t.Errorf("the model was offered %v after its load, want less than half of the reports' lag", late)
	}
}

// TestLoadThatEndsLaterThanExpected guards against giving up on a load that takes longer than its
// engine says, as loads do while others run.
func TestLoadThatEndsLaterThanExpected(t *testing.T) {
	s := newSim(t, 1, 2, 5, simFaults{})
	for _, id := range s.ids() {
		s.engines[id].copies["m04"] = true
		s.list(s.engines[id])
	}
	s.runFor(time.Second, 0, false)
	s.slowLoads = 2 * time.Second
	s.report(map[poolKey]int{{model: "m04"}: 1})
	before := s.ordersSent
	if late := s.usableAfter("m04"); late > 2*simReportLag {
		t.Errorf("the model was offered %v after its load", late)
	}
	if sent := s.ordersSent - before; sent > 2+maxProbes {
		t.Errorf("%d orders were sent for one load, want at most %d", sent, 2+maxProbes)
	}
}

// TestEngineThatLoadsAgain guards against a load that never ends where an engine takes the repeated
// order as a new one: every probe began the load anew (TestModelsAreSwappedIn on our stand-in).
func TestEngineThatLoadsAgain(t *testing.T) {
	s := newSim(t, 1, 2, 5, simFaults{})
	s.loadsAgain = true
	for _, id := range s.ids() {
		s.engines[id].copies["m04"] = true
		s.list(s.engines[id])
	}
	s.runFor(time.Second, 0, false)
	before := s.ordersSent
	s.report(map[poolKey]int{{model: "m04"}: 1})
	s.usableAfter("m04")
	if sent := s.ordersSent - before; sent > 4 {
		t.Errorf("%d orders were sent for one load", sent)
	}
}
