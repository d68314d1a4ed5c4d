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

// outcomePending is the outcome of an order of this process whose result has not been received.
const outcomePending command.OrderOutcome = 255

// maintainUpstream sends the orders of this process for the upstream and updates the upstream's entries. It
// is called after a change of the upstream, its record or its report, and at scheduled times.
func (p *Placer) maintainUpstream(u *upstream) {
	p.sendOwnOrders(u)
	if u.writing != nil {
		p.readBack(u.writing)
		return
	}
	if len(u.placement.Entries) == 0 {
		return
	}
	if p.now.Before(p.kvRetryAt) {
		p.wakeUpstream(p.kvRetryAt, u.id)
		return
	}
	if p.IsDecider() {
		p.advance(u)
		return
	}
	p.recordOwnResults(u)
}

// readBack reads the records of a write whose outcome is still unknown.
func (p *Placer) readBack(w *write) {
	if !w.unknown || w.readBack != 0 {
		return
	}
	if p.now.Before(w.readBackAt) {
		p.wakeUpstream(w.readBackAt, w.up.id)
		return
	}
	p.nextID++
	w.readBack = p.nextID
	p.writes[w.readBack] = w
	txn := kvstore.Txn{Success: []kvstore.Op{{Kind: kvstore.OpGet, Key: config.PlacementUpstreamsPrefix + string(w.up.id)}}}
	for _, m := range w.models {
		txn.Success = append(txn.Success, kvstore.Op{Kind: kvstore.OpGet, Key: config.PlacementModelsPrefix + string(m.id)})
	}
	p.commands = append(p.commands, command.WriteRecords{ID: w.readBack, Txn: txn})
}

