package edge

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/dispatch"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/fairshare"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

const (
	// sharesLogInterval is the least time between two lines of the log about competing workspaces.
	sharesLogInterval = time.Second
	// maxLoggedWorkspaces bounds the workspaces in such a line.
	maxLoggedWorkspaces = 8
)

// weightsChanged applies the weights of the workspaces of a configuration.
func (c *core) weightsChanged(cat *catalog.Catalog, now time.Time) {
	if c.shares == nil {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(c.sharing.WorkspaceWeights)) {
		if cat.Workspace(id) == nil {
			c.log.Warn("Weight of an unknown workspace ignored.", "workspace", id, "config", cat.Version)
		}
	}
	w := fairshare.NewWeights(cat, c.sharing.WorkspaceWeights)
	c.shares.SetWeights(w, now)
	if c.coordinator != nil {
		c.setCoordinatorWeights(w, now)
	}
}

// startSharing prepares a new coordinator, which starts even.
func (c *core) startSharing(now time.Time) {
	if c.shares == nil {
		return
	}
	c.forgetPublishedShares()
	var w *fairshare.Weights
	if c.catalog != nil {
		w = fairshare.NewWeights(c.catalog, c.sharing.WorkspaceWeights)
	}
	c.coordinator.fair = fairshare.NewCoordinator(w)
	c.setCoordinatorWeights(w, now)
}

func (c *core) setCoordinatorWeights(w *fairshare.Weights, now time.Time) {
	fair := c.coordinator.fair
	fair.SetWeights(w, now)
	c.coordinator.swapper.SetFairShares(w, func(service catalog.ServiceID, id entity.WorkspaceID, now time.Time) bool {
		return fair.Standing(service, id, now) == fairshare.Over
	}, now)
}

// reportShares adds to a report what this host has given to workspaces. The first report of a session has none: a new
// coordinator starts even.
func (c *core) reportShares(r *wire.HostReport) {
	if c.shares == nil {
		return
	}
	if r.First {
		c.shares.DropGiven()
		return
	}
	for _, g := range c.shares.TakeGiven() {
		r.WorkspaceUses = append(r.WorkspaceUses, wire.WorkspaceUse{Service: string(g.Service), Workspace: g.Workspace, Tokens: g.Tokens, Requests: g.Requests})
	}
}

// reportDemands adds the workspaces whose requests have found no slot since the last report, and no longer wait.
func (c *core) reportDemands(demand func(dispatch.Pool) *wire.PoolDemand) {
	if c.shares == nil {
		return
	}
	for _, d := range c.shares.TakeDemands() {
		n := demand(dispatch.Pool{Service: d.Service, Model: d.Model.Model})
		if !slices.ContainsFunc(n.Workspaces, func(w wire.WorkspaceTokens) bool { return w.Workspace == d.Workspace }) {
			n.Workspaces = append(n.Workspaces, wire.WorkspaceTokens{Workspace: d.Workspace})
		}
	}
}

// knowsShare reports whether a service and a workspace are in the configuration. Others in reports, of a host with another
// configuration, are ignored: each would be kept for as long as this host coordinates.
func (c *core) knowsShare(service string, id entity.WorkspaceID) bool {
	return c.catalog != nil && c.catalog.Service(catalog.ServiceID(service)) != nil && (id == "" || c.catalog.Workspace(id) != nil)
}

// sharesReported applies the part of a report that concerns shares.
func (c *core) sharesReported(r *wire.HostReport, now time.Time) {
	if c.coordinator.fair == nil {
		return
	}
	var demands []fairshare.Demand
	for _, n := range r.PoolDemands {
		for _, w := range n.Workspaces {
			if !c.knowsShare(n.Service, w.Workspace) {
				continue
			}
			demands = append(demands, fairshare.Demand{Model: fairshare.Model{Service: catalog.ServiceID(n.Service), Model: n.Model}, Workspace: w.Workspace})
		}
	}
	given := make([]fairshare.Given, 0, len(r.WorkspaceUses))
	for _, u := range r.WorkspaceUses {
		if !c.knowsShare(u.Service, u.Workspace) {
			continue
		}
		given = append(given, fairshare.Given{Service: catalog.ServiceID(u.Service), Workspace: u.Workspace, Amount: fairshare.Amount{Tokens: u.Tokens, Requests: u.Requests}})
	}
	c.coordinator.fair.HandleReport(demands, given, now)
}

// refreshShares determines the shares that are published next.
func (c *core) refreshShares(now time.Time) {
	coord := c.coordinator
	if coord.fair == nil {
		return
	}
	leads, claims := coord.fair.Refresh(func(m fairshare.Model) bool { return coord.swapper.IsReady(m.Service, m.Model) }, now)
	coord.states.mark.shares++
	coord.states.shares.update(leads, claims, coord.states.mark.shares)
	c.logShares(now)
}

