package edge

import (
	"maps"
	"slices"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/dispatch"
	"github.com/foxtailpass/foxtailpass/internal/election"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/fairshare"
	"github.com/foxtailpass/foxtailpass/internal/fleet"
	"github.com/foxtailpass/foxtailpass/internal/peer"
	"github.com/foxtailpass/foxtailpass/internal/quota"
	"github.com/foxtailpass/foxtailpass/internal/requestlimit"
	"github.com/foxtailpass/foxtailpass/internal/swap"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

const (
	// shareInterval is the time between two updates of the withheld tokens and the fallback shares.
	shareInterval = 100 * time.Millisecond
	// maxUnconfirmedReports bounds the reports of a host that wait for a read of the key-value service.
	maxUnconfirmedReports = 8
)

// coordinator is the state that a host keeps while it is the coordinator.
type coordinator struct {
	lease            election.CoordinatorLease
	swapper          *swap.Swapper
	reserve          *quota.Reserve
	shares           *quota.FallbackTable
	hosts            map[entity.HostID]*hostSession
	states           stateTable
	estimates        estimateTable
	sharesAssignedAt time.Time
	// limits holds the request limits of upstreams, and statuses what else they have reported of themselves.
	// noticesVersion is what of it was sent to all hosts at noticesPublishedAt.
	limits             *requestlimit.Coordinator
	statuses           statusTable
	noticesVersion     uint64
	noticesPublishedAt time.Time
	speedsPublishedAt  time.Time
	// slowUpstreams are those that were logged as slow.
	slowUpstreams map[entity.UpstreamID]bool
	// fair sums the shares of workspaces over all hosts, nil if they are not shared. sharesLoggedAt is when it was last logged
	// who competes.
	fair           *fairshare.Coordinator
	sharesLoggedAt time.Time
	// deferredOrders were not sent because of a limit or a back-off.
	deferredOrders []swap.Order
}

// isBusy reports whether ticks must be frequent.
func (l *coordinator) isBusy() bool {
	return l.swapper.NeedsTicks() || l.reserve.HasWaiting() || l.limits.HasWaiting() || l.limits.Version()+l.statuses.version != l.noticesVersion || len(l.deferredOrders) > 0
}

// hostSession is what the coordinator knows of one host and has sent to it.
type hostSession struct {
	host entity.HostID
	// session is nil for the coordinator's own host.
	session *peer.Session
	// sentMark marks the states of the engines that the host has been sent.
	sentMark stateMark
	// revision is the revision of the key-value service that the host knows once it has applied all that was
	// sent to it; zero while it must read the service itself.
	revision int64
	// reports are the reports for which no later read of the key-value service has succeeded yet; confirmed
	// is SentAt of the newest report for which one has.
	reports   []receivedReport
	confirmed int64
	// hasWaiting reports whether requests of the host wait for models. estimatesDue reports whether the host
	// has not yet been sent the estimates of when these models will be ready.
	hasWaiting, estimatesDue bool
	poolDemands              []wire.PoolDemand
	// keepsNotices reports whether the host's build knows UpstreamNotices.
	keepsNotices bool
}

// receivedReport holds the times at which a report was sent, by the clock of its host, and received.
type receivedReport struct {
	sentAt     int64
	receivedAt time.Time
}

func (c *core) leaseChanged(lease *election.CoordinatorLease, now time.Time) {
	if lease == nil {
		c.stopCoordinating(now)
		return
	}
	c.coordinator = &coordinator{
		lease:   *lease,
		swapper: swap.New(lease.From, lease.Token),
		reserve: quota.NewReserve(c.bounds.toleratedOvershoot(), c.limiter.Hosts()),
		shares:  quota.NewFallbackTable(lease.Token),
		hosts:   make(map[entity.HostID]*hostSession),
		states:  newStateTable(),
		limits:  requestlimit.NewCoordinator(lease.Token, c.limiter.Hosts()),

		statuses: newStatusTable(),

		slowUpstreams: make(map[entity.UpstreamID]bool),
	}
	c.coordinator.reserve.SetUrgency(c.rateUrgency != nil)
	c.coordinator.noticesVersion = c.coordinator.limits.Version()
	c.coordinator.shares.SetMembers(c.members)
	c.coordinator.limits.SetMembers(c.members)
	if c.catalog != nil {
		c.coordinator.swapper.SetCatalog(c.catalog)
		c.coordinator.reserve.SetLimits(quota.WorkspaceLimits(c.catalog), now)
	}
	c.startSharing(now)
	for _, u := range c.fleet.Rows() {
		c.executeCommands(c.coordinator.swapper.SetUpstream(u, now), now)
	}
	c.reporter = reporter{}
	c.limiter.SetCoordinated(true, now)
	earlyReports := c.earlyReports
	c.earlyReports = make(map[*peer.Session]*wire.HostReport)
	for session, report := range earlyReports {
		c.reportReceived(reportReceived{report: report, session: session}, now)
	}
	c.effects.announce(c.addrs, *lease)
}

// stopCoordinating drops the state of the coordinator and closes the sessions of the hosts, so that they
// continue without a coordinator at once.
func (c *core) stopCoordinating(now time.Time) {
	if c.coordinator == nil {
		return
	}
	for _, h := range c.coordinator.hosts {
		if h.session != nil {
			h.session.Close()
		}
	}
	c.coordinator = nil
	c.linkLostAt = now
	c.limiter.SetCoordinated(c.hasCoordinator(), now)
	c.setLimitsCoordinated(c.hasCoordinator() && c.linkKeepsLimits, now)
	c.readmitAll(now)
}

// hostSessionEnded removes a host whose session has ended.
func (c *core) hostSessionEnded(s *peer.Session) {
	delete(c.earlyReports, s)
	if c.coordinator == nil || s == nil {
		return
	}
	for id, h := range c.coordinator.hosts {
		if h.session == s {
			delete(c.coordinator.hosts, id)
			c.coordinator.shares.EndSession(id)
			c.coordinator.limits.EndSession(id)
		}
	}
}

// keepEarlyReport keeps the first report of a host that takes this host for the coordinator before this host has
// acquired the lease, as after a restart of this process. It closes the session if another host is the
// coordinator.
func (c *core) keepEarlyReport(e reportReceived) {
	switch {
	case e.session == nil:
	case c.holder != nil && c.holder.Host != c.self:
		delete(c.earlyReports, e.session)
		e.session.Close()
	case e.report.First:
		c.earlyReports[e.session] = e.report
	}
}

// reportReceived applies the report of a host as coordinator.
func (c *core) reportReceived(e reportReceived, now time.Time) {
	if c.coordinator == nil {
		c.keepEarlyReport(e)
		return
	}
	l, r := c.coordinator, e.report
	h := l.hosts[r.Host]
	if h == nil || h.session != e.session {
		if !r.First {
			// The session has ended, or it began with another coordinator.
			if e.session != nil {
				e.session.Close()
			}
			return
		}
		h = &hostSession{host: r.Host, session: e.session, keepsNotices: r.KeepsRequestLimits}
		l.hosts[r.Host] = h
	}
	if r.First {
		l.shares.StartSession(r.Host, r.FallbackShares)
	}
	if !r.First || h.session == nil {
		l.shares.RecordReport(r.Host, r.SharesVersion, now)
	}
	c.statusesReported(h, r, now)
	c.speedsReported(r, now)
	h.recordReport(r, now)
	if h.revision == 0 && c.changeLog.CompleteSince(r.Revision) {
		h.revision = r.Revision
	}
	c.sharesReported(r, now)
	l.swapper.HandleHostReport(*r, now)
	if r.First && h.session != nil {
		// The host relies on this coordinator once it has received a message from it.
		c.sendHostState(h, &wire.HostState{Estimates: c.estimatesFor(h, now)}, now)
	}
}

// recordReport stores what the next messages to the host depend on.
func (h *hostSession) recordReport(r *wire.HostReport, now time.Time) {
	if len(h.reports) == maxUnconfirmedReports {
		h.reports = slices.Delete(h.reports, 1, 2)
	}
	h.reports = append(h.reports, receivedReport{sentAt: r.SentAt, receivedAt: now})
	h.poolDemands = slices.DeleteFunc(r.PoolDemands, func(n wire.PoolDemand) bool { return n.Waiting == 0 })
	h.hasWaiting = len(h.poolDemands) > 0
	h.estimatesDue = h.hasWaiting
}

// confirmReports marks the reports that arrived before a successful read of the key-value service began as
// confirmed.
func (h *hostSession) confirmReports(began time.Time) {
	n := 0
	for n < len(h.reports) && !h.reports[n].receivedAt.After(began) {
		h.confirmed = h.reports[n].sentAt
		n++
	}
	h.reports = slices.Delete(h.reports, 0, n)
}

// tickCoordinator does the periodic work of the coordinator.
func (c *core) tickCoordinator(now time.Time) {
	coord := c.coordinator
	coord.swapper.SetPaused(!c.effects.holdsLease())
	coord.swapper.SetSpeeds(c.speedFactor(now))
	c.executeCommands(coord.swapper.Tick(now), now)
	c.countFasterCopies()
	c.sendTokenResponses(coord.reserve.Advance(now), workspaceGrant, now)
	if now.Sub(coord.sharesAssignedAt) >= shareInterval {
		coord.sharesAssignedAt = now
		c.assignShares(now)
		c.assignLimitShares(now)
	}
	c.tickStatuses(now)
	c.pruneQuarantine(now)
	c.publish(now)
}

// assignShares withholds from the reserve the shares that hosts may use without the coordinator, and assigns
// fallback shares.
func (c *core) assignShares(now time.Time) {
	if c.catalog == nil {
		return
	}
	coord := c.coordinator
	ids := slices.Sorted(maps.Keys(quota.WorkspaceLimits(c.catalog)))
	coord.reserve.SetWithheld(coord.shares.Withheld(ids, now), c.limiter.Hosts(), now)
	if !c.effects.holdsLease() {
		return
	}
	for _, a := range coord.shares.Assign(ids, now) {
		if h := coord.hosts[a.Host]; h != nil {
			c.sendHostState(h, &wire.HostState{FallbackShares: a.FallbackShares, SharesVersion: a.Version, Estimates: c.estimatesFor(h, now)}, now)
		}
	}
}

// executeCommands carries out the commands of the swapper, except those that the request limit of an engine does not
// allow now.
func (c *core) executeCommands(commands []swap.Command, now time.Time) {
	for _, cmd := range commands {
		if o := cmd.Order; o != nil && !c.mayContact(o.Upstream.ID, o.Upstream.BornMillis, now) {
			c.coordinator.deferredOrders = append(c.coordinator.deferredOrders, *o)
		} else if o != nil {
			c.effects.order(*o, c.coordinator.lease.Token)
		}
		if u := cmd.Read; u != nil && !c.mayContact(u.ID, u.BornMillis, now) {
			c.coordinator.swapper.HandleReportFailure(u.ID, now)
		} else if u != nil {
			c.effects.readEngineReport(u)
		}
	}
}

func (c *core) orderAnswered(e orderAnswered, now time.Time) {
	c.log.Info("Order answered.", "upstream", e.order.Upstream.ID, "action", e.order.Action, "model", e.order.Model,
		"adapter", e.order.Adapter, "expected", e.order.Expected, "answer", e.answer, "took", e.took)
	c.orders[orderKey{action: e.order.Action, answer: e.answer}]++
	c.controlStatusReceived(e.order.Upstream, e.status, now)
	if c.coordinator != nil {
		c.executeCommands(c.coordinator.swapper.HandleAnswer(e.order.ID, e.answer, now), now)
	}
}

// controlStatusReceived applies what an engine reports of itself in the answer to a request of the coordinator.
func (c *core) controlStatusReceived(u fleet.Incarnation, status dispatch.StatusReport, now time.Time) {
	if !status.Empty() {
		c.upstreamStatusReceived(upstreamStatusReceived{upstream: u.ID, bornMillis: u.BornMillis, status: status}, now)
	}
}

func (c *core) engineReportRead(e engineReportRead, now time.Time) {
	c.controlStatusReceived(e.upstream, e.status, now)
	if c.coordinator == nil {
		return
	}
	if e.err != nil {
		c.log.Debug("Engine report not read.", "upstream", e.upstream.ID, "err", e.err)
		c.coordinator.swapper.HandleReportFailure(e.upstream.ID, now)
		return
	}
	c.executeCommands(c.coordinator.swapper.HandleReport(e.upstream.ID, e.report, now), now)
}
