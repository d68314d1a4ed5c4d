package placement

import (
	"math"
	"slices"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// NoLoadPossible is the load estimate of a model that no upstream can load.
const NoLoadPossible = time.Duration(math.MaxInt64)

// minEstimate is the shortest estimate for a load in progress; it allows for the delay of reports. With a value of
// 1 s, requests with shorter deadlines would be refused during a load of 300 ms.
const minEstimate = 200 * time.Millisecond

// Replica describes one replica of a model for the scheduling of requests.
type Replica struct {
	Upstream entity.UpstreamID
	Ready    bool
	// Draining is true when the replica must get no new requests.
	Draining bool
	Slots    int
	// Adapters lists the adapters that are ready on this replica.
	Adapters []entity.AdapterID
}

// Version returns a number that rises with every change of any model's replicas.
func (p *Placer) Version() uint64 { return p.version }

// ModelVersion returns the Version at which the model's replicas last changed.
func (p *Placer) ModelVersion(id entity.ModelID) uint64 {
	if m := p.models[id]; m != nil {
		return m.version
	}
	return 0
}

// Replicas returns the replicas of the model. If want names an adapter, a replica counts as ready only when
// that adapter is ready on it too.
func (p *Placer) Replicas(id entity.ModelID, want entity.AdapterID) []Replica {
	m := p.models[id]
	if m == nil || m.cfg == nil {
		return nil
	}
	out := make([]Replica, 0, len(m.rec.Replicas))
	for _, uid := range m.rec.Replicas {
		u := p.upstreams[uid]
		if u == nil || !u.inPlatformList {
			continue
		}
		i, ok := u.entryIndex[entryKey{id, ""}]
		if !ok {
			continue
		}
		r := p.replica(m, u, &u.placement.Entries[i])
		if want != "" && !slices.Contains(r.Adapters, want) {
			r.Ready = false
		}
		out = append(out, r)
	}
	return out
}

// replica describes the replica that belongs to the entry.
func (p *Placer) replica(m *model, u *upstream, e *Entry) Replica {
	r := Replica{Upstream: u.id, Slots: m.cfg.Slots}
	r.Draining = e.State == StateUnloading || u.leaving()
	r.Ready = p.isReady(u, e)
	for i := range u.placement.Entries {
		a := &u.placement.Entries[i]
		if a.Model == m.id && a.Adapter != "" && p.isReady(u, a) {
			r.Adapters = append(r.Adapters, a.Adapter)
		}
	}
	return r
}

// isReady reports whether the entry is ready according to the newest report. The record decides when there is
// no report or the report is older than the record.
func (p *Placer) isReady(u *upstream, e *Entry) bool {
	if e.State == StateUnloading {
		return false
	}
	if r := u.reportedEntry(e.Model, e.Adapter); r != nil {
		return r.State == StateReady && (e.State == StateReady || p.explainedByOrders(u, e, r))
	}
	if e.State != StateReady {
		return false
	}
	return !p.isLost(u, e)
}

// NextLoadEstimate returns the expected time until a replica of the model is ready. It is zero when one is
// ready and NoLoadPossible when no upstream can load the model.
func (p *Placer) NextLoadEstimate(id entity.ModelID, now time.Time) time.Duration {
	p.now = now
	m := p.models[id]
	if m == nil || m.cfg == nil || m.cfg.MaxReplicas == 0 {
		return NoLoadPossible
	}
	best := NoLoadPossible
	for _, uid := range m.rec.Replicas {
		u := p.upstreams[uid]
		if u == nil || !u.inPlatformList || u.leaving() {
			continue
		}
		e := u.placement.find(id, "")
		if e == nil || e.State == StateUnloading {
			continue
		}
		if p.isReady(u, e) {
			return 0
		}
		began := u.firstObserved[e.ID+e.State]
		best = min(best, p.remainingLoadTime(m, e.Source, now.Sub(began)))
	}
	if best != NoLoadPossible {
		return best
	}
	if !p.fitsAnywhere(m) {
		return NoLoadPossible
	}
	estimate := p.storeWait(m) + p.coldStart(m)
	if source := p.bestCachedSource(m); source != SourceRemote {
		estimate = min(estimate, p.loadTimeFrom(m, source))
	}
	return estimate
}

// bestCachedSource returns the fastest checkpoint source of the model on the upstreams that have enough free
// memory or can free it.
func (p *Placer) bestCachedSource(m *model) string {
	best := SourceRemote
	for _, u := range m.cachedUpstreams {
		if !p.eligible(m, u) {
			continue
		}
		if _, _, ok := p.victims(m, u); !ok {
			continue
		}
		if s := u.source(m.id); sourceIndex(s) < sourceIndex(best) {
			best = s
		}
	}
	return best
}

// fitsAnywhere reports whether the total memory of some available upstream is large enough for the model.
func (p *Placer) fitsAnywhere(m *model) bool {
	if m.fitsVersion == p.capacityVersion+1 {
		return m.fits
	}
	m.fitsVersion = p.capacityVersion + 1
	m.fits = false
	for _, u := range p.upstreams {
		if u.inPlatformList && !u.leaving() && u.rec.Kind == m.cfg.UpstreamKind && u.totalBytes() >= m.cfg.Bytes {
			m.fits = true
			break
		}
	}
	return m.fits
}

// storeWait estimates how long a load of the model waits for the weight store, which first serves the loads in
// progress and the waiting loads that compareLoads does not order after it.
func (p *Placer) storeWait(m *model) time.Duration {
	if p.site == nil {
		return 0
	}
	ahead := 0
	var work time.Duration
	for id := range p.pendingModels {
		other := p.models[id]
		if id == m.id || p.compareLoads(other, m) > 0 || p.searchFailedRecently(other) {
			continue
		}
		if other.cfg != nil && len(other.cachedUpstreams) > 0 && p.bestCachedSource(other) != SourceRemote {
			continue
		}
		ahead++
		work += p.coldStart(other)
	}
	ws := p.site.WeightStore
	wait := max(0, p.nextStoreLoad.Sub(p.now))
	if ws.LoadsPerSecond > 0 {
		wait += time.Duration(float64(ahead) / ws.LoadsPerSecond * float64(time.Second))
	}
	if ws.Parallel > 0 && p.remoteLoading+ahead >= ws.Parallel {
		// The loads in progress are half done on average.
		work += time.Duration(p.remoteLoading) * p.coldStart(m) / 2
		wait = max(wait, work/time.Duration(ws.Parallel))
	}
	return wait
}

// Status summarizes the state of placement for operators.
type Status struct {
	Decider        entity.HostID
	IsDecider      bool
	Models         []ModelStatus
	RemoteLoading  int
	AdapterLoading int
	UsedBytes      int64
	TotalBytes     int64
	// OwnUnsettled is the number of orders of this process that may still arrive.
	OwnUnsettled int
	// BlockedEntries is the number of unloading entries that have an order that may still arrive.
	BlockedEntries int
	// SlowLoads is the number of loads that take longer than config.Placement.LoadFactor times their hint.
	SlowLoads int
	Stats     Stats
}

// ModelStatus summarizes one model in a Status.
type ModelStatus struct {
	Model    entity.ModelID
	Decided  int
	Wanted   int
	Replicas []Replica
	Waiting  int
	Running  int
	// SlowLoads is the number of slow loads of this model.
	SlowLoads int
}

// Status returns a summary of the placement. Its cost grows with the number of models, upstreams and entries.
func (p *Placer) Status() Status {
	s := Status{
		Decider:        p.decider,
		IsDecider:      p.IsDecider(),
		RemoteLoading:  p.remoteLoading,
		AdapterLoading: p.adapterLoading,
		UsedBytes:      p.usedBytes,
		TotalBytes:     p.totalBytes,
		Stats:          p.stats,
	}
	for _, id := range sortedKeys(p.models) {
		m := p.models[id]
		slow := p.slowLoads(m)
		s.SlowLoads += slow
		s.Models = append(s.Models, ModelStatus{
			Model:    id,
			Decided:  m.rec.Decided,
			Wanted:   m.want,
			Replicas: p.Replicas(id, ""),
			Waiting:  m.sum.waiting(),
			Running:  m.sum.running,

			SlowLoads: slow,
		})
	}
	for _, u := range p.upstreams {
		p.countUnsettled(u, &s)
	}
	return s
}

// countUnsettled adds the unsettled orders and blocked entries of the upstream to the status.
func (p *Placer) countUnsettled(u *upstream, s *Status) {
	for i := range u.placement.Entries {
		e := &u.placement.Entries[i]
		keep := p.unsettled(u, e)
		for j := range keep {
			if p.isOwnOrder(&keep[j]) {
				s.OwnUnsettled++
			}
		}
		if len(keep) > 0 && e.State == StateUnloading {
			s.BlockedEntries++
		}
	}
}

// slowLoads returns the number of loads of the model for which isSlow is true.
func (p *Placer) slowLoads(m *model) int {
	n := 0
	for _, id := range m.rec.Replicas {
		u := p.upstreams[id]
		if u == nil || !u.inPlatformList {
			continue
		}
		e := u.placement.find(m.id, "")
		if e != nil && e.State == StateLoading && p.isSlow(m, p.now.Sub(u.firstObserved[e.ID+e.State])) {
			n++
		}
	}
	return n
}

// isSlow reports whether a load that has run for the given time has exceeded its hint times the load factor.
func (p *Placer) isSlow(m *model, elapsed time.Duration) bool {
	if m.cfg == nil || p.site == nil || p.site.Placement.LoadFactor <= 0 {
		return false
	}
	hint := time.Duration(m.cfg.ColdStartMillis) * time.Millisecond
	return hint > 0 && elapsed.Seconds() > p.site.Placement.LoadFactor*hint.Seconds()
}

// remainingLoadTime estimates the remaining time of a load in progress. An overdue load is expected to take
// as long again as it is overdue, a slow one as long again as it has run, so that the estimate grows with the
// delay.
func (p *Placer) remainingLoadTime(m *model, source string, elapsed time.Duration) time.Duration {
	left := p.loadTimeFrom(m, source) - elapsed
	if left < 0 {
		left = -left
	}
	if p.isSlow(m, elapsed) {
		left = elapsed
	}
	return max(left, minEstimate)
}
