package edge

import (
	"hash/fnv"
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/boottime"
	"github.com/foxtailpass/foxtailpass/internal/election"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/fleet"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
)

// batchResult collects the effects of a batch of changes. members and holder report whether registrations of
// hosts and records of the election have changed.
type batchResult struct {
	upstreams upstreamsChanged
	members   bool
	holder    bool
	// quarantine are the changes of the records about crashes of engines.
	quarantine []kvstore.Event
	// releases are the changes of the records of releases.
	releases []kvstore.Event
	// relevant are the changes that are relevant to other hosts.
	relevant []kvstore.Event
}

// apply applies changes up to a revision. began is when the read that found them began, zero if the
// coordinator relayed them.
func (w *watcher) apply(events []kvstore.Event, revision int64, began time.Time) {
	var out batchResult
	if revision > w.revision {
		out.relevant = w.takeUnrelayed(revision)
	}
	for _, e := range events {
		if w.applyEvent(e, &out) {
			out.relevant = append(out.relevant, e)
		}
	}
	w.advanceRevision(revision)
	w.election.Era = kvstore.EraOf(w.revision)
	w.sendBatch(out)
	w.observeElection(w.election)
	w.send(revisionAdvanced{changes: out.relevant, revision: revision, began: began})
}

// sendBatch sends the effects of changes to the control state.
func (w *watcher) sendBatch(out batchResult) {
	if len(out.upstreams.put)+len(out.upstreams.removed) > 0 {
		w.send(out.upstreams)
	}
	if len(out.quarantine) > 0 {
		w.send(quarantineChanged{changes: out.quarantine})
	}
	if len(out.releases) > 0 {
		w.send(releasesChanged{changes: out.releases})
	}
	if out.members {
		w.send(membersChanged{hosts: w.sortedMembers(), addrs: w.memberAddrs()})
	}
	if out.holder || !w.holderSent {
		w.holderSent = true
		w.send(holderChanged{holder: w.election.Holder})
	}
	if out.members || out.holder {
		w.updateRank()
	}
}

// applyEvent applies one change and reports whether it is relevant to other hosts.
func (w *watcher) applyEvent(e kvstore.Event, out *batchResult) bool {
	key := e.Pair.Key
	w.trackKey(e)
	switch {
	case key == w.protocol.ConfigKey():
		w.applyConfig(e)
	case strings.HasPrefix(key, w.protocol.UpstreamsPrefix()):
		return w.applyUpstream(e, &out.upstreams)
	case strings.HasPrefix(key, w.protocol.EvacuationsPrefix()):
		w.applyEvacuation(e, &out.upstreams)
	case key == w.prefix+settledEraKey:
		w.applySettledEra(e)
	case w.isQuarantineKey(key):
		w.recordKey(e)
		out.quarantine = append(out.quarantine, e)
	case w.isReleaseKey(key):
		w.recordKey(e)
		out.releases = append(out.releases, e)
	case w.keptStreams.IsStreamKey(key):
		w.keptStreams.Apply(e, boottime.Now())
		return false
	case strings.HasPrefix(key, w.prefix+membersPrefix):
		out.members = true
		w.applyMember(e)
	case key == w.prefix+election.HolderKey:
		out.holder = true
		w.applyHolder(e)
	case key == w.prefix+election.OrdersKey:
		w.election.ApplyOrders(e)
	case key == w.prefix+election.TermKey && !e.Deleted:
		out.holder = true
		w.applyTerm(e)
	default:
		return false
	}
	return true
}

func (w *watcher) applyConfig(e kvstore.Event) {
	if e.Deleted {
		w.log.Error("Configuration deleted. The last one stays in force.", "version", w.configVersion)
		return
	}
	cat, notices, err := w.protocol.DecodeCatalog(e.Pair.Value)
	if err != nil {
		w.log.Error("Configuration cannot be read. The last one stays in force.", "version", w.configVersion, "err", err)
		return
	}
	for _, n := range notices {
		w.log.Warn("Part of the configuration left out.", "part", n.Part, "reason", n.Reason)
	}
	if cat.Version < w.configVersion {
		w.log.Error("Older configuration ignored.", "version", cat.Version, "in_force", w.configVersion)
		return
	}
	w.configVersion = cat.Version
	w.setCatalog(cat)
	w.send(catalogChanged{catalog: cat})
	w.log.Info("Configuration in force.", "version", cat.Version, "revision", e.Pair.ModRevision, "routes", cat.RouteCount())
}

