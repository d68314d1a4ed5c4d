package requestlimit

import (
	"maps"
	"slices"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/quota"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

// shortRetention is how long an upstream counts as short of requests after an ask for one could not be granted at
// once.
const shortRetention = 5 * time.Second

// Coordinator is the state of the coordinator about request limits.
type Coordinator struct {
	reserve *quota.Reserve
	shares  *quota.FallbackTable
	entries map[entity.UpstreamID]*limitState
	version uint64
}

// limitState is the state of one limit. It is kept for a while when the limit has ended.
type limitState struct {
	bornMillis int64
	key        entity.RateKey
	limited    bool
	perSecond  float64
	version    uint64
	// named reports whether a host has received the limit since the version was set.
	named     bool
	learnedAt time.Time
	// shortAt is when an ask could last not be granted at once.
	shortAt time.Time
}

// NewCoordinator returns the state of a new coordinator. Its fencing token rises with every coordinator.
func NewCoordinator(fence int64, hosts int) *Coordinator {
	return &Coordinator{
		reserve: quota.NewRequestReserve(hosts),
		shares:  quota.NewRequestFallbackTable(fence),
		entries: make(map[entity.UpstreamID]*limitState),
		version: quota.FirstVersion(fence),
	}
}

// Active reports whether any limit is known, possibly one that has ended.
func (c *Coordinator) Active() bool { return len(c.entries) > 0 }

// Version changes with every change of the result of Limits.
func (c *Coordinator) Version() uint64 { return c.version }

// Limits returns all limits that are known, and those that have ended lately.
func (c *Coordinator) Limits() []wire.RequestLimit {
	out := make([]wire.RequestLimit, 0, len(c.entries))
	for _, id := range slices.Sorted(maps.Keys(c.entries)) {
		e := c.entries[id]
		out = append(out, wire.RequestLimit{Upstream: id, BornMillis: e.bornMillis, None: !e.limited, PerSecond: e.perSecond, Version: e.version})
	}
	return out
}

// SetMembers sets the registered hosts.
func (c *Coordinator) SetMembers(ids []entity.HostID) { c.shares.SetMembers(ids) }

// HandleReport processes what the report of a host states about request limits.
func (c *Coordinator) HandleReport(r *wire.HostReport, now time.Time) {
	if r.First {
		c.shares.StartSession(r.Host, r.RequestShares)
	}
	for _, l := range r.RequestLimits {
		c.handleLimit(l, now)
	}
}

// ConfirmReport records that a host reports, and the shares that it has adopted. It is not called for the first report
// of a session, nor for a host of a build that keeps no request limits.
func (c *Coordinator) ConfirmReport(r *wire.HostReport, now time.Time) {
	c.shares.RecordReport(r.Host, r.RequestSharesVersion, now)
}

// EndSession records that the session of a host has ended.
func (c *Coordinator) EndSession(host entity.HostID) { c.shares.EndSession(host) }

// handleLimit processes what a host has learned about one limit.
func (c *Coordinator) handleLimit(l wire.RequestLimit, now time.Time) {
	perSecond, valid := validRate(l.PerSecond)
	e := c.entries[l.Upstream]
	switch {
	case !valid || e != nil && e.bornMillis > l.BornMillis:
	case l.None:
		if e != nil && e.bornMillis == l.BornMillis && e.limited {
			c.handleRelief(e, l, 0, now)
		}
	case e == nil || e.bornMillis < l.BornMillis:
		e = &limitState{bornMillis: l.BornMillis, key: key(l.Upstream, l.BornMillis)}
		c.entries[l.Upstream] = e
		c.setLimit(e, true, perSecond, now)
	case !e.limited || perSecond < e.perSecond:
		c.setLimit(e, true, perSecond, now)
	case perSecond == e.perSecond:
		e.named = true
		e.learnedAt = now
	default:
		c.handleRelief(e, l, perSecond, now)
	}
}

// handleRelief processes an answer that names a higher limit or none. It is newer than the limit in force if its
// request was sent by a host that knew the newest version, and no host has received that limit since. Otherwise a new
// version is passed on, and a later answer decides.
func (c *Coordinator) handleRelief(e *limitState, l wire.RequestLimit, perSecond float64, now time.Time) {
	switch {
	case e.named:
		c.version++
		e.version, e.named = c.version, false
	case l.Version == e.version:
		c.setLimit(e, !l.None, perSecond, now)
	}
}

// setLimit changes the limit of an entry.
func (c *Coordinator) setLimit(e *limitState, limited bool, perSecond float64, now time.Time) {
	c.version++
	e.limited, e.perSecond = limited, perSecond
	e.version, e.named, e.learnedAt = c.version, false, now
	c.updateReserve(now)
}

func (c *Coordinator) updateReserve(now time.Time) {
	c.reserve.SetLimits(limitsOf(c.entries, func(e *limitState) (entity.RateKey, float64, bool) {
		return e.key, e.perSecond, e.limited
	}), now)
}

// RemoveOld removes the limits that have ended, and those of upstreams that have left.
func (c *Coordinator) RemoveOld(listed func(entity.UpstreamID) bool, now time.Time) {
	maps.DeleteFunc(c.entries, func(id entity.UpstreamID, e *limitState) bool {
		age := now.Sub(e.learnedAt)
		return age > unlistedRetention && !listed(id) || !e.limited && age > endedRetention
	})
	c.updateReserve(now)
}

// limitedKeys returns the keys of the limits in force.
func (c *Coordinator) limitedKeys() []entity.RateKey {
	var keys []entity.RateKey
	for _, id := range slices.Sorted(maps.Keys(c.entries)) {
		if e := c.entries[id]; e.limited {
			keys = append(keys, e.key)
		}
	}
	return keys
}

// UpdateWithheld withholds from the reserve the shares that hosts may use without the coordinator.
func (c *Coordinator) UpdateWithheld(hosts int, now time.Time) {
	c.reserve.SetWithheld(c.shares.Withheld(c.limitedKeys(), now), hosts, now)
}

// AssignShares returns the changes of the fallback shares of hosts.
func (c *Coordinator) AssignShares(now time.Time) []quota.Assignment {
	return c.shares.Assign(c.limitedKeys(), now)
}

// Request processes the ask of a host. If the answer must wait, Advance returns it later.
func (c *Coordinator) Request(req quota.TokenRequest, now time.Time) (response quota.TokenResponse, responded bool) {
	isSpare := !req.Until.After(now)
	if !isSpare {
		c.shares.RecordDemand(req.Host, req.Key, req.Tokens, now)
	}
	response, responded = c.reserve.Request(req, now)
	if !isSpare && (!responded || response.Tokens <= 0) {
		c.markShort(req.Key, now)
	}
	return response, responded
}

func (c *Coordinator) markShort(k entity.RateKey, now time.Time) {
	for _, e := range c.entries {
		if e.key == k {
			e.shortAt = now
		}
	}
}

// Advance returns the answers to the asks whose request is available or whose maximum wait has passed.
func (c *Coordinator) Advance(now time.Time) []quota.TokenResponse { return c.reserve.Advance(now) }

// HasWaiting reports whether asks are waiting.
func (c *Coordinator) HasWaiting() bool { return c.reserve.HasWaiting() }

// TryTake takes a request that the coordinator itself sends to an upstream, such as an order, and reports whether it
// was available. The requests of callers go first.
func (c *Coordinator) TryTake(id entity.UpstreamID, bornMillis int64, now time.Time) bool {
	e := c.entries[id]
	return e == nil || e.bornMillis != bornMillis || !e.limited || c.reserve.TryTake(e.key, 1, now)
}

// Short returns the upstreams whose limit has lately kept requests waiting.
func (c *Coordinator) Short(now time.Time) map[entity.UpstreamID]bool {
	var out map[entity.UpstreamID]bool
	for id, e := range c.entries {
		if e.limited && !e.shortAt.IsZero() && now.Sub(e.shortAt) < shortRetention {
			if out == nil {
				out = make(map[entity.UpstreamID]bool)
			}
			out[id] = true
		}
	}
	return out
}
