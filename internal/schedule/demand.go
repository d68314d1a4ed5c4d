package schedule

import (
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

// Demand returns the sums of the models whose demand changed since the last call, or with all
// set those of every model with work. All pools of a model are listed together, because a list
// replaces what the receiver knows of the model. A model that has become idle is reported once.
func (s *Scheduler) Demand(all bool, now time.Time) []wire.ModelDemand {
	models := make(map[entity.ModelID]bool)
	for id := range s.changed {
		delete(s.changed, id)
		if id.Kind == "" {
			models[id.Model] = true
		}
	}
	if all {
		for id, p := range s.pools {
			if id.Kind == "" && p.active() {
				models[id.Model] = true
			}
		}
	}
	var out []wire.ModelDemand
	for m := range models {
		out = s.appendModel(out, m, now)
	}
	return out
}

func (s *Scheduler) appendModel(out []wire.ModelDemand, m entity.ModelID, now time.Time) []wire.ModelDemand {
	before := len(out)
	for id, p := range s.byModel[m] {
		if p.active() {
			out = append(out, s.demandOf(id, now))
		}
	}
	if len(out) == before {
		out = append(out, wire.ModelDemand{Model: m})
	}
	return out
}

func (s *Scheduler) demandOf(id PoolID, now time.Time) wire.ModelDemand {
	d := wire.ModelDemand{Model: id.Model, Adapter: id.Adapter}
	p, ok := s.pools[id]
	if !ok {
		return d
	}
	d.WaitingInteractive = p.queued[entity.Interactive]
	d.WaitingPatient = p.queued[entity.Patient]
	d.Running = p.running
	d.OldestDeadline = p.earliestDeadline(now)
	return d
}

// earliestDeadline returns the time left to the earliest deadline of a waiting request, zero if
// none waits.
func (p *pool) earliestDeadline(now time.Time) time.Duration {
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

// Status is a summary for the operator view.
type Status struct {
	Queued      int          `json:"queued"`
	QueuedBytes int64        `json:"queued_bytes"`
	Requests    int          `json:"requests"`
	Pools       []PoolStatus `json:"pools"`
}

// PoolStatus is the summary of one pool with work or targets.
type PoolStatus struct {
	Model              entity.ModelID      `json:"model,omitempty"`
	Adapter            entity.AdapterID    `json:"adapter,omitempty"`
	Kind               string              `json:"kind,omitempty"`
	WaitingInteractive int                 `json:"waiting_interactive"`
	WaitingPatient     int                 `json:"waiting_patient"`
	Running            int                 `json:"running"`
	Targets            []entity.UpstreamID `json:"targets"`
}

// Status returns the current summary.
func (s *Scheduler) Status() Status {
	st := Status{Queued: s.queuedCount, QueuedBytes: s.queuedBytes, Requests: len(s.requests)}
	for id, p := range s.pools {
		if !p.active() && len(p.targets) == 0 {
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

// Requests returns the number of requests in the table, queued and running.
func (s *Scheduler) Requests() int { return len(s.requests) }
