package limits

import (
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// loanKey identifies a loan at its lender: the borrowing process and the ID of its wire.LoanRequest.
type loanKey struct {
	host        entity.HostID
	incarnation entity.Incarnation
	id          uint64
}

// loan is a loan that this host has granted and that has neither expired nor been returned.
type loan struct {
	key     loanKey
	tokens  float64
	expires time.Time
}

// ledger is the token bucket of this host's units of one workspace. The sum of capacity and outstanding
// loans over all hosts never exceeds the burst.
type ledger struct {
	rate, burst float64
	units       int64
	level       float64
	// accruedUntil is the time up to which the level includes accrued tokens.
	accruedUntil time.Time
	// loans is ordered by expiry, because every loan has the same term.
	loans []loan
	// outstanding is the sum of the tokens of loans.
	outstanding float64
}

// proRata returns the portion of a whole-fleet amount that corresponds to a number of units.
func proRata(amount float64, units int64) float64 { return amount * float64(units) / TotalUnits }

// capacity returns the maximum that the level may have now.
func (l *ledger) capacity() float64 { return max(0, proRata(l.burst, l.units)-l.outstanding) }

// advance accrues tokens up to now and removes the loans that have expired. It does nothing when the
// clock has gone backwards.
func (l *ledger) advance(now time.Time) {
	for len(l.loans) > 0 && !l.loans[0].expires.After(now) {
		l.accrue(l.loans[0].expires)
		l.removeLoan(0)
	}
	l.accrue(now)
}

// accrue adds the tokens accrued from accruedUntil to the given time under the current rate, units and capacity.
func (l *ledger) accrue(to time.Time) {
	if l.accruedUntil.IsZero() {
		l.accruedUntil = to
	}
	dt := to.Sub(l.accruedUntil)
	if dt <= 0 {
		return
	}
	l.accruedUntil = to
	l.level = min(l.level+proRata(l.rate, l.units)*dt.Seconds(), l.capacity())
}

// setLimits sets the rate and burst that apply from now on. It never raises the level.
func (l *ledger) setLimits(rate, burst float64, now time.Time) {
	l.advance(now)
	l.rate, l.burst = rate, burst
	l.level = min(l.level, l.capacity())
}

// setUnits sets the units that apply from now on. It never raises the level.
func (l *ledger) setUnits(units int64, now time.Time) {
	if units == l.units {
		return
	}
	l.advance(now)
	l.units = units
	l.level = min(l.level, l.capacity())
}

// credit adds tokens to the level, up to the capacity.
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

// endLoan removes an outstanding loan and credits its unspent tokens. It ignores an unknown or expired
// loan, because the capacity that the loan held back may be in use again.
func (l *ledger) endLoan(key loanKey, unspent float64, now time.Time) {
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
		// Resets the sum, so that its rounding errors do not accumulate.
		l.outstanding = 0
	}
}
