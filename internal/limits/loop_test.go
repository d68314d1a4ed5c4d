package limits

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/command"
	"github.com/foxtailpass/foxtailpass/internal/config"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
)

const (
	testWorkspace     = entity.WorkspaceID("w")
	tickInterval      = 10 * time.Millisecond
	heartbeatInterval = 500 * time.Millisecond
	leaseTTL          = 10 * time.Second
)

// event is a function that runs at a given simulated time.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// process is one simulated host process with its Throttler. Its clock has its own origin.
type process struct {
	host        entity.HostID
	inc         entity.Incarnation
	addr        string
	th          *Throttler
	origin      time.Time
	terminated  bool
	pausedUntil time.Duration // time at which the pause ends
	stopped     bool
	// observedRev is the newest store revision whose changes the process has received.
	observedRev int64
	// changeNumber is the number of the last configuration change that the process has applied.
	changeNumber int
}

// simulation runs several Throttlers against an in-memory key-value store in one event loop.
type simulation struct {
	now   time.Duration
	queue events
	seq   int
	rng   *rand.Rand
	// procs holds the newest process of each host.
	procs  map[entity.HostID]*process
	all    []*process
	policy Policy
	site   *config.Site

	rev       int64
	store     map[string]kvstore.Pair
	log       []kvstore.Pair // versions by revision; a nil value is a deletion
	leaseEnd  map[entity.HostID]time.Duration
	storeDown bool
	loseAck   float64 // probability that the answer of an applied write is lost
	loss      float64 // probability that a message is lost
	maxLag    time.Duration
	// partitioned holds hosts that can reach neither peers nor the store.
	partitioned map[entity.HostID]bool

	requests map[entity.RequestID]*simRequest
	nextReq  int
	// charges is the history for checkBound. Refunds are negative.
	charges  []chargeEvent
	rates    []rateEvent
	messages int
	writes   int
	// usedFraction is the fraction of its charge that a request uses.
	usedFraction float64
	runTime      time.Duration
	// longestPause is the longest pause that the test injects into a process.
	longestPause time.Duration
	done         func(r *simRequest)
	trace        func(format string, args ...any)
}

type simRequest struct {
	id       entity.RequestID
	proc     *process
	tokens   float64
	at       time.Duration
	admitted bool
	answered bool
	took     time.Duration
	refusal  entity.Refusal
}

type chargeEvent struct {
	at     time.Duration
	tokens float64
}

type rateEvent struct {
	at          time.Duration
	rate, burst float64
}

func newSimulation(rng *rand.Rand, policy Policy, hosts int, rate, burst float64) *simulation {
	c := &simulation{
		rng: rng, policy: policy, procs: map[entity.HostID]*process{}, store: map[string]kvstore.Pair{},
		leaseEnd: map[entity.HostID]time.Duration{}, partitioned: map[entity.HostID]bool{}, maxLag: 1500 * time.Microsecond,
		requests: map[entity.RequestID]*simRequest{}, usedFraction: 1, runTime: time.Second, trace: func(string, ...any) {},
	}
	c.setRate(rate, burst)
	for i := range hosts {
		c.start(entity.HostID(fmt.Sprintf("h%d", i)))
	}
	c.every(tickInterval, c.expireLeases)
	return c
}

func (c *simulation) after(d time.Duration, run func()) {
	c.seq++
	heap.Push(&c.queue, event{at: c.now + d, seq: c.seq, run: run})
}

func (c *simulation) every(d time.Duration, run func()) {
	c.after(d, func() { run(); c.every(d, run) })
}

func (c *simulation) runUntil(t time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= t {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.run()
	}
	c.now = t
}

// clock is the process's own time.
func (c *simulation) clock(p *process) time.Time { return p.origin.Add(c.now) }

func (c *simulation) lag() time.Duration {
	return c.maxLag/3 + time.Duration(c.rng.Int64N(int64(c.maxLag)*2/3+1))
}

