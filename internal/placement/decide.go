package placement

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// decide adjusts the replicas of the changed models to their demand and starts the loads that are possible now.
func (p *Placer) decide() {
	for _, id := range takeKeys(p.dirtyModels) {
		p.evaluate(p.models[id])
	}
	if p.now.Before(p.kvRetryAt) {
		return
	}
	p.startLoads()
	p.startAdapterLoads()
}

// replicaCount summarizes the entries of one model.
type replicaCount struct {
	active         []*upstream // loading or ready on available upstreams
	ready          int         // ready on available upstreams
	leaving        []*upstream // loading or ready on upstreams that are leaving or removed
	leavingEntries int         // entries in any state on upstreams that are leaving or removed
	// unloading is true when an entry is draining or being unloaded.
	unloading bool
}

// countReplicas returns the summary of the model's entries. The result is cached until a replica of the model
// or the availability of an upstream changes. A model that is edited in this tick is counted each time.
func (p *Placer) countReplicas(m *model) replicaCount {
	if m.editedTick == p.ticks {
		return p.countEntries(m)
	}
	if at := [2]uint64{m.version, p.availabilityVersion}; !m.counted || m.countedAt != at {
		m.replicas = p.countEntries(m)
		m.counted = true
		m.countedAt = at
	}
	return m.replicas
}

