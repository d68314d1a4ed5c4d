package dispatch

import (
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// RequestLimits holds the request limits of upstreams: the requests per second that an upstream takes from all hosts
// together. A request may be sent to a limited upstream only if this host has been granted one.
type RequestLimits interface {
	// Active reports whether any limit is known.
	Active() bool
	// Ready reports whether another request may be sent to an upstream now.
	Ready(id entity.UpstreamID, bornMillis int64, now time.Time) bool
	// Take records that a request is sent, and returns a stamp that belongs to its answer.
	Take(id entity.UpstreamID, bornMillis int64, now time.Time) uint64
	// Wait returns the time until this host may send a request without asking for it, zero if it must ask. It returns
	// false if that is not known.
	Wait(id entity.UpstreamID, bornMillis int64, now time.Time) (time.Duration, bool)
	// CanAsk reports whether a request may be asked for, either because one waits or as a spare.
	CanAsk(id entity.UpstreamID, bornMillis int64, spare bool, now time.Time) bool
}

// LimitAsk is a request to a limited upstream that must be asked for.
type LimitAsk struct {
	// Request is the waiting request, empty if none waits.
	Request  entity.RequestID
	Upstream entity.UpstreamID
	// MaxWait is how long the request can wait.
	MaxWait time.Duration
}

const (
	// limitWaitShare is the share of the time that a request has left for which it waits for a request to a limited
	// upstream; the rest is for the attempt. maxLimitWait bounds that time.
	limitWaitShare = 0.5
	maxLimitWait   = 3 * time.Second
)

// TakeLimitAsks returns the requests to limited upstreams that must be asked for. The answers are passed to
// HandleLimitAnswer.
func (s *Scheduler) TakeLimitAsks() []LimitAsk {
	asks := s.limitAsks
	s.limitAsks = nil
	return asks
}

// limitsActive reports whether any request limit is known.
func (s *Scheduler) limitsActive() bool { return s.opts.Limits != nil && s.opts.Limits.Active() }

// withinLimit reports whether the request limit of an upstream allows another request now.
func (s *Scheduler) withinLimit(t *target, now time.Time) bool {
	return !s.limitsActive() || s.opts.Limits.Ready(t.ID, t.BornMillis, now)
}

// takeFromLimit records that a request is sent to an upstream.
func (s *Scheduler) takeFromLimit(t *target, now time.Time) uint64 {
	if !s.limitsActive() {
		return 0
	}
	return s.opts.Limits.Take(t.ID, t.BornMillis, now)
}

// limitWait returns how long a request must wait because of the request limit of an upstream. It returns false if that
// is not known.
func (s *Scheduler) limitWait(r *Request, t *target, now time.Time) (time.Duration, bool) {
	if s.withinLimit(t, now) {
		return 0, true
	}
	if until, ok := r.limitRefused[t.ID]; ok && until.After(now) {
		return until.Sub(now), true
	}
	return s.opts.Limits.Wait(t.ID, t.BornMillis, now)
}

// keptByLimit reports whether an upstream would accept a request if its request limit allowed it.
func (s *Scheduler) keptByLimit(r *Request, now time.Time) bool {
	if !s.limitsActive() {
		return false
	}
	for _, t := range s.byService[r.Pool.Service] {
		if t.serves(r.Pool, now) && t.accepts(now) && !s.withinLimit(t, now) {
			return true
		}
	}
	return false
}

// limitedTarget returns the limited upstream with the lowest load that would accept a request if its limit allowed
// it, or nil.
func (s *Scheduler) limitedTarget(r *Request, spare bool, now time.Time) *target {
	var best *target
	for _, t := range s.byService[r.Pool.Service] {
		if !t.serves(r.Pool, now) || !t.accepts(now) || s.withinLimit(t, now) || now.Before(r.limitRefused[t.ID]) {
			continue
		}
		if !s.opts.Limits.CanAsk(t.ID, t.BornMillis, spare, now) {
			continue
		}
		if best == nil || t.estimatedLoad(now) < best.estimatedLoad(now) {
			best = t
		}
	}
	return best
}

// askForLimited asks for a request to a limited upstream on behalf of a waiting request that no other upstream accepts
// now.
func (s *Scheduler) askForLimited(r *Request, now time.Time) {
	if r.limitAsked || !s.limitsActive() {
		return
	}
	if t := s.limitedTarget(r, false, now); t != nil {
		r.limitAsked = true
		s.limitAsks = append(s.limitAsks, LimitAsk{Request: r.ID, Upstream: t.ID, MaxWait: min(time.Duration(limitWaitShare*float64(r.timeLeft(now))), maxLimitWait)})
	}
}

// askForSpare asks for a request to a limited upstream that could have served a request which is sent elsewhere. A
// later request uses it. The capacity of the upstream is used that way, and its answer shows whether the limit still
// applies.
func (s *Scheduler) askForSpare(r *Request, now time.Time) {
	if !s.limitsActive() {
		return
	}
	if t := s.limitedTarget(r, true, now); t != nil {
		s.limitAsks = append(s.limitAsks, LimitAsk{Upstream: t.ID})
	}
}

// HandleLimitAnswer processes the answer to a LimitAsk. If it was refused, wait is the time after which to ask again.
func (s *Scheduler) HandleLimitAnswer(id entity.RequestID, upstream entity.UpstreamID, granted bool, wait time.Duration, now time.Time) []Decision {
	r := s.requests[id]
	if r != nil && r.limitAsked {
		r.limitAsked = false
		if !granted {
			r.refuseLimit(upstream, now.Add(wait))
		}
		if !r.running {
			s.dispatchPool(s.queues[r.Pool], now)
		}
		if _, active := s.requests[id]; active && !r.running {
			s.refuseIfUnservable(r, now)
		}
	}
	if t := s.targets[upstream]; t != nil && granted {
		s.dispatchService(t.Service, now)
	}
	return s.takeDecisions()
}

// refuseLimit records that no request to a limited upstream is to be asked for before a point in time.
func (r *Request) refuseLimit(upstream entity.UpstreamID, until time.Time) {
	if r.limitRefused == nil {
		r.limitRefused = make(map[entity.UpstreamID]time.Time)
	}
	r.limitRefused[upstream] = until
}

// ForgetLimitAsks drops the asks that have no answer yet, because there is no longer a coordinator or a new one. The
// waiting requests ask again.
func (s *Scheduler) ForgetLimitAsks() {
	s.limitAsks = nil
	for _, r := range s.requests {
		r.limitAsked = false
		clear(r.limitRefused)
	}
}
