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

func (s *sim) report(arrived map[poolKey]int) {
	r := wire.HostReport{Host: "h"}
	for key, n := range arrived {
		s.waiting[key] += n
	}
	for key, n := range s.waiting {
		r.Needs = append(r.Needs, wire.PoolNeed{Service: simService, Model: key.model, Adapter: key.adapter, Waiting: n, Arrived: arrived[key]})
	}
	s.carryOut(s.swapper.HandleHost(r, s.now))
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

// Guards against rare models that are never loaded though copies lie on disks, and against loads
// that wait for the weight store though a copy would do.
func TestRareModelsAreServedFromCopies(t *testing.T) {
	s := newSim(t, 1, 6, 24, simFaults{})
	for i, id := range s.ids() {
		for j := range 24 {
			if j%6 == i {
				s.engines[id].copies[entity.ModelID(fmt.Sprintf("m%02d", j))] = true
			}
		}
	}
	for _, id := range s.ids() {
		s.list(s.engines[id])
	}
	asked := s.runFor(40*time.Second, 4, false)
	s.runFor(3*time.Second, 0, false)
	served := 0
	for _, n := range s.served {
		served += n
	}
	if served < asked {
		t.Errorf("%d of %d requests were served; waiting %v", served, asked, s.waiting)
	}
	if len(s.loads) > 0 {
		t.Errorf("%d loads from the weight store", len(s.loads))
	}
}

// Guards against models without a copy that stay without one while the weight store is idle, and
// against more loads at once than it carries at full speed.
func TestEveryModelGetsACopy(t *testing.T) {
	s := newSim(t, 2, 6, 18, simFaults{})
	s.runFor(60*time.Second, 0, false)
	for i, at := range s.loads {
		n := 0
		for _, other := range s.loads[:i+1] {
			if at.Sub(other) < 6*time.Second {
				n++
			}
		}
		if n > storeParallel {
			t.Fatalf("%d loads at once", n)
		}
	}
	for id := range s.engine.Models {
		if !s.swapper.hasCopy(modelKey{service: simService, model: id}) {
			t.Errorf("%s has no copy after 60 s", id)
		}
	}
}

// Guards against overcommitted engines and against engines that stay unused after orders whose
// answers were lost, that came seconds late, or that met a restart.
func TestDoubtfulOrdersNeverOvercommit(t *testing.T) {
	for seed := range uint64(12) {
		s := newSim(t, seed, 4, 12, simFaults{loseAnswer: 0.1, late: 0.2, drop: 0.05, restart: 0.0005})
		s.runFor(40*time.Second, 3, true)
		s.elect(3 * time.Second)
		s.runFor(20*time.Second, 3, true)
		s.faults = simFaults{}
		s.runFor(30*time.Second, 0, true)
		if len(s.waiting) > 0 {
			t.Errorf("seed %d: still waiting 30 s after the last fault: %v", seed, s.waiting)
			for _, id := range s.ids() {
				r := s.swapper.replicas[id]
				t.Logf("%s known %v task %+v sending %+v doubtful %v readAt %v reading %v", id, r.known, r.task, r.sending, r.doubtful, r.readAt.Sub(s.now), r.reading)
			}
		}
	}
}

// Guards against two engines that load the same model for one request.
func TestOneLoadForManyRequests(t *testing.T) {
	s := newSim(t, 4, 6, 12, simFaults{})
	s.runFor(time.Second, 0, false)
	before := len(s.loads)
	s.report(map[poolKey]int{{model: "m11"}: 50})
	s.runFor(8*time.Second, 0, false)
	n := 0
	for _, id := range s.ids() {
		if s.engines[id].models["m11"] != nil {
			n++
		}
	}
	if n == 0 || n > 1+50/8 {
		t.Errorf("%d engines hold the model", n)
	}
	if len(s.loads)-before > 8 {
		t.Errorf("%d loads", len(s.loads)-before)
	}
	if s.waiting[poolKey{model: "m11"}] > 0 {
		t.Error("the requests still wait")
	}
}

// Guards against orders before the last one of a former coordinator is old enough.
func TestNoOrderBeforeTheRightBegins(t *testing.T) {
	s := newSim(t, 5, 2, 6, simFaults{})
	s.elect(3 * time.Second)
	s.report(map[poolKey]int{{model: "m05"}: 1})
	for s.now.Before(testStart.Add(2900 * time.Millisecond)) {
		s.step()
		for _, id := range s.ids() {
			if s.engines[id].sequence > 0 {
				t.Fatalf("an order after %v", s.now.Sub(testStart))
			}
		}
	}
}

// Guards against the answer to an order of a former term that settles another order of this term.
func TestAnswersOfAFormerTermAreIgnored(t *testing.T) {
	first, second := New(testStart, 7), New(testStart, 9)
	if first.nextID == second.nextID {
		t.Error("two terms number their orders alike")
	}
}

// Guards against a hot model that stays on one engine because the only copy of its weights is there:
// its requests waited until their callers gave up (scale-1 of Reykjavik, once in three plays).
func TestHotModelWithOneCopyGetsMoreReplicas(t *testing.T) {
	s := newSim(t, 6, 6, 6, simFaults{})
	s.runFor(time.Second, 0, false)
	for range 10 {
		r := wire.HostReport{Host: "h", Needs: []wire.PoolNeed{{Service: simService, Model: "m01", Waiting: 20, Arrived: 5}},
			Uses: []wire.PoolUse{{Upstream: "e01", Model: "m01", Count: 8}}}
		s.carryOut(s.swapper.HandleHost(r, s.now))
		for range 200 {
			s.step()
		}
	}
	n := 0
	for _, id := range s.ids() {
		if s.engines[id].models["m01"] != nil {
			n++
		}
	}
	if n < 4 {
		t.Errorf("%d engines hold a model with 28 requests at 8 slots each", n)
	}
}

// Guards against requests that wait until the list shows that the only engine with their model has
// crashed: they were tried four times at a dead engine for 4.8 s (scale-2 of Reykjavik, request
// cfac759b01769a48).
func TestModelOfAnUnreachableEngineGoesElsewhere(t *testing.T) {
	s := newSim(t, 8, 4, 4, simFaults{})
	s.runFor(time.Second, 0, false)
	s.engines["e03"].copies["m01"] = true
	s.list(s.engines["e03"])
	s.engines["e01"].dark = true
	need := []wire.PoolNeed{{Service: simService, Model: "m01", Waiting: 1}}
	for _, host := range []entity.HostID{"h1", "h2"} {
		s.carryOut(s.swapper.HandleHost(wire.HostReport{Host: host, Needs: need, Down: []entity.UpstreamID{"e01"}}, s.now))
	}
	for range 400 {
		s.step()
	}
	if s.engines["e03"].models["m01"] == nil {
		t.Error("the model was not loaded where its other copy lies")
	}
	for _, h := range s.swapper.Holdings() {
		if h.Upstream.ID == "e01" && len(h.Held) > 0 {
			t.Error("the unreachable engine is told to hold models")
		}
	}
	s.engines["e01"].dark = false
	for range 200 {
		s.step()
	}
	if s.swapper.replicas["e01"].down {
		t.Error("the engine answers again and is still left out")
	}
}

// Guards against an engine that is left out because one host is cut off from it.
func TestOneHostAloneDoesNotTakeAnEngineOut(t *testing.T) {
	s := newSim(t, 8, 4, 4, simFaults{})
	s.runFor(time.Second, 0, false)
	s.carryOut(s.swapper.HandleHost(wire.HostReport{Host: "h1"}, s.now))
	s.carryOut(s.swapper.HandleHost(wire.HostReport{Host: "h2", Down: []entity.UpstreamID{"e01"}}, s.now))
	if s.swapper.replicas["e01"].down {
		t.Error("one host took an engine out")
	}
}

// Guards against more loads than the weight store allows, where it allows few and they are short.
func TestLoadsStayBelowTheRateOfTheStore(t *testing.T) {
	s := newSim(t, 11, 6, 18, simFaults{})
	s.engine.LoadsPerSecond = 0.3
	s.runFor(40*time.Second, 2, false)
	s.elect(0)
	s.runFor(40*time.Second, 2, false)
	const window = 5 * time.Second
	for i, at := range s.loads {
		n := 0
		for _, other := range s.loads[:i+1] {
			if at.Sub(other) < window {
				n++
			}
		}
		if allowed := 0.3*window.Seconds()*1.1 + 3; float64(n) > allowed {
			t.Fatalf("%d loads in %v, allowed %.1f", n, window, allowed)
		}
	}
	if len(s.loads) < 8 {
		t.Errorf("%d loads in 80 s", len(s.loads))
	}
}
