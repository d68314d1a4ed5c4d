package limits

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// checkBound checks tokens(s,t) <= burst + rate*(t-s) for all intervals at once: a bucket that starts full
// and is charged the same history must never go below zero. When the limits change, it uses at each time
// the largest rate and burst that were active within the preceding tolerance.
func (c *simulation) checkBound() error {
	// A paused host applies a change only after its pause, and loans granted before the change can still
	// be spent.
	tolerance := 400*time.Millisecond + c.longestPause
	limitsAt := func(t time.Duration) (rate, burst float64) {
		for i, r := range c.rates {
			end := time.Duration(math.MaxInt64)
			if i+1 < len(c.rates) {
				end = c.rates[i+1].at + tolerance
			}
			if r.at <= t && t < end {
				rate, burst = max(rate, r.rate), max(burst, r.burst)
			}
		}
		return rate, burst
	}
	rate, burst := limitsAt(0)
	level, at := burst, time.Duration(0)
	steps := make([]chargeEvent, 0, len(c.charges)+2*len(c.rates))
	steps = append(steps, c.charges...)
	for _, r := range c.rates {
		steps = append(steps, chargeEvent{r.at, 0}, chargeEvent{r.at + tolerance, 0})
	}
	slices.SortStableFunc(steps, func(x, y chargeEvent) int { return int(x.at - y.at) })
	for _, s := range steps {
		level = min(burst, level+rate*(s.at-at).Seconds())
		at = s.at
		newRate, newBurst := limitsAt(at)
		// A larger burst raises the level that comes with units that were never issued.
		level += max(0, newBurst-burst)
		rate, burst = newRate, newBurst
		level = min(level, burst) - s.tokens
		if level < -1e-6*burst {
			return fmt.Errorf("bound exceeded by %.6f tokens at %v", -level, at)
		}
	}
	return nil
}

func (c *simulation) describe() string {
	var b strings.Builder
	for _, h := range c.hosts() {
		p := c.procs[h]
		for _, s := range p.th.Status(c.clock(p)) {
			fmt.Fprintf(&b, "%s terminated=%v units=%d level=%.1f lent=%.1f usable=%v free=%d unissued=%d\n", p.inc, p.terminated, s.Units, s.Level, s.Lent, s.Usable, s.Free, s.UnissuedUnits)
		}
	}
	return b.String()
}

// TestSharesReachSteadyState guards against units that stay unallocated, and against record writes that
// continue while no requests arrive.
func TestSharesReachSteadyState(t *testing.T) {
	c := newSimulation(rand.New(rand.NewPCG(1, 2)), PolicyLoans, 8, 1000, 10000)
	c.runUntil(20 * time.Second)
	writes := c.writes
	c.runUntil(60 * time.Second)
	t.Logf("writes to settle %d, in the following 40 s %d\n%s", writes, c.writes-writes, c.describe())
	var held int64
	for _, p := range c.all {
		held += p.th.accounts[testWorkspace].units
	}
	if held != TotalUnits || c.writes != writes {
		t.Errorf("held %d units of %d, %d writes while idle; want all units held and no write", held, TotalUnits, c.writes-writes)
	}
}

// TestStopReleasesUnitsAndLevel guards against a graceful shutdown that loses units or their level.
func TestStopReleasesUnitsAndLevel(t *testing.T) {
	c := newSimulation(rand.New(rand.NewPCG(1, 2)), PolicyLoans, 4, 1, 10000)
	c.runUntil(20 * time.Second)
	c.stop(c.procs["h0"])
	c.runUntil(30 * time.Second)
	if !c.procs["h0"].th.Released() {
		t.Error("units not released")
	}
	var level float64
	for _, p := range c.all {
		level += p.th.accounts[testWorkspace].level
	}
	if level < 9999 {
		t.Errorf("level %v of 10000 after the shutdown, want at least 9999\n%s", level, c.describe())
	}
}
