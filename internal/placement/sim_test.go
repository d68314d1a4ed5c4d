package placement

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/command"
	"github.com/foxtailpass/foxtailpass/internal/config"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

// sim drives several Placers against a record store and engines with passed-in time.
type sim struct {
	now     time.Time
	rng     *rand.Rand
	site    *config.Site
	store   map[string]kvstore.Pair
	log     []func(h *simHost) // view changes in revision order
	rev     int64
	down    bool
	hosts   []*simHost
	engines []*simEngine
	events  []event
	decoded map[string]decoded
	faulty  bool
	// late is the probability that an order is delivered late while faults are on.
	late float64
	// maxLoads is the largest number of loads that ran at the weight store at the same time.
	maxLoads int
	// loads counts the load orders that made an engine begin to load, by model.
	loads map[entity.ModelID]int
	// remoteStarts holds the times at which loads from the weight store began.
	remoteStarts []time.Time
	adapterLoad  time.Duration
}

type decoded struct {
	rev   int64
	value any
}

type event struct {
	at time.Time
	fn func()
}

type simHost struct {
	s      *sim
	rec    config.HostRecord
	p      *Placer
	up     bool
	paused bool
	// pausedFor is how long the process has been paused; expired says that its lease ran out.
	pausedFor time.Duration
	expired   bool
	frozen    bool // the view gets no changes
	cut       bool // heartbeats of other hosts do not arrive
	seen      int
	held      []command.Command
	demand    []wire.ModelDemand
	nextHB    time.Time
}

type simEntry struct {
	wire.ReportedEntry
	remaining time.Duration
	remote    bool
}

type simEngine struct {
	s       *sim
	rec     config.UpstreamRecord
	boot    string
	seq     uint64
	entries []*simEntry
	// checks says that the engine refuses old fencing numbers. It is declared to only if it
	// keeps them across restarts.
	checks   bool
	fences   map[entity.ModelID]int64
	applied  []string
	leaving  bool
	gone     bool
	running  map[entity.ModelID]int
	nextPoll time.Time
}

const simStep = 20 * time.Millisecond

func newSim(seed uint64, site *config.Site) *sim {
	return &sim{
		now:   time.Unix(1_700_000_000, 0),
		rng:   rand.New(rand.NewPCG(seed, 1)),
		site:  site,
		store: map[string]kvstore.Pair{},
		loads: map[entity.ModelID]int{},
		late:  0.15,

		adapterLoad: 8 * time.Millisecond,

		decoded: map[string]decoded{},
	}
}

func (s *sim) after(d time.Duration, fn func()) { s.events = append(s.events, event{s.now.Add(d), fn}) }

func (s *sim) chance(p float64) bool { return s.faulty && s.rng.Float64() < p }

func (s *sim) addHost(policy Policy) *simHost {
	h := &simHost{s: s}
	id := fmt.Sprintf("host-%d", len(s.hosts))
	h.rec = config.HostRecord{ID: entity.HostID(id), PeerAddr: id + ":1", State: "live"}
	s.hosts = append(s.hosts, h)
	h.start(policy)
	return h
}

// start begins a new incarnation, which needs the store to register.
func (h *simHost) start(policy Policy) {
	s := h.s
	s.rev++
	h.rec.Incarnation = entity.Incarnation(fmt.Sprintf("inc-%d", s.rev))
	h.p = New(Options{Self: h.rec.ID, Incarnation: h.rec.Incarnation, Rand: rand.New(rand.NewPCG(s.rng.Uint64(), 2)), Policy: policy})
	h.p.HandleSite(s.site, s.now)
	h.up, h.paused, h.frozen, h.cut, h.expired = true, false, false, false, false
	h.seen, h.held = 0, nil
	s.publishHosts()
}

func (s *sim) publishHosts() {
	var live []config.HostRecord
	for _, h := range s.hosts {
		if h.up && !h.expired {
			live = append(live, h.rec)
		}
	}
	s.log = append(s.log, func(h *simHost) {
		h.p.HandleHosts(live, func(entity.HostID) bool { return !h.cut }, h.s.now)
	})
}

func (s *sim) addEngine(rec config.UpstreamRecord) *simEngine {
	e := &simEngine{s: s, rec: rec, checks: rec.ChecksFence, boot: "boot-0", fences: map[entity.ModelID]int64{}, running: map[entity.ModelID]int{}}
	s.engines = append(s.engines, e)
	s.publishUpstream(rec)
	return e
}

func (s *sim) publishUpstream(rec config.UpstreamRecord) {
	s.log = append(s.log, func(h *simHost) { h.p.HandleUpstreams([]config.UpstreamRecord{rec}, nil, h.s.now) })
}

