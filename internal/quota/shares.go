package quota

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
)

const (
	// demandTimeConstant is the time constant of the exponential average of a host's demand.
	demandTimeConstant = 10 * time.Second
	// evenSplitFraction is the fraction of the fallback shares that is split evenly and not by demand,
	// because a host without requests of a workspace may receive some later. Over many hosts an even split
	// covers no request at any host, so above evenSplitHosts hosts the fraction falls with their number.
	evenSplitFraction = 0.25
	evenSplitHosts    = 8
	// assignInterval is the least time between two assignments of fallback shares.
	assignInterval = time.Second
	// minRelativeChange is the least change of a fallback share, relative to the share, that is sent to its
	// host.
	minRelativeChange = 0.25
	// maxHostShare limits the share of one host, so that little of a rate is withheld for a host that sends
	// no reports.
	maxHostShare = 0.3
	// minEvenShareChange is the least change of a fallback share that is sent to its host, relative to the
	// host's part of the evenly split fraction.
	minEvenShareChange = 0.5
	// holderPreference is how many times the demand of a host with a share of a rate of requests another host must
	// have to replace it. minHolderWeight is the least weight of a host with a share, in tokens per second.
	holderPreference = 2
	minHolderWeight  = 0.01
)

// FallbackTable is the coordinator's table of the fallback shares of all registered hosts. A share that a host
// may use is assigned to another host only after the first host has confirmed a smaller share, or after its
// registration has ended. The shares of hosts that have started no session with this coordinator yet are
// unknown. They are assumed to be all that the known shares leave of the reserve, up to the largest share of
// one host for each of these hosts.
type FallbackTable struct {
	division   division
	hosts      map[entity.HostID]*hostShares
	version    uint64
	assignedAt time.Time
}

// hostShares is what the coordinator knows of one host.
type hostShares struct {
	// registered is set while the host is registered, inSession while it has a session with the coordinator.
	registered, inSession bool
	// sharesKnown is set once the host has stated its shares at the start of a session.
	sharesKnown  bool
	lastReportAt time.Time
	// usable holds the largest shares that the host may be using, assigned the shares of the newest assignment.
	usable, assigned map[entity.RateKey]float64
	// version is the version of the newest assignment. pending is set until the host has confirmed it.
	version uint64
	pending bool
	demand  map[entity.RateKey]*demand
}

// demand is an exponential average of requested tokens per second, as of updatedAt.
type demand struct {
	rate      float64
	updatedAt time.Time
}

// decay applies the exponential decay since the last update.
func (d *demand) decay(now time.Time) {
	if dt := now.Sub(d.updatedAt); dt > 0 {
		d.rate *= math.Exp(-dt.Seconds() / demandTimeConstant.Seconds())
		d.updatedAt = now
	}
}

// NewFallbackTable returns the table of a new coordinator. The fencing token rises with every coordinator, so
// that versions start above those of former coordinators.
func NewFallbackTable(fence int64) *FallbackTable { return newFallbackTable(division{}, fence) }

// NewRequestFallbackTable returns the table of a new coordinator for rates of requests.
func NewRequestFallbackTable(fence int64) *FallbackTable {
	return newFallbackTable(division{requests: true}, fence)
}

func newFallbackTable(d division, fence int64) *FallbackTable {
	return &FallbackTable{division: d, hosts: make(map[entity.HostID]*hostShares), version: FirstVersion(fence)}
}

// FirstVersion returns the version below all versions under a fencing token, and above those under lower tokens.
func FirstVersion(fence int64) uint64 {
	const versionBits = 20
	return kvstore.TokenSpace(fence, versionBits)
}

// SetMembers sets the registered hosts. It removes hosts with neither a registration nor a session, because
// they use no fallback share.
func (t *FallbackTable) SetMembers(ids []entity.HostID) {
	for _, h := range t.hosts {
		h.registered = false
	}
	for _, id := range ids {
		t.hostEntry(id).registered = true
	}
	t.removeInactive()
}

// removeInactive removes hosts that have neither a registration nor a session.
func (t *FallbackTable) removeInactive() {
	maps.DeleteFunc(t.hosts, func(_ entity.HostID, h *hostShares) bool { return !h.registered && !h.inSession })
}

