package fairshare

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
)

const (
	// demandTerm is how long a workspace competes after it was last reported that its requests found no slot. Reports are at
	// most 500 ms apart, and requests that find no slot are often refused or sent before the next one.
	demandTerm = 3 * time.Second
	// maxPublished bounds the workspaces whose leads are published for one service, and maxClaims the published models.
	maxPublished = 64
	maxClaims    = 64
	// maxChanges bounds the changes of leads, and those of claims, in one publication; the largest go first and the others
	// with the next ones. Every host is sent each publication, and links carry 10 Mbit/s.
	maxChanges = 8
	// publishGranularity is the part of a lead, and of the largest request, by which a lead must change to be published
	// again.
	publishGranularity = 0.25
)

// Demand names a workspace whose requests for a model have found no slot at a host.
type Demand struct {
	Model
	Workspace entity.WorkspaceID
}

// Coordinator sums over all hosts what workspaces were given and wait for.
type Coordinator struct {
	weights *Weights
	ledgers map[catalog.ServiceID]*Ledger
	// demands holds when it was last reported that requests of a workspace found no slot with a model.
	demands   map[Model]map[entity.WorkspaceID]time.Time
	published map[leadKey]Published
	claims    map[Model]bool
}

type leadKey struct {
	service   catalog.ServiceID
	workspace entity.WorkspaceID
}

// NewCoordinator returns a Coordinator that knows of no requests.
func NewCoordinator(w *Weights) *Coordinator {
	return &Coordinator{weights: w, ledgers: make(map[catalog.ServiceID]*Ledger), demands: make(map[Model]map[entity.WorkspaceID]time.Time),
		published: make(map[leadKey]Published), claims: make(map[Model]bool)}
}

// SetWeights replaces the weights.
func (c *Coordinator) SetWeights(w *Weights, now time.Time) {
	c.weights = w
	for _, l := range c.ledgers {
		l.SetWeights(w, now)
	}
}

func (c *Coordinator) ledger(id catalog.ServiceID) *Ledger {
	l := c.ledgers[id]
	if l == nil {
		l = NewLedger(c.weights)
		c.ledgers[id] = l
	}
	return l
}

// HandleReport applies the report of a host. Its cost does not depend on the number of hosts.
func (c *Coordinator) HandleReport(demands []Demand, given []Given, now time.Time) {
	for _, d := range demands {
		byWorkspace := c.demands[d.Model]
		if byWorkspace == nil {
			byWorkspace = make(map[entity.WorkspaceID]time.Time)
			c.demands[d.Model] = byWorkspace
		}
		byWorkspace[d.Workspace] = now
	}
	for _, g := range given {
		c.ledger(g.Service).Give(g.Workspace, g.Amount, now)
	}
}

// Standing returns the standing of a workspace at a service.
func (c *Coordinator) Standing(service catalog.ServiceID, id entity.WorkspaceID, now time.Time) Standing {
	if l := c.ledgers[service]; l != nil {
		return l.Standing(id, now)
	}
	return Even
}

// Refresh determines which workspaces compete now, and returns the changes of leads and claims to be published. ready
// reports whether an upstream serves a model: requests that wait for a load do not compete for slots.
func (c *Coordinator) Refresh(ready func(Model) bool, now time.Time) ([]PublishedLead, []Claim) {
	competing := make(map[leadKey]bool)
	served := make([]Model, 0, len(c.demands))
	for m, byWorkspace := range c.demands {
		maps.DeleteFunc(byWorkspace, func(_ entity.WorkspaceID, at time.Time) bool { return now.Sub(at) > demandTerm })
		if len(byWorkspace) == 0 {
			delete(c.demands, m)
			continue
		}
		if !ready(m) {
			continue
		}
		served = append(served, m)
		for id := range byWorkspace {
			competing[leadKey{m.Service, id}] = true
		}
	}
	for key := range competing {
		c.ledger(key.service).SetWaiting(key.workspace, true, now)
	}
	for service, l := range c.ledgers {
		for id, f := range l.flows {
			if f.waiting > 0 && !competing[leadKey{service, id}] {
				l.SetWaiting(id, false, now)
			}
		}
	}
	return c.changedLeads(now), c.changedClaims(served, now)
}

