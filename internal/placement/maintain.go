package placement

import (
	"fmt"
	"slices"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/command"
	"github.com/foxtailpass/foxtailpass/internal/config"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

// outcomePending marks an own order whose result has not come back.
const outcomePending command.OrderOutcome = 255

// maintain advances the entries of one upstream after something about it changed.
func (p *Placer) maintain(u *upstream) {
	p.sendOwn(u)
	if u.writing != nil {
		p.readBack(u.writing)
		return
	}
	if len(u.place.Entries) == 0 {
		return
	}
	if p.now.Before(p.retryStore) {
		p.wakeUpstream(p.retryStore, u.id)
		return
	}
	if p.IsDecider() {
		p.advance(u)
		return
	}
	p.settleOwn(u)
}

// readBack asks for the records of a write whose outcome is still unknown.
func (p *Placer) readBack(w *write) {
	if !w.unknown || w.readBack != 0 {
		return
	}
	if p.now.Before(w.readAt) {
		p.wakeUpstream(w.readAt, w.up.id)
		return
	}
	p.nextID++
	w.readBack = p.nextID
	p.writes[w.readBack] = w
	txn := kvstore.Txn{Success: []kvstore.Op{{Kind: kvstore.OpGet, Key: config.PlaceUpstreams + string(w.up.id)}}}
	for _, m := range w.models {
		txn.Success = append(txn.Success, kvstore.Op{Kind: kvstore.OpGet, Key: config.PlaceModels + string(m.id)})
	}
	p.out = append(p.out, command.WriteRecords{ID: w.readBack, Txn: txn})
}

// sendOwn sends the listed orders of this incarnation that were not sent yet. An order that is
// no longer the newest of its entry is not needed and is marked as not sent.
func (p *Placer) sendOwn(u *upstream) {
	if !u.listed {
		return
	}
	for i := range u.place.Entries {
		e := &u.place.Entries[i]
		for j := range e.Orders {
			o := &e.Orders[j]
			if !p.owns(o) || p.sent[o.ID] || o.Done || o.Void {
				continue
			}
			p.sent[o.ID] = true
			if j != len(e.Orders)-1 {
				p.results[o.ID] = ownResult{upstream: u.id, outcome: command.OrderNotSent, at: p.now}
				continue
			}
			p.results[o.ID] = ownResult{upstream: u.id, outcome: outcomePending, at: p.now}
			p.stats.Orders++
			p.out = append(p.out, command.SendOrder{Upstream: u.id, Order: command.Order{
				OrderID: o.ID,
				Fence:   o.Fence,
				Action:  o.Action,
				Model:   e.Model,
				Adapter: e.Adapter,
				Bytes:   e.Bytes,
			}})
			p.wakeUpstream(p.now.Add(resendAfter), u.id)
		}
	}
}

func (p *Placer) owns(o *SentOrder) bool {
	return o.Host == p.opt.Self && o.Incarnation == p.opt.Incarnation
}

// settleOwn writes the results of own orders into the record when this host does not decide, so
// that the decider need not wait for proof that this process is gone.
func (p *Placer) settleOwn(u *upstream) {
	ed := p.edit(u)
	if ed == nil {
		return
	}
	for i := range ed.place.Entries {
		e := &ed.place.Entries[i]
		orders := slices.Clone(e.Orders)
		changed := false
		for j := range orders {
			changed = p.recordResult(u, &orders[j]) || changed
		}
		if changed {
			e.Orders = orders
			ed.changed = true
		}
	}
}

func (p *Placer) recordResult(u *upstream, o *SentOrder) bool {
	r, ok := p.results[o.ID]
	if !ok || !p.owns(o) || o.Done || o.Void {
		return false
	}
	if p.now.Before(r.at.Add(settleDelay)) {
		p.wakeUpstream(r.at.Add(settleDelay), u.id)
		return false
	}
	switch r.outcome {
	case command.OrderAccepted:
		o.Done = true
	case command.OrderRefused, command.OrderNotSent:
		o.Void = true
	}
	return o.Done || o.Void
}

// edit returns the changes collected for the upstream in this tick, or nil while a write is outstanding.
func (p *Placer) edit(u *upstream) *edit {
	if ed := p.edits[u.id]; ed != nil {
		return ed
	}
	if u.writing != nil || p.now.Before(p.retryStore) {
		return nil
	}
	ed := &edit{up: u, place: u.place.clone(), models: map[entity.ModelID]*ModelRecord{}}
	p.edits[u.id] = ed
	for i := range ed.place.Entries {
		p.model(ed.place.Entries[i].Model).editedAt = p.ticks
	}
	return ed
}

// editModel returns the model record for changing it in the same transaction, or nil when
// another transaction holds it.
func (p *Placer) editModel(ed *edit, m *model) *ModelRecord {
	if rec := ed.models[m.id]; rec != nil {
		return rec
	}
	if m.writing != nil || m.editing != nil || len(ed.models) >= maxTxnModels {
		p.wakeUpstream(p.now.Add(timerStep), ed.up.id)
		p.wakeModel(p.now.Add(timerStep), m.id)
		return nil
	}
	rec := m.rec
	rec.Replicas = slices.Clone(m.rec.Replicas)
	ed.models[m.id] = &rec
	m.editing = ed
	return &rec
}

// flush turns the collected edits into transactions.
func (p *Placer) flush() {
	for _, id := range sortedKeys(p.edits) {
		ed := p.edits[id]
		delete(p.edits, id)
		for mid := range ed.models {
			p.models[mid].editing = nil
		}
		if ed.changed {
			p.writeEdit(ed)
		}
	}
}

func (p *Placer) writeEdit(ed *edit) {
	u := ed.up
	p.nextID++
	w := &write{
		id:      p.nextID,
		attempt: fmt.Sprintf("%s-%s-%d", p.opt.Self, p.opt.Incarnation, p.nextID),
		up:      u,
		upBase:  u.rev,
		place:   ed.place,
	}
	w.place.Attempt = w.attempt
	w.place.MemoryBytes = u.rec.MemoryBytes
	w.starts = ed.starts(p)
	upKey := config.PlaceUpstreams + string(u.id)
	txn := kvstore.Txn{
		Compares: []kvstore.Compare{compareAt(upKey, u.rev)},
		Success:  []kvstore.Op{kvstore.Put(upKey, encode(&w.place))},
		Failure:  []kvstore.Op{{Kind: kvstore.OpGet, Key: upKey}},
	}
	for _, mid := range sortedKeys(ed.models) {
		m := p.models[mid]
		rec := *ed.models[mid]
		rec.Attempt = w.attempt
		key := config.PlaceModels + string(mid)
		txn.Compares = append(txn.Compares, compareAt(key, m.rev))
		txn.Success = append(txn.Success, kvstore.Put(key, encode(&rec)))
		txn.Failure = append(txn.Failure, kvstore.Op{Kind: kvstore.OpGet, Key: key})
		w.models = append(w.models, m)
		w.recs = append(w.recs, rec)
		m.writing = w
	}
	u.writing = w
	p.writes[w.id] = w
	p.stats.Writes++
	p.out = append(p.out, command.WriteRecords{ID: w.id, Txn: txn})
}

// starts lists the loads that the edit begins.
func (ed *edit) starts(p *Placer) starts {
	s := starts{store: ed.storeLoads, adapters: ed.adapterLoads}
	for i := range ed.place.Entries {
		if id := ed.place.Entries[i].ID; p.starting[id] {
			s.entries = append(s.entries, id)
		}
	}
	return s
}

func compareAt(key string, rev int64) kvstore.Compare {
	if rev == 0 {
		return kvstore.Absent(key)
	}
	return kvstore.Unchanged(key, rev)
}

// advance moves every entry of the upstream as far as the reports and proofs allow.
func (p *Placer) advance(u *upstream) {
	ed := p.edit(u)
	if ed == nil {
		return
	}
	// Adapters come first: a model's entry is freed only after those of its adapters.
	for _, adapters := range []bool{true, false} {
		for i := len(ed.place.Entries) - 1; i >= 0; i-- {
			if e := &ed.place.Entries[i]; (e.Adapter != "") == adapters {
				p.advanceEntry(ed, i)
			}
		}
	}
}

func (p *Placer) advanceEntry(ed *edit, i int) {
	u := ed.up
	e := &ed.place.Entries[i]
	if !u.listed {
		// The platform's list shows the upstream gone, and with it its memory.
		p.free(ed, i)
		return
	}
	r := u.reported(e.Model, e.Adapter)
	if e.State != StateReady && r == nil && p.provenAbsent(ed, e) {
		id, refused := e.Model, e.State == StateLoading
		if p.free(ed, i) && refused {
			u.refused[id] = p.now.Add(refusedBackoff)
		}
		return
	}
	switch e.State {
	case StateLoading:
		p.advanceLoading(ed, e, r)
	case StateReady:
		p.advanceReady(ed, e, r)
	case StateUnloading:
		p.advanceUnloading(ed, e, r)
	}
}

// provenAbsent says whether the newest report proves that the entry holds no memory and that no
// order of it can still arrive. The proof is causal: the same report lists an order of the entry
// and lacks the model; every other listed order is also listed there, was never sent, or is an
// earlier unload, which can only free memory. Orders known to have arrived, or whose sender is
// gone, are dropped from the entry only when a newer order is listed, so that the report that
// lists the newer order is newer than their arrival. A higher fencing number proves nothing here:
// an engine forgets it when it restarts and then accepts a late load order.
func (p *Placer) provenAbsent(ed *edit, e *Entry) bool {
	u := ed.up
	if e.Adapter == "" && ed.place.hasAdapters(e.Model) {
		return false
	}
	highest := int64(-1)
	voids := 0
	for j := range e.Orders {
		o := &e.Orders[j]
		if u.report != nil && u.listedIDs[o.ID] {
			highest = max(highest, o.Fence)
		}
		if p.void(o) {
			voids++
		}
	}
	if voids == len(e.Orders) && voids == e.Sends {
		return true
	}
	if highest < 0 {
		return false
	}
	for j := range e.Orders {
		o := &e.Orders[j]
		superseded := o.Fence < highest && (!o.loads() || u.rec.ChecksFence)
		if !u.listedIDs[o.ID] && !p.void(o) && !superseded {
			return false
		}
	}
	return true
}

// hasAdapters says whether the record has entries for adapters of the model.
func (u *UpstreamPlacement) hasAdapters(m entity.ModelID) bool {
	for i := range u.Entries {
		if u.Entries[i].Model == m && u.Entries[i].Adapter != "" {
			return true
		}
	}
	return false
}

// void says whether the order was certainly not carried out and never will be.
func (p *Placer) void(o *SentOrder) bool {
	r, ok := p.results[o.ID]
	return o.Void || (ok && (r.outcome == command.OrderRefused || r.outcome == command.OrderNotSent))
}

// settled says whether the order can no longer arrive, at this boot of the engine or a later one.
func (p *Placer) settled(u *upstream, e *Entry, o *SentOrder) bool {
	if o.Done || p.void(o) || u.seen[o.ID] || u.listedIDs[o.ID] || p.flightOver(u, o) {
		return true
	}
	if r, ok := p.results[o.ID]; ok && r.outcome == command.OrderAccepted {
		return true
	}
	return u.fencedOff(e, o)
}

// fencedOff says whether the engine refuses the order because it has applied one of the entry with
// a higher fencing number. Upstreams that lose their numbers at a restart are not declared as
// checking them, so a later boot refuses the order as well.
func (u *upstream) fencedOff(e *Entry, o *SentOrder) bool {
	if !u.rec.ChecksFence {
		return false
	}
	return slices.ContainsFunc(e.Orders, func(x SentOrder) bool { return x.Fence > o.Fence && u.listedIDs[x.ID] })
}

// flightOver says whether the process that listed the order is gone and its last bytes can be
// taken as processed. An engine may still apply an order that it received before the process died.
// Engines that check fences refuse it then; for the others the entry stays reserved for orderFlight
// after the proof.
func (p *Placer) flightOver(u *upstream, o *SentOrder) bool {
	if !p.senderGone(u, o) {
		return false
	}
	if u.rec.ChecksFence || p.gone[goneKey(o.Host, o.Incarnation)] {
		return true
	}
	since, known := p.replacedSince[o.Incarnation]
	if !known {
		since = p.now
		p.replacedSince[o.Incarnation] = since
	}
	over := since.Add(orderFlight)
	if p.now.Before(over) {
		p.wakeUpstream(over, u.id)
		return false
	}
	return true
}

// senderGone says whether the process that listed the order no longer exists: an operator
// confirmed it, or a newer incarnation is registered at its address. A newer incarnation of the same
// host at another address proves nothing: the lease of a paused process expires, and it can wake
// up and send. A record that is newer than the view is not judged.
func (p *Placer) senderGone(u *upstream, o *SentOrder) bool {
	if p.owns(o) {
		return false
	}
	if p.gone[goneKey(o.Host, o.Incarnation)] {
		return true
	}
	if u.viewRev < u.rev {
		return false
	}
	return o.Addr != "" && slices.ContainsFunc(p.liveAddr[o.Addr], func(inc entity.Incarnation) bool { return p.newer(inc, o.Incarnation) })
}

// newer says whether the registered incarnation began after the former one. The registration of a
// dead predecessor at an address lasts until its lease expires, so an incarnation in the same or
// an earlier list of hosts is no proof. A former one that this host never saw registered counts as
// older, because its lease, had it been granted later, would not have expired first.
func (p *Placer) newer(inc, former entity.Incarnation) bool {
	if inc == former {
		return false
	}
	first, ok := p.firstList[former]
	return !ok || p.firstList[inc] > first
}

func (p *Placer) senderLive(o *SentOrder) bool {
	h, ok := p.live[o.Host]
	return ok && h.Incarnation == o.Incarnation
}

func (p *Placer) unsettled(u *upstream, e *Entry) []SentOrder {
	var keep []SentOrder
	for j := range e.Orders {
		if !p.settled(u, e, &e.Orders[j]) {
			keep = append(keep, e.Orders[j])
		}
	}
	return keep
}

func (p *Placer) advanceLoading(ed *edit, e *Entry, r *wire.ReportedEntry) {
	u := ed.up
	if r != nil && r.State == StateReady && p.explains(u, e, r) {
		e.State = StateReady
		e.Boot = u.report.Boot
		e.Seq = u.report.Seq
		e.Orders = p.unsettled(u, e)
		ed.changed = true
		return
	}
	if r != nil && r.State == StateLoading {
		return
	}
	if p.needsProof(ed, e) || p.needsOrder(u, e) {
		p.order(ed, e)
	}
}

// needsProof says whether all orders of an absent entry have arrived or never will, but one of
// them perhaps after this report. The report that lists one more order settles the entry.
func (p *Placer) needsProof(ed *edit, e *Entry) bool {
	last := e.last()
	if last == nil || !ed.up.listedIDs[last.ID] || len(p.unsettled(ed.up, e)) > 0 {
		return false
	}
	return !p.provenAbsent(ed, e) && !(e.Adapter == "" && ed.place.hasAdapters(e.Model))
}

// explains says whether the reported entry is the result of the entry's orders. A load of a
// model that was already there keeps the former order ID, but the new order is listed as applied.
func (p *Placer) explains(u *upstream, e *Entry, r *wire.ReportedEntry) bool {
	if e.ownsOrderID(r.OrderID) {
		return true
	}
	return slices.ContainsFunc(e.Orders, func(o SentOrder) bool { return u.listedIDs[o.ID] })
}

// advanceReady loads an entry again that the engine no longer has, for example after its restart.
// The entry stays reserved, because the report may be older than the record.
func (p *Placer) advanceReady(ed *edit, e *Entry, r *wire.ReportedEntry) {
	u := ed.up
	if r == nil && p.lost(u, e) {
		if e.Adapter != "" && u.place.find(e.Model, "") == nil {
			e.State = StateUnloading
		} else {
			e.State = StateLoading
			e.Source = u.source(e.Model)
		}
		p.order(ed, e)
		return
	}
	if len(e.Orders) == 0 {
		return
	}
	if keep := p.unsettled(u, e); len(keep) != len(e.Orders) {
		e.Orders = keep
		ed.changed = true
	}
}

// lost says whether a report newer than the one that showed the entry ready lacks it.
func (p *Placer) lost(u *upstream, e *Entry) bool {
	if u.report == nil {
		return false
	}
	if u.report.Boot == e.Boot {
		return u.report.Seq > e.Seq
	}
	since, ok := u.since[e.ID+StateReady]
	if !ok {
		return false
	}
	if slices.Contains(u.boots, e.Boot) {
		return true
	}
	// This host has not seen the boot in the record: give its own reports time to catch up.
	if u.stateTime.After(since.Add(time.Second)) {
		return true
	}
	p.wakeUpstream(p.now.Add(time.Second), u.id)
	return false
}

func (p *Placer) advanceUnloading(ed *edit, e *Entry, r *wire.ReportedEntry) {
	u := ed.up
	if !e.unloadOrdered() {
		if p.drained(u, e) {
			p.order(ed, e)
		}
		return
	}
	if r != nil && r.State == StateUnloading {
		return
	}
	last := e.last()
	listed := u.listedIDs[last.ID]
	if listed && r != nil {
		// A late load order took effect after the unload.
		p.order(ed, e)
		return
	}
	if p.needsProof(ed, e) || (!listed && p.needsOrder(u, e)) {
		p.order(ed, e)
	}
}

// drained says whether a report made after every host learned of the draining shows no running request.
func (p *Placer) drained(u *upstream, e *Entry) bool {
	since := u.since[e.ID+StateUnloading]
	if since.IsZero() {
		return false
	}
	if p.now.Before(since.Add(drainGrace)) {
		p.wakeUpstream(since.Add(drainGrace), u.id)
		return false
	}
	if u.report == nil || u.stateTime.Before(since) {
		p.wakeUpstream(p.now.Add(drainGrace), u.id)
		return false
	}
	for i := range u.report.Entries {
		r := &u.report.Entries[i]
		if r.Model == e.Model && (e.Adapter == "" || r.Adapter == e.Adapter) && r.Running > 0 {
			return false
		}
	}
	return true
}

// needsOrder says whether the newest order of an entry must be followed by another one. A new
// order is always harmless: it repeats the state that the entry already reserves.
func (p *Placer) needsOrder(u *upstream, e *Entry) bool {
	last := e.last()
	if last == nil {
		return true
	}
	if len(p.unsettled(u, e)) >= maxOrders {
		return false
	}
	if !p.owns(last) && !p.senderLive(last) {
		p.stats.Takeovers++
		return true
	}
	wait := resendAfter
	if p.void(last) {
		wait = drainGrace
	}
	// Later orders follow more slowly, so that an engine that refuses or ignores them costs few writes.
	due := u.since[last.ID].Add(wait * time.Duration(min(e.Sends, maxWaits)))
	if p.now.Before(due) {
		p.wakeUpstream(due, u.id)
		return false
	}
	return true
}

// order lists a new order of this host. It is sent when the record is confirmed.
func (p *Placer) order(ed *edit, e *Entry) {
	p.newOrder(ed, e, 0)
	p.wakeUpstream(p.now.Add(resendAfter), ed.up.id)
}

func (p *Placer) newOrder(ed *edit, e *Entry, minFence int64) *SentOrder {
	ed.changed = true
	return ed.place.appendOrder(e, p.unsettled(ed.up, e), p.self, minFence)
}

// free removes an entry, and the replica from the model's record when it is not an adapter's.
func (p *Placer) free(ed *edit, i int) bool {
	e := ed.place.Entries[i]
	if e.Adapter == "" {
		m := p.model(e.Model)
		rec := p.editModel(ed, m)
		if rec == nil {
			return false
		}
		rec.Replicas = slices.DeleteFunc(rec.Replicas, func(id entity.UpstreamID) bool { return id == ed.up.id })
		rec.Decided = max(p.target(m), len(rec.Replicas))
	}
	ed.place.Entries = slices.Delete(ed.place.Entries, i, i+1)
	ed.changed = true
	return true
}
