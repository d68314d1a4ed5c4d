package load

import (
	"context"
	"math/rand/v2"
	"runtime"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// Run executes a scenario and returns its report. When ctx ends, Run stops sending, waits for the open requests
// and reports on the requests that were sent.
func Run(ctx context.Context, s Scenario) (*Report, error) {
	s = s.withDefaults()
	if err := s.validate(); err != nil {
		return nil, err
	}
	r := newRunner(s)
	r.dispatch(ctx)
	r.pending.Wait()
	return r.results.report(s, r.startTime, time.Since(r.startTime)), nil
}

// runner executes one scenario.
type runner struct {
	scenario  Scenario
	timeout   time.Duration
	balancer  *balancer
	buckets   map[entity.WorkspaceID]*bucket
	results   *collector
	startTime time.Time
	inFlight  atomic.Int64
	pending   sync.WaitGroup
}

func newRunner(s Scenario) *runner {
	r := &runner{
		scenario: s,
		timeout:  time.Duration(s.TimeoutMillis) * time.Millisecond,
		balancer: newBalancer(s),
		buckets:  map[entity.WorkspaceID]*bucket{},
		results:  newCollector(s),
	}
	for w, rate := range s.Workspaces {
		r.buckets[w] = newBucket(rate)
	}
	return r
}

// dispatch sends every request at its intended send time, each in its own goroutine. A request is therefore sent on
// time even if earlier ones have no answer yet.
func (r *runner) dispatch(ctx context.Context) {
	plan := newSchedule(&r.scenario, entity.RandomHex(4))
	r.startTime = time.Now()
	for q := plan.take(); q != nil; q = plan.take() {
		if !r.waitUntil(ctx, r.startTime.Add(q.sendAt)) {
			return
		}
		r.checkRateLimit(q)
		r.results.recordSent(q, time.Since(r.startTime)-q.sendAt)
		if r.inFlight.Load() >= int64(r.scenario.MaxInFlight) {
			r.results.recordNotSent(q)
			continue
		}
		c := r.balancer.pick(q.sendAt)
		r.inFlight.Add(1)
		r.pending.Go(func() { r.send(c, q) })
	}
}

// spinWindow is how long before a send time the precise mode changes from a timer to busy waiting, because timers
// fire up to about 1 ms late.
const spinWindow = 1500 * time.Microsecond

// waitUntil waits until the given time and returns true. If ctx ends before that, it returns false.
func (r *runner) waitUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if r.scenario.Precise {
		wait -= spinWindow
	}
	if wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return false
		}
	}
	for r.scenario.Precise && time.Now().Before(at) {
		runtime.Gosched()
	}
	return ctx.Err() == nil
}

// checkRateLimit records whether the exact central token bucket of the workspace admits the request. It must be
// called in the order of the intended send times.
func (r *runner) checkRateLimit(q *request) {
	b := r.buckets[q.class.Workspace]
	if b == nil {
		return
	}
	q.limited = true
	q.withinRate = b.admit(q.sendAt, q.cost)
}

func (r *runner) send(c *client, q *request) {
	defer r.inFlight.Add(-1)
	res := c.send(q, r.startTime.Add(q.sendAt), r.timeout, r.scenario.CheckAnswers)
	if res.connectFailed {
		r.balancer.eject(c, time.Since(r.startTime))
	}
	r.results.ended(c.addr, q, res)
	if r.scenario.Observe != nil {
		r.scenario.Observe(r.newSample(c.addr, q, res))
	}
}

func (r *runner) newSample(target string, q *request, res result) Sample {
	return Sample{
		At: r.startTime.Add(q.sendAt), Group: q.class.Group, Workspace: q.class.Workspace, Model: q.model, Target: target,
		Complete: res.outcome == outcomeComplete, Refused: res.outcome == outcomeRefused, ErrorEvent: res.outcome == outcomeErrorEvent,
		Code: res.code, First: res.firstToken, Whole: res.whole,
	}
}

// balancer chooses the target of each request. Only the dispatcher calls pick; eject may be called
// concurrently.
type balancer struct {
	policy  string
	clients []*client
	// cumulativeWeights holds the running sums of the weights of the skewed policy.
	cumulativeWeights []float64
	rng               *rand.Rand
	next              int
	ejectDuration     time.Duration
	mu                sync.Mutex
}

// balancerSeedStream is the random number stream of the balancer. It must differ from the streams of the
// request classes, which are numbered from 0.
const balancerSeedStream = 1 << 40

func newBalancer(s Scenario) *balancer {
	b := &balancer{
		policy:        s.Balancer.Policy,
		rng:           rand.New(rand.NewPCG(s.Seed, balancerSeedStream)),
		ejectDuration: time.Duration(s.Balancer.EjectMillis) * time.Millisecond,
	}
	for _, addr := range s.Targets {
		b.clients = append(b.clients, newClient(addr, s.ConnectionsPerTarget, time.Duration(s.TimeoutMillis)*time.Millisecond))
	}
	sum := 0.0
	for _, w := range s.Balancer.Weights {
		sum += w
		b.cumulativeWeights = append(b.cumulativeWeights, sum)
	}
	return b
}

// pick returns the target that the policy chooses or, if that one is ejected, the next one that is not. If all
// targets are ejected, pick returns the chosen one.
func (b *balancer) pick(now time.Duration) *client {
	i := b.pickIndex()
	b.mu.Lock()
	defer b.mu.Unlock()
	for range b.clients {
		if c := b.clients[i]; c.ejectedUntil <= now {
			return c
		}
		i = (i + 1) % len(b.clients)
	}
	return b.clients[i]
}

func (b *balancer) pickIndex() int {
	n := len(b.clients)
	switch b.policy {
	case BalanceRandom:
		return b.rng.IntN(n)
	case BalanceSkewed:
		x := b.rng.Float64() * b.cumulativeWeights[n-1]
		// Searching for the first sum above x skips targets with weight zero.
		return min(sort.Search(n, func(i int) bool { return b.cumulativeWeights[i] > x }), n-1)
	}
	b.next++
	return (b.next - 1) % n
}

func (b *balancer) eject(c *client, now time.Duration) {
	if b.ejectDuration <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	c.ejectedUntil = now + b.ejectDuration
}
