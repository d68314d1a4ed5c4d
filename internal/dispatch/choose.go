package dispatch

import (
	"math"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/prefill"
	"github.com/foxtailpass/foxtailpass/internal/speed"
)

// With learned speeds, the cost of an upstream for a request is the sum of the expected time to the first event, in
// multiples of the route's target latency, and of the expected longest pause, in multiples of the pause that callers
// accept. Hosts decide on loads of other hosts that are up to some hundred milliseconds old, and would all send to the
// upstream with the lowest cost until they hear of each other. So the requests that all hosts send in that time are
// spread as if they were placed one by one: an upstream is chosen at random by the number of requests that it can take
// until its cost reaches a common level, at which all upstreams together have taken them.

const (
	// defaultTargetInterval is the pause between two events of a stream that callers accept if their route states none,
	// and defaultTargetLatency the time to the first event or answer.
	defaultTargetInterval = 300 * time.Millisecond
	defaultTargetLatency  = time.Second
	// riskShare is the share of a target from which the cost rises faster, by riskSlope, because the time varies and more
	// of the answers are late.
	riskShare = 0.6
	riskSlope = 3.0
	// slotCost is the cost of a full mean upstream apart from its times. It spreads requests over upstreams that are all
	// fast enough.
	slotCost = 0.4
	// maxAssessed bounds the upstreams that one choice assesses. Among so many, it spreads requests as well as among all.
	maxAssessed = 64
	// minSlope bounds below by how much a request raises the cost of an upstream.
	minSlope = 1e-3
	// maxCost bounds the cost of an upstream, and by how much a request raises it. Costs below it can be added up without
	// losing a single request in rounding.
	maxCost = 1e9
	// unseenShare is the number of requests that all hosts are assumed to send before they hear of each other, as a share of
	// the running ones, and unseenRequests that number if none runs. Streams last about 1.5 s, and reports take up to half
	// of that. With a smaller share, the loads of equal upstreams oscillate between none and twice the mean.
	unseenShare    = 0.5
	unseenRequests = 2.0
)

// candidate is an upstream that accepts a request, with its cost, by how much each request raises the cost, and how many
// more it can take.
type candidate struct {
	target            *target
	cost, slope, free float64
	prefill           promptCost
}

// choice is a request whose upstream is chosen by learned speeds.
type choice struct {
	request *Request
	view    speed.View
	cached  entity.UpstreamID
	now     time.Time
	// forLong are the upstreams for long prompts if these are kept apart by a fixed length.
	forLong map[*target]bool
	// budget is set if what upstreams have to read is bounded, with the demands of callers at the service.
	budget  bool
	demands prefill.Demands
}

// chooseBySpeed returns an upstream that accepts the request now, or nil.
func (s *Scheduler) chooseBySpeed(r *Request, now time.Time) *target {
	ch := choice{request: r, view: s.opts.Speeds.View(r.Pool.Service, r.Pool.Model, now), cached: s.affinity[r.Affinity], now: now}
	ch.budget = s.opts.PrefillBudget && r.Pool.Model != "" && ch.view.Known(speed.First)
	switch {
	case ch.budget:
		ch.demands = s.demands(r, now)
	case !s.opts.Policy.MixPrompts:
		ch.forLong = s.longPromptReplicas(r.Pool)
	}
	s.candidates, s.serving = s.candidates[:0], s.serving[:0]
	s.chosenPrompt = promptCost{}
	unseen := unseenRequests
	yields := s.sharesYield(r, now)
	targets := s.byService[r.Pool.Service]
	start := 0
	if len(targets) > maxAssessed {
		start = s.opts.Rand.IntN(len(targets))
	}
	for i := range targets {
		t := targets[(start+i)%len(targets)]
		if len(s.candidates) >= maxAssessed && t.ID != ch.cached || !t.serves(r.Pool, now) {
			continue
		}
		s.serving = append(s.serving, t)
		if !t.accepts(now) || !s.withinLimit(t, now) || t.NoStreamsBegin && r.Route.Resumable || yields && t.lastSlot() {
			continue
		}
		s.candidates = append(s.candidates, s.assess(t, ch))
		unseen += unseenShare * t.estimatedLoad(now)
	}
	if len(s.candidates) == 0 {
		return nil
	}
	i := -1
	if ch.budget && s.markLong(ch) {
		if i = s.pickForLong(ch); i >= 0 {
			s.longPrompts.InOrder++
		} else {
			s.longPrompts.Elsewhere++
		}
	}
	if i < 0 {
		i = pick(s.candidates, unseen, s.opts.Rand.Float64())
	}
	s.chosenPrompt = s.candidates[i].prefill
	return s.candidates[i].target
}

