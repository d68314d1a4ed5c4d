package placement

import (
	"cmp"
	"slices"
	"strings"

	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// sumPlannedBytes computes, per upstream, the memory that is being freed for models that wait for a load.
func (p *Placer) sumPlannedBytes() {
	clear(p.plannedBytes)
	for id := range p.pendingModels {
		if m := p.models[id]; m.evictionUpstream != nil && m.cfg != nil && p.now.Before(m.evictUntil) {
			p.plannedBytes[m.evictionUpstream] += m.cfg.Bytes
		}
	}
}

// freeMemoryAhead frees memory for the next loads while the weight store is busy. The loads can then start as soon
// as the store is available. It prepares no more loads from the weight store than the store serves in parallel.
func (p *Placer) freeMemoryAhead() {
	if p.storeAvailable() || p.now.Before(p.freeAheadAt) {
		return
	}
	p.freeAheadAt = p.now.Add(freeAheadInterval)
	next := make([]*model, 0, len(p.pendingModels))
	for id := range p.pendingModels {
		m := p.models[id]
		if m.cfg != nil && m.writing == nil && m.editing == nil && m.sum.interactive > 0 && len(p.countReplicas(m).active) < m.want {
			next = append(next, m)
		}
	}
	slices.SortFunc(next, p.compareLoads)
	remote := 0
	for _, m := range next {
		if len(m.cachedUpstreams) == 0 {
			remote++
		}
		if p.now.Before(m.evictUntil) || len(m.cachedUpstreams) == 0 && remote > p.site.WeightStore.Parallel {
			continue
		}
		if u := p.chooseUnplanned(m); u != nil {
			p.plannedBytes[u] += m.cfg.Bytes
			continue
		}
		p.freeMemory(m)
	}
}

// chooseUnplanned returns an upstream that has enough free memory for the model beyond what is planned for other
// models, or nil. It reuses the previous result while that is valid, because it is called repeatedly while the weight
// store is busy.
func (p *Placer) chooseUnplanned(m *model) *upstream {
	if m.unplanned != nil && p.hasUnplannedMemory(m, m.unplanned) {
		return m.unplanned
	}
	m.unplanned = nil
	for _, u := range p.upstreams {
		if p.hasUnplannedMemory(m, u) && (m.unplanned == nil || u.id < m.unplanned.id) {
			m.unplanned = u
		}
	}
	return m.unplanned
}

// hasUnplannedMemory reports whether the upstream may load the model and has enough free memory beyond
// plannedBytes.
func (p *Placer) hasUnplannedMemory(m *model, u *upstream) bool {
	return u.writing == nil && p.eligible(m, u) && u.freeBytes(p.editedPlacement(u))-p.plannedBytes[u] >= m.cfg.Bytes
}

// freeMemory evicts replicas and adapters on one upstream, for a model that has waiting requests and fits on no
// upstream.
func (p *Placer) freeMemory(m *model) {
	if m.sum.waiting() == 0 || p.now.Before(m.evictUntil) {
		return
	}
	var best *upstream
	var bestVictims []victim
	var bestRank evictionRank
	for _, u := range p.upstreams {
		if u.writing != nil || !p.eligible(m, u) {
			continue
		}
		victims, cost, ok := p.victims(m, u)
		if !ok {
			continue
		}
		r := evictionRank{cost >= busyCost, sourceIndex(u.source(m.id)), cost, u.id}
		if best == nil || r.compare(bestRank) < 0 {
			best, bestVictims, bestRank = u, victims, r
		}
	}
	if best == nil {
		return
	}
	// The next search for this model waits until the entries being unloaded have had time to free their memory.
	m.evictUntil = p.now.Add(resendAfter)
	m.evictionUpstream = best
	p.plannedBytes[best] += m.cfg.Bytes
	for _, v := range bestVictims {
		p.evict(best, v)
	}
}

// evictionRank orders the upstreams on which memory can be freed; the lowest is the best. A cached checkpoint
// saves most of the load time and does not use the weight store, but it does not justify draining a busy
// replica, whose model has running or waiting patient requests.
type evictionRank struct {
	busy     bool
	source   int
	cost     float64
	upstream entity.UpstreamID
}

func (r evictionRank) compare(o evictionRank) int {
	if r.busy != o.busy {
		if o.busy {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(r.source, o.source), cmp.Compare(r.cost, o.cost), cmp.Compare(r.upstream, o.upstream))
}

// victim is an entry that may be unloaded to free its memory.
type victim struct {
	key   entryKey
	bytes int64
	cost  float64
}

// busyCost is added to the cost of models with running or waiting patient requests. They then rank behind all idle
// models.
const busyCost = 1e6

// victims chooses the cheapest entries of the upstream whose memory, together with the free memory, is enough
// for the model. It returns false when the memory cannot be freed.
func (p *Placer) victims(m *model, u *upstream) (chosen []victim, cost float64, ok bool) {
	placement := p.editedPlacement(u)
	shortfall := m.cfg.Bytes + p.plannedBytes[u] - u.freeBytes(placement)
	if m.cfg.Bytes > u.totalBytes()-u.foreignBytes {
		return nil, 0, false
	}
	var all []victim
	for i := range placement.Entries {
		e := &placement.Entries[i]
		if e.State == StateUnloading {
			shortfall -= e.Bytes
			continue
		}
		if v, can := p.victim(m, u, placement, e); can {
			all = append(all, v)
		}
	}
	slices.SortFunc(all, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), strings.Compare(string(a.key.model+"/")+string(a.key.adapter), string(b.key.model+"/")+string(b.key.adapter)))
	})
	for _, v := range all {
		if shortfall <= 0 {
			break
		}
		shortfall -= v.bytes
		cost += v.cost
		chosen = append(chosen, v)
	}
	return chosen, cost, shortfall <= 0
}

// victim returns the entry as a candidate for eviction. It returns false when the entry must stay loaded.
func (p *Placer) victim(m *model, u *upstream, placement *UpstreamPlacement, e *Entry) (victim, bool) {
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
	if !p.canDrain(u, placement, e.Model) || owner.sum.interactive > 0 {
		return v, false
	}
	if owner.cfg != nil && p.activeAboveMinimum(owner) <= 0 {
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

// activeAboveMinimum returns the number of active replicas above the configured minimum.
func (p *Placer) activeAboveMinimum(m *model) int {
	return len(p.countReplicas(m).active) - m.cfg.MinReplicas
}

// adapterCost returns the cost of evicting an adapter. It is at most 1, the lowest cost of a model, and
// lowest for the least recently used adapter.
func (p *Placer) adapterCost(a *adapter) float64 {
	if a == nil {
		return 0
	}
	return 1 / (1 + max(0, p.now.Sub(a.lastUsed).Seconds()))
}

// evict drains the replica or unloads the adapter.
func (p *Placer) evict(u *upstream, v victim) {
	if v.key.adapter == "" {
		owner := p.model(v.key.model)
		if p.drainReplica(u, owner.id) {
			owner.want = max(0, min(owner.want, len(p.countReplicas(owner).active)))
			owner.lastLowered = p.now
		}
		return
	}
	ed := p.edit(u)
	if ed == nil {
		return
	}
	if e := ed.placement.find(v.key.model, v.key.adapter); e != nil && e.State == StateReady {
		e.State = StateUnloading
		ed.changed = true
	}
}
