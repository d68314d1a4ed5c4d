package dispatch

import "time"

// Budget limits the retries of one host at one service. All hosts together may retry a fraction of the
// requests of a window plus a fixed number of retries. The fixed number is divided among the hosts, so that
// the limit holds for their sum without messages between them.
type Budget struct {
	// Ratio is the number of retries that each request allows.
	Ratio float64
	// Extra is the cap of the retries that the host saves up. Half of Extra accrues in each window. What Deposit
	// adds beyond the cap lasts until the next refill. ExtraPerHost derives Extra from the fixed number of all hosts.
	Extra float64
	// Window is the period over which the limit holds.
	Window time.Duration

	// level is the number of retries that are left, as of updated.
	level   float64
	updated time.Time
}

// refill adds the retries that have accrued since the last refill, and limits the level to Extra. A Deposit can
// raise the level above Extra until the next refill. The first refill sets the level to half of Extra.
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

// hostWindowFactor is the maximum number of retries that a host may make in one window, as a multiple of
// Budget.Extra. At the start of the window, at most Extra is saved up. During the window, half of Extra accrues. The
// retries that Deposit adds are not counted.
const hostWindowFactor = 1.5

// ExtraPerHost returns the value of Budget.Extra for each host. With it, all hosts together make at most total
// retries in a window, in addition to those that their requests allow.
func ExtraPerHost(total float64, hosts int) float64 {
	return total / hostWindowFactor / float64(max(hosts, 1))
}

// SetExtra replaces Extra, for example when the number of hosts has changed.
func (b *Budget) SetExtra(extra float64, now time.Time) {
	if extra == b.Extra {
		return
	}
	b.refill(now)
	b.Extra = extra
	b.level = min(b.level, extra)
}

// Deposit adds the retries that one request allows.
func (b *Budget) Deposit(now time.Time) {
	b.refill(now)
	b.level += b.Ratio
}

// TryTake takes one retry from the budget and reports whether one was left.
func (b *Budget) TryTake(now time.Time) bool {
	b.refill(now)
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
