package dispatch

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
)

const (
	// notRunAttempts bounds the attempts that were proven not run.
	notRunAttempts = 6
	// sameDomainBonus, affinityBonus and errorPenalty are in parts of a full upstream.
	sameDomainBonus = 0.06
	affinityBonus   = 0.12
	errorPenalty    = 1.5
	// affinityEntries bounds the remembered places of prompts.
	affinityEntries = 4096
	// shortestRetryAfter and longestRetryAfter bound what callers are told.
	shortestRetryAfter = 200 * time.Millisecond
	longestRetryAfter  = 8 * time.Second
	// runMargin is the least time that must be left for an attempt to be worth its start.
	runMargin = 20 * time.Millisecond
)

// Options configures a Scheduler.
type Options struct {
	// Domain is this host's failure domain.
	Domain string
	// Rand is the source of randomness; required.
	Rand *rand.Rand
	// Budget returns the retry budget of a service when it is first used; required.
	Budget func() *Budget
	// ReadyIn estimates when a pool that no upstream serves will have one. It returns false when
	// nothing is known.
	ReadyIn func(p Pool, now time.Time) (time.Duration, bool)
	// Policy is for measurements.
	Policy Policy
}

// Policy switches to simpler behavior for measurements. The zero value is the product's policy.
type Policy struct {
	// RandomReplica picks any upstream that accepts a request.
	RandomReplica bool
	// MixPrompts ignores the length of prompts in the choice of an upstream.
	MixPrompts bool
}

// Scheduler holds the request and upstream tables of one host.
type Scheduler struct {
	opts     Options
	requests map[entity.RequestID]*Request
	targets  map[entity.UpstreamID]*target
	// byService holds the targets of each service in the order of their IDs.
	byService map[catalog.ServiceID][]*target
	queues    map[Pool]*queue
	// ordered holds the queues in the order in which their pools began to wait, so that a seed repeats.
	ordered []*queue
	budgets map[catalog.ServiceID]*Budget
	// unreachable holds the targets whose last attempt found no connection or no answer.
	unreachable map[entity.UpstreamID]*target
	affinity    map[string]entity.UpstreamID
	// said is what upstreams have said of themselves. It outlives their rows.
	said map[entity.UpstreamID]*statement
	// stopBy is when the last request may be sent to an upstream, zero while the host does not stop.
	stopBy time.Time
	out    []Decision
}

// New returns an empty Scheduler.
func New(o Options) *Scheduler {
	return &Scheduler{
		opts:        o,
		requests:    make(map[entity.RequestID]*Request),
		targets:     make(map[entity.UpstreamID]*target),
		byService:   make(map[catalog.ServiceID][]*target),
		queues:      make(map[Pool]*queue),
		budgets:     make(map[catalog.ServiceID]*Budget),
		unreachable: make(map[entity.UpstreamID]*target),
		affinity:    make(map[string]entity.UpstreamID),
		said:        make(map[entity.UpstreamID]*statement),
	}
}

// Active returns the number of requests without a final answer.
func (s *Scheduler) Active() int { return len(s.requests) }

// SetRetryExtra replaces this host's part of the fixed number of retries, at every service.
func (s *Scheduler) SetRetryExtra(extra float64, now time.Time) {
	for _, b := range s.budgets {
		b.SetExtra(extra, now)
	}
}

// take returns the decisions collected since the last call.
func (s *Scheduler) take() []Decision {
	out := s.out
	s.out = nil
	return out
}

// SetTarget takes over what is known of an upstream and dispatches what can run now.
func (s *Scheduler) SetTarget(t Target, now time.Time) []Decision {
	row := s.targets[t.ID]
	if row != nil && row.Service != t.Service {
		s.detach(row)
		row = nil
	}
	if row == nil {
		row = &target{byPool: make(map[Pool]int), absent: make(map[Pool]time.Time)}
		s.targets[t.ID] = row
		row.Target = t
		s.byService[t.Service] = append(s.byService[t.Service], row)
		s.sortService(t.Service)
	}
	row.Target = t
	row.said = s.statementOf(t)
	s.fillService(t.Service, now)
	return s.take()
}

