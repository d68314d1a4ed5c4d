// Package schedule decides which waiting request runs next, and where. It holds the tables of
// waiting and running requests and of the targets that can run them. It is pure: time and
// randomness are passed in, and decisions are returned as commands.
//
// All methods belong to the goroutine that owns the control state.
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

// QueuePolicy orders the requests of one pool.
type QueuePolicy string

// The queue policies. FIFOQueue exists as a baseline for measurements.
const (
	FairQueue QueuePolicy = "fair"
	FIFOQueue QueuePolicy = "fifo"
)

const (
	// notRunAttempts bounds the attempts that were proven not run; each of them waits for a
	// target that is not ejected, so this is reached only when targets keep refusing.
	notRunAttempts = 20
	// hopelessInterval is the least time between two checks of the queues for requests that
	// cannot be served in time.
	hopelessInterval = 100 * time.Millisecond
	// hopelessMargin is how far an estimate must exceed the time left before a request is given
	// up; estimates of queueing time are rough.
	hopelessMargin = 1.5
	// sampledTargets is how many targets of a large pool are looked at, and sampleStride spreads
	// them; a prime stride reaches different targets in pools of any usual size.
	sampledTargets = 4
	sampleStride   = 7919
	// serviceSamples is the number of answers after which the service time is trusted.
	serviceSamples = 8
)

// Options configures a Scheduler.
type Options struct {
	// Queue is the order inside a pool. Default FairQueue.
	Queue QueuePolicy
	// Selector chooses among the targets that can take a request. Default PowerOfTwo.
	Selector Selector
	// Rand is the source of randomness; required.
	Rand *rand.Rand
	// ReadyIn estimates when a pool without targets will have one. It returns false when
	// nothing is known. May be nil.
	ReadyIn func(p PoolID, now time.Time) (time.Duration, bool)
}

// Scheduler holds the request, pool and upstream tables of one host.
type Scheduler struct {
	opts     Options
	site     *config.Site
	requests map[entity.RequestID]*Request
	pools    map[PoolID]*pool
	// byModel holds the model pools by model.
	byModel   map[entity.ModelID]map[PoolID]*pool
	upstreams map[entity.UpstreamID]*upstream
	expiry    expiryHeap
	budgets   map[entity.WorkspaceID]*retryBudget
	// wanting holds the pools with queued requests, so that a tick does not visit idle pools.
	wanting map[PoolID]*pool
	// changed holds the pools whose demand changed since the last call of Demand.
	changed      map[PoolID]struct{}
	queuedCount  int
	queuedBytes  int64
	affinity     *affinityIndex
	nextHopeless time.Time
	candidates   []Candidate
	eligible     []*target
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
		opts:      opts,
		requests:  make(map[entity.RequestID]*Request),
		pools:     make(map[PoolID]*pool),
		byModel:   make(map[entity.ModelID]map[PoolID]*pool),
		upstreams: make(map[entity.UpstreamID]*upstream),
		budgets:   make(map[entity.WorkspaceID]*retryBudget),
		wanting:   make(map[PoolID]*pool),
		changed:   make(map[PoolID]struct{}),
		affinity:  newAffinityIndex(affinityEntries),
	}
}

// SetSite puts a configuration in force. Queued requests whose model or route is gone get
// their final answer at once.
func (s *Scheduler) SetSite(site *config.Site, now time.Time) []command.Command {
	s.site = site
	var out []command.Command
	for id, p := range s.pools {
		if s.offered(id) {
			s.updateWeights(p)
			continue
		}
		out = append(out, s.refusePool(p)...)
		if !p.active() {
			p.setTargets(nil, s.upstream)
			s.deletePool(id)
		}
	}
	return append(out, s.fill(now)...)
}

