// Package quota keeps each workspace within its rate over all hosts. A part of every rate, small over
// many hosts, is split evenly over them; the rest is a reserve, out of which the coordinator grants tokens to
// hosts with requests that their level does not cover.
//
// A host without a coordinator uses its fallback part instead of the reserve. Fallback parts follow
// the demand of the hosts. The coordinator assigns them, so that they sum to the reserve's part of the
// rate, and leaves the parts of hosts that it does not hear out of the reserve. So rate and burst of
// all parts sum to those of the workspace, whatever a host knows of the others.
//
// The package is pure; its types belong to the goroutine that owns the control state.
package quota

import (
	"maps"
	"math"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
)

const (
	// The part of every rate that is split evenly over the hosts is evenHosts of their shares, between
	// leastEven and mostEven: few hosts keep some service while the coordinator is silent, at many hosts
	// the even part covers no request.
	evenHosts = 1.4
	leastEven = 0.05
	mostEven  = 0.2
	// AloneAfter is how long a host must have been without a session before it uses its fallback part;
	// ReportTerm is how long the coordinator counts on a host after its last report. A silent session
	// ends later than ReportTerm.
	AloneAfter = 300 * time.Millisecond
	ReportTerm = 800 * time.Millisecond
	// membershipMemory is how long a host that is no longer registered still counts: it may go on
	// admitting until it notices that its registration is gone.
	membershipMemory = 8 * time.Second
	// stockTerm is how long a host keeps granted tokens that its request did not need; stockMemory is
	// how long the coordinator counts on them.
	stockTerm   = 15 * time.Second
	stockMemory = 18 * time.Second
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
	// Tokens is a number of tokens: a quarter each for the reserve and for stocks at hosts, and half for
	// hosts without a coordinator.
	Tokens float64
	// Window is the length over which the bound is judged, zero if rate and burst bound every moment.
	Window time.Duration
}

// limits returns the rate and burst that are divided.
func (s Slack) limits(w *catalog.Workspace) (rate, burst float64) {
	return w.Rate * (1 + s.Factor), w.Burst * (1 + s.Factor)
}

// stock returns how many tokens of a workspace may lie at hosts beyond the level of the reserve; besides
// its part of the tolerated tokens it takes half of what Factor leaves of the tolerated overshoot.
func (s Slack) stock(w *catalog.Workspace) float64 {
	return s.Tokens/4 + s.Factor/2*(w.Rate*s.Window.Seconds()+w.Burst)
}

// overdraft is by how much the reserve may go below zero.
func (s Slack) overdraft() float64 { return s.Tokens / 4 }

// aloneOverdraft is the same for a host without a coordinator that has a part of a rate.
func (s Slack) aloneOverdraft(part float64, hosts int) float64 {
	return s.Tokens / 2 * part / reservePart(hosts)
}

// Limiter admits the requests of one host out of its own parts and of granted tokens.
type Limiter struct {
	slack   Slack
	catalog *catalog.Catalog
	buckets map[entity.WorkspaceID]*bucket
	// grantedAt is when tokens of a workspace were granted last.
	grantedAt map[entity.WorkspaceID]time.Time
	members   map[entity.HostID]time.Time
	hosts     int
	// coordinated says that there is a session with the coordinator; aloneFrom is when the fallback
	// parts count without one.
	coordinated bool
	aloneFrom   time.Time
	// fallback holds the fallback parts, which count while the registration of the host is certain.
	fallback        map[entity.WorkspaceID]float64
	fallbackVersion uint64
	registeredUntil time.Time
}

// New returns a Limiter of a process that has just started. It has no fallback parts.
func New(slack Slack, now time.Time) *Limiter {
	return &Limiter{
		aloneFrom: now,
		slack:     slack,
		buckets:   make(map[entity.WorkspaceID]*bucket),
		grantedAt: make(map[entity.WorkspaceID]time.Time),
		members:   make(map[entity.HostID]time.Time),
		fallback:  make(map[entity.WorkspaceID]float64),
		hosts:     1,
	}
}

// SetCatalog puts a configuration in force. A changed rate counts from now and refills nothing.
func (l *Limiter) SetCatalog(c *catalog.Catalog, now time.Time) {
	l.refillAll(now)
	l.catalog = c
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
	l.aloneFrom = now.Add(AloneAfter)
	for id, b := range l.buckets {
		if w := l.workspace(id); w != nil && yes {
			_, capacity := l.share(w, now)
			b.level = min(b.level, capacity)
		}
	}
}

// SetRegistered says until when the registration of this host is certain by its own clock. The
// coordinator gives the fallback parts of a host away once its registration has ended.
func (l *Limiter) SetRegistered(until, now time.Time) {
	l.refillAll(now)
	l.registeredUntil = until
}

// ForgetFallback drops the fallback parts, because the registration of this host has ended meanwhile.
func (l *Limiter) ForgetFallback(now time.Time) {
	l.refillAll(now)
	clear(l.fallback)
}

// SetFallback takes over fallback parts that the coordinator has assigned. Workspaces that are not named
// keep theirs.
func (l *Limiter) SetFallback(parts map[entity.WorkspaceID]float64, version uint64, now time.Time) {
	l.refillAll(now)
	maps.Copy(l.fallback, validParts(parts))
	l.fallbackVersion = version
}

