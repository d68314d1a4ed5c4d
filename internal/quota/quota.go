// Package quota keeps each workspace within its rate over all hosts. A fraction of every rate is split
// evenly over the hosts; the more hosts there are, the smaller is this fraction. The rest of the rate is
// the reserve. The coordinator grants tokens out of the reserve to hosts whose own tokens don't cover a
// request. A grant covers the deficit of the request, and may add a surplus for later requests of the host.
//
// A host without a coordinator uses its fallback share instead of the reserve. The coordinator assigns the
// fallback shares by the demand of the hosts, and they sum to the reserve's fraction of the rate. While the
// coordinator receives no reports from a host, it withholds the fallback share of that host from the
// reserve. The rates and bursts of all shares therefore sum to those of the workspace, raised by
// Tolerance.Factor, even if hosts know nothing of each other.
//
// Rates of requests, of which an upstream takes few, are divided in another way; see division.
//
// The package does no I/O and reads no clock. Its types are not safe for concurrent use; they belong to the
// goroutine that owns the control state.
package quota

import (
	"maps"
	"math"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
)

const (
	// evenFractionScale divided by the number of hosts is the fraction of every rate that is split evenly
	// over the hosts, limited to minEvenFraction and maxEvenFraction. With few hosts the even shares keep up
	// some service while the coordinator does not answer; with many hosts an even share covers no request.
	evenFractionScale = 1.4
	minEvenFraction   = 0.05
	maxEvenFraction   = 0.2
	// FallbackDelay is how long a host must have been without a session before it uses its fallback share.
	// ReportTimeout is how long after its last report the coordinator assumes that a host uses the reserve
	// and not its fallback share. A session without messages ends later than ReportTimeout, so the coordinator
	// withholds the share before the host uses it.
	FallbackDelay = 300 * time.Millisecond
	ReportTimeout = 800 * time.Millisecond
	// memberRetention is how long a host still counts after its registration has ended: it may go on
	// admitting requests until it notices that it is no longer registered.
	memberRetention = 8 * time.Second
	// hostSurplusTTL is how long a host keeps granted tokens that its request did not need.
	// reserveSurplusTTL is how long the coordinator counts these tokens as outstanding; it is longer, so
	// that the coordinator never drops tokens that a host may still use.
	hostSurplusTTL    = 15 * time.Second
	reserveSurplusTTL = 18 * time.Second
	// roundingTolerance, less than a token, admits a request that the sum of its grants covers exactly
	// except for rounding errors.
	roundingTolerance = 0.01
	// maxReportedWait limits the waiting times that are returned, also for workspaces with a tiny rate.
	maxReportedWait = time.Minute
)

// bucket is a token bucket. Its rate and capacity are passed to every call.
type bucket struct {
	level   float64
	updated time.Time
}

// refill adds the tokens that have accrued since the last call. A level above the capacity is kept but does
// not grow.
func (b *bucket) refill(rate, capacity float64, now time.Time) {
	dt := now.Sub(b.updated).Seconds()
	b.updated = now
	if dt > 0 && b.level < capacity {
		b.level = min(b.level+rate*dt, capacity)
	}
}

// tryTake takes tokens if level and overdraft cover them. Otherwise it returns the time until they do.
func (b *bucket) tryTake(tokens, overdraft, rate float64) (time.Duration, bool) {
	deficit := tokens - b.level - overdraft
	if deficit <= roundingTolerance {
		b.level -= tokens
		return 0, true
	}
	return accrualTime(deficit, rate), false
}

// accrualTime returns how long it takes at a rate until a deficit has accrued.
func accrualTime(deficit, rate float64) time.Duration {
	if rate <= 0 {
		return maxReportedWait
	}
	return time.Duration(min(deficit/rate, maxReportedWait.Seconds()) * float64(time.Second))
}

// Limit is a rate with a burst that all hosts keep together.
type Limit struct {
	// Rate is the number of tokens per second, and Burst the number of tokens beyond it. Without a Rate there is no
	// limit.
	Rate, Burst float64
}

// Limits holds limits by their key.
type Limits map[entity.RateKey]Limit

// WorkspaceLimits returns the limits of the workspaces of a configuration.
func WorkspaceLimits(c *catalog.Catalog) Limits {
	limits := make(Limits, len(c.Workspaces()))
	for id, w := range c.Workspaces() {
		limits[entity.RateKey(id)] = Limit{Rate: w.Rate, Burst: w.Burst}
	}
	return limits
}

