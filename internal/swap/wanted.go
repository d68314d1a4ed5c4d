package swap

import (
	"sort"
	"time"
)

const (
	// manyWaiting requests for one model are brought their model whether they are late or not.
	manyWaiting = 3
	// overdueTime bounds how long requests that have passed their target stay behind others.
	overdueTime = 5 * time.Second
)

// wantedModels returns the models that requests wait for, in the order in which they are brought. In a
// burst of requests for many models the engines cannot load all in time; with the longest wait first all
// would be late. So those that can still be in time go first, and among equals the longest wait.
func (s *Swapper) wantedModels(now time.Time) []*modelRow {
	var out []*modelRow
	for _, m := range s.models {
		if m.waiting > 0 {
			out = append(out, m)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := out[i], out[j]
		if s.policy.CountFirst {
			return a.waiting > b.waiting || a.waiting == b.waiting && a.key.model < b.key.model
		}
		if late := s.late(a, now); late != s.late(b, now) {
			return !late
		}
		if !a.waitingSince.Equal(b.waitingSince) {
			return a.waitingSince.Before(b.waitingSince)
		}
		return a.key.model < b.key.model
	})
	return out
}

// late says whether the few requests for a model pass their targets before it can be loaded.
func (s *Swapper) late(m *modelRow, now time.Time) bool {
	e := s.engine(m.key.service)
	if e == nil || e.Models[m.key.model] == nil || m.waiting >= manyWaiting {
		return false
	}
	over := now.Add(e.Models[m.key.model].DiskLoad + swapOverhead).Sub(m.due)
	return over > 0 && over < overdueTime
}
