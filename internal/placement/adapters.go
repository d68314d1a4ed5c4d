package placement

import (
	"cmp"
	"slices"

	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// updatePendingAdapters adds the model to pendingAdapters if one of its adapters has demand, and removes it otherwise.
func (p *Placer) updatePendingAdapters(m *model) {
	delete(p.pendingAdapters, m.id)
	if len(m.activeAdapters) > 0 && m.cfg != nil {
		p.pendingAdapters[m.id] = struct{}{}
	}
}

// adapterLoad is an adapter that has to be loaded on one more replica of its model.
type adapterLoad struct {
	m  *model
	id entity.AdapterID
	a  *adapter
}

// startAdapterLoads loads adapters with demand on ready replicas. The number of adapter loads in flight stays
// within the limit of the weight store.
func (p *Placer) startAdapterLoads() {
	if len(p.pendingAdapters) == 0 || !p.mayStartAdapterLoad() {
		return
	}
	var loads []adapterLoad
	for id := range p.pendingAdapters {
		m := p.models[id]
		missing := p.missingAdapters(m)
		if len(missing) == 0 {
			delete(p.pendingAdapters, id)
		}
		loads = append(loads, missing...)
	}
	slices.SortFunc(loads, func(x, y adapterLoad) int {
		return cmp.Or(
			cmp.Compare(min(1, y.a.sum.interactive), min(1, x.a.sum.interactive)),
			cmp.Compare(y.a.sum.waiting(), x.a.sum.waiting()),
			cmp.Compare(x.m.id, y.m.id),
			cmp.Compare(x.id, y.id),
		)
	})
	for _, l := range loads {
		if !p.mayStartAdapterLoad() {
			return
		}
		p.startAdapterLoad(l)
	}
}

// mayStartAdapterLoad reports whether the weight store allows another adapter load.
func (p *Placer) mayStartAdapterLoad() bool {
	return p.adapterLoading+p.unconfirmedAdapterLoads < p.site.WeightStore.AdapterParallel
}

// missingAdapters returns the adapters of the model that are on fewer replicas than their demand requires.
func (p *Placer) missingAdapters(m *model) []adapterLoad {
	var missing []adapterLoad
	for id := range m.activeAdapters {
		a := m.adapters[id]
		if _, declared := m.cfg.Adapters[id]; !declared {
			continue
		}
		slots := max(1, m.cfg.Slots)
		need := max(1, (a.sum.total()+slots-1)/slots)
		ready, have := p.countAdapterReplicas(m, id)
		if ready > 0 && have < min(need, ready) {
			missing = append(missing, adapterLoad{m, id, a})
		}
	}
	return missing
}

// countAdapterReplicas returns the number of ready replicas of the model, and the number of these on which the
// adapter is loading or ready.
func (p *Placer) countAdapterReplicas(m *model, id entity.AdapterID) (ready, have int) {
	for _, uid := range m.rec.Replicas {
		u := p.upstreams[uid]
		if u == nil || !p.canLoadAdapters(m, u) {
			continue
		}
		ready++
		if e := p.editedPlacement(u).find(m.id, id); e != nil && e.State != StateUnloading {
			have++
		}
	}
	return ready, have
}

// canLoadAdapters reports whether the upstream is available and has a ready replica of the model.
func (p *Placer) canLoadAdapters(m *model, u *upstream) bool {
	if !u.inPlatformList || u.leaving() {
		return false
	}
	e := p.editedPlacement(u).find(m.id, "")
	return e != nil && e.State == StateReady
}

// startAdapterLoad loads the adapter on the replica whose upstream has the most free memory. If the adapter
// does not fit there, it frees memory and leaves the load to a later tick.
func (p *Placer) startAdapterLoad(l adapterLoad) {
	bytes := l.m.cfg.Adapters[l.id].Bytes
	var best *upstream
	var bestFree int64
	for _, uid := range l.m.rec.Replicas {
		u := p.upstreams[uid]
		if u == nil || u.writing != nil || !p.canLoadAdapters(l.m, u) {
			continue
		}
		if p.editedPlacement(u).find(l.m.id, l.id) != nil {
			continue
		}
		free := u.freeBytes(p.editedPlacement(u))
		if best == nil || free > bestFree {
			best, bestFree = u, free
		}
	}
	if best == nil {
		return
	}
	if bestFree < bytes {
		p.freeAdapterMemory(best, bytes-bestFree)
		return
	}
	ed := p.edit(best)
	if ed == nil {
		return
	}
	e := p.addEntry(ed, Entry{Model: l.m.id, Adapter: l.id, Bytes: bytes}, l.m.rec.Fence)
	ed.adapterLoads++
	p.unconfirmedAdapterLoads++
	p.unconfirmedLoads[e.ID] = true
}

// freeAdapterMemory unloads idle adapters of the upstream, the least recently used one first, until shortfall bytes
// will be free. It never unloads models.
func (p *Placer) freeAdapterMemory(u *upstream, shortfall int64) {
	placement := p.editedPlacement(u)
	var all []victim
	for i := range placement.Entries {
		e := &placement.Entries[i]
		if e.State == StateUnloading {
			shortfall -= e.Bytes
			continue
		}
		if e.Adapter == "" {
			continue
		}
		if v, ok := p.victim(p.model(e.Model), u, placement, e); ok {
			all = append(all, v)
		}
	}
	slices.SortFunc(all, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.key.model, b.key.model), cmp.Compare(a.key.adapter, b.key.adapter))
	})
	for _, v := range all {
		if shortfall <= 0 {
			return
		}
		shortfall -= v.bytes
		p.evict(u, v)
	}
}
