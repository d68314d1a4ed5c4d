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

// maxWitnesses bounds the witness list of a holder, so that records stay small in large fleets.
const maxWitnesses = 15

// rankInterval is the delay between the hosts that may reclaim units, in order of their rank.
const rankInterval = 500 * time.Millisecond

// term holds what decides whether this host may use its units, and whether the terms of
// other holders are over.
type term struct {
	// hosts is the registry of live hosts; loaded is false until it was first given.
	hosts  map[entity.HostID]config.HostRecord
	byAddr map[string]entity.Incarnation
	loaded bool
	// present holds the registered processes.
	present map[entity.Incarnation]bool
	// registered is set when the registry has listed this process; superseded is set when it
	// later listed another process under this host's ID.
	registered, superseded bool

	// epoch counts the lease's uninterrupted periods; leaseEnds is the end of each.
	epoch     int64
	leaseEnds map[int64]time.Time
	// answered is the newest heartbeat that each process has answered.
	answered map[entity.Incarnation]time.Time

	// fenced holds the processes that this host has promised not to answer; lastAnswer is when
	// it last answered each process.
	fenced     map[entity.Incarnation]bool
	lastAnswer map[entity.Incarnation]time.Time

	// fences maps a fenced process to its witnesses' last answers (latest possible time).
	fences map[entity.Incarnation]map[entity.Incarnation]time.Time
	// absent and replaced hold since when a holder is known to be unregistered or replaced.
	absent   map[absence]time.Time
	replaced map[entity.Incarnation]time.Time
}

// absence names a period of a holder. A holder that came back in between has a later epoch.
type absence struct {
	incarnation entity.Incarnation
	epoch       int64
}

func newTerm() term {
	return term{
		leaseEnds:  map[int64]time.Time{},
		answered:   map[entity.Incarnation]time.Time{},
		fenced:     map[entity.Incarnation]bool{},
		lastAnswer: map[entity.Incarnation]time.Time{},
		fences:     map[entity.Incarnation]map[entity.Incarnation]time.Time{},
		absent:     map[absence]time.Time{},
		replaced:   map[entity.Incarnation]time.Time{},
	}
}

// HandleHosts takes the registry of live hosts.
func (t *Throttler) HandleHosts(hosts []config.HostRecord, now time.Time) {
	m := &t.term
	m.loaded = true
	m.hosts = make(map[entity.HostID]config.HostRecord, len(hosts))
	m.byAddr = make(map[string]entity.Incarnation, len(hosts))
	m.present = make(map[entity.Incarnation]bool, len(hosts))
	for _, h := range hosts {
		m.hosts[h.ID] = h
		m.byAddr[h.PeerAddr] = h.Incarnation
		m.present[h.Incarnation] = true
	}
	if m.present[t.opt.Incarnation] {
		m.registered = true
	} else if _, other := m.hosts[t.opt.Self]; other && m.registered {
		m.superseded = true
	}
	for k := range m.absent {
		if m.present[k.incarnation] {
			delete(m.absent, k)
		}
	}
	for host := range t.heard {
		if _, ok := m.hosts[host]; !ok {
			t.forgetPeer(host)
		}
	}
	for _, a := range t.accounts {
		t.noteHolders(a, now)
	}
}

func (t *Throttler) forgetPeer(host entity.HostID) {
	delete(t.heard, host)
	for _, a := range t.accounts {
		delete(a.peers, host)
	}
}

// noteHolders records since when holders are unregistered or replaced.
func (t *Throttler) noteHolders(a *account, now time.Time) {
	m := &t.term
	if !m.loaded {
		return
	}
	for _, h := range a.share.rec.Holders {
		if m.isLive(h.Host, h.Incarnation) {
			continue
		}
		k := absence{h.Incarnation, h.Epoch}
		if _, known := m.absent[k]; !known {
			m.absent[k] = now
		}
		m.noteReplaced(h.Addr, h.Incarnation, now)
		for _, w := range h.Witnesses {
			m.noteReplaced(w.Addr, w.Incarnation, now)
		}
	}
}

// noteReplaced records when a later process was first seen at the address of a process. Every
// process registers before it is written into a record, so a different one is later.
func (m *term) noteReplaced(addr string, inc entity.Incarnation, now time.Time) {
	current, ok := m.byAddr[addr]
	if !ok || addr == "" || current == inc || m.present[inc] {
		return
	}
	if _, known := m.replaced[inc]; !known {
		m.replaced[inc] = now
	}
}

func (m *term) isLive(host entity.HostID, inc entity.Incarnation) bool {
	h, ok := m.hosts[host]
	return ok && h.Incarnation == inc
}

// HandleLease takes a renewal of the host lease: the registration is valid until validUntil,
// counted from before the renewal was asked for.
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

// HandleWitness records that a peer process has answered the heartbeat sent at sentAt.
func (t *Throttler) HandleWitness(_ entity.HostID, inc entity.Incarnation, sentAt time.Time) {
	if sentAt.After(t.term.answered[inc]) {
		t.term.answered[inc] = sentAt
	}
}

// AnswerHeartbeat says whether a heartbeat of a process may be answered, and records the answer.
// It is false for fenced processes, for good.
func (t *Throttler) AnswerHeartbeat(inc entity.Incarnation, now time.Time) bool {
	if t.term.fenced[inc] {
		return false
	}
	t.term.lastAnswer[inc] = now
	return true
}