func (c *simulation) setRate(rate, burst float64) {
	c.rates = append(c.rates, rateEvent{c.now, rate, burst})
	c.site = &config.Site{Revision: int64(len(c.rates)), Document: config.Document{Workspaces: map[entity.WorkspaceID]config.Workspace{
		testWorkspace: {RateTokensPerSecond: rate, BurstTokens: burst},
	}}}
	site, changeNumber := c.site, len(c.rates)
	for _, p := range c.all {
		c.deliver(p, c.lag(), func() {
			// As in a real view, an older configuration that is delivered late is not applied.
			if changeNumber > p.changeNumber {
				p.changeNumber = changeNumber
				p.th.HandleSite(site, c.clock(p))
			}
		})
	}
}

// start starts a process on a host. An earlier process of that host must be terminated.
func (c *simulation) start(host entity.HostID) *process {
	p := &process{
		host: host, inc: entity.Incarnation(fmt.Sprintf("%s-%d", host, len(c.all))), addr: string(host) + ":1",
		origin: time.Unix(int64(c.rng.IntN(1_000_000)), 0),
	}
	p.th = New(Options{Self: host, Incarnation: p.inc, Addr: p.addr, Policy: c.policy, Rand: rand.New(rand.NewPCG(c.rng.Uint64(), 1))})
	p.th.HandleSite(c.site, c.clock(p))
	p.changeNumber = len(c.rates)
	c.procs[host] = p
	c.all = append(c.all, p)
	c.after(0, func() { c.register(p, true) })
	c.loop(p, tickInterval, func() { c.execute(p, p.th.Tick(c.clock(p))) })
	c.loop(p, heartbeatInterval, func() { c.heartbeat(p) })
	c.loop(p, 2*time.Second, func() { c.register(p, false) })
	c.loop(p, time.Second, func() { c.poll(p) })
	return p
}

// loop calls run every d until the process is terminated. A pause delays the next call.
func (c *simulation) loop(p *process, d time.Duration, run func()) {
	var step func()
	step = func() {
		switch {
		case p.terminated:
		case c.now < p.pausedUntil:
			c.after(p.pausedUntil-c.now, step)
		default:
			run()
			c.after(d, step)
		}
	}
	c.after(d, step)
}

// deliver calls run after a delay on behalf of a process, later if the process is paused, and not at all if
// it is terminated.
func (c *simulation) deliver(p *process, d time.Duration, run func()) {
	c.after(d, func() {
		switch {
		case p.terminated:
		case c.now < p.pausedUntil:
			c.deliver(p, p.pausedUntil-c.now+1, run)
		default:
			run()
		}
	})
}

func (c *simulation) reachable(p *process) bool { return !c.storeDown && !c.partitioned[p.host] }

// register renews the lease of a process, or registers it again under the first rule of the package.
func (c *simulation) register(p *process, first bool) {
	if p.terminated || p.stopped {
		return
	}
	requestedAt := c.clock(p)
	c.after(c.lag(), func() {
		if !c.reachable(p) {
			if first {
				c.deliver(p, time.Second, func() { c.register(p, true) })
			}
			return
		}
		key := config.HostsPrefix + string(p.host)
		old, ok := c.store[key]
		if ok && string(old.Value) != string(p.inc) && c.procs[p.host] != p {
			return
		}
		c.leaseEnd[p.host] = c.now + leaseTTL
		if !ok || string(old.Value) != string(p.inc) {
			c.put(key, []byte(p.inc))
		}
		c.deliver(p, c.lag(), func() {
			if c.rng.Float64() >= c.loss {
				p.th.HandleLease(requestedAt.Add(leaseTTL), c.clock(p))
			}
		})
	})
}

func (c *simulation) expireLeases() {
	if c.storeDown {
		return
	}
	for _, host := range c.hosts() {
		if end, ok := c.leaseEnd[host]; ok && c.now >= end {
			c.unregister(host)
		}
	}
}

