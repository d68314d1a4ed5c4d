package limits

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/command"
	"github.com/foxtailpass/foxtailpass/internal/config"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

// maxWitnesses bounds the number of witnesses of a holder, so that records stay small in large fleets.
const maxWitnesses = 15

// rankInterval is the difference in reclaim delay between hosts of consecutive rank; see reclaimDelay.
const rankInterval = 500 * time.Millisecond

// term holds the state that decides whether this host may use its units, and whether the terms of other
// holders are over.
type term struct {
	// hosts holds the registered hosts, which this package calls live, and byAddr their incarnations by peer
	// address. hostsKnown is false until the first call of HandleHosts.
	hosts      map[entity.HostID]config.HostRecord
	byAddr     map[string]entity.Incarnation
	hostsKnown bool
	// registeredProcs is the set of registered processes.
	registeredProcs map[entity.Incarnation]bool
	// selfRegistered is set once the registry has listed this process. superseded is set when the
	// registry then lists another process under this host's ID.
	selfRegistered, superseded bool

	// epoch is the number of the current lease epoch, which starts when a lapsed lease is renewed. leaseEnds
	// maps the latest epochs to the times at which the lease ends or has ended.
	epoch     int64
	leaseEnds map[int64]time.Time
	// newestAnswered is the send time of the newest heartbeat of this host that each process has
	// answered.
	newestAnswered map[entity.Incarnation]time.Time

	// fenced holds the processes whose heartbeats this host has promised not to answer. lastAnswerTo is
	// when this host last answered each process.
	fenced       map[entity.Incarnation]bool
	lastAnswerTo map[entity.Incarnation]time.Time

	// fenceGrants maps a fenced process to its witnesses that granted the fence, each with the latest
	// time at which the witness can have answered the process.
	fenceGrants map[entity.Incarnation]map[entity.Incarnation]time.Time
	// unregisteredSince is when this host first found a holder not to be registered. replacedSince is
	// when it first observed a later process at the address of a holder or witness.
	unregisteredSince map[holderEpoch]time.Time
	replacedSince     map[entity.Incarnation]time.Time
}

// holderEpoch identifies a lease epoch of a holder. A holder that has registered again has a later epoch.
type holderEpoch struct {
	incarnation entity.Incarnation
	epoch       int64
}

func newTerm() term {
	return term{
		leaseEnds:         map[int64]time.Time{},
		newestAnswered:    map[entity.Incarnation]time.Time{},
		fenced:            map[entity.Incarnation]bool{},
		lastAnswerTo:      map[entity.Incarnation]time.Time{},
		fenceGrants:       map[entity.Incarnation]map[entity.Incarnation]time.Time{},
		unregisteredSince: map[holderEpoch]time.Time{},
		replacedSince:     map[entity.Incarnation]time.Time{},
	}
}

// HandleHosts replaces the list of registered hosts.
func (t *Throttler) HandleHosts(hosts []config.HostRecord, now time.Time) {
	m := &t.term
	m.hostsKnown = true
	m.hosts = make(map[entity.HostID]config.HostRecord, len(hosts))
	m.byAddr = make(map[string]entity.Incarnation, len(hosts))
	m.registeredProcs = make(map[entity.Incarnation]bool, len(hosts))
	for _, h := range hosts {
		m.hosts[h.ID] = h
		m.byAddr[h.PeerAddr] = h.Incarnation
		m.registeredProcs[h.Incarnation] = true
	}
	if m.registeredProcs[t.opt.Incarnation] {
		m.selfRegistered = true
	} else if _, other := m.hosts[t.opt.Self]; other && m.selfRegistered {
		m.superseded = true
	}
	for k := range m.unregisteredSince {
		if m.registeredProcs[k.incarnation] {
			delete(m.unregisteredSince, k)
		}
	}
	for host := range t.reported {
		if _, ok := m.hosts[host]; !ok {
			t.forgetPeer(host)
		}
	}
	for _, a := range t.accounts {
		t.recordAbsentHolders(a, now)
	}
}

// forgetPeer deletes all token state received from a host.
func (t *Throttler) forgetPeer(host entity.HostID) {
	delete(t.reported, host)
	for _, a := range t.accounts {
		delete(a.peers, host)
	}
}

// recordAbsentHolders records when holders were first found unregistered, and when they or their
// witnesses were first found replaced.
func (t *Throttler) recordAbsentHolders(a *account, now time.Time) {
	m := &t.term
	if !m.hostsKnown {
		return
	}
	for _, h := range a.share.rec.Holders {
		if m.isLive(h.Host, h.Incarnation) {
			continue
		}
		k := holderEpoch{h.Incarnation, h.Epoch}
		if _, known := m.unregisteredSince[k]; !known {
			m.unregisteredSince[k] = now
		}
		m.recordReplaced(h.Addr, h.Incarnation, now)
		for _, w := range h.Witnesses {
			m.recordReplaced(w.Addr, w.Incarnation, now)
		}
	}
}

