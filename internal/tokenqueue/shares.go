package tokenqueue

import "time"

// settle credits the tokens that have accrued to the classes, and takes back what they can no longer use.
func (q *Queue[T]) settle(s Supply, now time.Time) {
	q.setShares(s, now)
	wanted := 0.0
	for _, c := range q.classes {
		wanted += c.largest
	}
	wanted = min(wanted, maxCushion*s.Capacity)
	q.cushion = min(q.cushion, wanted)
	rest := s.Available - q.cushion - q.common
	for _, c := range q.classes {
		rest -= c.credit
		if excess := c.credit - c.limit; excess > 0 {
			c.credit = c.limit
			q.common += excess
		}
	}
	switch {
	case rest < 0:
		part := min(-rest, q.cushion)
		q.cushion -= part
		q.common += rest + part
	case q.common < 0:
		// Half of the accrual goes on to the classes, so that a class that begins does not hold up the others.
		repaid := min(rest/2, -q.common)
		q.common += repaid
		rest -= repaid
	}
	if rest > 0 {
		// The cushion grows out of a part of the accrual, so that a new queue, whose supply is empty, grants at once.
		part := min(cushionShare*rest, wanted-q.cushion)
		q.cushion += part
		rest -= part
	}
	for rest > 0 {
		rest = q.distribute(rest)
	}
}

// distribute credits tokens to the classes that can use them, and returns the tokens that remain because classes have
// reached their limit. If no class can use more, the tokens are for all.
func (q *Queue[T]) distribute(tokens float64) (rest float64) {
	weights := 0.0
	for _, c := range q.classes {
		if c.credit < c.limit {
			weights += c.weight
		}
	}
	if weights <= 0 {
		q.common += tokens
		return 0
	}
	for _, c := range q.classes {
		if c.credit >= c.limit {
			continue
		}
		part := tokens * c.weight / weights
		if room := c.limit - c.credit; part >= room {
			rest += part - room
			c.credit = c.limit
			continue
		}
		c.credit += part
	}
	return rest
}

// setShares sets the weights, rates and limits of the classes.
func (q *Queue[T]) setShares(s Supply, now time.Time) {
	weights, demand := 0.0, 0.0
	for _, c := range q.classes {
		haste := 1 - float64(c.returnTime)/float64(maxRetryAfter)
		c.weight = max(c.demand, 1) * (1 + hasteFactor*haste)
		weights += c.weight
		demand += c.demand
		c.limit = c.returned.tokens + c.fresh.tokens
		// Nothing is left while the supply is full, because what accrues is lost then.
		if c.Aim <= 2*patientWait && now.Sub(c.askedAt) < time.Second && s.Available < s.Capacity-rounding {
			c.limit += max(c.demand/demandWindow.Seconds()*leftFor.Seconds(), c.size)
		}
	}
	for _, c := range q.classes {
		// A class gets its share, or what the others do not ask for if that is more.
		c.rate = max(s.Rate*c.weight/weights, s.Rate-(demand-c.demand)/demandWindow.Seconds())
	}
}

// covers reports whether a class has the credit for a request.
func (q *Queue[T]) covers(c *class[T], tokens float64) bool {
	return c.credit+max(q.common, 0) >= max(tokens-q.cushion, 0)-rounding
}

// fits reports whether the supply covers a request.
func fits(tokens float64, s Supply) bool { return tokens <= s.Available+rounding }

// hasUrgentBlocked reports whether a request of a more urgent class waits only until the supply covers it.
func (q *Queue[T]) hasUrgentBlocked(than *class[T], s Supply) bool {
	for _, c := range q.classes {
		if c == than {
			break
		}
		if l := c.next(); l != nil && q.covers(c, l.entries[0].Tokens) && !fits(l.entries[0].Tokens, s) {
			return true
		}
	}
	return false
}

// charge takes the tokens of a request from the credit of its class, and from the common tokens before the class owes
// any.
func (q *Queue[T]) charge(c *class[T], tokens float64) {
	c.credit -= tokens
	if c.credit < 0 && q.common > 0 {
		part := min(-c.credit, q.common)
		c.credit += part
		q.common -= part
	}
}