// leadChange is a change of a lead with its size.
type leadChange struct {
	key  leadKey
	lead PublishedLead
	size float64
}

// changedLeads returns the largest changes since the last publication.
func (c *Coordinator) changedLeads(now time.Time) []PublishedLead {
	var changes []leadChange
	current := make(map[leadKey]bool)
	for service, l := range c.ledgers {
		leads := l.Leads(now)
		if !slices.ContainsFunc(leads, func(x Lead) bool { return x.Competes }) {
			continue
		}
		slices.SortFunc(leads, func(a, b Lead) int {
			return cmp.Or(cmp.Compare(math.Abs(b.Tokens), math.Abs(a.Tokens)), cmp.Compare(a.Workspace, b.Workspace))
		})
		for _, x := range leads[:min(len(leads), maxPublished)] {
			key := leadKey{service, x.Workspace}
			current[key] = true
			former, known := c.published[key]
			p := Published{Tokens: x.Tokens, Margin: x.Margin}
			if !known || changed(former.Tokens, p.Tokens, l.largest) || changed(former.Margin, p.Margin, l.largest) {
				changes = append(changes, leadChange{key, PublishedLead{Service: service, Workspace: x.Workspace, Published: p}, math.Abs(former.Tokens - p.Tokens)})
			}
		}
	}
	for key, former := range c.published {
		if !current[key] {
			changes = append(changes, leadChange{key, PublishedLead{Service: key.service, Workspace: key.workspace, Ended: true}, math.Abs(former.Tokens)})
		}
	}
	slices.SortFunc(changes, func(a, b leadChange) int {
		return cmp.Or(cmp.Compare(b.size, a.size), cmp.Compare(a.key.service, b.key.service), cmp.Compare(a.key.workspace, b.key.workspace))
	})
	out := make([]PublishedLead, 0, min(len(changes), maxChanges))
	for _, x := range changes[:min(len(changes), maxChanges)] {
		if x.lead.Ended {
			delete(c.published, x.key)
		} else {
			c.published[x.key] = x.lead.Published
		}
		out = append(out, x.lead)
	}
	return out
}

// changed reports whether a value differs enough from the one that was published, given the size of the largest request.
func changed(former, now, largest float64) bool {
	return math.Abs(former-now) > publishGranularity*max(math.Abs(now), largest)
}

// changedClaims returns the changes of the models for which workspaces wait that are not over their share.
func (c *Coordinator) changedClaims(served []Model, now time.Time) []Claim {
	slices.SortFunc(served, func(a, b Model) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Model, b.Model))
	})
	var changes []Claim
	current := make(map[Model]bool)
	for _, m := range served {
		l := c.ledger(m.Service)
		claimed := false
		for id := range c.demands[m] {
			claimed = claimed || !l.Ahead(id, now)
		}
		if !claimed || len(current) == maxClaims {
			continue
		}
		current[m] = true
		if !c.claims[m] && len(changes) < maxChanges {
			c.claims[m] = true
			changes = append(changes, Claim{Model: m})
		}
	}
	for m := range c.claims {
		if !current[m] && len(changes) < maxChanges {
			delete(c.claims, m)
			changes = append(changes, Claim{Model: m, Ended: true})
		}
	}
	return changes
}

// Summary describes a service for which workspaces compete.
type Summary struct {
	Service catalog.ServiceID
	Leads   []Lead
}

// Contended returns the services for which at least two workspaces compete, or one competes while another is over its share.
func (c *Coordinator) Contended(now time.Time) []Summary {
	var out []Summary
	for service, l := range c.ledgers {
		leads := l.Leads(now)
		if len(leads) > 1 && slices.ContainsFunc(leads, func(x Lead) bool { return x.Competes }) {
			slices.SortFunc(leads, func(a, b Lead) int {
				return cmp.Or(cmp.Compare(b.Tokens, a.Tokens), cmp.Compare(a.Workspace, b.Workspace))
			})
			out = append(out, Summary{Service: service, Leads: leads})
		}
	}
	return out
}
