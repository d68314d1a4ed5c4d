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
	if left, ok := s.soonest(now, s.index.holdersOf(s, key).loading); ok {
		return start + left, false
	}
	if left, ok := s.soonest(now, s.index.copiesOf(s, key)); ok {
		return start + m.DiskLoad + swapOverhead + left, false
	}
	rounds := time.Duration((s.storeLoads() + position) / s.parallel.loads())
	return start + storeOverhead + m.StoreLoad*(rounds+1), true
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

// soonest returns when the first of some engines ends its task; ok says that there is one.
func (s *Swapper) soonest(now time.Time, among []*replica) (left time.Duration, ok bool) {
	for _, r := range among {
		if l := s.taskLeft(r, now); !ok || l < left {
			left, ok = l, true
		}
	}
	return left, ok
}
