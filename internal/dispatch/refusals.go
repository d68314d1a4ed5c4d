package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// refuseIfUnservable refuses a waiting request if it cannot be served in time.
func (s *Scheduler) refuseIfUnservable(r *Request, now time.Time) {
	timeLeft := r.timeLeft(now)
	if timeLeft <= minAttemptTime || !s.canStream(r, 0, now) {
		s.refuse(r, ReasonDeadline, minRetryAfter)
		return
	}
	s.askForLimited(r, now)
	wait, known, byLoad := s.estimateWait(r, now)
	byStatus := known && !byLoad
	switch {
	case s.isTooLate(r, now.Add(wait)):
		s.refuse(r, ReasonStopping, minRetryAfter)
	case known && wait < timeLeft && s.canStream(r, wait, now):
	case byStatus && s.keptByLimit(r, now):
		s.refuse(r, ReasonRequestLimit, s.spreadReturn(wait))
	case byStatus:
		s.refuse(r, ReasonNotReady, s.spreadReturn(wait))
	case !known && now.Sub(r.waitsSince()) < r.Route.TargetLatency/2:
		// The coordinator may not have received the demand yet.
	case s.keptByLimit(r, now):
		s.refuse(r, ReasonRequestLimit, wait)
	default:
		s.refuse(r, ReasonNotReady, wait)
	}
}

// spreadReturn spreads the times at which refused callers return to an upstream that takes no requests before a given
// time, so that they do not all return then.
func (s *Scheduler) spreadReturn(wait time.Duration) time.Duration {
	return wait + time.Duration(s.opts.Rand.Float64()*min(returnSpreadShare*float64(wait), float64(maxReturnSpread)))
}

// readyIn returns the estimate of Options.ReadyIn for a pool, and false if there is none.
func (s *Scheduler) readyIn(p Pool, now time.Time) (time.Duration, bool) {
	if p.Model == "" || s.opts.ReadyIn == nil {
		return 0, false
	}
	return s.opts.ReadyIn(p, now)
}

// estimateWait estimates the time until an upstream serves a waiting request: zero if one serves its pool now, even
// if that upstream has no free slot; otherwise the time to the end of a back-off, to the next request that a limit
// allows, or to the end of a load; byLoad is set then. known is false if there is no estimate.
func (s *Scheduler) estimateWait(r *Request, now time.Time) (wait time.Duration, known, byLoad bool) {
	p := r.Pool
	for _, t := range s.byService[p.Service] {
		if !t.serves(p, now) {
			continue
		}
		limitWait, ok := s.limitWait(r, t, now)
		if !ok {
			continue
		}
		remaining := max(t.backOff(now), limitWait)
		if remaining == 0 {
			return 0, true, false
		}
		if !known || remaining < wait {
			wait, known = remaining, true
		}
	}
	if ready, ok := s.readyIn(p, now); ok && (!known || ready <= wait) {
		return ready, true, true
	}
	return wait, known, false
}

// refuse removes a waiting request and adds the decision that refuses it.
func (s *Scheduler) refuse(r *Request, reason Reason, retryAfter time.Duration) {
	s.removeWaiting(r)
	delete(s.requests, r.ID)
	d := Decision{Request: r, Reason: reason, Refusal: refusal(r, reason, retryAfter)}
	if reason == ReasonNotReady || reason == ReasonRequestLimit {
		d.ReadyIn = retryAfter
	}
	s.decisions = append(s.decisions, d)
}

// refusal returns the final answer to a request. If the request never ran, the answer guarantees that and
// states when to retry. Otherwise it reports that the request may have run.
func refusal(r *Request, reason Reason, retryAfter time.Duration) *entity.Refusal {
	if r.mayHaveRun {
		status := 502
		if reason == ReasonDeadline {
			status = 504
		}
		return &entity.Refusal{Status: status, Code: string(reason), Ran: entity.RanUnknown}
	}
	wait := min(max(retryAfter, minRetryAfter), maxRetryAfter)
	return &entity.Refusal{Status: 503, Code: string(reason), Ran: entity.NotRun, RetryAfter: wait}
}

// RefuseWhere refuses all waiting requests for which match returns true. Requests that may have run get a 502
// instead of the given refusal.
func (s *Scheduler) RefuseWhere(match func(*Request) bool, refusal entity.Refusal, reason Reason) []Decision {
	for _, r := range s.Withdraw(match) {
		answer := refusal
		if r.mayHaveRun {
			answer = entity.Refusal{Status: 502, Code: string(reason), Ran: entity.RanUnknown}
		}
		s.decisions = append(s.decisions, Decision{Request: r, Reason: reason, Refusal: &answer})
	}
	return s.takeDecisions()
}

// Withdraw removes all waiting requests for which match returns true, and returns them in the order of their arrival.
func (s *Scheduler) Withdraw(match func(*Request) bool) []*Request {
	var out []*Request
	for _, r := range s.requests {
		if r.running || !match(r) {
			continue
		}
		s.removeWaiting(r)
		delete(s.requests, r.ID)
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *Request) int {
		return cmp.Or(a.Arrived.Compare(b.Arrived), cmp.Compare(a.ID, b.ID))
	})
	return out
}
