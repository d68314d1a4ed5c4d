package swap

import (
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/fairshare"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

// mostWaitingShare is the part of all waiting tokens from which a model is not deferred, whoever wants it: one load then
// serves most of what waits.
const mostWaitingShare = 0.5

// loadResource is what loads compete for: the engines with copies, or the weight store.
type loadResource struct {
	service catalog.ServiceID
	source  source
}

// loadShares divides the loads of models among the workspaces that wait for models. The unit is a millisecond of load time:
// a load keeps an engine and, without a copy, the weight store busy for that time, whatever the number of tokens that it
// serves afterwards. A load is divided among the workspaces that wait for the model by their waiting tokens, so a model
// that many requests wait for costs little for each.
type loadShares struct {
	weights *fairshare.Weights
	ledgers map[loadResource]*fairshare.Ledger
	// overShare reports whether a workspace is over its share of the tokens of a service.
	overShare func(catalog.ServiceID, entity.WorkspaceID, time.Time) bool
	// waiting holds the workspaces that wait for a load. It is built for each decision.
	waiting map[loadResource]map[entity.WorkspaceID]bool
	// deferred counts the models that were put behind others in an order, and preferred those that were put before.
	deferred, preferred int64
}

// SetFairShares divides the loads among the workspaces that wait for models. overShare reports whether a workspace is over
// its share of the tokens of a service.
func (s *Swapper) SetFairShares(w *fairshare.Weights, overShare func(catalog.ServiceID, entity.WorkspaceID, time.Time) bool, now time.Time) {
	if s.shares == nil {
		s.shares = &loadShares{ledgers: make(map[loadResource]*fairshare.Ledger)}
	}
	s.shares.weights, s.shares.overShare = w, overShare
	for _, l := range s.shares.ledgers {
		l.SetWeights(w, now)
	}
}

// LoadStandings counts the models that were put behind others, and before others, because of the shares of the workspaces
// that wait for them, each once when it began.
func (s *Swapper) LoadStandings() (deferred, preferred int64) {
	if s.shares == nil {
		return 0, 0
	}
	return s.shares.deferred, s.shares.preferred
}

// IsReady reports whether an engine can be given requests for a model.
func (s *Swapper) IsReady(service catalog.ServiceID, model entity.ModelID) bool {
	return len(s.ready(modelKey{service: service, model: model})) > 0
}

func (s *Swapper) addTokens(m *modelDemand, workspaces []wire.WorkspaceTokens) {
	if s.shares == nil {
		return
	}
	for _, w := range workspaces {
		if !(w.Tokens > 0) {
			continue
		}
		if m.tokens == nil {
			m.tokens = make(map[entity.WorkspaceID]float64)
		}
		m.tokens[w.Workspace] += w.Tokens
	}
}

func (m *modelDemand) allTokens() float64 {
	sum := 0.0
	for _, n := range m.tokens {
		sum += n
	}
	return sum
}

func (x *loadShares) ledger(r loadResource) *fairshare.Ledger {
	l := x.ledgers[r]
	if l == nil {
		l = fairshare.NewLedger(x.weights)
		x.ledgers[r] = l
	}
	return l
}

// resourceOf returns what a load of a model competes for.
func (s *Swapper) resourceOf(key modelKey) loadResource {
	if s.hasCopy(key) {
		return loadResource{key.service, fromCopy}
	}
	return loadResource{key.service, fromStore}
}

// setStandings sets the standing of each model that requests wait for. Workspaces whose models are loaded do not compete for
// loads.
func (s *Swapper) setStandings(now time.Time) {
	x := s.shares
	if x == nil {
		return
	}
	waiting := make(map[loadResource]map[entity.WorkspaceID]bool)
	total := make(map[loadResource]float64)
	absent := make(map[*modelDemand]loadResource)
	for key, m := range s.models {
		if m.waiting == 0 || len(m.tokens) == 0 || len(s.ready(key)) > 0 {
			m.standing = fairshare.Even
			continue
		}
		r := s.resourceOf(key)
		absent[m] = r
		total[r] += m.allTokens()
		for id := range m.tokens {
			if waiting[r] == nil {
				waiting[r] = make(map[entity.WorkspaceID]bool)
			}
			waiting[r][id] = true
		}
	}
	x.setWaiting(waiting, now)
	for m, r := range absent {
		before := m.standing
		m.standing = fairshare.Even
		if len(waiting[r]) > 1 {
			m.standing = x.standing(m, r, total[r], now)
		}
		if m.standing != before && m.standing == fairshare.Over {
			x.deferred++
		} else if m.standing != before && m.standing == fairshare.Under {
			x.preferred++
		}
	}
}

// setWaiting records which workspaces wait for loads.
func (x *loadShares) setWaiting(waiting map[loadResource]map[entity.WorkspaceID]bool, now time.Time) {
	for r, former := range x.waiting {
		for id := range former {
			if !waiting[r][id] {
				x.ledger(r).SetWaiting(id, false, now)
			}
		}
	}
	for r, ids := range waiting {
		for id := range ids {
			if !x.waiting[r][id] {
				x.ledger(r).SetWaiting(id, true, now)
			}
		}
	}
	x.waiting = waiting
}

// standing returns the standing of a model: that of the waiting workspace that has had least of its share. A model that most
// tokens wait for goes with the models of workspaces under their share, among which the longest wait decides.
func (x *loadShares) standing(m *modelDemand, r loadResource, total float64, now time.Time) fairshare.Standing {
	best := fairshare.Over
	for id := range m.tokens {
		standing := x.ledger(r).Standing(id, now)
		if standing == fairshare.Even && x.overShare != nil && x.overShare(r.service, id, now) {
			standing = fairshare.Over
		}
		best = min(best, standing)
	}
	if m.allTokens() >= mostWaitingShare*total {
		return fairshare.Under
	}
	return best
}

// chargeLoad divides a load among the workspaces that wait for the model.
func (s *Swapper) chargeLoad(key modelKey, src source, took time.Duration, now time.Time) {
	m := s.models[key]
	if s.shares == nil || m == nil {
		return
	}
	total := m.allTokens()
	for id, tokens := range m.tokens {
		l := s.shares.ledger(loadResource{key.service, src})
		l.Give(id, fairshare.Amount{Tokens: float64(took.Milliseconds()) * tokens / total, Requests: 1}, now)
	}
}

// nominalLoadTime returns the time that an engine needs to load a model from the nearest copy, or from the weight store.
func nominalLoadTime(r *engineState, m *catalog.Model) time.Duration {
	switch r.copies[m.ID] {
	case inMemory:
		return max(m.MemoryLoad, time.Millisecond)
	case onDisk:
		return max(m.DiskLoad, time.Millisecond)
	}
	return max(m.StoreLoad, time.Millisecond)
}
