package schedule

import (
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// Target describes one upstream of a pool, as given by the placement or, for plain services, by the platform's list
// of upstreams.
type Target struct {
	Upstream entity.UpstreamID
	// Slots is the number of requests that the target runs concurrently.
	Slots int
}

// target is one entry of the target table.
type target struct {
	upstream *upstream
	slots    int
	// removed is set when the target is no longer listed. It then finishes its running requests and gets no
	// new ones.
	removed bool
}

// pool holds the waiting requests and the targets of one PoolID.
type pool struct {
	id      PoolID
	flows   map[entity.WorkspaceID]*flow
	targets []*target
	// virtualTime is the start tag of the last dispatched request under start-time fair queueing.
	virtualTime float64
	// queued holds the number of waiting requests by class.
	queued  [2]int
	running int
	// serviceTime is the smoothed time from dispatch to the end of an answer; serviceSampleCount is the
	// number of answers that it covers.
	serviceTime        time.Duration
	serviceSampleCount int
}

func (p *pool) queuedTotal() int { return p.queued[entity.Interactive] + p.queued[entity.Patient] }

// isActive reports whether the pool has requests. An active pool is kept even if it is no longer configured.
func (p *pool) isActive() bool { return p.running > 0 || p.queuedTotal() > 0 }

// setTargets replaces the targets and keeps the entries of targets that are still listed. It calls lookup for the
// upstream of each new target.
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

// target returns the target of the pool at an upstream, or nil.
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

// nextRequest returns the request to dispatch next in a tier by start-time fair queueing, and its flow. Both are nil
// if no request waits in the tier.
func (p *pool) nextRequest(tier entity.Class, now time.Time) (*flow, *Request) {
	var best *flow
	var bestRequest *Request
	var bestStart float64
	for _, f := range p.flows {
		r := f.head(tier, now)
		if r == nil {
			continue
		}
		start := max(p.virtualTime, f.virtualFinish)
		if best == nil || start < bestStart || start == bestStart && r.Deadline.Before(bestRequest.Deadline) {
			best, bestRequest, bestStart = f, r, start
		}
	}
	return best, bestRequest
}

// charge advances the virtual times of the pool and the flow for a request that is dispatched now.
func (p *pool) charge(f *flow, r *Request) {
	start := max(p.virtualTime, f.virtualFinish)
	p.virtualTime = start
	f.virtualFinish = start + r.Tokens/f.weight
}

// observeServiceTime adds the service time of a completed request to the smoothed value.
func (p *pool) observeServiceTime(d time.Duration) {
	p.serviceSampleCount++
	if p.serviceSampleCount == 1 {
		p.serviceTime = d
		return
	}
	p.serviceTime += (d - p.serviceTime) / 8
}

// slots returns the number of requests that all targets together run concurrently.
func (p *pool) slots() int {
	n := 0
	for _, t := range p.targets {
		n += t.slots
	}
	return n
}

// backlog estimates how long a request that arrives now waits for the requests queued before it.
func (p *pool) backlog() time.Duration {
	slots := p.slots()
	if slots == 0 || p.serviceSampleCount == 0 {
		return 0
	}
	return p.serviceTime * time.Duration(p.queuedTotal()) / time.Duration(slots)
}
