package swap

import (
	"slices"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
)

const (
	// swapOverhead is the time that a swap takes in addition to the load from a copy: reporting the demand,
	// unloading, and notifying the hosts.
	swapOverhead = 300 * time.Millisecond
	// storeLoadOverhead is the same for a load from the weight store, the end of which only a report shows.
	storeLoadOverhead = 400 * time.Millisecond
)

// Estimate is the expected time until a model that requests wait for can be used.
type Estimate struct {
	Service catalog.ServiceID
	Model   entity.ModelID
	// Release is that of the streams that wait, if they can be continued nowhere else.
	Release entity.Release
	ReadyIn time.Duration
}

// Estimates returns an estimate for every model that requests wait for and no engine has loaded.
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
		out = append(out, Estimate{Service: m.key.service, Model: m.key.model, Release: m.key.release, ReadyIn: wait})
	}
	return out
}

// readyIn estimates the time until a model can be used. position is its position among the models that wait
// for the weight store; queued reports whether it is one of them.
func (s *Swapper) readyIn(key modelKey, position int, now time.Time) (wait time.Duration, queued bool) {
	e := s.engine(key.service)
	if e == nil || e.Models[key.model] == nil {
		return time.Hour, false
	}
	m := e.Models[key.model]
	start := max(s.firstOrderAt.Sub(now), 0)
	if left, ok := s.soonestEnd(now, s.index.replicasOf(s, key).loading); ok {
		return start + left, false
	}
	if left, ok := s.soonestEnd(now, s.index.enginesWithCopy(s, key)); ok {
		return start + m.DiskLoad + swapOverhead + left, false
	}
	if key.release != "" {
		return start + s.storeWait(key, m.StoreLoad, position, now) + storeLoadOverhead + s.parallel.loadTime(m.StoreLoad, s.maxStoreLoads(key)), true
	}
	rounds := time.Duration((s.storeLoads() + position) / s.maxStoreLoads(key))
	return start + storeLoadOverhead + m.StoreLoad*(rounds+1), true
}

// storeWait estimates the time until the weight store has room for the load of a model for streams that have begun, which
// come first: position is its position among these. Those that find no running load to follow take one load time each
// round.
func (s *Swapper) storeWait(key modelKey, loadTime time.Duration, position int, now time.Time) time.Duration {
	excess := s.storeLoads() + position - s.maxStoreLoads(key)
	if excess < 0 {
		return 0
	}
	var ends []time.Duration
	for _, r := range s.index.engineStates(s) {
		if r.task != nil && r.task.usesStore() {
			ends = append(ends, s.remainingTime(r, now))
		}
	}
	slices.Sort(ends)
	if excess < len(ends) {
		return ends[excess]
	}
	rounds := 1 + (excess-len(ends))/s.maxStoreLoads(key)
	return time.Duration(rounds) * loadTime
}

// remainingTime estimates the remaining time of an engine's task.
func (s *Swapper) remainingTime(r *engineState, now time.Time) time.Duration {
	t := r.task
	if t == nil {
		return 0
	}
	overhead := swapOverhead
	if t.usesStore() {
		overhead = storeLoadOverhead
	}
	if t.stage == stageLoading {
		return max(t.readyAt.Sub(now), 0) + overhead
	}
	return s.loadTime(r, t) + overhead
}

// soonestEnd returns the shortest remaining time among some engines. ok is false when there are none.
func (s *Swapper) soonestEnd(now time.Time, among []*engineState) (left time.Duration, ok bool) {
	for _, r := range among {
		if l := s.remainingTime(r, now); !ok || l < left {
			left, ok = l, true
		}
	}
	return left, ok
}
