package placement

import (
	"math"
	"slices"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// NoLoad is the estimate for a model that no upstream can take.
const NoLoad = time.Duration(math.MaxInt64)

// minEstimate is the shortest estimate for a load in progress, because reports arrive with a lag.
// With 1 s, requests with shorter deadlines were refused while a load of 300 ms ran.
const minEstimate = 200 * time.Millisecond

// Replica is one replica of a model as the router sees it.
type Replica struct {
	Upstream entity.UpstreamID
	Ready    bool
	// Draining replicas take no new work.
	Draining bool
	Slots    int
	// Adapters lists the adapters that are ready on this replica.
	Adapters []entity.AdapterID
}

// Version rises with every change of any model's replicas.
func (p *Placer) Version() uint64 { return p.version }

// ModelVersion is the Version at which the model's replicas last changed.
func (p *Placer) ModelVersion(id entity.ModelID) uint64 {
	if m := p.models[id]; m != nil {
		return m.version
	}
	return 0
}

// Replicas lists the replicas of the model. With an adapter, a replica is ready only when it has
// the adapter as well.
func (p *Placer) Replicas(id entity.ModelID, want entity.AdapterID) []Replica {
	m := p.models[id]
	if m == nil || m.cfg == nil {
		return nil
	}
	out := make([]Replica, 0, len(m.rec.Replicas))
	for _, uid := range m.rec.Replicas {
		u := p.upstreams[uid]
		if u == nil || !u.listed {
			continue
		}
		i, ok := u.byModel[entryKey{id, ""}]
		if !ok {
			continue
		}
		r := p.replica(m, u, &u.place.Entries[i])
		if want != "" && !slices.Contains(r.Adapters, want) {
			r.Ready = false
		}
		out = append(out, r)
	}
	return out
}

func (p *Placer) replica(m *model, u *upstream, e *Entry) Replica {
	r := Replica{Upstream: u.id, Slots: m.cfg.Slots}
	r.Draining = e.State == StateUnloading || u.leaving()
	r.Ready = p.isReady(u, e)
	for i := range u.place.Entries {
		a := &u.place.Entries[i]
		if a.Model == m.id && a.Adapter != "" && p.isReady(u, a) {
			r.Adapters = append(r.Adapters, a.Adapter)
		}
	}
	return r
}

// isReady trusts the newest report; without one, or with one that is older than the record, the record.
func (p *Placer) isReady(u *upstream, e *Entry) bool {
	if e.State == StateUnloading {
		return false
	}
	if r := u.reported(e.Model, e.Adapter); r != nil {
		return r.State == StateReady && (e.State == StateReady || p.explains(u, e, r))
	}
	if e.State != StateReady {
		return false
	}
	return !p.lost(u, e)
}

// NextLoadEstimate is the expected time until a replica of the model is ready: zero when one is,
// NoLoad when no upstream can take it.
func (p *Placer) NextLoadEstimate(id entity.ModelID, now time.Time) time.Duration {
	p.now = now
	m := p.models[id]
	if m == nil || m.cfg == nil || m.cfg.MaxReplicas == 0 {
		return NoLoad
	}
	best := NoLoad
	for _, uid := range m.rec.Replicas {
		u := p.upstreams[uid]
		if u == nil || !u.listed || u.leaving() {
			continue
		}
		e := u.place.find(id, "")
		if e == nil || e.State == StateUnloading {
			continue
		}
		if p.isReady(u, e) {
			return 0
		}
		began := u.since[e.ID+e.State]
		best = min(best, p.loadLeft(m, e.Source, now.Sub(began)))
	}
	if best != NoLoad {
		return best
	}
	if !p.fitsAnywhere(m) {
		return NoLoad
	}
	estimate := p.storeWait(m) + p.coldStart(m)
	if source := p.cachedSource(m); source != SourceRemote {
		estimate = min(estimate, p.loadTimeFrom(m, source))
	}
	return estimate
}

// cachedSource is the best place from which an upstream that has the memory, or can free it, can
// load the model.
func (p *Placer) cachedSource(m *model) string {
	best := SourceRemote
	for _, u := range m.local {
		if !p.eligible(m, u) {
			continue
		}
		if _, _, ok := p.victims(m, u); !ok {
			continue
		}
		if s := u.source(m.id); sourceOrder(s) < sourceOrder(best) {
			best = s
		}
	}
	return best
}

func (p *Placer) fitsAnywhere(m *model) bool {
	if m.fitsAt == p.capacity+1 {
		return m.fits
	}
	m.fitsAt = p.capacity + 1
	m.fits = false
	for _, u := range p.upstreams {
		if u.listed && !u.leaving() && u.rec.Kind == m.cfg.UpstreamKind && u.totalBytes() >= m.cfg.Bytes {
			m.fits = true
			break
		}
	}
	return m.fits
}

// storeWait estimates the wait for the weight store behind the loads in progress and those that come first.
func (p *Placer) storeWait(m *model) time.Duration {
	if p.site == nil {
		return 0
	}
	ahead := 0
	var work time.Duration
	for id := range p.pending {
		other := p.models[id]
		if id == m.id || p.compareLoads(other, m) > 0 || p.searchedInVain(other) {
			continue
		}
		if other.cfg != nil && len(other.local) > 0 && p.cachedSource(other) != SourceRemote {
			continue
		}
		ahead++
		work += p.coldStart(other)
	}
	ws := p.site.WeightStore
	wait := max(0, p.nextLoad.Sub(p.now))
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

// Status is a summary for an operator.
type Status struct {
	Decider        entity.HostID
	IsDecider      bool
	Models         []ModelStatus
	RemoteLoading  int
	AdapterLoading int
	UsedBytes      int64
	TotalBytes     int64
	// OwnUnsettled counts the orders of this process that may still arrive.
	OwnUnsettled int
	// BlockedEntries counts entries that wait for proof that an order cannot arrive.
	BlockedEntries int
	// SlowLoads counts the loads that take longer than config.Placement.LoadFactor times their hint.
	SlowLoads int
	Stats     Stats
}

// ModelStatus is one model of a Status.
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

// Status summarizes the tables. Its cost grows with their size.
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
		p.addUnsettled(u, &s)
	}
	return s
}

