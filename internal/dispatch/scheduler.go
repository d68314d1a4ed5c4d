package dispatch

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/fairshare"
	"github.com/foxtailpass/foxtailpass/internal/prefill"
	"github.com/foxtailpass/foxtailpass/internal/speed"
)

const (
	// maxNotRunAttempts limits the attempts of a request if the last of them is proven not to have run.
	maxNotRunAttempts = 6
	// sameDomainBonus and affinityBonus lower the score of an upstream, errorPenalty raises it. An upstream
	// whose slots are all in use scores 1 without them.
	sameDomainBonus = 0.06
	affinityBonus   = 0.12
	errorPenalty    = 1.5
	// avoidPenalty raises the score of an upstream that is used only if no other one accepts the request.
	avoidPenalty = 10
	// maxAffinityEntries limits the number of prompt prefixes whose last upstream is stored.
	maxAffinityEntries = 4096
	// minRetryAfter and maxRetryAfter limit the retry time that callers receive with a refusal.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 8 * time.Second
	// returnSpreadShare is the share of a wait, and maxReturnSpread the time, over which refused callers return.
	returnSpreadShare = 0.2
	maxReturnSpread   = time.Second
	// minAttemptTime is the time that must remain until the deadline of a request for another attempt.
	minAttemptTime = 20 * time.Millisecond
)

// Options configures a Scheduler.
type Options struct {
	// Domain is this host's failure domain.
	Domain string
	// Rand is the source of randomness; required.
	Rand *rand.Rand
	// Budget returns the retry budget of a service when it is first used; required.
	Budget func() *Budget
	// ReadyIn estimates the time until an upstream serves a pool that none serves now. It returns false if
	// there is no estimate. ReadyIn may be nil.
	ReadyIn func(p Pool, now time.Time) (time.Duration, bool)
	// Limits holds the request limits of upstreams. Limits may be nil.
	Limits RequestLimits
	// Quarantined returns the reason why a request must not be sent because replicas crash under it or under a part of
	// its prompt, empty if it may be sent. Quarantined may be nil.
	Quarantined func(r *Request, now time.Time) Reason
	// Speeds holds the learned speeds of upstreams, by which they are chosen. Speeds may be nil.
	Speeds *speed.Learner
	// PrefillBudget bounds what upstreams have to read of prompts at once by their learned speeds. It needs Speeds.
	PrefillBudget bool
	// Shares divides capacity among the workspaces that compete for it. Shares may be nil.
	Shares *fairshare.Host
	// Policy selects a simpler policy for measurements.
	Policy Policy
}

// Policy replaces parts of the scheduling by simpler rules for measurements. The zero value is the policy of
// the product.
type Policy struct {
	// RandomReplica chooses randomly among the upstreams that accept a request.
	RandomReplica bool
	// AlwaysBySpeed chooses upstreams by their speeds also where they are alike.
	AlwaysBySpeed bool
	// MixPrompts ignores the length of prompts when an upstream is chosen.
	MixPrompts bool
}

// Scheduler holds the request and upstream tables of one host.
type Scheduler struct {
	opts     Options
	requests map[entity.RequestID]*Request
	targets  map[entity.UpstreamID]*target
	// byService holds the targets of each service in the order of their IDs.
	byService map[catalog.ServiceID][]*target
	// queues holds the waiting requests by pool; a pool without waiting requests has no queue.
	queues map[Pool]*queue
	// queueOrder holds the queues in the order in which they were created, so that runs with the same seed
	// give the same decisions.
	queueOrder []*queue
	budgets    map[catalog.ServiceID]*Budget
	// unreachable holds the targets whose last attempt got no connection, or no answer in time.
	unreachable map[entity.UpstreamID]*target
	// affinity holds the upstream that a prompt prefix was last sent to.
	affinity map[string]entity.UpstreamID
	// selfReported holds the status that upstreams have reported of themselves. It is kept when an upstream
	// is removed from targets.
	selfReported map[entity.UpstreamID]*selfReportedStatus
	// stopBy is the time by which an upstream must be sent a request that may last longer than until stopEnd, the end of the
	// process. Both are zero unless the host is stopping.
	stopBy, stopEnd time.Time
	decisions       []Decision
	// earlyRefusal is that of SetEarlyRefusal.
	earlyRefusal bool
	// streamTimes holds the shortest recent streams of each model.
	streamTimes streamTimes
	// sharedEarlier and sharedLater are counted for SharedRequests.
	sharedEarlier, sharedLater int64
	// limitAsks are the requests to limited upstreams that must be asked for.
	limitAsks []LimitAsk
	// candidates is the memory for those of one choice.
	candidates []candidate
	// serving are the upstreams that serve the pool of that choice, and chosenPrompt what the prompt means at the chosen one.
	serving      []*target
	chosenPrompt promptCost
	// longDemands holds the demand for long prompts of each pool, and order the order of serving for them.
	longDemands map[Pool]*prefill.Demand
	order       []int
	hashes      []uint64
	longPrompts LongPrompts
	// callers holds the demands of the callers of each service, and hosts is the place of this host.
	callers map[catalog.ServiceID]*prefill.Callers
	hosts   prefill.Hosts
}

