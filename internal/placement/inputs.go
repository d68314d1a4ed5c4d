package placement

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/foxtailpass/foxtailpass/internal/config"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

// HandleSite puts a configuration in force.
func (p *Placer) HandleSite(site *config.Site, now time.Time) {
	p.site = site
	for id := range p.models {
		p.models[id].cfg = nil
	}
	for id := range site.Models {
		cfg := site.Models[id]
		p.model(id).cfg = &cfg
	}
	for _, m := range p.models {
		p.bump(m)
	}
	p.touchAll()
}

// HandleHosts takes the registered hosts and those that this host can reach. Hosts that are
// unreachable, or that cannot reach the key-value service, should be reported as not reachable.
// The list must come from a view at least as new as the records given to HandleRecord before the next Tick.
func (p *Placer) HandleHosts(live []config.HostRecord, reachable func(entity.HostID) bool, now time.Time) {
	changed := len(live) != len(p.live)
	next := make(map[entity.HostID]config.HostRecord, len(live))
	clear(p.liveAddr)
	p.inList = false
	p.hostLists++
	for _, h := range live {
		if old, ok := p.live[h.ID]; !ok || old.Incarnation != h.Incarnation || old.PeerAddr != h.PeerAddr {
			changed = true
		}
		next[h.ID] = h
		if h.PeerAddr != "" {
			p.liveAddr[h.PeerAddr] = append(p.liveAddr[h.PeerAddr], h.Incarnation)
		}
		if _, ok := p.firstList[h.Incarnation]; !ok {
			p.firstList[h.Incarnation] = p.hostLists
		}
		if h.ID == p.opt.Self && h.Incarnation == p.opt.Incarnation {
			p.self = h
			p.inList = true
		}
	}
	p.live = next
	former := p.decider
	p.decider = chooseDecider(live, reachable, p.opt.Self)
	if former != p.decider && p.decider == p.opt.Self {
		p.decidesSince = now
	}
	if changed || former != p.decider {
		p.touchAll()
	}
}

// chooseDecider picks one host for the whole site by rendezvous hashing, so that the order in
// which the weight store is used is global.
func chooseDecider(live []config.HostRecord, reachable func(entity.HostID) bool, self entity.HostID) entity.HostID {
	var best entity.HostID
	var bestScore uint64
	for _, h := range live {
		if h.State == "stopping" {
			continue
		}
		if reachable != nil && !reachable(h.ID) {
			continue
		}
		score := xxhash.Sum64String("placement/" + string(h.ID))
		if best == "" || score > bestScore || (score == bestScore && h.ID < best) {
			best, bestScore = h.ID, score
		}
	}
	return best
}

func goneKey(h entity.HostID, i entity.Incarnation) string { return string(h) + "/" + string(i) }

// HandleGone records that an operator confirmed that the process no longer exists.
func (p *Placer) HandleGone(host entity.HostID, inc entity.Incarnation, now time.Time) {
	p.gone[goneKey(host, inc)] = true
	p.touchAll()
}

// HandleUpstreams takes changes of the platform's list.
func (p *Placer) HandleUpstreams(changed []config.UpstreamRecord, removed []entity.UpstreamID, now time.Time) {
	for _, r := range changed {
		u := p.upstream(r.ID)
		if u.listed {
			p.totalBytes -= u.rec.MemoryBytes
		}
		p.indexCheckpoints(u, r.Checkpoints)
		u.rec = r
		u.listed = true
		p.totalBytes += r.MemoryBytes
		p.upstreamChanged(u)
	}
	for _, id := range removed {
		u := p.upstreams[id]
		if u == nil || !u.listed {
			continue
		}
		p.totalBytes -= u.rec.MemoryBytes
		u.listed = false
		u.report = nil
		u.foreign = 0
		clear(u.listedIDs)
		p.upstreamChanged(u)
	}
}

// indexCheckpoints keeps, per model, the upstreams that need not load it from the weight store.
func (p *Placer) indexCheckpoints(u *upstream, next map[entity.ModelID]string) {
	for id := range u.rec.Checkpoints {
		delete(p.model(id).local, u.id)
	}
	for id := range next {
		p.model(id).local[u.id] = u
	}
}

func (p *Placer) upstreamChanged(u *upstream) {
	if stays := u.stays(); stays != u.stayed {
		u.stayed = stays
		p.leaveVersion++
	}
	p.capacity++
	p.freed++
	p.touchUpstream(u.id)
	p.touchModelsOf(u)
}

func (p *Placer) touchModelsOf(u *upstream) {
	for i := range u.place.Entries {
		m := p.model(u.place.Entries[i].Model)
		p.bump(m)
		p.touchModel(m.id)
	}
}

