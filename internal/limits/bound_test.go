package limits

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
	"pgregory.net/rapid"
)

// checkUnits checks, on the live state, the invariant from which the bound follows: units that
// a process may use now, or that back unspent loans of lenders that may not, are held once.
func (c *hostLoop) checkUnits() error {
	var rec Record
	if pair, ok := c.store[Key(testWorkspace)]; ok {
		var err error
		if rec, err = parseRecord(pair.Value); err != nil {
			return err
		}
	}
	units := rec.Unissued + rec.Free
	byInc := map[entity.Incarnation]*process{}
	for _, p := range c.all {
		a := p.th.accounts[testWorkspace]
		if !p.dead && p.th.usable(a, c.clock(p)) {
			byInc[p.inc] = p
			units += a.units
		}
	}
	if units > TotalUnits {
		return fmt.Errorf("%d of %d units usable at %v\n%s", units, TotalUnits, c.now, c.describe())
	}
	capacity := part(c.rates[0].burst, units)
	var tokens float64
	for _, p := range c.all {
		if byInc[p.inc] != nil {
			tokens += p.th.accounts[testWorkspace].level
		}
		for _, b := range p.th.accounts[testWorkspace].borrowed {
			if !p.dead && c.clock(p).Before(b.expires) {
				tokens += b.tokens
			}
			lender := c.procs[b.lender]
			if !p.dead && c.clock(p).Before(b.expires) && byInc[lender.inc] == nil {
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

// injectFault draws one fault and its time.
func injectFault(rt *rapid.T, c *hostLoop, hosts int, end time.Duration) {
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
			c.kill(host)
		case "restart":
			c.kill(host)
			c.after(length, func() {
				if c.procs[host] == p {
					c.start(host)
				}
			})
		case "pause":
			p.paused = max(p.paused, c.now+length)
		case "cut":
			c.cut[host] = true
			c.after(length, func() { delete(c.cut, host) })
		case "down":
			c.down = true
			c.after(length, func() { c.down = false })
		case "stop":
			c.stop(p)
		case "rate":
			last := c.rates[len(c.rates)-1]
			c.setRate(last.rate*factor, last.burst*factor)
		}
	})
}

// stop is a graceful shutdown: the registration ends when the units are released.
func (c *hostLoop) stop(p *process) {
	if p.dead || p.stopped || c.now < p.paused {
		return
	}
	p.stopped = true
	c.do(p, p.th.Stop(c.clock(p)))
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

// saturate sends requests far above the rate, so that every token that exists is used.
func (c *hostLoop) saturate(rt *rapid.T, hosts int) {
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

// TestBoundHolds guards against any sequence of faults that admits more than burst + rate*d
// tokens in an interval d over all hosts, or that lets two processes use the same units.
func TestBoundHolds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		hosts := rapid.IntRange(1, 5).Draw(rt, "hosts")
		burst := rapid.Float64Range(100, 5000).Draw(rt, "burst")
		c := newHostLoop(rand.New(rand.NewPCG(seed, 7)), PolicyLoans, hosts, rapid.Float64Range(50, 2000).Draw(rt, "rate"), burst)
		c.loss = rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(rt, "loss")
		c.loseAck = rapid.SampledFrom([]float64{0, 0.3}).Draw(rt, "lose_ack")
		c.maxLag = time.Duration(rapid.SampledFrom([]int{1, 20, 300}).Draw(rt, "lag_ms")) * time.Millisecond
		c.usedPart = rapid.SampledFrom([]float64{1, 0.3}).Draw(rt, "used")
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