func (s *sim) engine(id entity.UpstreamID) *simEngine {
	return s.engines[slices.IndexFunc(s.engines, func(e *simEngine) bool { return e.rec.ID == id })]
}

// step advances the time and runs everything that is due.
func (s *sim) step() {
	s.now = s.now.Add(simStep)
	due := s.events
	s.events = nil
	for _, ev := range due {
		if ev.at.After(s.now) {
			s.events = append(s.events, ev)
			continue
		}
		ev.fn()
	}
	s.stepEngines()
	for _, h := range s.hosts {
		h.step()
	}
}

func (h *simHost) step() {
	if !h.up {
		return
	}
	h.stepLease()
	if h.paused {
		return
	}
	if len(h.held) > 0 {
		// A resumed process first carries out what it had decided before the pause.
		held := h.held
		h.held = nil
		h.run(held)
	}
	for !h.frozen && h.seen < len(h.s.log) && !h.s.chance(0.02) {
		h.s.log[h.seen](h)
		h.seen++
	}
	if !h.s.now.Before(h.nextHB) {
		h.nextHB = h.s.now.Add(500 * time.Millisecond)
		h.sendDemand()
	}
	h.run(h.p.Tick(h.s.now))
}

// stepLease ends the registration of a paused process after 3 s and renews it when it runs again.
func (h *simHost) stepLease() {
	if !h.paused {
		h.pausedFor = 0
	} else {
		h.pausedFor += simStep
	}
	if expired := h.pausedFor > 3*time.Second; expired != h.expired {
		h.expired = expired
		h.s.publishHosts()
	}
}

func (h *simHost) sendDemand() {
	for _, to := range h.s.hosts {
		if to.rec.ID != h.p.Decider() || !to.up || to.paused || (to != h && (to.cut || h.cut)) {
			continue
		}
		to.p.HandleDemand(h.rec.ID, wire.Demand{Models: h.demand}, h.s.now)
	}
}

func (h *simHost) run(cmds []command.Command) {
	for _, c := range cmds {
		if h.s.chance(0.02) {
			h.paused = true
			h.s.after(time.Duration(h.s.rng.IntN(15000))*time.Millisecond, func() { h.paused = false })
		}
		if h.paused {
			h.held = append(h.held, c)
			continue
		}
		switch c := c.(type) {
		case command.WriteRecords:
			h.write(c)
		case command.SendOrder:
			h.send(c)
		}
	}
}

// alive returns a guard for events of the present process.
func (h *simHost) alive() func() bool {
	inc := h.rec.Incarnation
	return func() bool { return h.up && h.rec.Incarnation == inc }
}

func (h *simHost) write(c command.WriteRecords) {
	s := h.s
	alive := h.alive()
	result := func(r kvstore.TxnResult, err error) {
		s.after(2*time.Millisecond, func() {
			if alive() {
				h.run(h.p.HandleWriteResult(c.ID, r, err, s.now))
			}
		})
	}
	switch {
	case s.down:
		result(kvstore.TxnResult{}, kvstore.ErrUnavailable)
	case s.chance(0.05):
		// The answer is lost; the write takes effect now, later or never.
		result(kvstore.TxnResult{}, kvstore.ErrUnknown)
		if s.rng.IntN(3) > 0 {
			s.after(time.Duration(s.rng.IntN(3000))*time.Millisecond, func() { s.txn(c.Txn) })
		}
	default:
		result(s.txn(c.Txn), nil)
	}
}

func (s *sim) txn(t kvstore.Txn) kvstore.TxnResult {
	ok := true
	for _, c := range t.Compares {
		ok = ok && s.store[c.Key].ModRevision == c.Value
	}
	ops := t.Failure
	if ok {
		ops = t.Success
	}
	r := kvstore.TxnResult{Succeeded: ok}
	for _, op := range ops {
		if op.Kind == kvstore.OpGet {
			if pair, found := s.store[op.Key]; found {
				r.Gets = append(r.Gets, &pair)
			} else {
				r.Gets = append(r.Gets, nil)
			}
		}
	}
	if ok && len(t.Compares) > 0 {
		s.rev++
		for _, op := range t.Success {
			pair := kvstore.Pair{Key: op.Key, Value: op.Value, ModRevision: s.rev}
			s.store[op.Key] = pair
			s.log = append(s.log, func(h *simHost) { h.p.HandleRecord(pair.Key, &pair, h.s.now) })
		}
	}
	r.Revision = s.rev
	return r
}

