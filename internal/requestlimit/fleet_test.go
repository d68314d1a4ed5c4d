package requestlimit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/quota"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

const (
	simStep = 10 * time.Millisecond
	// silenceTimeout is the time without a message after which a host gives its session up.
	silenceTimeout = 1100 * time.Millisecond
	// leaseGap is the time from the end of a coordinator to the start of the next one.
	leaseGap = 3 * time.Second
	// reportInterval is the time between two reports of a host.
	reportInterval = 300 * time.Millisecond
	// simContactTimeout is the time after the first limit from which the bound holds.
	simContactTimeout = 3 * time.Second
	simWindow         = 4 * time.Second
	simUpstream       = entity.UpstreamID("u")
)

var simStart = time.Unix(1000, 0)

// fleetSim simulates hosts that send requests to one upstream which names a limit in its answers.
type fleetSim struct {
	rand  *rand.Rand
	now   time.Time
	hosts []*simHost
	ids   []entity.HostID
	// events are messages and answers under way, in the order of their arrival.
	events []simEvent
	// coordinator is nil while there is none. frozen holds a former coordinator that has not noticed yet.
	coordinator *simCoordinator
	fence       int64
	successorAt time.Time

	// perSecond is the limit that the upstream names, 0 for none. figures holds its changes.
	perSecond float64
	figures   []simFigure
	arrivals  []simArrival
	// perHost is the demand of each host in requests per second; a request waits for patience.
	perHost  float64
	patience time.Duration
	served   int
	asked    int
}

type simFigure struct {
	at        time.Time
	perSecond float64
}

type simArrival struct {
	at      time.Time
	counted bool
}

type simEvent struct {
	at  time.Time
	run func()
}

// simHost is one host process with its session.
type simHost struct {
	sim  *fleetSim
	id   entity.HostID
	host *Host
	// process counts the restarts, so that messages to a former process are dropped.
	process int
	session *simSession
	waiting []simRequest
	nextID  int
	// toldAt is when the process first received an answer with a limit.
	toldAt     time.Time
	frozen     bool
	cut        bool
	reconnect  time.Time
	reportedAt time.Time
	firstSent  bool
	confirmed  bool
}

type simRequest struct {
	id    entity.RequestID
	until time.Time
	asked bool
	retry time.Time
}

// simSession connects a host with a coordinator.
type simSession struct {
	host        *simHost
	coordinator *simCoordinator
	process     int
	heardAt     time.Time
	begun       bool
	ended       bool
}

// simCoordinator is one coordinator. It goes on with what arrives while it is frozen when it thaws.
type simCoordinator struct {
	state     *Coordinator
	holds     bool
	frozen    bool
	dead      bool
	queue     []func()
	sessions  map[entity.HostID]*simSession
	published uint64
	at        time.Time
}

func newFleetSim(hosts int, seed uint64) *fleetSim {
	s := &fleetSim{rand: rand.New(rand.NewPCG(seed, 7)), now: simStart, perHost: 1, patience: 2 * time.Second}
	for i := range hosts {
		id := entity.HostID(fmt.Sprint("h", i))
		s.ids = append(s.ids, id)
		s.hosts = append(s.hosts, &simHost{sim: s, id: id})
	}
	for _, h := range s.hosts {
		h.start()
	}
	s.startCoordinator()
	return s
}

func (h *simHost) start() {
	h.process++
	h.host = NewHost(h.sim.now)
	h.host.SetHosts(len(h.sim.hosts))
	h.host.SetRegistered(h.sim.now.Add(time.Hour), h.sim.now)
	h.waiting, h.session, h.toldAt = nil, nil, time.Time{}
	h.reconnect = h.sim.now.Add(h.sim.jitter(100 * time.Millisecond))
}

func (s *fleetSim) jitter(d time.Duration) time.Duration {
	return time.Duration(s.rand.Float64() * float64(d))
}

// after runs f after a delay.
func (s *fleetSim) after(d time.Duration, f func()) {
	e := simEvent{at: s.now.Add(d), run: f}
	i, _ := slices.BinarySearchFunc(s.events, e, func(a, b simEvent) int {
		if a.at.After(b.at) {
			return 1
		}
		return -1
	})
	s.events = slices.Insert(s.events, i, e)
}

