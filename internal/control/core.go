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
	// plainSlots limits the requests that one host runs concurrently at one plain service.
	plainSlots = 256
	// demandInterval is the interval at which the complete demand is sent to the placement decider, changed or
	// not. The decider discards the demand of a host that has sent none for 3 s.
	demandInterval = time.Second
	// demandBatchDelay is the minimum time between two demand messages, so that a burst of requests causes
	// one message.
	demandBatchDelay = 2 * time.Millisecond
	// withdrawnRetention is how long a Core remembers a withdrawn key. A request that was authenticated just
	// before the withdrawal arrives within that time.
	withdrawnRetention = time.Minute
)

// Options configures a Core.
type Options struct {
	Self      entity.HostID
	Throttler *limits.Throttler
	// Scheduler builds the scheduler. Its argument estimates how long a pool without targets will wait for one.
	Scheduler func(readyIn func(schedule.PoolID, time.Time) (time.Duration, bool)) *schedule.Scheduler
	Placer    *placement.Placer
	// OnInvalidRecord is called for each record of a host or an upstream that cannot be decoded. It may be nil.
	OnInvalidRecord func(key string, err error)
}

// phase is the stage of processing that a request has reached.
type phase uint8

const (
	// phaseAdmitting: the request waits for its tokens.
	phaseAdmitting phase = iota
	// phaseClaiming: the gateway makes the idempotency claim of the request.
	phaseClaiming
	// phaseScheduled: the scheduler has the request, queued or running.
	phaseScheduled
)

// request is a request that has no final answer yet.
type request struct {
	spec    *schedule.Request
	handler RequestHandler
	// charge is the number of tokens to charge at admission; charged is set once they are charged.
	charge  float64
	charged bool
	// needsClaim is set if the request needs an idempotency claim before it is queued.
	needsClaim bool
	phase      phase
}

// pendingWrite identifies the subsystem that issued a write, and the number of the write in that subsystem.
type pendingWrite struct {
	subsystem subsystem
	id        uint64
}

type subsystem uint8

const (
	subsystemLimits subsystem = iota
	subsystemPlacement
)

// Core holds the control state of one host. It performs no I/O, and only one goroutine may use it.
type Core struct {
	opts      Options
	site      *config.Site
	requests  map[entity.RequestID]*request
	throttler *limits.Throttler
	scheduler *schedule.Scheduler
	placer    *placement.Placer
	upstreams map[entity.UpstreamID]config.UpstreamRecord
	hosts     map[entity.HostID]config.HostRecord
	// linked maps each host to which this host has a link to the incarnation at the other end.
	linked map[entity.HostID]entity.Incarnation
	// serviceUnreachable holds the hosts that report that they cannot reach the key-value service.
	serviceUnreachable map[entity.HostID]bool
	// decider is the placement decider to which demand was last sent.
	decider       entity.HostID
	pendingWrites map[uint64]pendingWrite
	lastWriteID   uint64
	// pools maps each model pool that has had requests to the version of the model's placement from which its
	// targets were computed. placerVersion is the version of the placer when all pools were last checked.
	pools          map[schedule.PoolID]uint64
	placerVersion  uint64
	nextDemand     time.Time
	nextFullDemand time.Time
	// hasShareRecord is true for each workspace that has a share record in the key-value service.
	hasShareRecord map[entity.WorkspaceID]bool
	// withdrawn maps recently withdrawn keys to the time until which they are remembered.
	withdrawn map[entity.KeyID]time.Time
	// out collects the result of the current call of Handle.
	out []command.Command
}

// NewCore returns a Core without configuration.
func NewCore(o Options) *Core {
	c := &Core{
		opts:               o,
		requests:           make(map[entity.RequestID]*request),
		throttler:          o.Throttler,
		placer:             o.Placer,
		upstreams:          make(map[entity.UpstreamID]config.UpstreamRecord),
		hosts:              make(map[entity.HostID]config.HostRecord),
		linked:             make(map[entity.HostID]entity.Incarnation),
		serviceUnreachable: make(map[entity.HostID]bool),
		pendingWrites:      make(map[uint64]pendingWrite),
		pools:              make(map[schedule.PoolID]uint64),
		hasShareRecord:     make(map[entity.WorkspaceID]bool),
		withdrawn:          make(map[entity.KeyID]time.Time),
	}
	c.scheduler = o.Scheduler(c.readyIn)
	return c
}

