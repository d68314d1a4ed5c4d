package limits

import (
	"slices"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/command"
	"github.com/foxtailpass/foxtailpass/internal/config"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
)

// planWrite writes the next version of a share record, if this host needs a change and no write is in
// flight.
func (t *Throttler) planWrite(a *account, now time.Time) []command.Command {
	s := &a.share
	m := &t.term
	// A record that could not be parsed is kept as one without any units. It is never overwritten.
	invalid := s.rev > 0 && s.rec.Unissued+s.rec.Free == 0 && len(s.rec.Holders) == 0
	if !s.recordKnown || invalid || len(s.inFlight) > 0 {
		return nil
	}
	if now.Before(s.planAfter) {
		return nil
	}
	leased := m.epoch > 0 && now.Before(m.leaseEnds[m.epoch]) && !m.superseded && m.hostsKnown
	if !leased && !t.stopping {
		return nil
	}
	s.planPending = false
	a.advance(now)
	next := s.rec.clone()
	var compares []kvstore.Compare
	changed := false
	if t.stopping {
		changed = t.planStop(a, &next)
	} else {
		changed, compares = t.planReclaim(a, &next, now)
		changed = t.planOwnEntry(a, &next, now) || changed
	}
	if !changed {
		return nil
	}
	return t.write(a, next, compares, now)
}

// planReclaim frees the units of holders whose term is proven to be over. It also returns the comparisons
// that the write needs.
func (t *Throttler) planReclaim(a *account, next *Record, now time.Time) (bool, []kvstore.Compare) {
	var compares []kvstore.Compare
	changed := false
	delay := t.reclaimDelay(a)
	for _, h := range a.share.rec.Holders {
		if h.Incarnation == t.opt.Incarnation || !t.term.isTermOver(h, now.Add(-delay)) {
			continue
		}
		next.releaseHolder(h.Incarnation)
		changed = true
		if _, listed := t.term.hosts[h.Host]; !listed {
			// The local copy of the registry may be stale, so the write requires that the holder has not
			// registered again.
			compares = append(compares, kvstore.Absent(config.HostsPrefix+string(h.Host)))
		}
	}
	return changed, compares
}

// planOwnEntry allocates units to this host's entry or releases some, and writes the current epoch and witnesses into
// the entry if they differ. It reports whether the record must be written.
func (t *Throttler) planOwnEntry(a *account, next *Record, now time.Time) bool {
	s := &a.share
	own := next.holder(t.opt.Incarnation)
	targetUnits := t.targetUnits(a, now)
	var have int64
	if own != nil {
		have = own.Units
	}
	units := t.unitsToAllocate(a, next, targetUnits-have, now)
	if own == nil {
		if units == 0 {
			return false
		}
		next.Holders = append(next.Holders, Holder{Host: t.opt.Self, Incarnation: t.opt.Incarnation, Addr: t.opt.Addr})
		own = &next.Holders[len(next.Holders)-1]
	}
	changed := units > 0
	if changed {
		next.allocate(own, units, a.burst)
	} else {
		changed = t.planRelease(a, next, own, targetUnits, now)
	}
	witnesses := t.witnesses()
	// A write with an unknown outcome is followed by another write, because only a newer version of the
	// record shows whether the first one took effect.
	if s.outcomeUnknown || own.Epoch != t.term.epoch || !slices.Equal(own.Witnesses, witnesses) {
		changed = true
	}
	if changed {
		own.Addr, own.Epoch, own.Witnesses = t.opt.Addr, t.term.epoch, witnesses
	}
	if own.Given > s.deducted {
		a.level = max(0, a.level-(own.Given-s.deducted))
		s.deducted = own.Given
	}
	return changed
}