func (s *fleetSim) startCoordinator() {
	s.fence++
	s.coordinator = &simCoordinator{state: NewCoordinator(s.fence, len(s.hosts)), holds: true, sessions: make(map[entity.HostID]*simSession)}
	s.coordinator.state.SetMembers(s.ids)
	s.coordinator.published = s.coordinator.state.Version()
}

// loseCoordinator ends the coordinator: it is killed, or frozen until thaw has passed.
func (s *fleetSim) loseCoordinator(thaw time.Duration) {
	c := s.coordinator
	if c == nil {
		return
	}
	s.coordinator = nil
	s.successorAt = s.now.Add(leaseGap)
	if thaw == 0 {
		c.dead = true
		return
	}
	c.frozen = true
	s.after(thaw, func() {
		c.frozen, c.holds = false, thaw < leaseGap-time.Second
		queue := c.queue
		c.queue = nil
		for _, f := range queue {
			f()
		}
		if c.holds && s.coordinator == nil {
			s.coordinator = c
			return
		}
		c.holds, c.dead = false, true
	})
}

// setLimit changes the limit that the upstream names.
func (s *fleetSim) setLimit(perSecond float64) {
	s.perSecond = perSecond
	s.figures = append(s.figures, simFigure{at: s.now, perSecond: perSecond})
}

// toCoordinator delivers a message of a host.
func (ses *simSession) toCoordinator(f func()) {
	s := ses.host.sim
	if ses.host.cut {
		return
	}
	s.after(time.Millisecond+s.jitter(8*time.Millisecond), func() {
		c := ses.coordinator
		run := func() {
			if !c.dead && c.sessions[ses.host.id] == ses {
				f()
			}
		}
		if c.frozen {
			c.queue = append(c.queue, run)
			return
		}
		run()
	})
}

// toHost delivers a message of the coordinator.
func (ses *simSession) toHost(f func(h *Host)) {
	s := ses.host.sim
	if ses.host.cut {
		return
	}
	s.after(time.Millisecond+s.jitter(8*time.Millisecond), func() {
		h := ses.host
		if ses.ended || h.session != ses || h.process != ses.process || h.cut {
			return
		}
		if h.frozen {
			s.after(50*time.Millisecond, func() { ses.toHost(f) })
			return
		}
		ses.heardAt = s.now
		if !ses.begun {
			ses.begun = true
		}
		f(h.host)
	})
}

// tick does the work of a host in one step.
func (h *simHost) tick() {
	if h.frozen {
		return
	}
	s := h.sim
	h.tickSession()
	if s.rand.Float64() < h.sim.perHost*simStep.Seconds() {
		h.nextID++
		s.asked++
		h.waiting = append(h.waiting, simRequest{id: entity.RequestID(fmt.Sprint(h.nextID)), until: s.now.Add(s.patience)})
	}
	for _, r := range h.host.ExpireAsks(s.now) {
		h.answered(r)
	}
	waiting := h.waiting
	h.waiting = nil
	for _, r := range waiting {
		switch {
		case s.now.After(r.until):
		case h.host.Ready(simUpstream, 1, s.now):
			h.send()
		default:
			if !r.asked && !s.now.Before(r.retry) && h.host.CanAsk(simUpstream, 1, false, s.now) {
				r.asked = true
				h.ask(r)
			}
			h.waiting = append(h.waiting, r)
		}
	}
}

func (h *simHost) answered(r Result) {
	for i := range h.waiting {
		if h.waiting[i].id == r.Request {
			h.waiting[i].asked = false
			h.waiting[i].retry = h.sim.now.Add(r.Wait)
		}
	}
}

// ask asks the coordinator for a request.
func (h *simHost) ask(r simRequest) {
	ses, s := h.session, h.sim
	d := h.host.Ask(r.id, simUpstream, r.until.Sub(s.now)/2, s.now)
	ses.toCoordinator(func() {
		if !ses.coordinator.holds {
			return
		}
		req := quota.TokenRequest{Host: h.id, ID: d.ID, Key: d.Upstream, Tokens: d.Tokens, Until: s.now.Add(d.MaxWait)}
		if response, ok := ses.coordinator.state.Request(req, s.now); ok {
			ses.coordinator.respond(s, response)
		}
	})
}

