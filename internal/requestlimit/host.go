package requestlimit

import (
	"maps"
	"slices"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/quota"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

const (
	// spareInterval is the least time between two asks of a host for a request that nobody waits for. If the number
	// of hosts times spareIntervalPerHost is longer, that is the time, to bound the messages to the coordinator.
	spareInterval        = time.Second
	spareIntervalPerHost = 20 * time.Millisecond
	// answerMargin is how much longer a host waits for the answer to an ask than the maximum wait of the ask.
	answerMargin = 100 * time.Millisecond
)

// Answer is what an answer of an upstream states about its request limit.
type Answer struct {
	Upstream   entity.UpstreamID
	BornMillis int64
	// Named reports whether the answer names a limit, which is PerSecond.
	Named     bool
	PerSecond float64
	// Stamp is the result of Host.Take for the request of the answer.
	Stamp uint64
}

// Change is a change of a limit on this host.
type Change struct {
	Upstream entity.UpstreamID
	// Limited reports whether there is a limit now, and WasLimited whether there was one before.
	Limited, WasLimited bool
	PerSecond, Former   float64
	// ByAnswer reports whether this host has received the answer itself; otherwise the coordinator passed it on.
	ByAnswer bool
}

// Result is the coordinator's answer to an ask.
type Result struct {
	// Request is the request that waits, empty for a spare ask.
	Request  entity.RequestID
	Upstream entity.UpstreamID
	Granted  bool
	// Wait is the time after which to ask again if nothing was granted.
	Wait time.Duration
}

// Host is the knowledge of one host about request limits, and the requests that it may send.
type Host struct {
	limiter *quota.Limiter
	entries map[entity.UpstreamID]*hostEntry
	hosts   int
	// coordinated reports whether there is a session with a coordinator that keeps request limits.
	coordinated bool
	asks        map[uint64]ask
	lastAskID   uint64
	// news is what the coordinator has not been told yet. urgent reports whether it changes what the coordinator
	// knows.
	news    []wire.RequestLimit
	urgent  bool
	changes []Change
	// sent and held count, by upstream, the requests that were sent under a limit and those that had to ask.
	sent, held map[entity.UpstreamID]int64
}

// hostEntry is what a host knows of one upstream. It is kept when the limit has ended.
type hostEntry struct {
	bornMillis int64
	key        entity.RateKey
	limited    bool
	perSecond  float64
	// version is the newest version of the coordinator.
	version uint64
	// stamp rises with all that the host learns of the limit, except answers that state a higher one or none.
	stamp     uint64
	learnedAt time.Time
	// asked is the number of unanswered asks, and spareAt when the last spare ask was sent.
	asked   int
	spareAt time.Time
}

// ask is an unanswered ask to the coordinator.
type ask struct {
	request  entity.RequestID
	upstream entity.UpstreamID
	entry    *hostEntry
	until    time.Time
}

// NewHost returns the knowledge of a process that has just started.
func NewHost(now time.Time) *Host {
	return &Host{
		limiter: quota.NewRequestLimiter(now),
		entries: make(map[entity.UpstreamID]*hostEntry),
		asks:    make(map[uint64]ask),
		sent:    make(map[entity.UpstreamID]int64),
		held:    make(map[entity.UpstreamID]int64),
	}
}

// Active reports whether any limit is known, possibly one that has ended.
func (h *Host) Active() bool { return len(h.entries) > 0 }

// entry returns the entry of an incarnation of an upstream, or nil.
func (h *Host) entry(id entity.UpstreamID, bornMillis int64) *hostEntry {
	if len(h.entries) == 0 {
		return nil
	}
	if e := h.entries[id]; e != nil && e.bornMillis == bornMillis {
		return e
	}
	return nil
}

// makeEntry returns the entry of an incarnation and creates it if necessary. It returns nil if a later incarnation is
// known.
func (h *Host) makeEntry(id entity.UpstreamID, bornMillis int64) *hostEntry {
	e := h.entries[id]
	if e != nil && e.bornMillis > bornMillis {
		return nil
	}
	if e == nil || e.bornMillis < bornMillis {
		e = &hostEntry{bornMillis: bornMillis, key: key(id, bornMillis)}
		h.entries[id] = e
	}
	return e
}

// Limited reports whether an upstream has a request limit.
func (h *Host) Limited(id entity.UpstreamID, bornMillis int64) bool {
	e := h.entry(id, bornMillis)
	return e != nil && e.limited
}

// Ready reports whether this host may send another request to an upstream now.
func (h *Host) Ready(id entity.UpstreamID, bornMillis int64, now time.Time) bool {
	e := h.entry(id, bornMillis)
	return e == nil || !e.limited || h.limiter.Covers(e.key, 1, now)
}

// Wait returns the time until this host may send a request to a limited upstream without waiting for the answer to an
// ask. It returns false if that is not known.
func (h *Host) Wait(id entity.UpstreamID, bornMillis int64, now time.Time) (time.Duration, bool) {
	e := h.entry(id, bornMillis)
	if e == nil || !e.limited || h.coordinated {
		return 0, true
	}
	return h.limiter.AccrualTime(e.key, 1, now)
}

// Take records that a request is sent to an upstream. The result is passed to RecordAnswer with the answer; it is zero
// if the upstream has no limit.
func (h *Host) Take(id entity.UpstreamID, bornMillis int64, now time.Time) (stamp uint64) {
	e := h.entry(id, bornMillis)
	if e == nil || !e.limited {
		return 0
	}
	h.limiter.Admit(e.key, 1, now)
	h.sent[id]++
	return e.stamp
}

// RecordAnswer processes what an answer states about the request limit of its upstream.
func (h *Host) RecordAnswer(a Answer, now time.Time) {
	perSecond, valid := validRate(a.PerSecond)
	e := h.entry(a.Upstream, a.BornMillis)
	switch {
	case a.Named && !valid:
	case !a.Named && (e == nil || !e.limited):
	case a.Named && (e == nil || !e.limited || perSecond <= e.perSecond):
		h.recordLimit(a, perSecond, now)
	case e.stamp != a.Stamp:
		// The request of the answer was sent before the newest limit became known, so the answer may be older.
	default:
		h.recordRelief(a, e, perSecond, now)
	}
}

// recordLimit records an answer that names a limit which is not higher than the known one.
func (h *Host) recordLimit(a Answer, perSecond float64, now time.Time) {
	e := h.makeEntry(a.Upstream, a.BornMillis)
	if e == nil {
		return
	}
	e.stamp++
	e.learnedAt = now
	isNew := !e.limited || perSecond < e.perSecond
	h.report(wire.RequestLimit{Upstream: a.Upstream, BornMillis: a.BornMillis, PerSecond: perSecond, Version: e.version}, isNew)
	if isNew {
		h.setLimit(a.Upstream, e, true, perSecond, true, now)
	}
}

// recordRelief records an answer that names a higher limit, or none, and that is newer than all this host knows.
// The coordinator decides, because other hosts may have received something newer still.
func (h *Host) recordRelief(a Answer, e *hostEntry, perSecond float64, now time.Time) {
	if h.coordinated {
		h.report(wire.RequestLimit{Upstream: a.Upstream, BornMillis: a.BornMillis, None: !a.Named, PerSecond: perSecond, Version: e.version}, true)
		return
	}
	e.stamp++
	h.setLimit(a.Upstream, e, a.Named, perSecond, true, now)
}

// report adds what the next report to the coordinator states. Of several answers that state the same, one is
// reported. Without a coordinator nothing is kept, because a session begins with a report of all limits.
func (h *Host) report(l wire.RequestLimit, urgent bool) {
	if !h.coordinated {
		return
	}
	if !slices.Contains(h.news, l) {
		h.news = append(h.news, l)
	}
	h.urgent = h.urgent || urgent
}

// setLimit changes the limit of an entry.
func (h *Host) setLimit(id entity.UpstreamID, e *hostEntry, limited bool, perSecond float64, byAnswer bool, now time.Time) {
	if e.limited == limited && (!limited || e.perSecond == perSecond) {
		return
	}
	h.changes = append(h.changes, Change{Upstream: id, Limited: limited, WasLimited: e.limited, PerSecond: perSecond, Former: e.perSecond, ByAnswer: byAnswer})
	e.limited, e.perSecond, e.learnedAt = limited, perSecond, now
	h.updateLimiter(now)
}

func (h *Host) updateLimiter(now time.Time) {
	h.limiter.SetLimits(limitsOf(h.entries, func(e *hostEntry) (entity.RateKey, float64, bool) {
		return e.key, e.perSecond, e.limited
	}), now)
}

// TakeChanges returns the changes since the last call.
func (h *Host) TakeChanges() []Change {
	changes := h.changes
	h.changes = nil
	return changes
}

// HasUrgentNews reports whether the coordinator must be told at once what this host has received.
func (h *Host) HasUrgentNews() bool { return h.coordinated && h.urgent }

// TakeNews returns what the next report to the coordinator states. first is set for the first report of a session,
// which states all limits.
func (h *Host) TakeNews(first bool) []wire.RequestLimit {
	news := h.news
	h.news, h.urgent = nil, false
	if first {
		return h.allLimits()
	}
	return news
}

// allLimits returns all limits that this host knows.
func (h *Host) allLimits() []wire.RequestLimit {
	var limits []wire.RequestLimit
	for _, id := range slices.Sorted(maps.Keys(h.entries)) {
		if e := h.entries[id]; e.limited {
			limits = append(limits, wire.RequestLimit{Upstream: id, BornMillis: e.bornMillis, PerSecond: e.perSecond, Version: e.version})
		}
	}
	return limits
}

// Apply adopts what the coordinator knows of the limits.
func (h *Host) Apply(m *wire.UpstreamNotices, now time.Time) {
	for _, l := range m.Limits {
		perSecond, valid := validRate(l.PerSecond)
		e := h.makeEntry(l.Upstream, l.BornMillis)
		if e == nil || !valid || l.Version <= e.version {
			continue
		}
		e.version = l.Version
		e.stamp++
		e.learnedAt = now
		h.setLimit(l.Upstream, e, !l.None, perSecond, false, now)
	}
	if m.SharesVersion != 0 {
		h.limiter.SetFallback(m.Shares, m.SharesVersion, now)
	}
}

// RemoveOld removes the limits that have ended, and those of upstreams that have left.
func (h *Host) RemoveOld(listed func(entity.UpstreamID) bool, now time.Time) {
	maps.DeleteFunc(h.entries, func(id entity.UpstreamID, e *hostEntry) bool {
		age := now.Sub(e.learnedAt)
		return age > unlistedRetention && !listed(id) || !e.limited && age > 2*endedRetention
	})
	h.updateLimiter(now)
}

// Coordinated reports whether there is a session with a coordinator that keeps request limits.
func (h *Host) Coordinated() bool { return h.coordinated }

// SetCoordinated sets whether there is a session with a coordinator that keeps request limits.
func (h *Host) SetCoordinated(coordinated bool, now time.Time) {
	if coordinated == h.coordinated {
		return
	}
	h.coordinated = coordinated
	clear(h.asks)
	for _, e := range h.entries {
		e.asked = 0
	}
	h.limiter.SetCoordinated(coordinated, now)
	if coordinated {
		// Answers may have arrived since the first report of the session was sent.
		h.news = h.allLimits()
		h.urgent = len(h.news) > 0
	}
}

// SetRegistered sets the time until which the registration of this host is certain.
func (h *Host) SetRegistered(until, now time.Time) { h.limiter.SetRegistered(until, now) }

// ClearFallback drops the fallback shares, because the registration of this host has ended.
func (h *Host) ClearFallback(now time.Time) { h.limiter.ClearFallback(now) }

// SetHosts sets the number of hosts.
func (h *Host) SetHosts(n int) { h.hosts = n }

// FallbackShares returns the fallback shares of this host and the version of their last assignment.
func (h *Host) FallbackShares() (shares map[entity.RateKey]float64, version uint64) {
	return h.limiter.FallbackShares()
}

// CanAsk reports whether a request can be asked for. An ask without a request that waits is spare.
func (h *Host) CanAsk(id entity.UpstreamID, bornMillis int64, spare bool, now time.Time) bool {
	e := h.entry(id, bornMillis)
	if e == nil || !e.limited || !h.coordinated {
		return false
	}
	interval := max(spareInterval, time.Duration(h.hosts)*spareIntervalPerHost)
	return !spare || e.asked == 0 && now.Sub(e.spareAt) >= interval
}

// Ask returns the ask for one more request to a limited upstream, for which request waits at most maxWait. An empty
// request makes a spare ask: it is granted at once or not at all, and serves a later request, whose answer may show
// that the limit has ended. The caller must have checked CanAsk.
func (h *Host) Ask(request entity.RequestID, id entity.UpstreamID, maxWait time.Duration, now time.Time) wire.TokenDeficit {
	e := h.entries[id]
	if request == "" {
		maxWait = 0
		e.spareAt = now
	} else {
		h.held[id]++
	}
	tokens := 1.0
	if e.asked == 0 {
		tokens = max(h.limiter.Deficit(e.key, 1, now), 0.01)
	}
	e.asked++
	h.lastAskID++
	h.asks[h.lastAskID] = ask{request: request, upstream: id, entry: e, until: now.Add(maxWait + answerMargin)}
	return wire.TokenDeficit{ID: h.lastAskID, Upstream: e.key, Tokens: tokens, MaxWait: maxWait}
}

// HandleGrant processes the coordinator's answer to an ask. It returns false if the ask is no longer known: an answer
// that arrives late grants nothing.
func (h *Host) HandleGrant(g wire.TokenGrant, now time.Time) (Result, bool) {
	a, ok := h.asks[g.ID]
	if !ok {
		return Result{}, false
	}
	h.forget(g.ID, a)
	if now.After(a.until) {
		return Result{Request: a.request, Upstream: a.upstream}, true
	}
	if g.Tokens <= 0 {
		return Result{Request: a.request, Upstream: a.upstream, Wait: g.Wait}, true
	}
	h.limiter.Grant(a.entry.key, g.Tokens, now)
	return Result{Request: a.request, Upstream: a.upstream, Granted: true}, true
}

func (h *Host) forget(id uint64, a ask) {
	delete(h.asks, id)
	a.entry.asked = max(a.entry.asked-1, 0)
}

// ExpireAsks returns the asks that the coordinator has not answered in time.
func (h *Host) ExpireAsks(now time.Time) []Result {
	if len(h.asks) == 0 {
		return nil
	}
	var out []Result
	for _, id := range slices.Sorted(maps.Keys(h.asks)) {
		if a := h.asks[id]; now.After(a.until) {
			h.forget(id, a)
			out = append(out, Result{Request: a.request, Upstream: a.upstream})
		}
	}
	return out
}

// Limits returns the limits in force, in requests per second.
func (h *Host) Limits() map[entity.UpstreamID]float64 {
	out := make(map[entity.UpstreamID]float64)
	for id, e := range h.entries {
		if e.limited {
			out[id] = e.perSecond
		}
	}
	return out
}

// Sent returns the number of requests that were sent under a limit, by upstream.
func (h *Host) Sent() map[entity.UpstreamID]int64 { return maps.Clone(h.sent) }

// Held returns the number of requests that had to ask because of a limit, by upstream.
func (h *Host) Held() map[entity.UpstreamID]int64 { return maps.Clone(h.held) }