// unitsToAllocate returns how many of the unallocated units this host takes.
func (t *Throttler) unitsToAllocate(a *account, next *Record, deficit int64, now time.Time) int64 {
	s := &a.share
	free := next.Unissued + next.Free
	if free == 0 || !a.configured {
		s.unallocatedSince = time.Time{}
		return 0
	}
	if s.unallocatedSince.IsZero() {
		s.unallocatedSince = now
	}
	if deficit >= min(minUnitMove, free) {
		return min(free, deficit)
	}
	if now.Sub(s.unallocatedSince) >= leftoverDelay {
		live := int64(max(1, len(t.term.hosts)))
		return min(free, max(deficit, (free+live-1)/live))
	}
	return 0
}

// planRelease releases units above the target, with their portion of the level. It reports whether it
// released any.
func (t *Throttler) planRelease(a *account, next *Record, own *Holder, target int64, now time.Time) bool {
	s := &a.share
	surplus := own.Units - target
	if s.outcomeUnknown || surplus < minUnitMove+target/8 {
		return false
	}
	largest := int64(maxUnitMove)
	if t.hasHostWithoutUnits(next) {
		// A host without units is not ready until it gets some, so the whole surplus is released at once.
		largest = TotalUnits
	} else if now.Before(s.nextRelease) || !t.isPeerDemandFresh(now) {
		return false
	}
	// While unallocated units are left, nothing is released. Otherwise hosts would take and release the
	// same units in turn, for example those of a stopping host that is still registered.
	if a.burst <= 0 || next.Unissued+next.Free >= minUnitMove {
		return false
	}
	// The remaining capacity must cover the outstanding loans.
	least := int64(a.outstanding/a.burst*TotalUnits) + 1
	units := min(surplus, largest, own.Units-least)
	if units < minUnitMove {
		return false
	}
	s.nextRelease = now.Add(t.jitter(2 * releaseInterval))
	capacity := proRata(a.burst, own.Units-units) - a.outstanding
	tokens := max(a.level*float64(units)/float64(own.Units), a.level-capacity)
	own.Units -= units
	own.Given += tokens
	next.Free += units
	next.FreeTokens += tokens
	return true
}

// hasHostWithoutUnits reports whether another registered host that is not stopping holds no units.
func (t *Throttler) hasHostWithoutUnits(rec *Record) bool {
	for id, h := range t.term.hosts {
		if id == t.opt.Self || h.State == config.HostStopping {
			continue
		}
		if own := rec.holder(h.Incarnation); own == nil || own.Units == 0 {
			return true
		}
	}
	return false
}

// isPeerDemandFresh reports whether every live peer has sent a heartbeat within maxDemandAge.
func (t *Throttler) isPeerDemandFresh(now time.Time) bool {
	for id := range t.term.hosts {
		if id != t.opt.Self && now.Sub(t.reported[id]) > maxDemandAge {
			return false
		}
	}
	return true
}

// targetUnits returns the number of units that this host should hold: an even share plus a share in
// proportion to its demand.
func (t *Throttler) targetUnits(a *account, now time.Time) int64 {
	live := int64(0)
	own := a.usage.perSecond(now) + a.deficit.perSecond(now)
	total := own
	for id, h := range t.term.hosts {
		if h.State == "stopping" {
			continue
		}
		live++
		if p := a.peers[id]; p != nil && id != t.opt.Self && now.Sub(p.at) < maxDemandAge {
			total += p.usage + p.deficit
		}
	}
	live = max(live, 1)
	even := TotalUnits / live
	// Demand below 1 % of the rate does not predict where the next requests arrive.
	if total < a.rate/100 || total == 0 || t.opt.Policy == PolicyStatic {
		return even
	}
	return even/evenShareDivisor + int64(float64(TotalUnits-TotalUnits/evenShareDivisor)*own/total)
}

// planStop removes this host's entry once no loan is outstanding. It reports whether it removed the entry.
func (t *Throttler) planStop(a *account, next *Record) bool {
	own := next.holder(t.opt.Incarnation)
	if own == nil {
		return false
	}
	if a.outstanding > 0 {
		a.share.planPending = true
		return false
	}
	next.FreeTokens += a.share.levelAtStop
	next.releaseHolder(t.opt.Incarnation)
	return true
}