func (c *simCoordinator) respond(s *fleetSim, r quota.TokenResponse) {
	ses := c.sessions[r.Host]
	if ses == nil {
		return
	}
	g := wire.TokenGrant{ID: r.ID, Upstream: r.Key, Tokens: r.Tokens, Wait: r.Wait}
	ses.toHost(func(host *Host) {
		if result, ok := host.HandleGrant(g, s.now); ok {
			ses.host.answered(result)
		}
	})
}

// send sends a request to the upstream and delivers its answer.
func (h *simHost) send() {
	s := h.sim
	stamp := h.host.Take(simUpstream, 1, s.now)
	s.served++
	process := h.process
	s.after(time.Millisecond+s.jitter(4*time.Millisecond), func() {
		counted := !h.toldAt.IsZero() && h.process == process && s.now.Sub(h.toldAt) >= 500*time.Millisecond
		s.arrivals = append(s.arrivals, simArrival{at: s.now, counted: counted})
		limit := s.perSecond
		s.after(20*time.Millisecond+s.jitter(400*time.Millisecond), func() {
			if h.process != process || h.frozen {
				return
			}
			if limit > 0 && h.toldAt.IsZero() {
				h.toldAt = s.now
			}
			h.host.RecordAnswer(Answer{Upstream: simUpstream, BornMillis: 1, Named: limit > 0, PerSecond: limit, Stamp: stamp}, s.now)
		})
	})
}

// tickSession starts, keeps up and ends the session of a host.
func (h *simHost) tickSession() {
	s := h.sim
	if ses := h.session; ses != nil {
		if s.now.Sub(ses.heardAt) > silenceTimeout || ses.coordinator.dead {
			ses.ended = true
			h.session = nil
			if ses.coordinator.sessions[h.id] == ses && !ses.coordinator.frozen {
				delete(ses.coordinator.sessions, h.id)
				ses.coordinator.state.EndSession(h.id)
			}
			h.host.SetCoordinated(false, s.now)
			h.reconnect = s.now.Add(100*time.Millisecond + s.jitter(200*time.Millisecond))
			return
		}
		h.report()
		return
	}
	if c := s.coordinator; c != nil && !c.frozen && !h.cut && s.now.After(h.reconnect) {
		h.session = &simSession{host: h, coordinator: c, process: h.process, heardAt: s.now}
		c.sessions[h.id] = h.session
		h.firstSent, h.confirmed, h.reportedAt = false, false, time.Time{}
		h.report()
	}
}

// report sends a report when one is due.
func (h *simHost) report() {
	s, ses := h.sim, h.session
	confirms := ses.begun && !h.confirmed
	if h.firstSent && !confirms && !h.host.HasUrgentNews() && s.now.Sub(h.reportedAt) < reportInterval {
		return
	}
	shares, version := h.host.FallbackShares()
	r := &wire.HostReport{Host: h.id, First: !h.firstSent, KeepsRequestLimits: true, RequestLimits: h.host.TakeNews(!h.firstSent), RequestSharesVersion: version}
	if r.First {
		r.RequestShares = shares
	}
	h.firstSent, h.confirmed, h.reportedAt = true, ses.begun, s.now
	ses.toCoordinator(func() {
		c := ses.coordinator
		c.state.HandleReport(r, s.now)
		if r.First {
			ses.sendLimits(&wire.UpstreamNotices{Limits: c.state.Limits()})
			return
		}
		c.state.ConfirmReport(r, s.now)
		// Any message keeps the session up.
		ses.toHost(func(*Host) {})
	})
}

func (ses *simSession) sendLimits(m *wire.UpstreamNotices) {
	s := ses.host.sim
	ses.toHost(func(host *Host) {
		host.SetCoordinated(true, s.now)
		host.Apply(m, s.now)
	})
}

