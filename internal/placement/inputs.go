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

// HandleSite activates a configuration.
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
		p.bumpVersion(m)
	}
	p.markAllDirty()
}

// HandleHosts replaces the list of registered hosts. canDecide reports whether a host can be the decider: it should
// return false for hosts that this host cannot reach and for hosts that cannot reach the key-value service. The list
// must come from a view at least as new as the records given to HandleRecord before the next Tick.
func (p *Placer) HandleHosts(live []config.HostRecord, canDecide func(entity.HostID) bool, now time.Time) {
	changed := len(live) != len(p.live)
	next := make(map[entity.HostID]config.HostRecord, len(live))
	clear(p.incarnationsByAddr)
	p.registered = false
	p.hostListCount++
	for _, h := range live {
		if old, ok := p.live[h.ID]; !ok || old.Incarnation != h.Incarnation || old.PeerAddr != h.PeerAddr {
			changed = true
		}
		next[h.ID] = h
		if h.PeerAddr != "" {
			p.incarnationsByAddr[h.PeerAddr] = append(p.incarnationsByAddr[h.PeerAddr], h.Incarnation)
		}
		if _, ok := p.firstListed[h.Incarnation]; !ok {
			p.firstListed[h.Incarnation] = p.hostListCount
		}
		if h.ID == p.opt.Self && h.Incarnation == p.opt.Incarnation {
			p.self = h
			p.registered = true
		}
	}
	p.live = next
	former := p.decider
	p.decider = chooseDecider(live, canDecide, p.opt.Self)
	if former != p.decider && p.decider == p.opt.Self {
		p.deciderSince = now
	}
	if changed || former != p.decider {
		p.markAllDirty()
	}
}

// chooseDecider chooses one host for the whole site by rendezvous hashing. With a single decider, the loads
// of all models are started in one common order.
func chooseDecider(live []config.HostRecord, canDecide func(entity.HostID) bool, self entity.HostID) entity.HostID {
	var best entity.HostID
	var bestScore uint64
	for _, h := range live {
		if h.State == "stopping" {
			continue
		}
		if canDecide != nil && !canDecide(h.ID) {
			continue
		}
		score := xxhash.Sum64String("placement/" + string(h.ID))
		if best == "" || score > bestScore || (score == bestScore && h.ID < best) {
			best, bestScore = h.ID, score
		}
	}
	return best
}

// incarnationKey returns the key of a process in Placer.confirmedEnded.
func incarnationKey(h entity.HostID, i entity.Incarnation) string { return string(h) + "/" + string(i) }

// ConfirmProcessEnded records an operator's confirmation that a process has ended.
func (p *Placer) ConfirmProcessEnded(host entity.HostID, inc entity.Incarnation, now time.Time) {
	p.confirmedEnded[incarnationKey(host, inc)] = true
	p.markAllDirty()
}

// HandleUpstreams applies changes of the platform's list of upstreams.
func (p *Placer) HandleUpstreams(changed []config.UpstreamRecord, removed []entity.UpstreamID, now time.Time) {
	for _, r := range changed {
		u := p.upstream(r.ID)
		if u.inPlatformList {
			p.totalBytes -= u.rec.MemoryBytes
		}
		p.indexCheckpoints(u, r.Checkpoints)
		u.rec = r
		u.inPlatformList = true
		p.totalBytes += r.MemoryBytes
		p.upstreamChanged(u)
	}
	for _, id := range removed {
		u := p.upstreams[id]
		if u == nil || !u.inPlatformList {
			continue
		}
		p.totalBytes -= u.rec.MemoryBytes
		u.inPlatformList = false
		u.report = nil
		u.foreignBytes = 0
		clear(u.reportedOrders)
		p.upstreamChanged(u)
	}
}

// indexCheckpoints replaces the upstream's cached checkpoints in the index that lists, for each model, the upstreams
// that need not load it from the weight store.
func (p *Placer) indexCheckpoints(u *upstream, next map[entity.ModelID]string) {
	for id := range u.rec.Checkpoints {
		delete(p.model(id).cachedUpstreams, u.id)
	}
	for id := range next {
		p.model(id).cachedUpstreams[u.id] = u
	}
}

// upstreamChanged marks an upstream and its models for the next tick, after a change of the upstream's record
// or of a part of its report that placement depends on.
func (p *Placer) upstreamChanged(u *upstream) {
	if available := u.available(); available != u.wasAvailable {
		u.wasAvailable = available
		p.availabilityVersion++
	}
	p.capacityVersion++
	p.freedVersion++
	p.markUpstreamDirty(u.id)
	p.markModelsDirty(u)
}

// markModelsDirty marks the models that have an entry on the upstream.
func (p *Placer) markModelsDirty(u *upstream) {
	for i := range u.placement.Entries {
		m := p.model(u.placement.Entries[i].Model)
		p.bumpVersion(m)
		p.markModelDirty(m.id)
	}
}

