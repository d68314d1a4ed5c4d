package limits

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
	"pgregory.net/rapid"
)

// checkUnits checks, on the current state of all processes, the invariant from which the bound follows: no
// unit is counted twice among the units that a process may use now and the units that back unspent loans
// of a lender that may no longer use its units.
func (c *simulation) checkUnits() error {
	var rec Record
	if pair, ok := c.store[RecordKey(testWorkspace)]; ok {
		var err error
		if rec, err = parseRecord(pair.Value); err != nil {
			return err
		}
	}
	units := rec.Unissued + rec.Free
	byInc := map[entity.Incarnation]*process{}
	for _, p := range c.all {
		a := p.th.accounts[testWorkspace]
		if !p.terminated && p.th.mayUseUnits(a, c.clock(p)) {
			byInc[p.inc] = p
			units += a.units
		}
	}
	if units > TotalUnits {
		return fmt.Errorf("%d of %d units usable at %v\n%s", units, TotalUnits, c.now, c.describe())
	}
	capacity := proRata(c.rates[0].burst, units)
	var tokens float64
	for _, p := range c.all {
		if byInc[p.inc] != nil {
			tokens += p.th.accounts[testWorkspace].level
		}
		for _, b := range p.th.accounts[testWorkspace].borrowed {
			if !p.terminated && c.clock(p).Before(b.expires) {
				tokens += b.tokens
			}
			lender := c.procs[b.lender]
			if !p.terminated && c.clock(p).Before(b.expires) && byInc[lender.inc] == nil {
				capacity += b.tokens
			}
		}
	}
	if burst := c.rates[0].burst; len(c.rates) == 1 && tokens > burst*(1+1e-9) {
		return fmt.Errorf("levels and loans %.3f exceed the burst %.3f at %v", tokens, burst, c.now)
	}
	if burst := c.rates[0].burst; len(c.rates) == 1 && capacity > burst*(1+1e-9) {
		return fmt.Errorf("capacity and loans %.3f exceed the burst %.3f at %v", capacity, burst, c.now)
	}
	return nil
}

// injectFault draws one fault, its time and its length, and schedules it.
func injectFault(rt *rapid.T, c *simulation, hosts int, end time.Duration) {
	at := time.Duration(rapid.IntRange(1000, int(end/time.Millisecond)).Draw(rt, "at_ms")) * time.Millisecond
	length := time.Duration(rapid.IntRange(100, 30000).Draw(rt, "length_ms")) * time.Millisecond
	host := entity.HostID(fmt.Sprintf("h%d", rapid.IntRange(0, hosts-1).Draw(rt, "host")))
	factor := rapid.SampledFrom([]float64{0.25, 0.5, 2, 4}).Draw(rt, "factor")
	kind := rapid.SampledFrom([]string{"kill", "restart", "pause", "cut", "down", "stop", "rate"}).Draw(rt, "fault")
	if kind == "pause" {
		c.longestPause = max(c.longestPause, length)
	}
	c.after(at, func() {
		p := c.procs[host]
		switch kind {
		case "kill":
			c.terminate(host)
		case "restart":
			c.terminate(host)
			c.after(length, func() {
				if c.procs[host] == p {
					c.start(host)
				}
			})
		case "pause":
			p.pausedUntil = max(p.pausedUntil, c.now+length)
		case "cut":
			c.partitioned[host] = true
			c.after(length, func() { delete(c.partitioned, host) })
		case "down":
			c.storeDown = true
			c.after(length, func() { c.storeDown = false })
		case "stop":
			c.stop(p)
		case "rate":
			last := c.rates[len(c.rates)-1]
			c.setRate(last.rate*factor, last.burst*factor)
		}
	})
}

// stop shuts a process down gracefully: the registration is removed once the units are released.
func (c *simulation) stop(p *process) {
	if p.terminated || p.stopped || c.now < p.pausedUntil {
		return
	}
	p.stopped = true
	c.execute(p, p.th.Stop(c.clock(p)))
	var wait func()
	wait = func() {
		if !p.th.Released() {
			c.after(tickInterval, wait)
		} else if c.reachable(p) && c.procs[p.host] == p {
			c.unregister(p.host)
		}
	}
	wait()
}

// saturate sends requests to some of the hosts, often above the rate, with random idle periods in between.
func (c *simulation) saturate(rt *rapid.T, hosts int) {
	size := rapid.Float64Range(0.5, 400).Draw(rt, "size")
	gap := time.Duration(rapid.IntRange(3, 60).Draw(rt, "gap_ms")) * time.Millisecond
	skew := rapid.IntRange(1, hosts).Draw(rt, "skew")
	idle := time.Duration(rapid.IntRange(0, 5).Draw(rt, "idle_s")) * time.Second
	c.every(gap, func() {
		if idle > 0 && int(c.now/idle)%2 == 0 {
			return
		}
		host := entity.HostID(fmt.Sprintf("h%d", c.rng.IntN(skew)))
		c.request(host, size*(0.1+1.9*c.rng.Float64()))
	})
}

// TestBoundHolds guards against sequences of faults in which all hosts together admit more than
// burst + rate*d tokens in an interval d, or in which two processes use the same units.
func TestBoundHolds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		hosts := rapid.IntRange(1, 5).Draw(rt, "hosts")
		burst := rapid.Float64Range(100, 5000).Draw(rt, "burst")
		c := newSimulation(rand.New(rand.NewPCG(seed, 7)), PolicyLoans, hosts, rapid.Float64Range(50, 2000).Draw(rt, "rate"), burst)
		c.loss = rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(rt, "loss")
		c.loseAck = rapid.SampledFrom([]float64{0, 0.3}).Draw(rt, "lose_ack")
		c.maxLag = time.Duration(rapid.SampledFrom([]int{1, 20, 300}).Draw(rt, "lag_ms")) * time.Millisecond
		c.usedFraction = rapid.SampledFrom([]float64{1, 0.3}).Draw(rt, "used")
		end := time.Duration(rapid.IntRange(20, 60).Draw(rt, "seconds")) * time.Second
		for range rapid.IntRange(0, 6).Draw(rt, "faults") {
			injectFault(rt, c, hosts, end)
		}
		c.saturate(rt, hosts)
		c.every(7*time.Millisecond, func() {
			if err := c.checkUnits(); err != nil {
				rt.Fatal(err)
			}
		})
		c.runUntil(end)
		if err := c.checkBound(); err != nil {
			rt.Fatal(err)
		}
	})
}
