// Package tokenqueue decides in which order the requests of one workspace get tokens while they ask for more than its
// rate, and which of them are refused at once.
//
// Requests of the same rank and target latency form a class. The tokens that accrue are credited to the classes in
// proportion to the tokens that they have recently asked for, with a moderate factor for those whose callers have no time
// to return. A class that needs less than its part leaves the rest to the others. Inside a class, the request that can
// wait the shortest goes first.
//
// A class without debt may take a request of any usual size and pay for it afterwards, so that large requests are served
// as often as small ones. The tokens for that are a cushion, as far as the burst allows one large request of each class.
//
// A request whose class cannot have credit for it in time is refused when it arrives. If it can come back while its caller
// still waits, tokens are booked for its return out of a part of the accrual of its class, and it then goes before new
// requests of the class. A return without a booking is treated like a new request, but is not counted as demand again.
//
// The queue holds no tokens: the caller passes what is available, and takes what is granted. The package does no I/O and
// reads no clock. The cost of a call depends on the number of classes, which is bounded, and on the logarithm of the
// number of waiting requests.
package tokenqueue

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"
)

const (
	// demandWindow is the time constant of the decay of the demand of a class. It spans enough requests of a rare class
	// for a stable share, and follows a burst of a few seconds.
	demandWindow = 3000 * time.Millisecond
	// sizeWindow is the time constant of the decay of the size of the largest request.
	sizeWindow = 10 * time.Second
	// hasteFactor is by how much the share of a class is raised whose callers have no time to return. Callers with time
	// to return get tokens that accrue after a burst.
	hasteFactor = 0.35
	// patientWait distinguishes classes that can wait this long from those for which tokens are left in advance. These
	// are the tokens that they are expected to ask for in leftFor, at least those of one request.
	patientWait = 600 * time.Millisecond
	leftFor     = 100 * time.Millisecond
	// returnShare is the part of the accrual of a class that is booked for requests which are told to come back. The
	// rest serves new requests, which are in time.
	returnShare = 0.25
	// earliestReturn is the part of the time that a caller can be told to wait after which the earliest returns are
	// booked: by then a short burst has ended, and returns take no tokens of new requests.
	earliestReturn = 0.8
	// maxRetryAfter limits the time after which a refused request should retry, and minRetryAfter is the least.
	maxRetryAfter = 4 * time.Second
	minRetryAfter = 50 * time.Millisecond
	// returnGrace is how long after its time a return is still recognized.
	returnGrace = time.Second
	// maxCushion is the largest part of the capacity that is held back as a cushion.
	maxCushion = 0.6
	// cushionShare is the part of the accrual that fills the cushion until it is full.
	cushionShare = 0.25
	// sizeWeight is the weight of the newest request in the mean size and return time of a class.
	sizeWeight = 0.1
	// maxRecorded bounds one record of demand, in capacities of the workspace.
	maxRecorded = 100
	// maxExpected bounds the returns that a queue recognizes, and maxClasses its classes. Requests of further classes join
	// the last one.
	maxExpected = 8192
	maxClasses  = 16
	// classTTL is how long a class is kept without requests.
	classTTL = 10 * time.Second
	// minClosed is the shortest time for which a class is reported as closed.
	minClosed = 30 * time.Millisecond
	// rounding is the error of sums of tokens that is ignored.
	rounding = 0.005
	// spreadStep is the fractional part of the golden ratio. Its multiples modulo 1 are spread evenly, however many
	// there are.
	spreadStep = 0.6180339887
)

// Class identifies requests that are equally urgent. A lower rank is more urgent, and then a shorter target latency.
type Class struct {
	Rank int
	Aim  time.Duration
}

// Compare compares two classes; the more urgent one is less.
func (c Class) Compare(other Class) int {
	return cmp.Or(cmp.Compare(c.Rank, other.Rank), cmp.Compare(c.Aim, other.Aim))
}

// Request asks for tokens.
type Request[T any] struct {
	Class  Class
	Tokens float64
	// Until is the time until which the request can wait for the tokens.
	Until time.Time
	// RetryWithin is the longest time after which the caller can return, zero if it is not known.
	RetryWithin time.Duration
	// Digest recognizes the request when it returns, zero if it is not known.
	Digest  uint64
	Payload T
}

// returnTime returns the longest time after which a refused request is told to retry.
func (r *Request[T]) returnTime() time.Duration {
	if r.RetryWithin <= 0 {
		return maxRetryAfter
	}
	return min(r.RetryWithin, maxRetryAfter)
}

// Supply describes the tokens of the workspace: those that can be granted now, the rate at which they accrue, and the
// number up to which they do.
type Supply struct {
	Available, Rate, Capacity float64
}

// Outcome is the decision on a request.
type Outcome int

// The decisions on a request. The tokens of a granted request must be taken from the supply.
const (
	Waits Outcome = iota
	Granted
	Refused
)