// hostEntry returns the entry of a host and creates it if necessary.
func (t *FallbackTable) hostEntry(id entity.HostID) *hostShares {
	h := t.hosts[id]
	if h == nil {
		h = &hostShares{demand: make(map[entity.RateKey]*demand)}
		t.hosts[id] = h
	}
	return h
}

// StartSession records the start of a host's session and the shares that the host may be using. The host may
// use them until it receives the first message of the coordinator. They are therefore withheld until its next
// report, which shows that it has received that message.
func (t *FallbackTable) StartSession(host entity.HostID, shares map[entity.RateKey]float64) {
	h := t.hostEntry(host)
	h.inSession = true
	h.sharesKnown = true
	h.pending = false
	h.lastReportAt = time.Time{}
	h.usable = validShares(shares)
	h.assigned = maps.Clone(h.usable)
}

// RecordReport records the time of a host's report, and the assignment that the report confirms.
func (t *FallbackTable) RecordReport(host entity.HostID, version uint64, now time.Time) {
	h := t.hosts[host]
	if h == nil {
		return
	}
	h.lastReportAt = now
	if h.pending && version >= h.version {
		h.pending = false
		h.usable = maps.Clone(h.assigned)
	}
}

// EndSession records that the session of a host has ended.
func (t *FallbackTable) EndSession(host entity.HostID) {
	if h := t.hosts[host]; h != nil {
		h.lastReportAt = time.Time{}
		h.inSession = false
	}
	t.removeInactive()
}

// RecordDemand adds a token request of a host to its demand.
func (t *FallbackTable) RecordDemand(host entity.HostID, id entity.RateKey, tokens float64, now time.Time) {
	h := t.hosts[host]
	if h == nil || !validTokens(tokens) {
		return
	}
	d := h.demand[id]
	if d == nil {
		d = &demand{updatedAt: now}
		h.demand[id] = d
	}
	d.decay(now)
	d.rate += tokens / demandTimeConstant.Seconds()
}

// reserveFraction returns the fraction of every rate that the fallback shares sum to.
func (t *FallbackTable) reserveFraction() float64 {
	return t.division.reserveFraction(len(t.hosts))
}

// reporting reports whether the host's shares are known and its last report is recent.
func (h *hostShares) reporting(now time.Time) bool {
	return h.sharesKnown && now.Sub(h.lastReportAt) < ReportTimeout
}

// Withheld returns by workspace the sum of the shares that may be in use at hosts that send no reports or whose
// shares are unknown.
func (t *FallbackTable) Withheld(ids []entity.RateKey, now time.Time) map[entity.RateKey]float64 {
	out := make(map[entity.RateKey]float64, len(ids))
	unknownHosts := 0
	sums := make(map[entity.RateKey]float64, len(ids))
	for _, h := range t.hosts {
		if !h.sharesKnown {
			unknownHosts++
		}
		for id, share := range h.usable {
			sums[id] += share
			if !h.reporting(now) {
				out[id] += share
			}
		}
	}
	maxUnknown := float64(unknownHosts) * t.division.maxHostShare(len(t.hosts))
	for _, id := range ids {
		out[id] += min(max(t.reserveFraction()-sums[id], 0), maxUnknown)
	}
	return out
}

// Assignment is a change of the fallback shares of one host.
type Assignment struct {
	Host           entity.HostID
	Version        uint64
	FallbackShares map[entity.RateKey]float64
}

// Assign returns the changes of fallback shares, at most once in assignInterval. A share is lowered at once.
// A share is raised only as far as other hosts have confirmed lower shares by then.
func (t *FallbackTable) Assign(ids []entity.RateKey, now time.Time) []Assignment {
	if now.Sub(t.assignedAt) < assignInterval {
		return nil
	}
	t.assignedAt = now
	var assignable []entity.HostID
	for host, h := range t.hosts {
		if h.reporting(now) && !h.pending {
			assignable = append(assignable, host)
		}
	}
	slices.Sort(assignable)
	changes := make(map[entity.HostID]map[entity.RateKey]float64, len(assignable))
	hasUnknown := t.hasUnknownShares()
	for _, id := range ids {
		t.assignWorkspace(id, assignable, hasUnknown, changes, now)
	}
	var out []Assignment
	for _, host := range assignable {
		if len(changes[host]) > 0 {
			out = append(out, t.assignHost(host, changes[host]))
		}
	}
	return out
}