// offered says whether the configuration in force contains what the pool serves.
func (s *Scheduler) offered(id PoolID) bool {
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

func (s *Scheduler) refusePool(p *pool) []command.Command {
	return s.refuseWhere(func(r *Request) bool { return r.Pool == p.id && !r.running }, func(r *Request) entity.Refusal {
		return r.refusal(404, "model_removed", "The model or route is no longer offered.", 0)
	})
}

// RefuseKeys ends all requests that came with one of the keys: queued ones get the refusal,
// running ones are canceled.
func (s *Scheduler) RefuseKeys(keys map[entity.KeyID]bool) []command.Command {
	return s.refuseWhere(func(r *Request) bool { return keys[r.Key] }, func(r *Request) entity.Refusal {
		return r.refusal(401, "key_withdrawn", "The key has been withdrawn.", 0)
	})
}

// RefuseKeyed ends all requests that came with a key: queued ones get the refusal, running ones are
// canceled.
func (s *Scheduler) RefuseKeyed(refusal entity.Refusal) []command.Command {
	return s.refuseWhere(func(r *Request) bool { return r.Key != "" }, func(r *Request) entity.Refusal {
		return r.refusal(refusal.Status, refusal.Code, refusal.Message, refusal.RetryAfter)
	})
}

func (s *Scheduler) refuseWhere(match func(*Request) bool, refusal func(*Request) entity.Refusal) []command.Command {
	var out []command.Command
	for _, r := range s.requests {
		if match(r) && !r.canceled {
			out = append(out, s.end(r, refusal(r)))
		}
	}
	return out
}

// end gives a request its final answer. A running request stays in the table until its attempt
// has ended.
func (s *Scheduler) end(r *Request, refusal entity.Refusal) command.Command {
	if r.running {
		r.canceled = true
		s.unexpire(r)
		return command.CancelAttempt{Request: r.ID, Refusal: refusal}
	}
	s.unqueue(r)
	s.remove(r)
	return command.Refuse{Request: r.ID, Refusal: refusal}
}

// SetTargets replaces the targets of a pool and dispatches what can now run. Requests that run
// on a target that is no longer listed go on running.
func (s *Scheduler) SetTargets(id PoolID, targets []Target, now time.Time) []command.Command {
	p := s.pool(id)
	p.setTargets(targets, s.upstream)
	return s.fillPool(p, now)
}

// HandleLoad takes over the load that an upstream reported about itself.
func (s *Scheduler) HandleLoad(l wire.UpstreamLoad, now time.Time) []command.Command {
	u := s.upstream(l.Upstream)
	u.handleLoad(l, now)
	return s.fillUpstream(u, now)
}

// Enqueue adds an admitted request and dispatches it when a target is free. A request that
// cannot be served in time is refused at once.
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
	s.queue(p, r)
	return s.fillPool(p, now)
}

// checkArrival returns the refusal of a request that cannot be queued or served in time.
func (s *Scheduler) checkArrival(p *pool, r *Request, now time.Time) *entity.Refusal {
	var refusal entity.Refusal
	limits := s.site.Limits
	switch {
	case !s.offered(r.Pool):
		refusal = r.refusal(404, "model_removed", "The model or route is no longer offered.", 0)
	case !r.Deadline.After(now):
		refusal = deadlineRefusal(r)
	case s.queuedCount >= limits.QueueRequests || s.queuedBytes+r.Bytes > limits.QueueBytes:
		refusal = r.refusal(503, "queue_full", "The queue of this host is full.", retryAfter(p.backlog()))
	default:
		return s.hopeless(p, r, now)
	}
	return &refusal
}

func deadlineRefusal(r *Request) entity.Refusal {
	return r.refusal(504, "deadline_exceeded", "The deadline has passed.", time.Second)
}

// retryAfter keeps estimates within what is useful to a caller.
func retryAfter(d time.Duration) time.Duration { return min(max(d, time.Second), time.Minute) }

// hopeless returns a refusal when the request is expected to start only after its deadline.
func (s *Scheduler) hopeless(p *pool, r *Request, now time.Time) *entity.Refusal {
	left := r.Deadline.Sub(now)
	if len(p.targets) == 0 {
		return s.hopelessCold(p, r, left, now)
	}
	if p.finished < serviceSamples {
		return nil
	}
	wait := p.backlog()
	if float64(wait) < hopelessMargin*float64(left) {
		return nil
	}
	refusal := r.refusal(503, "backlog_too_long", "The queue is too long for the deadline.", retryAfter(wait-left))
	return &refusal
}

