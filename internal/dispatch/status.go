package dispatch

import (
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// Queued describes the situation of a waiting request.
type Queued struct {
	// ServingCount is the number of upstreams that serve the pool of the request, Waiting the number of waiting
	// requests of the pool.
	ServingCount int
	// LimitedCount is how many of the serving upstreams have a request limit that allows no request now.
	LimitedCount int
	Waiting      int
	// ReadyIn is the estimated time until an upstream serves the pool, if none does now.
	ReadyIn time.Duration
	// Estimated is set if ReadyIn is known.
	Estimated bool
}

// Queued returns the situation of a waiting request, and false if the request does not wait.
func (s *Scheduler) Queued(id entity.RequestID, now time.Time) (Queued, bool) {
	r := s.requests[id]
	if r == nil || r.running {
		return Queued{}, false
	}
	var q Queued
	for _, t := range s.byService[r.Pool.Service] {
		if t.serves(r.Pool, now) {
			q.ServingCount++
			if !s.withinLimit(t, now) {
				q.LimitedCount++
			}
		}
	}
	if waiting := s.queues[r.Pool]; waiting != nil {
		q.Waiting = waiting.waiting.Len()
	}
	if q.ServingCount == 0 {
		q.ReadyIn, q.Estimated = s.readyIn(r.Pool, now)
	}
	return q, true
}

// Running is the number of this host's requests of one pool at one upstream.
type Running struct {
	Upstream entity.UpstreamID
	Pool     Pool
	Count    int
}

// Running lists this host's running requests by upstream and pool.
func (s *Scheduler) Running() []Running {
	var out []Running
	for id, t := range s.targets {
		for p, n := range t.byPool {
			out = append(out, Running{Upstream: id, Pool: p, Count: n})
		}
	}
	return out
}

// RunningAt returns the number of this host's running requests by upstream.
func (s *Scheduler) RunningAt() map[entity.UpstreamID]int {
	out := make(map[entity.UpstreamID]int)
	for id, t := range s.targets {
		if t.inflight > 0 {
			out[id] = t.inflight
		}
	}
	return out
}

// Waiting lists the model pools with waiting requests, which this host can send to no upstream now.
func (s *Scheduler) Waiting(now time.Time) []Waiting {
	var out []Waiting
	for _, q := range s.queueOrder {
		if q.pool.Model == "" {
			continue
		}
		w := Waiting{Pool: q.pool, Count: q.waiting.Len(), Workspaces: q.workspacesWaiting()}
		for i, r := range q.waiting.requests {
			if timeLeft := r.Arrived.Add(r.Route.TargetLatency).Sub(now); i == 0 || timeLeft > w.TimeToTarget {
				w.TimeToTarget = timeLeft
			}
		}
		out = append(out, w)
	}
	return out
}

// Unreachable lists the upstreams that are ejected because they could not be reached or did not answer in time.
func (s *Scheduler) Unreachable(now time.Time) []entity.UpstreamID {
	var out []entity.UpstreamID
	for id, t := range s.unreachable {
		switch {
		case s.targets[id] != t || !t.unreachable:
			delete(s.unreachable, id)
		case now.Before(t.ejectedUntil):
			out = append(out, id)
		}
	}
	return out
}

// Budgets returns the remaining retries by service, as of the last use of each budget.
func (s *Scheduler) Budgets() map[catalog.ServiceID]float64 {
	out := make(map[catalog.ServiceID]float64, len(s.budgets))
	for id, b := range s.budgets {
		out[id] = b.level
	}
	return out
}