// New returns an empty Scheduler.
func New(o Options) *Scheduler {
	return &Scheduler{
		opts:         o,
		requests:     make(map[entity.RequestID]*Request),
		targets:      make(map[entity.UpstreamID]*target),
		byService:    make(map[catalog.ServiceID][]*target),
		queues:       make(map[Pool]*queue),
		budgets:      make(map[catalog.ServiceID]*Budget),
		unreachable:  make(map[entity.UpstreamID]*target),
		affinity:     make(map[string]entity.UpstreamID),
		selfReported: make(map[entity.UpstreamID]*selfReportedStatus),
		callers:      make(map[catalog.ServiceID]*prefill.Callers),
		longDemands:  make(map[Pool]*prefill.Demand),
	}
}

// RequestCount returns the number of requests without a final answer.
func (s *Scheduler) RequestCount() int { return len(s.requests) }

// SetRetryExtra sets Budget.Extra for every service that has a budget.
func (s *Scheduler) SetRetryExtra(extra float64, now time.Time) {
	for _, b := range s.budgets {
		b.SetExtra(extra, now)
	}
}

// takeDecisions returns the decisions collected since the last call.
func (s *Scheduler) takeDecisions() []Decision {
	decisions := s.decisions
	s.decisions = nil
	return decisions
}

// SetTarget adds or updates an upstream and dispatches the requests that it can serve now.
func (s *Scheduler) SetTarget(t Target, now time.Time) []Decision {
	row := s.targets[t.ID]
	if row != nil && row.Service != t.Service {
		s.detach(row)
		row = nil
	}
	if row == nil {
		row = &target{byPool: make(map[Pool]int), notLoaded: make(map[Pool]time.Time)}
		s.targets[t.ID] = row
		row.Target = t
		s.byService[t.Service] = append(s.byService[t.Service], row)
		s.sortService(t.Service)
	}
	if row.BornMillis != t.BornMillis {
		row.ledger = prefill.Ledger{}
	}
	row.Target = t
	row.selfReported = s.listedStatus(t)
	if s.opts.Speeds != nil {
		row.speed = s.opts.Speeds.SetReplica(t.ID, t.Service, t.BornMillis)
	}
	s.dispatchService(t.Service, now)
	return s.takeDecisions()
}

// sortService sorts the targets of a service by ID. Their order then does not depend on the order of events,
// so that runs with the same seed give the same decisions.
func (s *Scheduler) sortService(id catalog.ServiceID) {
	rows := s.byService[id]
	sort.Slice(rows, func(i, j int) bool { return rows[i].ID < rows[j].ID })
}

// RemoveTarget removes an upstream from the table. Requests that run at the upstream continue.
func (s *Scheduler) RemoveTarget(id entity.UpstreamID) {
	if row := s.targets[id]; row != nil {
		s.detach(row)
	}
}

// detach removes a row from the table and from the targets of its service.
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

// SetOthers sets how many requests the other hosts have at an upstream.
func (s *Scheduler) SetOthers(id entity.UpstreamID, requests float64, now time.Time) {
	if row := s.targets[id]; row != nil {
		row.othersLoad = requests
		row.othersLoadAt = now
	}
}

