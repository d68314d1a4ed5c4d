package swap

import (
	"cmp"
	"slices"
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
	var wanted []wantedModel
	for _, m := range s.models {
		if m.waiting > 0 {
			wanted = append(wanted, wantedModel{row: m, late: s.late(m, now)})
		}
	}
	slices.SortFunc(wanted, func(a, b wantedModel) int { return a.compare(b, s.policy.CountFirst) })
	out := make([]*modelRow, 0, len(wanted))
	for _, w := range wanted {
		out = append(out, w.row)
	}
	return out
}

// wantedModel is a row with what its place depends on at one moment.
type wantedModel struct {
	row  *modelRow
	late bool
}

func (a wantedModel) compare(b wantedModel, countFirst bool) int {
	byModel := cmp.Compare(a.row.key.model, b.row.key.model)
	switch {
	case countFirst:
		return cmp.Or(cmp.Compare(b.row.waiting, a.row.waiting), byModel)
	case a.late != b.late && b.late:
		return -1
	case a.late != b.late:
		return 1
	}
	return cmp.Or(a.row.waitingSince.Compare(b.row.waitingSince), byModel)
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
