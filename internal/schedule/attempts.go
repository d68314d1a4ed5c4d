package schedule

import (
	"time"

	"github.com/foxtailpass/foxtailpass/internal/command"
	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// AttemptEnded takes over the result of an attempt and decides what follows: nothing, another
// attempt, or the final refusal.
func (s *Scheduler) AttemptEnded(res AttemptResult, now time.Time) []command.Command {
	r, ok := s.requests[res.Request]
	if !ok || !r.running {
		return nil
	}
	p := s.pool(r.Pool)
	u := r.target.upstream
	s.leaveTarget(p, r, res, now)
	out := s.afterAttempt(p, r, u, res, now)
	return append(out, s.fillUpstream(u, now)...)
}

// leaveTarget frees the slot of an attempt.
func (s *Scheduler) leaveTarget(p *pool, r *Request, res AttemptResult, now time.Time) {
	u := r.target.upstream
	u.add(-1, now)
	u.handleOutcome(res, now)
	if res.Outcome == entity.Completed {
		p.observe(now.Sub(r.started))
	}
	if res.Outcome != entity.AttemptNotRun {
		r.mayHaveRun = true
	}
	p.running--
	r.running = false
	r.target = nil
	s.changed[p.id] = struct{}{}
}

func (s *Scheduler) afterAttempt(p *pool, r *Request, u *upstream, res AttemptResult, now time.Time) []command.Command {
	if res.Outcome == entity.Completed || res.Outcome == entity.Canceled || r.canceled {
		s.remove(r)
		return nil
	}
	if refusal := s.retryRefusal(r, u, res, now); refusal != nil {
		s.remove(r)
		return []command.Command{command.Refuse{Request: r.ID, Refusal: *refusal}}
	}
	r.avoid = u.id
	if res.Reason == ReasonNotLoaded || res.Reason == ReasonDraining {
		p.dropTarget(u.id)
	}
	s.affinity.forget(r.Prefix)
	s.queue(p, r)
	return s.fillPool(p, now)
}

// retryRefusal returns nil when the request may be tried again.
func (s *Scheduler) retryRefusal(r *Request, u *upstream, res AttemptResult, now time.Time) *entity.Refusal {
	var refusal entity.Refusal
	limits := s.site.Limits
	notRun := res.Outcome == entity.AttemptNotRun
	budget := s.budget(r.Workspace)
	switch {
	case !s.offered(r.Pool):
		refusal = r.refusal(404, "model_removed", "The model or route is no longer offered.", 0)
	case !r.Deadline.After(now):
		refusal = deadlineRefusal(r)
	case notRun && r.attempts < notRunAttempts:
		return nil
	case notRun:
		refusal = r.refusal(503, "upstream_unavailable", "No upstream accepted the request.", time.Second)
	case !r.Idempotent:
		refusal = r.refusal(502, "outcome_unknown", "The upstream may have run the request; it is not repeated.", 0)
	case res.Started:
		refusal = r.refusal(502, "stream_broken", "The stream broke and cannot be resumed.", 0)
	case r.attempts >= limits.MaxAttempts:
		refusal = r.refusal(502, "upstream_failed", "The upstream failed: "+res.Reason+".", time.Second)
	case !budget.available() || !u.retries.available():
		refusal = r.refusal(502, "retry_budget_exhausted", "The upstream failed and too many requests are being retried.", time.Second)
	default:
		budget.withdraw()
		u.retries.withdraw()
		return nil
	}
	return &refusal
}

func (s *Scheduler) budget(ws entity.WorkspaceID) *retryBudget {
	b, ok := s.budgets[ws]
	if !ok {
		fresh := newRetryBudget()
		b = &fresh
		s.budgets[ws] = b
	}
	return b
}