// Handle processes one event and returns the commands that have effects outside the control state. The
// result is valid until the next call.
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
		c.handleArrived(e, now)
	case Claimed:
		c.handleClaimed(e, now)
	case AttemptEnded:
		c.handleAttemptEnded(e, now)
	case RequestClosed:
		c.handleRequestClosed(e, now)
	case SiteChanged:
		c.handleSiteChanged(e.Site, now)
	case KeysWithdrawn:
		c.handleKeysWithdrawn(e.Keys, now)
	case ViewStale:
		c.handleViewStale(now)
	case ViewChanged:
		c.handleViewChanged(e.Changes, now)
	case PeerMessage:
		c.handlePeerMessage(e, now)
	case PeerLink:
		c.handlePeerLink(e, now)
	case HeartbeatReceived:
		c.handleHeartbeat(e, now)
	case Report:
		c.handleReport(e.Report, e.ReceivedAt, now)
	case WriteResult:
		c.handleWriteResult(e, now)
	case OrderResult:
		c.executeCommands(subsystemPlacement, c.placer.HandleOrderResult(e.OrderID, e.Outcome, now), now)
	case LeaseRenewed:
		c.throttler.HandleLease(e.ValidUntil, now)
	case ServiceState:
		c.setServiceReachable(c.opts.Self, e.Reachable, now)
	case HeartbeatAcknowledged:
		c.throttler.HandleHeartbeatAnswer(e.Host, e.Incarnation, e.SentAt)
	case Stopping:
		c.executeCommands(subsystemLimits, c.throttler.Stop(now), now)
	case Query:
		e.Run(c, now)
	case Tick:
		c.tick(now)
	}
}

func (c *Core) tick(now time.Time) {
	c.executeCommands(subsystemLimits, c.throttler.Tick(now), now)
	c.executeCommands(subsystemPlacement, c.placer.Tick(now), now)
	c.executeCommands(subsystemPlacement, c.scheduler.Tick(now), now)
}

// handleArrived adds a request to the table and requests its tokens. It refuses the request if its key was
// withdrawn recently.
func (c *Core) handleArrived(e Arrived, now time.Time) {
	r := &request{spec: e.Request, handler: e.RequestHandler, charge: e.Charge, needsClaim: e.NeedsClaim}
	c.requests[e.Request.ID] = r
	if _, isWithdrawn := c.withdrawn[e.Request.Key]; isWithdrawn && e.Request.Key != "" {
		c.refuse(e.Request.ID, withdrawnRefusal(), now)
		return
	}
	if e.Charge == 0 {
		c.claimOrEnqueue(r, now)
		return
	}
	c.executeCommands(subsystemLimits, c.throttler.Request(limits.Admission{
		ID:        e.Request.ID,
		Workspace: e.Request.Workspace,
		Tokens:    e.Charge,
		Deadline:  e.Request.Deadline,
	}, now), now)
}

// claimOrEnqueue continues a request that has got its tokens: it starts the idempotency claim if the request
// needs one, and queues the request otherwise.
func (c *Core) claimOrEnqueue(r *request, now time.Time) {
	if r.needsClaim {
		r.phase = phaseClaiming
		r.handler.StartClaim()
		return
	}
	c.enqueue(r, now)
}

func (c *Core) handleClaimed(e Claimed, now time.Time) {
	if r, ok := c.requests[e.Request]; ok && r.phase == phaseClaiming {
		c.enqueue(r, now)
	}
}

func (c *Core) enqueue(r *request, now time.Time) {
	r.phase = phaseScheduled
	pool := r.spec.Pool
	if _, ok := c.pools[pool]; !ok && pool.Kind == "" {
		c.pools[pool] = 0
		c.setPoolTargets(pool, now)
	}
	c.executeCommands(subsystemPlacement, c.scheduler.Enqueue(r.spec, now), now)
}

func (c *Core) handleAttemptEnded(e AttemptEnded, now time.Time) {
	r, ok := c.requests[e.Request]
	if !ok {
		return
	}
	commands := c.scheduler.AttemptEnded(e.AttemptResult, now)
	if e.Outcome == entity.Completed || e.Outcome == entity.Canceled {
		c.finish(r, e.UsedTokens, now)
	}
	c.executeCommands(subsystemPlacement, commands, now)
	if _, remains := c.requests[e.Request]; remains && !c.scheduler.Contains(e.Request) {
		// The attempt failed at the moment when the request was canceled. CancelAttempt has already passed
		// the refusal to the gateway, and the upstream may have run the request, so the full charge is kept.
		c.finish(r, r.charge, now)
	}
}

// handleRequestClosed removes a request for which no AttemptEnded event will follow.
func (c *Core) handleRequestClosed(e RequestClosed, now time.Time) {
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
		// Cancel removes a queued request, and AttemptEnded then has no effect. If the scheduler has already
		// dispatched the request, the gateway starts no attempt, because the caller has left, and sends no
		// AttemptEnded event. The slot at the upstream is therefore freed here.
		commands = c.scheduler.AttemptEnded(schedule.AttemptResult{Request: e.Request, Outcome: entity.Canceled}, now)
	}
	c.finish(r, e.UsedTokens, now)
	c.executeCommands(subsystemLimits, commands, now)
}

// finish removes a request from the table and replaces its charge by the tokens that it has used.
func (c *Core) finish(r *request, used float64, now time.Time) {
	delete(c.requests, r.spec.ID)
	if r.charged {
		c.throttler.Settle(r.spec.ID, used, now)
	}
}

