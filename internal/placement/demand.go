package placement

import (
	"math"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

// idleRecheck is the longest time between two evaluations of an idle model, because the memory pressure may change
// in the meantime.
const idleRecheck = 10 * time.Second

// demandSums is the number of requests by class and state, and the earliest deadline of the waiting ones.
type demandSums struct {
	interactive int
	patient     int
	running     int
	deadline    time.Time
}

func (s demandSums) total() int   { return s.interactive + s.patient + s.running }
func (s demandSums) waiting() int { return s.interactive + s.patient }

func (s *demandSums) add(r *demandRow, sign int) {
	s.interactive += sign * r.interactive
	s.patient += sign * r.patient
	s.running += sign * r.running
}

// demandRow is the demand of one host for a model or one of its adapters.
type demandRow struct {
	demandSums
	adapter entity.AdapterID
}

// hostDemand records when a host last reported its demand and for which models it has requests.
type hostDemand struct {
	lastReportAt time.Time
	models       map[entity.ModelID]struct{}
}

// HandleDemand replaces the host's demand for the listed models. If the list is complete, the host has no demand for
// the models that it does not list; otherwise its earlier demand for these models stays valid. The message that a
// model became idle can be lost, and a later complete list then removes the demand for the model. A list that is not
// complete and has no models only shows that the host is running.
func (p *Placer) HandleDemand(from entity.HostID, d wire.Demand, now time.Time) {
	p.now = now
	h := p.demand[from]
	if h == nil {
		h = &hostDemand{models: map[entity.ModelID]struct{}{}}
		p.demand[from] = h
	}
	h.lastReportAt = now
	byModel := make(map[entity.ModelID][]demandRow, len(d.Models))
	for i := range d.Models {
		x := &d.Models[i]
		r := demandRow{adapter: x.Adapter}
		r.interactive = max(0, x.WaitingInteractive)
		r.patient = max(0, x.WaitingPatient)
		r.running = max(0, x.Running)
		if r.waiting() > 0 {
			r.deadline = now.Add(x.OldestDeadline)
		}
		byModel[x.Model] = append(byModel[x.Model], r)
	}
	if d.Complete {
		for id := range h.models {
			if _, listed := byModel[id]; !listed {
				p.replaceDemand(p.model(id), from, nil)
			}
		}
	}
	for id, rows := range byModel {
		p.replaceDemand(p.model(id), from, rows)
	}
}

// replaceDemand replaces the demand of one host for the model.
func (p *Placer) replaceDemand(m *model, from entity.HostID, rows []demandRow) {
	before := m.sum
	p.addRows(m, m.demand[from], -1)
	kept := rows[:0]
	for i := range rows {
		if rows[i].total() > 0 {
			kept = append(kept, rows[i])
		}
	}
	p.addRows(m, kept, 1)
	if len(kept) == 0 {
		delete(m.demand, from)
		delete(p.demand[from].models, m.id)
	} else {
		m.demand[from] = kept
		p.demand[from].models[m.id] = struct{}{}
	}
	if before.total() == 0 && m.sum.total() > 0 {
		p.recordArrival(m)
	}
	if before.waiting() == 0 && m.sum.waiting() > 0 {
		m.waitingSince = p.now
	}
	if before.total() > 0 || m.sum.total() > 0 {
		m.lastDemandAt = p.now
	}
	p.markModelDirty(m.id)
}

// addRows adds the rows to the sums of the model and its adapters, or subtracts them when sign is -1.
func (p *Placer) addRows(m *model, rows []demandRow, sign int) {
	for i := range rows {
		r := &rows[i]
		m.sum.add(r, sign)
		if r.adapter == "" {
			continue
		}
		a := m.adapters[r.adapter]
		if a == nil {
			a = &adapter{}
			m.adapters[r.adapter] = a
		}
		a.sum.add(r, sign)
		a.lastUsed = p.now
		if a.sum.total() > 0 {
			m.activeAdapters[r.adapter] = struct{}{}
		} else {
			delete(m.activeAdapters, r.adapter)
		}
	}
}

// expireDemand removes the demand of hosts that have sent no report for demandTTL. Such a host may still be
// registered; it sends its demand again when its connection is restored.
func (p *Placer) expireDemand() {
	for host, h := range p.demand {
		if p.now.Sub(h.lastReportAt) < demandTTL {
			continue
		}
		for id := range h.models {
			p.replaceDemand(p.model(id), host, nil)
		}
		delete(p.demand, host)
	}
}

// arrivalWindow returns the time constant with which the arrival rate of a model decays.
func (p *Placer) arrivalWindow() time.Duration {
	return max(time.Duration(p.site.Placement.IdleMillis)*time.Millisecond, time.Second)
}

// recordArrival counts one arrival of demand at an idle model.
func (p *Placer) recordArrival(m *model) {
	if p.site == nil {
		return
	}
	m.arrivals = p.decayedArrivals(m) + 1
	m.arrivalsAt = p.now
}

// decayedArrivals returns the model's arrivals, decayed to the current time.
func (p *Placer) decayedArrivals(m *model) float64 {
	age := p.now.Sub(m.arrivalsAt)
	return m.arrivals * math.Exp(-float64(age)/float64(p.arrivalWindow()))
}

// coldStart returns the expected time of a load from the weight store.
func (p *Placer) coldStart(m *model) time.Duration { return p.loadTimeFrom(m, SourceRemote) }

// loadTimeHalfLife is the time in which half of the excess of a load time over its hint is forgotten while no load is
// observed. Requests that a long load time keeps out cause no load that could correct it.
const loadTimeHalfLife = 10 * time.Minute

// loadTimeFrom returns the model's smoothed load time from the source. Before the first such load it returns
// the configured hint, multiplied by the ratio of load time to hint that other models had with this source.
func (p *Placer) loadTimeFrom(m *model, source string) time.Duration {
	i := max(0, sourceIndex(source))
	if m.cfg == nil {
		return m.loadTimes[i]
	}
	hint := time.Duration(m.cfg.ColdStartMillis) * time.Millisecond
	switch {
	case m.loadTimes[i] > 0:
		excess := float64(m.loadTimes[i]-hint) * p.remembered(m.loadedAt[i])
		return hint + time.Duration(excess)
	case p.loadRatios[i] > 0:
		ratio := 1 + (p.loadRatios[i]-1)*p.remembered(p.ratiosAt[i])
		return time.Duration(ratio * float64(hint))
	}
	return hint
}

// remembered returns the share of what was observed at a point in time that is not forgotten yet.
func (p *Placer) remembered(at time.Time) float64 {
	return math.Exp2(-p.now.Sub(at).Seconds() / loadTimeHalfLife.Seconds())
}

// recordLoadTime updates the load times used for estimates when a load has ended. The time of a load whose order was
// sent again, because it got no answer or the upstream had restarted, says nothing about other loads.
func (p *Placer) recordLoadTime(e *Entry, took time.Duration) {
	if e.OrderCount > 1 {
		return
	}
	m := p.model(e.Model)
	i := max(0, sourceIndex(e.Source))
	// With a weight of a quarter for each new value, the estimate follows a slower weight store within a few
	// loads.
	m.loadTimes[i] = smooth(m.loadTimes[i], took)
	m.loadedAt[i] = p.now
	if m.cfg == nil || m.cfg.ColdStartMillis <= 0 {
		return
	}
	hint := time.Duration(m.cfg.ColdStartMillis) * time.Millisecond
	p.loadRatios[i] = smooth(p.loadRatios[i], float64(took)/float64(hint))
	p.ratiosAt[i] = p.now
}

// smooth returns the exponential moving average of old and value; an old value of 0 means none.
func smooth[T time.Duration | float64](old, value T) T {
	if old == 0 {
		return value
	}
	return old + (value-old)/4
}

// keepValue returns the cold-start time that keeping the model loaded is expected to avoid, in seconds for each
// second that the model stays loaded.
func (p *Placer) keepValue(m *model) float64 {
	rate := p.decayedArrivals(m) / p.arrivalWindow().Seconds()
	return rate * p.coldStart(m).Seconds()
}

// memoryPressure returns the price of keeping a model loaded, from 0 to 1 for each second, to compare with keepValue.
// It is 0 while at most FreeMemoryShare of all memory is reserved and rises to 1 when all of it is reserved.
func (p *Placer) memoryPressure() float64 {
	if p.totalBytes <= 0 || p.site == nil {
		return 1
	}
	used := float64(p.usedBytes) / float64(p.totalBytes)
	freeShare := p.site.Placement.FreeMemoryShare
	return min(1, max(0, (used-freeShare)/(1-freeShare)))
}

// holdTime returns the minimum time between two decisions in opposite directions for one model.
func (p *Placer) holdTime() time.Duration {
	return time.Duration(p.site.Placement.HoldMillis) * time.Millisecond
}

// refreshDeadline updates the earliest deadline of the model's waiting requests.
func (m *model) refreshDeadline() {
	m.sum.deadline = time.Time{}
	for _, rows := range m.demand {
		for i := range rows {
			d := rows[i].deadline
			if !d.IsZero() && (m.sum.deadline.IsZero() || d.Before(m.sum.deadline)) {
				m.sum.deadline = d
			}
		}
	}
}

// updateWant sets the wanted number of replicas from demand. A first replica for interactive demand is wanted at
// once; in all other cases two decisions in opposite directions are at least the hold time apart.
func (p *Placer) updateWant(m *model) {
	if m.cfg == nil {
		m.want = 0
		return
	}
	slots := max(1, m.cfg.Slots)
	need := (m.sum.total() + slots - 1) / slots
	if p.opt.Policy.ReplicaPerHost {
		need = max(need, len(m.demand))
	}
	need = min(max(need, m.cfg.MinReplicas), m.cfg.MaxReplicas)
	if need >= m.want {
		m.lastFullyNeeded = p.now
	}
	switch {
	case need > m.want:
		p.raiseWant(m, need)
	case need < m.want:
		p.lowerWant(m, need)
	}
}

// raiseWant raises the wanted number of replicas, or schedules another evaluation of the model for the end of the
// hold time.
func (p *Placer) raiseWant(m *model, need int) {
	holdEnd := m.lastLowered.Add(p.holdTime())
	if (m.want > 0 || m.sum.interactive == 0) && p.now.Before(holdEnd) {
		p.wakeModel(holdEnd, m.id)
		return
	}
	m.want = need
	m.lastRaised = p.now
}

// lowerWant lowers the wanted number of replicas once fewer have been enough for the hold time. The last replica of an
// idle model is kept until shouldUnloadIdle returns true.
func (p *Placer) lowerWant(m *model, need int) {
	if p.opt.Policy.NeverUnload {
		return
	}
	since := m.lastFullyNeeded
	if m.lastRaised.After(since) {
		since = m.lastRaised
	}
	due := since.Add(p.holdTime())
	if p.now.Before(due) {
		p.wakeModel(due, m.id)
		return
	}
	if need > 0 {
		m.want = need
		m.lastLowered = p.now
		return
	}
	if m.want > 1 {
		m.want = 1
		m.lastLowered = p.now
	}
	if p.shouldUnloadIdle(m) {
		m.want = 0
		m.lastLowered = p.now
	}
}

// shouldUnloadIdle reports whether the last replica of an idle model costs more than it is expected to save.
// If not, it schedules the next evaluation of the model.
func (p *Placer) shouldUnloadIdle(m *model) bool {
	latest := m.lastDemandAt.Add(p.arrivalWindow())
	if !p.now.Before(latest) {
		return true
	}
	value, price := p.keepValue(m), p.memoryPressure()
	if value < price {
		return true
	}
	next := p.now.Add(idleRecheck)
	if price > 0 {
		// The value decays exponentially, so the time at which it falls below the price can be computed.
		after := math.Log(value/price) * float64(p.arrivalWindow())
		next = p.now.Add(min(time.Duration(min(after, float64(idleRecheck)))+timerStep, idleRecheck))
	}
	if next.After(latest) {
		next = latest
	}
	p.wakeModel(next, m.id)
	return false
}
