package swap

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/fleet"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

var testStart = time.Unix(1000, 0)

const (
	simStep      = 5 * time.Millisecond
	simReportLag = 100 * time.Millisecond
	simService   = "engine"
)

// simEngine carries out orders as the published protocol says, with the faults of simFaults.
type simEngine struct {
	id       string
	born     int64
	models   map[entity.ModelID]map[entity.AdapterID]bool
	copies   map[entity.ModelID]bool
	sequence int64
	// loading is the order under way.
	loading   entity.ModelID
	unloading entity.ModelID
	doneAt    time.Time
	running   map[entity.ModelID]int
	crashes   int
	// dark engines answer nothing.
	dark bool
	late []lateOrder
	// past holds former reports, because reports lag.
	past []pastReport
}

type lateOrder struct {
	order Order
	at    time.Time
}

type pastReport struct {
	at     time.Time
	report Report
}

// simFaults are shares of orders.
type simFaults struct {
	// loseAnswer orders are carried out without an answer, late ones 2 to 12 s later, and drop ones
	// never.
	loseAnswer, late, drop float64
	restart                float64
}

// sim runs a Swapper against engines in simulated time.
type sim struct {
	t       *testing.T
	rand    *rand.Rand
	now     time.Time
	catalog *catalog.Catalog
	engine  *catalog.Engine
	engines map[entity.UpstreamID]*simEngine
	swapper *Swapper
	terms   int64
	faults  simFaults
	queue   []simEvent
	loads   []time.Time
	waiting map[poolKey]int
	// slowLoads is added to the time of every load.
	slowLoads  time.Duration
	ordersSent int
	// loadsAgain engines take a load of a model that they hold as a new one.
	loadsAgain bool
	served     map[entity.ModelID]int
}

type poolKey struct {
	model   entity.ModelID
	adapter entity.AdapterID
}

type simEvent struct {
	at  time.Time
	run func()
}

func newSim(t *testing.T, seed uint64, engines, models int, faults simFaults) *sim {
	e := &catalog.Engine{Slots: 8, WeightsMB: 200000, AdapterPlaces: 4, Models: make(map[entity.ModelID]*catalog.Model)}
	for i := range models {
		id := entity.ModelID(fmt.Sprintf("m%02d", i))
		e.Models[id] = &catalog.Model{ID: id, SizeMB: []float64{42700, 72700, 65100}[i%3], StoreLoad: 6 * time.Second,
			DiskLoad: 800 * time.Millisecond, MemoryLoad: 500 * time.Millisecond, Adapters: 8, AdapterMB: 66}
	}
	s := &sim{
		t:       t,
		rand:    rand.New(rand.NewPCG(seed, 7)),
		now:     testStart,
		engine:  e,
		catalog: catalog.New(catalog.Document{Version: 1, Services: []*catalog.Service{{ID: simService, Engine: e}}}),
		engines: make(map[entity.UpstreamID]*simEngine),
		faults:  faults,
		waiting: make(map[poolKey]int),
		served:  make(map[entity.ModelID]int),
	}
	for i := range engines {
		x := &simEngine{id: fmt.Sprintf("e%02d", i), born: 1}
		x.reset()
		x.copies = make(map[entity.ModelID]bool)
		x.models[entity.ModelID(fmt.Sprintf("m%02d", i%models))] = map[entity.AdapterID]bool{}
		x.copies[entity.ModelID(fmt.Sprintf("m%02d", i%models))] = true
		s.engines[entity.UpstreamID(x.id)] = x
	}
	s.elect(0)
	return s
}

// elect replaces the coordinator.
func (s *sim) elect(wait time.Duration) {
	s.terms++
	s.swapper = New(s.now.Add(wait), s.terms)
	s.swapper.SetCatalog(s.catalog)
	for _, id := range s.ids() {
		s.list(s.engines[id])
	}
}