// recordReplaced records when a later process was first observed at the address of a process. A process
// is registered before it appears in a share record, so a different process that is registered at its address now is
// a later one.
func (m *term) recordReplaced(addr string, inc entity.Incarnation, now time.Time) {
	current, ok := m.byAddr[addr]
	if !ok || addr == "" || current == inc || m.registeredProcs[inc] {
		return
	}
	if _, known := m.replacedSince[inc]; !known {
		m.replacedSince[inc] = now
	}
}

// isLive reports whether the registry lists the incarnation under the host's ID.
func (m *term) isLive(host entity.HostID, inc entity.Incarnation) bool {
	h, ok := m.hosts[host]
	return ok && h.Incarnation == inc
}

// HandleLease applies a renewal of the host lease: the registration is valid until validUntil. The caller
// computes validUntil from a time before it sent the renewal.
func (t *Throttler) HandleLease(validUntil, now time.Time) {
	m := &t.term
	if m.epoch == 0 || !now.Before(m.leaseEnds[m.epoch]) {
		m.epoch++
	}
	if validUntil.After(m.leaseEnds[m.epoch]) {
		m.leaseEnds[m.epoch] = validUntil
	}
	delete(m.leaseEnds, m.epoch-2)
}

// HandleHeartbeatAnswer records that a process of a peer has answered the heartbeat that this host sent at sentAt.
func (t *Throttler) HandleHeartbeatAnswer(_ entity.HostID, inc entity.Incarnation, sentAt time.Time) {
	if sentAt.After(t.term.newestAnswered[inc]) {
		t.term.newestAnswered[inc] = sentAt
	}
}

// AllowHeartbeatAnswer reports whether this host may answer a heartbeat of a process, and if so records that
// it answers now. It permanently returns false for a fenced process.
func (t *Throttler) AllowHeartbeatAnswer(inc entity.Incarnation, now time.Time) bool {
	if t.term.fenced[inc] {
		return false
	}
	t.term.lastAnswerTo[inc] = now
	return true
}

// mayUseUnits reports whether this host may use its units of the workspace now. Either its lease has been valid
// since it last wrote its entry, or enough witnesses have answered its recent heartbeats and less than
// MaxTimeWithoutLease has passed since the lease ended.
func (t *Throttler) mayUseUnits(a *account, now time.Time) bool {
	m := &t.term
	own := a.share.rec.holder(t.opt.Incarnation)
	if own == nil || m.superseded || t.stopping {
		return false
	}
	end, ok := m.leaseEnds[own.Epoch]
	if !ok {
		return false
	}
	if own.Epoch == m.epoch && now.Before(end) {
		return true
	}
	if !now.Before(end.Add(MaxTimeWithoutLease)) || !m.hasWitnessQuorum(own.Witnesses, now) {
		return false
	}
	// A write whose outcome is unknown or pending may have replaced the witnesses, so the witnesses of all
	// such writes must have answered too.
	for _, set := range a.share.unknownWitnesses {
		if !m.hasWitnessQuorum(set, now) {
			return false
		}
	}
	for _, w := range a.share.inFlight {
		if h := w.rec.holder(t.opt.Incarnation); h != nil && !m.hasWitnessQuorum(h.Witnesses, now) {
			return false
		}
	}
	return true
}

// hasWitnessQuorum reports whether enough of the witnesses have answered a heartbeat that was sent less
// than WitnessTerm ago.
func (m *term) hasWitnessQuorum(witnesses []Witness, now time.Time) bool {
	n := 0
	for _, w := range witnesses {
		if at, ok := m.newestAnswered[w.Incarnation]; ok && now.Before(at.Add(WitnessTerm)) {
			n++
		}
	}
	return n >= answersNeeded(len(witnesses))
}

// witnesses returns the registered processes that this host selects as its witnesses.
func (t *Throttler) witnesses() []Witness {
	var out []Witness
	for _, h := range t.term.hosts {
		if h.ID != t.opt.Self && h.State != "stopping" {
			out = append(out, Witness{h.ID, h.Incarnation, h.PeerAddr})
		}
	}
	sortByHash(out, string(t.opt.Self), func(w Witness) entity.HostID { return w.Host })
	return out[:min(len(out), maxWitnesses)]
}

func (t *Throttler) handleFenceRequest(from entity.HostID, m *wire.FenceRequest, now time.Time) []command.Command {
	age, ok := t.grantFence(m.Host, m.Incarnation, now)
	if !ok {
		return nil
	}
	return []command.Command{command.SendPeer{To: from, Message: &wire.FenceGrant{
		Host: m.Host, Incarnation: m.Incarnation, LastAnswerAge: age,
	}}}
}

// grantFence promises that this host answers no further heartbeat of a process. It returns the age of the
// last answer, or -1 if there was none. It returns false, without a promise, while the process is registered and
// while this host answers its heartbeats: an outage of the key-value service can end leases and remove
// registrations, and such a process may then serve only because its peers still answer it.
func (t *Throttler) grantFence(host entity.HostID, inc entity.Incarnation, now time.Time) (time.Duration, bool) {
	m := &t.term
	if !m.hostsKnown || m.isLive(host, inc) || inc == t.opt.Incarnation {
		return 0, false
	}
	last, answered := m.lastAnswerTo[inc]
	if answered && now.Sub(last) < heartbeatTimeout {
		return 0, false
	}
	m.fenced[inc] = true
	if !answered {
		return -1, true
	}
	return max(0, now.Sub(last)), true
}

