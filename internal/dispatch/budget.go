package dispatch

import "time"

// Budget bounds the attempts beyond the first of each request at one service. The fleet's bound
// is a share of the requests of a window plus a fixed number; each host takes its own share of
// the number, so that the sum holds without messages, whatever the hosts know of each other.
type Budget struct {
	// Ratio is the number of retries that each request allows.
	Ratio float64
	// Extra is this host's part of the fixed number in one window.
	Extra float64
	// Window is the length over which the bound holds.
	Window time.Duration

	level   float64
	updated time.Time
}

// refill adds what the time since the last call allows. The level never exceeds Extra by more
// than the deposits of one window.
func (b *Budget) refill(now time.Time) {
	if b.updated.IsZero() {
		b.level = b.Extra / 2
	}
	dt := now.Sub(b.updated)
	if !b.updated.IsZero() && dt > 0 {
		b.level += b.Extra / 2 * dt.Seconds() / b.Window.Seconds()
	}
	b.level = min(b.level, b.Extra)
	b.updated = now
}

// hostWindows is how many times its part a host may use of the fixed number in one window: what it
// has saved, and half as much again that accrues meanwhile.
const hostWindows = 1.5

// HostExtra returns one host's part of the fixed number of retries that all hosts share.
func HostExtra(extra float64, hosts int) float64 { return extra / hostWindows / float64(max(hosts, 1)) }

// SetExtra replaces this host's part of the fixed number, as when the number of hosts has changed.
func (b *Budget) SetExtra(extra float64, now time.Time) {
	if extra == b.Extra {
		return
	}
	b.refill(now)
	b.Extra = extra
	b.level = min(b.level, extra)
}

// Deposit counts one request.
func (b *Budget) Deposit(now time.Time) {
	b.refill(now)
	b.level += b.Ratio
}

// Take reserves one retry and says whether there was one left.
func (b *Budget) Take(now time.Time) bool {
	b.refill(now)
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