// executeCommands carries out the commands for requests, and collects the others in c.out. It gives each write a
// number of its own, because every subsystem counts its writes separately. from is the subsystem that issued the
// writes. It has no effect on commands of the scheduler, which issues no writes.
func (c *Core) executeCommands(from subsystem, commands []command.Command, now time.Time) {
	for _, cmd := range commands {
		switch cmd := cmd.(type) {
		case command.Admit:
			if r, ok := c.requests[cmd.Request]; ok {
				r.charged = true
				c.claimOrEnqueue(r, now)
			}
		case command.Refuse:
			c.refuse(cmd.Request, cmd.Refusal, now)
		case command.CancelAttempt:
			if r, ok := c.requests[cmd.Request]; ok {
				r.handler.CancelAttempt(cmd.Refusal)
			}
		case command.Dispatch:
			if r, ok := c.requests[cmd.Request]; ok {
				r.handler.Dispatch(cmd.Upstream, c.Addr(cmd.Upstream), cmd.Attempt)
			}
		case command.WriteRecords:
			c.lastWriteID++
			c.pendingWrites[c.lastWriteID] = pendingWrite{subsystem: from, id: cmd.ID}
			c.out = append(c.out, command.WriteRecords{ID: c.lastWriteID, Txn: cmd.Txn})
		default:
			c.out = append(c.out, cmd)
		}
	}
}

// refuse answers a request with a refusal and removes it. The charge is kept if the request may have run.
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
	r.handler.Refuse(refusal)
}

func (c *Core) handleReport(r *wire.UpstreamReport, receivedAt, now time.Time) {
	c.placer.HandleReport(*r, receivedAt)
	c.executeCommands(subsystemPlacement, c.scheduler.HandleReportedLoad(r.Load(), now), now)
}

func (c *Core) handleWriteResult(e WriteResult, now time.Time) {
	w, ok := c.pendingWrites[e.ID]
	if !ok {
		return
	}
	delete(c.pendingWrites, e.ID)
	if w.subsystem == subsystemLimits {
		c.executeCommands(subsystemLimits, c.throttler.HandleWriteResult(w.id, e.Result, e.Err, now), now)
		return
	}
	c.executeCommands(subsystemPlacement, c.placer.HandleWriteResult(w.id, e.Result, e.Err, now), now)
}

// refreshTargets passes the replicas of the models whose placement has changed to the scheduler.
func (c *Core) refreshTargets(now time.Time) {
	if v := c.placer.Version(); v != c.placerVersion {
		c.placerVersion = v
		for pool, applied := range c.pools {
			if c.placer.ModelVersion(pool.Model) != applied {
				c.setPoolTargets(pool, now)
			}
		}
	}
}

// setPoolTargets makes the ready replicas of a model pool its targets, except draining ones.
func (c *Core) setPoolTargets(pool schedule.PoolID, now time.Time) {
	c.pools[pool] = c.placer.ModelVersion(pool.Model)
	var targets []schedule.Target
	for _, r := range c.placer.Replicas(pool.Model, pool.Adapter) {
		if r.Ready && !r.Draining {
			targets = append(targets, schedule.Target{Upstream: r.Upstream, Slots: r.Slots})
		}
	}
	c.executeCommands(subsystemPlacement, c.scheduler.SetTargets(pool, targets, now), now)
}

// readyIn estimates how long a pool without targets will wait for one. For a model that no listed upstream
// can load, the estimate is placement.NoLoadPossible, which exceeds every deadline, so that its requests are
// refused at once and not at their deadline.
func (c *Core) readyIn(pool schedule.PoolID, now time.Time) (time.Duration, bool) {
	if pool.Kind != "" {
		return 0, false
	}
	return c.placer.NextLoadEstimate(pool.Model, now), true
}

// sendDemand sends changed demand to the decider, at most once per demandBatchDelay. It sends the complete
// demand every demandInterval and when the decider has changed; an empty list then shows the decider that
// this host is still running.
func (c *Core) sendDemand(now time.Time) {
	if now.Before(c.nextDemand) || c.site == nil {
		return
	}
	decider := c.placer.Decider()
	complete := !now.Before(c.nextFullDemand) || decider != c.decider
	c.decider = decider
	c.nextDemand = now.Add(demandBatchDelay)
	if complete {
		c.nextFullDemand = now.Add(demandInterval)
	}
	d := wire.Demand{Models: c.scheduler.Demand(complete, now), Complete: complete}
	if len(d.Models) == 0 && !complete {
		return
	}
	// Every host passes its demand to its own placer too, because any host can become the decider.
	c.placer.HandleDemand(c.opts.Self, d, now)
	if decider != "" && decider != c.opts.Self {
		c.out = append(c.out, command.SendPeer{To: decider, Message: &d})
	}
}