// HandleRecord applies a record from the view. A nil pair means that the key is absent; it never replaces a
// known record, because records are never deleted.
func (p *Placer) HandleRecord(key string, pair *kvstore.Pair, now time.Time) {
	if pair == nil {
		return
	}
	if id, ok := strings.CutPrefix(key, config.PlacementModelsPrefix); ok {
		p.applyModelRecord(entity.ModelID(id), pair, now)
		return
	}
	if id, ok := strings.CutPrefix(key, config.PlacementUpstreamsPrefix); ok {
		u := p.upstream(entity.UpstreamID(id))
		u.viewRev = max(u.viewRev, pair.ModRevision)
		p.applyUpstreamRecord(u, pair, now)
	}
}

// applyModelRecord decodes and applies a model record unless a newer one is known.
func (p *Placer) applyModelRecord(id entity.ModelID, pair *kvstore.Pair, now time.Time) {
	m := p.model(id)
	if pair.ModRevision <= m.rev {
		return
	}
	var rec ModelRecord
	if json.Unmarshal(pair.Value, &rec) != nil {
		p.stats.BadRecords++
		return
	}
	p.setModelRecord(m, rec, pair.ModRevision)
}

// applyUpstreamRecord decodes and applies the placement of an upstream unless a newer one is known.
func (p *Placer) applyUpstreamRecord(u *upstream, pair *kvstore.Pair, now time.Time) {
	if pair.ModRevision <= u.rev {
		// The record was known from the result of a transaction and has now reached the view too. This may
		// complete the proof that the sender of an order has ended (senderEnded).
		p.markUpstreamDirty(u.id)
		return
	}
	var placement UpstreamPlacement
	if json.Unmarshal(pair.Value, &placement) != nil {
		p.stats.BadRecords++
		return
	}
	p.setPlacement(u, placement, pair.ModRevision, now)
	if w := u.writing; w != nil && w.unknown {
		p.endWrite(w)
	}
}

// setModelRecord installs a newer model record.
func (p *Placer) setModelRecord(m *model, rec ModelRecord, rev int64) {
	if rev <= m.rev {
		return
	}
	m.rec = rec
	m.rev = rev
	p.bumpVersion(m)
	p.markModelDirty(m.id)
}

// setPlacement installs a newer placement and updates the site-wide totals by the difference.
func (p *Placer) setPlacement(u *upstream, placement UpstreamPlacement, rev int64, now time.Time) {
	if rev <= u.rev {
		return
	}
	known := make(map[string]bool, len(u.placement.Entries))
	for i := range u.placement.Entries {
		e := &u.placement.Entries[i]
		if usesWeightStore(e) {
			known[e.ID] = true
		}
		if next := placement.find(e.Model, e.Adapter); e.Adapter == "" && e.State == StateLoading && next != nil && next.ID == e.ID && next.State == StateReady {
			p.recordLoadTime(e, now.Sub(u.firstObserved[e.ID+StateLoading]))
		}
		p.addToTotals(e, -1)
		p.markModelDirty(e.Model)
		p.bumpVersion(p.model(e.Model))
	}
	old := u.firstObserved
	u.firstObserved = make(map[string]time.Time, 2*len(placement.Entries))
	clear(u.entryIndex)
	everReported := make(map[string]bool)
	inTransition := false
	for i := range placement.Entries {
		e := &placement.Entries[i]
		p.addToTotals(e, 1)
		if usesWeightStore(e) && !known[e.ID] && !p.unconfirmedLoads[e.ID] {
			p.recordStoreLoad(now)
		}
		u.entryIndex[entryKey{e.Model, e.Adapter}] = i
		inTransition = inTransition || e.State != StateReady || len(e.Orders) > 0
		carryTime(old, u.firstObserved, e.ID+e.State, now)
		for _, o := range e.Orders {
			carryTime(old, u.firstObserved, o.ID, now)
			if u.everReported[o.ID] || u.reportedOrders[o.ID] {
				everReported[o.ID] = true
			}
		}
		p.markModelDirty(e.Model)
		p.bumpVersion(p.model(e.Model))
	}
	if placement.UsedBytes() < u.placement.UsedBytes() {
		p.freedVersion++
	}
	p.forgetResults(&u.placement, &placement)
	u.inTransition = inTransition
	u.everReported = everReported
	u.placement = placement
	u.rev = rev
	p.updateForeignBytes(u)
	p.capacityVersion++
	p.markUpstreamDirty(u.id)
}

// forgetResults drops the results of this process's orders that are no longer recorded. An older record never
// replaces a newer one, so such an order is never recorded again.
func (p *Placer) forgetResults(old, next *UpstreamPlacement) {
	for i := range old.Entries {
		e := &old.Entries[i]
		now := next.find(e.Model, e.Adapter)
		for j := range e.Orders {
			o := &e.Orders[j]
			if !p.isOwnOrder(o) || (now != nil && slices.ContainsFunc(now.Orders, func(x RecordedOrder) bool { return x.ID == o.ID })) {
				continue
			}
			delete(p.orderResults, o.ID)
			delete(p.sentOrders, o.ID)
		}
	}
}

