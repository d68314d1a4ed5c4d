package schedule

import (
	"time"

	"github.com/foxtailpass/foxtailpass/internal/command"
	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// AttemptEnded handles the result of an attempt: the request is complete, is queued for another attempt or gets its
// final refusal. AttemptEnded also dispatches requests to the slot that has become free.
func (s *Scheduler) AttemptEnded(res AttemptResult, now time.Time) []command.Command {
	r, ok := s.requests[res.Request]
	if !ok || !r.running {
		return nil
	}
	p := s.pool(r.Pool)
	u := r.target.upstream
	s.releaseTarget(p, r, res, now)
	out := s.retryOrFinish(p, r, u, res, now)
	return append(out, s.dispatchUpstream(u, now)...)
}

// releaseTarget frees the slot of an attempt that has ended, and records the result at its upstream.
func (s *Scheduler) releaseTarget(p *pool, r *Request, res AttemptResult, now time.Time) {
	u := r.target.upstream
	u.addInflight(-1, now)
	u.recordResult(res, now)
	if res.Outcome == entity.Completed {
		p.observeServiceTime(now.Sub(r.started))
	}
	if res.Outcome != entity.AttemptNotRun {
		r.mayHaveRun = true
	}
	p.running--
	r.running = false
	r.target = nil
	s.changed[p.id] = struct{}{}
}

// retryOrFinish deletes a request that is complete or gets its final refusal, and queues any other request for
// another attempt.
func (s *Scheduler) retryOrFinish(p *pool, r *Request, u *upstream, res AttemptResult, now time.Time) []command.Command {
	if res.Outcome == entity.Completed || res.Outcome == entity.Canceled || r.canceled {
		s.deleteRequest(r)
		return nil
	}
	if refusal := s.retryRefusal(r, u, res, now); refusal != nil {
		s.deleteRequest(r)
		return []command.Command{command.Refuse{Request: r.ID, Refusal: *refusal}}
	}
	r.avoidUpstream = u.id
	if res.Reason == ReasonNotLoaded || res.Reason == ReasonDraining {
		p.dropTarget(u.id)
	}
	s.affinity.forget(r.Prefix)
	s.addToQueue(p, r)
	return s.dispatchPool(p, now)
}

// retryRefusal returns the final refusal of a request whose attempt failed, or nil when the request may be
// retried. A retry after an attempt that may have run is charged to the retry budgets of the workspace and of the
// upstream.
func (s *Scheduler) retryRefusal(r *Request, u *upstream, res AttemptResult, now time.Time) *entity.Refusal {
	var refusal entity.Refusal
	limits := s.site.Limits
	notRun := res.Outcome == entity.AttemptNotRun
	budget := s.budget(r.Workspace)
	switch {
	case !s.isOffered(r.Pool):
		refusal = r.refusal(404, "model_removed", "The model or route is no longer offered.", 0)
	case !r.Deadline.After(now):
		refusal = deadlineRefusal(r)
	case notRun && r.attempts < maxNotRunAttempts:
		return nil
	case notRun:
		refusal = r.refusal(503, "upstream_unavailable", "No upstream accepted the request.", time.Second)
	case !r.Idempotent:
		refusal = r.refusal(502, "outcome_unknown", "The upstream may have run the request; it is not repeated.", 0)
	case res.AnswerStarted:
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

// budget returns the retry budget of a workspace and creates it if needed.
func (s *Scheduler) budget(ws entity.WorkspaceID) *retryBudget {
	b, ok := s.budgets[ws]
	if !ok {
		fresh := newRetryBudget()
		b = &fresh
		s.budgets[ws] = b
	}
	return b
}