// applyUpstream applies a change of a list entry and reports whether it is relevant to other hosts. A change of
// nothing but the count of orders is not.
func (w *watcher) applyUpstream(e kvstore.Event, out *upstreamsChanged) bool {
	id := entity.UpstreamID(strings.TrimPrefix(e.Pair.Key, w.protocol.UpstreamsPrefix()))
	var u *fleet.Upstream
	if !e.Deleted {
		var err error
		if u, err = w.protocol.DecodeUpstream(e.Pair.Key, e.Pair.Value); err != nil {
			w.log.Warn("Entry of the list ignored.", "key", e.Pair.Key, "err", err)
		}
	}
	former := w.upstreams[id]
	if u != nil {
		w.upstreams[id] = u
		changed := !u.EqualExceptSequence(former)
		if changed || w.isCoordinator() {
			out.addPut(w.withEvacuation(u))
		}
		return changed || boottime.Now().Before(w.relayAllUntil)
	}
	if former == nil {
		// Another host may know the entry from before a restore.
		return true
	}
	if e.Deleted && w.endsOutage() {
		w.deferChange(e, w.outageSince, entryReturnTime, boottime.Now())
		return false
	}
	delete(w.upstreams, id)
	out.addRemoved(id)
	return true
}

// applyEvacuation applies the start or the end of the evacuation of a failure domain.
func (w *watcher) applyEvacuation(e kvstore.Event, out *upstreamsChanged) {
	domain := strings.TrimPrefix(e.Pair.Key, w.protocol.EvacuationsPrefix())
	if w.evacuated[domain] == !e.Deleted {
		return
	}
	if e.Deleted {
		delete(w.evacuated, domain)
	} else {
		w.evacuated[domain] = true
	}
	w.log.Info("Evacuation of a failure domain changed.", "domain", domain, "evacuated", !e.Deleted, "revision", e.Pair.ModRevision)
	for _, id := range slices.Sorted(maps.Keys(w.upstreams)) {
		if u := w.upstreams[id]; u.Domain == domain {
			out.addPut(w.withEvacuation(u))
		}
	}
}

// withEvacuation returns an upstream as this host uses it: one in an evacuated failure domain counts as draining.
func (w *watcher) withEvacuation(u *fleet.Upstream) *fleet.Upstream {
	if !w.evacuated[u.Domain] || u.Draining {
		return u
	}
	draining := *u
	draining.Draining = true
	return &draining
}

// endsOutage reports whether the current read ends an outage that was so long that entries of running upstreams
// may have lapsed.
func (w *watcher) endsOutage() bool {
	return !w.outageSince.IsZero() && boottime.Now().Sub(w.outageSince) > outageThreshold
}

// recordKey keeps the keys of the records that hosts write together, so that a complete read shows which of them are gone.
func (w *watcher) recordKey(e kvstore.Event) {
	if e.Deleted {
		delete(w.recordKeys, e.Pair.Key)
		return
	}
	w.recordKeys[e.Pair.Key] = true
}

func (w *watcher) applyMember(e kvstore.Event) {
	id := entity.HostID(strings.TrimPrefix(e.Pair.Key, w.prefix+membersPrefix))
	if e.Deleted {
		delete(w.members, id)
		return
	}
	h, err := election.DecodeHolder(e.Pair)
	if err != nil {
		w.log.Error("Registration of a host cannot be read.", "key", e.Pair.Key, "err", err)
		h = &election.Holder{}
	}
	h.Host = id
	w.members[id] = *h
}

func (w *watcher) applyHolder(e kvstore.Event) {
	if err := w.election.ApplyHolder(e); err != nil {
		w.log.Error("Record of the coordinator cannot be read.", "key", e.Pair.Key, "err", err)
	}
}

func (w *watcher) applyTerm(e kvstore.Event) {
	if err := w.election.ApplyTerm(e.Pair); err != nil {
		w.log.Error("Record of the last coordinator cannot be read.", "key", e.Pair.Key, "err", err)
	}
}

func (w *watcher) sortedMembers() []entity.HostID {
	out := make([]entity.HostID, 0, len(w.members))
	for id := range w.members {
		out = append(out, id)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// memberAddrs returns the addresses at which the registered hosts serve other hosts.
func (w *watcher) memberAddrs() map[entity.HostID]string {
	out := make(map[entity.HostID]string, len(w.members))
	for id, h := range w.members {
		out[id] = h.Addr
	}
	return out
}

// updateRank updates the rank of this host among the registered hosts, and whether the last holder of the
// coordinator lease is registered.
func (w *watcher) updateRank() {
	w.election.Rank, w.election.Outranked = w.rank()
	_, w.election.LastRegistered = w.members[w.election.LastHolder]
}

// rank returns this host's rank among the candidates, and whether a much stronger host is registered. Much
// stronger hosts come first. The order of the others differs between terms, so that one unreachable host does
// not stay first. The last holder is not counted: it campaigns at once if it is running.
func (w *watcher) rank() (rank int, outranked bool) {
	own := hashHost(w.self.Host, w.election.LastRevision)
	for id, h := range w.members {
		switch {
		case id == w.self.Host || id == w.election.LastHolder || w.self.Outranks(h):
		case h.Outranks(w.self):
			rank++
			outranked = true
		case hashHost(id, w.election.LastRevision) < own:
			rank++
		}
	}
	return rank, outranked
}

func hashHost(id entity.HostID, term int64) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	_, _ = h.Write([]byte{byte(term), byte(term >> 8), byte(term >> 16)})
	return h.Sum64()
}
