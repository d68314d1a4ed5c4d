package edge

import (
	"maps"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/dispatch"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/quota"
	"github.com/foxtailpass/foxtailpass/internal/requestlimit"
	"github.com/foxtailpass/foxtailpass/internal/swap"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

// noticesInterval is the least time between two messages of the coordinator to all hosts about what upstreams have
// reported of themselves.
const noticesInterval = 100 * time.Millisecond

// recordLimit applies what an answer states about the request limit of its upstream. An answer that names no limit is
// only relevant if the request was sent under one.
func (c *core) recordLimit(e upstreamStatusReceived, now time.Time) {
	limit := e.status.Limit
	if limit.Invalid && !c.invalidLimits[e.upstream] {
		c.invalidLimits[e.upstream] = true
		c.log.Warn("Upstream names a request limit that cannot be read.", "upstream", e.upstream, "named", limit.Named, "limit", limit.PerSecond)
	}
	if !limit.Named && (limit.Invalid || !e.final || e.limitStamp == 0) {
		return
	}
	c.requestLimits.RecordAnswer(requestlimit.Answer{
		Upstream:   e.upstream,
		BornMillis: e.bornMillis,
		Named:      limit.Named,
		PerSecond:  limit.PerSecond,
		Stamp:      e.limitStamp,
	}, now)
	c.logLimitChanges(now)
}

// logLimitChanges logs the changes of request limits and dispatches the requests that they allow.
func (c *core) logLimitChanges(now time.Time) {
	changes := c.requestLimits.TakeChanges()
	for _, ch := range changes {
		msg := "Request limit of an upstream changed."
		switch {
		case !ch.WasLimited:
			msg = "Upstream has a request limit."
		case !ch.Limited:
			msg = "Request limit of an upstream ended."
		}
		c.log.Info(msg, "upstream", ch.Upstream, "limit", ch.PerSecond, "former", ch.Former, "by_answer", ch.ByAnswer, "coordinated", c.requestLimits.Coordinated())
		if !ch.Limited {
			c.refreshTarget(ch.Upstream, now)
		}
	}
}

// setLimitsCoordinated sets whether this host is a coordinator that keeps request limits, or has a session with one.
func (c *core) setLimitsCoordinated(coordinated bool, now time.Time) {
	if coordinated == c.requestLimits.Coordinated() {
		return
	}
	c.requestLimits.SetCoordinated(coordinated, now)
	c.scheduler.ForgetLimitAsks()
}

// askForLimited adds the asks for requests to limited upstreams to the next token request.
func (c *core) askForLimited(now time.Time) {
	for _, r := range c.requestLimits.ExpireAsks(now) {
		c.limitAnswered(r, now)
	}
	for _, a := range c.scheduler.TakeLimitAsks() {
		if !c.requestLimits.Coordinated() {
			continue
		}
		c.unsentDeficits = append(c.unsentDeficits, c.requestLimits.Ask(a.Request, a.Upstream, a.MaxWait, now))
	}
}

// limitAnswered applies the coordinator's answer to an ask for a request to a limited upstream.
func (c *core) limitAnswered(r requestlimit.Result, now time.Time) {
	c.applyDecisions(c.scheduler.HandleLimitAnswer(r.Request, r.Upstream, r.Granted, r.Wait, now), now)
}

// limitRequested processes the ask of a host for a request to a limited upstream. Only a coordinator that holds its
// lease grants any: its successor counts from zero.
func (c *core) limitRequested(host entity.HostID, d wire.TokenDeficit, now time.Time) (quota.TokenResponse, bool) {
	if !c.effects.holdsLease() {
		return quota.TokenResponse{}, false
	}
	req := quota.TokenRequest{Host: host, ID: d.ID, Key: d.Upstream, Tokens: d.Tokens, Until: now.Add(d.MaxWait)}
	return c.coordinator.limits.Request(req, now)
}

// limitGrant returns the message of an answer to an ask for a request to a limited upstream.
func limitGrant(r quota.TokenResponse) wire.TokenGrant {
	return wire.TokenGrant{ID: r.ID, Upstream: r.Key, Tokens: r.Tokens, Wait: r.Wait}
}

// statusesReported processes what the report of a host states about what upstreams have reported to it.
func (c *core) statusesReported(h *hostSession, r *wire.HostReport, now time.Time) {
	limits := c.coordinator.limits
	limits.HandleReport(r, now)
	c.coordinator.statuses.record(r.Host, r.Statuses, now)
	if !r.KeepsRequestLimits {
		return
	}
	if !r.First || h.session == nil {
		limits.ConfirmReport(r, now)
	}
	if r.First {
		m := c.allNotices()
		if c.speeds != nil && h.session != nil {
			c.speeds.All(m)
		}
		c.sendNotices(h, m, now)
	}
}

// tickStatuses does the periodic work of the coordinator for what upstreams have reported of themselves.
func (c *core) tickStatuses(now time.Time) {
	coord := c.coordinator
	if c.effects.holdsLease() {
		c.sendTokenResponses(coord.limits.Advance(now), limitGrant, now)
	}
	c.answerDeferredOrders(now)
	avoided := coord.statuses.avoided(len(coord.hosts), now)
	maps.Copy(avoided, coord.limits.Short(now))
	coord.swapper.SetAvoided(avoided)
	c.publishNotices(now)
	c.publishSpeeds(now)
}

// answerDeferredOrders tells the swapper which orders were not sent. Its commands may be deferred again, until the next
// tick.
func (c *core) answerDeferredOrders(now time.Time) {
	deferred := c.coordinator.deferredOrders
	c.coordinator.deferredOrders = nil
	for _, o := range deferred {
		c.executeCommands(c.coordinator.swapper.HandleAnswer(o.ID, swap.NotSent, now), now)
	}
}

// assignLimitShares withholds and assigns the fallback shares of request limits.
func (c *core) assignLimitShares(now time.Time) {
	coord := c.coordinator
	coord.statuses.removeUnlisted(c.listedBorn)
	if !coord.limits.Active() {
		return
	}
	coord.limits.RemoveOld(c.isListed, now)
	coord.limits.UpdateWithheld(c.limiter.Hosts(), now)
	if !c.effects.holdsLease() {
		return
	}
	for _, a := range coord.limits.AssignShares(now) {
		if h := coord.hosts[a.Host]; h != nil {
			c.sendNotices(h, &wire.UpstreamNotices{Shares: a.FallbackShares, SharesVersion: a.Version}, now)
		}
	}
}

func (c *core) isListed(id entity.UpstreamID) bool { return c.fleet.Get(id) != nil }

// mayContact reports whether the coordinator itself may send a request to an upstream. Its orders and reads of reports
// respect the back-off that the upstream has requested of this host, and count towards its request limit like the
// requests of callers.
func (c *core) mayContact(id entity.UpstreamID, bornMillis int64, now time.Time) bool {
	return c.scheduler.BackOff(id, bornMillis, now) == 0 && c.coordinator.limits.TryTake(id, bornMillis, now)
}

var _ dispatch.RequestLimits = (*requestlimit.Host)(nil)
