package placement

import (
	"slices"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/command"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

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
