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
