package placement

import (
	"slices"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/command"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

// provenAbsent reports whether the newest report proves that the entry occupies no memory and that none of
// its orders can still arrive. The proof uses a single report: it contains an order of the entry and does not
// contain the model or adapter, as the caller has checked. Each other recorded order must also be in that
// report, must be void, or must be superseded by a reported order with a higher fencing token. An unload
// order can be superseded because a late unload order only frees memory. A load order can be superseded only if the
// engine checks fencing tokens: an engine that forgets its tokens when it restarts accepts a late load order
// afterwards.
//
// Orders that are known to have arrived, or whose sender has ended, are removed from the entry only when a newer
// order is recorded. The report that contains the newer order is therefore newer than the arrival of those orders.
//
// The entry is also absent when all orders that were ever recorded for it are void.
func (p *Placer) provenAbsent(ed *edit, e *Entry) bool {
	u := ed.up
	if e.Adapter == "" && ed.placement.hasAdapters(e.Model) {
		return false
	}
	highest := int64(-1)
	voids := 0
	for j := range e.Orders {
		o := &e.Orders[j]
		if u.report != nil && u.reportedOrders[o.ID] {
			highest = max(highest, o.Fence)
		}
		if p.isVoid(o) {
			voids++
		}
	}
	if voids == len(e.Orders) && voids == e.OrderCount {
		return true
	}
	if highest < 0 {
		return false
	}
	for j := range e.Orders {
		o := &e.Orders[j]
		superseded := o.Fence < highest && (!o.loads() || u.rec.ChecksFence)
		if !u.reportedOrders[o.ID] && !p.isVoid(o) && !superseded {
			return false
		}
	}
	return true
}

// hasAdapters reports whether the placement has entries for adapters of the model.
func (u *UpstreamPlacement) hasAdapters(m entity.ModelID) bool {
	for i := range u.Entries {
		if u.Entries[i].Model == m && u.Entries[i].Adapter != "" {
			return true
		}
	}
	return false
}

// isVoid reports whether it is certain that the order was not executed and never will be.
func (p *Placer) isVoid(o *RecordedOrder) bool {
	r, ok := p.orderResults[o.ID]
	return o.Void || (ok && (r.outcome == command.OrderRefused || r.outcome == command.OrderNotSent))
}

// isSettled reports whether the order can no longer arrive, at this boot of the engine or at a later one.
func (p *Placer) isSettled(u *upstream, e *Entry, o *RecordedOrder) bool {
	if o.Done || p.isVoid(o) || u.everReported[o.ID] || u.reportedOrders[o.ID] || p.flightEnded(u, o) {
		return true
	}
	if r, ok := p.orderResults[o.ID]; ok && r.outcome == command.OrderAccepted {
		return true
	}
	return u.isFencedOff(e, o)
}

// isFencedOff reports whether the engine refuses the order because it has applied an order of the entry with
// a higher fencing token. Engines that lose their fencing tokens at a restart are not declared as checking
// them, so a later boot refuses the order as well.
func (u *upstream) isFencedOff(e *Entry, o *RecordedOrder) bool {
	if !u.rec.ChecksFence {
		return false
	}
	return slices.ContainsFunc(e.Orders, func(x RecordedOrder) bool { return x.Fence > o.Fence && u.reportedOrders[x.ID] })
}

// flightEnded reports whether the process that recorded the order has ended and the engine can be assumed to have
// processed all that the process sent. An engine may still apply an order that it received before the process ended.
// Engines that check fencing tokens refuse such an order; for the others the entry stays reserved for maxOrderFlight
// after the proof that the process has ended.
func (p *Placer) flightEnded(u *upstream, o *RecordedOrder) bool {
	if !p.senderEnded(u, o) {
		return false
	}
	if u.rec.ChecksFence || p.confirmedEnded[incarnationKey(o.Host, o.Incarnation)] {
		return true
	}
	since, known := p.endProvenAt[o.Incarnation]
	if !known {
		since = p.now
		p.endProvenAt[o.Incarnation] = since
	}
	end := since.Add(maxOrderFlight)
	if p.now.Before(end) {
		p.wakeUpstream(end, u.id)
		return false
	}
	return true
}

// senderEnded reports whether it is proven that the process that recorded the order has ended: an operator confirmed
// it, or a newer incarnation is registered at its address. A newer incarnation of the same host at another
// address proves nothing: the lease of a paused process expires, and the process can resume and send the
// order. Nothing is concluded from a record that is newer than the view, because the list of hosts may be
// older than the sender's registration.
func (p *Placer) senderEnded(u *upstream, o *RecordedOrder) bool {
	if p.isOwnOrder(o) {
		return false
	}
	if p.confirmedEnded[incarnationKey(o.Host, o.Incarnation)] {
		return true
	}
	if u.viewRev < u.rev {
		return false
	}
	return o.Addr != "" && slices.ContainsFunc(p.incarnationsByAddr[o.Addr], func(inc entity.Incarnation) bool { return p.startedAfter(inc, o.Incarnation) })
}

// startedAfter reports whether the registered incarnation inc started after the former one. The registration
// of a crashed predecessor at an address remains until its lease expires, so an incarnation that was first
// listed in the same or an earlier list of hosts proves nothing. A former incarnation that this host never
// observed as registered counts as older: had its lease been granted later, it would not have expired first.
func (p *Placer) startedAfter(inc, former entity.Incarnation) bool {
	if inc == former {
		return false
	}
	first, ok := p.firstListed[former]
	return !ok || p.firstListed[inc] > first
}

// senderRegistered reports whether the process that recorded the order is registered.
func (p *Placer) senderRegistered(o *RecordedOrder) bool {
	h, ok := p.live[o.Host]
	return ok && h.Incarnation == o.Incarnation
}

// unsettled returns the recorded orders of the entry that are not settled.
func (p *Placer) unsettled(u *upstream, e *Entry) []RecordedOrder {
	var keep []RecordedOrder
	for j := range e.Orders {
		if !p.isSettled(u, e, &e.Orders[j]) {
			keep = append(keep, e.Orders[j])
		}
	}
	return keep
}

// needsProof reports whether all orders of an absent entry are settled but one of them may have arrived after
// this report. One more order is then needed: the report that contains it proves the state of the entry.
func (p *Placer) needsProof(ed *edit, e *Entry) bool {
	last := e.last()
	if last == nil || !ed.up.reportedOrders[last.ID] || len(p.unsettled(ed.up, e)) > 0 {
		return false
	}
	return !p.provenAbsent(ed, e) && !(e.Adapter == "" && ed.placement.hasAdapters(e.Model))
}

// explainedByOrders reports whether the reported entry is the result of the entry's orders. When an engine
// gets a load order for a model that it already has, it reports the model with the earlier order ID and the
// new order as applied.
func (p *Placer) explainedByOrders(u *upstream, e *Entry, r *wire.ReportedEntry) bool {
	if e.ownsOrderID(r.OrderID) {
		return true
	}
	return slices.ContainsFunc(e.Orders, func(o RecordedOrder) bool { return u.reportedOrders[o.ID] })
}

// isLost reports whether the engine has lost a ready entry that is not in the newest report: that report must
// be newer than the one that showed the entry as ready.
func (p *Placer) isLost(u *upstream, e *Entry) bool {
	if u.report == nil {
		return false
	}
	if u.report.Boot == e.Boot {
		return u.report.Seq > e.Seq
	}
	firstObserved, ok := u.firstObserved[e.ID+StateReady]
	if !ok {
		return false
	}
	if slices.Contains(u.formerBoots, e.Boot) {
		return true
	}
	// This host has received no report of the boot in the record, so its reports may be older than the
	// record. They count as newer only 1 s after the record.
	if u.stateTime.After(firstObserved.Add(time.Second)) {
		return true
	}
	p.wakeUpstream(p.now.Add(time.Second), u.id)
	return false
}

// isDrained reports whether drainGrace has passed since the entry began to drain, so that every host has
// learned of it, and a report made after that beginning shows no running request.
func (p *Placer) isDrained(u *upstream, e *Entry) bool {
	firstObserved := u.firstObserved[e.ID+StateUnloading]
	if firstObserved.IsZero() {
		return false
	}
	if p.now.Before(firstObserved.Add(drainGrace)) {
		p.wakeUpstream(firstObserved.Add(drainGrace), u.id)
		return false
	}
	if u.report == nil || u.stateTime.Before(firstObserved) {
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
