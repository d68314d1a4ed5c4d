package swap

import (
	"sort"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// inUseCost is the cost of evicting a model for each request that uses it.
const inUseCost = 0.5

// cheapestEviction returns the models whose eviction frees enough memory for neededMB at the lowest cost,
// that cost, and whether there is such a set.
// inUse allows the eviction of models that requests use: the engine unloads them when these have ended.
func (s *Swapper) cheapestEviction(r *engineState, e *catalog.Engine, neededMB float64, inUse bool, now time.Time) ([]entity.ModelID, float64, bool) {
	freeMB := e.WeightsMB - s.adapterMB[r.upstream.Service] - r.usedMB(e) - neededMB
	if freeMB >= 0 {
		return nil, 0, true
	}
	ids, costs := s.evictionCandidates(r, inUse, now)
	var best []entity.ModelID
	bestCost, found := 0.0, false
	for set := 1; set < 1<<len(ids); set++ {
		freed, cost := 0.0, 0.0
		for i, id := range ids {
			if set&(1<<i) != 0 {
				freed += sizeMB(e, id)
				cost += costs[i]
			}
		}
		if freeMB+freed >= 0 && (!found || cost < bestCost) {
			found, bestCost = true, cost
			best = best[:0]
			for i, id := range ids {
				if set&(1<<i) != 0 {
					best = append(best, id)
				}
			}
		}
	}
	return best, bestCost, found
}

// evictionCandidates returns the models of an engine that can be evicted, with the cost of each eviction: models
// that no request uses and that have been unused and loaded for long enough, and models that the configuration
// no longer lists.
func (s *Swapper) evictionCandidates(r *engineState, inUse bool, now time.Time) ([]entity.ModelID, []float64) {
	var ids []entity.ModelID
	for id, lm := range r.loadedModels {
		unused := lm.running == 0 && now.Sub(lm.usedAt) >= minUnusedTime
		if (unused || inUse) && now.Sub(lm.loadedAt) >= minLoadedTime && !lm.unloading || s.isDelisted(r, id) {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	if len(ids) > maxEvictionCandidates {
		ids = ids[:maxEvictionCandidates]
	}
	costs := make([]float64, len(ids))
	for i, id := range ids {
		costs[i] = s.evictionCost(r, id, now) + inUseCost*float64(r.loadedModels[id].running)
	}
	return ids, costs
}

// isDelisted reports whether the configuration no longer lists a model and no request uses it.
func (s *Swapper) isDelisted(r *engineState, id entity.ModelID) bool {
	e := s.engine(r.upstream.Service)
	return e != nil && e.Models[id] == nil && r.loadedModels[id].running == 0
}

// evictionCost returns the expected delay that the eviction of a model causes to its requests, in seconds of
// delay per second.
func (s *Swapper) evictionCost(r *engineState, id entity.ModelID, now time.Time) float64 {
	key := modelKey{service: r.upstream.Service, model: id}
	rate := priorRate
	m := s.models[key]
	if m != nil {
		rate += m.rate
	}
	others := len(s.ready(key)) - 1
	cost := reloadSeconds * rate / float64(max(others, 0)*4+1)
	if others <= 0 && m != nil && m.waiting > 0 {
		cost += 100
	}
	pinned := modelKey{service: key.service, model: id, release: r.upstream.Release}
	if d := s.models[pinned]; d != nil && d.waiting > 0 && len(s.ready(pinned)) <= 1 {
		cost += 100
	}
	if r.copies[id] == 0 && others <= 0 {
		// Without a copy, the next request waits for a load from the weight store.
		cost += 20 * rate
	}
	return cost
}
