package tokenqueue

import (
	"math"
	"time"
)

// refuse returns the refusal of a request that would have to wait for a given time. It books tokens for the return of a
// request that is refused for the first time, if there are any in time.
func (q *Queue[T]) refuse(c *class[T], req Request[T], returned bool, wait time.Duration, s Supply, now time.Time) Verdict {
	longest := req.returnTime()
	v := Verdict{Outcome: Refused, ClosedFor: q.closedFor(c, req, wait, now)}
	q.expire(now)
	at := now.Add(max(wait, time.Duration(earliestReturn*float64(longest)), minRetryAfter))
	if c.bookedUntil.After(at) {
		at = c.bookedUntil
	}
	if !returned && !at.After(now.Add(longest)) && len(q.expected) < maxExpected && req.Tokens <= s.Capacity {
		c.bookedUntil = at.Add(accrual(req.Tokens, returnShare*c.rate))
		v.RetryAfter, v.ClosedFor = at.Sub(now), 0
		q.expect(req.Digest, expectedReturn{until: at.Add(returnGrace), booked: true})
		return v
	}
	q.refusals++
	v.RetryAfter = SpreadReturn(q.refusals, longest)
	if !returned {
		q.expect(req.Digest, expectedReturn{until: now.Add(v.RetryAfter + returnGrace)})
	}
	return v
}

// SpreadReturn returns the time after which the caller of the nth refused request should retry for which no tokens can
// be promised. The returns are spread over the second half of the longest time.
func SpreadReturn(n int, longest time.Duration) time.Duration {
	_, part := math.Modf(float64(n) * spreadStep)
	return max(time.Duration((0.5+0.5*part)*float64(min(longest, maxRetryAfter))), minRetryAfter)
}

// expect records the expected return of a request.
func (q *Queue[T]) expect(digest uint64, e expectedReturn) {
	if digest != 0 && len(q.expected) < maxExpected {
		q.expected[digest] = e
		q.expectedOrder = append(q.expectedOrder, digest)
	}
}

// closedFor returns for how long new requests like a refused one can be refused elsewhere. It is zero while returns with
// a booking are expected, because only the queue recognizes them.
func (q *Queue[T]) closedFor(c *class[T], req Request[T], wait time.Duration, now time.Time) time.Duration {
	closed := wait - time.Duration(float64(c.Aim)/2)
	if closed < minClosed || !now.After(c.bookedUntil.Add(returnGrace)) {
		return 0
	}
	return min(closed, maxRetryAfter)
}

// takeExpected removes the expected return of a request, and reports whether there was one and whether it has a booking.
func (q *Queue[T]) takeExpected(digest uint64, now time.Time) (returned, booked bool) {
	e, ok := q.expected[digest]
	if !ok {
		return false, false
	}
	delete(q.expected, digest)
	inTime := !now.After(e.until)
	return inTime, inTime && e.booked
}

// expire removes the requests that did not return in time.
func (q *Queue[T]) expire(now time.Time) {
	n := 0
	for n < len(q.expectedOrder) {
		e, ok := q.expected[q.expectedOrder[n]]
		if ok && !now.After(e.until) {
			break
		}
		delete(q.expected, q.expectedOrder[n])
		n++
	}
	q.expectedOrder = q.expectedOrder[n:]
}
