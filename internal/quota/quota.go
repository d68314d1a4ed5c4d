// Package quota keeps each workspace within its rate over all hosts. Every rate is split evenly
// over the hosts. A host that has a session with the coordinator keeps a fixed part of its share and
// leaves the rest to a reserve, which the coordinator hands out in tokens to hosts with requests that
// their own part does not cover. A host without a session uses its whole share, after a time in
// which the coordinator has stopped to count on it. So rate and burst of the parts sum to those of
// the workspace, whatever a host knows of the others.
//
// The package is pure; its types belong to the goroutine that owns the control state.
package quota

import (
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
)

const (
	// fixedPart is the part of its share that a host with a session keeps.
	fixedPart = 0.4
	// aloneAfter is how long a host must have been without a session before it uses its whole share;
	// ReportTerm is how long the coordinator counts on a host after its last report.
	aloneAfter = 1200 * time.Millisecond
	ReportTerm = 800 * time.Millisecond
	// membershipMemory is how long a host that is no longer registered still counts: it may go on
	// admitting until it notices that its registration is gone.
	membershipMemory = 8 * time.Second
	// GrantTerm is how long after the host asked for them granted tokens may be used.
	GrantTerm = time.Second
	// rounding is less than a token: sums of grants that cover a request exactly must admit it.
	rounding = 0.01
	// longestWait bounds the waits that are told, also for workspaces with a tiny rate.
	longestWait = time.Minute
)

// bucket is a level of tokens that rises with time.
type bucket struct {
	level   float64
	updated time.Time
}

// refill adds what has accrued; a level above the capacity is kept but does not grow.
func (b *bucket) refill(rate, capacity float64, now time.Time) {
	dt := now.Sub(b.updated).Seconds()
	b.updated = now
	if dt > 0 && b.level < capacity {
		b.level = min(b.level+rate*dt, capacity)
	}
}

// take charges tokens when level and overdraft cover them, or says after which time they will.
func (b *bucket) take(tokens, overdraft, rate float64) (time.Duration, bool) {
	lack := tokens - b.level - overdraft
	if lack <= rounding {
		b.level -= tokens
		return 0, true
	}
	return waitFor(lack, rate), false
}

func waitFor(lack, rate float64) time.Duration {
	if rate <= 0 {
		return longestWait
	}
	return time.Duration(min(lack/rate, longestWait.Seconds()) * float64(time.Second))
}

// Slack is by how much the hosts together may exceed the rate and burst of a workspace.
type Slack struct {
	// Factor is a part of rate and burst. It makes up for tokens that are stranded at hosts without
	// requests.
	Factor float64
	// Tokens is a number of tokens, half of it for the hosts and half for the reserve.
	Tokens float64
}

// limits returns the rate and burst that are divided.
func (s Slack) limits(w *catalog.Workspace) (rate, burst float64) {
	return w.Rate * (1 + s.Factor), w.Burst * (1 + s.Factor)
}

// Limiter admits the requests of one host out of its fixed part and of granted tokens.
type Limiter struct {
	slack   Slack
	catalog *catalog.Catalog
	buckets map[entity.WorkspaceID]*bucket
	// emptyUntil is when the reserve is expected to have tokens again.
	emptyUntil map[entity.WorkspaceID]time.Time
	members    map[entity.HostID]time.Time
	hosts      int
	// coordinated says that there is a session with the coordinator, since or until coordinatedAt.
	coordinated   bool
	coordinatedAt time.Time
}

// New returns a Limiter of a process that has just started. Its predecessor may have had a session
// until now.
func New(slack Slack, now time.Time) *Limiter {
	return &Limiter{
		coordinatedAt: now,
		slack:         slack,
		buckets:       make(map[entity.WorkspaceID]*bucket),
		emptyUntil:    make(map[entity.WorkspaceID]time.Time),
		members:       make(map[entity.HostID]time.Time),
		hosts:         1,
	}
}

// SetCatalog puts a configuration in force. A changed rate counts from now and refills nothing.
func (l *Limiter) SetCatalog(c *catalog.Catalog, now time.Time) {
	l.refillAll(now)
	l.catalog = c
	clear(l.emptyUntil)
	for id, w := range c.Workspaces() {
		b := l.bucket(id, now)
		_, capacity := l.share(w, now)
		b.level = min(b.level, capacity)
	}
}

// SetCoordinated says whether there is a session with the coordinator.
func (l *Limiter) SetCoordinated(yes bool, now time.Time) {
	if yes == l.coordinated {
		return
	}
	l.refillAll(now)
	l.coordinated = yes
	l.coordinatedAt = now
	clear(l.emptyUntil)
	for id, b := range l.buckets {
		if w := l.workspace(id); w != nil && yes {
			_, capacity := l.share(w, now)
			b.level = min(b.level, capacity)
		}
	}
}

