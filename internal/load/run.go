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

// Run carries out a scenario and returns its report. When ctx ends, sending stops and the
// report covers what was sent.
func Run(ctx context.Context, s Scenario) (*Report, error) {
	s = s.withDefaults()
	if err := s.validate(); err != nil {
		return nil, err
	}
	r := newRunner(s)
	r.dispatch(ctx)
	r.open.Wait()
	return r.collect.report(s, r.began, time.Since(r.began)), nil
}

type runner struct {
	scenario Scenario
	timeout  time.Duration
	balancer *balancer
	buckets  map[entity.WorkspaceID]*bucket
	collect  *collector
	began    time.Time
	inFlight atomic.Int64
	open     sync.WaitGroup
}

func newRunner(s Scenario) *runner {
	r := &runner{
		scenario: s,
		timeout:  time.Duration(s.TimeoutMillis) * time.Millisecond,
		balancer: newBalancer(s),
		buckets:  map[entity.WorkspaceID]*bucket{},
		collect:  newCollector(s),
	}
	for w, rate := range s.Workspaces {
		r.buckets[w] = newBucket(rate)
	}
	return r
}

// dispatch sends every request at its time. Requests that are due together are sent without
// waiting for each other.
func (r *runner) dispatch(ctx context.Context) {
	plan := newSchedule(&r.scenario, entity.RandomHex(4))
	r.began = time.Now()
	for q := plan.take(); q != nil; q = plan.take() {
		if !r.waitUntil(ctx, r.began.Add(q.at)) {
			return
		}
		r.judge(q)
		r.collect.sent(q, time.Since(r.began)-q.at)
		if r.inFlight.Load() >= int64(r.scenario.MaxInFlight) {
			r.collect.notSent(q)
			continue
		}
		c := r.balancer.pick(q.at)
		r.inFlight.Add(1)
		r.open.Go(func() { r.send(c, q) })
	}
}

// spinBefore is the time before a send that the precise mode spends in active waiting: timers
// fire up to about 1 ms late.
const spinBefore = 1500 * time.Microsecond

func (r *runner) waitUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if r.scenario.Precise {
		wait -= spinBefore
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

// judge asks the exact central bucket. It is called in the order of the intended send times.
func (r *runner) judge(q *request) {
	b := r.buckets[q.class.Workspace]
	if b == nil {
		return
	}
	q.limited = true
	q.withinRate = b.admit(q.at, q.cost)
}

func (r *runner) send(c *client, q *request) {
	defer r.inFlight.Add(-1)
	res := c.send(q, r.began.Add(q.at), r.timeout, r.scenario.CheckAnswers)
	if res.refusedConn {
		r.balancer.eject(c, time.Since(r.began))
	}
	r.collect.ended(c.addr, q, res)
	if r.scenario.Observe != nil {
		r.scenario.Observe(r.sample(c.addr, q, res))
	}
}

func (r *runner) sample(target string, q *request, res result) Sample {
	return Sample{
		At: r.began.Add(q.at), Group: q.class.Group, Workspace: q.class.Workspace, Model: q.model, Target: target,
		Complete: res.verdict == complete, Refused: res.verdict == refused, ErrorEvent: res.verdict == errorEvent,
		Code: res.code, First: res.first, Whole: res.whole,
	}
}

// balancer chooses targets. pick is called by the dispatcher only.
type balancer struct {
	policy  string
	clients []*client
	// shares are the cumulative weights of the skewed policy.
	shares   []float64
	rng      *rand.Rand
	next     int
	ejectFor time.Duration
	mu       sync.Mutex
}

// balancerStream separates the balancer's random numbers from those of the classes.
const balancerStream = 1 << 40

func newBalancer(s Scenario) *balancer {
	b := &balancer{
		policy:   s.Balancer.Policy,
		rng:      rand.New(rand.NewPCG(s.Seed, balancerStream)),
		ejectFor: time.Duration(s.Balancer.EjectMillis) * time.Millisecond,
	}
	for _, addr := range s.Targets {
		b.clients = append(b.clients, newClient(addr, s.ConnectionsPerTarget, time.Duration(s.TimeoutMillis)*time.Millisecond))
	}
	sum := 0.0
	for _, w := range s.Balancer.Weights {
		sum += w
		b.shares = append(b.shares, sum)
	}
	return b
}

// pick returns the target of the policy, or the next one that is not ejected.
func (b *balancer) pick(now time.Duration) *client {
	i := b.choose()
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

func (b *balancer) choose() int {
	n := len(b.clients)
	switch b.policy {
	case BalanceRandom:
		return b.rng.IntN(n)
	case BalanceSkewed:
		x := b.rng.Float64() * b.shares[n-1]
		// The first share above x leaves out targets with weight zero.
		return min(sort.Search(n, func(i int) bool { return b.shares[i] > x }), n-1)
	}
	b.next++
	return (b.next - 1) % n
}

func (b *balancer) eject(c *client, now time.Duration) {
	if b.ejectFor <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	c.ejectedUntil = now + b.ejectFor
}