// Enqueue adds a request, and dispatches or refuses it if that can be decided now. The request may be one that Withdraw has
// returned.
func (s *Scheduler) Enqueue(r *Request, now time.Time) []Decision {
	r.index = -1
	s.requests[r.ID] = r
	if !r.counted {
		r.counted = true
		s.budget(r.Pool.Service).Deposit(now)
	}
	s.addWaiting(r, now)
	s.dispatchPool(s.queues[r.Pool], now)
	if _, active := s.requests[r.ID]; active && !r.running {
		s.shareDemand(r)
		s.refuseIfUnservable(r, now)
	}
	return s.takeDecisions()
}

// addWaiting adds a request to the queue of its pool and creates the queue if necessary.
func (s *Scheduler) addWaiting(r *Request, now time.Time) {
	q := s.queues[r.Pool]
	if q == nil {
		q = &queue{pool: r.Pool, waiting: requestHeap{index: queueIndex}}
		if s.opts.Shares != nil {
			q.byWorkspace = make(map[entity.WorkspaceID]*requestHeap)
		}
		s.queues[r.Pool] = q
		s.queueOrder = append(s.queueOrder, q)
	}
	q.push(r)
	if s.opts.Shares != nil {
		s.opts.Shares.Ledger(r.Pool.Service).AddWaiting(r.Workspace, now)
	}
}

// removeWaiting removes a request from the queue of its pool, and the queue if it is empty then.
func (s *Scheduler) removeWaiting(r *Request) {
	q := s.queues[r.Pool]
	if q == nil {
		return
	}
	if s.opts.Shares != nil && r.index >= 0 {
		s.opts.Shares.Ledger(r.Pool.Service).RemoveWaiting(r.Workspace)
	}
	q.remove(r)
	if q.waiting.Len() == 0 {
		delete(s.queues, r.Pool)
		// The slice is copied because a caller may be iterating over it.
		s.queueOrder = slices.DeleteFunc(slices.Clone(s.queueOrder), func(other *queue) bool { return other == q })
	}
}

// budget returns the retry budget of a service and creates it if necessary.
func (s *Scheduler) budget(id catalog.ServiceID) *Budget {
	b := s.budgets[id]
	if b == nil {
		b = s.opts.Budget()
		s.budgets[id] = b
	}
	return b
}

// Tick dispatches the waiting requests that can be sent by now, and refuses those that can no longer be
// served in time.
func (s *Scheduler) Tick(now time.Time) []Decision {
	for _, q := range s.queueOrder {
		s.dispatchPool(q, now)
	}
	for _, q := range s.queueOrder {
		for _, r := range slices.Clone(q.waiting.requests) {
			s.refuseIfUnservable(r, now)
		}
	}
	return s.takeDecisions()
}

// StopBy starts the stop of this host, whose process ends at end. From sendBy on, no request is sent to an upstream whose
// deadline is later than end, because it might be cut. Requests that no upstream is expected to serve in time are refused at
// once, so that their callers retry at another host.
func (s *Scheduler) StopBy(sendBy, end, now time.Time) []Decision {
	s.stopBy, s.stopEnd = sendBy, end
	return s.Tick(now)
}

// isTooLate reports whether a request that is sent to an upstream at the given time might be cut by the end of this host.
func (s *Scheduler) isTooLate(r *Request, at time.Time) bool {
	return !s.stopBy.IsZero() && !at.Before(s.stopBy) && r.Deadline.After(s.stopEnd)
}

// Idle reports whether no requests wait, so that Tick has nothing to do.
func (s *Scheduler) Idle() bool { return len(s.queues) == 0 }

// dispatchService dispatches the waiting requests of all pools of a service while upstreams accept them.
func (s *Scheduler) dispatchService(id catalog.ServiceID, now time.Time) {
	for _, q := range s.queuesOf(id, now) {
		s.dispatchPool(q, now)
	}
}

// dispatchPool dispatches the waiting requests of a pool while upstreams accept them.
func (s *Scheduler) dispatchPool(q *queue, now time.Time) {
	for r := s.nextServable(q, now); r != nil; r = s.nextServable(q, now) {
		if s.refuseUnsendable(r, now) {
			continue
		}
		t := s.chooseTarget(r, now)
		if t == nil && s.yields(r, now) {
			// What it leaves to others is offered to those that wait here as well.
			if r = s.nextEntitled(q, now); r == nil {
				return
			}
			if s.refuseUnsendable(r, now) {
				continue
			}
			t = s.chooseTarget(r, now)
		}
		if t == nil {
			return
		}
		s.dispatch(r, t, now)
	}
}