// sortService keeps the order independent of the order of the events, so that a seed repeats.
func (s *Scheduler) sortService(id catalog.ServiceID) {
	rows := s.byService[id]
	sort.Slice(rows, func(i, j int) bool { return rows[i].ID < rows[j].ID })
}

// RemoveTarget takes an upstream out of the table. Requests that run there go on running.
func (s *Scheduler) RemoveTarget(id entity.UpstreamID) {
	if row := s.targets[id]; row != nil {
		s.detach(row)
	}
}

func (s *Scheduler) detach(row *target) {
	delete(s.targets, row.ID)
	rows := s.byService[row.Service]
	for i, t := range rows {
		if t == row {
			s.byService[row.Service] = append(rows[:i:i], rows[i+1:]...)
			return
		}
	}
}

// SetOthers takes over how many requests the other hosts have at an upstream.
func (s *Scheduler) SetOthers(id entity.UpstreamID, requests float64, now time.Time) {
	if row := s.targets[id]; row != nil {
		row.others = requests
		row.othersAt = now
	}
}

// Enqueue adds a request and dispatches or refuses what can be decided now.
func (s *Scheduler) Enqueue(r *Request, now time.Time) []Decision {
	r.index = -1
	s.requests[r.ID] = r
	s.budget(r.Pool.Service).Deposit(now)
	s.wait(r)
	s.fillPool(s.queues[r.Pool], now)
	if _, left := s.requests[r.ID]; left && !r.running {
		s.refuseHopeless(r, now)
	}
	return s.take()
}

func (s *Scheduler) wait(r *Request) {
	q := s.queues[r.Pool]
	if q == nil {
		q = &queue{pool: r.Pool}
		s.queues[r.Pool] = q
		s.ordered = append(s.ordered, q)
	}
	q.push(r)
}

func (s *Scheduler) unwait(r *Request) {
	q := s.queues[r.Pool]
	if q == nil {
		return
	}
	q.remove(r)
	if len(q.waiting) == 0 {
		delete(s.queues, r.Pool)
		// A loop over the former order goes on undisturbed.
		s.ordered = slices.DeleteFunc(slices.Clone(s.ordered), func(other *queue) bool { return other == q })
	}
}

func (s *Scheduler) budget(id catalog.ServiceID) *Budget {
	b := s.budgets[id]
	if b == nil {
		b = s.opts.Budget()
		s.budgets[id] = b
	}
	return b
}

// Tick refuses what can no longer be served and dispatches what has become possible with time.
func (s *Scheduler) Tick(now time.Time) []Decision {
	for _, q := range s.ordered {
		s.fillPool(q, now)
	}
	for _, q := range s.ordered {
		for _, r := range append(requestHeap(nil), q.waiting...) {
			s.refuseHopeless(r, now)
		}
	}
	return s.take()
}

// StopBy says that this host stops and that no request may be sent after a time. Requests that cannot be
// sent by then are refused at once, so that their callers turn to another host.
func (s *Scheduler) StopBy(at, now time.Time) []Decision {
	s.stopBy = at
	return s.Tick(now)
}

// Idle says whether a tick has nothing to do.
func (s *Scheduler) Idle() bool { return len(s.queues) == 0 }

// refuseHopeless gives a waiting request its final answer when it cannot be served in time.
func (s *Scheduler) refuseHopeless(r *Request, now time.Time) {
	left := r.left(now)
	if left <= runMargin {
		s.refuse(r, ReasonDeadline, shortestRetryAfter)
		return
	}
	wait, known := s.servedIn(r.Pool, now)
	switch {
	case !s.stopBy.IsZero() && !now.Add(wait).Before(s.stopBy):
		s.refuse(r, ReasonStopping, shortestRetryAfter)
	case known && wait < left:
	case !known && now.Sub(r.Arrived) < r.Route.Target/2:
		// The coordinator may not have seen the demand yet.
	default:
		s.refuse(r, ReasonNotReady, wait)
	}
}

func (s *Scheduler) readyIn(p Pool, now time.Time) (time.Duration, bool) {
	if p.Model == "" || s.opts.ReadyIn == nil {
		return 0, false
	}
	return s.opts.ReadyIn(p, now)
}