// countEntries computes the summary that countReplicas caches.
func (p *Placer) countEntries(m *model) replicaCount {
	var c replicaCount
	for _, id := range m.rec.Replicas {
		u := p.upstreams[id]
		if u == nil {
			continue
		}
		if u.leaving() || !u.inPlatformList {
			c.leavingEntries++
		}
		e := p.editedPlacement(u).find(m.id, "")
		if e != nil && e.State == StateUnloading {
			c.unloading = true
		}
		if e == nil || e.State == StateUnloading {
			continue
		}
		if u.leaving() || !u.inPlatformList {
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

// editedPlacement returns the upstream's placement, including the changes of this tick.
func (p *Placer) editedPlacement(u *upstream) *UpstreamPlacement {
	if ed := p.edits[u.id]; ed != nil {
		return &ed.placement
	}
	return &u.placement
}

// decidedReplicas returns the replica count to record as decided: the wanted replicas plus the entries on
// upstreams that are leaving or removed, which are being replaced.
func (p *Placer) decidedReplicas(m *model) int {
	return m.want + p.countReplicas(m).leavingEntries
}

// evaluate updates the wanted number of replicas of one model. It adds the model to pendingModels when replicas are
// missing, and drains the replicas that are no longer needed.
func (p *Placer) evaluate(m *model) {
	m.refreshDeadline()
	p.updateWant(m)
	c := p.countReplicas(m)
	p.keepInheritedReplicas(m, &c)
	delete(p.pendingModels, m.id)
	switch {
	case len(c.active) < m.want:
		if !c.unloading || !p.cancelDrain(m) {
			p.pendingModels[m.id] = struct{}{}
		}
	case len(c.active) > m.want:
		p.drainExcess(m, c)
	}
	if len(c.leaving) > 0 && c.ready >= m.want {
		p.drainReplicas(m, c.leaving, len(c.leaving))
	}
	p.updatePendingAdapters(m)
}

// drainExcess drains the active replicas above the wanted count. It counts only ready replicas: draining a
// ready replica while another one is still loading would leave the model without any until that load ends.
func (p *Placer) drainExcess(m *model, c replicaCount) {
	if c.ready <= m.want {
		p.wakeModel(p.now.Add(drainGrace), m.id)
		return
	}
	p.drainReplicas(m, c.active, c.ready-m.want)
}

// keepInheritedReplicas keeps the replicas that an earlier decider loaded until every host has had time to send
// its demand to this host.
func (p *Placer) keepInheritedReplicas(m *model, c *replicaCount) {
	if m.cfg == nil || p.now.After(p.deciderSince.Add(demandTTL)) {
		return
	}
	keep := min(len(c.active), m.cfg.MaxReplicas)
	if keep <= m.want {
		return
	}
	m.want = keep
	m.lastFullyNeeded = p.now
	m.lastDemandAt = p.now
	p.wakeModel(p.now.Add(p.holdTime()), m.id)
}

// cancelDrain makes a draining replica ready again, which is faster than a new load. When an unload order is recorded
// but has had no effect for 2 * resendAfter, it adds a load order instead; otherwise the stuck unload would block the
// model. It reports whether it changed a replica.
func (p *Placer) cancelDrain(m *model) bool {
	for _, id := range m.rec.Replicas {
		u := p.upstreams[id]
		if u == nil || u.leaving() || !u.inPlatformList {
			continue
		}
		e := u.placement.find(m.id, "")
		if e == nil || e.State != StateUnloading {
			continue
		}
		ordered := e.unloadOrdered()
		stuckAt := u.firstObserved[e.ID+StateUnloading].Add(2 * resendAfter)
		if ordered && p.now.Before(stuckAt) {
			p.wakeModel(stuckAt, m.id)
			continue
		}
		ed := p.edit(u)
		if ed == nil {
			continue
		}
		e = ed.placement.find(m.id, "")
		if e == nil || e.State != StateUnloading || e.unloadOrdered() != ordered {
			continue
		}
		if ordered {
			e.State = StateLoading
			e.Source = u.source(m.id)
			p.addOrder(ed, e)
			return true
		}
		e.State = StateReady
		ed.changed = true
		return true
	}
	return false
}

// drainReplicas drains n of the given replicas, those with the fewest running requests first. It tries again
// after drainGrace when fewer could be drained.
func (p *Placer) drainReplicas(m *model, from []*upstream, n int) {
	ordered := slices.Clone(from)
	slices.SortFunc(ordered, func(a, b *upstream) int {
		return cmp.Or(cmp.Compare(a.runningRequests(m.id), b.runningRequests(m.id)), cmp.Compare(a.id, b.id))
	})
	for _, u := range ordered {
		if n == 0 {
			return
		}
		if p.drainReplica(u, m.id) {
			n--
		}
	}
	if n > 0 {
		p.wakeModel(p.now.Add(drainGrace), m.id)
	}
}

// runningRequests returns the number of running requests of the model in the newest report.
func (u *upstream) runningRequests(m entity.ModelID) int {
	if r := u.reportedEntry(m, ""); r != nil {
		return r.Running
	}
	return 0
}

// drainReplica marks a ready replica and its adapters as unloading and reports whether it did. It leaves an
// entry that is still loading, or whose earlier orders can still arrive, as it is: the memory of such an
// entry could not be used for anything else.
func (p *Placer) drainReplica(u *upstream, id entity.ModelID) bool {
	ed := p.edit(u)
	if ed == nil || !p.canDrain(u, &ed.placement, id) {
		return false
	}
	for i := range ed.placement.Entries {
		e := &ed.placement.Entries[i]
		if e.Model == id && e.State == StateReady {
			e.State = StateUnloading
			ed.changed = true
		}
	}
	p.stats.Unloads++
	return true
}

// canDrain reports whether the upstream's replica of the model is ready and no entry of the model is loading
// or has an order that may still take effect.
func (p *Placer) canDrain(u *upstream, placement *UpstreamPlacement, id entity.ModelID) bool {
	ready := false
	for i := range placement.Entries {
		e := &placement.Entries[i]
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

// startLoads starts the loads that the weight store allows, in the order of compareLoads.
func (p *Placer) startLoads() {
	if len(p.pendingModels) == 0 {
		return
	}
	p.searches = 0
	free := p.storeAvailable()
	var waiting []*model
	for id := range p.pendingModels {
		if m := p.models[id]; p.mayStartLoad(m, free) {
			waiting = append(waiting, m)
		}
	}
	slices.SortFunc(waiting, p.compareLoads)
	p.sumPlannedBytes()
	for _, m := range waiting {
		p.startLoad(m)
	}
	p.freeMemoryAhead()
}

// mayStartLoad reports, in constant time, whether startLoad could do anything for the model.
func (p *Placer) mayStartLoad(m *model, storeAvailable bool) bool {
	if m.cfg == nil {
		return true
	}
	if m.writing != nil || m.editing != nil {
		return false
	}
	if !storeAvailable {
		return len(m.cachedUpstreams) > 0
	}
	return !p.searchFailedRecently(m)
}

// searchFailedRecently reports whether a recent search for an upstream failed and no memory was freed since.
func (p *Placer) searchFailedRecently(m *model) bool {
	return m.searchedVersion == p.freedVersion && p.now.Before(m.nextSearch)
}

// compareLoads orders loads by class, then by the number of waiting requests that one replica can serve, then by
// deadline. The number of requests is weighted by their waiting time, because small queues would starve otherwise.
func (p *Placer) compareLoads(a, b *model) int {
	if p.opt.Policy.FIFOLoads {
		return cmp.Or(a.waitingSince.Compare(b.waitingSince), cmp.Compare(a.id, b.id))
	}
	return cmp.Or(
		cmp.Compare(p.loadClass(a), p.loadClass(b)),
		cmp.Compare(p.loadBenefit(b), p.loadBenefit(a)),
		compareDeadlines(a.sum.deadline, b.sum.deadline),
		cmp.Compare(a.id, b.id),
	)
}

// loadClass returns 0 for models with waiting interactive requests, 1 for models with waiting patient
// requests only and 2 for models that only need their minimum of replicas.
func (p *Placer) loadClass(m *model) int {
	switch {
	case m.sum.interactive > 0:
		return 0
	case m.sum.waiting() > 0:
		return 1
	}
	return 2
}

// agingTime is the waiting time that doubles the weight of waiting requests.
const agingTime = 2 * time.Second

// loadBenefit returns the number of waiting requests that one replica of the model can serve, weighted by the time
// since requests of the model began to wait.
func (p *Placer) loadBenefit(m *model) float64 {
	waiting := m.sum.interactive
	if waiting == 0 {
		waiting = m.sum.patient
	}
	if m.cfg != nil {
		waiting = min(waiting, m.cfg.Slots)
	}
	return float64(waiting) * (1 + float64(p.now.Sub(m.waitingSince))/float64(agingTime))
}

// compareDeadlines orders deadlines from early to late; the zero time means no deadline and comes last.
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

// startLoad adds one replica of the model if the limits allow it and an upstream has enough free memory.
// Otherwise it may start to free memory for the model.
func (p *Placer) startLoad(m *model) {
	c := p.countReplicas(m)
	if m.cfg == nil || len(c.active) >= m.want {
		delete(p.pendingModels, m.id)
		return
	}
	if m.writing != nil || m.editing != nil || len(m.rec.Replicas) >= m.want+c.leavingEntries {
		return
	}
	if !p.storeAvailable() {
		// The weight store is busy, so only a cached checkpoint can be loaded now.
		u := p.chooseUpstream(m, c.active, m.cachedUpstreams)
		if u != nil && u.source(m.id) != SourceRemote && !anyInDomain(c.active, u.rec.FailureDomain) {
			p.addReplica(m, u, u.source(m.id))
		}
		return
	}
	if p.searchFailedRecently(m) || p.searches >= maxSearches {
		return
	}
	p.searches++
	if u := p.chooseUpstream(m, c.active, p.upstreams); u != nil {
		p.addReplica(m, u, u.source(m.id))
		return
	}
	m.searchedVersion = p.freedVersion
	m.nextSearch = p.now.Add(searchRetry)
	p.freeMemory(m)
}

// anyInDomain reports whether one of the upstreams is in the failure domain. A load from a cached checkpoint
// is not started in a domain that already has a replica; the additional replica waits for the weight store
// instead.
func anyInDomain(active []*upstream, domain string) bool {
	return slices.ContainsFunc(active, func(u *upstream) bool { return u.rec.FailureDomain == domain })
}

// storeAvailable reports whether the weight store allows another load now.
func (p *Placer) storeAvailable() bool {
	ws := p.site.WeightStore
	if ws.Parallel > 0 && p.remoteLoading+p.unconfirmedStoreLoads >= ws.Parallel {
		return false
	}
	return !p.now.Before(p.nextStoreLoad)
}

// source returns where the upstream would load the model's checkpoint from.
func (u *upstream) source(m entity.ModelID) string {
	switch s := u.rec.Checkpoints[m]; s {
	case SourceMemory, SourceDisk:
		return s
	}
	return SourceRemote
}

// eligible reports whether the upstream may load a replica of the model. It does not check free memory.
func (p *Placer) eligible(m *model, u *upstream) bool {
	if !u.inPlatformList || u.leaving() || u.rec.Kind != m.cfg.UpstreamKind {
		return false
	}
	if u.rec.Accelerators > 0 && u.rec.Accelerators < m.cfg.Accelerators {
		return false
	}
	if t, ok := u.refused[m.id]; ok && p.now.Before(t) {
		return false
	}
	return p.editedPlacement(u).find(m.id, "") == nil
}

// chooseUpstream returns the best eligible upstream with enough free memory, or nil. The first replica goes
// to the upstream that loads it fastest; additional replicas go to other failure domains first.
func (p *Placer) chooseUpstream(m *model, active []*upstream, from map[entity.UpstreamID]*upstream) *upstream {
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
		if u.writing != nil || !p.eligible(m, u) || u.freeBytes(p.editedPlacement(u)) < m.cfg.Bytes {
			continue
		}
		r := p.rank(m, u, domains)
		if best == nil || r.compare(bestRank) < 0 {
			best, bestRank = u, r
		}
	}
	return best
}

// rank orders the upstreams that could load a model; the lowest rank is the best.
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
		source:   sourceIndex(u.source(m.id)),
		entries:  len(p.editedPlacement(u).Entries),
		hash:     xxhash.Sum64String(string(m.id) + "/" + string(u.id)),
		upstream: u.id,
	}
}

// sourceIndex returns the position of the source in the order from fastest to slowest, or -1 if it is unknown.
func sourceIndex(source string) int {
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

// addReplica adds a replica to the records of the upstream and the model: a new entry with its load order. It
// reports whether the records could be edited.
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
	rec.Decided = max(p.decidedReplicas(m), len(rec.Replicas))
	if source == SourceRemote {
		ed.storeLoads++
		p.unconfirmedStoreLoads++
		p.unconfirmedLoads[e.ID] = true
		p.recordStoreLoad(p.now)
	}
	p.stats.Loads++
	return true
}

// addEntry adds a loading entry with a load order to the edited placement.
func (p *Placer) addEntry(ed *edit, e Entry, minFence int64) *Entry {
	p.model(e.Model).editedTick = p.ticks
	e.ID = fmt.Sprintf("%016x", p.opt.Rand.Uint64())
	e.State = StateLoading
	ed.placement.Entries = append(ed.placement.Entries, e)
	added := &ed.placement.Entries[len(ed.placement.Entries)-1]
	p.newOrder(ed, added, minFence)
	return added
}
