package placement

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// decide brings the replicas of the changed models in line with demand.
func (p *Placer) decide() {
	for _, id := range drain(p.dirtyModels) {
		p.evaluate(p.models[id])
	}
	if p.now.Before(p.retryStore) {
		return
	}
	p.startLoads()
	p.startAdapters()
}

// replicaCount summarizes the entries of one model.
type replicaCount struct {
	active   []*upstream // loading or ready on upstreams that stay
	ready    int         // ready on upstreams that stay
	leaving  []*upstream // loading or ready on leaving upstreams
	reserved int         // entries in any state on leaving upstreams
	// unloading says that an entry is draining or being unloaded.
	unloading bool
}

// count returns the summary, which is kept until a replica of the model changes.
func (p *Placer) count(m *model) replicaCount {
	if m.editedAt == p.ticks {
		return p.countEntries(m)
	}
	if at := [2]uint64{m.version, p.leaveVersion}; !m.counted || m.countedAt != at {
		m.replicas = p.countEntries(m)
		m.counted = true
		m.countedAt = at
	}
	return m.replicas
}

func (p *Placer) countEntries(m *model) replicaCount {
	var c replicaCount
	for _, id := range m.rec.Replicas {
		u := p.upstreams[id]
		if u == nil {
			continue
		}
		if u.leaving() || !u.listed {
			c.reserved++
		}
		e := p.placeOf(u).find(m.id, "")
		if e != nil && e.State == StateUnloading {
			c.unloading = true
		}
		if e == nil || e.State == StateUnloading {
			continue
		}
		if u.leaving() || !u.listed {
			c.leaving = append(c.leaving, u)
			continue
		}
		c.active = append(c.active, u)
		if e.State == StateReady {
			c.ready++
		}
	}
	return c
}

// placeOf is the placement with the changes of this tick.
func (p *Placer) placeOf(u *upstream) *UpstreamPlacement {
	if ed := p.edits[u.id]; ed != nil {
		return &ed.place
	}
	return &u.place
}

// target is the decided count: the wanted replicas and those that are replaced because their
// upstream leaves.
func (p *Placer) target(m *model) int {
	return m.want + p.count(m).reserved
}

// evaluate decides the replicas of one model.
func (p *Placer) evaluate(m *model) {
	m.refreshDeadline()
	p.updateWant(m)
	c := p.count(m)
	p.adoptActive(m, &c)
	delete(p.pending, m.id)
	switch {
	case len(c.active) < m.want:
		if !c.unloading || !p.cancelDrain(m) {
			p.pending[m.id] = struct{}{}
		}
	case len(c.active) > m.want:
		p.shrinkActive(m, c)
	}
	if len(c.leaving) > 0 && c.ready >= m.want {
		p.shrink(m, c.leaving, len(c.leaving))
	}
	p.evaluateAdapters(m)
}

// shrinkActive drains what exceeds the wanted replicas, but never a ready replica in the place of
// one that is still loading: the model would have none until that load ends.
func (p *Placer) shrinkActive(m *model, c replicaCount) {
	if c.ready <= m.want {
		p.wakeModel(p.now.Add(drainGrace), m.id)
		return
	}
	p.shrink(m, c.active, c.ready-m.want)
}

// adoptActive keeps the replicas that a former decider left until all hosts have had time to send
// their demand to this one.
func (p *Placer) adoptActive(m *model, c *replicaCount) {
	if m.cfg == nil || p.now.After(p.decidesSince.Add(demandTTL)) {
		return
	}
	keep := min(len(c.active), m.cfg.MaxReplicas)
	if keep <= m.want {
		return
	}
	m.want = keep
	m.lastHigh = p.now
	m.lastBusy = p.now
	p.wakeModel(p.now.Add(p.hold()), m.id)
}

// cancelDrain makes a draining replica ready again, which is faster than a new load. An unload that
// does not finish is followed by a load order, so that it does not keep the model from being loaded.
func (p *Placer) cancelDrain(m *model) bool {
	for _, id := range m.rec.Replicas {
		u := p.upstreams[id]
		if u == nil || u.leaving() || !u.listed {
			continue
		}
		e := u.place.find(m.id, "")
		if e == nil || e.State != StateUnloading {
			continue
		}
		ordered := e.unloadOrdered()
		stuck := u.since[e.ID+StateUnloading].Add(2 * resendAfter)
		if ordered && p.now.Before(stuck) {
			p.wakeModel(stuck, m.id)
			continue
		}
		ed := p.edit(u)
		if ed == nil {
			continue
		}
		e = ed.place.find(m.id, "")
		if e == nil || e.State != StateUnloading || e.unloadOrdered() != ordered {
			continue
		}
		if ordered {
			e.State = StateLoading
			e.Source = u.source(m.id)
			p.order(ed, e)
			return true
		}
		e.State = StateReady
		ed.changed = true
		return true
	}
	return false
}

