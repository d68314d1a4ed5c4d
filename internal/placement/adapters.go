package placement

import (
	"cmp"
	"slices"

	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// evaluateAdapters notes whether adapters of the model wait for a replica that has them.
func (p *Placer) evaluateAdapters(m *model) {
	delete(p.pendingAdapter, m.id)
	if len(m.activeAdapters) > 0 && m.cfg != nil {
		p.pendingAdapter[m.id] = struct{}{}
	}
}

type adapterLoad struct {
	m  *model
	id entity.AdapterID
	a  *adapter
}

// startAdapters loads adapters with demand on ready replicas, at most the allowed number in flight.
func (p *Placer) startAdapters() {
	if len(p.pendingAdapter) == 0 || !p.adapterLoadFree() {
		return
	}
	var loads []adapterLoad
	for id := range p.pendingAdapter {
		m := p.models[id]
		missing := p.missingAdapters(m)
		if len(missing) == 0 {
			delete(p.pendingAdapter, id)
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
		if !p.adapterLoadFree() {
			return
		}
		p.startAdapter(l)
	}
}

func (p *Placer) adapterLoadFree() bool {
	return p.adapterLoading+p.adapterStarts < p.site.WeightStore.AdapterParallel
}

// missingAdapters lists the adapters that have fewer entries than their demand asks for.
func (p *Placer) missingAdapters(m *model) []adapterLoad {
	var missing []adapterLoad
	for id := range m.activeAdapters {
		a := m.adapters[id]
		if _, declared := m.cfg.Adapters[id]; !declared {
			continue
		}
		slots := max(1, m.cfg.Slots)
		need := max(1, (a.sum.total()+slots-1)/slots)
		ready, have := p.adapterReplicas(m, id)
		if ready > 0 && have < min(need, ready) {
			missing = append(missing, adapterLoad{m, id, a})
		}
	}
	return missing
}

// adapterReplicas counts the ready replicas of the model and those that have the adapter.
func (p *Placer) adapterReplicas(m *model, id entity.AdapterID) (ready, have int) {
	for _, uid := range m.rec.Replicas {
		u := p.upstreams[uid]
		if u == nil || !p.takesAdapters(m, u) {
			continue
		}
		ready++
		if e := p.placeOf(u).find(m.id, id); e != nil && e.State != StateUnloading {
			have++
		}
	}
	return ready, have
}

func (p *Placer) takesAdapters(m *model, u *upstream) bool {
	if !u.listed || u.leaving() {
		return false
	}
	e := p.placeOf(u).find(m.id, "")
	return e != nil && e.State == StateReady
}

func (p *Placer) startAdapter(l adapterLoad) {
	bytes := l.m.cfg.Adapters[l.id].Bytes
	var best *upstream
	var bestFree int64
	for _, uid := range l.m.rec.Replicas {
		u := p.upstreams[uid]
		if u == nil || u.writing != nil || !p.takesAdapters(l.m, u) {
			continue
		}
		if p.placeOf(u).find(l.m.id, l.id) != nil {
			continue
		}
		free := u.freeBytes(p.placeOf(u))
		if best == nil || free > bestFree {
			best, bestFree = u, free
		}
	}
	if best == nil {
		return
	}
	if bestFree < bytes {
		p.makeAdapterRoom(best, bytes-bestFree)
		return
	}
	ed := p.edit(best)
	if ed == nil {
		return
	}
	e := p.addEntry(ed, Entry{Model: l.m.id, Adapter: l.id, Bytes: bytes}, l.m.rec.Fence)
	ed.adapterLoads++
	p.adapterStarts++
	p.starting[e.ID] = true
}

// makeAdapterRoom unloads the least recently used idle adapters of the upstream.
func (p *Placer) makeAdapterRoom(u *upstream, short int64) {
	place := p.placeOf(u)
	var all []victim
	for i := range place.Entries {
		e := &place.Entries[i]
		if e.State == StateUnloading {
			short -= e.Bytes
			continue
		}
		if e.Adapter == "" {
			continue
		}
		if v, ok := p.victim(p.model(e.Model), u, place, e); ok {
			all = append(all, v)
		}
	}
	slices.SortFunc(all, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.key.model, b.key.model), cmp.Compare(a.key.adapter, b.key.adapter))
	})
	for _, v := range all {
		if short <= 0 {
			return
		}
		short -= v.bytes
		p.evict(u, v)
	}
}