// SetMembers takes over the registered hosts. Hosts that are gone count for some time longer.
func (l *Limiter) SetMembers(ids []entity.HostID, now time.Time) {
	l.refillAll(now)
	for _, id := range ids {
		l.members[id] = now
	}
	for id, seen := range l.members {
		if now.Sub(seen) > membershipMemory {
			delete(l.members, id)
		}
	}
	former := l.hostOverdraft()
	l.hosts = max(len(l.members), 1)
	// What this host may admit now does not depend on how many others there are.
	for _, b := range l.buckets {
		b.level += former - l.hostOverdraft()
	}
}

func (l *Limiter) refillAll(now time.Time) {
	for id, b := range l.buckets {
		if w := l.workspace(id); w != nil {
			rate, capacity := l.share(w, now)
			b.refill(rate, capacity, now)
		}
	}
}

// share returns this host's own part of a workspace's rate and burst.
func (l *Limiter) share(w *catalog.Workspace, now time.Time) (rate, capacity float64) {
	part := 1 / float64(l.hosts)
	if l.coordinated || now.Sub(l.coordinatedAt) < aloneAfter {
		part *= fixedPart
	}
	rate, burst := l.slack.limits(w)
	return rate * part, burst * part
}

func (l *Limiter) hostOverdraft() float64 { return l.slack.Tokens / 2 / float64(l.hosts) }

// bucket returns the level of a workspace. A new process starts below zero by its overdraft, because
// its predecessor may have spent burst and overdraft just now.
func (l *Limiter) bucket(id entity.WorkspaceID, now time.Time) *bucket {
	b := l.buckets[id]
	if b == nil {
		b = &bucket{level: -l.hostOverdraft(), updated: now}
		l.buckets[id] = b
	}
	return b
}

func (l *Limiter) workspace(id entity.WorkspaceID) *catalog.Workspace {
	if l.catalog == nil {
		return nil
	}
	return l.catalog.Workspace(id)
}

// Hosts returns the number of hosts among which the fixed parts are divided.
func (l *Limiter) Hosts() int { return l.hosts }

// Admit charges a request, or says how many tokens it lacks and after which time they will be there
// without a grant.
func (l *Limiter) Admit(id entity.WorkspaceID, tokens float64, now time.Time) (lack float64, wait time.Duration, ok bool) {
	w := l.workspace(id)
	if w == nil || w.Rate <= 0 {
		return 0, 0, true
	}
	b := l.bucket(id, now)
	rate, capacity := l.share(w, now)
	b.refill(rate, capacity, now)
	lack = tokens - b.level - l.hostOverdraft()
	wait, ok = b.take(tokens, l.hostOverdraft(), rate)
	return lack, wait, ok
}

// Grant adds tokens that the coordinator has granted.
func (l *Limiter) Grant(id entity.WorkspaceID, tokens float64, now time.Time) {
	if w := l.workspace(id); w != nil {
		b := l.bucket(id, now)
		rate, capacity := l.share(w, now)
		b.refill(rate, capacity, now)
		b.level += tokens
	}
}

// SetEmpty takes over after which time the reserve will have tokens; zero means it has some.
func (l *Limiter) SetEmpty(id entity.WorkspaceID, wait time.Duration, now time.Time) {
	if wait <= 0 {
		delete(l.emptyUntil, id)
		return
	}
	l.emptyUntil[id] = now.Add(wait)
}

// ReserveWait returns the time until the reserve is expected to have tokens.
func (l *Limiter) ReserveWait(id entity.WorkspaceID, now time.Time) time.Duration {
	return max(l.emptyUntil[id].Sub(now), 0)
}

// Refund returns the tokens of a request that never ran.
func (l *Limiter) Refund(id entity.WorkspaceID, tokens float64, now time.Time) {
	w := l.workspace(id)
	if w == nil || w.Rate <= 0 {
		return
	}
	b := l.bucket(id, now)
	rate, capacity := l.share(w, now)
	b.refill(rate, capacity, now)
	b.level = min(b.level+tokens, max(capacity, b.level))
}

// Levels returns the tokens that this host may admit by workspace, as of the last request.
func (l *Limiter) Levels() map[entity.WorkspaceID]float64 {
	out := make(map[entity.WorkspaceID]float64, len(l.buckets))
	for id, b := range l.buckets {
		out[id] = b.level + l.hostOverdraft()
	}
	return out
}
