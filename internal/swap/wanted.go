package swap

import (
	"cmp"
	"slices"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/fairshare"
)

const (
	// manyWaiting is the number of waiting requests from which a model is never deferred, even if they will
	// be late.
	manyWaiting = 3
	// maxOverdue bounds how long the models of requests that have exceeded their target latency are deferred.
	maxOverdue = 5 * time.Second
)

// wantedModels returns the models that requests wait for, in the order in which they are loaded. Models that streams wait
// for which have begun and can go on at one release only come first: their callers have waited, and have less time left
// than those of new requests. In a burst
// of requests for many models the engines cannot load all models in time. If the longest wait went first,
// all requests would be late. So models whose requests can still be served in time go first, and within
// each group the one whose requests have waited longest. If loads are shared by workspace, the models of workspaces under
// their share of the loads go before all that, and those wanted only by workspaces over it after all that.
func (s *Swapper) wantedModels(now time.Time) []*modelDemand {
	var wanted []wantedModel
	for _, m := range s.models {
		if m.waiting > 0 {
			wanted = append(wanted, wantedModel{demand: m, willBeLate: s.willBeLate(m, now), standing: m.standing})
		}
	}
	slices.SortFunc(wanted, func(a, b wantedModel) int { return a.compare(b, s.policy.CountFirst) })
	out := make([]*modelDemand, 0, len(wanted))
	for _, w := range wanted {
		out = append(out, w.demand)
	}
	return out
}

// wantedModel is a model with the values that determine its position in the order at one moment.
type wantedModel struct {
	demand     *modelDemand
	willBeLate bool
	// standing is that of the workspaces that wait for the model, see loadShares.
	standing fairshare.Standing
}

// compare returns a negative number if the model of a is loaded before the model of b.
func (a wantedModel) compare(b wantedModel, countFirst bool) int {
	byModel := cmp.Or(cmp.Compare(a.demand.key.model, b.demand.key.model), cmp.Compare(a.demand.key.release, b.demand.key.release))
	aContinues, bContinues := a.demand.key.release != "", b.demand.key.release != ""
	switch {
	case aContinues != bContinues && aContinues:
		return -1
	case aContinues != bContinues:
		return 1
	case a.standing != b.standing:
		return cmp.Compare(a.standing, b.standing)
	case countFirst:
		return cmp.Or(cmp.Compare(b.demand.waiting, a.demand.waiting), byModel)
	case a.willBeLate != b.willBeLate && b.willBeLate:
		return -1
	case a.willBeLate != b.willBeLate:
		return 1
	}
	return cmp.Or(a.demand.waitingSince.Compare(b.demand.waitingSince), byModel)
}

// willBeLate reports whether a model has few waiting requests and a load from a copy on disk would end after
// all of them have exceeded their target latency, but by less than maxOverdue.
func (s *Swapper) willBeLate(m *modelDemand, now time.Time) bool {
	e := s.engine(m.key.service)
	if e == nil || e.Models[m.key.model] == nil || m.waiting >= manyWaiting {
		return false
	}
	over := now.Add(e.Models[m.key.model].DiskLoad + swapOverhead).Sub(m.due)
	return over > 0 && over < maxOverdue
}