func (h *simHost) send(c command.SendOrder) {
	s := h.s
	e := s.engine(c.Upstream)
	alive := h.alive()
	answer := func(o command.OrderOutcome) {
		s.after(5*time.Millisecond, func() {
			if alive() {
				h.run(h.p.HandleOrderResult(c.Order.OrderID, o, s.now))
			}
		})
	}
	switch {
	case e.gone || s.chance(0.05):
		answer(command.OrderNotSent)
	case s.chance(0.05):
		answer(command.OrderUnknown) // lost
	case s.chance(s.late):
		// Delivered late, unless the sending process ends first.
		answer(command.OrderUnknown)
		s.after(time.Duration(s.rng.IntN(20000))*time.Millisecond, func() {
			if alive() {
				e.apply(c.Order)
			}
		})
	default:
		answer(e.apply(c.Order))
	}
}

func (e *simEngine) find(m entity.ModelID, a entity.AdapterID) int {
	return slices.IndexFunc(e.entries, func(x *simEntry) bool { return x.Model == m && x.Adapter == a })
}

// apply carries an order out. It never refuses for lack of memory, so that overcommitment shows.
func (e *simEngine) apply(o command.Order) command.OrderOutcome {
	if e.gone {
		return command.OrderNotSent
	}
	e.seq++
	e.applied = append(slices.Clip(e.applied), o.OrderID) // reports share the former slice
	e.applied = e.applied[max(0, len(e.applied)-64):]
	if e.checks && o.Fence < e.fences[o.Model] {
		return command.OrderRefused
	}
	e.fences[o.Model] = o.Fence
	at := e.find(o.Model, o.Adapter)
	switch o.Action {
	case command.LoadModel, command.LoadAdapter:
		if o.Adapter != "" && e.find(o.Model, "") < 0 {
			return command.OrderRefused
		}
		if at < 0 {
			e.load(o)
		}
	case command.UnloadModel:
		e.entries = slices.DeleteFunc(e.entries, func(x *simEntry) bool { return x.Model == o.Model })
	case command.UnloadAdapter:
		if at >= 0 {
			e.entries = slices.Delete(e.entries, at, at+1)
		}
	}
	return command.OrderAccepted
}

func (e *simEngine) load(o command.Order) {
	x := &simEntry{ReportedEntry: wire.ReportedEntry{Model: o.Model, Adapter: o.Adapter, State: StateLoading, OrderID: o.OrderID, Fence: o.Fence, Bytes: o.Bytes}}
	x.remaining = e.s.adapterLoad
	if o.Adapter == "" {
		cold := time.Duration(e.s.site.Models[o.Model].ColdStartMillis) * time.Millisecond
		switch e.rec.Checkpoints[o.Model] {
		case "memory":
			x.remaining = cold / 20
		case "disk":
			x.remaining = cold / 4
		default:
			x.remaining, x.remote = cold, true
			e.s.remoteStarts = append(e.s.remoteStarts, e.s.now)
		}
		e.s.loads[o.Model]++
	}
	e.entries = append(e.entries, x)
}

func (s *sim) stepEngines() {
	loading := 0
	for _, e := range s.engines {
		for _, x := range e.entries {
			if x.State == StateLoading && x.remote {
				loading++
			}
		}
	}
	s.maxLoads = max(s.maxLoads, loading)
	speed := 1.0
	if loading > s.site.WeightStore.Parallel {
		speed = float64(s.site.WeightStore.Parallel) / float64(loading)
	}
	for _, e := range s.engines {
		if e.gone {
			continue
		}
		for _, x := range e.entries {
			if x.State == StateLoading {
				x.remaining -= time.Duration(float64(simStep) * speed)
				if x.remaining <= 0 {
					x.State = StateReady
					e.seq++
				}
			}
			if x.Running != e.running[x.Model] {
				x.Running = e.running[x.Model]
				e.seq++
			}
		}
		if !s.now.Before(e.nextPoll) {
			e.nextPoll = s.now.Add(100 * time.Millisecond)
			e.publish()
		}
	}
}

// publish sends the engine's report to every host, delayed when faults are on.
func (e *simEngine) publish() {
	s := e.s
	r := wire.UpstreamReport{Upstream: e.rec.ID, Boot: e.boot, Seq: e.seq, MemoryBytes: e.rec.MemoryBytes, Leaving: e.leaving}
	r.AppliedOrders = e.applied
	for _, x := range e.entries {
		r.Entries = append(r.Entries, x.ReportedEntry)
	}
	for _, h := range s.hosts {
		alive := h.alive()
		delay := 10 * time.Millisecond
		if s.chance(0.1) {
			delay = time.Duration(s.rng.IntN(3000)) * time.Millisecond
		}
		if s.chance(0.1) {
			continue
		}
		s.after(delay, func() {
			if alive() && !h.paused {
				h.p.HandleReport(r, s.now)
			}
		})
	}
}