// shrink drains n of the replicas, those with the least running work first.
func (p *Placer) shrink(m *model, from []*upstream, n int) {
	ordered := slices.Clone(from)
	slices.SortFunc(ordered, func(a, b *upstream) int {
		return cmp.Or(cmp.Compare(a.running(m.id), b.running(m.id)), cmp.Compare(a.id, b.id))
	})
	for _, u := range ordered {
		if n == 0 {
			return
		}
		if p.drain(u, m.id) {
			n--
		}
	}
	if n > 0 {
		p.wakeModel(p.now.Add(drainGrace), m.id)
	}
}

func (u *upstream) running(m entity.ModelID) int {
	if r := u.reported(m, ""); r != nil {
		return r.Running
	}
	return 0
}

// drain marks a ready replica and its adapters as unloading. An entry that is still loading, or
// whose former orders can still arrive, is kept: its memory could not be used for anything else.
func (p *Placer) drain(u *upstream, id entity.ModelID) bool {
	ed := p.edit(u)
	if ed == nil || !p.canDrain(u, &ed.place, id) {
		return false
	}
	for i := range ed.place.Entries {
		e := &ed.place.Entries[i]
		if e.Model == id && e.State == StateReady {
			e.State = StateUnloading
			ed.changed = true
		}
	}
	p.stats.Unloads++
	return true
}

func (p *Placer) canDrain(u *upstream, place *UpstreamPlacement, id entity.ModelID) bool {
	ready := false
	for i := range place.Entries {
		e := &place.Entries[i]
		if e.Model != id {
			continue
		}
		if e.State == StateLoading || len(p.unsettled(u, e)) > 0 && !u.rec.ChecksFence {
			return false
		}
		if e.Adapter == "" {
			ready = e.State == StateReady
		}
	}
	return ready
}

// startLoads starts the loads that the weight store allows, most valuable first.
func (p *Placer) startLoads() {
	if len(p.pending) == 0 {
		return
	}
	p.scans = 0
	free := p.storeFree()
	var waiting []*model
	for id := range p.pending {
		if m := p.models[id]; p.mayStart(m, free) {
			waiting = append(waiting, m)
		}
	}
	slices.SortFunc(waiting, p.compareLoads)
	p.planRoom()
	for _, m := range waiting {
		p.startLoad(m)
	}
	p.roomAhead()
}

// mayStart rules out, in constant time, the models for which startLoad could do nothing.
func (p *Placer) mayStart(m *model, storeFree bool) bool {
	if m.cfg == nil {
		return true
	}
	if m.writing != nil || m.editing != nil {
		return false
	}
	if !storeFree {
		return len(m.local) > 0
	}
	return !p.searchedInVain(m)
}

// searchedInVain says whether a search for an upstream failed lately and no room was freed since.
func (p *Placer) searchedInVain(m *model) bool {
	return m.triedAt == p.freed && p.now.Before(m.nextTry)
}

// compareLoads orders loads by class, then by the waiting requests that one replica releases,
// weighted by how long they have waited so that small queues are not starved, then by deadline.
func (p *Placer) compareLoads(a, b *model) int {
	if p.opt.Policy.FIFOLoads {
		return cmp.Or(a.waitSince.Compare(b.waitSince), cmp.Compare(a.id, b.id))
	}
	return cmp.Or(
		cmp.Compare(p.loadClass(a), p.loadClass(b)),
		cmp.Compare(p.released(b), p.released(a)),
		compareDeadlines(a.sum.deadline, b.sum.deadline),
		cmp.Compare(a.id, b.id),
	)
}

// loadClass orders interactive work before patient work and minimum replicas without work last.
func (p *Placer) loadClass(m *model) int {
	switch {
	case m.sum.interactive > 0:
		return 0
	case m.sum.waiting() > 0:
		return 1
	}
	return 2
}

// agingTime doubles the weight of waiting requests.
const agingTime = 2 * time.Second

func (p *Placer) released(m *model) float64 {
	waiting := m.sum.interactive
	if waiting == 0 {
		waiting = m.sum.patient
	}
	if m.cfg != nil {
		waiting = min(waiting, m.cfg.Slots)
	}
	return float64(waiting) * (1 + float64(p.now.Sub(m.waitSince))/float64(agingTime))
}

func compareDeadlines(a, b time.Time) int {
	switch {
	case a.IsZero() && b.IsZero():
		return 0
	case a.IsZero():
		return 1
	case b.IsZero():
		return -1
	}
	return a.Compare(b)
}

// startLoad adds one replica of the model if it is allowed and possible now.
func (p *Placer) startLoad(m *model) {
	c := p.count(m)
	if m.cfg == nil || len(c.active) >= m.want {
		delete(p.pending, m.id)
		return
	}
	if m.writing != nil || m.editing != nil || len(m.rec.Replicas) >= m.want+c.reserved {
		return
	}
	if !p.storeFree() {
		// Only a cached checkpoint can be loaded now.
		u := p.choose(m, c.active, m.local)
		if u != nil && u.source(m.id) != SourceRemote && !inDomain(c.active, u.rec.FailureDomain) {
			p.addReplica(m, u, u.source(m.id))
		}
		return
	}
	if p.searchedInVain(m) || p.scans >= maxScans {
		return
	}
	p.scans++
	if u := p.choose(m, c.active, p.upstreams); u != nil {
		p.addReplica(m, u, u.source(m.id))
		return
	}
	m.triedAt = p.freed
	m.nextTry = p.now.Add(choiceRetry)
	p.makeRoom(m)
}

