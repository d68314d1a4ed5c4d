package swap

import (
	"sort"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// maxPendingAdapters is the number of adapters that one engine may be loading at a time.
const maxPendingAdapters = 4

// loadAdapters orders loads of the adapters that requests wait for, on engines that have loaded their
// model. An engine that is executing an order for a model refuses orders for adapters.
func (s *Swapper) loadAdapters(wanted []*modelDemand, now time.Time) {
	for _, m := range wanted {
		ids := make([]entity.AdapterID, 0, len(m.adapters))
		for id := range m.adapters {
			ids = append(ids, id)
		}
		sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
		for _, id := range ids {
			s.loadAdapter(m.key, id, now)
		}
	}
}

func (s *Swapper) loadAdapter(key modelKey, id entity.AdapterID, now time.Time) {
	e := s.engine(key.service)
	if e == nil || e.Models[key.model] == nil {
		return
	}
	var best *engineState
	for _, r := range s.ready(key) {
		lm := r.loadedModels[key.model]
		if a := lm.adapters[id]; a != nil && !a.unloading {
			// The adapter is loaded or being loaded.
			return
		}
		if !r.canStartTask(now) || r.pendingAdapters() >= maxPendingAdapters {
			continue
		}
		if best == nil || r.adapterCount()+r.running < best.adapterCount()+best.running {
			best = r
		}
	}
	if best == nil {
		return
	}
	if best.adapterCount() >= e.AdapterSlots {
		s.evictAdapter(best, now)
		return
	}
	best.loadedModels[key.model].adapters[id] = &adapter{readyAt: never, usedAt: now}
	s.sendOrder(best, Load, key.model, id, now)
}

// pendingAdapters counts the adapters that are being loaded.
func (e *engineState) pendingAdapters() int {
	n := 0
	for _, lm := range e.loadedModels {
		for _, a := range lm.adapters {
			if !a.readyAt.IsZero() {
				n++
			}
		}
	}
	return n
}

// evictAdapter unloads the least recently used adapter that no request uses.
func (s *Swapper) evictAdapter(r *engineState, now time.Time) {
	var model entity.ModelID
	var id entity.AdapterID
	var oldest *adapter
	for _, lm := range r.loadedModels {
		for aid, a := range lm.adapters {
			if a.running > 0 || a.unloading || !a.readyAt.IsZero() {
				continue
			}
			if oldest == nil || a.usedAt.Before(oldest.usedAt) || a.usedAt.Equal(oldest.usedAt) && aid < id {
				model, id, oldest = lm.model, aid, a
			}
		}
	}
	if oldest == nil {
		return
	}
	oldest.unloading = true
	s.markChanged()
	s.sendOrder(r, Unload, model, id, now)
}
