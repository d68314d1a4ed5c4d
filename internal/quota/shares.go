package quota

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
)

const (
	// demandMemory is the time over which the demand of a host is averaged.
	demandMemory = 10 * time.Second
	// evenDemand is the part of the fallback parts that does not follow demand, because a host without
	// requests of a workspace may get some. Over many hosts it would not cover one request at any, so
	// no more than evenDemandHosts of them count.
	evenDemand      = 0.25
	evenDemandHosts = 8
	// assignInterval is the time between two assignments of fallback parts.
	assignInterval = time.Second
	// smallChange is the change of a fallback part that is not worth a message, as a share of it.
	smallChange = 0.25
	// largestPart bounds the part of one host, so that a host that is not heard holds up little of a rate.
	largestPart = 0.3
	// leastChange is the same as a part of the even share of one host.
	leastChange = 0.5
)

// Shares is the coordinator's table of the fallback parts of all registered hosts. A part that a host
// may use is not given to another before the host has confirmed a smaller one, or its registration has
// ended. Parts of hosts that this coordinator has not heard yet are unknown; they count as whatever
// the known ones leave, up to the largest part of a host.
type Shares struct {
	hosts      map[entity.HostID]*hostShares
	version    uint64
	assignedAt time.Time
}

// hostShares is what the coordinator knows of one host.
type hostShares struct {
	// registered says that the host is registered, inSession that it has a session.
	registered, inSession bool
	// known says that the host has told its parts.
	known   bool
	heardAt time.Time
	// held are the largest parts that the host may use, assigned the newest ones.
	held, assigned map[entity.WorkspaceID]float64
	// version is that of the newest assignment, which the host has confirmed unless pending is set.
	version uint64
	pending bool
	demand  map[entity.WorkspaceID]*demand
}

// demand is a smoothed number of tokens a second.
type demand struct {
	rate float64
	at   time.Time
}

func (d *demand) decay(now time.Time) {
	if dt := now.Sub(d.at); dt > 0 {
		d.rate *= math.Exp(-dt.Seconds() / demandMemory.Seconds())
		d.at = now
	}
}

// NewShares returns the table of a coordinator that has just taken over. Versions begin above those of
// former coordinators when token rises with every coordinator.
func NewShares(token int64) *Shares {
	const versionBits = 20
	return &Shares{hosts: make(map[entity.HostID]*hostShares), version: uint64(token) << versionBits}
}

// SetMembers takes over the registered hosts. A host without a session whose registration has ended uses
// no fallback part.
func (s *Shares) SetMembers(ids []entity.HostID) {
	for _, h := range s.hosts {
		h.registered = false
	}
	for _, id := range ids {
		s.row(id).registered = true
	}
	s.dropGone()
}

func (s *Shares) dropGone() {
	maps.DeleteFunc(s.hosts, func(_ entity.HostID, h *hostShares) bool { return !h.registered && !h.inSession })
}

func (s *Shares) row(id entity.HostID) *hostShares {
	h := s.hosts[id]
	if h == nil {
		h = &hostShares{demand: make(map[entity.WorkspaceID]*demand)}
		s.hosts[id] = h
	}
	return h
}

// Begin takes over the parts that a host uses at the begin of its session. The host goes on using them
// until it has heard from the coordinator, which its next report shows.
func (s *Shares) Begin(host entity.HostID, parts map[entity.WorkspaceID]float64) {
	h := s.row(host)
	h.inSession = true
	h.known = true
	h.pending = false
	h.heardAt = time.Time{}
	h.held = validParts(parts)
	h.assigned = maps.Clone(h.held)
}

// Heard takes over that a host has reported, and which assignment it has confirmed.
func (s *Shares) Heard(host entity.HostID, version uint64, now time.Time) {
	h := s.hosts[host]
	if h == nil {
		return
	}
	h.heardAt = now
	if h.pending && version >= h.version {
		h.pending = false
		h.held = maps.Clone(h.assigned)
	}
}

// Lost says that the session of a host has ended.
func (s *Shares) Lost(host entity.HostID) {
	if h := s.hosts[host]; h != nil {
		h.heardAt = time.Time{}
		h.inSession = false
	}
	s.dropGone()
}

// Asked counts what a host has asked the reserve for.
func (s *Shares) Asked(host entity.HostID, id entity.WorkspaceID, tokens float64, now time.Time) {
	h := s.hosts[host]
	if h == nil || !validTokens(tokens) {
		return
	}
	d := h.demand[id]
	if d == nil {
		d = &demand{at: now}
		h.demand[id] = d
	}
	d.decay(now)
	d.rate += tokens / demandMemory.Seconds()
}

