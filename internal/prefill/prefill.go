// Package prefill bounds how much of the prompts that a replica is sent it must still read. An engine reads prompts
// between the tokens of its running requests, so what it still has to read stretches the pauses of their streams and
// delays the first events of requests that come later.
//
// All amounts are times in seconds of the replica, worked out from its learned speed. The room of a replica is what it may
// have to read at once. A prompt is long at a replica if it alone needs more than the room there, and long for a host if it
// is long at every replica that accepts it.
//
// Hosts send long prompts without hearing of each other. So each host has an order of its own of the replicas of a model, in
// which the first places of all hosts are spread evenly, and a replica that it has sent a long prompt counts as occupied for
// the time in which all hosts with the same first place could each have one read.
//
// The package does no I/O; times are passed in. Its types are not safe for concurrent use.
package prefill

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// pauseShare is the share of the pause that callers accept which may be used, because pauses vary.
	pauseShare = 0.9
	// aimShare is the share of the shortest aim of callers for the first event that what is read before may use. The rest is
	// for their own prompt and first tokens.
	aimShare = 0.4
	// minRoomShare is the least room, as a share of the pause that callers accept: prompts that take less are never long. On
	// a replica whose pauses are too long already, no prompt could be sent otherwise.
	minRoomShare = 0.15
	// callersWindow is how long a caller counts for the demands at a service at least.
	callersWindow = 10 * time.Second
	// demandTime is the time constant of the average demand for long prompts, and maxLongShare the share of its time for
	// which a replica reads them before another one is used for them. Beyond it they wait for each other.
	demandTime   = 30 * time.Second
	maxLongShare = 0.5
	// replicasPerSeparate is the number of replicas for each one that takes long prompts only so that few hosts, which may
	// not hear of each other, need not share one.
	replicasPerSeparate = 2
	// maxHarmed bounds the running streams that a long prompt counts for, and harmPerStream is the cost for each of them, in
	// multiples of the pause by which it is stretched beyond what its caller accepts.
	maxHarmed     = 8.0
	harmPerStream = 0.5
)

// Demands are the strictest demands of callers: the pause that they accept, and their aim for the first event.
type Demands struct{ Interval, Aim time.Duration }

// Callers holds the demands of the callers at a service in the last seconds.
type Callers struct {
	current, previous Demands
	since             time.Time
}

// Add records the demands of a caller.
func (c *Callers) Add(d Demands, now time.Time) {
	if age := now.Sub(c.since); age >= callersWindow {
		c.previous = c.current
		if age >= 2*callersWindow {
			c.previous = Demands{}
		}
		c.current, c.since = Demands{}, now
	}
	c.current = strictest(c.current, d)
}

// Demands returns the strictest demands, and those of d if no caller has been recorded.
func (c *Callers) Demands(d Demands) Demands {
	return strictest(strictest(c.current, c.previous), d)
}

func strictest(a, b Demands) Demands {
	return Demands{Interval: shorter(a.Interval, b.Interval), Aim: shorter(a.Aim, b.Aim)}
}

// shorter returns the shorter of two times; zero is none.
func shorter(a, b time.Duration) time.Duration {
	if a == 0 || b > 0 && b < a {
		return b
	}
	return a
}

// Room returns how long a replica may need to read the prompts that it has, if the pauses of its streams last a given time
// without them.
func Room(d Demands, pause float64) float64 {
	room := min(pauseShare*d.Interval.Seconds()-pause, aimShare*d.Aim.Seconds())
	return max(room, minRoomShare*d.Interval.Seconds())
}

// Harm returns the cost of a prompt for the streams that a replica runs, if what it has to read exceeds its room then.
func Harm(pending, prompt, room, streams float64, d Demands) float64 {
	beyond := max(pending+prompt-room, 0) / d.Interval.Seconds()
	return harmPerStream * min(beyond, 1) * min(streams, maxHarmed)
}

// Ledger is what one host has sent to a replica and the replica still has to read.
type Ledger struct {
	pending, occupied float64
	at                time.Time
}

// advance subtracts what the replica has read by now.
func (l *Ledger) advance(sharing int, now time.Time) {
	read := max(now.Sub(l.at).Seconds(), 0)
	l.pending = max(l.pending-read, 0)
	l.occupied = max(l.occupied-read/float64(max(sharing, 1)), 0)
	l.at = now
}

// Add records a prompt that is sent. sharing is the number of hosts that share the replica for long prompts.
func (l *Ledger) Add(seconds float64, long bool, sharing int, now time.Time) {
	l.advance(sharing, now)
	l.pending += seconds
	if long {
		l.occupied += seconds
	}
}

// Pending returns how long the replica needs to read what this host has sent.
func (l *Ledger) Pending(now time.Time) float64 {
	return max(l.pending-max(now.Sub(l.at).Seconds(), 0), 0)
}

// Occupied reports whether the replica may still have long prompts of this host, or of the hosts that share it, to read.
func (l *Ledger) Occupied(sharing int, now time.Time) bool {
	return l.occupied > max(now.Sub(l.at).Seconds(), 0)/float64(max(sharing, 1))
}

// Demand is how much of the replicas of a model the long prompts of a host need.
type Demand struct {
	seconds float64
	at      time.Time
}

// Add records a long prompt that a replica needs some seconds to read.
func (d *Demand) Add(seconds float64, now time.Time) {
	d.seconds = d.decayed(now) + seconds
	d.at = now
}

func (d *Demand) decayed(now time.Time) float64 {
	return d.seconds * math.Exp(-max(now.Sub(d.at).Seconds(), 0)/demandTime.Seconds())
}

// Ended reports whether the last long prompt is so long past that the demand is practically zero.
func (d *Demand) Ended(now time.Time) bool { return now.Sub(d.at) > 10*demandTime }

// Replicas returns how many of n replicas all hosts need for the long prompts of the model, if all have as many as this
// one, and the share of the time for which those replicas read them.
func (d *Demand) Replicas(h Hosts, n int, now time.Time) (needed int, used float64) {
	total := d.decayed(now) / demandTime.Seconds() * float64(max(h.Count, 1))
	separate := min(h.Count, n/replicasPerSeparate)
	needed = min(max(int(math.Ceil(total/maxLongShare)), separate, 1), n)
	return needed, min(total/float64(max(needed, 1)), 1)
}

// Hosts is the place of a host among all of them.
type Hosts struct{ Index, Count int }

// Sharing returns the number of hosts that have the same replica first if their first places are spread over n.
func (h Hosts) Sharing(n int) int { return (max(h.Count, 1) + max(n, 1) - 1) / max(n, 1) }

// Order sorts replicas, given by index, into the order in which the host uses them for the long prompts of a model: first
// the needed ones, which are the same at all hosts, beginning at a place of its own, and then the others. If there is a
// needed replica for every host, those of other hosts come last. The hashes of replicas are the same at all hosts.
func (h Hosts) Order(replicas []int, needed int, hash func(replica int) uint64) {
	slices.SortFunc(replicas, func(a, b int) int { return cmp.Compare(hash(a), hash(b)) })
	if needed = min(needed, len(replicas)); needed > 0 {
		rotate(replicas[:needed], h.Index)
		rotate(replicas[needed:], h.Index)
		if h.Count <= needed {
			rotate(replicas[1:], needed-1)
		}
	}
}

// rotate moves the given number of elements from the start to the end, in a cycle.
func rotate(replicas []int, n int) {
	if len(replicas) > 0 {
		n %= len(replicas)
		copy(replicas, append(slices.Clone(replicas[n:]), replicas[:n]...))
	}
}
