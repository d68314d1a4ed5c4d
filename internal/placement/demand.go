package placement

import (
	"math"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

// idleRecheck bounds the time between two evaluations of an idle model, because the memory pressure changes.
const idleRecheck = 10 * time.Second

// sums is demand added up over hosts.
type sums struct {
	interactive int
	patient     int
	running     int
	deadline    time.Time
}

func (s sums) total() int   { return s.interactive + s.patient + s.running }
func (s sums) waiting() int { return s.interactive + s.patient }

func (s *sums) add(r *demandRow, sign int) {
	s.interactive += sign * r.interactive
	s.patient += sign * r.patient
	s.running += sign * r.running
}

type demandRow struct {
	sums
	adapter entity.AdapterID
}

// hostDemand says when a host was last heard and for which models it has work.
type hostDemand struct {
	heardAt time.Time
	models  map[entity.ModelID]struct{}
}

// HandleDemand replaces the host's sums for the listed models. A list without models says that the
// host is alive; its former sums still hold unless the list is complete. The report of a model that
// became idle can be lost, so only a complete list ends sums for certain.
func (p *Placer) HandleDemand(from entity.HostID, d wire.Demand, now time.Time) {
	p.now = now
	h := p.demand[from]
	if h == nil {
		h = &hostDemand{models: map[entity.ModelID]struct{}{}}
		p.demand[from] = h
	}
	h.heardAt = now
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
	if d.All {
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
		p.noteArrival(m)
	}
	if before.waiting() == 0 && m.sum.waiting() > 0 {
		m.waitSince = p.now
	}
	if before.total() > 0 || m.sum.total() > 0 {
		m.lastBusy = p.now
	}
	p.touchModel(m.id)
}

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

// dropSilent forgets the sums of hosts that were not heard for demandTTL. A host that is still
// registered but silent sends its sums again when it is back.
func (p *Placer) dropSilent() {
	for host, h := range p.demand {
		if p.now.Sub(h.heardAt) < demandTTL {
			continue
		}
		for id := range h.models {
			p.replaceDemand(p.model(id), host, nil)
		}
		delete(p.demand, host)
	}
}

// returnWindow is the time constant of the arrival rate.
func (p *Placer) returnWindow() time.Duration {
	return max(time.Duration(p.site.Placement.IdleMillis)*time.Millisecond, time.Second)
}

// noteArrival counts one return of demand to an idle model.
func (p *Placer) noteArrival(m *model) {
	if p.site == nil {
		return
	}
	m.arrivals = p.decayedArrivals(m) + 1
	m.arrivalsAt = p.now
}

func (p *Placer) decayedArrivals(m *model) float64 {
	age := p.now.Sub(m.arrivalsAt)
	return m.arrivals * math.Exp(-float64(age)/float64(p.returnWindow()))
}

// coldStart is the expected time of a load from the weight store.
func (p *Placer) coldStart(m *model) time.Duration { return p.loadTimeFrom(m, SourceRemote) }

// loadTimeFrom is the measured load time or else the hint, corrected by what other models' loads
// from the same place took in relation to theirs.
func (p *Placer) loadTimeFrom(m *model, source string) time.Duration {
	i := max(0, sourceOrder(source))
	if m.loadTimes[i] > 0 {
		return m.loadTimes[i]
	}
	if m.cfg == nil {
		return 0
	}
	hint := time.Duration(m.cfg.ColdStartMillis) * time.Millisecond
	if p.loadRatios[i] > 0 {
		return time.Duration(p.loadRatios[i] * float64(hint))
	}
	return hint
}

// noteLoadTime updates the load times used for estimates when a load has ended.
func (p *Placer) noteLoadTime(e *Entry, took time.Duration) {
	m := p.model(e.Model)
	i := max(0, sourceOrder(e.Source))
	// A quarter of the new value follows a weight store that slows down within a few loads.
	m.loadTimes[i] = smooth(m.loadTimes[i], took)
	if m.cfg == nil || m.cfg.ColdStartMillis <= 0 {
		return
	}
	hint := time.Duration(m.cfg.ColdStartMillis) * time.Millisecond
	p.loadRatios[i] = smooth(p.loadRatios[i], float64(took)/float64(hint))
}

func smooth[T time.Duration | float64](old, value T) T {
	if old == 0 {
		return value
	}
	return old + (value-old)/4
}

// keepValue is the cold-start time that keeping the model loaded is expected to avoid, in seconds
// for each second that it is kept.
func (p *Placer) keepValue(m *model) float64 {
	rate := p.decayedArrivals(m) / p.returnWindow().Seconds()
	return rate * p.coldStart(m).Seconds()
}

// pressure is the price of memory that others may want, from 0 to 1 for each second that it is held.
func (p *Placer) pressure() float64 {
	if p.totalBytes <= 0 || p.site == nil {
		return 1
	}
	used := float64(p.usedBytes) / float64(p.totalBytes)
	free := p.site.Placement.FreeMemoryShare
	return min(1, max(0, (used-free)/(1-free)))
}

func (p *Placer) hold() time.Duration {
	return time.Duration(p.site.Placement.HoldMillis) * time.Millisecond
}

// refreshDeadline finds the earliest deadline of waiting work.
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

// updateWant sets the wanted replicas from demand. A first replica for waiting work is wanted at
// once when it is interactive; otherwise two decisions in opposite directions are at least the hold time apart.
func (p *Placer) updateWant(m *model) {
	if m.cfg == nil {
		m.want = 0
		return
	}
	slots := max(1, m.cfg.Slots)
	need := (m.sum.total() + slots - 1) / slots
	if p.opt.Policy.PerHost {
		need = max(need, len(m.demand))
	}
	need = min(max(need, m.cfg.MinReplicas), m.cfg.MaxReplicas)
	if need >= m.want {
		m.lastHigh = p.now
	}
	switch {
	case need > m.want:
		p.raiseWant(m, need)
	case need < m.want:
		p.lowerWant(m, need)
	}
}

func (p *Placer) raiseWant(m *model, need int) {
	settled := m.lastDown.Add(p.hold())
	if (m.want > 0 || m.sum.interactive == 0) && p.now.Before(settled) {
		p.wakeModel(settled, m.id)
		return
	}
	m.want = need
	m.lastUp = p.now
}

func (p *Placer) lowerWant(m *model, need int) {
	if p.opt.Policy.NeverUnload {
		return
	}
	since := m.lastHigh
	if m.lastUp.After(since) {
		since = m.lastUp
	}
	due := since.Add(p.hold())
	if p.now.Before(due) {
		p.wakeModel(due, m.id)
		return
	}
	if need > 0 {
		m.want = need
		m.lastDown = p.now
		return
	}
	if m.want > 1 {
		m.want = 1
		m.lastDown = p.now
	}
	if p.idleOver(m) {
		m.want = 0
		m.lastDown = p.now
	}
}

// idleOver says whether the last replica of an idle model costs more than it is expected to save.
func (p *Placer) idleOver(m *model) bool {
	latest := m.lastBusy.Add(p.returnWindow())
	if !p.now.Before(latest) {
		return true
	}
	value, price := p.keepValue(m), p.pressure()
	if value < price {
		return true
	}
	next := p.now.Add(idleRecheck)
	if price > 0 {
		// The value decays exponentially, so the time at which it falls below the price is known.
		after := math.Log(value/price) * float64(p.returnWindow())
		next = p.now.Add(min(time.Duration(min(after, float64(idleRecheck)))+timerStep, idleRecheck))
	}
	if next.After(latest) {
		next = latest
	}
	p.wakeModel(next, m.id)
	return false
}