// servedIn estimates when an upstream serves the pool: at once, though it may be full, at the end of its
// pause, or when a load has ended. known is false when nothing can be said.
func (s *Scheduler) servedIn(p Pool, now time.Time) (wait time.Duration, known bool) {
	for _, t := range s.byService[p.Service] {
		if !t.serves(p, now) {
			continue
		}
		pause := t.paused(now)
		if pause == 0 {
			return 0, true
		}
		if !known || pause < wait {
			wait, known = pause, true
		}
	}
	if ready, ok := s.readyIn(p, now); ok && (!known || ready < wait) {
		return ready, true
	}
	return wait, known
}

// refuse ends a waiting request.
func (s *Scheduler) refuse(r *Request, reason Reason, retryAfter time.Duration) {
	s.unwait(r)
	delete(s.requests, r.ID)
	d := Decision{Request: r, Reason: reason, Refusal: refusal(r, reason, retryAfter)}
	if reason == ReasonNotReady {
		d.ReadyIn = retryAfter
	}
	s.out = append(s.out, d)
}

// refusal returns the final answer: a promise that the request never ran and when to come back,
// or a failure that promises nothing.
func refusal(r *Request, reason Reason, retryAfter time.Duration) *entity.Refusal {
	if r.mayHaveRun {
		status := 502
		if reason == ReasonDeadline {
			status = 504
		}
		return &entity.Refusal{Status: status, Code: string(reason), Ran: entity.RanUnknown}
	}
	wait := min(max(retryAfter, shortestRetryAfter), longestRetryAfter)
	return &entity.Refusal{Status: 503, Code: string(reason), Ran: entity.NotRun, RetryAfter: wait}
}

func (s *Scheduler) fillService(id catalog.ServiceID, now time.Time) {
	for _, q := range s.ordered {
		if q.pool.Service == id {
			s.fillPool(q, now)
		}
	}
}

// fillPool dispatches the waiting requests of a pool while upstreams accept them.
func (s *Scheduler) fillPool(q *queue, now time.Time) {
	for r := q.head(); r != nil; r = q.head() {
		t := s.choose(r, now)
		if t == nil {
			return
		}
		s.dispatch(r, t, now)
	}
}

// choose returns the best upstream that accepts the request now, or nil.
func (s *Scheduler) choose(r *Request, now time.Time) *target {
	var best *target
	var bestScore float64
	cached := s.affinity[r.Affinity]
	var readers map[*target]bool
	if !s.opts.Policy.MixPrompts {
		readers = s.longReaders(r.Pool)
	}
	for _, t := range s.byService[r.Pool.Service] {
		if !t.serves(r.Pool, now) || !t.accepts(now) {
			continue
		}
		score := s.score(t, r, cached, now)
		if readers != nil && readers[t] != (r.Prompt >= longPrompt) {
			score += otherReaderPenalty
		}
		if best == nil || score < bestScore {
			best, bestScore = t, score
		}
	}
	return best
}

// score rates an upstream for a request; lower is better.
func (s *Scheduler) score(t *target, r *Request, cached entity.UpstreamID, now time.Time) float64 {
	if s.opts.Policy.RandomReplica {
		return s.opts.Rand.Float64()
	}
	score := t.load(now)/float64(max(t.Slots, 1)) + t.unread(now)/readingScale + errorPenalty*t.errors + 0.02*s.opts.Rand.Float64()
	if t.Domain == s.opts.Domain {
		score -= sameDomainBonus
	}
	if cached == t.ID {
		score -= affinityBonus
	}
	if r.avoid == t.ID {
		score += 10
	}
	return score
}

func (s *Scheduler) dispatch(r *Request, t *target, now time.Time) {
	d := Decision{Request: r, Upstream: &t.Target, Attempt: r.sent + 1, Load: t.load(now)}
	if !t.othersAt.IsZero() {
		d.OthersAge = now.Sub(t.othersAt)
	}
	d.Alternatives = s.alternatives(r.Pool, t, now)
	d.Last = r.ran+1 >= r.Route.MaxAttempts || !r.repeatable()
	s.unwait(r)
	r.running = true
	r.target = t
	r.sent++
	t.inflight++
	if !s.opts.Policy.MixPrompts {
		t.addUnread(r.Prompt, now)
	}
	t.byPool[r.Pool]++
	s.remember(r.Affinity, t.ID)
	s.out = append(s.out, d)
}