// refuseUnsendable refuses a request that must not be sent any more, and reports whether it has.
func (s *Scheduler) refuseUnsendable(r *Request, now time.Time) bool {
	switch {
	case s.isTooLate(r, now):
		s.refuse(r, ReasonStopping, minRetryAfter)
	case !s.canStream(r, 0, now):
		s.refuse(r, ReasonDeadline, minRetryAfter)
	default:
		return false
	}
	return true
}

// chooseTarget returns the best upstream that accepts the request now, or nil.
func (s *Scheduler) chooseTarget(r *Request, now time.Time) *target {
	if s.opts.Speeds != nil && (s.opts.Policy.AlwaysBySpeed || s.opts.Speeds.Uneven(r.Pool.Service, now)) {
		return s.chooseBySpeed(r, now)
	}
	s.chosenPrompt = promptCost{}
	var best *target
	var bestScore float64
	cached := s.affinity[r.Affinity]
	var forLong map[*target]bool
	if !s.opts.Policy.MixPrompts {
		forLong = s.longPromptReplicas(r.Pool)
	}
	yields := s.sharesYield(r, now)
	for _, t := range s.byService[r.Pool.Service] {
		if !t.serves(r.Pool, now) || !t.accepts(now) || !s.withinLimit(t, now) || t.NoStreamsBegin && r.Route.Resumable || yields && t.lastSlot() {
			continue
		}
		score := s.score(t, r, cached, now)
		if forLong != nil && forLong[t] != (r.PromptTokens >= longPromptTokens) {
			score += otherKindPenalty
		}
		if best == nil || score < bestScore {
			best, bestScore = t, score
		}
	}
	return best
}

// score returns the score of an upstream for a request; lower is better.
func (s *Scheduler) score(t *target, r *Request, cached entity.UpstreamID, now time.Time) float64 {
	if s.opts.Policy.RandomReplica {
		return s.opts.Rand.Float64()
	}
	score := t.estimatedLoad(now)/float64(max(t.Slots, 1)) + t.pendingPrefill(now)/pendingPrefillScale + errorPenalty*t.errorRate + 0.02*s.opts.Rand.Float64()
	if t.Domain == s.opts.Domain {
		score -= sameDomainBonus
	}
	if cached == t.ID {
		score -= affinityBonus
	}
	if r.avoidUpstream == t.ID {
		score += avoidPenalty
	}
	if t.drainingElsewhere != 0 && t.drainingElsewhere == t.BornMillis {
		score += avoidPenalty
	}
	return score
}

// dispatch adds the decision that sends a request to an upstream, and counts the attempt.
func (s *Scheduler) dispatch(r *Request, t *target, now time.Time) {
	d := Decision{Request: r, Upstream: &t.Target, Attempt: r.attempts + 1, UpstreamLoad: t.estimatedLoad(now)}
	if !t.othersLoadAt.IsZero() {
		d.OthersAge = now.Sub(t.othersLoadAt)
	}
	d.Alternatives = s.alternatives(r.Pool, t, now)
	d.LimitStamp = s.takeFromLimit(t, now)
	s.askForSpare(r, now)
	d.LastAttempt = r.possibleRuns+1 >= r.Route.MaxAttempts || !r.repeatable()
	s.shareGiven(r, now)
	s.removeWaiting(r)
	r.running = true
	r.sentAt = now
	r.target = t
	r.attempts++
	t.inflight++
	t.rampSent()
	// The score of upstreams that are alike goes by the pending prompts, the choice by speed by the ledger.
	if !s.opts.Policy.MixPrompts {
		t.addPendingPrefill(r.PromptTokens, now)
	}
	if s.opts.PrefillBudget {
		t.ledger.Add(s.chosenPrompt.seconds, s.chosenPrompt.long, s.chosenPrompt.sharing, now)
	}
	t.byPool[r.Pool]++
	s.setAffinity(r.Affinity, t.ID)
	s.decisions = append(s.decisions, d)
}

// alternatives counts the upstreams other than chosen that serve a pool and are not ejected.
func (s *Scheduler) alternatives(p Pool, chosen *target, now time.Time) int {
	n := 0
	for _, t := range s.byService[p.Service] {
		if t != chosen && t.serves(p, now) && !now.Before(t.ejectedUntil) && s.withinLimit(t, now) {
			n++
		}
	}
	return n
}