func (s *sim) ids() []entity.UpstreamID {
	var out []entity.UpstreamID
	for id := range s.engines {
		out = append(out, id)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

func (x *simEngine) reset() {
	x.models = make(map[entity.ModelID]map[entity.AdapterID]bool)
	x.running = make(map[entity.ModelID]int)
	x.sequence = 0
	x.loading, x.unloading = "", ""
	x.past = nil
}

func (s *sim) list(x *simEngine) {
	u := &fleet.Upstream{Incarnation: fleet.Incarnation{ID: entity.UpstreamID(x.id), BornMillis: x.born}, Service: simService, Addr: x.id, Slots: 8, Sequence: x.sequence}
	for m := range x.copies {
		u.OnDisk = append(u.OnDisk, m)
	}
	for m := range x.models {
		u.Models = append(u.Models, fleet.Held{Model: m})
	}
	s.carryOut(s.swapper.SetUpstream(u, s.now))
}

func (s *sim) after(d time.Duration, run func()) {
	s.queue = append(s.queue, simEvent{at: s.now.Add(d), run: run})
}

// carryOut sends orders and reads reports with the delays and faults of the simulation.
func (s *sim) carryOut(commands []Command) {
	swapper := s.swapper
	for _, c := range commands {
		if c.Order != nil {
			s.deliver(swapper, *c.Order)
		}
		if c.Read != nil {
			id := c.Read.ID
			born := c.Read.BornMillis
			s.after(3*time.Millisecond, func() { s.answerRead(swapper, id, born) })
		}
	}
}

func (s *sim) answerRead(swapper *Swapper, id entity.UpstreamID, born int64) {
	if swapper != s.swapper {
		return
	}
	x := s.engines[id]
	if x.dark || x.born != born || len(x.past) == 0 {
		swapper.ReportFailed(id, s.now)
		return
	}
	report := x.past[0].report
	for _, p := range x.past {
		if s.now.Sub(p.at) >= simReportLag {
			report = p.report
		}
	}
	s.carryOut(swapper.HandleReport(id, report, s.now))
}

func (s *sim) deliver(swapper *Swapper, o Order) {
	s.ordersSent++
	x := s.engines[o.Upstream.ID]
	answer := func(a Answer) {
		if swapper == s.swapper {
			s.carryOut(swapper.HandleAnswer(o.ID, a, s.now))
		}
	}
	silent := func() { s.after(500*time.Millisecond, func() { answer(Unknown) }) }
	switch p := s.rand.Float64(); {
	case x.dark:
		s.after(time.Millisecond, func() { answer(NotSent) })
	case p < s.faults.drop:
		silent()
	case p < s.faults.drop+s.faults.late:
		x.late = append(x.late, lateOrder{order: o, at: s.now.Add(2*time.Second + time.Duration(s.rand.Float64()*10*float64(time.Second)))})
		silent()
	case p < s.faults.drop+s.faults.late+s.faults.loseAnswer:
		s.after(time.Millisecond, func() { s.apply(x, o) })
		silent()
	default:
		s.after(time.Millisecond, func() {
			a := s.apply(x, o)
			s.after(time.Millisecond, func() { answer(a) })
		})
	}
}

// apply carries out an order at an engine and checks that it is not overcommitted.
func (s *sim) apply(x *simEngine, o Order) Answer {
	switch {
	case x.born != o.Upstream.BornMillis && o.Upstream.ID != entity.UpstreamID(x.id):
		return Rejected
	case x.sequence != o.Expected:
		return Conflict
	case o.Adapter == "" && (x.loading != "" || x.unloading != ""):
		return Conflict
	case o.Adapter != "" && x.models[o.Model] == nil:
		return Rejected
	}
	switch {
	case o.Adapter != "" && o.Action == Load:
		if x.models[o.Model][o.Adapter] {
			return AlreadyHolds
		}
		x.models[o.Model][o.Adapter] = true
	case o.Adapter != "":
		delete(x.models[o.Model], o.Adapter)
		x.sequence++
		return AlreadyHolds
	case o.Action == Unload:
		if x.models[o.Model] == nil {
			return AlreadyHolds
		}
		x.unloading = o.Model
		x.doneAt = s.now.Add(time.Millisecond)
	default:
		if x.models[o.Model] != nil && !s.loadsAgain {
			return AlreadyHolds
		}
		x.loading = o.Model
		took := 800*time.Millisecond + s.slowLoads
		if !x.copies[o.Model] {
			took = 6 * time.Second
			s.loads = append(s.loads, s.now)
		}
		x.doneAt = s.now.Add(took)
	}
	x.sequence++
	s.checkRoom(x)
	return Accepted
}

func (s *sim) checkRoom(x *simEngine) {
	used, adapters := 0.0, 0
	for m, as := range x.models {
		used += s.engine.Models[m].SizeMB + 66*float64(len(as))
		adapters += len(as)
	}
	if x.loading != "" && x.models[x.loading] == nil {
		used += s.engine.Models[x.loading].SizeMB
	}
	if used > s.engine.WeightsMB || adapters > s.engine.AdapterPlaces {
		x.crashes++
		s.t.Errorf("%v: %s holds %.0f MB and %d adapters: %v, loading %q", s.now.Sub(testStart), x.id, used, adapters, x.models, x.loading)
	}
}

// step advances engines, requests and the swapper.
func (s *sim) step() {
	s.now = s.now.Add(simStep)
	for i := 0; i < len(s.queue); i++ {
		if e := s.queue[i]; !e.at.After(s.now) {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			i--
			e.run()
		}
	}
	for _, id := range s.ids() {
		s.advance(s.engines[id])
	}
	s.serve()
	s.carryOut(s.swapper.Tick(s.now))
}

func (s *sim) advance(x *simEngine) {
	if s.rand.Float64() < s.faults.restart {
		x.reset()
		x.born++
		s.list(x)
	}
	if (x.loading != "" || x.unloading != "" && x.running[x.unloading] == 0) && !s.now.Before(x.doneAt) {
		if x.unloading != "" {
			delete(x.models, x.unloading)
		} else {
			x.models[x.loading] = map[entity.AdapterID]bool{}
			x.copies[x.loading] = true
		}
		x.loading, x.unloading = "", ""
		s.list(x)
	}
	kept := x.late[:0]
	for _, l := range x.late {
		if s.now.Before(l.at) {
			kept = append(kept, l)
			continue
		}
		s.apply(x, l.order)
	}
	x.late = kept
	r := Report{Busy: x.loading != "" || x.unloading != "", Sequence: x.sequence}
	for m, as := range x.models {
		h := fleet.Held{Model: m}
		for a := range as {
			h.Adapters = append(h.Adapters, a)
		}
		r.Models = append(r.Models, h)
	}
	for m := range x.copies {
		r.OnDisk = append(r.OnDisk, m)
	}
	x.past = append(x.past, pastReport{at: s.now, report: r})
	if len(x.past) > 60 {
		x.past = x.past[1:]
	}
}

// serve gives waiting requests to the engines that the swapper says can serve them.
func (s *sim) serve() {
	for _, h := range s.swapper.Holdings() {
		x := s.engines[h.Upstream.ID]
		for _, m := range h.Held {
			for key := range s.waiting {
				if key.model != m.Model || x.models[m.Model] == nil {
					continue
				}
				if key.adapter != "" && !x.models[m.Model][key.adapter] {
					continue
				}
				s.served[key.model] += s.waiting[key]
				delete(s.waiting, key)
			}
		}
	}
}

// hear tells the coordinator a report and lets it decide.
func (s *sim) hear(r wire.HostReport) {
	s.swapper.HandleHost(r, s.now)
	s.carryOut(s.swapper.Tick(s.now))
}

func (s *sim) report(arrived map[poolKey]int) {
	r := wire.HostReport{Host: "h"}
	for key, n := range arrived {
		s.waiting[key] += n
	}
	for key, n := range s.waiting {
		r.Needs = append(r.Needs, wire.PoolNeed{Service: simService, Model: key.model, Adapter: key.adapter, Waiting: n, Arrived: arrived[key]})
	}
	s.hear(r)
}

func (s *sim) runFor(d time.Duration, perSecond float64, adapters bool) (asked int) {
	end := s.now.Add(d)
	for i := 0; s.now.Before(end); i++ {
		s.step()
		arrived := make(map[poolKey]int)
		if s.rand.Float64() < perSecond*simStep.Seconds() {
			key := poolKey{model: entity.ModelID(fmt.Sprintf("m%02d", s.rand.IntN(len(s.engine.Models))))}
			if adapters && s.rand.IntN(3) == 0 {
				key.adapter = entity.AdapterID(fmt.Sprintf("a%d", s.rand.IntN(8)))
			}
			arrived[key]++
			asked++
		}
		if len(arrived) > 0 || i%20 == 0 {
			s.report(arrived)
		}
	}
	return asked
}