// Tolerance is by how much the hosts together may exceed the rate and burst of a workspace.
type Tolerance struct {
	// Factor is the tolerated excess as a fraction of rate and burst. It makes up for tokens that remain
	// unused at hosts without requests.
	Factor float64
	// Tokens is the tolerated excess as a number of tokens. A quarter of it is the overdraft of the
	// reserve, a quarter is for the surplus at hosts, and half is the overdraft of hosts without a
	// coordinator.
	Tokens float64
	// Window is the period over which the bound applies. Zero means that rate and burst apply at any time.
	Window time.Duration
}

// scaledLimits returns the rate and burst, raised by Factor, that are divided among the hosts and the
// reserve.
func (t Tolerance) scaledLimits(w Limit) (rate, burst float64) {
	return w.Rate * (1 + t.Factor), w.Burst * (1 + t.Factor)
}

// maxSurplus returns how many tokens of a workspace hosts may hold beyond the needs of their requests. They
// come on top of the level of the reserve: a quarter of Tokens, and half of the overshoot over a window that
// Factor leaves. Factor is half of the overshoot that the site tolerates, so the half that it leaves is as
// large as Factor.
func (t Tolerance) maxSurplus(w Limit) float64 {
	return t.Tokens/4 + t.Factor/2*(w.Rate*t.Window.Seconds()+w.Burst)
}

// overdraft returns by how many tokens the reserve may go below zero.
func (t Tolerance) overdraft() float64 { return t.Tokens / 4 }

// Limiter admits the requests of one host out of its even share, its fallback share and granted tokens.
type Limiter struct {
	division division
	limits   Limits
	buckets  map[entity.RateKey]*bucket
	// lastGrantAt is the time of the last grant by workspace.
	lastGrantAt map[entity.RateKey]time.Time
	// members holds by host the time of the last SetMembers call that listed it as registered.
	members map[entity.HostID]time.Time
	hosts   int
	// coordinated is set while there is a session with the coordinator. Without one, the fallback shares
	// are active from fallbackFrom.
	coordinated  bool
	fallbackFrom time.Time
	// fallbackShares are active only until registeredUntil, the time until which the registration of the
	// host is certain.
	fallbackShares  map[entity.RateKey]float64
	fallbackVersion uint64
	registeredUntil time.Time
}

// New returns the Limiter of a process that has just started, for the rates of workspaces. It has no fallback
// shares.
func New(tolerance Tolerance, now time.Time) *Limiter {
	return newLimiter(division{tolerance: tolerance}, now)
}

// NewRequestLimiter returns the Limiter of a process that has just started, for rates of requests.
func NewRequestLimiter(now time.Time) *Limiter { return newLimiter(division{requests: true}, now) }

func newLimiter(d division, now time.Time) *Limiter {
	return &Limiter{
		fallbackFrom:   now,
		division:       d,
		buckets:        make(map[entity.RateKey]*bucket),
		lastGrantAt:    make(map[entity.RateKey]time.Time),
		members:        make(map[entity.HostID]time.Time),
		fallbackShares: make(map[entity.RateKey]float64),
		hosts:          1,
	}
}

// SetLimits replaces the limits. A changed rate applies from now and does not refill the buckets.
func (l *Limiter) SetLimits(limits Limits, now time.Time) {
	l.refillAll(now)
	l.limits = limits
	if l.division.requests {
		maps.DeleteFunc(l.buckets, func(id entity.RateKey, _ *bucket) bool { return !l.isLimited(id) })
		maps.DeleteFunc(l.lastGrantAt, func(id entity.RateKey, _ time.Time) bool { return !l.isLimited(id) })
	}
	for id := range limits {
		b := l.bucket(id, now)
		if _, capacity := l.share(id, now); !l.division.requests {
			b.level = min(b.level, capacity)
		}
	}
}

// SetCoordinated sets whether there is a session with the coordinator.
func (l *Limiter) SetCoordinated(hasSession bool, now time.Time) {
	if hasSession == l.coordinated {
		return
	}
	l.refillAll(now)
	l.coordinated = hasSession
	l.fallbackFrom = now.Add(FallbackDelay)
	for id, b := range l.buckets {
		if l.isLimited(id) && hasSession {
			_, capacity := l.share(id, now)
			b.level = min(b.level, capacity)
		}
	}
}

