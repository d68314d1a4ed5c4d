package schedule

import (
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

// Demand returns the numbers of waiting and running requests, by pool, of the models whose demand changed since the
// last call. If complete is set, it also returns those of every other model with requests. All pools of a model
// are listed together, because the receiver replaces its whole state of a listed model. A model that has become
// idle is reported once.
func (s *Scheduler) Demand(complete bool, now time.Time) []wire.ModelDemand {
	models := make(map[entity.ModelID]bool)
	for id := range s.changed {
		delete(s.changed, id)
		if id.Kind == "" {
			models[id.Model] = true
		}
	}
	if complete {
		for id, p := range s.pools {
			if id.Kind == "" && p.isActive() {
				models[id.Model] = true
			}
		}
	}
	var out []wire.ModelDemand
	for m := range models {
		out = s.appendModelDemand(out, m, now)
	}
	return out
}

// appendModelDemand appends the demand of all active pools of a model, or a row without requests if there
// are none.
func (s *Scheduler) appendModelDemand(out []wire.ModelDemand, m entity.ModelID, now time.Time) []wire.ModelDemand {
	before := len(out)
	for id, p := range s.byModel[m] {
		if p.isActive() {
			out = append(out, s.poolDemand(id, now))
		}
	}
	if len(out) == before {
		out = append(out, wire.ModelDemand{Model: m})
	}
	return out
}

func (s *Scheduler) poolDemand(id PoolID, now time.Time) wire.ModelDemand {
	d := wire.ModelDemand{Model: id.Model, Adapter: id.Adapter}
	p, ok := s.pools[id]
	if !ok {
		return d
	}
	d.WaitingInteractive = p.queued[entity.Interactive]
	d.WaitingPatient = p.queued[entity.Patient]
	d.Running = p.running
	d.OldestDeadline = p.timeToDeadline(now)
	return d
}

// timeToDeadline returns the time until the earliest deadline of the waiting requests, and zero if no request
// waits.
func (p *pool) timeToDeadline(now time.Time) time.Duration {
	var first time.Time
	for _, f := range p.flows {
		for c := range f.byClass {
			r := f.byClass[c].peek()
			if r != nil && (first.IsZero() || r.Deadline.Before(first)) {
				first = r.Deadline
			}
		}
	}
	if first.IsZero() {
		return 0
	}
	return first.Sub(now)
}

// Status summarizes the tables of a Scheduler for operators.
type Status struct {
	Queued      int          `json:"queued"`
	QueuedBytes int64        `json:"queued_bytes"`
	Requests    int          `json:"requests"`
	Pools       []PoolStatus `json:"pools"`
}

// PoolStatus summarizes one pool. Pools without requests and targets are not listed.
type PoolStatus struct {
	Model              entity.ModelID      `json:"model,omitempty"`
	Adapter            entity.AdapterID    `json:"adapter,omitempty"`
	Kind               string              `json:"kind,omitempty"`
	WaitingInteractive int                 `json:"waiting_interactive"`
	WaitingPatient     int                 `json:"waiting_patient"`
	Running            int                 `json:"running"`
	Targets            []entity.UpstreamID `json:"targets"`
}

// Status returns a summary of the current tables.
func (s *Scheduler) Status() Status {
	st := Status{Queued: s.queuedCount, QueuedBytes: s.queuedBytes, Requests: len(s.requests)}
	for id, p := range s.pools {
		if !p.isActive() && len(p.targets) == 0 {
			continue
		}
		ps := PoolStatus{
			Model:              id.Model,
			Adapter:            id.Adapter,
			Kind:               id.Kind,
			WaitingInteractive: p.queued[entity.Interactive],
			WaitingPatient:     p.queued[entity.Patient],
			Running:            p.running,
		}
		for _, t := range p.targets {
			ps.Targets = append(ps.Targets, t.upstream.id)
		}
		st.Pools = append(st.Pools, ps)
	}
	return st
}

// RequestCount returns the number of queued and running requests.
func (s *Scheduler) RequestCount() int { return len(s.requests) }