func (c *simulation) unregister(host entity.HostID) {
	delete(c.leaseEnd, host)
	key := config.HostsPrefix + string(host)
	if _, ok := c.store[key]; ok {
		c.rev++
		delete(c.store, key)
		c.log = append(c.log, kvstore.Pair{Key: key, ModRevision: c.rev})
		c.notify()
	}
}

func (c *simulation) hosts() []entity.HostID {
	var list []entity.HostID
	for h := range c.procs {
		list = append(list, h)
	}
	slices.Sort(list)
	return list
}

func (c *simulation) put(key string, value []byte) {
	c.rev++
	p := c.store[key]
	p.Key, p.Value, p.ModRevision, p.Version = key, value, c.rev, p.Version+1
	if p.CreateRevision == 0 {
		p.CreateRevision = c.rev
	}
	c.store[key] = p
	c.log = append(c.log, p)
	c.notify()
}

// notify delivers the change to the watches of all processes. Some deliveries are lost; the next periodic
// poll then delivers the change.
func (c *simulation) notify() {
	for _, p := range c.all {
		if c.rng.Float64() >= c.loss {
			c.deliver(p, c.lag(), func() { c.poll(p) })
		}
	}
}

// poll delivers the current state if it changed since the last poll, registrations before the record.
func (c *simulation) poll(p *process) {
	if !c.reachable(p) || p.observedRev == c.rev && c.rev > 0 {
		return
	}
	p.observedRev = c.rev
	now := c.clock(p)
	var hosts []config.HostRecord
	for _, h := range c.hosts() {
		if pair, ok := c.store[config.HostsPrefix+string(h)]; ok {
			hosts = append(hosts, config.HostRecord{ID: h, Incarnation: entity.Incarnation(pair.Value), PeerAddr: string(h) + ":1", State: "live"})
		}
	}
	p.th.HandleHosts(hosts, now)
	if pair, ok := c.store[RecordKey(testWorkspace)]; ok {
		c.execute(p, p.th.HandleRecord(testWorkspace, &pair, now))
	} else {
		c.execute(p, p.th.HandleRecord(testWorkspace, nil, now))
	}
}

func (c *simulation) heartbeat(p *process) {
	levels := p.th.Levels(c.clock(p))
	sent := c.clock(p)
	for _, h := range c.hosts() {
		if h == p.host {
			continue
		}
		c.send(p, h, func(q *process) {
			q.th.HandlePeerLevels(p.host, levels, c.clock(q))
			if !q.th.AllowHeartbeatAnswer(p.inc, c.clock(q)) {
				return
			}
			c.send(q, p.host, func(back *process) {
				if back == p {
					p.th.HandleHeartbeatAnswer(q.host, q.inc, sent)
				}
			})
		})
	}
}

// send delivers a message from a process to the current process of a host.
func (c *simulation) send(from *process, to entity.HostID, run func(q *process)) {
	c.messages++
	if c.partitioned[from.host] || c.partitioned[to] || c.rng.Float64() < c.loss {
		return
	}
	q := c.procs[to]
	if q == nil {
		return
	}
	c.deliver(q, c.lag(), func() {
		if !c.partitioned[to] {
			run(q)
		}
	})
}

// execute carries out the commands that the Throttler of a process has returned.
func (c *simulation) execute(p *process, commands []command.Command) {
	for _, cmd := range commands {
		switch x := cmd.(type) {
		case command.Admit:
			c.recordAnswer(p, x.Request, nil)
		case command.Refuse:
			c.recordAnswer(p, x.Request, &x.Refusal)
		case command.SendPeer:
			c.send(p, x.To, func(q *process) {
				c.execute(q, q.th.HandleMessage(p.host, p.inc, x.Message, c.clock(q)))
			})
		case command.WriteRecords:
			c.write(p, x)
		}
	}
}