// logShares logs which workspaces are over or under their share while several compete.
func (c *core) logShares(now time.Time) {
	coord := c.coordinator
	if now.Sub(coord.sharesLoggedAt) < sharesLogInterval {
		return
	}
	for _, s := range coord.fair.Contended(now) {
		var uneven []string
		for _, x := range s.Leads {
			if x.Standing != fairshare.Even && len(uneven) < maxLoggedWorkspaces {
				uneven = append(uneven, fmt.Sprintf("%s:%+.0f", x.Workspace, x.Tokens))
			}
		}
		if len(uneven) > 0 {
			coord.sharesLoggedAt = now
			c.log.Info("Workspaces compete.", "service", s.Service, "workspaces", len(s.Leads), "leads", uneven)
		}
	}
}

// sharesPublished applies the part of a coordinator's message that concerns shares.
func (c *core) sharesPublished(m *wire.FleetState, now time.Time) {
	if c.shares == nil || m.SharesMark == 0 {
		return
	}
	leads := make([]fairshare.PublishedLead, 0, len(m.Leads))
	for _, x := range m.Leads {
		leads = append(leads, fairshare.PublishedLead{Service: catalog.ServiceID(x.Service), Workspace: x.Workspace, Published: fairshare.Published{Tokens: float64(x.Tokens), Margin: float64(x.Margin)}, Ended: x.Ended})
	}
	claims := make([]fairshare.Claim, 0, len(m.Claims))
	for _, x := range m.Claims {
		claims = append(claims, fairshare.Claim{Model: fairshare.Model{Service: catalog.ServiceID(x.Service), Model: x.Model}, Ended: x.Ended})
	}
	c.shares.HandlePublished(leads, claims, now)
}

// forgetPublishedShares drops what a former coordinator has published.
func (c *core) forgetPublishedShares() {
	if c.shares != nil {
		c.shares.ForgetPublished()
	}
}

// shareTable holds the shares that are sent to hosts, each with the mark of its last change.
type shareTable struct {
	leads  map[leadKey]leadRow
	claims map[fairshare.Model]claimRow
}

type leadKey struct {
	service   catalog.ServiceID
	workspace entity.WorkspaceID
}

type leadRow struct {
	lead    wire.WorkspaceLead
	changed uint64
}

type claimRow struct {
	claim   wire.ModelClaim
	changed uint64
}

func newShareTable() shareTable {
	return shareTable{leads: make(map[leadKey]leadRow), claims: make(map[fairshare.Model]claimRow)}
}

// update applies changes. It drops the rows that had ended before, because all hosts have been sent them.
func (t *shareTable) update(leads []fairshare.PublishedLead, claims []fairshare.Claim, mark uint64) {
	maps.DeleteFunc(t.leads, func(_ leadKey, r leadRow) bool { return r.lead.Ended })
	maps.DeleteFunc(t.claims, func(_ fairshare.Model, r claimRow) bool { return r.claim.Ended })
	for _, x := range leads {
		lead := wire.WorkspaceLead{Service: string(x.Service), Workspace: x.Workspace, Tokens: int64(x.Tokens), Margin: int64(x.Margin), Ended: x.Ended}
		t.leads[leadKey{x.Service, x.Workspace}] = leadRow{lead: lead, changed: mark}
	}
	for _, x := range claims {
		t.claims[x.Model] = claimRow{claim: wire.ModelClaim{Service: string(x.Service), Model: x.Model.Model, Ended: x.Ended}, changed: mark}
	}
}

// addChanges adds the rows that have changed since a mark to a message. The message has the current mark while there are
// rows, so that hosts know that the others are current as well.
func (t *shareTable) addChanges(out *wire.FleetState, mark, current uint64) {
	if mark == current || len(t.leads)+len(t.claims) == 0 {
		return
	}
	out.SharesMark = current
	for _, r := range t.leads {
		if r.changed > mark && !(r.lead.Ended && mark == 0) {
			out.Leads = append(out.Leads, r.lead)
		}
	}
	for _, r := range t.claims {
		if r.changed > mark && !(r.claim.Ended && mark == 0) {
			out.Claims = append(out.Claims, r.claim)
		}
	}
}

// sharedLeads returns the lead of each workspace in tokens, by service.
func (c *core) sharedLeads(now time.Time) map[leadKey]float64 {
	out := make(map[leadKey]float64)
	if c.shares == nil {
		return out
	}
	for service, leads := range c.shares.Leads(now) {
		for _, x := range leads {
			out[leadKey{service, x.Workspace}] = x.Tokens
		}
	}
	return out
}

// sharedLoads returns the numbers of models that were loaded later and earlier because of shares, by this coordinator.
func (c *core) sharedLoads() (deferred, preferred int64) {
	if c.coordinator == nil {
		return 0, 0
	}
	return c.coordinator.swapper.LoadStandings()
}