// Verdict is the decision on a request with its details.
type Verdict struct {
	Outcome Outcome
	// RetryAfter is set for a refused request.
	RetryAfter time.Duration
	// ClosedFor is set for a refused request if no new request of its class and size can be granted that arrives before
	// this time has passed.
	ClosedFor time.Duration
}

// Queue holds the waiting requests of one workspace.
type Queue[T any] struct {
	// classes are sorted by urgency.
	classes []*class[T]
	// common holds the tokens that are credited to no class, negative if the supply was lowered.
	// The credits, the cushion and common sum to the available tokens.
	common, cushion float64
	// capacity is Supply.Capacity of the last request.
	capacity float64
	updated  time.Time
	waiting  int
	// expected holds the returns that are expected by digest, and expectedOrder their digests in the order of the
	// refusals.
	expected      map[uint64]expectedReturn
	expectedOrder []uint64
	// refusals is the number of refusals without a booking.
	refusals int
	sequence uint64
}

// expectedReturn is the return of a refused request, which is recognized until a time.
type expectedReturn struct {
	until  time.Time
	booked bool
}

// class holds the requests of one class.
type class[T any] struct {
	Class
	// demand is the number of tokens that were asked for in demandWindow, with exponential decay, and size the mean of
	// the last requests.
	demand, size float64
	askedAt      time.Time
	// credit is negative while the class pays for a large request. largest is the size of the largest recent request.
	credit, largest float64
	// returnTime is the mean time that the callers of the last requests have to return.
	returnTime time.Duration
	// weight, rate and limit are the weight of the share, the rate at which credit is expected to accrue, and the most
	// credit that the class can use.
	weight, rate, limit float64
	// returned and fresh hold the requests with a booking and the others.
	returned, fresh lane[T]
	// bookedUntil is the time up to which the accrual for returns is booked.
	bookedUntil time.Time
}

// lane is a heap of requests by the time until which they can wait, with the sum of their tokens.
type lane[T any] struct {
	entries []entry[T]
	tokens  float64
}

type entry[T any] struct {
	Request[T]
	returned bool
	sequence uint64
}

func (l *lane[T]) Len() int { return len(l.entries) }

func (l *lane[T]) Less(i, j int) bool {
	a, b := &l.entries[i], &l.entries[j]
	if !a.Until.Equal(b.Until) {
		return a.Until.Before(b.Until)
	}
	return a.sequence < b.sequence
}

func (l *lane[T]) Swap(i, j int) { l.entries[i], l.entries[j] = l.entries[j], l.entries[i] }

// Push implements heap.Interface.
func (l *lane[T]) Push(x any) { l.entries = append(l.entries, x.(entry[T])) }

// Pop implements heap.Interface.
func (l *lane[T]) Pop() any {
	last := len(l.entries) - 1
	e := l.entries[last]
	l.entries[last] = entry[T]{}
	l.entries = l.entries[:last]
	return e
}

func (l *lane[T]) add(e entry[T]) {
	heap.Push(l, e)
	l.tokens += e.Tokens
}

func (l *lane[T]) take() entry[T] {
	e := heap.Pop(l).(entry[T])
	l.tokens -= e.Tokens
	if len(l.entries) == 0 {
		l.tokens = 0
	}
	return e
}

// New returns an empty queue.
func New[T any]() *Queue[T] { return &Queue[T]{expected: make(map[uint64]expectedReturn)} }

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return q.waiting }

// RecordDemand records tokens that were asked for and refused elsewhere.
func (q *Queue[T]) RecordDemand(id Class, tokens float64, now time.Time) {
	q.decay(now)
	c := q.class(id)
	c.askedAt = now
	// The limit keeps one wrong message from distorting the shares for long.
	c.demand += min(tokens, maxRecorded*q.capacity)
}

// Offer decides on a new request.
func (q *Queue[T]) Offer(req Request[T], s Supply, now time.Time) Verdict {
	q.decay(now)
	c := q.class(req.Class)
	returned, booked := q.takeExpected(req.Digest, now)
	c.askedAt = now
	q.capacity = s.Capacity
	usable := min(req.Tokens, s.Capacity)
	if !returned {
		c.demand += usable
		if c.size == 0 {
			c.size = usable
		}
		c.size += sizeWeight * (usable - c.size)
		c.returnTime += time.Duration(sizeWeight * float64(req.returnTime()-c.returnTime))
	}
	c.largest = max(c.largest, usable)
	q.settle(s, now)
	ahead := c.returned.Len()
	if !booked {
		ahead += c.fresh.Len()
	}
	if ahead == 0 && q.covers(c, req.Tokens) && fits(req.Tokens, s) && !q.hasUrgentBlocked(c, s) {
		q.charge(c, req.Tokens)
		return Verdict{Outcome: Granted}
	}
	wait := q.waitFor(c, req.Tokens, booked, s, now)
	if now.Add(wait).After(req.Until) {
		return q.refuse(c, req, returned, wait, s, now)
	}
	q.sequence++
	e := entry[T]{Request: req, returned: returned, sequence: q.sequence}
	if booked {
		c.returned.add(e)
	} else {
		c.fresh.add(e)
	}
	q.waiting++
	return Verdict{Outcome: Waits}
}