// write runs a transaction. The transaction may not reach the store, or its result may be lost.
func (c *simulation) write(p *process, w command.WriteRecords) {
	c.writes++
	fail := func(err error) {
		c.deliver(p, c.lag(), func() { c.execute(p, p.th.HandleWriteResult(w.ID, kvstore.TxnResult{}, err, c.clock(p))) })
	}
	c.after(c.lag(), func() {
		if !c.reachable(p) {
			if c.rng.IntN(2) == 0 {
				fail(kvstore.ErrUnavailable)
			} else {
				fail(kvstore.ErrUnknown)
			}
			return
		}
		if c.loseAck > 0 && c.rng.Float64() < c.loseAck/2 {
			// The process gets an unknown outcome before the write takes effect.
			fail(kvstore.ErrUnknown)
			c.after(time.Duration(c.rng.Int64N(int64(2*time.Second))), func() { c.apply(w.Txn) })
			return
		}
		result := c.apply(w.Txn)
		if c.rng.Float64() < c.loseAck {
			fail(kvstore.ErrUnknown)
			return
		}
		c.deliver(p, c.lag(), func() { c.execute(p, p.th.HandleWriteResult(w.ID, result, nil, c.clock(p))) })
	})
}

func (c *simulation) apply(txn kvstore.Txn) kvstore.TxnResult {
	for _, cmp := range txn.Compares {
		pair := c.store[cmp.Key]
		value := pair.ModRevision
		if cmp.Target == kvstore.CompareCreateRevision {
			value = pair.CreateRevision
		}
		if value != cmp.Value {
			r := kvstore.TxnResult{Revision: c.rev}
			for _, op := range txn.Failure {
				if got, ok := c.store[op.Key]; ok {
					r.Gets = append(r.Gets, &got)
				} else {
					r.Gets = append(r.Gets, nil)
				}
			}
			return r
		}
	}
	for _, op := range txn.Success {
		c.put(op.Key, op.Value)
	}
	return kvstore.TxnResult{Succeeded: true, Revision: c.rev}
}

// request sends a request to a host, as the load balancer does. Terminated, stopped and paused processes
// get none.
func (c *simulation) request(host entity.HostID, tokens float64) *simRequest {
	c.nextReq++
	p := c.procs[host]
	r := &simRequest{id: entity.RequestID(fmt.Sprint(c.nextReq)), proc: p, tokens: tokens, at: c.now}
	if p.terminated || p.stopped || c.now < p.pausedUntil {
		return nil
	}
	c.requests[r.id] = r
	c.execute(p, p.th.Request(Admission{ID: r.id, Workspace: testWorkspace, Tokens: tokens}, c.clock(p)))
	return r
}

func (c *simulation) recordAnswer(p *process, id entity.RequestID, refusal *entity.Refusal) {
	r := c.requests[id]
	if r == nil || r.answered {
		panic("request answered twice: " + string(id))
	}
	r.answered, r.took = true, c.now-r.at
	delete(c.requests, id)
	if refusal != nil {
		r.refusal = *refusal
	} else {
		r.admitted = true
		c.charges = append(c.charges, chargeEvent{c.now, r.tokens})
		if c.usedFraction < 1 {
			c.deliver(p, c.runTime, func() { c.settle(p, r) })
		}
	}
	if c.done != nil {
		c.done(r)
	}
}

// settle settles a request and records the refund that the ledger actually credited.
func (c *simulation) settle(p *process, r *simRequest) {
	a := p.th.accounts[testWorkspace]
	a.advance(c.clock(p))
	before := a.level
	p.th.Settle(r.id, r.tokens*c.usedFraction, c.clock(p))
	c.charges = append(c.charges, chargeEvent{c.now, before - a.level})
}

func (c *simulation) terminate(host entity.HostID) {
	p := c.procs[host]
	p.terminated = true
	for id, r := range c.requests {
		if r.proc == p {
			delete(c.requests, id)
		}
	}
}