// carryTime copies the time of the key from old to next, or sets it to now if the key is new.
func carryTime(old, next map[string]time.Time, key string, now time.Time) {
	if t, ok := old[key]; ok {
		next[key] = t
		return
	}
	next[key] = now
}

// usesWeightStore reports whether the entry is being loaded from the weight store.
func usesWeightStore(e *Entry) bool {
	return e.State == StateLoading && e.Adapter == "" && e.Source == SourceRemote
}

// addToTotals adds the entry to the site-wide totals, or subtracts it when sign is -1.
func (p *Placer) addToTotals(e *Entry, sign int) {
	p.usedBytes += int64(sign) * e.Bytes
	if usesWeightStore(e) {
		p.remoteLoading += sign
	}
	if e.State == StateLoading && e.Adapter != "" {
		p.adapterLoading += sign
	}
}

// recordStoreLoad moves nextStoreLoad forward by the interval between two loads. The starts of loads are spaced
// evenly, because no second may have more than the allowed number.
func (p *Placer) recordStoreLoad(now time.Time) {
	if p.site == nil || p.site.WeightStore.LoadsPerSecond <= 0 {
		return
	}
	gap := time.Duration(float64(time.Second) / p.site.WeightStore.LoadsPerSecond)
	if p.nextStoreLoad.Before(now) {
		p.nextStoreLoad = now
	}
	p.nextStoreLoad = p.nextStoreLoad.Add(gap)
}

// HandleReport applies an upstream's report, received from the upstream itself or relayed by another host.
// Reports older than the known one are ignored.
func (p *Placer) HandleReport(r wire.UpstreamReport, receivedAt time.Time) {
	u := p.upstream(r.Upstream)
	stateTime := receivedAt.Add(-r.Age)
	if !u.isNewer(&r, stateTime) {
		return
	}
	if u.report != nil && u.report.Boot == r.Boot {
		// Within one boot, a report must not revoke the leaving state: the report may be a delayed one with the
		// same sequence number.
		r.Leaving = r.Leaving || u.report.Leaving
	}
	if u.report != nil && u.report.Boot != r.Boot {
		u.formerBoots = slices.DeleteFunc(u.formerBoots, func(b string) bool { return b == r.Boot })
		u.formerBoots = append(u.formerBoots, u.report.Boot)
		u.formerBoots = u.formerBoots[max(0, len(u.formerBoots)-maxFormerBoots):]
	}
	sameState := u.report != nil && u.report.Boot == r.Boot && u.report.Seq == r.Seq && u.report.Leaving == r.Leaving
	u.report = &r
	u.stateTime = stateTime
	if sameState {
		if u.inTransition {
			p.markUpstreamDirty(u.id)
		}
		return
	}
	clear(u.reportedOrders)
	for _, id := range r.AppliedOrders {
		u.reportedOrders[id] = true
	}
	for i := range r.Entries {
		u.reportedOrders[r.Entries[i].OrderID] = true
	}
	for i := range u.placement.Entries {
		for _, o := range u.placement.Entries[i].Orders {
			if u.reportedOrders[o.ID] {
				u.everReported[o.ID] = true
			}
		}
	}
	p.updateForeignBytes(u)
	if sum := reportDigest(&r); sum != u.digest {
		u.digest = sum
		p.upstreamChanged(u)
		return
	}
	if u.inTransition {
		p.markUpstreamDirty(u.id)
	}
}

// reportDigest returns a hash of the parts of a report that placement depends on. A report that differs only
// in the number of requests keeps its digest and causes no work.
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

// isNewer reports whether the report replaces the known one. A boot is one run of the engine's process. Within one
// boot, the sequence number decides. A report of an unknown boot is newer when its state time is later. A report of a
// former boot is accepted again only when the current boot has sent nothing for bootSilence: a host that started
// after an engine restart can mistake a delayed report of the old boot for a newer one. Safety does not depend on
// this order, because each proof uses a single report.
func (u *upstream) isNewer(r *wire.UpstreamReport, stateTime time.Time) bool {
	if u.report == nil {
		return true
	}
	if u.report.Boot == r.Boot {
		return r.Seq > u.report.Seq || (r.Seq == u.report.Seq && stateTime.After(u.stateTime))
	}
	if slices.Contains(u.formerBoots, r.Boot) {
		return stateTime.After(u.stateTime.Add(bootSilence))
	}
	return stateTime.After(u.stateTime)
}

// updateForeignBytes sums the memory of the reported entries that are in no record. This memory is not available to
// placement.
func (p *Placer) updateForeignBytes(u *upstream) {
	u.foreignBytes = 0
	if u.report == nil {
		return
	}
	for i := range u.report.Entries {
		e := &u.report.Entries[i]
		if _, ok := u.entryIndex[entryKey{e.Model, e.Adapter}]; !ok {
			u.foreignBytes += e.Bytes
		}
	}
}

// reportedEntry returns the entry for the model or adapter in the newest report, or nil.
func (u *upstream) reportedEntry(m entity.ModelID, a entity.AdapterID) *wire.ReportedEntry {
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