// usable says whether this host may use its units of the workspace now.
func (t *Throttler) usable(a *account, now time.Time) bool {
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
	if !now.Before(end.Add(LongTerm)) || !m.answeredBy(own.Witnesses, now) {
		return false
	}
	// A write whose outcome is not known may have replaced the witnesses.
	for _, set := range a.share.unknownWitnesses {
		if !m.answeredBy(set, now) {
			return false
		}
	}
	for _, w := range a.share.inFlight {
		if h := w.rec.holder(t.opt.Incarnation); h != nil && !m.answeredBy(h.Witnesses, now) {
			return false
		}
	}
	return true
}

// answeredBy says whether enough of the witnesses have answered within the witness term.
func (m *term) answeredBy(witnesses []Witness, now time.Time) bool {
	n := 0
	for _, w := range witnesses {
		if at, ok := m.answered[w.Incarnation]; ok && now.Before(at.Add(WitnessTerm)) {
			n++
		}
	}
	return n >= answersNeeded(len(witnesses))
}

// witnesses selects this host's witnesses from the registry.
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
	age, ok := t.fence(m.Host, m.Incarnation, now)
	if !ok {
		return nil
	}
	return []command.Command{command.SendPeer{To: from, Message: &wire.FenceGrant{
		Host: m.Host, Incarnation: m.Incarnation, LastAnswerAge: age,
	}}}
}

// fence promises not to answer a process again. It declines while the registry lists the process,
// and while its heartbeats arrive: a process can lose its registration in an outage of the service
// that ends leases, and its peers are then all that keeps it serving.
func (t *Throttler) fence(host entity.HostID, inc entity.Incarnation, now time.Time) (time.Duration, bool) {
	m := &t.term
	if !m.loaded || m.isLive(host, inc) || inc == t.opt.Incarnation {
		return 0, false
	}
	last, answered := m.lastAnswer[inc]
	if answered && now.Sub(last) < heartbeatAlive {
		return 0, false
	}
	m.fenced[inc] = true
	if !answered {
		return -1, true
	}
	return max(0, now.Sub(last)), true
}

// handleFence records a witness's promise. The age is shortened by the assumed clock drift, so
// that the recorded time is the latest possible one.
func (m *term) handleFence(witness entity.Incarnation, g *wire.FenceGrant, now time.Time) {
	set := m.fences[g.Incarnation]
	if set == nil {
		set = map[entity.Incarnation]time.Time{}
		m.fences[g.Incarnation] = set
	}
	var last time.Time
	if g.LastAnswerAge >= 0 {
		last = now.Add(-g.LastAnswerAge + g.LastAnswerAge/driftParts)
	}
	if _, known := set[witness]; !known {
		set[witness] = last
	}
}

// withDrift lengthens a duration that another clock measures.
func withDrift(d time.Duration) time.Duration { return d + d/driftParts }

// termOver says whether it is proven that the holder can neither use its units nor has
// outstanding loans, by one of the three proofs of the design page.
func (m *term) termOver(h Holder, now time.Time) bool {
	if m.isLive(h.Host, h.Incarnation) {
		return false
	}
	if at, ok := m.replaced[h.Incarnation]; ok && !now.Before(at.Add(loanHold)) {
		return true
	}
	absent, ok := m.absent[absence{h.Incarnation, h.Epoch}]
	if !ok || now.Before(absent.Add(loanHold)) {
		return false
	}
	if !now.Before(absent.Add(withDrift(LongTerm) + loanHold)) {
		return true
	}
	return m.witnessesOver(h, now)
}

// witnessesOver says whether enough witnesses have fenced the holder, the last answer of which
// is older than the witness term.
func (m *term) witnessesOver(h Holder, now time.Time) bool {
	n := 0
	var latest time.Time
	for _, w := range h.Witnesses {
		last, fenced := m.fences[h.Incarnation][w.Incarnation]
		if !fenced {
			// A replaced witness answers nobody, since it was replaced at the latest.
			last, fenced = m.replaced[w.Incarnation]
		}
		if !fenced {
			continue
		}
		n++
		if last.After(latest) {
			latest = last
		}
	}
	return n >= fencesNeeded(len(h.Witnesses)) && !now.Before(latest.Add(withDrift(WitnessTerm)+loanHold))
}

// fenceWitnesses asks the witnesses of unregistered holders for fences.
func (t *Throttler) fenceWitnesses(a *account, now time.Time) []command.Command {
	m := &t.term
	var out []command.Command
	for _, h := range a.share.rec.Holders {
		since, ok := m.absent[absence{h.Incarnation, h.Epoch}]
		if !ok || m.isLive(h.Host, h.Incarnation) || now.Before(since.Add(t.rankDelay(a))) {
			continue
		}
		for _, w := range h.Witnesses {
			if _, fenced := m.fences[h.Incarnation][w.Incarnation]; fenced {
				continue
			}
			if w.Incarnation == t.opt.Incarnation {
				if age, ok := t.fence(h.Host, h.Incarnation, now); ok {
					m.handleFence(w.Incarnation, &wire.FenceGrant{Incarnation: h.Incarnation, LastAnswerAge: age}, now)
				}
				continue
			}
			out = append(out, command.SendPeer{To: w.Host, Message: &wire.FenceRequest{Host: h.Host, Incarnation: h.Incarnation}})
		}
	}
	return out
}

// rankDelay spreads the reclaiming of a workspace's units over the live hosts, so that usually
// one host does it and the others only if it does not.
func (t *Throttler) rankDelay(a *account) time.Duration {
	var hosts []entity.HostID
	for id := range t.term.hosts {
		hosts = append(hosts, id)
	}
	sortByHash(hosts, string(a.id), func(h entity.HostID) entity.HostID { return h })
	return time.Duration(max(0, slices.Index(hosts, t.opt.Self))) * rankInterval
}

// sortByHash orders a list by rendezvous hash.
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