// HandleRecord takes a record from the view. A nil pair means that the key is absent; records
// are never deleted, so an absent key never replaces a known one.
func (p *Placer) HandleRecord(key string, pair *kvstore.Pair, now time.Time) {
	if pair == nil {
		return
	}
	if id, ok := strings.CutPrefix(key, config.PlaceModels); ok {
		p.takeModel(entity.ModelID(id), pair, now)
		return
	}
	if id, ok := strings.CutPrefix(key, config.PlaceUpstreams); ok {
		u := p.upstream(entity.UpstreamID(id))
		u.viewRev = max(u.viewRev, pair.ModRevision)
		p.takeUpstream(u, pair, now)
	}
}

func (p *Placer) takeModel(id entity.ModelID, pair *kvstore.Pair, now time.Time) {
	m := p.model(id)
	if pair.ModRevision <= m.rev {
		return
	}
	var rec ModelRecord
	if json.Unmarshal(pair.Value, &rec) != nil {
		p.stats.BadRecords++
		return
	}
	p.setModel(m, rec, pair.ModRevision)
}

func (p *Placer) takeUpstream(u *upstream, pair *kvstore.Pair, now time.Time) {
	if pair.ModRevision <= u.rev {
		// The view has caught up with a record that came with a transaction, which may
		// complete the proof that a sender is gone.
		p.touchUpstream(u.id)
		return
	}
	var place UpstreamPlacement
	if json.Unmarshal(pair.Value, &place) != nil {
		p.stats.BadRecords++
		return
	}
	p.setPlacement(u, place, pair.ModRevision, now)
	if w := u.writing; w != nil && w.unknown {
		p.release(w)
	}
}

func (p *Placer) setModel(m *model, rec ModelRecord, rev int64) {
	if rev <= m.rev {
		return
	}
	m.rec = rec
	m.rev = rev
	p.bump(m)
	p.touchModel(m.id)
}

// setPlacement installs a newer record and updates the site-wide sums by the difference.
func (p *Placer) setPlacement(u *upstream, place UpstreamPlacement, rev int64, now time.Time) {
	if rev <= u.rev {
		return
	}
	known := make(map[string]bool, len(u.place.Entries))
	for i := range u.place.Entries {
		e := &u.place.Entries[i]
		if countsAtStore(e) {
			known[e.ID] = true
		}
		if next := place.find(e.Model, e.Adapter); e.Adapter == "" && e.State == StateLoading && next != nil && next.ID == e.ID && next.State == StateReady {
			p.noteLoadTime(e, now.Sub(u.since[e.ID+StateLoading]))
		}
		p.account(e, -1)
		p.touchModel(e.Model)
		p.bump(p.model(e.Model))
	}
	old := u.since
	u.since = make(map[string]time.Time, 2*len(place.Entries))
	clear(u.byModel)
	seen := make(map[string]bool)
	unsteady := false
	for i := range place.Entries {
		e := &place.Entries[i]
		p.account(e, 1)
		if countsAtStore(e) && !known[e.ID] && !p.starting[e.ID] {
			p.noteStoreLoad(now)
		}
		u.byModel[entryKey{e.Model, e.Adapter}] = i
		unsteady = unsteady || e.State != StateReady || len(e.Orders) > 0
		keepSince(old, u.since, e.ID+e.State, now)
		for _, o := range e.Orders {
			keepSince(old, u.since, o.ID, now)
			if u.seen[o.ID] || u.listedIDs[o.ID] {
				seen[o.ID] = true
			}
		}
		p.touchModel(e.Model)
		p.bump(p.model(e.Model))
	}
	if place.UsedBytes() < u.place.UsedBytes() {
		p.freed++
	}
	p.forgetOrders(&u.place, &place)
	u.unsteady = unsteady
	u.seen = seen
	u.place = place
	u.rev = rev
	p.countForeign(u)
	p.capacity++
	p.touchUpstream(u.id)
}

// forgetOrders drops the results of own orders that are no longer listed. Records only get
// newer, so such an order is never listed again.
func (p *Placer) forgetOrders(old, next *UpstreamPlacement) {
	for i := range old.Entries {
		e := &old.Entries[i]
		now := next.find(e.Model, e.Adapter)
		for j := range e.Orders {
			o := &e.Orders[j]
			if !p.owns(o) || (now != nil && slices.ContainsFunc(now.Orders, func(x SentOrder) bool { return x.ID == o.ID })) {
				continue
			}
			delete(p.results, o.ID)
			delete(p.sent, o.ID)
		}
	}
}

func keepSince(old, next map[string]time.Time, key string, now time.Time) {
	if t, ok := old[key]; ok {
		next[key] = t
		return
	}
	next[key] = now
}

