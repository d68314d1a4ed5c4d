package dispatch

import (
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// Queued describes where a waiting request stands.
type Queued struct {
	// Holders is the number of upstreams that serve its pool, Waiting that of the pool's requests.
	Holders int
	Waiting int
	ReadyIn time.Duration
	// Estimated says that ReadyIn is known.
	Estimated bool
}

// Queued returns where a waiting request stands, and false when it does not wait.
func (s *Scheduler) Queued(id entity.RequestID, now time.Time) (Queued, bool) {
	r := s.requests[id]
	if r == nil || r.running {
		return Queued{}, false
	}
	var q Queued
	for _, t := range s.byService[r.Pool.Service] {
		if t.serves(r.Pool, now) {
			q.Holders++
		}
	}
	if waiting := s.queues[r.Pool]; waiting != nil {
		q.Waiting = len(waiting.waiting)
	}
	if q.Holders == 0 {
		q.ReadyIn, q.Estimated = s.readyIn(r.Pool, now)
	}
	return q, true
}

// Running is the number of this host's requests of one model at one upstream.
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

// RunningAt counts this host's running requests by upstream.
func (s *Scheduler) RunningAt() map[entity.UpstreamID]int {
	out := make(map[entity.UpstreamID]int)
	for id, t := range s.targets {
		if t.inflight > 0 {
			out[id] = t.inflight
		}
	}
	return out
}

// Waiting lists the pools with waiting requests that no upstream serves.
func (s *Scheduler) Waiting(now time.Time) []Waiting {
	var out []Waiting
	for _, q := range s.ordered {
		if q.pool.Model == "" {
			continue
		}
		w := Waiting{Pool: q.pool, Count: len(q.waiting)}
		for i, r := range q.waiting {
			if slack := r.Arrived.Add(r.Route.Target).Sub(now); i == 0 || slack > w.Slack {
				w.Slack = slack
			}
		}
		out = append(out, w)
	}
	return out
}

// Down lists the upstreams that are left out because they could not be reached.
func (s *Scheduler) Down(now time.Time) []entity.UpstreamID {
	var out []entity.UpstreamID
	for id, t := range s.unreachable {
		switch {
		case s.targets[id] != t || !t.unreachable:
			delete(s.unreachable, id)
		case now.Before(t.ejected):
			out = append(out, id)
		}
	}
	return out
}

// Budgets returns the retries that are left by service, as of the last request.
func (s *Scheduler) Budgets() map[catalog.ServiceID]float64 {
	out := make(map[catalog.ServiceID]float64, len(s.budgets))
	for id, b := range s.budgets {
		out[id] = b.level
	}
	return out
}
