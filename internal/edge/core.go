package edge

import (
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/boottime"
	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/dispatch"
	"github.com/foxtailpass/foxtailpass/internal/election"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/fairshare"
	"github.com/foxtailpass/foxtailpass/internal/fleet"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
	"github.com/foxtailpass/foxtailpass/internal/peer"
	"github.com/foxtailpass/foxtailpass/internal/prefill"
	"github.com/foxtailpass/foxtailpass/internal/quarantine"
	"github.com/foxtailpass/foxtailpass/internal/quota"
	"github.com/foxtailpass/foxtailpass/internal/relay"
	"github.com/foxtailpass/foxtailpass/internal/releases"
	"github.com/foxtailpass/foxtailpass/internal/requestlimit"
	"github.com/foxtailpass/foxtailpass/internal/speed"
	"github.com/foxtailpass/foxtailpass/internal/swap"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

// effects carries out the decisions of the control state. Its methods must not block.
type effects interface {
	order(o swap.Order, token int64)
	readEngineReport(u *fleet.Upstream)
	connect(holder *election.Holder)
	// setHosts passes the addresses at which the registered hosts serve other hosts to the relay of records of streams.
	setHosts(addrs map[entity.HostID]string)
	// announce notifies the hosts at addrs that this host is the coordinator.
	announce(addrs map[entity.HostID]string, lease election.CoordinatorLease)
	// holdsLease reports whether this host holds the coordinator lease now.
	holdsLease() bool
	// checkReplica finds out whether a replica at an address has ended.
	checkReplica(i quarantine.Instance, addr string)
	// writeQuarantine and claimProbe run transactions on the records about crashes of replicas.
	writeQuarantine(w quarantine.Write)
	claimProbe(id entity.RequestID, traits []quarantine.Trait, txn kvstore.Txn)
	// writeRelease runs a transaction on the records of releases, and setReleases passes the recorded releases to the
	// goroutines of requests.
	writeRelease(txn kvstore.Txn)
	setReleases(services map[catalog.ServiceID]releases.Service)
	// viewProvesReleases reports whether the view is so new that its list and its records of releases are the present ones.
	viewProvesReleases() bool
	// setListing passes what the list states about upstreams to the goroutines of requests.
	setListing(list releases.Listing)
}

// core is the control state of one host. Only one goroutine uses it.
type core struct {
	self    entity.HostID
	log     *slog.Logger
	effects effects
	bounds  Bounds
	sharing Sharing

	catalog   *catalog.Catalog
	scheduler *dispatch.Scheduler
	limiter   *quota.Limiter
	// shares divides upstreams among competing workspaces, nil if they are not shared.
	shares *fairshare.Host
	// requestLimits holds the request limits of upstreams. linkKeepsLimits reports whether the coordinator at the other
	// end of link keeps them. invalidLimits holds the upstreams whose limit could not be read.
	requestLimits   *requestlimit.Host
	linkKeepsLimits bool
	// linkSendsSpeeds reports whether the coordinator at the other end of link publishes learned speeds.
	linkSendsSpeeds bool
	invalidLimits   map[entity.UpstreamID]bool
	// invalidBackOffs holds the upstreams that have requested a back-off which could not be read.
	invalidBackOffs map[entity.UpstreamID]bool
	fleet           *fleet.Table
	stepQueues      map[entity.RequestID]*stepQueue
	// parked requests wait for tokens of their workspace, in the order of their arrival.
	parked []*parkedRequest
	// unsentDeficits are the deficits of parked requests that have not been sent to the coordinator yet.
	// lastTokenRequestID is the ID of the newest deficit.
	unsentDeficits     []wire.TokenDeficit
	lastTokenRequestID uint64
	// rateUrgency is nil unless selectRateUrgency has turned it on.
	rateUrgency *rateUrgency

	// holder is the host that holds the coordinator lease, nil if none does.
	holder *election.Holder
	// link is the session with the coordinator, nil without one. linkEstablished reports whether a message has
	// been received on it; before that, this host works without a coordinator. lastMessageAt is the time of the
	// last message of a coordinator. linkLostAt is when the last established session ended or this host last
	// stopped coordinating.
	link            *peer.Session
	linkEstablished bool
	lastMessageAt   time.Time
	linkLostAt      time.Time
	// coordinatorExpectedUntil is the time until which a process that has just started expects its first
	// coordinator.
	coordinatorExpectedUntil time.Time
	// states holds the state of each engine as the coordinator last reported it.
	states map[entity.UpstreamID]wire.UpstreamState
	// indexes maps the index of an upstream in messages of the coordinator to its ID.
	indexes map[int]entity.UpstreamID
	// estimates are the coordinator's estimates of when models will be ready, received at estimatesReceivedAt.
	estimates           map[dispatch.Pool]readyEstimate
	estimatesReceivedAt time.Time
	// knownRevision is the revision of the key-value service up to which this host knows all changes, and
	// changeLog holds the changes that it can relay to other hosts.
	knownRevision *atomic.Int64
	// readableSince is the boot time, in nanoseconds, since which this host has known of no outage of the key-value service,
	// zero during one.
	readableSince *atomic.Int64
	changeLog     *relay.Log
	// members are the registered hosts, and addrs the addresses at which they serve other hosts.
	members []entity.HostID
	addrs   map[entity.HostID]string
	// arrivals counts requests since the last report to the coordinator.
	arrivals map[dispatch.Pool]int
	reporter reporter
	// speeds holds the learned speeds of upstreams, nil unless Sharing.ReplicaSpeeds is set. speedSamples are those that have
	// not been reported since speedsReportedAt.
	speeds           *speed.Learner
	speedSamples     speed.Collector
	speedsReportedAt time.Time
	// fasterCopies counts the loads of models on faster engines.
	fasterCopies int64
	// orders counts the orders of this process by action and answer.
	orders map[orderKey]int64

	// releases holds the releases at which streams may have begun.
	releases *releases.Known
	// recorded are the recorded releases by service, and storeAway is set while this host cannot read the key-value service.
	recorded  map[catalog.ServiceID]releases.Service
	storeAway bool
	// quarantine holds the traits of requests that are suspected of crashing replicas, and watchedTraits the traits for
	// which the goroutines of requests report answers. claims holds the requests for which a probe is claimed.
	quarantine    *quarantine.Tracker
	watchedTraits *atomic.Pointer[map[quarantine.Trait]struct{}]
	claims        map[entity.RequestID]*dispatch.Request
	// brokenAttempts are the attempts whose replicas may have ended, by replica. They are processed once that is known.
	brokenAttempts map[quarantine.Instance][]attemptEnded
	// suspectedCrashes and probes are counted for the metrics.
	suspectedCrashes, probes int64
	// prunedAt is when this host, as the coordinator, last removed old records about crashes.
	prunedAt time.Time

	// coordinator is non-nil while this host is the coordinator.
	coordinator *coordinator
	// earlyReports holds, by session, the first reports of hosts that arrived before this host became the
	// coordinator.
	earlyReports map[*peer.Session]*wire.HostReport
}

// orderKey is the action and the answer by which orders are counted.
type orderKey struct {
	action swap.Action
	answer swap.Answer
}

func newCore(self entity.HostID, domain, keyPrefix string, recent *quarantine.RecentTraits, b Bounds, sharing Sharing, l *slog.Logger, e effects) *core {
	c := &core{
		self:          self,
		log:           l,
		effects:       e,
		bounds:        b,
		sharing:       sharing,
		limiter:       quota.New(b.toleratedOvershoot(), boottime.Now()),
		requestLimits: requestlimit.NewHost(boottime.Now()),
		invalidLimits: make(map[entity.UpstreamID]bool),

		invalidBackOffs: make(map[entity.UpstreamID]bool),
		fleet:           fleet.NewTable(),
		stepQueues:      make(map[entity.RequestID]*stepQueue),
		states:          make(map[entity.UpstreamID]wire.UpstreamState),
		indexes:         make(map[int]entity.UpstreamID),
		knownRevision:   new(atomic.Int64),
		readableSince:   new(atomic.Int64),
		changeLog:       relay.NewLog(),
		earlyReports:    make(map[*peer.Session]*wire.HostReport),
		estimates:       make(map[dispatch.Pool]readyEstimate),
		arrivals:        make(map[dispatch.Pool]int),
		orders:          make(map[orderKey]int64),
		watchedTraits:   new(atomic.Pointer[map[quarantine.Trait]struct{}]),
		claims:          make(map[entity.RequestID]*dispatch.Request),
		brokenAttempts:  make(map[quarantine.Instance][]attemptEnded),
	}
	source := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	c.quarantine = quarantine.New(quarantine.Options{Host: self, KeyPrefix: keyPrefix, Rand: source, Recent: recent})
	c.releases = releases.NewKnown(keyPrefix, source.Float64)
	if sharing.ReplicaSpeeds {
		c.speeds = speed.New()
	}
	if sharing.FairShares {
		c.shares = fairshare.NewHost()
	}
	c.scheduler = dispatch.New(dispatch.Options{
		Speeds: c.speeds,

		PrefillBudget: sharing.PrefillBudget,

		Domain: domain,
		Rand:   source,
		Budget: func() *dispatch.Budget {
			return &dispatch.Budget{
				Ratio:  b.RetryRatio,
				Extra:  c.retryExtra(),
				Window: time.Duration(b.RetryWindowSeconds * float64(time.Second)),
			}
		},
		ReadyIn: c.readyIn,
		Limits:  c.requestLimits,
		Shares:  c.shares,

		Quarantined: c.quarantineReason,
	})
	return c
}

// handle applies one event.
func (c *core) handle(e event, now time.Time) {
	switch e := e.(type) {
	case requestArrived:
		c.requestArrived(e, now)
	case attemptEnded:
		c.attemptEnded(e, now)
	case answerBegan:
		c.quarantine.AnswerBegan(e.traits, e.probe, now)
		c.quarantineUpdated(now)
	case answerCompleted:
		c.quarantine.AnswerCompleted(e.traits, e.probe, now)
		c.quarantineUpdated(now)
	case replicaChecked:
		c.replicaChecked(e, now)
	case quarantineChanged:
		c.quarantineChanged(e, now)
	case recordsLost:
		c.quarantine.Restore(e.keys, now)
		c.releases.Restore(e.keys, now)
	case releasesChanged:
		c.releasesChanged(e, now)
	case releaseWritten:
		if e.err != nil && !errors.Is(e.err, errClaimLost) {
			c.log.Warn("Record of a release not written.", "err", e.err)
		}
	case quarantineWritten:
		c.quarantineWritten(e, now)
	case probeClaimed:
		c.probeClaimed(e, now)
	case upstreamStatusReceived:
		c.upstreamStatusReceived(e, now)
	case speedSampled:
		c.speedSampled(e.sample, now)
	case callerLeft:
		c.callerLeft(e.id, now)
	case catalogChanged:
		c.catalogChanged(e.catalog, now)
	case upstreamsChanged:
		c.upstreamsChanged(e, now)
	case membersChanged:
		c.membersChanged(e, now)
	case registrationConfirmed:
		c.limiter.SetRegistered(e.until, now)
		c.requestLimits.SetRegistered(e.until, now)
	case registrationLost:
		c.limiter.ClearFallback(now)
		c.requestLimits.ClearFallback(now)
	case revisionAdvanced:
		c.revisionAdvanced(e, now)
	case holderChanged:
		c.holderChanged(e.holder)
	case leaseChanged:
		c.leaseChanged(e.lease, now)
	case coordinatorDialed:
		c.linkDialed(e.session)
	case coordinatorLinkChanged:
		c.linkChanged(e, now)
	case fleetStateReceived:
		c.lastMessageAt = now
		c.fleetStateReceived(e.state, now)
	case hostStateReceived:
		c.lastMessageAt = now
		c.hostStateReceived(e.state, now)
	case tokensAnswered:
		c.lastMessageAt = now
		c.tokensAnswered(e.answer, now)
	case noticesReceived:
		c.lastMessageAt = now
		c.linkKeepsLimits = true
		c.noticesReceived(e.notices, now)
	case tokensRequested:
		c.tokensRequested(e, now)
	case reportReceived:
		c.reportReceived(e, now)
	case hostSessionEnded:
		c.hostSessionEnded(e.session)
	case orderAnswered:
		c.orderAnswered(e, now)
	case engineReportRead:
		c.engineReportRead(e, now)
	case stopRequested:
		c.applyDecisions(c.scheduler.StopBy(e.sendBy, e.end, now), now)
	case query:
		e.run(c, now)
		close(e.done)
	}
	c.sendToCoordinator(now)
}

// tick does the periodic work.
func (c *core) tick(now time.Time) {
	if c.speeds != nil {
		c.speeds.SetCoordinated(c.coordinator == nil && c.hasCoordinator() && c.linkSendsSpeeds)
	}
	c.recheckParked(now)
	c.tickRateUrgency(now)
	c.applyDecisions(c.scheduler.Tick(now), now)
	c.writeQuarantine(now)
	c.updateStoreAway(now)
	c.writeReleases(now)
	if c.coordinator != nil {
		c.tickCoordinator(now)
	}
	c.sendToCoordinator(now)
}

// retryExtra returns this host's share of Bounds.RetryExtra.
func (c *core) retryExtra() float64 {
	return dispatch.ExtraPerHost(c.bounds.RetryExtra, c.limiter.Hosts())
}

func (c *core) membersChanged(e membersChanged, now time.Time) {
	c.members, c.addrs = e.hosts, e.addrs
	c.effects.setHosts(e.addrs)
	sorted := slices.Sorted(slices.Values(e.hosts))
	place, _ := slices.BinarySearch(sorted, c.self)
	c.scheduler.SetHosts(prefill.Hosts{Index: place, Count: len(sorted)})
	c.limiter.SetMembers(e.hosts, now)
	c.requestLimits.SetHosts(c.limiter.Hosts())
	c.quarantine.SetHosts(c.limiter.Hosts())
	c.scheduler.SetRetryExtra(c.retryExtra(), now)
	if c.coordinator != nil {
		c.coordinator.shares.SetMembers(e.hosts)
		c.coordinator.limits.SetMembers(e.hosts)
	}
}

// isBusy reports whether ticks must be frequent.
func (c *core) isBusy() bool {
	return !c.scheduler.Idle() || c.quarantine.HasWrites() || c.releases.HasWrites() || len(c.parked) > 0 || c.requestLimits.HasUrgentNews() || c.coordinator != nil && c.coordinator.isBusy()
}

func (c *core) sendToCoordinator(now time.Time) {
	c.askForLimited(now)
	c.sendTokenRequest(now)
	c.report(now)
}

func (c *core) requestArrived(e requestArrived, now time.Time) {
	r := e.request
	c.stepQueues[r.ID] = e.stepQueue
	if r.Pool.Release != "" && !c.hasUpstreamOf(r.Pool) {
		refusal := entity.Refusal{Status: 503, Code: string(dispatch.ReasonReleaseGone), Ran: entity.NotRun}
		c.sendFinalAnswer(r, step{refusal: &refusal, reason: dispatch.ReasonReleaseGone})
		return
	}
	c.arrivals[r.Pool]++
	if v := c.quarantine.Check(traitsOf(r), now); v.Action == quarantine.Refuse {
		c.refuseQuarantined(r, v)
		return
	}
	c.admit(r, r.Arrived, now)
}

// sendFinalAnswer sends the final answer of a request to the goroutine that serves it.
func (c *core) sendFinalAnswer(r *dispatch.Request, s step) {
	queue := c.stepQueues[r.ID]
	delete(c.stepQueues, r.ID)
	if queue != nil {
		queue.steps <- s
	}
}

// applyDecisions passes decisions to the goroutines of their requests, and refunds the tokens of requests that
// are refused without having run.
func (c *core) applyDecisions(decisions []dispatch.Decision, now time.Time) {
	for _, d := range decisions {
		r := d.Request
		if d.Refusal != nil {
			if d.Refusal.Ran == entity.NotRun {
				c.limiter.Refund(entity.RateKey(r.Workspace), r.Tokens, now)
			}
			c.sendFinalAnswer(r, step{refusal: d.Refusal, reason: d.Reason, basis: c.basis(d)})
			continue
		}
		if queue := c.stepQueues[r.ID]; queue != nil {
			target := *d.Upstream
			queue.steps <- step{target: &target, attempt: d.Attempt, alternatives: d.Alternatives, lastAttempt: d.LastAttempt, limitStamp: d.LimitStamp, basis: c.basis(d)}
		}
	}
}

// basis returns the data on which a decision was based.
func (c *core) basis(d dispatch.Decision) basis {
	s := basis{load: d.UpstreamLoad, othersAge: d.OthersAge, readyIn: d.ReadyIn}
	if c.catalog != nil {
		s.configVersion = c.catalog.Version
	}
	return s
}

// enqueue queues an admitted request and logs why it waits. A request with a quarantined trait is refused,
// or queued once its probe has been claimed.
func (c *core) enqueue(r *dispatch.Request, now time.Time) {
	if !r.Probe && !c.passesQuarantine(r, now) {
		return
	}
	c.applyDecisions(c.scheduler.Enqueue(r, now), now)
	if q, waits := c.scheduler.Queued(r.ID, now); waits {
		c.log.Info("Request queued.", "request", r.ID, "model", r.Pool.Model, "adapter", r.Pool.Adapter, "holders", q.ServingCount, "limited", q.LimitedCount,
			"waiting", q.Waiting, "ready_in", q.ReadyIn, "estimated", q.Estimated, "coordinated", c.hasCoordinator())
	}
}

func (c *core) attemptEnded(e attemptEnded, now time.Time) {
	if c.awaitsCheck(e) {
		return
	}
	res := e.result
	decisions := c.scheduler.AttemptEnded(res, now)
	if res.Outcome == entity.Completed || res.Outcome == entity.Canceled {
		delete(c.stepQueues, res.Request)
	}
	c.applyDecisions(decisions, now)
}

// upstreamStatusReceived applies the self-reported status of an upstream. It takes precedence over the list,
// which may lag.
func (c *core) upstreamStatusReceived(e upstreamStatusReceived, now time.Time) {
	if e.status.Draining && !c.scheduler.IsDraining(e.upstream) {
		c.log.Info("Upstream says that it leaves.", "upstream", e.upstream)
	}
	if e.status.BackOff > 0 {
		c.log.Info("Upstream wants a pause.", "upstream", e.upstream, "pause", e.status.BackOff)
	}
	if e.status.InvalidBackOff && !c.invalidBackOffs[e.upstream] {
		c.invalidBackOffs[e.upstream] = true
		c.log.Warn("Upstream wants a pause that cannot be read.", "upstream", e.upstream)
	}
	c.recordLimit(e, now)
	if e.status.Draining || e.status.BackOff > 0 {
		c.scheduler.RecordStatus(e.upstream, e.bornMillis, e.status, now)
	}
}

func (c *core) callerLeft(id entity.RequestID, now time.Time) {
	delete(c.stepQueues, id)
	delete(c.claims, id)
	for i, p := range c.parked {
		if p.request.ID == id {
			c.parked = append(c.parked[:i], c.parked[i+1:]...)
			c.unqueue(p)
			return
		}
	}
	c.applyDecisions(c.scheduler.Cancel(id, now), now)
}

// logLimits logs the limits that a configuration changes.
func (c *core) logLimits(cat *catalog.Catalog) {
	for id, w := range cat.Workspaces() {
		var former *catalog.Workspace
		if c.catalog != nil {
			former = c.catalog.Workspace(id)
		}
		if former == nil || former.Rate != w.Rate || former.Burst != w.Burst {
			c.log.Info("Limit in force.", "workspace", id, "rate", w.Rate, "burst", w.Burst, "config", cat.Version)
		}
	}
}

func (c *core) catalogChanged(cat *catalog.Catalog, now time.Time) {
	c.logLimits(cat)
	if c.catalog == nil {
		c.coordinatorExpectedUntil = now.Add(firstCoordinatorWait)
	}
	c.catalog = cat
	c.selectRateUrgency(now)
	c.limiter.SetLimits(quota.WorkspaceLimits(cat), now)
	c.weightsChanged(cat, now)
	if c.coordinator != nil {
		c.coordinator.reserve.SetLimits(quota.WorkspaceLimits(cat), now)
	}
	c.keysChanged(now)
	if c.coordinator != nil {
		c.coordinator.swapper.SetCatalog(cat)
	}
	c.listReleases(now)
	for id := range c.fleet.Rows() {
		c.refreshTarget(id, now)
	}
}

func (c *core) upstreamsChanged(e upstreamsChanged, now time.Time) {
	relisted := len(e.removed) > 0
	for _, u := range e.put {
		ch := c.fleet.Put(u)
		relisted = relisted || startsAnew(ch)
		c.logUpstream(ch)
		c.setUpstreamSpeed(u.ID)
		if c.coordinator != nil {
			c.executeCommands(c.coordinator.swapper.SetUpstream(u, now), now)
		}
		if !u.EqualExceptSequence(ch.Before) {
			c.refreshTarget(u.ID, now)
		}
	}
	for _, id := range e.removed {
		delete(c.invalidLimits, id)
		delete(c.invalidBackOffs, id)
		c.logUpstream(c.fleet.Remove(id))
		c.setUpstreamSpeed(id)
		c.scheduler.RemoveTarget(id)
		if c.coordinator != nil {
			c.coordinator.swapper.RemoveUpstream(id)
		}
	}
	if len(e.removed) > 0 {
		c.requestLimits.RemoveOld(c.isListed, now)
	}
	if relisted {
		c.listReleases(now)
	}
}

// startsAnew reports whether a change is that of an upstream which was not listed before, or that has started again.
func startsAnew(ch fleet.Change) bool {
	before, after := ch.Before, ch.After
	return before == nil || before.Incarnation != after.Incarnation || before.Service != after.Service || before.Release != after.Release
}

func (c *core) logUpstream(ch fleet.Change) {
	switch {
	case ch.After == nil && ch.Before != nil:
		c.log.Info("Upstream gone.", "upstream", ch.Before.ID, "service", ch.Before.Service)
	case ch.After == nil:
		// The removed upstream was unknown.
	case ch.Before == nil || ch.Before.Incarnation != ch.After.Incarnation:
		c.log.Info("Upstream seen.", "upstream", ch.After.ID, "service", ch.After.Service, "release", ch.After.Release, "addr", ch.After.Addr, "draining", ch.After.Draining, "models", len(ch.After.Models), "on_disk", len(ch.After.OnDisk), "in_memory", len(ch.After.InMemory))
	case ch.After.Draining != ch.Before.Draining:
		c.log.Info("Upstream draining.", "upstream", ch.After.ID, "remaining", ch.After.Remaining)
	}
}