// assess returns an upstream with its cost for a request. The bonuses and penalties that are shares of slots count as that
// share of slotCost.
func (s *Scheduler) assess(t *target, ch choice) candidate {
	r, view, now := ch.request, ch.view, ch.now
	pace := view.Pace(t.speed)
	running, pending := t.estimatedLoad(now), t.pendingPrefill(now)*view.Prefill(pace)
	c := candidate{target: t, free: max(float64(max(t.Slots, 1))-running, 0)}
	next := 0.0
	if ch.budget {
		pending = t.ledger.Pending(now)
		c.prefill = s.promptCost(t, ch, pace)
		c.cost = prefill.Harm(pending, c.prefill.seconds, c.prefill.room, running, ch.demands)
		next = prefill.Harm(pending, c.prefill.seconds, c.prefill.room, running+1, ch.demands)
	}
	c.cost += timeCost(t, r, view, pace, running, pending)
	next += timeCost(t, r, view, pace, running+1, pending)
	c.slope = next - c.cost
	if ch.forLong != nil && ch.forLong[t] != (r.PromptTokens >= longPromptTokens) {
		c.cost += slotCost * otherKindPenalty
	}
	c.cost += errorPenalty * t.errorRate
	if t.Domain == s.opts.Domain {
		c.cost -= slotCost * sameDomainBonus
	}
	if ch.cached == t.ID {
		c.cost -= slotCost * affinityBonus
	}
	if r.avoidUpstream == t.ID {
		c.cost += avoidPenalty
	}
	if t.drainingElsewhere != 0 && t.drainingElsewhere == t.BornMillis {
		c.cost += avoidPenalty
	}
	return c.bounded()
}

// bounded returns the candidate with its cost and slope within their bounds, the upper one if they are not a number.
func (c candidate) bounded() candidate {
	if math.IsNaN(c.cost) {
		c.cost = maxCost
	}
	if math.IsNaN(c.slope) {
		c.slope = maxCost
	}
	c.cost = min(max(c.cost, -maxCost), maxCost)
	c.slope = min(max(c.slope, minSlope), maxCost)
	return c
}

// timeCost returns the cost of an upstream that runs a number of requests and needs some seconds to read the prompts that it
// has.
func timeCost(t *target, r *Request, view speed.View, pace speed.Pace, running, pending float64) float64 {
	slots := float64(max(t.Slots, 1))
	load := (running + 1) / slots
	kind, cost := speed.First, 0.0
	if view.Known(speed.Gap) && r.Route.Kind == catalog.Streaming {
		kind = speed.Gap
		cost += risk(view.Pause(pace, load), targetInterval(r.Route))
	}
	if view.Known(speed.First) {
		cost += risk(view.Expect(pace, speed.First, float64(r.PromptTokens), load)+pending, targetLatency(r.Route))
	}
	return cost + slotCost*running/slots*pace[kind]
}

// risk returns the cost of an expected time in seconds, 1 at a little less than the target.
func risk(expected float64, target time.Duration) float64 {
	share := expected / target.Seconds()
	return share + riskSlope*max(share-riskShare, 0)
}

func targetInterval(r *catalog.Route) time.Duration {
	if r.TargetInterval > 0 {
		return r.TargetInterval
	}
	return defaultTargetInterval
}

func targetLatency(r *catalog.Route) time.Duration {
	if r.TargetLatency > 0 {
		return r.TargetLatency
	}
	return defaultTargetLatency
}

// pick returns the index of a candidate, -1 only if there is none. The probability of a candidate is proportional to the
// requests that it takes until its cost is the one at which all candidates together have taken the given number. random
// is in [0, 1).
func pick(candidates []candidate, requests, random float64) int {
	if len(candidates) == 0 {
		return -1
	}
	level := fillLevel(candidates, requests)
	total := 0.0
	for _, c := range candidates {
		total += c.takes(level)
	}
	random *= total
	chosen := cheapest(candidates)
	for i, c := range candidates {
		n := c.takes(level)
		if n == 0 {
			continue
		}
		chosen = i
		if random -= n; random < 0 {
			break
		}
	}
	return chosen
}

// cheapest returns the index of the candidate with the lowest cost.
func cheapest(candidates []candidate) int {
	lowest := 0
	for i, c := range candidates {
		if c.cost < candidates[lowest].cost {
			lowest = i
		}
	}
	return lowest
}

// takes returns the number of requests that the candidate takes until its cost is at a level.
func (c candidate) takes(level float64) float64 {
	return min(max(level-c.cost, 0)/c.slope, max(c.free, 1))
}

// fillLevel returns the cost at which all candidates together have taken a number of requests, apart from the limits of
// their slots. It begins with all candidates and leaves out those that are above the level, which lowers it, until none is.
// The sums are of costs above the lowest one: beside large costs, a few requests would be lost in rounding.
func fillLevel(candidates []candidate, requests float64) float64 {
	lowest := candidates[cheapest(candidates)].cost
	level := math.Inf(1)
	for {
		sum, rates := requests, 0.0
		for _, c := range candidates {
			if above := c.cost - lowest; above < level {
				sum += above / c.slope
				rates += 1 / c.slope
			}
		}
		if rates == 0 {
			return lowest + level
		}
		next := sum / rates
		if next >= level {
			// No candidate was left out, so the sums are the same as before.
			return lowest + next
		}
		level = next
	}
}

// LoadShare returns the estimated share of the slots of an upstream that are in use, zero if it is not known.
func (s *Scheduler) LoadShare(id entity.UpstreamID, now time.Time) float64 {
	t := s.targets[id]
	if t == nil {
		return 0
	}
	return t.estimatedLoad(now) / float64(max(t.Slots, 1))
}
