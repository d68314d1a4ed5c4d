package schedule

import (
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// Target is one upstream of a pool as the placement or the platform's list describes it.
type Target struct {
	Upstream entity.UpstreamID
	// Slots is the number of requests that the target runs at the same time.
	Slots int
}

// target is one row of the target table.
type target struct {
	upstream *upstream
	slots    int
	// removed targets finish what they run and get nothing new.
	removed bool
}

// pool holds the waiting requests and the targets of one PoolID.
type pool struct {
	id      PoolID
	flows   map[entity.WorkspaceID]*flow
	targets []*target
	// virtual is the start tag of the last dispatched request under start-time fair queueing.
	virtual float64
	queued  [2]int
	running int
	// service is the smoothed time from dispatch to the end of an answer.
	service  time.Duration
	finished int
}

func (p *pool) queuedTotal() int { return p.queued[entity.Interactive] + p.queued[entity.Patient] }

// active says whether the pool must be kept although nothing lists it.
func (p *pool) active() bool { return p.running > 0 || p.queuedTotal() > 0 }

// setTargets replaces the targets and keeps the rows of those that stay.
func (p *pool) setTargets(list []Target, lookup func(entity.UpstreamID) *upstream) {
	former := make(map[entity.UpstreamID]*target, len(p.targets))
	for _, t := range p.targets {
		former[t.upstream.id] = t
	}
	next := make([]*target, 0, len(list))
	for _, d := range list {
		t, ok := former[d.Upstream]
		if !ok {
			t = &target{upstream: lookup(d.Upstream)}
			t.upstream.attach(p)
		}
		delete(former, d.Upstream)
		t.slots = d.Slots
		next = append(next, t)
	}
	for _, t := range former {
		t.removed = true
		t.upstream.detach(p)
	}
	p.targets = next
}

// target returns the target at an upstream, or nil.
func (p *pool) target(id entity.UpstreamID) *target {
	if id == "" {
		return nil
	}
	for _, t := range p.targets {
		if t.upstream.id == id {
			return t
		}
	}
	return nil
}

// dropTarget removes a target until the placement lists it again.
func (p *pool) dropTarget(id entity.UpstreamID) {
	for i, t := range p.targets {
		if t.upstream.id != id {
			continue
		}
		t.removed = true
		t.upstream.detach(p)
		p.targets = append(p.targets[:i:i], p.targets[i+1:]...)
		return
	}
}

// next returns the flow and request to run next in a tier by start-time fair queueing, or nil.
func (p *pool) next(tier entity.Class, now time.Time) (*flow, *Request) {
	var best *flow
	var bestRequest *Request
	var bestStart float64
	for _, f := range p.flows {
		r := f.head(tier, now)
		if r == nil {
			continue
		}
		start := max(p.virtual, f.finish)
		if best == nil || start < bestStart || start == bestStart && r.Deadline.Before(bestRequest.Deadline) {
			best, bestRequest, bestStart = f, r, start
		}
	}
	return best, bestRequest
}

// charge advances the virtual time by the cost of a dispatched request.
func (p *pool) charge(f *flow, r *Request) {
	start := max(p.virtual, f.finish)
	p.virtual = start
	f.finish = start + r.Tokens/f.weight
}

// observe takes over the time that a completed answer took.
func (p *pool) observe(d time.Duration) {
	p.finished++
	if p.finished == 1 {
		p.service = d
		return
	}
	p.service += (d - p.service) / 8
}

// slots returns the requests that all targets together run at the same time.
func (p *pool) slots() int {
	n := 0
	for _, t := range p.targets {
		n += t.slots
	}
	return n
}

// backlog estimates how long a request that arrives now waits until the queue before it is done.
func (p *pool) backlog() time.Duration {
	slots := p.slots()
	if slots == 0 || p.finished == 0 {
		return 0
	}
	return p.service * time.Duration(p.queuedTotal()) / time.Duration(slots)
}