// inDomain says whether one of the upstreams is in the failure domain. Otherwise a further replica
// waits for the weight store rather than join the domain of a former one.
func inDomain(active []*upstream, domain string) bool {
	return slices.ContainsFunc(active, func(u *upstream) bool { return u.rec.FailureDomain == domain })
}

// storeFree says whether the weight store allows another load now.
func (p *Placer) storeFree() bool {
	ws := p.site.WeightStore
	if ws.Parallel > 0 && p.remoteLoading+p.storeStarts >= ws.Parallel {
		return false
	}
	return !p.now.Before(p.nextLoad)
}

func (u *upstream) source(m entity.ModelID) string {
	switch s := u.rec.Checkpoints[m]; s {
	case SourceMemory, SourceDisk:
		return s
	}
	return SourceRemote
}

// eligible says whether the upstream may take a replica of the model, apart from free memory.
func (p *Placer) eligible(m *model, u *upstream) bool {
	if !u.listed || u.leaving() || u.rec.Kind != m.cfg.UpstreamKind {
		return false
	}
	if u.rec.Accelerators > 0 && u.rec.Accelerators < m.cfg.Accelerators {
		return false
	}
	if t, ok := u.refused[m.id]; ok && p.now.Before(t) {
		return false
	}
	return p.placeOf(u).find(m.id, "") == nil
}

// choose returns the best upstream with free memory. The first replica goes where it loads
// fastest; further ones go to other failure domains first.
func (p *Placer) choose(m *model, active []*upstream, from map[entity.UpstreamID]*upstream) *upstream {
	if len(from) == 0 {
		return nil
	}
	domains := map[string]int{}
	for _, u := range active {
		domains[u.rec.FailureDomain]++
	}
	var best *upstream
	var bestRank rank
	for _, u := range from {
		if u.writing != nil || !p.eligible(m, u) || u.freeBytes(p.placeOf(u)) < m.cfg.Bytes {
			continue
		}
		r := p.rank(m, u, domains)
		if best == nil || r.compare(bestRank) < 0 {
			best, bestRank = u, r
		}
	}
	return best
}

// rank is lower for better upstreams.
type rank struct {
	domain   int
	source   int
	entries  int
	hash     uint64
	upstream entity.UpstreamID
}

func (p *Placer) rank(m *model, u *upstream, domains map[string]int) rank {
	if p.opt.Policy.RandomUpstream {
		return rank{hash: p.opt.Rand.Uint64(), upstream: u.id}
	}
	return rank{
		domain:   domains[u.rec.FailureDomain],
		source:   sourceOrder(u.source(m.id)),
		entries:  len(p.placeOf(u).Entries),
		hash:     xxhash.Sum64String(string(m.id) + "/" + string(u.id)),
		upstream: u.id,
	}
}

func sourceOrder(source string) int {
	return slices.Index([]string{SourceMemory, SourceDisk, SourceRemote}, source)
}

func (r rank) compare(o rank) int {
	return cmp.Or(
		cmp.Compare(r.domain, o.domain),
		cmp.Compare(r.source, o.source),
		cmp.Compare(r.entries, o.entries),
		cmp.Compare(r.hash, o.hash),
		cmp.Compare(r.upstream, o.upstream),
	)
}

// addReplica lists a new entry with its load order in the upstream's and the model's record.
func (p *Placer) addReplica(m *model, u *upstream, source string) bool {
	ed := p.edit(u)
	if ed == nil {
		return false
	}
	rec := p.editModel(ed, m)
	if rec == nil {
		return false
	}
	e := p.addEntry(ed, Entry{Model: m.id, Bytes: m.cfg.Bytes, Source: source}, rec.Fence)
	rec.Fence = e.last().Fence
	rec.Replicas = append(rec.Replicas, u.id)
	rec.Decided = max(p.target(m), len(rec.Replicas))
	if source == SourceRemote {
		ed.storeLoads++
		p.storeStarts++
		p.starting[e.ID] = true
		p.noteStoreLoad(p.now)
	}
	p.stats.Loads++
	return true
}

func (p *Placer) addEntry(ed *edit, e Entry, minFence int64) *Entry {
	p.model(e.Model).editedAt = p.ticks
	e.ID = fmt.Sprintf("%016x", p.opt.Rand.Uint64())
	e.State = StateLoading
	ed.place.Entries = append(ed.place.Entries, e)
	added := &ed.place.Entries[len(ed.place.Entries)-1]
	p.newOrder(ed, added, minFence)
	return added
}