// Next removes and returns the next waiting request that is granted or refused now. It returns false if there is none.
func (q *Queue[T]) Next(s Supply, now time.Time) (Request[T], Verdict, bool) {
	if q.waiting == 0 {
		return Request[T]{}, Verdict{}, false
	}
	q.decay(now)
	q.settle(s, now)
	for _, c := range q.classes {
		l := c.next()
		if l == nil || !q.covers(c, l.entries[0].Tokens) {
			continue
		}
		if !fits(l.entries[0].Tokens, s) {
			// Less urgent classes leave the tokens for this one, which waits for a short time only.
			break
		}
		q.waiting--
		req := l.take()
		q.charge(c, req.Tokens)
		return req.Request, Verdict{Outcome: Granted}, true
	}
	for _, c := range q.classes {
		for _, l := range []*lane[T]{&c.returned, &c.fresh} {
			// The capacity falls below a request that waits when hosts are lost.
			if l.Len() == 0 || now.Before(l.entries[0].Until) && l.entries[0].Tokens <= s.Capacity+rounding {
				continue
			}
			q.waiting--
			req := l.take()
			wait := q.waitFor(c, req.Tokens, l == &c.returned, s, now)
			return req.Request, q.refuse(c, req.Request, req.returned, wait, s, now), true
		}
	}
	return Request[T]{}, Verdict{}, false
}

// Drain removes and returns all waiting requests.
func (q *Queue[T]) Drain() (out []Request[T]) {
	for _, c := range q.classes {
		for l := c.next(); l != nil; l = c.next() {
			out = append(out, l.take().Request)
		}
	}
	q.waiting = 0
	return out
}

// Remove removes the waiting requests for which match returns true.
func (q *Queue[T]) Remove(match func(T) bool) {
	for _, c := range q.classes {
		for _, l := range []*lane[T]{&c.returned, &c.fresh} {
			kept := l.entries
			l.entries, l.tokens = nil, 0
			q.waiting -= len(kept)
			for _, e := range kept {
				if !match(e.Payload) {
					l.add(e)
					q.waiting++
				}
			}
		}
	}
}

// next returns the lane whose first request is the next one of the class, or nil.
func (c *class[T]) next() *lane[T] {
	switch {
	case c.returned.Len() > 0:
		return &c.returned
	case c.fresh.Len() > 0:
		return &c.fresh
	}
	return nil
}

// class returns a class and adds it if necessary.
func (q *Queue[T]) class(id Class) *class[T] {
	i, found := slices.BinarySearchFunc(q.classes, id, func(c *class[T], id Class) int { return c.Class.Compare(id) })
	switch {
	case found:
		return q.classes[i]
	case len(q.classes) == maxClasses:
		return q.classes[maxClasses-1]
	}
	c := &class[T]{Class: id, returnTime: maxRetryAfter}
	q.classes = slices.Insert(q.classes, i, c)
	return c
}

// decay lowers the recorded demand and sizes, and removes classes that are no longer used.
func (q *Queue[T]) decay(now time.Time) {
	dt := now.Sub(q.updated).Seconds()
	if dt <= 0 {
		return
	}
	q.updated = now
	factor, sizeFactor := math.Exp(-dt/demandWindow.Seconds()), math.Exp(-dt/sizeWindow.Seconds())
	unused := false
	for _, c := range q.classes {
		c.demand *= factor
		c.largest *= sizeFactor
		unused = unused || c.next() == nil && now.Sub(c.askedAt) > classTTL
	}
	if !unused {
		return
	}
	q.classes = slices.DeleteFunc(q.classes, func(c *class[T]) bool {
		if c.next() != nil || now.Sub(c.askedAt) <= classTTL {
			return false
		}
		q.common += c.credit
		return true
	})
}

// waitFor returns the time until the class is expected to have the credit for a request that arrives now.
func (q *Queue[T]) waitFor(c *class[T], tokens float64, booked bool, s Supply, now time.Time) time.Duration {
	missing := c.returned.tokens + max(tokens-q.cushion, 0) - c.credit - max(q.common, 0)
	rate := c.rate
	if !booked {
		missing += c.fresh.tokens
		if c.bookedUntil.After(now) {
			rate *= 1 - returnShare
		}
	}
	wait := accrual(missing, rate)
	if tokens > s.Capacity {
		return time.Minute
	}
	return max(wait, accrual(tokens-s.Available, s.Rate))
}

// accrual returns the time in which a number of tokens accrues at a rate, at most a minute.
func accrual(tokens, rate float64) time.Duration {
	switch {
	case tokens <= 0:
		return 0
	case tokens >= 60*rate:
		return time.Minute
	}
	return time.Duration(tokens / rate * float64(time.Second))
}
