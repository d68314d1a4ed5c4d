package edge

import (
	"reflect"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/dispatch"
	"github.com/foxtailpass/foxtailpass/internal/election"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/fleet"
	"github.com/foxtailpass/foxtailpass/internal/peer"
	"github.com/foxtailpass/foxtailpass/internal/quota"
	"github.com/foxtailpass/foxtailpass/internal/swap"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

const (
	// urgentReport delays a report with new waiting requests a little, so that a burst is one
	// message.
	urgentReport = 3 * time.Millisecond
	// changedReport is the least time between two reports that differ only in running requests.
	changedReport = 150 * time.Millisecond
	// idleReport is the time between two unchanged reports. They keep the session alive.
	idleReport = 500 * time.Millisecond
	// leftMemory is how long an upstream that has left is told to the hosts.
	leftMemory = 10 * time.Second
	// publishInterval is the least time between two messages of the coordinator to one host that
	// only tell how many requests run.
	publishInterval = 200 * time.Millisecond
)

// reporter decides when this host reports to the coordinator.
type reporter struct {
	sentAt  time.Time
	waiting map[dispatch.Pool]int
	running int
	down    int
}

// lead is the state of the coordinator.
type lead struct {
	right   election.Right
	swapper *swap.Swapper
	reserve *quota.Reserve
	hosts   map[entity.HostID]*hostSession
	version uint64
	// states is what the hosts are told about the engines.
	states map[entity.UpstreamID]wire.UpstreamState
	// leaving holds the upstreams that drain, and those that have left with the time of that.
	leaving        map[entity.UpstreamID]time.Time
	leavingChanged bool
}

// noteUpstream keeps the list of leaving upstreams.
func (l *lead) noteUpstream(u *fleet.Upstream) {
	_, listed := l.leaving[u.ID]
	switch {
	case u.Draining && !listed:
		l.leaving[u.ID] = time.Time{}
	case !u.Draining && listed:
		delete(l.leaving, u.ID)
	default:
		return
	}
	l.leavingChanged = true
}

// noteRemoved lists an upstream for as long as a host may not have read the list.
func (l *lead) noteRemoved(id entity.UpstreamID, now time.Time) {
	l.leaving[id] = now
	l.leavingChanged = true
	for other, at := range l.leaving {
		if !at.IsZero() && now.Sub(at) > leftMemory {
			delete(l.leaving, other)
		}
	}
}

// hostSession is what the coordinator has told one host.
type hostSession struct {
	host    entity.HostID
	session *peer.Session
	told    map[entity.UpstreamID]wire.UpstreamState
	toldAt  time.Time
	// answer is the clock of the report that was not answered yet.
	answer  int64
	pending bool
	// heardAt is when the last report came.
	heardAt time.Time
	// lack is the number of tokens that its requests lack, and lacking the number of those requests.
	lack    map[entity.WorkspaceID]float64
	lacking map[entity.WorkspaceID]int
}

// lost forgets a host whose session has ended.
func (l *lead) lost(s *peer.Session) {
	for id, h := range l.hosts {
		if h.session == s && s != nil {
			delete(l.hosts, id)
		}
	}
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

func (c *core) rightChanged(right *election.Right, now time.Time) {
	if right == nil {
		c.lead = nil
		c.linkLostAt = now
		c.limiter.SetCoordinated(c.coordinated(), now)
		return
	}
	c.lead = &lead{
		right:   *right,
		swapper: swap.New(right.From, right.Token),
		reserve: quota.NewReserve(c.bounds.quotaSlack()),
		hosts:   make(map[entity.HostID]*hostSession),
		states:  make(map[entity.UpstreamID]wire.UpstreamState),
		leaving: make(map[entity.UpstreamID]time.Time),
	}
	if c.catalog != nil {
		c.lead.swapper.SetCatalog(c.catalog)
		c.lead.reserve.SetCatalog(c.catalog, now)
	}
	for _, u := range c.fleet.Rows() {
		c.lead.noteUpstream(u)
		c.run(c.lead.swapper.SetUpstream(u, now))
	}
	c.reporter = reporter{}
	c.limiter.SetCoordinated(true, now)
}

func (c *core) linkChanged(e coordinatorLink, now time.Time) {
	if e.up {
		c.link = e.session
		c.reporter = reporter{}
		clear(c.states)
	} else if c.link == e.session {
		c.link = nil
		c.linkLostAt = now
	}
	c.limiter.SetCoordinated(c.coordinated(), now)
}

// report tells the coordinator what this host wants and uses, when that has changed.
func (c *core) report(now time.Time) {
	if c.link == nil && c.lead == nil {
		return
	}
	since := now.Sub(c.reporter.sentAt)
	if since < urgentReport {
		return
	}
	waiting := c.scheduler.Waiting(now)
	down := c.scheduler.Down(now)
	urgent := c.newWaiting(waiting) || c.lacksTokens() || len(down) > c.reporter.down
	if since < changedReport && !urgent {
		return
	}
	running := c.scheduler.Running()
	total := 0
	for _, u := range running {
		total += u.Count
	}
	if since < idleReport && !urgent && total == c.reporter.running && len(c.arrivals) == 0 {
		return
	}
	r := c.compose(waiting, running, now)
	r.Down = down
	c.reporter.sentAt = now
	c.reporter.running = total
	c.reporter.down = len(down)
	c.reporter.waiting = make(map[dispatch.Pool]int, len(waiting))
	for _, w := range waiting {
		c.reporter.waiting[w.Pool] = w.Count
	}
	clear(c.arrivals)
	if c.lead != nil {
		c.reportReceived(reportReceived{report: r}, now)
		return
	}
	if err := c.link.Send(r); err != nil {
		c.log.Debug("Report not sent.", "err", err)
	}
}

// newWaiting says whether a pool has begun or ceased to wait since the last report.
func (c *core) newWaiting(waiting []dispatch.Waiting) bool {
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

func (c *core) compose(waiting []dispatch.Waiting, running []dispatch.Running, now time.Time) *wire.HostReport {
	r := &wire.HostReport{Host: c.self, SentAt: now.UnixNano()}
	r.Lack, r.Lacking = c.lack()
	needs := make(map[dispatch.Pool]*wire.PoolNeed)
	need := func(p dispatch.Pool) *wire.PoolNeed {
		if n := needs[p]; n != nil {
			return n
		}
		n := &wire.PoolNeed{Service: string(p.Service), Model: p.Model, Adapter: p.Adapter}
		needs[p] = n
		return n
	}
	for _, w := range waiting {
		n := need(w.Pool)
		n.Waiting = w.Count
		n.Slack = w.Slack
	}
	for p, count := range c.arrivals {
		if p.Model != "" {
			need(p).Arrived = count
		}
	}
	for _, n := range needs {
		r.Needs = append(r.Needs, *n)
	}
	for _, u := range running {
		r.Uses = append(r.Uses, wire.PoolUse{Upstream: u.Upstream, Model: u.Pool.Model, Adapter: u.Pool.Adapter, Count: u.Count})
	}
	return r
}

// reportReceived takes over the report of a host as coordinator.
func (c *core) reportReceived(e reportReceived, now time.Time) {
	if c.lead == nil {
		// The host is ahead of this one in knowing who coordinates, or behind; its next report
		// comes soon.
		return
	}
	l := c.lead
	h := l.hosts[e.report.Host]
	if h == nil || h.session != e.session {
		h = &hostSession{host: e.report.Host, session: e.session, told: make(map[entity.UpstreamID]wire.UpstreamState)}
		l.hosts[e.report.Host] = h
	}
	h.answer = e.report.SentAt
	h.heardAt = now
	h.pending = true
	h.lack, h.lacking = e.report.Lack, e.report.Lacking
	c.countHosts(now)
	l.swapper.SetPaused(!c.effects.holds())
	c.run(l.swapper.HandleHost(*e.report, now))
}

// countHosts tells the reserve on how many hosts it can count.
func (c *core) countHosts(now time.Time) {
	connected := 0
	for _, h := range c.lead.hosts {
		if now.Sub(h.heardAt) < quota.ReportTerm {
			connected++
		}
	}
	c.lead.reserve.SetConnected(connected, c.limiter.Hosts(), now)
}

// run carries out the commands of the swapper.
func (c *core) run(commands []swap.Command) {
	for _, cmd := range commands {
		if cmd.Order != nil {
			c.effects.order(*cmd.Order, c.lead.right.Token)
		}
		if cmd.Read != nil {
			c.effects.read(cmd.Read)
		}
	}
}

func (c *core) orderAnswered(e orderAnswered, now time.Time) {
	c.log.Info("Order answered.", "upstream", e.order.Upstream.ID, "action", e.order.Action, "model", e.order.Model,
		"adapter", e.order.Adapter, "expected", e.order.Expected, "answer", e.answer, "took", e.took)
	c.orders[orderKey{action: e.order.Action, answer: e.answer}]++
	if c.lead != nil {
		c.run(c.lead.swapper.HandleAnswer(e.order.ID, e.answer, now))
	}
}

func (c *core) reportRead(e reportRead, now time.Time) {
	if c.lead == nil {
		return
	}
	if e.err != nil {
		c.log.Debug("Engine report not read.", "upstream", e.upstream, "err", e.err)
		c.lead.swapper.ReportFailed(e.upstream, now)
		return
	}
	c.run(c.lead.swapper.HandleReport(e.upstream, e.report, now))
}

// publish tells every host what has changed.
func (c *core) publish(now time.Time) {
	l := c.lead
	changed := l.swapper.Version() != l.version || l.leavingChanged
	l.leavingChanged = false
	l.version = l.swapper.Version()
	due := changed
	for _, h := range l.hosts {
		due = due || h.pending
	}
	if !due {
		return
	}
	c.refreshStates()
	var estimates []wire.ModelEstimate
	for _, e := range l.swapper.Estimates(now) {
		estimates = append(estimates, wire.ModelEstimate{Service: string(e.Service), Model: e.Model, ReadyIn: e.ReadyIn})
	}
	for _, h := range l.hosts {
		if changed || h.pending {
			c.publishTo(h, estimates, now)
		}
	}
}

func (c *core) refreshStates() {
	l := c.lead
	clear(l.states)
	for _, h := range l.swapper.Holdings() {
		s := wire.UpstreamState{Upstream: h.Upstream.ID, BornMillis: h.Upstream.BornMillis, Running: h.Running}
		for _, m := range h.Held {
			s.Held = append(s.Held, wire.HeldModel{Model: m.Model, Adapters: m.Adapters})
		}
		l.states[h.Upstream.ID] = s
	}
}

func (c *core) publishTo(h *hostSession, estimates []wire.ModelEstimate, now time.Time) {
	l := c.lead
	m := &wire.FleetState{Coordinator: c.self, Estimates: estimates}
	for id := range l.leaving {
		m.Leaving = append(m.Leaving, id)
	}
	counts := now.Sub(h.toldAt) >= publishInterval
	for id, s := range l.states {
		told, known := h.told[id]
		if known && told.BornMillis == s.BornMillis && reflect.DeepEqual(told.Held, s.Held) && (told.Running == s.Running || !counts) {
			continue
		}
		h.told[id] = s
		m.Upstreams = append(m.Upstreams, s)
	}
	if counts {
		h.toldAt = now
	}
	if h.pending {
		h.pending = false
		m.AnswerTo = h.answer
		m.Grants = c.grant(h, now)
	}
	if h.session == nil {
		c.stateReceived(m, now)
		return
	}
	if err := h.session.Send(m); err != nil {
		c.log.Debug("State not sent.", "host", h.host, "err", err)
	}
}

// stateReceived takes over a message of the coordinator.
func (c *core) stateReceived(m *wire.FleetState, now time.Time) {
	clear(c.estimates)
	c.estimated = now
	for _, e := range m.Estimates {
		p := dispatch.Pool{Service: catalog.ServiceID(e.Service), Model: e.Model}
		c.estimates[p] = readyEstimate{at: now.Add(e.ReadyIn)}
	}
	if m.AnswerTo != 0 {
		c.granted(m, now)
	}
	c.noteLeaving(m.Leaving, now)
	own := make(map[entity.UpstreamID]int)
	for _, u := range c.scheduler.Running() {
		own[u.Upstream] += u.Count
	}
	for _, s := range m.Upstreams {
		former, known := c.states[s.Upstream]
		c.states[s.Upstream] = s
		c.scheduler.SetOthers(s.Upstream, float64(max(s.Running-own[s.Upstream], 0)), now)
		if !known || former.BornMillis != s.BornMillis || !reflect.DeepEqual(former.Held, s.Held) {
			c.refreshTarget(s.Upstream, now)
		}
	}
}

// noteLeaving takes over which upstreams the coordinator knows to leave.
func (c *core) noteLeaving(ids []entity.UpstreamID, now time.Time) {
	former := c.leaving
	c.leaving = make(map[entity.UpstreamID]bool, len(ids))
	for _, id := range ids {
		c.leaving[id] = true
		if !former[id] {
			c.log.Info("Upstream leaving, told by the coordinator.", "upstream", id)
			c.refreshTarget(id, now)
		}
	}
	for id := range former {
		if !c.leaving[id] {
			c.refreshTarget(id, now)
		}
	}
}
