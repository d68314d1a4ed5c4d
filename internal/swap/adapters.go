package swap

import (
	"sort"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// maxAdapterTransit is the number of adapters that may be on their way to one engine.
const maxAdapterTransit = 4

// loadAdapters orders the adapters that requests wait for on an engine that holds their model. An
// engine that carries out an order for a model refuses them.
func (s *Swapper) loadAdapters(wanted []*modelRow, now time.Time) {
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
	var best *replica
	for _, r := range s.ready(key) {
		h := r.held[key.model]
		if a := h.adapters[id]; a != nil && !a.unloading {
			// It is there, or it is on its way.
			return
		}
		if !r.free(now) || r.transit() >= maxAdapterTransit {
			continue
		}
		if best == nil || r.adapterCount()+r.running < best.adapterCount()+best.running {
			best = r
		}
	}
	if best == nil {
		return
	}
	if best.adapterCount() >= e.AdapterPlaces {
		s.evictAdapter(best, now)
		return
	}
	best.held[key.model].adapters[id] = &adapter{readyAt: never, usedAt: now}
	s.send(best, Load, key.model, id, now)
}

// transit counts the adapters that are on their way.
func (r *replica) transit() int {
	n := 0
	for _, h := range r.held {
		for _, a := range h.adapters {
			if !a.readyAt.IsZero() {
				n++
			}
		}
	}
	return n
}

// evictAdapter unloads the adapter that has been unused for longest.
func (s *Swapper) evictAdapter(r *replica, now time.Time) {
	var model entity.ModelID
	var id entity.AdapterID
	var oldest *adapter
	for _, h := range r.held {
		for aid, a := range h.adapters {
			if a.running > 0 || a.unloading || !a.readyAt.IsZero() {
				continue
			}
			if oldest == nil || a.usedAt.Before(oldest.usedAt) || a.usedAt.Equal(oldest.usedAt) && aid < id {
				model, id, oldest = h.model, aid, a
			}
		}
	}
	if oldest == nil {
		return
	}
	oldest.unloading = true
	s.changed()
	s.send(r, Unload, model, id, now)
}