func (s *Scheduler) hopelessCold(p *pool, r *Request, left time.Duration, now time.Time) *entity.Refusal {
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

// Holds says whether the request is queued or running here.
func (s *Scheduler) Holds(id entity.RequestID) bool {
	_, ok := s.requests[id]
	return ok
}

// Cancel removes a request whose caller has left. The caller of Cancel stops a running attempt
// itself and reports its end.
func (s *Scheduler) Cancel(id entity.RequestID) {
	r, ok := s.requests[id]
	if !ok {
		return
	}
	if r.running {
		r.canceled = true
		return
	}
	s.unqueue(r)
	s.remove(r)
}

// Tick refuses expired and hopeless requests and dispatches what has become possible with time.
func (s *Scheduler) Tick(now time.Time) []command.Command {
	var out []command.Command
	for len(s.expiry) > 0 && !s.expiry[0].Deadline.After(now) {
		r := s.expiry[0]
		out = append(out, s.end(r, deadlineRefusal(r)))
	}
	if !now.Before(s.nextHopeless) {
		s.nextHopeless = now.Add(hopelessInterval)
		out = append(out, s.refuseHopeless(now)...)
	}
	return append(out, s.fill(now)...)
}

// refuseHopeless looks at the most urgent request of every flow, which is hopeless first.
func (s *Scheduler) refuseHopeless(now time.Time) []command.Command {
	var out []command.Command
	for _, p := range s.wanting {
		for _, f := range p.flows {
			for c := range f.byClass {
				out = append(out, s.refuseHopelessHeads(p, &f.byClass[c], now)...)
			}
		}
	}
	return out
}

func (s *Scheduler) refuseHopelessHeads(p *pool, h *requestHeap, now time.Time) []command.Command {
	var out []command.Command
	for r := h.peek(); r != nil; r = h.peek() {
		refusal := s.hopelessQueued(p, r, now)
		if refusal == nil {
			break
		}
		out = append(out, s.end(r, *refusal))
	}
	return out
}

// hopelessQueued judges queued requests only by loading time: their place in the queue is
// already behind them when they reach the head of their flow.
func (s *Scheduler) hopelessQueued(p *pool, r *Request, now time.Time) *entity.Refusal {
	if len(p.targets) > 0 {
		return nil
	}
	return s.hopelessCold(p, r, r.Deadline.Sub(now), now)
}

// fill dispatches from all pools with queued requests.
func (s *Scheduler) fill(now time.Time) []command.Command {
	var out []command.Command
	for _, p := range s.wanting {
		out = append(out, s.fillPool(p, now)...)
	}
	return out
}

// fillUpstream dispatches from the pools that the upstream serves. They take turns at the
// first place, so that no pool of an engine with several models is favored.
func (s *Scheduler) fillUpstream(u *upstream, now time.Time) []command.Command {
	var out []command.Command
	for _, p := range u.pools {
		out = append(out, s.fillPool(p, now)...)
	}
	if len(u.pools) > 1 {
		u.pools = append(u.pools[1:], u.pools[0])
	}
	return out
}

// fillPool dispatches interactive requests while targets accept them, then patient ones.
func (s *Scheduler) fillPool(p *pool, now time.Time) []command.Command {
	if p.queuedTotal() == 0 || len(p.targets) == 0 {
		return nil
	}
	out := s.fillTier(nil, p, entity.Interactive, now)
	return s.fillTier(out, p, entity.Patient, now)
}

func (s *Scheduler) fillTier(out []command.Command, p *pool, tier entity.Class, now time.Time) []command.Command {
	for {
		f, r := p.next(tier, now)
		if r == nil {
			return out
		}
		t := s.choose(p, r, tier, now)
		if t == nil {
			return out
		}
		p.charge(f, r)
		out = append(out, s.dispatch(p, r, t, now))
	}
}

// choose returns a target that accepts the request now, or nil. In a large pool a few random
// targets are looked at first: looking at all of them for every request costs more than the
// better choice is worth, and most of them accept requests.
func (s *Scheduler) choose(p *pool, r *Request, tier entity.Class, now time.Time) *target {
	var cached entity.UpstreamID
	if r.Prefix != 0 {
		cached = s.affinity.get(r.Prefix)
	}
	s.candidates = s.candidates[:0]
	s.eligible = s.eligible[:0]
	if len(p.targets) > sampledTargets {
		first := s.opts.Rand.IntN(len(p.targets))
		for i := range sampledTargets {
			s.consider(p.targets[(first+i*sampleStride)%len(p.targets)], r, tier, cached, now)
		}
		if t := p.target(cached); t != nil {
			s.consider(t, r, tier, cached, now)
		}
	}
	if len(s.eligible) == 0 {
		for _, t := range p.targets {
			s.consider(t, r, tier, cached, now)
		}
	}
	if len(s.eligible) == 0 {
		return nil
	}
	return s.eligible[s.opts.Selector.Select(s.candidates, s.opts.Rand)]
}

// consider adds a target to the candidates when it accepts the request now.
func (s *Scheduler) consider(t *target, r *Request, tier entity.Class, cached entity.UpstreamID, now time.Time) {
	load := t.upstream.load(now)
	if !t.upstream.accepts(tier, t.slots, load, now) {
		return
	}
	s.eligible = append(s.eligible, t)
	s.candidates = append(s.candidates, Candidate{
		Upstream: t.upstream.id,
		Load:     load / float64(max(t.slots, 1)),
		Prefix:   cached != "" && cached == t.upstream.id,
		Avoid:    r.avoid == t.upstream.id,
	})
}

func (s *Scheduler) dispatch(p *pool, r *Request, t *target, now time.Time) command.Command {
	s.unqueue(r)
	r.running = true
	r.started = now
	r.attempts++
	r.target = t
	p.running++
	t.upstream.add(1, now)
	if r.attempts == 1 {
		t.upstream.retries.deposit(s.site.Limits.RetryRatio)
	}
	if r.Prefix != 0 {
		s.affinity.set(r.Prefix, t.upstream.id)
	}
	return command.Dispatch{Request: r.ID, Upstream: t.upstream.id, Attempt: r.attempts}
}