// SetRegistered sets the time until which the registration of this host is certain by its own clock. Once
// the registration has ended, the coordinator assigns the fallback shares of the host to other hosts.
func (l *Limiter) SetRegistered(until, now time.Time) {
	l.refillAll(now)
	l.registeredUntil = until
}

// ClearFallback drops the fallback shares. It is called when the registration of this host has ended.
func (l *Limiter) ClearFallback(now time.Time) {
	l.refillAll(now)
	clear(l.fallbackShares)
}

// SetFallback stores fallback shares that the coordinator has assigned. Workspaces without an entry keep
// their share.
func (l *Limiter) SetFallback(shares map[entity.RateKey]float64, version uint64, now time.Time) {
	l.refillAll(now)
	maps.Copy(l.fallbackShares, validShares(shares))
	l.fallbackVersion = version
}

// validShares returns the shares that are between 0 and 1. It guards against invalid messages of other
// processes.
func validShares(shares map[entity.RateKey]float64) map[entity.RateKey]float64 {
	out := make(map[entity.RateKey]float64, len(shares))
	for id, share := range shares {
		if share >= 0 && share <= 1 {
			out[id] = share
		}
	}
	return out
}

// validTokens reports whether a number of tokens can be requested or granted.
func validTokens(tokens float64) bool { return tokens > 0 && !math.IsInf(tokens, 0) }

// FallbackShares returns a copy of the fallback shares, and the version of the last assignment.
func (l *Limiter) FallbackShares() (shares map[entity.RateKey]float64, version uint64) {
	return maps.Clone(l.fallbackShares), l.fallbackVersion
}

// FallbackStart returns the time from which the fallback shares are active. It also reports whether this host
// is without a session and has fallback shares that become active before its registration may end.
func (l *Limiter) FallbackStart() (time.Time, bool) {
	return l.fallbackFrom, !l.coordinated && len(l.fallbackShares) > 0 && l.fallbackFrom.Before(l.registeredUntil)
}

// FallbackVersion returns the version of the last assignment of fallback shares.
func (l *Limiter) FallbackVersion() uint64 { return l.fallbackVersion }

// SetMembers sets the registered hosts. Hosts that are no longer registered count for memberRetention more.
func (l *Limiter) SetMembers(ids []entity.HostID, now time.Time) {
	l.refillAll(now)
	for _, id := range ids {
		l.members[id] = now
	}
	for id, lastRegisteredAt := range l.members {
		if now.Sub(lastRegisteredAt) > memberRetention {
			delete(l.members, id)
		}
	}
	l.hosts = max(len(l.members), 1)
}

func (l *Limiter) refillAll(now time.Time) {
	for id, b := range l.buckets {
		if l.isLimited(id) {
			l.refill(b, id, now)
		}
	}
}

// refill adds the tokens that have accrued since the last call: those of the even share for all of that
// time, those of the fallback share only for the time in which it was active.
func (l *Limiter) refill(b *bucket, id entity.RateKey, now time.Time) {
	if fallbackStart := earliest(l.fallbackFrom, now); !l.coordinated && b.updated.Before(fallbackStart) {
		rate, capacity := l.evenShare(id)
		b.refill(rate, capacity, fallbackStart)
	}
	if end := earliest(l.registeredUntil, now); l.usesFallback(b.updated) && end.Before(now) {
		rate, capacity := l.share(id, b.updated)
		b.refill(rate, capacity, end)
	}
	rate, capacity := l.share(id, now)
	b.refill(rate, capacity, now)
}

// evenFraction returns the fraction of every rate that is split evenly over the hosts.
func evenFraction(hosts int) float64 {
	return min(max(evenFractionScale/float64(max(hosts, 1)), minEvenFraction), maxEvenFraction)
}

// reserveFraction returns the fraction of every rate that is not split evenly.
func reserveFraction(hosts int) float64 { return 1 - evenFraction(hosts) }

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// usesFallback reports whether the fallback shares are active.
func (l *Limiter) usesFallback(now time.Time) bool {
	return !l.coordinated && !now.Before(l.fallbackFrom) && now.Before(l.registeredUntil)
}

// evenShare returns this host's even share of a rate and burst.
func (l *Limiter) evenShare(id entity.RateKey) (rate, capacity float64) {
	rate, burst := l.division.tolerance.scaledLimits(l.limits[id])
	fraction := l.division.evenFraction(l.hosts) / float64(l.hosts)
	return rate * fraction, burst * fraction
}

