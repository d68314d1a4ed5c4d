package limits

import (
	"slices"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/command"
	"github.com/foxtailpass/foxtailpass/internal/config"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
)

// plan writes the next version of a share record, if this host wants a change and no write is
// under way.
func (t *Throttler) plan(a *account, now time.Time) []command.Command {
	s := &a.share
	m := &t.term
	// An invalid record has no units at all and stays untouched.
	invalid := s.rev > 0 && s.rec.Unissued+s.rec.Free == 0 && len(s.rec.Holders) == 0
	if !s.known || invalid || len(s.inFlight) > 0 {
		return nil
	}
	if now.Before(s.retryAt) {
		return nil
	}
	leased := m.epoch > 0 && now.Before(m.leaseEnds[m.epoch]) && !m.superseded && m.loaded
	if !leased && !t.stopping {
		return nil
	}
	s.wanted = false
	a.advance(now)
	next := s.rec.clone()
	var compares []kvstore.Compare
	changed := false
	if t.stopping {
		changed = t.planStop(a, &next)
	} else {
		changed, compares = t.planReclaim(a, &next, now)
		changed = t.planOwn(a, &next, now) || changed
	}
	if !changed {
		return nil
	}
	return t.write(a, next, compares, now)
}

// planReclaim frees the units of holders whose term is proven to be over.
func (t *Throttler) planReclaim(a *account, next *Record, now time.Time) (bool, []kvstore.Compare) {
	var compares []kvstore.Compare
	changed := false
	delay := t.rankDelay(a)
	for _, h := range a.share.rec.Holders {
		if h.Incarnation == t.opt.Incarnation || !t.term.termOver(h, now.Add(-delay)) {
			continue
		}
		next.free(h.Incarnation)
		changed = true
		if _, listed := t.term.hosts[h.Host]; !listed {
			// The registry may be stale: the holder may have registered again.
			compares = append(compares, kvstore.Absent(config.HostsPrefix+string(h.Host)))
		}
	}
	return changed, compares
}

// planOwn confirms this host's entry, claims units or releases some.
func (t *Throttler) planOwn(a *account, next *Record, now time.Time) bool {
	s := &a.share
	own := next.holder(t.opt.Incarnation)
	target := t.target(a, now)
	var have int64
	if own != nil {
		have = own.Units
	}
	units := t.claimable(a, next, target-have, now)
	if own == nil {
		if units == 0 {
			return false
		}
		next.Holders = append(next.Holders, Holder{Host: t.opt.Self, Incarnation: t.opt.Incarnation, Addr: t.opt.Addr})
		own = &next.Holders[len(next.Holders)-1]
	}
	changed := units > 0
	if changed {
		next.claim(own, units, a.burst)
	} else {
		changed = t.planRelease(a, next, own, target, now)
	}
	witnesses := t.witnesses()
	// A write with an unknown outcome is followed by another, because only a newer version resolves it.
	if s.unknown || own.Epoch != t.term.epoch || !slices.Equal(own.Witnesses, witnesses) {
		changed = true
	}
	if changed {
		own.Addr, own.Epoch, own.Witnesses = t.opt.Addr, t.term.epoch, witnesses
	}
	if own.Given > s.given {
		a.level = max(0, a.level-(own.Given-s.given))
		s.given = own.Given
	}
	return changed
}

// claimable is the number of unallocated units that this host takes.
func (t *Throttler) claimable(a *account, next *Record, deficit int64, now time.Time) int64 {
	s := &a.share
	free := next.Unissued + next.Free
	if free == 0 || !a.configured {
		s.freeSince = time.Time{}
		return 0
	}
	if s.freeSince.IsZero() {
		s.freeSince = now
	}
	if deficit >= min(leastMove, free) {
		return min(free, deficit)
	}
	if now.Sub(s.freeSince) >= leftoverAfter {
		live := int64(max(1, len(t.term.hosts)))
		return min(free, max(deficit, (free+live-1)/live))
	}
	return 0
}

// planRelease gives units above the target back, with their part of the level.
func (t *Throttler) planRelease(a *account, next *Record, own *Holder, target int64, now time.Time) bool {
	s := &a.share
	surplus := own.Units - target
	if s.unknown || surplus < leastMove+target/8 {
		return false
	}
	largest := int64(largestMove)
	if t.starved(next) {
		// A host without units waits for its first readiness, so the surplus is not kept back.
		largest = TotalUnits
	} else if now.Before(s.nextRelease) || !t.demandFresh(now) {
		return false
	}
	// Units that nobody claims, for example of a stopping host that is still registered, would
	// otherwise be claimed and released in turn.
	if a.burst <= 0 || next.Unissued+next.Free >= leastMove {
		return false
	}
	// The capacity that remains must cover the outstanding loans.
	least := int64(a.outstanding/a.burst*TotalUnits) + 1
	units := min(surplus, largest, own.Units-least)
	if units < leastMove {
		return false
	}
	s.nextRelease = now.Add(t.jitter(2 * releaseInterval))
	capacity := part(a.burst, own.Units-units) - a.outstanding
	tokens := max(a.level*float64(units)/float64(own.Units), a.level-capacity)
	own.Units -= units
	own.Given += tokens
	next.Free += units
	next.FreeTokens += tokens
	return true
}

// starved says whether a live host holds no units at all.
func (t *Throttler) starved(rec *Record) bool {
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

// demandFresh says whether all live peers have reported recently.
func (t *Throttler) demandFresh(now time.Time) bool {
	for id := range t.term.hosts {
		if id != t.opt.Self && now.Sub(t.heard[id]) > demandAge {
			return false
		}
	}
	return true
}

// target is the number of units that this host should hold: an even part plus a part by demand.
func (t *Throttler) target(a *account, now time.Time) int64 {
	live := int64(0)
	own := a.used.perSecond(now) + a.short.perSecond(now)
	total := own
	for id, h := range t.term.hosts {
		if h.State == "stopping" {
			continue
		}
		live++
		if p := a.peers[id]; p != nil && id != t.opt.Self && now.Sub(p.at) < demandAge {
			total += p.used + p.short
		}
	}
	live = max(live, 1)
	even := TotalUnits / live
	// Demand below 1 % of the rate says nothing about where the next requests arrive.
	if total < a.rate/100 || total == 0 || t.opt.Policy == PolicyStatic {
		return even
	}
	return even/equalParts + int64(float64(TotalUnits-TotalUnits/equalParts)*own/total)
}

// planStop removes the own entry when no loan is outstanding.
func (t *Throttler) planStop(a *account, next *Record) bool {
	own := next.holder(t.opt.Incarnation)
	if own == nil {
		return false
	}
	if a.outstanding > 0 {
		a.share.wanted = true
		return false
	}
	next.FreeTokens += a.share.parting
	next.free(t.opt.Incarnation)
	return true
}
