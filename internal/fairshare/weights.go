package fairshare

import (
	"maps"
	"slices"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// minWeight is the least weight. Below it, one request of a workspace that alone competes would move the virtual time so far
// that requests of others no longer changed it.
const minWeight = 1e-6

// Weights holds the weights of workspaces. The mean weight before the factors are applied is 1. A nil Weights gives every
// workspace the weight 1.
type Weights struct {
	byWorkspace map[entity.WorkspaceID]float64
}

// NewWeights returns the weights of the workspaces of a configuration: the rate of each times its factor. A workspace
// without a rate weighs as the mean of those with one.
func NewWeights(cat *catalog.Catalog, factors map[entity.WorkspaceID]float64) *Weights {
	total, rated := 0.0, 0
	for _, id := range slices.Sorted(maps.Keys(cat.Workspaces())) {
		if rate := cat.Workspace(id).Rate; rate > 0 {
			total += rate
			rated++
		}
	}
	w := &Weights{byWorkspace: make(map[entity.WorkspaceID]float64, len(cat.Workspaces()))}
	for id, ws := range cat.Workspaces() {
		weight := 1.0
		if ws.Rate > 0 {
			weight = ws.Rate * float64(rated) / total
		}
		if f, ok := factors[id]; ok {
			weight *= f
		}
		w.byWorkspace[id] = max(weight, minWeight)
	}
	return w
}

// Of returns the weight of a workspace. Requests without a workspace, and of unknown ones, weigh as the mean.
func (w *Weights) Of(id entity.WorkspaceID) float64 {
	if w != nil {
		if v, ok := w.byWorkspace[id]; ok {
			return v
		}
	}
	return 1
}