// sendOwnOrders sends the recorded orders of this process that it has not sent yet. An order that is no
// longer the newest of its entry is not needed; it is marked as not sent.
func (p *Placer) sendOwnOrders(u *upstream) {
	if !u.inPlatformList {
		return
	}
	for i := range u.placement.Entries {
		e := &u.placement.Entries[i]
		for j := range e.Orders {
			o := &e.Orders[j]
			if !p.isOwnOrder(o) || p.sentOrders[o.ID] || o.Done || o.Void {
				continue
			}
			p.sentOrders[o.ID] = true
			if j != len(e.Orders)-1 {
				p.orderResults[o.ID] = orderResult{upstream: u.id, outcome: command.OrderNotSent, at: p.now}
				continue
			}
			p.orderResults[o.ID] = orderResult{upstream: u.id, outcome: outcomePending, at: p.now}
			p.stats.Orders++
			p.commands = append(p.commands, command.SendOrder{Upstream: u.id, Order: command.Order{
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

// isOwnOrder reports whether this process recorded the order.
func (p *Placer) isOwnOrder(o *RecordedOrder) bool {
	return o.Host == p.opt.Self && o.Incarnation == p.opt.Incarnation
}

// recordOwnResults writes the results of this process's orders into the record when this host is not the
// decider. Without them the decider would have to wait for proof that this process no longer exists.
func (p *Placer) recordOwnResults(u *upstream) {
	ed := p.edit(u)
	if ed == nil {
		return
	}
	for i := range ed.placement.Entries {
		e := &ed.placement.Entries[i]
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

// recordResult sets Done or Void of an order of this process from its result and reports whether it did.
func (p *Placer) recordResult(u *upstream, o *RecordedOrder) bool {
	r, ok := p.orderResults[o.ID]
	if !ok || !p.isOwnOrder(o) || o.Done || o.Void {
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

// edit returns the changes collected for the upstream in this tick. It returns nil while a write to the
// upstream's record is outstanding or the key-value service is not to be called yet.
func (p *Placer) edit(u *upstream) *edit {
	if ed := p.edits[u.id]; ed != nil {
		return ed
	}
	if u.writing != nil || p.now.Before(p.kvRetryAt) {
		return nil
	}
	ed := &edit{up: u, placement: u.placement.clone(), models: map[entity.ModelID]*ModelRecord{}}
	p.edits[u.id] = ed
	for i := range ed.placement.Entries {
		p.model(ed.placement.Entries[i].Model).editedTick = p.ticks
	}
	return ed
}

// editModel returns a copy of the model record to change in the same transaction. It returns nil, and
// schedules a retry, when another transaction is changing the record or this one has too many models.
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

// flush writes the collected edits as transactions, one per upstream.
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

// writeEdit issues the transaction of one edit. The transaction fails if one of its records has changed.
func (p *Placer) writeEdit(ed *edit) {
	u := ed.up
	p.nextID++
	w := &write{
		id:        p.nextID,
		attempt:   fmt.Sprintf("%s-%s-%d", p.opt.Self, p.opt.Incarnation, p.nextID),
		up:        u,
		baseRev:   u.rev,
		placement: ed.placement,
	}
	w.placement.Attempt = w.attempt
	w.placement.MemoryBytes = u.rec.MemoryBytes
	w.loadStarts = ed.loadStarts(p)
	upKey := config.PlacementUpstreamsPrefix + string(u.id)
	txn := kvstore.Txn{
		Compares: []kvstore.Compare{compareAt(upKey, u.rev)},
		Success:  []kvstore.Op{kvstore.Put(upKey, encode(&w.placement))},
		Failure:  []kvstore.Op{{Kind: kvstore.OpGet, Key: upKey}},
	}
	for _, mid := range sortedKeys(ed.models) {
		m := p.models[mid]
		rec := *ed.models[mid]
		rec.Attempt = w.attempt
		key := config.PlacementModelsPrefix + string(mid)
		txn.Compares = append(txn.Compares, compareAt(key, m.rev))
		txn.Success = append(txn.Success, kvstore.Put(key, encode(&rec)))
		txn.Failure = append(txn.Failure, kvstore.Op{Kind: kvstore.OpGet, Key: key})
		w.models = append(w.models, m)
		w.modelRecs = append(w.modelRecs, rec)
		m.writing = w
	}
	u.writing = w
	p.writes[w.id] = w
	p.stats.Writes++
	p.commands = append(p.commands, command.WriteRecords{ID: w.id, Txn: txn})
}

// loadStarts returns the loads that the edit starts.
func (ed *edit) loadStarts(p *Placer) loadStarts {
	s := loadStarts{store: ed.storeLoads, adapters: ed.adapterLoads}
	for i := range ed.placement.Entries {
		if id := ed.placement.Entries[i].ID; p.unconfirmedLoads[id] {
			s.entries = append(s.entries, id)
		}
	}
	return s
}

// compareAt returns the condition that the key has the revision, or is absent when the revision is 0.
func compareAt(key string, rev int64) kvstore.Compare {
	if rev == 0 {
		return kvstore.Absent(key)
	}
	return kvstore.Unchanged(key, rev)
}

// advance updates the state of every entry of the upstream as far as the reports and proofs allow.
func (p *Placer) advance(u *upstream) {
	ed := p.edit(u)
	if ed == nil {
		return
	}
	// Adapters come first, because a model's entry is freed only after the entries of its adapters.
	for _, adapters := range []bool{true, false} {
		for i := len(ed.placement.Entries) - 1; i >= 0; i-- {
			if e := &ed.placement.Entries[i]; (e.Adapter != "") == adapters {
				p.advanceEntry(ed, i)
			}
		}
	}
}

// advanceEntry frees the entry, changes its state or adds an order to it.
func (p *Placer) advanceEntry(ed *edit, i int) {
	u := ed.up
	e := &ed.placement.Entries[i]
	if !u.inPlatformList {
		// The upstream was removed from the platform's list, so its memory no longer exists.
		p.freeEntry(ed, i)
		return
	}
	r := u.reportedEntry(e.Model, e.Adapter)
	if e.State != StateReady && r == nil && p.provenAbsent(ed, e) {
		id, refused := e.Model, e.State == StateLoading
		if p.freeEntry(ed, i) && refused {
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

// advanceLoading marks the entry as ready when the report shows the result of its orders, or adds another
// load order.
func (p *Placer) advanceLoading(ed *edit, e *Entry, r *wire.ReportedEntry) {
	u := ed.up
	if r != nil && r.State == StateReady && p.explainedByOrders(u, e, r) {
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
		p.addOrder(ed, e)
	}
}

// advanceReady loads the model or adapter again when the engine no longer has it, for example after an engine
// restart. The entry stays reserved, because the report may be older than the record.
func (p *Placer) advanceReady(ed *edit, e *Entry, r *wire.ReportedEntry) {
	u := ed.up
	if r == nil && p.isLost(u, e) {
		if e.Adapter != "" && u.placement.find(e.Model, "") == nil {
			e.State = StateUnloading
		} else {
			e.State = StateLoading
			e.Source = u.source(e.Model)
		}
		p.addOrder(ed, e)
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

// advanceUnloading adds the unload order once the replica is drained, and another one when the first has no
// effect.
func (p *Placer) advanceUnloading(ed *edit, e *Entry, r *wire.ReportedEntry) {
	u := ed.up
	if !e.unloadOrdered() {
		if p.isDrained(u, e) {
			p.addOrder(ed, e)
		}
		return
	}
	if r != nil && r.State == StateUnloading {
		return
	}
	last := e.last()
	reported := u.reportedOrders[last.ID]
	if reported && r != nil {
		// A delayed load order took effect after the unload.
		p.addOrder(ed, e)
		return
	}
	if p.needsProof(ed, e) || (!reported && p.needsOrder(u, e)) {
		p.addOrder(ed, e)
	}
}

// needsOrder reports whether the newest order of an entry must be followed by another one. Another order is
// always safe: it requests the state for which the entry already reserves memory.
func (p *Placer) needsOrder(u *upstream, e *Entry) bool {
	last := e.last()
	if last == nil {
		return true
	}
	if len(p.unsettled(u, e)) >= maxOrders {
		return false
	}
	if !p.isOwnOrder(last) && !p.senderRegistered(last) {
		p.stats.Takeovers++
		return true
	}
	wait := resendAfter
	if p.isVoid(last) {
		wait = drainGrace
	}
	// The wait grows with each order, so that an engine that refuses or ignores orders causes few writes.
	due := u.firstObserved[last.ID].Add(wait * time.Duration(min(e.OrderCount, maxWaitFactor)))
	if p.now.Before(due) {
		p.wakeUpstream(due, u.id)
		return false
	}
	return true
}

// addOrder records a new order of this process in the entry. The order is sent when the write is confirmed.
func (p *Placer) addOrder(ed *edit, e *Entry) {
	p.newOrder(ed, e, 0)
	p.wakeUpstream(p.now.Add(resendAfter), ed.up.id)
}

// newOrder appends an order for the entry's state and keeps the earlier orders that may still arrive.
func (p *Placer) newOrder(ed *edit, e *Entry, minFence int64) *RecordedOrder {
	ed.changed = true
	return ed.placement.appendOrder(e, p.unsettled(ed.up, e), p.self, minFence)
}

// freeEntry removes an entry and, unless the entry is an adapter's, the replica from the model's record. It
// reports whether the records could be edited.
func (p *Placer) freeEntry(ed *edit, i int) bool {
	e := ed.placement.Entries[i]
	if e.Adapter == "" {
		m := p.model(e.Model)
		rec := p.editModel(ed, m)
		if rec == nil {
			return false
		}
		rec.Replicas = slices.DeleteFunc(rec.Replicas, func(id entity.UpstreamID) bool { return id == ed.up.id })
		rec.Decided = max(p.decidedReplicas(m), len(rec.Replicas))
	}
	ed.placement.Entries = slices.Delete(ed.placement.Entries, i, i+1)
	ed.changed = true
	return true
}