func (p *Placer) addUnsettled(u *upstream, s *Status) {
	for i := range u.place.Entries {
		e := &u.place.Entries[i]
		keep := p.unsettled(u, e)
		for j := range keep {
			if p.owns(&keep[j]) {
				s.OwnUnsettled++
			}
		}
		if len(keep) > 0 && e.State == StateUnloading {
			s.BlockedEntries++
		}
	}
}

// slowLoads counts the loads of the model that take longer than allowed.
func (p *Placer) slowLoads(m *model) int {
	n := 0
	for _, id := range m.rec.Replicas {
		u := p.upstreams[id]
		if u == nil || !u.listed {
			continue
		}
		e := u.place.find(m.id, "")
		if e != nil && e.State == StateLoading && p.isSlow(m, p.now.Sub(u.since[e.ID+e.State])) {
			n++
		}
	}
	return n
}

// isSlow says whether a load that has run for the given time exceeds its hint by the load factor.
func (p *Placer) isSlow(m *model, elapsed time.Duration) bool {
	if m.cfg == nil || p.site == nil || p.site.Placement.LoadFactor <= 0 {
		return false
	}
	hint := time.Duration(m.cfg.ColdStartMillis) * time.Millisecond
	return hint > 0 && elapsed.Seconds() > p.site.Placement.LoadFactor*hint.Seconds()
}

// loadLeft estimates the rest of a load in progress. A load that is overdue is expected to run on
// for as long as it is late, and a slow one for as long as it has run, so that the estimate grows.
func (p *Placer) loadLeft(m *model, source string, elapsed time.Duration) time.Duration {
	left := p.loadTimeFrom(m, source) - elapsed
	if left < 0 {
		left = -left
	}
	if p.isSlow(m, elapsed) {
		left = elapsed
	}
	return max(left, minEstimate)
}