// setAffinity stores the upstream that a prompt prefix was sent to. A full table is cleared.
func (s *Scheduler) setAffinity(prefix string, id entity.UpstreamID) {
	if prefix == "" {
		return
	}
	if len(s.affinity) >= maxAffinityEntries {
		clear(s.affinity)
	}
	s.affinity[prefix] = id
}

// AttemptEnded records the result of an attempt and decides the next step for the request.
func (s *Scheduler) AttemptEnded(res AttemptResult, now time.Time) []Decision {
	r := s.requests[res.Request]
	if r == nil || !r.running {
		return nil
	}
	s.endAttempt(r, res, now)
	if res.Outcome == entity.Completed || res.Outcome == entity.Canceled {
		delete(s.requests, r.ID)
	} else {
		s.retry(r, res, now)
	}
	s.dispatchService(r.Pool.Service, now)
	return s.takeDecisions()
}

// endAttempt frees the slot of an attempt and records its result.
func (s *Scheduler) endAttempt(r *Request, res AttemptResult, now time.Time) {
	t := r.target
	t.inflight--
	if t.byPool[r.Pool]--; t.byPool[r.Pool] <= 0 {
		delete(t.byPool, r.Pool)
	}
	t.recordResult(res, r.Pool, now)
	s.recordStream(r, res, now)
	if t.unreachable {
		s.unreachable[t.ID] = t
	}
	r.running = false
	r.target = nil
	r.avoidUpstream = t.ID
	if res.Outcome == entity.AttemptNotRun {
		s.shareNotGiven(r, now)
		s.shareDemand(r)
	} else {
		r.mayHaveRun = true
		r.possibleRuns++
	}
	if res.Release != "" {
		r.Pool.Release = res.Release
		r.interruptedAt = now
	}
}

// retry puts the request back into its queue, or refuses it.
func (s *Scheduler) retry(r *Request, res AttemptResult, now time.Time) {
	reason, again := s.mayRetry(r, res, now)
	if !again {
		delete(s.requests, r.ID)
		s.decisions = append(s.decisions, Decision{Request: r, Reason: reason, Refusal: refusal(r, reason, minRetryAfter)})
		return
	}
	s.addWaiting(r, now)
	s.dispatchPool(s.queues[r.Pool], now)
	if !r.running {
		if _, active := s.requests[r.ID]; active {
			s.refuseIfUnservable(r, now)
		}
	}
}

// mayRetry reports whether a request may be retried after the result of an attempt. If not, it returns the
// reason. A retry that needs the retry budget takes it.
func (s *Scheduler) mayRetry(r *Request, res AttemptResult, now time.Time) (Reason, bool) {
	notRun := res.Outcome == entity.AttemptNotRun
	quarantined := s.quarantineReason(r, now)
	switch {
	case r.Deadline.Sub(now) <= minAttemptTime:
		return ReasonDeadline, false
	case !notRun && !r.repeatable():
		return ReasonOutcomeUnknown, false
	case res.Answering:
		return ReasonSuspected, false
	case quarantined != "" && !(r.Probe && res.Unreachable):
		return quarantined, false
	case r.possibleRuns >= r.Route.MaxAttempts:
		return ReasonFailed, false
	case notRun && r.attempts >= maxNotRunAttempts:
		return ReasonNoUpstream, false
	case notRun && res.Unreachable:
		// No upstream received the request, so the retry adds no load to the service.
		return "", true
	case !s.budget(r.Pool.Service).TryTake(now):
		return ReasonBudget, false
	}
	return "", true
}

// quarantineReason returns the reason of Options.Quarantined, empty without one.
func (s *Scheduler) quarantineReason(r *Request, now time.Time) Reason {
	if s.opts.Quarantined == nil {
		return ""
	}
	return s.opts.Quarantined(r, now)
}

// Cancel removes a request whose caller has disconnected. The host stops a running attempt itself
// and does not call AttemptEnded for it.
func (s *Scheduler) Cancel(id entity.RequestID, now time.Time) []Decision {
	r := s.requests[id]
	if r == nil {
		return nil
	}
	if r.running {
		s.endAttempt(r, AttemptResult{Request: id, Outcome: entity.Canceled}, now)
	} else {
		s.removeWaiting(r)
	}
	delete(s.requests, id)
	s.dispatchService(r.Pool.Service, now)
	return s.takeDecisions()
}