// tick does the work of the coordinator in one step.
func (c *simCoordinator) tick(s *fleetSim) {
	for _, r := range c.state.Advance(s.now) {
		c.respond(s, r)
	}
	if s.now.Sub(c.at) < 100*time.Millisecond {
		return
	}
	c.at = s.now
	c.state.UpdateWithheld(len(s.hosts), s.now)
	for _, a := range c.state.AssignShares(s.now) {
		if ses := c.sessions[a.Host]; ses != nil {
			ses.sendLimits(&wire.UpstreamNotices{Shares: a.FallbackShares, SharesVersion: a.Version})
		}
	}
	if c.published != c.state.Version() {
		c.published = c.state.Version()
		m := &wire.UpstreamNotices{Limits: c.state.Limits()}
		for _, id := range s.ids {
			if ses := c.sessions[id]; ses != nil {
				ses.sendLimits(m)
			}
		}
	}
}

// run advances the simulation.
func (s *fleetSim) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(simStep)
		for len(s.events) > 0 && !s.events[0].at.After(s.now) {
			e := s.events[0]
			s.events = s.events[1:]
			e.run()
		}
		if s.coordinator == nil && !s.successorAt.IsZero() && s.now.After(s.successorAt) {
			s.successorAt = time.Time{}
			s.startCoordinator()
		}
		if c := s.coordinator; c != nil && !c.frozen {
			c.tick(s)
		}
		for _, h := range s.hosts {
			h.tick()
		}
	}
}

// check returns the largest excess over the bound in any window, and the number of requests and the allowed number in
// that window.
func (s *fleetSim) check() (excess float64, n int, allowed float64, at time.Duration) {
	excess = -1e9
	first := 0
	count := 0
	for i, a := range s.arrivals {
		if a.counted {
			count++
		}
		for s.arrivals[first].at.Before(a.at.Add(-simWindow)) {
			if s.arrivals[first].counted {
				count--
			}
			first++
		}
		sum, limited := s.allowance(a.at.Add(-simWindow), a.at)
		if !limited || len(s.figures) == 0 || a.at.Before(s.figures[0].at.Add(simContactTimeout)) {
			continue
		}
		if bound := 1.5*sum + 5; float64(count)-bound > excess {
			excess, n, allowed, at = float64(count)-bound, count, bound, s.arrivals[i].at.Sub(simStart)
		}
	}
	return excess, n, allowed, at
}

// allowance returns how many requests the limit allows between two points in time, and false if there was none at
// some time between them.
func (s *fleetSim) allowance(from, to time.Time) (float64, bool) {
	sum := 0.0
	for i, f := range s.figures {
		begin, end := f.at, to
		if i+1 < len(s.figures) && s.figures[i+1].at.Before(to) {
			end = s.figures[i+1].at
		}
		if i == 0 || begin.Before(from) {
			begin = from
		}
		if !begin.Before(end) {
			continue
		}
		if f.perSecond == 0 {
			return 0, false
		}
		sum += f.perSecond * end.Sub(begin).Seconds()
	}
	return sum, true
}

// Guards against an upstream that gets more requests than its limit allows, summed over all hosts, while the limit
// rises, falls, ends and comes back, hosts restart, freeze and are cut off, and the coordinator is killed, frozen and
// replaced.
func TestRequestLimitHoldsOverHundredsOfHosts(t *testing.T) {
	for seed := range uint64(30) {
		hosts := []int{7, 63, 295}[seed%3]
		s := newFleetSim(hosts, seed)
		s.perHost = []float64{3, 0.5, 0.2}[seed%3] * (0.5 + 2*s.rand.Float64())
		s.run(3 * time.Second)
		limits := []float64{0.1, 1.1, 1.8, 4, 12, 40}
		s.setLimit(limits[s.rand.IntN(len(limits))])
		for s.now.Before(simStart.Add(60 * time.Second)) {
			s.run(50 * time.Millisecond)
			p := s.rand.Float64()
			switch {
			case p < 0.010:
				s.setLimit(limits[s.rand.IntN(len(limits))])
			case p < 0.013:
				s.setLimit(0)
			case p < 0.018:
				s.loseCoordinator(0)
			case p < 0.023:
				s.loseCoordinator(time.Duration(1+s.rand.IntN(5)) * time.Second)
			case p < 0.04:
				s.hosts[s.rand.IntN(hosts)].start()
			case p < 0.07:
				h := s.hosts[s.rand.IntN(hosts)]
				h.frozen = true
				s.after(s.jitter(5*time.Second), func() { h.frozen = false })
			case p < 0.10:
				h := s.hosts[s.rand.IntN(hosts)]
				h.cut = true
				s.after(s.jitter(6*time.Second), func() { h.cut = false })
			}
		}
		excess, n, allowed, at := s.check()
		t.Logf("seed %d, %d hosts: %.1f below the bound", seed, hosts, -excess)
		if excess > 0 {
			t.Errorf("seed %d, %d hosts: %d requests in the window that ends at %v, allowed %.1f", seed, hosts, n, at, allowed)
		}
	}
}