// alternatives counts the upstreams besides one that serve a pool and do not fail.
func (s *Scheduler) alternatives(p Pool, besides *target, now time.Time) int {
	n := 0
	for _, t := range s.byService[p.Service] {
		if t != besides && t.serves(p, now) && !now.Before(t.ejected) {
			n++
		}
	}
	return n
}

func (s *Scheduler) remember(part string, id entity.UpstreamID) {
	if part == "" {
		return
	}
	if len(s.affinity) >= affinityEntries {
		clear(s.affinity)
	}
	s.affinity[part] = id
}

// AttemptEnded takes over the result of an attempt and decides what follows.
func (s *Scheduler) AttemptEnded(res Result, now time.Time) []Decision {
	r := s.requests[res.Request]
	if r == nil || !r.running {
		return nil
	}
	s.leave(r, res, now)
	if res.Outcome == entity.Completed || res.Outcome == entity.Canceled {
		delete(s.requests, r.ID)
	} else {
		s.retry(r, res, now)
	}
	s.fillService(r.Pool.Service, now)
	return s.take()
}

func (s *Scheduler) leave(r *Request, res Result, now time.Time) {
	t := r.target
	t.inflight--
	if t.byPool[r.Pool]--; t.byPool[r.Pool] <= 0 {
		delete(t.byPool, r.Pool)
	}
	t.note(res, r.Pool, now)
	if t.unreachable {
		s.unreachable[t.ID] = t
	}
	r.running = false
	r.target = nil
	r.avoid = t.ID
	if res.Outcome != entity.AttemptNotRun {
		r.mayHaveRun = true
		r.ran++
	}
}

// retry puts the request back into its queue, or ends it.
func (s *Scheduler) retry(r *Request, res Result, now time.Time) {
	reason, again := s.mayRetry(r, res, now)
	if !again {
		delete(s.requests, r.ID)
		s.out = append(s.out, Decision{Request: r, Reason: reason, Refusal: refusal(r, reason, shortestRetryAfter)})
		return
	}
	s.wait(r)
	s.fillPool(s.queues[r.Pool], now)
	if !r.running {
		if _, left := s.requests[r.ID]; left {
			s.refuseHopeless(r, now)
		}
	}
}

func (s *Scheduler) mayRetry(r *Request, res Result, now time.Time) (Reason, bool) {
	notRun := res.Outcome == entity.AttemptNotRun
	switch {
	case r.Deadline.Sub(now) <= runMargin:
		return ReasonDeadline, false
	case !notRun && !r.repeatable():
		return ReasonUnknown, false
	case r.ran >= r.Route.MaxAttempts:
		return ReasonFailed, false
	case notRun && r.sent >= notRunAttempts:
		return ReasonNoUpstream, false
	case notRun && res.Unreachable:
		// No upstream was reached, so the service saw no arrival.
		return "", true
	case !s.budget(r.Pool.Service).Take(now):
		return ReasonBudget, false
	}
	return "", true
}

// Cancel removes a request whose caller has left. The host stops a running attempt itself and
// reports nothing more about it.
func (s *Scheduler) Cancel(id entity.RequestID, now time.Time) []Decision {
	r := s.requests[id]
	if r == nil {
		return nil
	}
	if r.running {
		s.leave(r, Result{Request: id, Outcome: entity.Canceled}, now)
	} else {
		s.unwait(r)
	}
	delete(s.requests, id)
	s.fillService(r.Pool.Service, now)
	return s.take()
}

// RefuseWhere ends all waiting requests that match.
func (s *Scheduler) RefuseWhere(match func(*Request) bool, refusal entity.Refusal, reason Reason) []Decision {
	for _, r := range s.requests {
		if r.running || !match(r) {
			continue
		}
		s.unwait(r)
		delete(s.requests, r.ID)
		answer := refusal
		if r.mayHaveRun {
			answer = entity.Refusal{Status: 502, Code: string(reason), Ran: entity.RanUnknown}
		}
		s.out = append(s.out, Decision{Request: r, Reason: reason, Refusal: &answer})
	}
	return s.take()
}
