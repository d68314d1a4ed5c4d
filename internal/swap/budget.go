package swap

import (
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
)

// storeBurst is the number of loads that may start at once in excess of the rate of the weight store.
const storeBurst = 2.0

// extraLoadShare is the share of parallel loads that may run in addition for streams that have begun.
const extraLoadShare = 0.25

// storeBudget is a token bucket that limits how many loads start at the weight store. A new coordinator
// starts with one load, because its predecessor may have started some immediately before.
type storeBudget struct {
	level   float64
	updated time.Time
}

// canLoadFromStore reports whether another load of a model from the weight store may start now.
func (s *Swapper) canLoadFromStore(key modelKey, now time.Time) bool {
	e := s.engine(key.service)
	return e != nil && s.storeLoads() < s.maxStoreLoads(key) && (e.LoadsPerSecond <= 0 || s.storeBudget(key.service, e.LoadsPerSecond, now).level >= 1)
}

// maxStoreLoads returns how many loads from the weight store may run at once when a load of a model starts. Streams that
// have begun cannot wait until a load ends, so a few more loads may run for them, all a little slower.
func (s *Swapper) maxStoreLoads(key modelKey) int {
	n := s.parallel.maxLoads()
	if key.release != "" {
		n += max(int(extraLoadShare*float64(n)), 1)
	}
	return n
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
