// Package schedule decides which waiting request runs next, and on which upstream. It holds the tables of
// waiting and running requests and of the targets that can run them. It does no I/O: time and randomness are
// passed in, and decisions are returned as commands.
//
// Requests that the same upstreams can run form a pool, and these upstreams are the targets of the pool. In a pool,
// the waiting requests of one workspace form a flow. The flows share the targets by start-time fair queueing, in
// proportion to the weights of their workspaces. There are two tiers: the interactive tier, which also holds
// patient requests that have become urgent, is dispatched before the patient tier.
//
// All methods must be called by the goroutine that owns the control state.
package schedule

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/command"
	"github.com/foxtailpass/foxtailpass/internal/config"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

// QueuePolicy determines the order in which the waiting requests of one pool are dispatched.
type QueuePolicy string

// The queue policies. FairQueue shares the targets among the workspaces and orders the requests of a workspace by
// deadline. FIFOQueue orders all requests by arrival; it is a baseline for measurements.
const (
	FairQueue QueuePolicy = "fair"
	FIFOQueue QueuePolicy = "fifo"
)

const (
	// maxNotRunAttempts bounds the attempts of a request whose last attempt is known not to have run. Each
	// attempt waits for a target that is not ejected, so a request reaches the bound only when targets keep
	// refusing it.
	maxNotRunAttempts = 20
	// unservableCheckInterval is the minimum time between two checks of the queues for requests that
	// cannot be served in time.
	unservableCheckInterval = 100 * time.Millisecond
	// backlogMargin is the factor by which the estimated wait must exceed the time to the deadline before
	// a request is refused, because estimates of queueing time are rough.
	backlogMargin = 1.5
	// sampledTargets is how many targets of a large pool are considered first, and sampleStride is the
	// distance between them in the list of targets, which is treated as a ring. A prime stride reaches
	// different targets in pools of any usual size.
	sampledTargets = 4
	sampleStride   = 7919
	// minServiceSamples is the number of answers that a pool must have had before its service time is used to
	// refuse requests.
	minServiceSamples = 8
)

// Options configures a Scheduler.
type Options struct {
	// Queue is the policy for the order inside a pool. Default FairQueue.
	Queue QueuePolicy
	// Selector chooses among the targets that can take a request. Default PowerOfTwo.
	Selector Selector
	// Rand is the source of randomness; required.
	Rand *rand.Rand
	// ReadyIn estimates the time until a pool without targets has one. It returns false when there is no
	// estimate. May be nil.
	ReadyIn func(p PoolID, now time.Time) (time.Duration, bool)
}

// Scheduler holds the request, pool and upstream tables of one host.
type Scheduler struct {
	opts     Options
	site     *config.Site
	requests map[entity.RequestID]*Request
	pools    map[PoolID]*pool
	// byModel holds the pools of each model, one for each adapter and one without an adapter.
	byModel   map[entity.ModelID]map[PoolID]*pool
	upstreams map[entity.UpstreamID]*upstream
	expiry    expiryHeap
	// budgets holds the retry budgets of the workspaces. Each upstream has one too.
	budgets map[entity.WorkspaceID]*retryBudget
	// backlogged holds the pools with queued requests, so that a tick does not visit idle pools.
	backlogged map[PoolID]*pool
	// changed holds the pools whose demand changed since the last call of Demand.
	changed             map[PoolID]struct{}
	queuedCount         int
	queuedBytes         int64
	affinity            *affinityIndex
	nextUnservableCheck time.Time
	// candidates and eligible are buffers of chooseTarget. candidates[i] describes the target eligible[i].
	candidates []Candidate
	eligible   []*target
}

// New returns an empty Scheduler. SetSite must be called before Enqueue.
func New(opts Options) *Scheduler {
	if opts.Queue == "" {
		opts.Queue = FairQueue
	}
	if opts.Selector == nil {
		opts.Selector = PowerOfTwo{}
	}
	return &Scheduler{
		opts:       opts,
		requests:   make(map[entity.RequestID]*Request),
		pools:      make(map[PoolID]*pool),
		byModel:    make(map[entity.ModelID]map[PoolID]*pool),
		upstreams:  make(map[entity.UpstreamID]*upstream),
		budgets:    make(map[entity.WorkspaceID]*retryBudget),
		backlogged: make(map[PoolID]*pool),
		changed:    make(map[PoolID]struct{}),
		affinity:   newAffinityIndex(affinityEntries),
	}
}

