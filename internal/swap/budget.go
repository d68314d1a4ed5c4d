package swap

import (
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
)

// storeBurst is the number of loads that may start at once beside the weight store's rate.
const storeBurst = 2.0

// storeBudget bounds how many loads start at the weight store. A new coordinator starts with one
// load, because its predecessor may have started some just now.
type storeBudget struct {
	level   float64
	updated time.Time
}

// storeMayLoad says whether another load may start at the weight store of a service now.
func (s *Swapper) storeMayLoad(id catalog.ServiceID, now time.Time) bool {
	e := s.engine(id)
	return e != nil && s.storeLoads() < s.parallel.loads() && (e.LoadsPerSecond <= 0 || s.storeBudget(id, e.LoadsPerSecond, now).level >= 1)
}

// storeBudget returns the budget of a service as of now.
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

// countStoreLoad takes one load out of the budget.
func (s *Swapper) countStoreLoad(id catalog.ServiceID, now time.Time) {
	if e := s.engine(id); e != nil && e.LoadsPerSecond > 0 {
		s.storeBudget(id, e.LoadsPerSecond, now).level--
	}
}