func (e *simEngine) restart(forgetFences bool) {
	if forgetFences {
		clear(e.fences)
	}
	e.boot = fmt.Sprintf("boot-%d", e.s.rng.Uint64())
	e.seq = 0
	e.entries = nil
	e.applied = nil
}

// leave announces that the engine goes away and removes it after the given time.
func (e *simEngine) leave(in time.Duration) {
	e.leaving = true
	e.rec.State = config.UpstreamLeaving
	e.rec.LeaveBy = e.s.now.Add(in)
	rec := e.rec
	e.s.after(time.Second, func() { e.s.publishUpstream(rec) })
	e.s.after(in, func() {
		e.gone = true
		e.entries = nil
	})
	e.s.after(in+time.Second, func() {
		e.s.log = append(e.s.log, func(h *simHost) { h.p.HandleUpstreams(nil, []entity.UpstreamID{rec.ID}, h.s.now) })
	})
}

func (h *simHost) kill() {
	h.up = false
	h.held = nil
	h.s.after(3*time.Second, h.s.publishHosts)
}

// check verifies the two safety properties on the engines themselves, and that kept counts are current.
func (s *sim) check() error {
	replicas := map[entity.ModelID]int{}
	for _, e := range s.engines {
		var used int64
		for _, x := range e.entries {
			used += x.Bytes
			if x.Adapter == "" {
				replicas[x.Model]++
			}
		}
		if used > e.rec.MemoryBytes {
			return fmt.Errorf("%s uses %d of %d bytes", e.rec.ID, used, e.rec.MemoryBytes)
		}
		place := read[UpstreamPlacement](s, config.PlaceUpstreams+string(e.rec.ID))
		if place.UsedBytes() > e.rec.MemoryBytes {
			return fmt.Errorf("the record of %s reserves %d of %d bytes", e.rec.ID, place.UsedBytes(), e.rec.MemoryBytes)
		}
	}
	for _, h := range s.hosts {
		if s.now.UnixMilli()%100 != 0 {
			break // comparing at every step doubles the time of the test
		}
		for _, m := range h.p.models {
			if got, want := h.p.count(m), h.p.countEntries(m); !reflect.DeepEqual(got, want) {
				return fmt.Errorf("%s counts %+v of %s, kept is %+v", h.rec.ID, want, m.id, got)
			}
		}
	}
	leaving := 0
	for _, e := range s.engines {
		if e.leaving {
			leaving++
		}
	}
	for id := range s.site.Models {
		rec := read[ModelRecord](s, config.PlaceModels+string(id))
		if replicas[id] > rec.Decided || len(rec.Replicas) > rec.Decided {
			return fmt.Errorf("%s has %d replicas on engines and %d in the record, decided are %d", id, replicas[id], len(rec.Replicas), rec.Decided)
		}
		if limit := s.site.Models[id].MaxReplicas + leaving; rec.Decided > limit {
			return fmt.Errorf("%s has %d decided replicas, allowed are %d", id, rec.Decided, limit)
		}
	}
	return nil
}

// read decodes a record and keeps the result until the record changes.
func read[T any](s *sim, key string) *T {
	pair := s.store[key]
	if d, ok := s.decoded[key]; ok && d.rev == pair.ModRevision {
		return d.value.(*T)
	}
	value := new(T)
	if pair.ModRevision > 0 {
		if err := json.Unmarshal(pair.Value, value); err != nil {
			panic(err)
		}
	}
	s.decoded[key] = decoded{pair.ModRevision, value}
	return value
}

// ready counts the engines on which the model is ready.
func (s *sim) ready(m entity.ModelID, a entity.AdapterID) int {
	n := 0
	for _, e := range s.engines {
		if at := e.find(m, a); at >= 0 && e.entries[at].State == StateReady && !e.leaving {
			n++
		}
	}
	return n
}

// dump describes the records and engines for a failed test.
func (s *sim) dump() string {
	var b strings.Builder
	for _, e := range s.engines {
		fmt.Fprintf(&b, "%s fence=%v leaving=%v entries=", e.rec.ID, e.rec.ChecksFence, e.leaving)
		for _, x := range e.entries {
			fmt.Fprintf(&b, " %s:%s:%s", x.Model, x.Adapter, x.State)
		}
		fmt.Fprintf(&b, "\n  %s\n", s.store[config.PlaceUpstreams+string(e.rec.ID)].Value)
	}
	for id := range s.site.Models {
		fmt.Fprintf(&b, "%s %s\n", id, s.store[config.PlaceModels+string(id)].Value)
	}
	for _, h := range s.hosts {
		fmt.Fprintf(&b, "%s up=%v decider=%s pending=%v\n", h.rec.ID, h.up, h.p.decider, h.p.pending)
	}
	return b.String()
}
