package edge

import (
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/dispatch"
	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// routePriorities is the number of priorities of routes that the rank of a request tells apart within those of workspaces.
const routePriorities = 3

// A configuration may withdraw the key of a waiting request, which is refused then, or give the key to another workspace. That
// allows the request as well, so that it goes on waiting as a request of its new workspace: at the place that its arrival gives
// it there, and for tokens of that workspace, unless it may have run for the former one.

// keyWithdrawn reports whether the key of a request is no longer in the configuration.
func (c *core) keyWithdrawn(r *dispatch.Request) bool {
	return r.Key != "" && c.catalog.Key(r.Key) == nil
}

// keyMoved reports whether the key of a request belongs to another workspace than that of the request.
func (c *core) keyMoved(r *dispatch.Request) bool {
	w := c.catalog.Key(r.Key)
	return r.Key != "" && w != nil && w.ID != r.Workspace
}

func withdrawnRefusal() entity.Refusal {
	return entity.Refusal{Status: 401, Code: string(dispatch.ReasonKeyWithdrawn), Ran: entity.NotRun}
}

// keysChanged applies the keys of a new configuration to the waiting requests.
func (c *core) keysChanged(now time.Time) {
	c.applyDecisions(c.scheduler.RefuseWhere(c.keyWithdrawn, withdrawnRefusal(), dispatch.ReasonKeyWithdrawn), now)
	for _, r := range c.scheduler.Withdraw(c.keyMoved) {
		c.moveQueued(r, now)
	}
	parked := c.parked
	c.parked = nil
	for _, p := range parked {
		c.parkedKeyChanged(p, now)
	}
}

// moveQueued admits a request that has waited for an upstream for the new workspace of its key.
func (c *core) moveQueued(r *dispatch.Request, now time.Time) {
	if r.MayHaveRun() {
		c.moveToOwner(r)
		c.enqueue(r, now)
		return
	}
	c.limiter.Refund(entity.RateKey(r.Workspace), r.Tokens, now)
	c.moveToOwner(r)
	c.admit(r, now, now)
}

// parkedKeyChanged refuses a request that waits for tokens if its key is withdrawn, and admits it for the new workspace of its
// key if that has changed.
func (c *core) parkedKeyChanged(p *parkedRequest, now time.Time) {
	switch {
	case c.keyWithdrawn(p.request):
		c.unqueue(p)
		refusal := withdrawnRefusal()
		c.sendFinalAnswer(p.request, step{refusal: &refusal, reason: dispatch.ReasonKeyWithdrawn})
	case c.keyMoved(p.request):
		c.unqueue(p)
		c.moveToOwner(p.request)
		c.admit(p.request, now, now)
	default:
		c.parked = append(c.parked, p)
	}
}

// moveToOwner makes a waiting request one of the workspace that its key belongs to.
func (c *core) moveToOwner(r *dispatch.Request) {
	w := c.catalog.Key(r.Key)
	c.log.Info("Key of a request moved.", "request", r.ID, "from", r.Workspace, "to", w.ID)
	r.Workspace = w.ID
	r.Rank = rankOf(w, r.Route)
	if r.HasDefaultTokens {
		r.Tokens = float64(w.DefaultTokens)
	}
}

// rankOf returns the rank of the requests of a workspace on a route. The priority of the workspace goes first.
func rankOf(w *catalog.Workspace, route *catalog.Route) int {
	return w.Priority*routePriorities + route.Priority
}