// reservePart is the part of every rate that the fallback parts sum to.
func (s *Shares) reservePart() float64 { return reservePart(len(s.hosts)) }

func (h *hostShares) connected(now time.Time) bool { return h.known && now.Sub(h.heardAt) < ReportTerm }

// Withheld returns the parts that hosts may use which are not heard, by workspace.
func (s *Shares) Withheld(ids []entity.WorkspaceID, now time.Time) map[entity.WorkspaceID]float64 {
	out := make(map[entity.WorkspaceID]float64, len(ids))
	unknown := 0
	sums := make(map[entity.WorkspaceID]float64, len(ids))
	for _, h := range s.hosts {
		if !h.known {
			unknown++
		}
		for id, part := range h.held {
			sums[id] += part
			if !h.connected(now) {
				out[id] += part
			}
		}
	}
	most := float64(unknown) * max(largestPart, 1/float64(max(len(s.hosts), 1)))
	for _, id := range ids {
		out[id] += min(max(s.reservePart()-sums[id], 0), most)
	}
	return out
}

// Assignment is a change of the fallback parts of one host.
type Assignment struct {
	Host    entity.HostID
	Version uint64
	Parts   map[entity.WorkspaceID]float64
}

// Assign returns the fallback parts that change, at most once in assignInterval. Parts are lowered at
// once and raised out of what is free by then.
func (s *Shares) Assign(ids []entity.WorkspaceID, now time.Time) []Assignment {
	if now.Sub(s.assignedAt) < assignInterval {
		return nil
	}
	s.assignedAt = now
	var open []entity.HostID
	for host, h := range s.hosts {
		if h.connected(now) && !h.pending {
			open = append(open, host)
		}
	}
	slices.Sort(open)
	changes := make(map[entity.HostID]map[entity.WorkspaceID]float64, len(open))
	unknown := s.anyUnknown()
	for _, id := range ids {
		s.assignWorkspace(id, open, unknown, changes, now)
	}
	var out []Assignment
	for _, host := range open {
		if len(changes[host]) > 0 {
			out = append(out, s.assign(host, changes[host]))
		}
	}
	return out
}

func (s *Shares) anyUnknown() bool {
	for _, h := range s.hosts {
		if !h.known {
			return true
		}
	}
	return false
}

// assignWorkspace collects the changes of one workspace.
func (s *Shares) assignWorkspace(id entity.WorkspaceID, open []entity.HostID, unknown bool, changes map[entity.HostID]map[entity.WorkspaceID]float64, now time.Time) {
	if len(open) == 0 {
		return
	}
	sum, own, wanted := 0.0, 0.0, 0.0
	for _, h := range s.hosts {
		sum += h.held[id]
	}
	for _, host := range open {
		h := s.hosts[host]
		own += h.held[id]
		if d := h.demand[id]; d != nil {
			d.decay(now)
			wanted += d.rate
		}
	}
	free := max(s.reservePart()-sum, 0)
	available := own + free
	if unknown {
		free, available = 0, own
	}
	even := 1 / float64(len(open))
	spread := evenDemand * min(1, evenDemandHosts*even)
	for _, host := range open {
		h := s.hosts[host]
		target := available * even
		if wanted > 0 {
			part := 0.0
			if d := h.demand[id]; d != nil {
				part = d.rate / wanted
			}
			target = available * (spread*even + (1-spread)*part)
		}
		target = min(target, max(largestPart, even))
		part := h.held[id]
		if math.Abs(target-part) < max(smallChange*part, leastChange*available*even*spread) {
			continue
		}
		if target > part {
			target = part + min(target-part, free)
			free -= target - part
		}
		if target == part {
			continue
		}
		if changes[host] == nil {
			changes[host] = make(map[entity.WorkspaceID]float64)
		}
		changes[host][id] = target
	}
}

// assign notes new parts of a host. Until the host confirms them it may use the larger of the former and
// the new ones.
func (s *Shares) assign(host entity.HostID, parts map[entity.WorkspaceID]float64) Assignment {
	h := s.hosts[host]
	s.version++
	h.version = s.version
	h.pending = true
	for id, part := range parts {
		h.assigned[id] = part
		h.held[id] = max(h.held[id], part)
	}
	return Assignment{Host: host, Version: h.version, Parts: parts}
}

// Part returns the largest part of a workspace that a host may use.
func (s *Shares) Part(host entity.HostID, id entity.WorkspaceID) float64 {
	if h := s.hosts[host]; h != nil {
		return h.held[id]
	}
	return 0
}