// countsAtStore says whether the entry occupies the weight store.
func countsAtStore(e *Entry) bool {
	return e.State == StateLoading && e.Adapter == "" && e.Source == SourceRemote
}

func (p *Placer) account(e *Entry, sign int) {
	p.usedBytes += int64(sign) * e.Bytes
	if countsAtStore(e) {
		p.remoteLoading += sign
	}
	if e.State == StateLoading && e.Adapter != "" {
		p.adapterLoading += sign
	}
}

// noteStoreLoad spaces the starts of loads evenly, so that any second has at most the allowed number.
func (p *Placer) noteStoreLoad(now time.Time) {
	if p.site == nil || p.site.WeightStore.LoadsPerSecond <= 0 {
		return
	}
	gap := time.Duration(float64(time.Second) / p.site.WeightStore.LoadsPerSecond)
	if p.nextLoad.Before(now) {
		p.nextLoad = now
	}
	p.nextLoad = p.nextLoad.Add(gap)
}

// HandleReport takes an upstream's report, its own or relayed. Only the newest report counts.
func (p *Placer) HandleReport(r wire.UpstreamReport, receivedAt time.Time) {
	u := p.upstream(r.Upstream)
	stateTime := receivedAt.Add(-r.Age)
	if !u.isNewer(&r, stateTime) {
		return
	}
	if u.report != nil && u.report.Boot == r.Boot {
		// A delayed report of the same sequence number must not revoke the leaving state.
		r.Leaving = r.Leaving || u.report.Leaving
	}
	if u.report != nil && u.report.Boot != r.Boot {
		u.boots = slices.DeleteFunc(u.boots, func(b string) bool { return b == r.Boot })
		u.boots = append(u.boots, u.report.Boot)
		u.boots = u.boots[max(0, len(u.boots)-keptBoots):]
	}
	sameState := u.report != nil && u.report.Boot == r.Boot && u.report.Seq == r.Seq && u.report.Leaving == r.Leaving
	u.report = &r
	u.stateTime = stateTime
	if sameState {
		if u.unsteady {
			p.touchUpstream(u.id)
		}
		return
	}
	clear(u.listedIDs)
	for _, id := range r.AppliedOrders {
		u.listedIDs[id] = true
	}
	for i := range r.Entries {
		u.listedIDs[r.Entries[i].OrderID] = true
	}
	for i := range u.place.Entries {
		for _, o := range u.place.Entries[i].Orders {
			if u.listedIDs[o.ID] {
				u.seen[o.ID] = true
			}
		}
	}
	p.countForeign(u)
	if sum := reportDigest(&r); sum != u.digest {
		u.digest = sum
		p.upstreamChanged(u)
		return
	}
	if u.unsteady {
		p.touchUpstream(u.id)
	}
}

// reportDigest covers what placement depends on, so that a report that only differs in load causes no work.
func reportDigest(r *wire.UpstreamReport) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(r.Boot)
	if r.Leaving {
		_, _ = d.WriteString("/leaving")
	}
	for i := range r.Entries {
		e := &r.Entries[i]
		for _, s := range []string{"/", string(e.Model), ":", string(e.Adapter), ":", e.State} {
			_, _ = d.WriteString(s)
		}
	}
	return d.Sum64()
}

// isNewer orders reports by sequence within one boot. An unknown boot counts as newer when its
// state is. A replaced boot returns only after the current one was silent: a host that started
// after an engine restart can take a delayed report of the old boot for a newer one. Safety does
// not depend on this order, because each proof lies within one report.
func (u *upstream) isNewer(r *wire.UpstreamReport, stateTime time.Time) bool {
	if u.report == nil {
		return true
	}
	if u.report.Boot == r.Boot {
		return r.Seq > u.report.Seq || (r.Seq == u.report.Seq && stateTime.After(u.stateTime))
	}
	if slices.Contains(u.boots, r.Boot) {
		return stateTime.After(u.stateTime.Add(bootSilence))
	}
	return stateTime.After(u.stateTime)
}

// countForeign sums the reported entries that no record explains. Their memory is not used.
func (p *Placer) countForeign(u *upstream) {
	u.foreign = 0
	if u.report == nil {
		return
	}
	for i := range u.report.Entries {
		e := &u.report.Entries[i]
		if _, ok := u.byModel[entryKey{e.Model, e.Adapter}]; !ok {
			u.foreign += e.Bytes
		}
	}
}

func (u *upstream) reported(m entity.ModelID, a entity.AdapterID) *wire.ReportedEntry {
	if u.report == nil {
		return nil
	}
	for i := range u.report.Entries {
		e := &u.report.Entries[i]
		if e.Model == m && e.Adapter == a {
			return e
		}
	}
	return nil
}
