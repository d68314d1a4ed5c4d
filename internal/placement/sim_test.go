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

// sim simulates several hosts with their Placers, a key-value service and engines. It advances the time in
// steps.
type sim struct {
	now         time.Time
	rng         *rand.Rand
	site        *config.Site
	records     map[string]kvstore.Pair
	viewChanges []func(h *simHost) // in revision order
	rev         int64
	kvDown      bool
	hosts       []*simHost
	engines     []*simEngine
	events      []event
	decoded     map[string]decoded
	faulty      bool
	// lateProbability is the probability that an order is delivered late while faults are on.
	lateProbability float64
	// maxLoads is the largest number of simultaneous loads from the weight store.
	maxLoads int
	// loads counts, by model, the load orders that made an engine start a load.
	loads map[entity.ModelID]int
	// remoteStarts holds the start times of loads from the weight store.
	remoteStarts []time.Time
	adapterLoad  time.Duration
}

// decoded is the decoded value of a record at a revision.
type decoded struct {
	rev   int64
	value any
}

// event is a function that is due at a time.
type event struct {
	at time.Time
	fn func()
}

// simHost simulates a host process with its Placer, view and lease.
type simHost struct {
	s      *sim
	rec    config.HostRecord
	p      *Placer
	up     bool
	paused bool
	// pausedFor is how long the process has been paused; expired is true when its lease has expired.
	pausedFor     time.Duration
	expired       bool
	viewFrozen    bool // the view receives no changes
	partitioned   bool // messages between this host and others do not arrive
	viewPosition  int
	deferred      []command.Command
	demand        []wire.ModelDemand
	nextHeartbeat time.Time
}

const simStep = 20 * time.Millisecond

func newSim(seed uint64, site *config.Site) *sim {
	return &sim{
		now:             time.Unix(1_700_000_000, 0),
		rng:             rand.New(rand.NewPCG(seed, 1)),
		site:            site,
		records:         map[string]kvstore.Pair{},
		loads:           map[entity.ModelID]int{},
		lateProbability: 0.15,

		adapterLoad: 8 * time.Millisecond,

		decoded: map[string]decoded{},
	}
}

// after schedules fn to run after the duration.
func (s *sim) after(d time.Duration, fn func()) { s.events = append(s.events, event{s.now.Add(d), fn}) }

// chance returns true with probability p while faults are on, and false otherwise.
func (s *sim) chance(p float64) bool { return s.faulty && s.rng.Float64() < p }

func (s *sim) addHost(policy Policy) *simHost {
	h := &simHost{s: s}
	id := fmt.Sprintf("host-%d", len(s.hosts))
	h.rec = config.HostRecord{ID: entity.HostID(id), PeerAddr: id + ":1", State: "live"}
	s.hosts = append(s.hosts, h)
	h.start(policy)
	return h
}

// start starts a new incarnation of the host, with a new revision of the key-value service, and registers it.
func (h *simHost) start(policy Policy) {
	s := h.s
	s.rev++
	h.rec.Incarnation = entity.Incarnation(fmt.Sprintf("inc-%d", s.rev))
	h.p = New(Options{Self: h.rec.ID, Incarnation: h.rec.Incarnation, Rand: rand.New(rand.NewPCG(s.rng.Uint64(), 2)), Policy: policy})
	h.p.HandleSite(s.site, s.now)
	h.up, h.paused, h.viewFrozen, h.partitioned, h.expired = true, false, false, false, false
	h.viewPosition, h.deferred = 0, nil
	s.publishHosts()
}

// publishHosts adds the current list of registered hosts to the view changes.
func (s *sim) publishHosts() {
	var live []config.HostRecord
	for _, h := range s.hosts {
		if h.up && !h.expired {
			live = append(live, h.rec)
		}
	}
	s.viewChanges = append(s.viewChanges, func(h *simHost) {
		h.p.HandleHosts(live, func(entity.HostID) bool { return !h.partitioned }, h.s.now)
	})
}

