package control

import (
	"time"

	"github.com/foxtailpass/foxtailpass/internal/command"
	"github.com/foxtailpass/foxtailpass/internal/config"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/limits"
	"github.com/foxtailpass/foxtailpass/internal/placement"
	"github.com/foxtailpass/foxtailpass/internal/schedule"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

const (
	// plainSlots bounds the requests that one host has at one plain service.
	plainSlots = 256
	// demandInterval is the time between two repetitions of demand that has not changed; the
	// decider drops the sums of a host that is silent for 3 s.
	demandInterval = time.Second
	// demandBatch delays changed demand a little, so that a burst of requests is one message.
	demandBatch = 2 * time.Millisecond
	// withdrawnMemory is how long withdrawn keys are remembered here. A request that was
	// authenticated just before the withdrawal arrives within that time.
	withdrawnMemory = time.Minute
)

// Options configures a Core.
type Options struct {
	Self      entity.HostID
	Throttler *limits.Throttler
	Scheduler func(readyIn func(schedule.PoolID, time.Time) (time.Duration, bool)) *schedule.Scheduler
	Placer    *placement.Placer
	// OnInvalidRecord is told about records that cannot be read. May be nil.
	OnInvalidRecord func(key string, err error)
}

// phase is how far a request has come.
type phase uint8

const (
	phaseAdmitting phase = iota
	phaseClaiming
	phaseScheduled
)

// request is one row of the table of requests without a final answer.
type request struct {
	row     *schedule.Request
	caller  Caller
	charge  float64
	charged bool
	claim   bool
	phase   phase
}

// writer identifies the system that asked for a write.
type writer struct {
	system system
	id     uint64
}

type system uint8

const (
	systemLimits system = iota
	systemPlacement
)

// Core holds the control state of one host. It is pure and belongs to one goroutine.
type Core struct {
	opts      Options
	site      *config.Site
	requests  map[entity.RequestID]*request
	throttler *limits.Throttler
	scheduler *schedule.Scheduler
	placer    *placement.Placer
	upstreams map[entity.UpstreamID]config.UpstreamRecord
	hosts     map[entity.HostID]config.HostRecord
	linked    map[entity.HostID]entity.Incarnation
	// unserved holds the hosts that do not reach the key-value service.
	unserved map[entity.HostID]bool
	// decider is the host that got the last demand.
	decider   entity.HostID
	writers   map[uint64]writer
	nextWrite uint64
	// pools holds the model pools that had requests, with the placement version of their targets.
	pools         map[schedule.PoolID]uint64
	placerVersion uint64
	demandDue     time.Time
	demandAll     time.Time
	// shared holds the workspaces that have a share record.
	shared map[entity.WorkspaceID]bool
	// withdrawn holds recently withdrawn keys with the time until which they are remembered.
	withdrawn map[entity.KeyID]time.Time
	out       []command.Command
}

// NewCore returns a Core without configuration.
func NewCore(o Options) *Core {
	c := &Core{
		opts:      o,
		requests:  make(map[entity.RequestID]*request),
		throttler: o.Throttler,
		placer:    o.Placer,
		upstreams: make(map[entity.UpstreamID]config.UpstreamRecord),
		hosts:     make(map[entity.HostID]config.HostRecord),
		linked:    make(map[entity.HostID]entity.Incarnation),
		unserved:  make(map[entity.HostID]bool),
		writers:   make(map[uint64]writer),
		pools:     make(map[schedule.PoolID]uint64),
		shared:    make(map[entity.WorkspaceID]bool),
		withdrawn: make(map[entity.KeyID]time.Time),
	}
	c.scheduler = o.Scheduler(c.readyIn)
	return c
}

// Handle takes over one event and returns the commands that leave the host.
func (c *Core) Handle(e Event, now time.Time) []command.Command {
	c.out = c.out[:0]
	c.handle(e, now)
	c.refreshTargets(now)
	c.sendDemand(now)
	return c.out
}

func (c *Core) handle(e Event, now time.Time) {
	switch e := e.(type) {
	case Arrived:
		c.arrived(e, now)
	case Claimed:
		c.claimed(e, now)
	case AttemptEnded:
		c.attemptEnded(e, now)
	case CallerGone:
		c.callerGone(e, now)
	case SiteChanged:
		c.siteChanged(e.Site, now)
	case KeysWithdrawn:
		c.keysWithdrawn(e.Keys, now)
	case ViewStale:
		c.viewStale(now)
	case ViewChanged:
		c.viewChanged(e.Changes, now)
	case PeerMessage:
		c.peerMessage(e, now)
	case PeerLink:
		c.peerLink(e, now)
	case HeartbeatReceived:
		c.heartbeat(e, now)
	case Report:
		c.report(e.Report, e.ReceivedAt, now)
	case WriteResult:
		c.writeResult(e, now)
	case OrderResult:
		c.run(systemPlacement, c.placer.HandleOrderResult(e.OrderID, e.Outcome, now), now)
	case LeaseRenewed:
		c.throttler.HandleLease(e.ValidUntil, now)
	case ServiceState:
		c.setServed(c.opts.Self, e.Reachable, now)
	case WitnessAnswered:
		c.throttler.HandleWitness(e.Host, e.Incarnation, e.SentAt)
	case Stopping:
		c.run(systemLimits, c.throttler.Stop(now), now)
	case Query:
		e.Run(c, now)
	case Tick:
		c.tick(now)
	}
}

func (c *Core) tick(now time.Time) {
	c.run(systemLimits, c.throttler.Tick(now), now)
	c.run(systemPlacement, c.placer.Tick(now), now)
	c.run(systemPlacement, c.scheduler.Tick(now), now)
}

// arrived puts a request into the table and asks for its tokens.
func (c *Core) arrived(e Arrived, now time.Time) {
	r := &request{row: e.Request, caller: e.Caller, charge: e.Charge, claim: e.Claim}
	c.requests[e.Request.ID] = r
	if _, gone := c.withdrawn[e.Request.Key]; gone && e.Request.Key != "" {
		c.refuse(e.Request.ID, withdrawnRefusal(), now)
		return
	}
	if e.Charge == 0 {
		c.admitted(r, now)
		return
	}
	c.run(systemLimits, c.throttler.Request(limits.Admission{
		ID:        e.Request.ID,
		Workspace: e.Request.Workspace,
		Tokens:    e.Charge,
		Deadline:  e.Request.Deadline,
	}, now), now)
}

// admitted takes a request on after its tokens are charged.
func (c *Core) admitted(r *request, now time.Time) {
	if r.claim {
		r.phase = phaseClaiming
		r.caller.ClaimFirst()
		return
	}
	c.enqueue(r, now)
}

func (c *Core) claimed(e Claimed, now time.Time) {
	if r, ok := c.requests[e.Request]; ok && r.phase == phaseClaiming {
		c.enqueue(r, now)
	}
}

func (c *Core) enqueue(r *request, now time.Time) {
	r.phase = phaseScheduled
	pool := r.row.Pool
	if _, ok := c.pools[pool]; !ok && pool.Kind == "" {
		c.pools[pool] = 0
		c.refreshPool(pool, now)
	}
	c.run(systemPlacement, c.scheduler.Enqueue(r.row, now), now)
}

func (c *Core) attemptEnded(e AttemptEnded, now time.Time) {
	r, ok := c.requests[e.Request]
	if !ok {
		return
	}
	commands := c.scheduler.AttemptEnded(e.AttemptResult, now)
	if e.Outcome == entity.Completed || e.Outcome == entity.Canceled {
		c.finish(r, e.UsedTokens, now)
	}
	c.run(systemPlacement, commands, now)
	if _, left := c.requests[e.Request]; left && !c.scheduler.Holds(e.Request) {
		// The attempt failed just when the request was canceled; its refusal is on its way, and
		// the upstream may have run it.
		c.finish(r, r.charge, now)
	}
}

// callerGone ends a request that no attempt will report on.
func (c *Core) callerGone(e CallerGone, now time.Time) {
	r, ok := c.requests[e.Request]
	if !ok {
		return
	}
	var commands []command.Command
	switch r.phase {
	case phaseAdmitting:
		commands = c.throttler.Cancel(e.Request, now)
	case phaseScheduled:
		c.scheduler.Cancel(e.Request)
		// The caller may have left just when the request was dispatched; then nobody runs the attempt.
		commands = c.scheduler.AttemptEnded(schedule.AttemptResult{Request: e.Request, Outcome: entity.Canceled}, now)
	}
	c.finish(r, e.UsedTokens, now)
	c.run(systemLimits, commands, now)
}

// finish removes a request and settles what it has cost.
func (c *Core) finish(r *request, used float64, now time.Time) {
	delete(c.requests, r.row.ID)
	if r.charged {
		c.throttler.Settle(r.row.ID, used, now)
	}
}

// run carries out commands inside the host and collects the others.
func (c *Core) run(from system, commands []command.Command, now time.Time) {
	for _, cmd := range commands {
		switch cmd := cmd.(type) {
		case command.Admit:
			if r, ok := c.requests[cmd.Request]; ok {
				r.charged = true
				c.admitted(r, now)
			}
		case command.Refuse:
			c.refuse(cmd.Request, cmd.Refusal, now)
		case command.CancelAttempt:
			if r, ok := c.requests[cmd.Request]; ok {
				r.caller.CancelAttempt(cmd.Refusal)
			}
		case command.Dispatch:
			if r, ok := c.requests[cmd.Request]; ok {
				r.caller.Dispatch(cmd.Upstream, c.Addr(cmd.Upstream), cmd.Attempt)
			}
		case command.WriteRecords:
			c.nextWrite++
			c.writers[c.nextWrite] = writer{system: from, id: cmd.ID}
			c.out = append(c.out, command.WriteRecords{ID: c.nextWrite, Txn: cmd.Txn})
		default:
			c.out = append(c.out, cmd)
		}
	}
}

// refuse gives a request its final answer. The charge is kept when the request may have run.
func (c *Core) refuse(id entity.RequestID, refusal entity.Refusal, now time.Time) {
	r, ok := c.requests[id]
	if !ok {
		return
	}
	used := r.charge
	if refusal.Ran == entity.NotRun {
		used = 0
	}
	c.finish(r, used, now)
	r.caller.Refuse(refusal)
}

func (c *Core) report(r *wire.UpstreamReport, receivedAt, now time.Time) {
	c.placer.HandleReport(*r, receivedAt)
	c.run(systemPlacement, c.scheduler.HandleLoad(r.Load(), now), now)
}

func (c *Core) writeResult(e WriteResult, now time.Time) {
	w, ok := c.writers[e.ID]
	if !ok {
		return
	}
	delete(c.writers, e.ID)
	if w.system == systemLimits {
		c.run(systemLimits, c.throttler.HandleWriteResult(w.id, e.Result, e.Err, now), now)
		return
	}
	c.run(systemPlacement, c.placer.HandleWriteResult(w.id, e.Result, e.Err, now), now)
}

// refreshTargets hands changed replicas to the scheduler.
func (c *Core) refreshTargets(now time.Time) {
	if v := c.placer.Version(); v != c.placerVersion {
		c.placerVersion = v
		for pool, seen := range c.pools {
			if c.placer.ModelVersion(pool.Model) != seen {
				c.refreshPool(pool, now)
			}
		}
	}
}

func (c *Core) refreshPool(pool schedule.PoolID, now time.Time) {
	c.pools[pool] = c.placer.ModelVersion(pool.Model)
	var targets []schedule.Target
	for _, r := range c.placer.Replicas(pool.Model, pool.Adapter) {
		if r.Ready && !r.Draining {
			targets = append(targets, schedule.Target{Upstream: r.Upstream, Slots: r.Slots})
		}
	}
	c.run(systemPlacement, c.scheduler.SetTargets(pool, targets, now), now)
}

// readyIn estimates when a pool without targets will have one. The estimate of a model that no
// listed upstream can take is placement.NoLoad, which exceeds every deadline: its requests must be
// refused at once, not at their deadline.
func (c *Core) readyIn(pool schedule.PoolID, now time.Time) (time.Duration, bool) {
	if pool.Kind != "" {
		return 0, false
	}
	return c.placer.NextLoadEstimate(pool.Model, now), true
}

// sendDemand tells the decider about changed sums soon, and about all sums from time to time and
// when another host has become the decider. An empty list says that this host still lives.
func (c *Core) sendDemand(now time.Time) {
	if now.Before(c.demandDue) || c.site == nil {
		return
	}
	decider := c.placer.Decider()
	all := !now.Before(c.demandAll) || decider != c.decider
	c.decider = decider
	c.demandDue = now.Add(demandBatch)
	if all {
		c.demandAll = now.Add(demandInterval)
	}
	d := wire.Demand{Models: c.scheduler.Demand(all, now), All: all}
	if len(d.Models) == 0 && !all {
		return
	}
	// Every host knows its own sums, so that any of them can take over as the decider.
	c.placer.HandleDemand(c.opts.Self, d, now)
	if decider != "" && decider != c.opts.Self {
		c.out = append(c.out, command.SendPeer{To: decider, Message: &d})
	}
}
