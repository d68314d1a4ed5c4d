package placement

import (
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/wire"
)

// TestShrinkKeepsReady guards against draining the only ready replica when demand falls while a second
// replica is still loading. The model would then have no ready replica until that load ends.
func TestShrinkKeepsReady(t *testing.T) {
	site := testSite(1, 30_000)
	site.Placement.HoldMillis = 1000
	s := newSim(1, site)
	h := s.addHost(Policy{})
	for i := range 3 {
		s.addEngine(engineRecord(i, 100, true))
	}
	run := func(d time.Duration) {
		for end := s.now.Add(d); s.now.Before(end); {
			s.step()
		}
	}
	h.demand = []wire.ModelDemand{{Model: "m0", WaitingInteractive: 1, OldestDeadline: time.Minute}}
	for range 4000 {
		if s.step(); s.ready("m0", "") == 1 {
			break
		}
	}
	if s.ready("m0", "") != 1 {
		t.Fatal("the model was not loaded")
	}
	h.demand = []wire.ModelDemand{{Model: "m0", Running: 6}}
	run(3 * time.Second)
	if s.loads["m0"] != 2 {
		t.Fatalf("%d loads were started, want 2", s.loads["m0"])
	}
	h.demand = []wire.ModelDemand{{Model: "m0", Running: 2}}
	for range 2000 {
		if s.step(); s.ready("m0", "") == 0 {
			t.Fatalf("the model has no ready replica\n%s", s.dump())
		}
	}
}