// validParts leaves out what is no part of a rate: messages come from other processes.
func validParts(parts map[entity.WorkspaceID]float64) map[entity.WorkspaceID]float64 {
	out := make(map[entity.WorkspaceID]float64, len(parts))
	for id, part := range parts {
		if part >= 0 && part <= 1 {
			out[id] = part
		}
	}
	return out
}

// validTokens says whether a number of tokens can be asked for or granted.
func validTokens(tokens float64) bool { return tokens > 0 && !math.IsInf(tokens, 0) }

// Fallback returns a copy of the fallback parts, and the version of the last assignment.
func (l *Limiter) Fallback() (parts map[entity.WorkspaceID]float64, version uint64) {
	return maps.Clone(l.fallback), l.fallbackVersion
}

// FallbackFrom returns from when the fallback parts count, and whether there are any for a host that is
// without a session.
func (l *Limiter) FallbackFrom() (time.Time, bool) {
	return l.aloneFrom, !l.coordinated && len(l.fallback) > 0 && l.aloneFrom.Before(l.registeredUntil)
}

// FallbackVersion returns the version of the last assignment of fallback parts.
func (l *Limiter) FallbackVersion() uint64 { return l.fallbackVersion }

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
	l.hosts = max(len(l.members), 1)
}

func (l *Limiter) refillAll(now time.Time) {
	for id, b := range l.buckets {
		if w := l.workspace(id); w != nil {
			l.refill(b, w, now)
		}
	}
}

// refill adds what has accrued: the even part, and the fallback part for the time without a coordinator.
func (l *Limiter) refill(b *bucket, w *catalog.Workspace, now time.Time) {
	if turn := earliest(l.aloneFrom, now); !l.coordinated && b.updated.Before(turn) {
		rate, capacity := l.evenShare(w)
		b.refill(rate, capacity, turn)
	}
	if end := earliest(l.registeredUntil, now); l.alone(b.updated) && end.Before(now) {
		rate, capacity := l.share(w, b.updated)
		b.refill(rate, capacity, end)
	}
	rate, capacity := l.share(w, now)
	b.refill(rate, capacity, now)
}

// evenPart is the part of every rate that is split evenly over the hosts, reservePart the rest.
func evenPart(hosts int) float64 {
	return min(max(evenHosts/float64(max(hosts, 1)), leastEven), mostEven)
}

func reservePart(hosts int) float64 { return 1 - evenPart(hosts) }

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// alone says whether the fallback parts count.
func (l *Limiter) alone(now time.Time) bool {
	return !l.coordinated && !now.Before(l.aloneFrom) && now.Before(l.registeredUntil)
}

func (l *Limiter) evenShare(w *catalog.Workspace) (rate, capacity float64) {
	rate, burst := l.slack.limits(w)
	part := evenPart(l.hosts) / float64(l.hosts)
	return rate * part, burst * part
}

// share returns this host's own part of a workspace's rate and burst.
func (l *Limiter) share(w *catalog.Workspace, now time.Time) (rate, capacity float64) {
	part := evenPart(l.hosts) / float64(l.hosts)
	if l.alone(now) {
		part += l.fallback[w.ID]
	}
	rate, burst := l.slack.limits(w)
	return rate * part, burst * part
}

// bucket returns the level of a workspace.
func (l *Limiter) bucket(id entity.WorkspaceID, now time.Time) *bucket {
	b := l.buckets[id]
	if b == nil {
		b = &bucket{updated: now}
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
	l.refill(b, w, now)
	rate, capacity := l.share(w, now)
	if at, ok := l.grantedAt[id]; ok && b.level > capacity && now.Sub(at) > stockTerm {
		b.level = capacity
	}
	overdraft := 0.0
	if l.alone(now) {
		overdraft = l.slack.aloneOverdraft(l.fallback[id], l.hosts)
	}
	lack = tokens - b.level - overdraft
	wait, ok = b.take(tokens, overdraft, rate)
	return lack, wait, ok
}

// Grant adds tokens that the coordinator has granted.
func (l *Limiter) Grant(id entity.WorkspaceID, tokens float64, now time.Time) {
	if w := l.workspace(id); w != nil && validTokens(tokens) {
		b := l.bucket(id, now)
		l.refill(b, w, now)
		b.level += tokens
		l.grantedAt[id] = now
	}
}

// Refund returns the tokens of a request that never ran.
func (l *Limiter) Refund(id entity.WorkspaceID, tokens float64, now time.Time) {
	w := l.workspace(id)
	if w == nil || w.Rate <= 0 {
		return
	}
	b := l.bucket(id, now)
	l.refill(b, w, now)
	_, capacity := l.share(w, now)
	b.level = min(b.level+tokens, max(capacity, b.level, tokens))
}

// Levels returns the tokens that this host may admit by workspace, as of the last request.
func (l *Limiter) Levels() map[entity.WorkspaceID]float64 {
	out := make(map[entity.WorkspaceID]float64, len(l.buckets))
	for id, b := range l.buckets {
		out[id] = b.level
	}
	return out
}