// SetSite activates a configuration. It refuses the queued requests whose model or route the configuration no longer
// contains.
func (s *Scheduler) SetSite(site *config.Site, now time.Time) []command.Command {
	s.site = site
	var out []command.Command
	for id, p := range s.pools {
		if s.isOffered(id) {
			s.updateWeights(p)
			continue
		}
		out = append(out, s.refusePool(p)...)
		if !p.isActive() {
			p.setTargets(nil, s.upstream)
			s.deletePool(id)
		}
	}
	return append(out, s.dispatchAll(now)...)
}

// isOffered reports whether the active configuration contains the model and adapter, or a route to the kind
// of plain service, that the pool serves.
func (s *Scheduler) isOffered(id PoolID) bool {
	if id.Kind != "" {
		for _, r := range s.site.Routes {
			if r.UpstreamKind == id.Kind {
				return true
			}
		}
		return false
	}
	m, ok := s.site.Models[id.Model]
	if !ok || id.Adapter == "" {
		return ok
	}
	_, ok = m.Adapters[id.Adapter]
	return ok
}

func (s *Scheduler) updateWeights(p *pool) {
	for ws, f := range p.flows {
		f.weight = s.weight(ws)
	}
}

func (s *Scheduler) weight(ws entity.WorkspaceID) float64 {
	if w := s.site.Workspaces[ws].Weight; w > 0 {
		return w
	}
	return 1
}

// refusePool refuses the queued requests of a pool that is no longer offered.
func (s *Scheduler) refusePool(p *pool) []command.Command {
	return s.refuseWhere(func(r *Request) bool { return r.Pool == p.id && !r.running }, func(r *Request) entity.Refusal {
		return r.refusal(404, "model_removed", "The model or route is no longer offered.", 0)
	})
}

// RefuseKeys ends all requests that were sent with one of the keys. Queued requests are refused, running
// requests are canceled.
func (s *Scheduler) RefuseKeys(keys map[entity.KeyID]bool) []command.Command {
	return s.refuseWhere(func(r *Request) bool { return keys[r.Key] }, func(r *Request) entity.Refusal {
		return r.refusal(401, "key_withdrawn", "The key has been withdrawn.", 0)
	})
}

// RefuseAllWithKey ends all requests that were sent with any key. Queued requests get the given refusal, running
// requests are canceled with it.
func (s *Scheduler) RefuseAllWithKey(refusal entity.Refusal) []command.Command {
	return s.refuseWhere(func(r *Request) bool { return r.Key != "" }, func(r *Request) entity.Refusal {
		return r.refusal(refusal.Status, refusal.Code, refusal.Message, refusal.RetryAfter)
	})
}

// refuseWhere ends all matching requests, each with the refusal that the second function returns.
func (s *Scheduler) refuseWhere(match func(*Request) bool, refusal func(*Request) entity.Refusal) []command.Command {
	var out []command.Command
	for _, r := range s.requests {
		if match(r) && !r.canceled {
			out = append(out, s.endRequest(r, refusal(r)))
		}
	}
	return out
}

// endRequest ends a request with a refusal: it refuses a queued request and cancels a running one. A running request
// stays in the table until its attempt has ended.
func (s *Scheduler) endRequest(r *Request, refusal entity.Refusal) command.Command {
	if r.running {
		r.canceled = true
		s.removeExpiry(r)
		return command.CancelAttempt{Request: r.ID, Refusal: refusal}
	}
	s.removeFromQueue(r)
	s.deleteRequest(r)
	return command.Refuse{Request: r.ID, Refusal: refusal}
}

// SetTargets replaces the targets of a pool and dispatches the requests that can now run. Requests that run
// on a target that is no longer listed continue.
func (s *Scheduler) SetTargets(id PoolID, targets []Target, now time.Time) []command.Command {
	p := s.pool(id)
	p.setTargets(targets, s.upstream)
	return s.dispatchPool(p, now)
}

// HandleReportedLoad applies the load that an upstream has reported, and dispatches the requests that can now run.
func (s *Scheduler) HandleReportedLoad(l wire.UpstreamLoad, now time.Time) []command.Command {
	u := s.upstream(l.Upstream)
	u.handleReportedLoad(l, now)
	return s.dispatchUpstream(u, now)
}

// Enqueue adds an admitted request and dispatches it when a target accepts it. It immediately
// refuses a request that cannot be served in time.
func (s *Scheduler) Enqueue(r *Request, now time.Time) []command.Command {
	if _, ok := s.requests[r.ID]; ok {
		panic("schedule: request enqueued twice: " + string(r.ID))
	}
	r.expiryIndex = -1
	p := s.pool(r.Pool)
	if refusal := s.checkArrival(p, r, now); refusal != nil {
		return []command.Command{command.Refuse{Request: r.ID, Refusal: *refusal}}
	}
	s.requests[r.ID] = r
	heap.Push(&s.expiry, r)
	s.budget(r.Workspace).deposit(s.site.Limits.RetryRatio)
	s.addToQueue(p, r)
	return s.dispatchPool(p, now)
}

