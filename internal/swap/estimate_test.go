package swap

import (
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/fleet"
)

// TestEstimateUsesSoonestLoad guards against requests that are refused because of the estimate of a slower
// load when several engines load their model: the engine whose load was estimated depended on the iteration
// order of a map.
func TestEstimateUsesSoonestLoad(t *testing.T) {
	s := New(testStart, 1)
	model := &catalog.Model{ID: "m", SizeMB: 60, DiskLoad: 800 * time.Millisecond}
	e := &catalog.Engine{Slots: 8, WeightsMB: 100, Models: map[entity.ModelID]*catalog.Model{"m": model}}
	s.SetCatalog(catalog.New(catalog.Document{Version: 1, Services: []*catalog.Service{{ID: simService, Engine: e}}}))
	for i, left := range []time.Duration{900, 200, 700, 500} {
		u := &fleet.Upstream{Incarnation: fleet.Incarnation{ID: entity.UpstreamID(rune('a' + i))}, Service: simService}
		r := newEngineState(u)
		r.task = &task{model: "m", loadFrom: onDisk, stage: stageLoading, readyAt: testStart.Add(left * time.Millisecond)}
		s.engineStates[u.ID] = r
	}
	for range 20 {
		if wait, _ := s.readyIn(modelKey{service: simService, model: "m"}, 0, testStart); wait != 200*time.Millisecond+swapOverhead {
			t.Fatalf("ready in %v, want the 200 ms of the soonest load plus the overhead", wait)
		}
	}
}