// share returns the rate and burst that this host may use without grants: its even share, and its fallback share
// while that is active.
func (l *Limiter) share(id entity.RateKey, now time.Time) (rate, capacity float64) {
	fraction := l.division.evenFraction(l.hosts) / float64(l.hosts)
	if l.usesFallback(now) {
		fraction += l.fallbackShares[id]
	}
	rate, burst := l.division.tolerance.scaledLimits(l.limits[id])
	return rate * fraction, burst * fraction
}

// bucket returns the token bucket of a workspace and creates it if necessary.
func (l *Limiter) bucket(id entity.RateKey, now time.Time) *bucket {
	b := l.buckets[id]
	if b == nil {
		b = &bucket{updated: now}
		l.buckets[id] = b
	}
	return b
}

// isLimited reports whether there is an entry for a key, possibly without a rate.
func (l *Limiter) isLimited(id entity.RateKey) bool {
	_, ok := l.limits[id]
	return ok
}

// Hosts returns the number of hosts over which the even shares are split.
func (l *Limiter) Hosts() int { return l.hosts }

// Admit charges a request if this host has the tokens for it. Otherwise it returns the deficit and the time
// until the deficit has accrued without a grant. A rate that is not limited covers every request.
func (l *Limiter) Admit(id entity.RateKey, tokens float64, now time.Time) (deficit float64, wait time.Duration, ok bool) {
	if l.limits[id].Rate <= 0 {
		return 0, 0, true
	}
	b, overdraft := l.refillForUse(id, now)
	rate, _ := l.share(id, now)
	deficit = tokens - b.level - overdraft
	wait, ok = b.tryTake(tokens, overdraft, rate)
	return deficit, wait, ok
}

// Deficit returns how many tokens this host lacks for a request, zero or less if it has them.
func (l *Limiter) Deficit(id entity.RateKey, tokens float64, now time.Time) float64 {
	if l.limits[id].Rate <= 0 {
		return 0
	}
	b, overdraft := l.refillForUse(id, now)
	return tokens - b.level - overdraft
}

// Covers reports whether this host has the tokens for a request.
func (l *Limiter) Covers(id entity.RateKey, tokens float64, now time.Time) bool {
	return l.Deficit(id, tokens, now) <= roundingTolerance
}

// AccrualTime returns the time until this host has the tokens for a request without a grant. It returns false if it
// accrues none.
func (l *Limiter) AccrualTime(id entity.RateKey, tokens float64, now time.Time) (time.Duration, bool) {
	deficit := l.Deficit(id, tokens, now)
	if deficit <= roundingTolerance {
		return 0, true
	}
	rate, _ := l.share(id, now)
	if rate <= 0 {
		return 0, false
	}
	return accrualTime(deficit, rate), true
}

// refillForUse returns the bucket of a limited rate at its present level, without expired grants, and by how many
// tokens the bucket may go below zero.
func (l *Limiter) refillForUse(id entity.RateKey, now time.Time) (b *bucket, overdraft float64) {
	b = l.bucket(id, now)
	l.refill(b, id, now)
	_, capacity := l.share(id, now)
	if at, ok := l.lastGrantAt[id]; ok && b.level > capacity && now.Sub(at) > l.division.grantTTL() {
		b.level = capacity
	}
	if l.usesFallback(now) {
		overdraft = l.division.fallbackOverdraft(l.fallbackShares[id], l.hosts)
	}
	return b, overdraft
}

// Grant adds tokens that the coordinator has granted.
func (l *Limiter) Grant(id entity.RateKey, tokens float64, now time.Time) {
	if l.isLimited(id) && validTokens(tokens) {
		b := l.bucket(id, now)
		l.refill(b, id, now)
		b.level += tokens
		l.lastGrantAt[id] = now
	}
}

// Refund gives back the tokens of a request that never ran. It raises the bucket at most to its capacity, or to
// the refunded tokens if they are more.
func (l *Limiter) Refund(id entity.RateKey, tokens float64, now time.Time) {
	if l.limits[id].Rate <= 0 {
		return
	}
	b := l.bucket(id, now)
	l.refill(b, id, now)
	_, capacity := l.share(id, now)
	b.level = min(b.level+tokens, max(capacity, b.level, tokens))
}

// Levels returns the bucket levels by workspace, as of the last use of each bucket.
func (l *Limiter) Levels() map[entity.RateKey]float64 {
	out := make(map[entity.RateKey]float64, len(l.buckets))
	for id, b := range l.buckets {
		out[id] = b.level
	}
	return out
}
