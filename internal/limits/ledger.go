package limits

import (
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// loanKey identifies a loan at its lender.
type loanKey struct {
	host        entity.HostID
	incarnation entity.Incarnation
	id          uint64
}

// loan is a loan that this host has given and that has not expired.
type loan struct {
	key     loanKey
	tokens  float64
	expires time.Time
}

// ledger is the token bucket of this host's units of one workspace. The sum over all hosts of
// capacity and outstanding loans never exceeds the burst.
type ledger struct {
	rate, burst float64
	units       int64
	level       float64
	// at is the time up to which accrual has been added.
	at time.Time
	// loans are ordered by expiry, because the term is constant.
	loans       []loan
	outstanding float64
}

// part returns the part of a whole-fleet amount that belongs to a number of units.
func part(amount float64, units int64) float64 { return amount * float64(units) / TotalUnits }

// capacity is the most that the level may be now.
func (l *ledger) capacity() float64 { return max(0, part(l.burst, l.units)-l.outstanding) }

// advance accrues up to now and ends the loans that have expired. A clock that goes
// backwards changes nothing.
func (l *ledger) advance(now time.Time) {
	for len(l.loans) > 0 && !l.loans[0].expires.After(now) {
		l.accrue(l.loans[0].expires)
		l.removeLoan(0)
	}
	l.accrue(now)
}

func (l *ledger) accrue(to time.Time) {
	if l.at.IsZero() {
		l.at = to
	}
	dt := to.Sub(l.at)
	if dt <= 0 {
		return
	}
	l.at = to
	l.level = min(l.level+part(l.rate, l.units)*dt.Seconds(), l.capacity())
}

// setLimits changes rate and burst from now on. It never raises the level.
func (l *ledger) setLimits(rate, burst float64, now time.Time) {
	l.advance(now)
	l.rate, l.burst = rate, burst
	l.level = min(l.level, l.capacity())
}

// setUnits changes the units from now on. It never raises the level.
func (l *ledger) setUnits(units int64, now time.Time) {
	if units == l.units {
		return
	}
	l.advance(now)
	l.units = units
	l.level = min(l.level, l.capacity())
}

// credit adds tokens without exceeding the capacity.
func (l *ledger) credit(tokens float64) { l.level = min(l.level+tokens, l.capacity()) }

// lend moves tokens from the level to a loan.
func (l *ledger) lend(key loanKey, tokens float64, now time.Time) {
	l.level -= tokens
	l.outstanding += tokens
	l.loans = append(l.loans, loan{key: key, tokens: tokens, expires: now.Add(LoanTerm)})
}

// findLoan returns the index of the loan, or -1.
func (l *ledger) findLoan(key loanKey) int {
	for i := range l.loans {
		if l.loans[i].key == key {
			return i
		}
	}
	return -1
}

// takeBack ends an outstanding loan and credits its unspent tokens. An unknown or expired loan
// is ignored: its tokens may no longer be part of the burst.
func (l *ledger) takeBack(key loanKey, unspent float64, now time.Time) {
	l.advance(now)
	i := l.findLoan(key)
	if i < 0 {
		return
	}
	unspent = min(max(unspent, 0), l.loans[i].tokens)
	l.removeLoan(i)
	l.credit(unspent)
}

func (l *ledger) removeLoan(i int) {
	l.outstanding -= l.loans[i].tokens
	l.loans = append(l.loans[:i], l.loans[i+1:]...)
	if len(l.loans) == 0 {
		// Rounding errors of the sum must not accumulate.
		l.outstanding = 0
	}
}