// checkArrival returns a refusal if the request cannot be queued or cannot be served in time, and nil
// otherwise.
func (s *Scheduler) checkArrival(p *pool, r *Request, now time.Time) *entity.Refusal {
	var refusal entity.Refusal
	limits := s.site.Limits
	switch {
	case !s.isOffered(r.Pool):
		refusal = r.refusal(404, "model_removed", "The model or route is no longer offered.", 0)
	case !r.Deadline.After(now):
		refusal = deadlineRefusal(r)
	case s.queuedCount >= limits.QueueRequests || s.queuedBytes+r.Bytes > limits.QueueBytes:
		refusal = r.refusal(503, "queue_full", "The queue of this host is full.", retryAfter(p.backlog()))
	default:
		return s.unservableRefusal(p, r, now)
	}
	return &refusal
}

func deadlineRefusal(r *Request) entity.Refusal {
	return r.refusal(504, "deadline_exceeded", "The deadline has passed.", time.Second)
}

// retryAfter limits an estimate to between one second and one minute, the range that is useful to callers.
func retryAfter(d time.Duration) time.Duration { return min(max(d, time.Second), time.Minute) }

// unservableRefusal returns a refusal when an arriving request is expected to start only after its deadline, and nil
// otherwise.
func (s *Scheduler) unservableRefusal(p *pool, r *Request, now time.Time) *entity.Refusal {
	left := r.Deadline.Sub(now)
	if len(p.targets) == 0 {
		return s.notReadyRefusal(p, r, left, now)
	}
	if p.serviceSampleCount < minServiceSamples {
		return nil
	}
	wait := p.backlog()
	if float64(wait) < backlogMargin*float64(left) {
		return nil
	}
	refusal := r.refusal(503, "backlog_too_long", "The queue is too long for the deadline.", retryAfter(wait-left))
	return &refusal
}

// notReadyRefusal returns a refusal when a pool without targets is expected to get one only after the deadline.
func (s *Scheduler) notReadyRefusal(p *pool, r *Request, left time.Duration, now time.Time) *entity.Refusal {
	if s.opts.ReadyIn == nil {
		return nil
	}
	wait, known := s.opts.ReadyIn(p.id, now)
	if !known || wait < left {
		return nil
	}
	refusal := r.refusal(503, "not_ready_in_time", "The model cannot be loaded before the deadline.", retryAfter(wait))
	return &refusal
}

// Contains reports whether the request is queued or running at this host.
func (s *Scheduler) Contains(id entity.RequestID) bool {
	_, ok := s.requests[id]
	return ok
}

// Cancel removes a request whose caller has left. A running request stays in the table: the code that calls Cancel
// must stop its attempt and report the end of the attempt with AttemptEnded.
func (s *Scheduler) Cancel(id entity.RequestID) {
	r, ok := s.requests[id]
	if !ok {
		return
	}
	if r.running {
		r.canceled = true
		return
	}
	s.removeFromQueue(r)
	s.deleteRequest(r)
}

// Tick ends requests whose deadline has passed, and refuses queued requests that cannot be served in time. It then
// dispatches requests to targets that accept requests again because time has passed, for example after an ejection.
func (s *Scheduler) Tick(now time.Time) []command.Command {
	var out []command.Command
	for len(s.expiry) > 0 && !s.expiry[0].Deadline.After(now) {
		r := s.expiry[0]
		out = append(out, s.endRequest(r, deadlineRefusal(r)))
	}
	if !now.Before(s.nextUnservableCheck) {
		s.nextUnservableCheck = now.Add(unservableCheckInterval)
		out = append(out, s.refuseUnservable(now)...)
	}
	return append(out, s.dispatchAll(now)...)
}

// refuseUnservable refuses queued requests that cannot be served in time. It checks each heap of each flow from its
// head up to the first request that can be served, because under FairQueue the head has the earliest deadline.
func (s *Scheduler) refuseUnservable(now time.Time) []command.Command {
	var out []command.Command
	for _, p := range s.backlogged {
		for _, f := range p.flows {
			for c := range f.byClass {
				out = append(out, s.refuseUnservableHeads(p, &f.byClass[c], now)...)
			}
		}
	}
	return out
}

// refuseUnservableHeads refuses the head of a heap as long as it cannot be served in time.
func (s *Scheduler) refuseUnservableHeads(p *pool, h *requestHeap, now time.Time) []command.Command {
	var out []command.Command
	for r := h.peek(); r != nil; r = h.peek() {
		refusal := s.queuedRefusal(p, r, now)
		if refusal == nil {
			break
		}
		out = append(out, s.endRequest(r, *refusal))
	}
	return out
}

