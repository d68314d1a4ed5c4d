package dispatch

import (
	"hash/fnv"
	"math"
	"slices"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/prefill"
	"github.com/foxtailpass/foxtailpass/internal/speed"
)

// longPromptSlack is the cost above the lowest one up to which a long prompt is sent to the next upstream in the order of
// this host rather than to the one with the lowest cost. It is that of half of a full mean upstream's slots.
const longPromptSlack = 0.8

// longReplicaCost is the cost of an upstream that reads long prompts all the time, for a prompt that is not long.
const longReplicaCost = 1.0

// promptCost is what the prompt of a request means at an upstream, in seconds: the time to read it, and the room for it.
// long is set if no upstream has the room.
type promptCost struct {
	seconds, room float64
	long          bool
	// sharing is the number of hosts that share the upstream for long prompts.
	sharing int
}

// SetHosts sets the place of this host among all hosts.
func (s *Scheduler) SetHosts(h prefill.Hosts) { s.hosts = h }

// demands records the demands of a request's caller, and returns the strictest at its service.
func (s *Scheduler) demands(r *Request, now time.Time) prefill.Demands {
	callers := s.callers[r.Pool.Service]
	if callers == nil {
		callers = new(prefill.Callers)
		s.callers[r.Pool.Service] = callers
	}
	own := prefill.Demands{Interval: targetInterval(r.Route), Aim: targetLatency(r.Route)}
	callers.Add(own, now)
	return callers.Demands(own)
}

// promptCost returns what the prompt of a request means at an upstream.
func (s *Scheduler) promptCost(t *target, ch choice, pace speed.Pace) promptCost {
	pause := 0.0
	if running := t.estimatedLoad(ch.now); running >= 1 && ch.view.Known(speed.Gap) {
		pause = ch.view.Pause(pace, running/float64(max(t.Slots, 1)))
	}
	// An upstream stops reading at the deadline of the request.
	timeLeft := max(ch.request.Deadline.Sub(ch.now).Seconds(), 0)
	return promptCost{
		seconds: min(float64(ch.request.PromptTokens)*ch.view.Prefill(pace), timeLeft),
		room:    prefill.Room(ch.demands, pause),
		sharing: 1,
	}
}

// markLong finds out whether the prompt is long at every candidate. It adds the cost of the replicas that are needed for
// long prompts to those candidates, if the prompt is not long.
func (s *Scheduler) markLong(ch choice) bool {
	demand := s.longDemands[ch.request.Pool.longPool()]
	long, seconds := true, math.Inf(1)
	for _, c := range s.candidates {
		long = long && c.prefill.seconds > c.prefill.room
		seconds = min(seconds, c.prefill.seconds)
	}
	if demand == nil {
		if !long {
			return false
		}
		demand = new(prefill.Demand)
		s.longDemands[ch.request.Pool.longPool()] = demand
	}
	needed, used := demand.Replicas(s.hosts, len(s.serving), ch.now)
	switch {
	case long:
		demand.Add(seconds, ch.now)
	case demand.Ended(ch.now):
		delete(s.longDemands, ch.request.Pool.longPool())
		return false
	}
	s.orderForLong(ch, needed)
	sharing := s.hosts.Sharing(needed)
	for i := range s.candidates {
		c := &s.candidates[i]
		c.prefill.long, c.prefill.sharing = long, sharing
		if !long && slices.ContainsFunc(s.order[:needed], func(o int) bool { return s.serving[o] == c.target }) {
			c.cost += longReplicaCost * used
		}
	}
	return long
}

// orderForLong sorts the upstreams that serve the pool into the order of this host for long prompts.
func (s *Scheduler) orderForLong(ch choice, needed int) {
	s.order, s.hashes = s.order[:0], s.hashes[:0]
	for i, t := range s.serving {
		h := fnv.New64a()
		_, _ = h.Write([]byte(string(ch.request.Pool.Model) + "/" + string(t.ID)))
		s.order, s.hashes = append(s.order, i), append(s.hashes, h.Sum64())
	}
	s.hosts.Order(s.order, needed, func(i int) uint64 { return s.hashes[i] })
}

// longPool returns the pool by which long prompts are counted.
func (p Pool) longPool() Pool { return Pool{Service: p.Service, Model: p.Model} }

// pickForLong returns the index of the candidate for a long prompt: the first in the order of this host that its long
// prompts do not occupy. It returns -1 if there is none.
func (s *Scheduler) pickForLong(ch choice) int {
	lowest := s.candidates[cheapest(s.candidates)].cost
	for _, o := range s.order {
		i := slices.IndexFunc(s.candidates, func(c candidate) bool { return c.target == s.serving[o] })
		if i < 0 {
			continue
		}
		c := s.candidates[i]
		if c.cost <= lowest+longPromptSlack && !c.target.ledger.Occupied(c.prefill.sharing, ch.now) {
			return i
		}
	}
	return -1
}

// LongPrompts are the numbers of long prompts that were sent to an upstream in the order of this host, and to others
// because those were occupied or too slow.
type LongPrompts struct{ InOrder, Elsewhere int64 }

// LongPrompts returns the numbers of long prompts that were sent.
func (s *Scheduler) LongPrompts() LongPrompts { return s.longPrompts }