func (s *sim) addEngine(rec config.UpstreamRecord) *simEngine {
	e := &simEngine{s: s, rec: rec, checksFence: rec.ChecksFence, boot: "boot-0", fences: map[entity.ModelID]int64{}, running: map[entity.ModelID]int{}}
	s.engines = append(s.engines, e)
	s.publishUpstream(rec)
	return e
}

func (s *sim) publishUpstream(rec config.UpstreamRecord) {
	s.viewChanges = append(s.viewChanges, func(h *simHost) { h.p.HandleUpstreams([]config.UpstreamRecord{rec}, nil, h.s.now) })
}

func (s *sim) engine(id entity.UpstreamID) *simEngine {
	return s.engines[slices.IndexFunc(s.engines, func(e *simEngine) bool { return e.rec.ID == id })]
}

// step advances the time by one step and runs the events, engines and hosts.
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
	if len(h.deferred) > 0 {
		// A resumed process first executes the commands that it had decided on before the pause.
		deferred := h.deferred
		h.deferred = nil
		h.execute(deferred)
	}
	for !h.viewFrozen && h.viewPosition < len(h.s.viewChanges) && !h.s.chance(0.02) {
		h.s.viewChanges[h.viewPosition](h)
		h.viewPosition++
	}
	if !h.s.now.Before(h.nextHeartbeat) {
		h.nextHeartbeat = h.s.now.Add(500 * time.Millisecond)
		h.sendDemand()
	}
	h.execute(h.p.Tick(h.s.now))
}

// stepLease ends the registration of a paused process after 3 s and restores it when the process resumes.
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

// sendDemand sends the host's demand to the decider that the host knows.
func (h *simHost) sendDemand() {
	for _, to := range h.s.hosts {
		if to.rec.ID != h.p.Decider() || !to.up || to.paused || (to != h && (to.partitioned || h.partitioned)) {
			continue
		}
		to.p.HandleDemand(h.rec.ID, wire.Demand{Models: h.demand}, h.s.now)
	}
}