// queuedRefusal returns a refusal when the model of a queued request cannot be loaded in time, and nil otherwise. It
// ignores the backlog, because the requests before a request at the head of its flow are already dispatched.
func (s *Scheduler) queuedRefusal(p *pool, r *Request, now time.Time) *entity.Refusal {
	if len(p.targets) > 0 {
		return nil
	}
	return s.notReadyRefusal(p, r, r.Deadline.Sub(now), now)
}

// dispatchAll dispatches requests from all pools with queued requests.
func (s *Scheduler) dispatchAll(now time.Time) []command.Command {
	var out []command.Command
	for _, p := range s.backlogged {
		out = append(out, s.dispatchPool(p, now)...)
	}
	return out
}

// dispatchUpstream dispatches requests from the pools of which the upstream is a target. It rotates the order of
// these pools, so that no pool of an engine with several models is always served first.
func (s *Scheduler) dispatchUpstream(u *upstream, now time.Time) []command.Command {
	var out []command.Command
	for _, p := range u.pools {
		out = append(out, s.dispatchPool(p, now)...)
	}
	if len(u.pools) > 1 {
		u.pools = append(u.pools[1:], u.pools[0])
	}
	return out
}

// dispatchPool dispatches interactive requests while targets accept them, then patient requests.
func (s *Scheduler) dispatchPool(p *pool, now time.Time) []command.Command {
	if p.queuedTotal() == 0 || len(p.targets) == 0 {
		return nil
	}
	out := s.dispatchTier(nil, p, entity.Interactive, now)
	return s.dispatchTier(out, p, entity.Patient, now)
}

// dispatchTier dispatches requests of one tier until no request waits or no target accepts one.
func (s *Scheduler) dispatchTier(out []command.Command, p *pool, tier entity.Class, now time.Time) []command.Command {
	for {
		f, r := p.nextRequest(tier, now)
		if r == nil {
			return out
		}
		t := s.chooseTarget(p, r, tier, now)
		if t == nil {
			return out
		}
		p.charge(f, r)
		out = append(out, s.startAttempt(p, r, t, now))
	}
}

// chooseTarget returns a target that accepts the request now, or nil. In a pool with more than sampledTargets targets
// it first considers only a random sample and the target with the cached prefix: checking all targets for every
// request costs more than the better choice is worth, and most of them accept requests.
func (s *Scheduler) chooseTarget(p *pool, r *Request, tier entity.Class, now time.Time) *target {
	var cached entity.UpstreamID
	if r.Prefix != 0 {
		cached = s.affinity.get(r.Prefix)
	}
	s.candidates = s.candidates[:0]
	s.eligible = s.eligible[:0]
	if len(p.targets) > sampledTargets {
		first := s.opts.Rand.IntN(len(p.targets))
		for i := range sampledTargets {
			s.addCandidate(p.targets[(first+i*sampleStride)%len(p.targets)], r, tier, cached, now)
		}
		if t := p.target(cached); t != nil {
			s.addCandidate(t, r, tier, cached, now)
		}
	}
	if len(s.eligible) == 0 {
		for _, t := range p.targets {
			s.addCandidate(t, r, tier, cached, now)
		}
	}
	if len(s.eligible) == 0 {
		return nil
	}
	return s.eligible[s.opts.Selector.Select(s.candidates, s.opts.Rand)]
}

// addCandidate adds a target to the candidates if it accepts the request now.
func (s *Scheduler) addCandidate(t *target, r *Request, tier entity.Class, cached entity.UpstreamID, now time.Time) {
	estimatedLoad := t.upstream.estimatedLoad(now)
	if !t.upstream.accepts(tier, t.slots, estimatedLoad, now) {
		return
	}
	s.eligible = append(s.eligible, t)
	s.candidates = append(s.candidates, Candidate{
		Upstream:     t.upstream.id,
		Load:         estimatedLoad / float64(max(t.slots, 1)),
		PrefixCached: cached != "" && cached == t.upstream.id,
		Avoid:        r.avoidUpstream == t.upstream.id,
	})
}

// startAttempt moves a queued request to a target and returns the dispatch command.
func (s *Scheduler) startAttempt(p *pool, r *Request, t *target, now time.Time) command.Command {
	s.removeFromQueue(r)
	r.running = true
	r.started = now
	r.attempts++
	r.target = t
	p.running++
	t.upstream.addInflight(1, now)
	if r.attempts == 1 {
		t.upstream.retries.deposit(s.site.Limits.RetryRatio)
	}
	if r.Prefix != 0 {
		s.affinity.set(r.Prefix, t.upstream.id)
	}
	return command.Dispatch{Request: r.ID, Upstream: t.upstream.id, Attempt: r.attempts}
}