// Guards against a limit that is kept by sending next to nothing: an even split of 1.1 requests per second at 295
// hosts is one request in 268 s. Callers get at least 0.8 of the named rate while there is a coordinator.
func TestRequestLimitIsUsed(t *testing.T) {
	for hosts, limits := range map[int][]float64{7: {1.1, 4, 20, 400}, 63: {1.1, 4, 20}, 295: {1.1, 4, 20}} {
		for _, limit := range limits {
			s := newFleetSim(hosts, 1)
			s.perHost = 3 * limit / float64(hosts)
			s.run(2 * time.Second)
			s.setLimit(limit)
			s.run(5 * time.Second)
			before := s.served
			const d = 30 * time.Second
			s.run(d)
			share := float64(s.served-before) / (limit * d.Seconds())
			t.Logf("%d hosts, limit %.1f: %.2f of the rate is used", hosts, limit, share)
			if share < 0.8 || share > 1.1 {
				t.Errorf("%d hosts, limit %.1f: %.2f of the rate is used, want 0.8 to 1.1", hosts, limit, share)
			}
		}
	}
}

// Guards against a limited upstream that gets nothing while there is no coordinator: the hosts with the highest demand
// go on with their fallback shares.
func TestRequestLimitIsUsedWithoutCoordinator(t *testing.T) {
	for _, hosts := range []int{7, 63, 295} {
		for _, limit := range []float64{1.1, 4} {
			served, allowed := 0, 0.0
			for seed := range uint64(10) {
				s := newFleetSim(hosts, seed)
				s.perHost = 6 * limit / float64(hosts)
				s.setLimit(limit)
				s.run(20 * time.Second)
				s.loseCoordinator(0)
				before := s.served
				const d = 8 * time.Second
				s.run(d)
				served += s.served - before
				allowed += limit * d.Seconds()
				if excess, n, bound, at := s.check(); excess > 0 {
					t.Errorf("%d hosts: %d requests in the window that ends at %v, allowed %.1f", hosts, n, at, bound)
				}
			}
			t.Logf("%d hosts, limit %.1f: %.2f of the rate is used in the 8 s from the loss", hosts, limit, float64(served)/allowed)
			if share := float64(served) / allowed; share < 0.5 {
				t.Errorf("%d hosts, limit %.1f: %.2f of the rate is used from the loss of the coordinator, want at least 0.5", hosts, limit, share)
			}
		}
	}
}

// Guards against a limit that lasts for ever, or that is lifted while it still holds: hosts that hold back hear nothing
// of an upstream that they do not use.
func TestEndOfRequestLimitIsNoticed(t *testing.T) {
	for _, hosts := range []int{7, 295} {
		s := newFleetSim(hosts, 3)
		s.perHost = 30.0 / float64(hosts)
		s.run(time.Second)
		s.setLimit(2)
		s.run(20 * time.Second)
		s.setLimit(0)
		s.run(4 * time.Second)
		limited := 0
		for _, h := range s.hosts {
			if h.host.Limited(simUpstream, 1) {
				limited++
			}
		}
		if limited > 0 {
			t.Errorf("%d of %d hosts keep a limit that ended 4 s ago", limited, hosts)
		}
	}
}
