package edge

import (
	"reflect"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/dispatch"
	"github.com/foxtailpass/foxtailpass/internal/election"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/peer"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

const (
	// urgentReportDelay is the least time between a report and the next urgent one, so that a burst of new
	// waiting requests is covered by one message.
	urgentReportDelay = 3 * time.Millisecond
	// changedReportInterval is the least time between two reports that differ only in running requests. If the
	// number of hosts times changedReportIntervalPerHost is longer, that is the time, up to idleReportInterval,
	// to bound the messages that reach the coordinator.
	changedReportInterval        = 150 * time.Millisecond
	changedReportIntervalPerHost = time.Millisecond
	// idleReportInterval is the time between two unchanged reports, which keep the session alive.
	idleReportInterval = 500 * time.Millisecond
)

// reporter holds the state that determines when this host reports to the coordinator again.
type reporter struct {
	// firstSent reports whether the first report of the session has been sent, and confirmationSent whether a
	// report has been sent since the first message of the coordinator on it.
	firstSent, confirmationSent bool

	// The other fields describe the last report: when it was sent, the waiting requests of each pool, the total
	// of running requests, and the number of unreachable upstreams.
	sentAt      time.Time
	waiting     map[dispatch.Pool]int
	running     int
	unreachable int
}

func (c *core) holderChanged(h *election.Holder) {
	c.holder = h
	c.log.Info("Coordinator seen.", "holder", holderName(h))
	if h == nil || h.Host == c.self {
		c.effects.connect(nil)
		return
	}
	c.effects.connect(h)
}

func holderName(h *election.Holder) entity.HostID {
	if h == nil {
		return ""
	}
	return h.Host
}

// linkDialed makes s the connection to the coordinator and prepares the first report on it, which the
// coordinator answers. Until the answer arrives, this host works without a coordinator.
func (c *core) linkDialed(s *peer.Session) {
	c.link = s
	c.linkEstablished = false
	c.linkKeepsLimits = false
	c.linkSendsSpeeds = false
	c.reporter = reporter{}
}

func (c *core) linkChanged(e coordinatorLinkChanged, now time.Time) {
	switch {
	case e.up:
		if c.link != e.session {
			c.linkDialed(e.session)
		}
		c.linkEstablished = true
		c.lastMessageAt = now
		c.coordinatorExpectedUntil = time.Time{}
		clear(c.states)
		clear(c.indexes)
		c.forgetPublishedShares()
	case c.link != e.session:
		// An earlier session has ended.
	case !c.linkEstablished:
		c.link = nil
		return
	default:
		c.link = nil
		c.linkLostAt = now
	}
	c.limiter.SetCoordinated(c.hasCoordinator(), now)
	c.setLimitsCoordinated(c.coordinator != nil || c.hasCoordinator() && c.linkKeepsLimits, now)
	c.readmitAll(now)
}

// reportInterval is the least time between two reports that are not urgent.
func (c *core) reportInterval() time.Duration {
	return min(max(changedReportInterval, time.Duration(c.limiter.Hosts())*changedReportIntervalPerHost), idleReportInterval)
}

// report sends the coordinator what this host needs and uses, when that has changed or idleReportInterval has
// passed.
func (c *core) report(now time.Time) {
	if !c.hasCoordinator() && (c.link == nil || c.reporter.firstSent) {
		return
	}
	confirms := c.hasCoordinator() && !c.reporter.confirmationSent
	since := now.Sub(c.reporter.sentAt)
	if since < urgentReportDelay && !confirms {
		return
	}
	waiting := c.scheduler.Waiting(now)
	unreachable := c.scheduler.Unreachable(now)
	urgent := !c.reporter.firstSent || confirms || c.waitingPoolsChanged(waiting) || len(unreachable) > c.reporter.unreachable || c.requestLimits.HasUrgentNews()
	if since < c.reportInterval() && !urgent {
		return
	}
	running := c.scheduler.Running()
	total := 0
	for _, u := range running {
		total += u.Count
	}
	if since < idleReportInterval && !urgent && total == c.reporter.running && len(c.arrivals) == 0 {
		return
	}
	r := c.buildReport(waiting, running, now)
	r.Unreachable = unreachable
	c.reporter.firstSent = true
	c.reporter.confirmationSent = c.hasCoordinator()
	c.reporter.sentAt = now
	c.reporter.running = total
	c.reporter.unreachable = len(unreachable)
	c.reporter.waiting = make(map[dispatch.Pool]int, len(waiting))
	for _, w := range waiting {
		c.reporter.waiting[w.Pool] = w.Count
	}
	clear(c.arrivals)
	if c.coordinator != nil {
		c.reportReceived(reportReceived{report: r}, now)
		return
	}
	if err := c.link.Send(r); err != nil {
		c.log.Debug("Report not sent.", "err", err)
	}
}

// waitingPoolsChanged reports whether requests of a pool have begun or stopped waiting since the last report.
func (c *core) waitingPoolsChanged(waiting []dispatch.Waiting) bool {
	if len(waiting) != len(c.reporter.waiting) {
		return true
	}
	for _, w := range waiting {
		if c.reporter.waiting[w.Pool] == 0 {
			return true
		}
	}
	return false
}

func (c *core) buildReport(waiting []dispatch.Waiting, running []dispatch.Running, now time.Time) *wire.HostReport {
	r := &wire.HostReport{Host: c.self, SentAt: now.UnixNano(), Revision: c.knownRevision.Load(), SharesVersion: c.limiter.FallbackVersion()}
	r.Statuses = reportedStatuses(c.scheduler.OwnStatuses(now))
	r.KeepsRequestLimits = true
	r.SpeedSamples = c.takeSpeedSamples(now)
	r.RequestLimits = c.requestLimits.TakeNews(!c.reporter.firstSent)
	var requestShares map[entity.RateKey]float64
	requestShares, r.RequestSharesVersion = c.requestLimits.FallbackShares()
	if !c.reporter.firstSent {
		r.First = true
		r.FallbackShares, _ = c.limiter.FallbackShares()
		r.RequestShares = requestShares
	}
	demands := make(map[dispatch.Pool]*wire.PoolDemand)
	demand := func(p dispatch.Pool) *wire.PoolDemand {
		if n := demands[p]; n != nil {
			return n
		}
		n := &wire.PoolDemand{Service: string(p.Service), Model: p.Model, Adapter: p.Adapter, Release: p.Release}
		demands[p] = n
		return n
	}
	c.reportShares(r)
	for _, w := range waiting {
		n := demand(w.Pool)
		n.Waiting = w.Count
		for _, ws := range w.Workspaces {
			n.Workspaces = append(n.Workspaces, wire.WorkspaceTokens{Workspace: ws.Workspace, Tokens: ws.Tokens})
		}
		n.TimeToTarget = w.TimeToTarget
	}
	for p, count := range c.arrivals {
		if p.Model != "" {
			demand(p).Arrived = count
		}
	}
	c.reportDemands(demand)
	for _, n := range demands {
		r.PoolDemands = append(r.PoolDemands, *n)
	}
	for _, u := range running {
		r.Uses = append(r.Uses, wire.PoolUse{Upstream: u.Upstream, Model: u.Pool.Model, Adapter: u.Pool.Adapter, Count: u.Count})
	}
	return r
}

// fleetStateReceived applies the coordinator's report about the engines.
func (c *core) fleetStateReceived(m *wire.FleetState, now time.Time) {
	c.sharesPublished(m, now)
	for _, s := range m.Upstreams {
		former, known := c.states[s.Upstream]
		c.states[s.Upstream] = s
		c.indexes[s.Index] = s.Upstream
		if !known || former.BornMillis != s.BornMillis || !reflect.DeepEqual(former.LoadedModels, s.LoadedModels) {
			c.refreshTarget(s.Upstream, now)
		}
	}
	if len(m.Indexes) == 0 || len(m.Indexes) != len(m.Running) {
		return
	}
	own := c.scheduler.RunningAt()
	for i, index := range m.Indexes {
		if id, ok := c.indexes[index]; ok {
			c.scheduler.SetOthers(id, float64(max(m.Running[i]-own[id], 0)), now)
		}
	}
}

// hostStateReceived applies a message of the coordinator that concerns only this host.
func (c *core) hostStateReceived(m *wire.HostState, now time.Time) {
	clear(c.estimates)
	c.estimatesReceivedAt = now
	for _, e := range m.Estimates {
		p := dispatch.Pool{Service: catalog.ServiceID(e.Service), Model: e.Model, Release: e.Release}
		c.estimates[p] = readyEstimate{at: now.Add(e.ReadyIn)}
	}
	if m.SharesVersion != 0 {
		c.limiter.SetFallback(m.FallbackShares, m.SharesVersion, now)
	}
}