// handleFenceGrant records a witness's promise. It shortens the reported age by the assumed clock drift,
// so that the recorded time is the latest at which the witness can have answered.
func (m *term) handleFenceGrant(witness entity.Incarnation, g *wire.FenceGrant, now time.Time) {
	set := m.fenceGrants[g.Incarnation]
	if set == nil {
		set = map[entity.Incarnation]time.Time{}
		m.fenceGrants[g.Incarnation] = set
	}
	var last time.Time
	if g.LastAnswerAge >= 0 {
		last = now.Add(-g.LastAnswerAge + g.LastAnswerAge/driftDivisor)
	}
	if _, known := set[witness]; !known {
		set[witness] = last
	}
}

// withDrift lengthens a duration that another host's clock measures by the assumed clock drift.
func withDrift(d time.Duration) time.Duration { return d + d/driftDivisor }

// isTermOver reports whether it is proven that the holder can no longer use its units and that its loans
// have expired. There are three proofs: a later process is registered at its address, it has been
// unregistered for MaxTimeWithoutLease, or enough of its witnesses have fenced it.
func (m *term) isTermOver(h Holder, now time.Time) bool {
	if m.isLive(h.Host, h.Incarnation) {
		return false
	}
	if at, ok := m.replacedSince[h.Incarnation]; ok && !now.Before(at.Add(loanGracePeriod)) {
		return true
	}
	unregisteredSince, ok := m.unregisteredSince[holderEpoch{h.Incarnation, h.Epoch}]
	if !ok || now.Before(unregisteredSince.Add(loanGracePeriod)) {
		return false
	}
	if !now.Before(unregisteredSince.Add(withDrift(MaxTimeWithoutLease) + loanGracePeriod)) {
		return true
	}
	return m.isWitnessTermOver(h, now)
}

// isWitnessTermOver reports whether enough witnesses have fenced the holder, and WitnessTerm and the grace period for
// loans have passed since the last of their answers to it.
func (m *term) isWitnessTermOver(h Holder, now time.Time) bool {
	n := 0
	var latest time.Time
	for _, w := range h.Witnesses {
		last, fenced := m.fenceGrants[h.Incarnation][w.Incarnation]
		if !fenced {
			// A replaced witness has ended, so it has answered nobody since it was found replaced.
			last, fenced = m.replacedSince[w.Incarnation]
		}
		if !fenced {
			continue
		}
		n++
		if last.After(latest) {
			latest = last
		}
	}
	return n >= fencesNeeded(len(h.Witnesses)) && !now.Before(latest.Add(withDrift(WitnessTerm)+loanGracePeriod))
}

// requestFences asks the witnesses of unregistered holders to fence those holders. Where this host is a witness
// itself, it fences the holder without a message.
func (t *Throttler) requestFences(a *account, now time.Time) []command.Command {
	m := &t.term
	var out []command.Command
	for _, h := range a.share.rec.Holders {
		since, ok := m.unregisteredSince[holderEpoch{h.Incarnation, h.Epoch}]
		if !ok || m.isLive(h.Host, h.Incarnation) || now.Before(since.Add(t.reclaimDelay(a))) {
			continue
		}
		for _, w := range h.Witnesses {
			if _, fenced := m.fenceGrants[h.Incarnation][w.Incarnation]; fenced {
				continue
			}
			if w.Incarnation == t.opt.Incarnation {
				if age, ok := t.grantFence(h.Host, h.Incarnation, now); ok {
					m.handleFenceGrant(w.Incarnation, &wire.FenceGrant{Incarnation: h.Incarnation, LastAnswerAge: age}, now)
				}
				continue
			}
			out = append(out, command.SendPeer{To: w.Host, Message: &wire.FenceRequest{Host: h.Host, Incarnation: h.Incarnation}})
		}
	}
	return out
}

// reclaimDelay returns how long this host waits before it reclaims units of a workspace. The delay depends
// on the rank of the host for that workspace, so that usually only the first live host reclaims, and the
// next one only if the first did not.
func (t *Throttler) reclaimDelay(a *account) time.Duration {
	var hosts []entity.HostID
	for id := range t.term.hosts {
		hosts = append(hosts, id)
	}
	sortByHash(hosts, string(a.id), func(h entity.HostID) entity.HostID { return h })
	return time.Duration(max(0, slices.Index(hosts, t.opt.Self))) * rankInterval
}

// sortByHash orders a list by the rendezvous hash of the seed and each element's host.
func sortByHash[T any](list []T, seed string, host func(T) entity.HostID) {
	hash := func(x T) uint64 {
		f := fnv.New64a()
		_, _ = f.Write([]byte(seed + "/" + string(host(x))))
		return f.Sum64()
	}
	slices.SortFunc(list, func(x, y T) int {
		hx, hy := hash(x), hash(y)
		switch {
		case hx < hy:
			return -1
		case hx > hy:
			return 1
		}
		return 0
	})
}
