package edge

import (
	"maps"
	"slices"
	"testing"

	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/fleet"
	"github.com/foxtailpass/foxtailpass/internal/swap"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

func engineView(id string, models ...entity.ModelID) swap.EngineView {
	v := swap.EngineView{Upstream: fleet.Incarnation{ID: entity.UpstreamID(id)}}
	for _, m := range models {
		v.LoadedModels = append(v.LoadedModels, fleet.LoadedModel{Model: m})
	}
	return v
}

// Guards against a coordinator that notifies every host with waiting requests of every change at any engine:
// with 295 hosts in a burst of rare models these were thousands of messages a second, and the coordinator's
// answers to token requests arrived too late (8 to 13 s).
func TestModelChangesReachOnlyWaitingHosts(t *testing.T) {
	states := newStateTable()
	states.refresh([]swap.EngineView{engineView("e1", "m1"), engineView("e2", "m2")}, false)
	clear(states.changedModels)
	waits := func(models ...entity.ModelID) bool {
		h := &hostSession{}
		for _, m := range models {
			h.poolDemands = append(h.poolDemands, wire.PoolDemand{Service: "s", Model: m, Waiting: 1})
		}
		return h.waitsForAny(states.changedModels)
	}
	states.refresh([]swap.EngineView{engineView("e1", "m1"), engineView("e2", "m2")}, false)
	if len(states.changedModels) != 0 {
		t.Errorf("changed models %v although nothing changed", slices.Collect(maps.Keys(states.changedModels)))
	}
	states.refresh([]swap.EngineView{engineView("e1", "m1", "m3"), engineView("e2", "m2")}, false)
	if !waits("m9", "m3") {
		t.Error("a host that waits for the newly loaded model is not notified")
	}
	if waits("m2") || waits("m9") || waits() {
		t.Error("a host is notified of a model that it does not wait for")
	}
	clear(states.changedModels)
	states.refresh([]swap.EngineView{engineView("e1", "m1", "m3")}, false)
	if !waits("m2") || waits("m3") {
		t.Errorf("changed models %v, want only m2, whose engine was removed", slices.Collect(maps.Keys(states.changedModels)))
	}
}
