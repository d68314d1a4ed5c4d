// Package swap decides which models and adapters the engines hold. It runs on the one host that
// has the right to give orders. An engine has room for a few models; copies of more lie in the
// memory and on the disk of its machine, from where a load takes a fraction of a second, while a
// load from the weight store takes several and the store carries only a few at a time. So models
// are swapped in where a copy lies, and the weight store is used to give every model a copy.
//
// The package is pure: events come in as method calls with the time, and orders and reads of
// engine reports are returned as commands.
package swap

import (
	"maps"
	"slices"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/fleet"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

const (
	// reportLag is how old a report of an engine may be when it arrives.
	reportLag = 150 * time.Millisecond
	// firstPoll and pollInterval time the reads of a report while an order is carried out.
	firstPoll    = 20 * time.Millisecond
	pollInterval = 60 * time.Millisecond
	// resendInterval is the time between two sends of an order that got no answer.
	resendInterval = 150 * time.Millisecond
	// resendMax bounds the growth of that time at an engine that does not answer.
	resendMax = 2 * time.Second
	// lateOrders is how long after it was sent an order without an answer may be carried out.
	lateOrders = 13 * time.Second
	// usedMemory is the time over which the use of models is averaged.
	usedMemory = 15 * time.Second
	// downHosts is the number of hosts that must not reach an engine, within downTerm.
	downHosts = 2
	downTerm  = time.Second
	// hostSilence is how long the report of a silent host still counts.
	hostSilence = 3 * time.Second
	// settleTime keeps a model that was just loaded, so that those who waited for it can use it.
	settleTime = 1500 * time.Millisecond
)

// Action is what an order asks of an engine.
type Action uint8

// The actions.
const (
	Load Action = iota
	Unload
)

// String returns the log value of the action.
func (a Action) String() string {
	if a == Unload {
		return "unload"
	}
	return "load"
}

// Order is one order to one engine.
type Order struct {
	// ID identifies the sending of the order; the answer names it.
	ID       uint64
	Upstream fleet.Incarnation
	Addr     string
	Action   Action
	Model    entity.ModelID
	Adapter  entity.AdapterID
	// Expected is the number of orders that the engine must have accepted before.
	Expected int64
}

// Answer is the result of sending an order once.
type Answer uint8

// The answers.
const (
	// Accepted means that the engine carries out the order now.
	Accepted Answer = iota
	// AlreadyHolds means that the engine is in the ordered state.
	AlreadyHolds
	// Conflict means that another order is under way or that the count of orders differs.
	Conflict
	// Rejected means that the engine will not carry out the order.
	Rejected
	// NotSent means that no byte left this host.
	NotSent
	// Unknown means that the order may be carried out, now or later.
	Unknown
)

// String returns the log value of the answer.
func (a Answer) String() string {
	return [...]string{"accepted", "already_holds", "conflict", "rejected", "not_sent", "unknown"}[a]
}

// Report is what an engine says about itself.
type Report struct {
	Models   []fleet.Held
	Pending  []PendingAdapter
	Busy     bool
	Sequence int64
	InMemory []entity.ModelID
	OnDisk   []entity.ModelID
}

// PendingAdapter is an adapter on its way to an engine.
type PendingAdapter struct {
	Model   entity.ModelID
	Adapter entity.AdapterID
}

// Command is what the host must do: send an order or read a report.
type Command struct {
	Order *Order
	// Read names an engine whose report is wanted.
	Read *fleet.Upstream
}

// Policy switches to simpler behavior for measurements. The zero value is the product's policy.
type Policy struct {
	// ReportsOnly waits for a report to see the end of a load.
	ReportsOnly bool
	// CountFirst brings the model first that most requests wait for, in time or not.
	CountFirst bool
}

// Swapper holds the state of the coordinator.
type Swapper struct {
	policy   Policy
	catalog  *catalog.Catalog
	replicas map[entity.UpstreamID]*replica
	hosts    map[entity.HostID]hostRow
	models   map[modelKey]*modelRow
	// orders maps the last sending to its replica.
	orders map[uint64]*replica
	// probes maps the probes without an answer to their replicas.
	probes map[uint64]*replica
	nextID uint64
	// from is when the first order may be given; paused while the right is in doubt.
	from   time.Time
	paused bool
	out    []Command
	// dirty says that hosts have reported since the last decision; active says that changes are under way
	// or wanted.
	dirty, active bool
	index         index
	// storeBudgets bound how many loads start at the weight store, by service.
	storeBudgets map[catalog.ServiceID]*storeBudget
	// adapterMB is the memory that full adapter places need, by service.
	adapterMB map[catalog.ServiceID]float64
	// searches is the number of looks over all engines that are left to the decision under way.
	searches int
	parallel parallelism
	// version rises with every change of what replicas hold.
	version uint64
}

type hostRow struct {
	report wire.HostReport
	at     time.Time
}

type modelKey struct {
	service catalog.ServiceID
	model   entity.ModelID
}

// modelRow is what is known of the use of one model.
type modelRow struct {
	key modelKey
	// rate is the smoothed number of requests a second.
	rate    float64
	rateAt  time.Time
	waiting int
	// waitingSince is when the first of the waiting requests was reported.
	waitingSince time.Time
	// due is the latest time at which a waiting request passes the target of its route.
	due     time.Time
	running int
	// adapters counts the waiting requests by adapter.
	adapters map[entity.AdapterID]int
}

// orderIDBits is the room for the IDs of one term: an answer to an order of a former term must not
// be taken for the answer to one of this term.
const orderIDBits = 24

// New returns the Swapper of a coordinator that may give orders from a time on under a token.
func New(from time.Time, token int64) *Swapper {
	return &Swapper{
		nextID:       uint64(token) << orderIDBits,
		replicas:     make(map[entity.UpstreamID]*replica),
		hosts:        make(map[entity.HostID]hostRow),
		models:       make(map[modelKey]*modelRow),
		orders:       make(map[uint64]*replica),
		probes:       make(map[uint64]*replica),
		storeBudgets: make(map[catalog.ServiceID]*storeBudget),
		adapterMB:    make(map[catalog.ServiceID]float64),
		from:         from,
		parallel:     newParallelism(),
	}
}

// SetPolicy replaces the policy.
func (s *Swapper) SetPolicy(p Policy) { s.policy = p }

// Version changes whenever Holdings would return something else.
func (s *Swapper) Version() uint64 { return s.version }

func (s *Swapper) take() []Command {
	out := s.out
	s.out = nil
	return out
}

// SetPaused says whether the right to give orders is in doubt, so that none are given.
func (s *Swapper) SetPaused(paused bool) { s.paused = paused }

// SetCatalog puts a configuration in force.
func (s *Swapper) SetCatalog(c *catalog.Catalog) {
	s.catalog = c
	clear(s.adapterMB)
	for id, svc := range c.Services() {
		if svc.Engine != nil {
			s.adapterMB[id] = adapterReserveMB(svc.Engine)
		}
	}
}

// SetUpstream takes over an entry of the list.
func (s *Swapper) SetUpstream(u *fleet.Upstream, now time.Time) []Command {
	r := s.replicas[u.ID]
	if r == nil || r.up.Incarnation != u.Incarnation {
		pause := s.lateUntil(r)
		s.drop(r)
		r = newReplica(u)
		r.pausedTo = pause
		s.replicas[u.ID] = r
		s.changed()
		s.index.dropCopies()
		// The list lags; the report tells what the engine holds now.
		s.read(r, now)
		return s.take()
	}
	if r.up.Draining != u.Draining {
		s.changed()
		s.index.dropCopies()
	}
	r.up = u
	if r.noteCopies(u.InMemory, u.OnDisk) {
		s.index.dropCopies()
	}
	if u.Sequence > r.sequence && r.sending == nil {
		// Orders that this coordinator does not know have been carried out.
		s.read(r, now)
	}
	return s.take()
}

// lateUntil returns until when orders to a former incarnation of an engine may still be carried out
// by its successor under the same ID, whose count of orders starts anew and may match theirs. A
// new coordinator does not know which orders its predecessor left unanswered.
func (s *Swapper) lateUntil(former *replica) time.Time {
	if former == nil {
		return time.Time{}
	}
	until := s.from.Add(lateOrders)
	if !former.unansweredAt.IsZero() && former.unansweredAt.Add(lateOrders).After(until) {
		until = former.unansweredAt.Add(lateOrders)
	}
	return until
}

// RemoveUpstream takes an engine out of the table with all that was ordered there.
func (s *Swapper) RemoveUpstream(id entity.UpstreamID) {
	s.drop(s.replicas[id])
}

func (s *Swapper) drop(r *replica) {
	if r == nil {
		return
	}
	if r.sending != nil {
		delete(s.orders, r.sending.ID)
	}
	delete(s.replicas, r.up.ID)
	s.changed()
	s.index.dropCopies()
}

// changed notes that what engines hold has changed.
func (s *Swapper) changed() {
	s.version++
	s.index.dropHolders()
}

// HandleHost takes over the report of a host. What follows from it is decided at the next tick, for the
// reports of all hosts together.
func (s *Swapper) HandleHost(h wire.HostReport, now time.Time) {
	s.hosts[h.Host] = hostRow{report: h, at: now}
	for _, n := range h.Needs {
		row := s.row(catalog.ServiceID(n.Service), n.Model, now)
		row.rate += float64(n.Arrived) / usedMemory.Seconds()
		s.active = s.active || n.Waiting > 0
	}
	s.active = s.active || len(h.Down) > 0
	s.dirty = true
}

// noteDown finds the engines that several hosts cannot reach. One host may be cut off itself. The
// list shows a crashed engine only after some seconds, in which its models are needed elsewhere.
func (s *Swapper) noteDown(now time.Time) {
	count := make(map[entity.UpstreamID]int)
	for _, h := range s.hosts {
		if now.Sub(h.at) > downTerm {
			continue
		}
		for _, id := range h.report.Down {
			count[id]++
		}
	}
	needed := min(downHosts, len(s.hosts))
	for _, id := range slices.Sorted(maps.Keys(count)) {
		if r := s.replicas[id]; r != nil && count[id] >= needed && !r.down {
			r.down = true
			s.changed()
			s.index.dropCopies()
			s.read(r, now)
		}
	}
}

// up says that an engine answers again.
func (s *Swapper) up(r *replica) {
	if r.down {
		r.down = false
		s.changed()
		s.index.dropCopies()
	}
}

// row returns the row of a model with its rate decayed to now.
func (s *Swapper) row(service catalog.ServiceID, model entity.ModelID, now time.Time) *modelRow {
	key := modelKey{service: service, model: model}
	m := s.models[key]
	if m == nil {
		m = &modelRow{key: key, rateAt: now}
		s.models[key] = m
	}
	if dt := now.Sub(m.rateAt); dt > 0 {
		m.rate *= max(0, 1-dt.Seconds()/usedMemory.Seconds())
		m.rateAt = now
	}
	return m
}

// sumUp adds up what the hosts want and use.
func (s *Swapper) sumUp(now time.Time) {
	for _, m := range s.models {
		m.waiting, m.running = 0, 0
		clear(m.adapters)
	}
	for _, r := range s.replicas {
		r.clearUse()
	}
	for id, h := range s.hosts {
		if now.Sub(h.at) > hostSilence {
			delete(s.hosts, id)
			continue
		}
		s.addNeeds(h, now)
		for _, u := range h.report.Uses {
			s.addUse(u, now)
		}
	}
	for _, m := range s.models {
		if m.waiting == 0 {
			m.waitingSince = time.Time{}
		}
	}
}

func (s *Swapper) addNeeds(h hostRow, now time.Time) {
	for _, n := range h.report.Needs {
		if n.Waiting == 0 {
			continue
		}
		m := s.row(catalog.ServiceID(n.Service), n.Model, now)
		if m.waitingSince.IsZero() {
			m.waitingSince = now
		}
		if due := h.at.Add(n.Slack); m.waiting == 0 || due.After(m.due) {
			m.due = due
		}
		m.waiting += n.Waiting
		if n.Adapter != "" {
			if m.adapters == nil {
				m.adapters = make(map[entity.AdapterID]int)
			}
			m.adapters[n.Adapter] += n.Waiting
		}
	}
}

func (s *Swapper) addUse(u wire.PoolUse, now time.Time) {
	r := s.replicas[u.Upstream]
	if r == nil {
		return
	}
	r.running += u.Count
	s.row(r.up.Service, u.Model, now).running += u.Count
	if h := r.held[u.Model]; h != nil {
		h.running += u.Count
		h.usedAt = now
		if a := h.adapters[u.Adapter]; a != nil {
			a.running += u.Count
			a.usedAt = now
		}
	}
}

// Holding is what the coordinator knows of one engine.
type Holding struct {
	Upstream fleet.Incarnation
	// Held lists what can be used; a model that is being unloaded is not in it, and nothing is while
	// the engine cannot be reached.
	Held []fleet.Held
	// Running counts the requests of all hosts.
	Running int
}

// Holdings lists the engines whose state is known.
func (s *Swapper) Holdings() []Holding {
	out := make([]Holding, 0, len(s.replicas))
	for _, r := range s.replicas {
		switch {
		case r.down:
			out = append(out, Holding{Upstream: r.up.Incarnation, Running: r.running})
		case r.known:
			out = append(out, Holding{Upstream: r.up.Incarnation, Held: r.usable(), Running: r.running})
		}
	}
	return out
}
