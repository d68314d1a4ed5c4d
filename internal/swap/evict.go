package swap

import (
	"sort"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// eviction returns the cheapest set of models whose removal makes room for a size.
func (s *Swapper) eviction(r *replica, e *catalog.Engine, neededMB float64, now time.Time) ([]entity.ModelID, float64, bool) {
	room := e.WeightsMB - s.adapterMB[r.up.Service] - r.usedMB(e) - neededMB
	if room >= 0 {
		return nil, 0, true
	}
	ids, costs := s.evictable(r, now)
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
		if room+freed >= 0 && (!found || cost < bestCost) {
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

// evictable lists the models of an engine that no request uses, with what their removal costs.
func (s *Swapper) evictable(r *replica, now time.Time) ([]entity.ModelID, []float64) {
	var ids []entity.ModelID
	for id, h := range r.held {
		unused := h.running == 0 && now.Sub(h.usedAt) >= unusedTime && now.Sub(h.loadedAt) >= settleTime
		if unused && !h.unloading || s.stranger(r, id) {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	if len(ids) > maxModels {
		ids = ids[:maxModels]
	}
	costs := make([]float64, len(ids))
	for i, id := range ids {
		costs[i] = s.evictionCost(r, id, now)
	}
	return ids, costs
}

// stranger says whether a model is no longer offered.
func (s *Swapper) stranger(r *replica, id entity.ModelID) bool {
	e := s.engine(r.up.Service)
	return e != nil && e.Models[id] == nil && r.held[id].running == 0
}

// evictionCost is the expected time lost by requests for the model, in seconds a second.
func (s *Swapper) evictionCost(r *replica, id entity.ModelID, now time.Time) float64 {
	key := modelKey{service: r.up.Service, model: id}
	rate := priorRate
	m := s.models[key]
	if m != nil {
		rate += m.rate
	}
	others := len(s.ready(key)) - 1
	cost := evictionSeconds * rate / float64(max(others, 0)*4+1)
	if others <= 0 && m != nil && m.waiting > 0 {
		cost += 100
	}
	if r.copies[id] == 0 && others <= 0 {
		// Without a copy the next request waits for the weight store.
		cost += 20 * rate
	}
	return cost
}
