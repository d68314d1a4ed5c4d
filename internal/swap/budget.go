package swap

import (
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
)

// storeBurst is the number of loads that may start at once in excess of the rate of the weight store.
const storeBurst = 2.0

// storeBudget is a token bucket that limits how many loads start at the weight store. A new coordinator
// starts with one load, because its predecessor may have started some immediately before.
type storeBudget struct {
	level   float64
	updated time.Time
}

// canLoadFromStore reports whether another load from the weight store of a service may start now.
func (s *Swapper) canLoadFromStore(id catalog.ServiceID, now time.Time) bool {
	e := s.engine(id)
	return e != nil && s.storeLoads() < s.parallel.maxLoads() && (e.LoadsPerSecond <= 0 || s.storeBudget(id, e.LoadsPerSecond, now).level >= 1)
}

// storeBudget returns the budget of a service, refilled up to now.
func (s *Swapper) storeBudget(id catalog.ServiceID, rate float64, now time.Time) *storeBudget {
	b := s.storeBudgets[id]
	if b == nil {
		b = &storeBudget{level: 1, updated: now}
		s.storeBudgets[id] = b
	}
	if dt := now.Sub(b.updated); dt > 0 {
		b.level = min(b.level+rate*dt.Seconds(), storeBurst)
		b.updated = now
	}
	return b
}

// consumeStoreLoad takes one load from the budget.
func (s *Swapper) consumeStoreLoad(id catalog.ServiceID, now time.Time) {
	if e := s.engine(id); e != nil && e.LoadsPerSecond > 0 {
		s.storeBudget(id, e.LoadsPerSecond, now).level--
	}
}