// hasUnknownShares reports whether the shares of any host are unknown.
func (t *FallbackTable) hasUnknownShares() bool {
	for _, h := range t.hosts {
		if !h.sharesKnown {
			return true
		}
	}
	return false
}

// assignWorkspace adds the changed shares of one workspace to changes. assignable are the hosts that report
// and have confirmed their newest assignment. While the shares of any host are unknown, no free share is
// assigned.
func (t *FallbackTable) assignWorkspace(id entity.RateKey, assignable []entity.HostID, hasUnknown bool, changes map[entity.HostID]map[entity.RateKey]float64, now time.Time) {
	if len(assignable) == 0 {
		return
	}
	usableSum, assignableSum, totalDemand := 0.0, 0.0, 0.0
	for _, h := range t.hosts {
		usableSum += h.usable[id]
	}
	for _, host := range assignable {
		h := t.hosts[host]
		assignableSum += h.usable[id]
		if d := h.demand[id]; d != nil {
			d.decay(now)
			totalDemand += d.rate
		}
	}
	free := max(t.reserveFraction()-usableSum, 0)
	available := assignableSum + free
	if hasUnknown {
		free, available = 0, assignableSum
	}
	targets, minChange := t.tokenTargets(id, assignable, available, totalDemand)
	if t.division.requests {
		targets, minChange = t.requestTargets(id, assignable, available), 0
	}
	for i, host := range assignable {
		share, target := t.hosts[host].usable[id], targets[i]
		if math.Abs(target-share) < max(minRelativeChange*share, minChange) {
			continue
		}
		if target > share {
			target = share + min(target-share, free)
			free -= target - share
		}
		if target == share {
			continue
		}
		if changes[host] == nil {
			changes[host] = make(map[entity.RateKey]float64)
		}
		changes[host][id] = target
	}
}

// tokenTargets returns the shares of the assignable hosts by their demand, and the least change that is made.
func (t *FallbackTable) tokenTargets(id entity.RateKey, assignable []entity.HostID, available, totalDemand float64) (targets []float64, minChange float64) {
	even := 1 / float64(len(assignable))
	evenWeight := evenSplitFraction * min(1, evenSplitHosts*even)
	for _, host := range assignable {
		target := available * even
		if totalDemand > 0 {
			// Here, share is the host's share of the demand.
			share := 0.0
			if d := t.hosts[host].demand[id]; d != nil {
				share = d.rate / totalDemand
			}
			target = available * (evenWeight*even + (1-evenWeight)*share)
		}
		targets = append(targets, min(target, t.division.maxHostShare(len(assignable))))
	}
	return targets, minEvenShareChange * available * even * evenWeight
}

// requestTargets returns equal shares for the requestHolders hosts with the highest demand, and none for the others.
// A host that has a share keeps it until another host has holderPreference times its demand.
func (t *FallbackTable) requestTargets(id entity.RateKey, assignable []entity.HostID, available float64) []float64 {
	weights := make([]float64, len(assignable))
	order := make([]int, len(assignable))
	for i, host := range assignable {
		order[i] = i
		h := t.hosts[host]
		if d := h.demand[id]; d != nil {
			weights[i] = d.rate
		}
		if h.usable[id] > 0 {
			weights[i] = max(holderPreference*weights[i], minHolderWeight)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(weights[b], weights[a]) })
	targets := make([]float64, len(assignable))
	for _, i := range order[:min(requestHolders, len(order))] {
		if weights[i] > 0 {
			targets[i] = min(available/requestHolders, t.division.maxHostShare(len(assignable)))
		}
	}
	return targets
}

// assignHost records new shares of a host. Until the host confirms them it may use the larger of its former
// and its new share.
func (t *FallbackTable) assignHost(host entity.HostID, shares map[entity.RateKey]float64) Assignment {
	h := t.hosts[host]
	t.version++
	h.version = t.version
	h.pending = true
	for id, share := range shares {
		h.assigned[id] = share
		h.usable[id] = max(h.usable[id], share)
	}
	return Assignment{Host: host, Version: h.version, FallbackShares: shares}
}

// UsableShare returns the largest fallback share of a workspace that a host may use.
func (t *FallbackTable) UsableShare(host entity.HostID, id entity.RateKey) float64 {
	if h := t.hosts[host]; h != nil {
		return h.usable[id]
	}
	return 0
}