// execute executes the commands; while faults are on, the process may be paused before any of them.
func (h *simHost) execute(cmds []command.Command) {
	for _, c := range cmds {
		if h.s.chance(0.02) {
			h.paused = true
			h.s.after(time.Duration(h.s.rng.IntN(15000))*time.Millisecond, func() { h.paused = false })
		}
		if h.paused {
			h.deferred = append(h.deferred, c)
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

// alive returns a function that reports whether the current process still runs.
func (h *simHost) alive() func() bool {
	inc := h.rec.Incarnation
	return func() bool { return h.up && h.rec.Incarnation == inc }
}

// write executes a transaction and delivers its result later, as unknown or unavailable under faults.
func (h *simHost) write(c command.WriteRecords) {
	s := h.s
	alive := h.alive()
	result := func(r kvstore.TxnResult, err error) {
		s.after(2*time.Millisecond, func() {
			if alive() {
				h.execute(h.p.HandleWriteResult(c.ID, r, err, s.now))
			}
		})
	}
	switch {
	case s.kvDown:
		result(kvstore.TxnResult{}, kvstore.ErrUnavailable)
	case s.chance(0.05):
		// The answer is lost. The write takes effect immediately, later or never.
		result(kvstore.TxnResult{}, kvstore.ErrUnknown)
		if s.rng.IntN(3) > 0 {
			s.after(time.Duration(s.rng.IntN(3000))*time.Millisecond, func() { s.txn(c.Txn) })
		}
	default:
		result(s.txn(c.Txn), nil)
	}
}

// txn executes a transaction on the key-value service.
func (s *sim) txn(t kvstore.Txn) kvstore.TxnResult {
	ok := true
	for _, c := range t.Compares {
		ok = ok && s.records[c.Key].ModRevision == c.Value
	}
	ops := t.Failure
	if ok {
		ops = t.Success
	}
	r := kvstore.TxnResult{Succeeded: ok}
	for _, op := range ops {
		if op.Kind == kvstore.OpGet {
			if pair, found := s.records[op.Key]; found {
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
			s.records[op.Key] = pair
			s.viewChanges = append(s.viewChanges, func(h *simHost) { h.p.HandleRecord(pair.Key, &pair, h.s.now) })
		}
	}
	r.Revision = s.rev
	return r
}

// send delivers an order to its engine and the outcome to the host; under faults an order may be lost or late.
func (h *simHost) send(c command.SendOrder) {
	s := h.s
	e := s.engine(c.Upstream)
	alive := h.alive()
	answer := func(o command.OrderOutcome) {
		s.after(5*time.Millisecond, func() {
			if alive() {
				h.execute(h.p.HandleOrderResult(c.Order.OrderID, o, s.now))
			}
		})
	}
	switch {
	case e.removed || s.chance(0.05):
		answer(command.OrderNotSent)
	case s.chance(0.05):
		answer(command.OrderUnknown) // the order is lost
	case s.chance(s.lateProbability):
		// The order is delivered late, unless the sending process ends first.
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

// terminate ends the process; its registration expires after 3 s.
func (h *simHost) terminate() {
	h.up = false
	h.deferred = nil
	h.s.after(3*time.Second, h.s.publishHosts)
}

// check verifies on the engines and in the records that no memory is overcommitted and that no model has more
// replicas than decided or allowed. It also verifies that the cached replica counts are current.
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
		placement := read[UpstreamPlacement](s, config.PlacementUpstreamsPrefix+string(e.rec.ID))
		if placement.UsedBytes() > e.rec.MemoryBytes {
			return fmt.Errorf("the record of %s reserves %d of %d bytes", e.rec.ID, placement.UsedBytes(), e.rec.MemoryBytes)
		}
	}
	for _, h := range s.hosts {
		if s.now.UnixMilli()%100 != 0 {
			break // a comparison in every step doubles the time of the test
		}
		for _, m := range h.p.models {
			if got, want := h.p.countReplicas(m), h.p.countEntries(m); !reflect.DeepEqual(got, want) {
				return fmt.Errorf("%s: the replica count is %+v for %s, the cached one is %+v", h.rec.ID, want, m.id, got)
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
		rec := read[ModelRecord](s, config.PlacementModelsPrefix+string(id))
		if replicas[id] > rec.Decided || len(rec.Replicas) > rec.Decided {
			return fmt.Errorf("%s has %d replicas on engines and %d in the record, but %d are decided", id, replicas[id], len(rec.Replicas), rec.Decided)
		}
		if limit := s.site.Models[id].MaxReplicas + leaving; rec.Decided > limit {
			return fmt.Errorf("%s has %d decided replicas, but %d are allowed", id, rec.Decided, limit)
		}
	}
	return nil
}

// read returns the decoded record; the result is cached until the record changes.
func read[T any](s *sim, key string) *T {
	pair := s.records[key]
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

// ready returns the number of engines, not counting leaving ones, on which the model or its adapter is ready.
func (s *sim) ready(m entity.ModelID, a entity.AdapterID) int {
	n := 0
	for _, e := range s.engines {
		if at := e.find(m, a); at >= 0 && e.entries[at].State == StateReady && !e.leaving {
			n++
		}
	}
	return n
}

// dump returns a description of the engines, records and hosts for the output of a failed test.
func (s *sim) dump() string {
	var b strings.Builder
	for _, e := range s.engines {
		fmt.Fprintf(&b, "%s fence=%v leaving=%v entries=", e.rec.ID, e.rec.ChecksFence, e.leaving)
		for _, x := range e.entries {
			fmt.Fprintf(&b, " %s:%s:%s", x.Model, x.Adapter, x.State)
		}
		fmt.Fprintf(&b, "\n  %s\n", s.records[config.PlacementUpstreamsPrefix+string(e.rec.ID)].Value)
	}
	for id := range s.site.Models {
		fmt.Fprintf(&b, "%s %s\n", id, s.records[config.PlacementModelsPrefix+string(id)].Value)
	}
	for _, h := range s.hosts {
		fmt.Fprintf(&b, "%s up=%v decider=%s pending=%v\n", h.rec.ID, h.up, h.p.decider, h.p.pendingModels)
	}
	return b.String()
}
