package swap

import (
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
)

const (
	// swapOverhead is the time around a load from a copy: demand, unload and notification.
	swapOverhead = 300 * time.Millisecond
	// storeOverhead is the same around a load from the weight store, whose end is read from a
	// report.
	storeOverhead = 400 * time.Millisecond
)

// Estimate says when a model that requests wait for can be used.
type Estimate struct {
	Service catalog.ServiceID
	Model   entity.ModelID
	ReadyIn time.Duration
}

// Estimates returns the estimates for all models that are waited for or loading.
func (s *Swapper) Estimates(now time.Time) []Estimate {
	var out []Estimate
	position := 0
	for _, m := range s.wantedModels(now) {
		if len(s.ready(m.key)) > 0 {
			continue
		}
		wait, queued := s.readyIn(m.key, position, now)
		if queued {
			position++
		}
		out = append(out, Estimate{Service: m.key.service, Model: m.key.model, ReadyIn: wait})
	}
	return out
}

// readyIn estimates one model; queued says that it waits for the weight store.
func (s *Swapper) readyIn(key modelKey, position int, now time.Time) (wait time.Duration, queued bool) {
	e := s.engine(key.service)
	if e == nil || e.Models[key.model] == nil {
		return time.Hour, false
	}
	m := e.Models[key.model]
	start := max(s.from.Sub(now), 0)
	if r := s.loader(key); r != nil {
		return start + s.taskLeft(r, now), false
	}
	if s.hasCopy(key) {
		return start + m.DiskLoad + swapOverhead + s.soonestCopy(key, now), false
	}
	rounds := time.Duration(s.storeLoads()+position) / storeParallel
	return start + storeOverhead + m.StoreLoad*(rounds+1), true
}

func (s *Swapper) loader(key modelKey) *replica {
	for _, r := range s.replicas {
		if r.loads(key) {
			return r
		}
	}
	return nil
}

// taskLeft estimates the rest of an engine's task.
func (s *Swapper) taskLeft(r *replica, now time.Time) time.Duration {
	t := r.task
	if t == nil {
		return 0
	}
	overhead := swapOverhead
	if t.usesStore() {
		overhead = storeOverhead
	}
	if t.stage == stageLoading {
		return max(t.readyAt.Sub(now), 0) + overhead
	}
	return s.loadTime(r, t) + overhead
}

// soonestCopy is when the first engine with a copy is free.
func (s *Swapper) soonestCopy(key modelKey, now time.Time) time.Duration {
	soonest := time.Duration(-1)
	for _, r := range s.replicas {
		if !r.hasCopy(key) {
			continue
		}
		if left := s.taskLeft(r, now); soonest < 0 || left < soonest {
			soonest = left
		}
	}
	return max(soonest, 0)
}
