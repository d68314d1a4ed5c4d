package placement

import (
	"cmp"
	"slices"
	"strings"

	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// planRoom sums, per upstream, the memory being freed for models that still wait for it.
func (p *Placer) planRoom() {
	clear(p.planned)
	for id := range p.pending {
		if m := p.models[id]; m.room != nil && m.cfg != nil && p.now.Before(m.evictUntil) {
			p.planned[m.room] += m.cfg.Bytes
		}
	}
}

// roomAhead frees memory for the loads that come next while the weight store is busy, so that the
// memory is free when the store is. More loads than the store serves at once need not be prepared.
func (p *Placer) roomAhead() {
	if p.storeFree() || p.now.Before(p.roomAt) {
		return
	}
	p.roomAt = p.now.Add(roomInterval)
	next := make([]*model, 0, len(p.pending))
	for id := range p.pending {
		m := p.models[id]
		if m.cfg != nil && m.writing == nil && m.editing == nil && m.sum.interactive > 0 && len(p.count(m).active) < m.want {
			next = append(next, m)
		}
	}
	slices.SortFunc(next, p.compareLoads)
	remote := 0
	for _, m := range next {
		if len(m.local) == 0 {
			remote++
		}
		if p.now.Before(m.evictUntil) || len(m.local) == 0 && remote > p.site.WeightStore.Parallel {
			continue
		}
		if u := p.choosePlanned(m); u != nil {
			p.planned[u] += m.cfg.Bytes
			continue
		}
		p.makeRoom(m)
	}
}

// choosePlanned returns an upstream with memory for the model that is not meant for another one.
// The former result is kept while it holds, so that a busy weight store causes no repeated searches.
func (p *Placer) choosePlanned(m *model) *upstream {
	if m.spare != nil && p.hasSpare(m, m.spare) {
		return m.spare
	}
	m.spare = nil
	for _, u := range p.upstreams {
		if p.hasSpare(m, u) && (m.spare == nil || u.id < m.spare.id) {
			m.spare = u
		}
	}
	return m.spare
}

func (p *Placer) hasSpare(m *model, u *upstream) bool {
	return u.writing == nil && p.eligible(m, u) && u.freeBytes(p.placeOf(u))-p.planned[u] >= m.cfg.Bytes
}

// makeRoom drains idle replicas on one upstream for waiting work that fits nowhere.
func (p *Placer) makeRoom(m *model) {
	if m.sum.waiting() == 0 || p.now.Before(m.evictUntil) {
		return
	}
	var best *upstream
	var bestVictims []victim
	var bestRank roomRank
	for _, u := range p.upstreams {
		if u.writing != nil || !p.eligible(m, u) {
			continue
		}
		victims, cost, ok := p.victims(m, u)
		if !ok {
			continue
		}
		r := roomRank{cost >= busyCost, sourceOrder(u.source(m.id)), cost, u.id}
		if best == nil || r.compare(bestRank) < 0 {
			best, bestVictims, bestRank = u, victims, r
		}
	}
	if best == nil {
		return
	}
	// One search per drain: the entries being unloaded count as room until this time has passed.
	m.evictUntil = p.now.Add(resendAfter)
	m.room = best
	p.planned[best] += m.cfg.Bytes
	for _, v := range bestVictims {
		p.evict(best, v)
	}
}

// roomRank orders the upstreams on which memory can be freed: a cached checkpoint saves most of the
// load time and leaves the weight store to others, but not at the price of interrupted patient work.
type roomRank struct {
	busy     bool
	source   int
	cost     float64
	upstream entity.UpstreamID
}

func (r roomRank) compare(o roomRank) int {
	if r.busy != o.busy {
		if o.busy {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(r.source, o.source), cmp.Compare(r.cost, o.cost), cmp.Compare(r.upstream, o.upstream))
}

// victim is an entry whose memory can be taken.
type victim struct {
	key   entryKey
	bytes int64
	cost  float64
}

// busyCost ranks models with patient work behind all idle ones.
const busyCost = 1e6

// victims picks the cheapest entries of the upstream that make room for the model.
func (p *Placer) victims(m *model, u *upstream) (chosen []victim, cost float64, ok bool) {
	place := p.placeOf(u)
	short := m.cfg.Bytes + p.planned[u] - u.freeBytes(place)
	if m.cfg.Bytes > u.totalBytes()-u.foreign {
		return nil, 0, false
	}
	var all []victim
	for i := range place.Entries {
		e := &place.Entries[i]
		if e.State == StateUnloading {
			short -= e.Bytes
			continue
		}
		if v, can := p.victim(m, u, place, e); can {
			all = append(all, v)
		}
	}
	slices.SortFunc(all, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), strings.Compare(string(a.key.model+"/")+string(a.key.adapter), string(b.key.model+"/")+string(b.key.adapter)))
	})
	for _, v := range all {
		if short <= 0 {
			break
		}
		short -= v.bytes
		cost += v.cost
		chosen = append(chosen, v)
	}
	return chosen, cost, short <= 0
}

func (p *Placer) victim(m *model, u *upstream, place *UpstreamPlacement, e *Entry) (victim, bool) {
	owner := p.model(e.Model)
	v := victim{key: entryKey{e.Model, e.Adapter}, bytes: e.Bytes}
	if e.State != StateReady {
		return v, false
	}
	if e.Adapter != "" {
		a := owner.adapters[e.Adapter]
		if a != nil && a.sum.total() > 0 || len(p.unsettled(u, e)) > 0 && !u.rec.ChecksFence {
			return v, false
		}
		v.cost = p.adapterCost(a)
		return v, true
	}
	if !p.canDrain(u, place, e.Model) || owner.sum.interactive > 0 {
		return v, false
	}
	if owner.cfg != nil && p.readyBeyond(owner) <= 0 {
		return v, false
	}
	v.cost = p.keepValue(owner) + 1
	if owner.sum.total() > 0 {
		if m.sum.interactive == 0 {
			return v, false
		}
		v.cost += busyCost
	}
	return v, true
}

// readyBeyond is the number of active replicas above the minimum.
func (p *Placer) readyBeyond(m *model) int {
	return len(p.count(m).active) - m.cfg.MinReplicas
}

// adapterCost is below that of any model and lowest for the least recently used adapter.
func (p *Placer) adapterCost(a *adapter) float64 {
	if a == nil {
		return 0
	}
	return 1 / (1 + max(0, p.now.Sub(a.lastUsed).Seconds()))
}

func (p *Placer) evict(u *upstream, v victim) {
	if v.key.adapter == "" {
		owner := p.model(v.key.model)
		if p.drain(u, owner.id) {
			owner.want = max(0, min(owner.want, len(p.count(owner).active)))
			owner.lastDown = p.now
		}
		return
	}
	ed := p.edit(u)
	if ed == nil {
		return
	}
	if e := ed.place.find(v.key.model, v.key.adapter); e != nil && e.State == StateReady {
		e.State = StateUnloading
		ed.changed = true
	}
}
