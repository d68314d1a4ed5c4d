package fairshare

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// maxReported bounds the workspaces in one report of a host.
const maxReported = 32

// Host holds the ledgers of one host by service.
type Host struct {
	weights *Weights
	ledgers map[catalog.ServiceID]*Ledger
	// published holds the leads that the coordinator has published, and claims the models for which workspaces wait that are
	// not over their share, until claimsUntil.
	published   map[catalog.ServiceID]map[entity.WorkspaceID]Published
	claims      map[Model]bool
	claimsUntil time.Time
	// demands holds what has found no slot since the last report.
	demands map[Demand]bool
}

// Model is a model of a service.
type Model struct {
	Service catalog.ServiceID
	Model   entity.ModelID
}

// NewHost returns a Host that gives every workspace the same weight.
func NewHost() *Host {
	return &Host{ledgers: make(map[catalog.ServiceID]*Ledger), published: make(map[catalog.ServiceID]map[entity.WorkspaceID]Published), claims: make(map[Model]bool), demands: make(map[Demand]bool)}
}

// Ledger returns the ledger of a service.
func (h *Host) Ledger(id catalog.ServiceID) *Ledger {
	l := h.ledgers[id]
	if l == nil {
		l = NewLedger(h.weights)
		l.unreported = make(map[entity.WorkspaceID]Amount)
		h.ledgers[id] = l
	}
	return l
}

// SetWeights replaces the weights.
func (h *Host) SetWeights(w *Weights, now time.Time) {
	h.weights = w
	for _, l := range h.ledgers {
		l.SetWeights(w, now)
	}
}

// Yields reports whether a workspace leaves the last free slots of a model to others, because it is over its share and
// others that are not wait for the model, at this host or another.
func (h *Host) Yields(m Model, id entity.WorkspaceID, now time.Time) bool {
	return h.claims[m] && now.Before(h.claimsUntil) && h.Ledger(m.Service).Ahead(id, now)
}

// PublishedLead is a change of a published lead. Ended is set once the workspace no longer competes.
type PublishedLead struct {
	Service   catalog.ServiceID
	Workspace entity.WorkspaceID
	Published
	Ended bool
}

// Claim is a change of the models for which workspaces wait that are not over their share.
type Claim struct {
	Model
	Ended bool
}

// HandlePublished applies a publication of the coordinator, which holds the changes since the previous one. Leads without a
// change are current as well.
func (h *Host) HandlePublished(leads []PublishedLead, claims []Claim, now time.Time) {
	for _, p := range leads {
		byWorkspace := h.published[p.Service]
		if byWorkspace == nil {
			byWorkspace = make(map[entity.WorkspaceID]Published)
			h.published[p.Service] = byWorkspace
		}
		if p.Ended {
			delete(byWorkspace, p.Workspace)
		} else {
			byWorkspace[p.Workspace] = p.Published
		}
	}
	for _, c := range claims {
		if c.Ended {
			delete(h.claims, c.Model)
		} else {
			h.claims[c.Model] = true
		}
	}
	h.claimsUntil = now.Add(publishedTerm)
	for service, byWorkspace := range h.published {
		h.Ledger(service).SetPublished(byWorkspace, now)
		if len(byWorkspace) == 0 {
			delete(h.published, service)
		}
	}
}

// ForgetPublished drops what a former coordinator has published.
func (h *Host) ForgetPublished() {
	clear(h.published)
	clear(h.claims)
	for _, l := range h.ledgers {
		l.ForgetPublished()
	}
}

// NoteDemand records that a request has found no slot. The request may be sent or refused before the next report.
func (h *Host) NoteDemand(d Demand) {
	if len(h.demands) < maxReported {
		h.demands[d] = true
	}
}

// TakeDemands returns what has found no slot since the last call.
func (h *Host) TakeDemands() []Demand {
	out := slices.Collect(maps.Keys(h.demands))
	clear(h.demands)
	return out
}

// Given is what one workspace was given.
type Given struct {
	Service   catalog.ServiceID
	Workspace entity.WorkspaceID
	Amount
}

// TakeGiven returns what was given since the last call while others competed, the largest amounts if there are more than
// maxReported. The rest is returned by a later call.
func (h *Host) TakeGiven() []Given {
	var out []Given
	for service, l := range h.ledgers {
		for id, a := range l.unreported {
			out = append(out, Given{Service: service, Workspace: id, Amount: a})
		}
	}
	slices.SortFunc(out, func(a, b Given) int {
		return cmp.Or(cmp.Compare(b.Tokens, a.Tokens), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Workspace, b.Workspace))
	})
	out = out[:min(len(out), maxReported)]
	for _, g := range out {
		delete(h.ledgers[g.Service].unreported, g.Workspace)
	}
	return out
}

// DropGiven forgets what was given since the last report, because a new coordinator starts even.
func (h *Host) DropGiven() {
	for _, l := range h.ledgers {
		clear(l.unreported)
	}
}

// Leads returns the leads by service.
func (h *Host) Leads(now time.Time) map[catalog.ServiceID][]Lead {
	out := make(map[catalog.ServiceID][]Lead, len(h.ledgers))
	for id, l := range h.ledgers {
		out[id] = l.Leads(now)
	}
	return out
}
