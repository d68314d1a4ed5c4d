// Package swap decides which models and adapters the engines load. It runs on the one host that holds the
// coordinator lease. The memory of an engine holds a few models. Copies of further models are in the main
// memory and on the disk of its machine, from where a load takes a fraction of a second. A load from the
// weight store takes several seconds, and the store serves only a few loads at a time. So models are loaded
// where a copy exists, and the weight store is used to give every model a copy.
//
// A task is one change of an engine: orders that unload models, and then an order that loads one. An engine
// counts the orders that it accepts, and refuses an order that expects another count, so that an order which
// arrives late or twice has no effect. The end of a load shows in a later report of the engine, or in the
// answer to a probe, which is the load order sent again.
//
// The package does no I/O: events arrive as method calls with the current time, and orders and reads of engine
// reports are returned as commands.
package swap

import (
	"maps"
	"slices"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/fairshare"
	"github.com/foxtailpass/foxtailpass/internal/fleet"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

const (
	// maxReportLag is the maximum age of an engine's report when it arrives.
	maxReportLag = 150 * time.Millisecond
	// firstPollDelay and pollInterval determine when a report is read while an order is executed.
	firstPollDelay = 20 * time.Millisecond
	pollInterval   = 60 * time.Millisecond
	// resendInterval is the time before an unanswered order is first sent again.
	resendInterval = 150 * time.Millisecond
	// maxResendInterval bounds the growth of that time for an engine that does not answer.
	maxResendInterval = 2 * time.Second
	// lateOrderWindow is how long after it was sent an unanswered order may still be executed.
	lateOrderWindow = 13 * time.Second
	// usageWindow is the time over which the request rate of models is averaged.
	usageWindow = 15 * time.Second
	// minUnreachableHosts is the number of hosts that must report an engine as unreachable within
	// unreachableReportAge before it is considered unreachable.
	minUnreachableHosts  = 2
	unreachableReportAge = time.Second
	// hostReportTTL is how long the last report of a host is used when no newer one arrives.
	hostReportTTL = 3 * time.Second
	// minLoadedTime is how long a model stays loaded at least, so that the requests that waited for it can
	// use it.
	minLoadedTime = 1500 * time.Millisecond
)

// Action is what an order tells an engine to do.
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
	// ID identifies one sending of the order. The answer refers to it.
	ID       uint64
	Upstream fleet.Incarnation
	Addr     string
	Action   Action
	Model    entity.ModelID
	Adapter  entity.AdapterID
	// Expected is the number of orders that the engine must have accepted since its start. An engine with
	// another count refuses the order.
	Expected int64
}

// Answer is the result of sending an order.
type Answer uint8

// The answers.
const (
	// Accepted means that the engine is now executing the order.
	Accepted Answer = iota
	// AlreadyDone means that the engine is already in the ordered state.
	AlreadyDone
	// Conflict means that another order is in progress or that the order count differs.
	Conflict
	// Rejected means that the engine will not execute the order.
	Rejected
	// NotSent means that no byte was sent.
	NotSent
	// Unknown means that the order may have been executed or may be executed later.
	Unknown
)

// String returns the log value of the answer.
func (a Answer) String() string {
	return [...]string{"accepted", "already_holds", "conflict", "rejected", "not_sent", "unknown"}[a]
}

// Report is the state that an engine reports.
type Report struct {
	Models   []fleet.LoadedModel
	Pending  []PendingAdapter
	Busy     bool
	Sequence int64
	InMemory []entity.ModelID
	OnDisk   []entity.ModelID
}

// PendingAdapter is an adapter that an engine is loading.
type PendingAdapter struct {
	Model   entity.ModelID
	Adapter entity.AdapterID
}

// Command tells the host to send an order or to read a report.
type Command struct {
	Order *Order
	// Read is the engine whose report must be read.
	Read *fleet.Upstream
}

// Policy selects simpler behavior for comparisons. The zero value is the behavior used in production.
type Policy struct {
	// ReportsOnly disables probes, so that only a report shows the end of a load.
	ReportsOnly bool
	// CountFirst loads the models with the most waiting requests first, whether or not these can be served
	// in time.
	CountFirst bool
}

// Swapper holds the state of the coordinator from which it decides what the engines load and unload.
type Swapper struct {
	policy       Policy
	catalog      *catalog.Catalog
	engineStates map[entity.UpstreamID]*engineState
	hosts        map[entity.HostID]receivedReport
	models       map[modelKey]*modelDemand
	// orders maps the ID of each sent order without an answer to its engine.
	orders map[uint64]*engineState
	// probes maps the ID of each probe without an answer to its engine.
	probes map[uint64]*engineState
	nextID uint64
	// firstOrderAt is when the first order may be sent. paused is true while it is uncertain whether this
	// host holds the coordinator lease.
	firstOrderAt time.Time
	paused       bool
	commands     []Command
	// dirty is true when hosts have reported since the last decision. active is the result of NeedsTicks.
	dirty, active bool
	// anyAvoided is true while any engine is avoided.
	anyAvoided bool
	index      index
	// storeBudgets limits how many loads start at the weight store, by service.
	storeBudgets map[catalog.ServiceID]*storeBudget
	// adapterMB is the memory needed when all adapter slots are used, by service.
	adapterMB map[catalog.ServiceID]float64
	// scansLeft is the number of scans over all engines that the current decision may still make.
	scansLeft int
	parallel  parallelism
	// loadCrashes counts by model the engines that ended while they loaded it.
	loadCrashes map[modelKey]loadCrashes
	// speedFactor is the function of SetSpeeds, nil without one.
	speedFactor func(id entity.UpstreamID, model entity.ModelID, now time.Time) float64
	// fasterCopies are those that TakeFasterCopies has not returned.
	fasterCopies []FasterCopy
	// shares orders loads by the shares of workspaces, nil if they are not shared.
	shares *loadShares
	// version increases with every change of the models that engines have loaded.
	version uint64
}

type receivedReport struct {
	report     wire.HostReport
	receivedAt time.Time
}

// modelKey is a model of a service, at the engines of one release if that is set.
type modelKey struct {
	service catalog.ServiceID
	model   entity.ModelID
	release entity.Release
}

// anyRelease returns the key of the model at all engines.
func (k modelKey) anyRelease() modelKey {
	return modelKey{service: k.service, model: k.model}
}

// admits reports whether the key includes the replica of the model at an engine.
func (k modelKey) admits(r *engineState) bool {
	return r.upstream.Service == k.service && (k.release == "" || k.release == r.upstream.Release)
}

// modelDemand is the demand for one model, summed over the hosts. If its key has a release, it is the demand of the streams
// that have begun there and can be continued nowhere else.
type modelDemand struct {
	key modelKey
	// rate is the smoothed number of requests per second.
	rate    float64
	rateAt  time.Time
	waiting int
	// waitingSince is since when requests have waited for the model without a break, zero if none waits.
	waitingSince time.Time
	// due is the latest time at which a waiting request exceeds the target latency of its route.
	due     time.Time
	running int
	// adapters counts the waiting requests by adapter.
	adapters map[entity.AdapterID]int
	// slowSince is since when all replicas have been slow, zero if one is not. copiedAt is when a further copy was last
	// loaded on a faster engine.
	slowSince, copiedAt time.Time
	// tokens holds the tokens of the waiting requests by workspace, as far as the hosts report them.
	tokens map[entity.WorkspaceID]float64
	// standing is that in the last order.
	standing fairshare.Standing
}

// orderIDBits is the number of bits for the order IDs under one fencing token. The token is in the bits
// above, so that a late answer to an order of an earlier lease is not taken for the answer to a current
// order.
const orderIDBits = 24

// New returns the Swapper of a coordinator that may send orders from firstOrderAt on under a fencing token.
func New(firstOrderAt time.Time, token int64) *Swapper {
	return &Swapper{
		nextID:       kvstore.TokenSpace(token, orderIDBits),
		engineStates: make(map[entity.UpstreamID]*engineState),
		hosts:        make(map[entity.HostID]receivedReport),
		models:       make(map[modelKey]*modelDemand),
		orders:       make(map[uint64]*engineState),
		probes:       make(map[uint64]*engineState),
		storeBudgets: make(map[catalog.ServiceID]*storeBudget),
		adapterMB:    make(map[catalog.ServiceID]float64),
		loadCrashes:  make(map[modelKey]loadCrashes),
		firstOrderAt: firstOrderAt,
		parallel:     newParallelism(),
	}
}

// SetPolicy replaces the policy.
func (s *Swapper) SetPolicy(p Policy) { s.policy = p }

// Version changes whenever the models in the result of EngineViews may have changed.
func (s *Swapper) Version() uint64 { return s.version }

func (s *Swapper) takeCommands() []Command {
	commands := s.commands
	s.commands = nil
	return commands
}

// SetPaused sets whether decisions are paused. They are paused while it is uncertain whether this host holds
// the coordinator lease, because no orders may be sent then.
func (s *Swapper) SetPaused(paused bool) { s.paused = paused }

// SetCatalog activates a configuration.
func (s *Swapper) SetCatalog(c *catalog.Catalog) {
	s.catalog = c
	clear(s.adapterMB)
	for id, svc := range c.Services() {
		if svc.Engine != nil {
			s.adapterMB[id] = svc.Engine.AdapterReserveMB()
		}
	}
}

// SetUpstream processes a new or changed list entry of an engine.
func (s *Swapper) SetUpstream(u *fleet.Upstream, now time.Time) []Command {
	r := s.engineStates[u.ID]
	if r == nil || r.upstream.Incarnation != u.Incarnation {
		pause := s.lateOrdersUntil(r)
		s.recordEnd(r, now)
		s.removeEngine(r)
		r = newEngineState(u)
		r.pausedUntil = pause
		s.engineStates[u.ID] = r
		s.markChanged()
		s.index.invalidateCopies()
		// The list entry may be out of date. The report shows what the engine has loaded now.
		s.readReport(r, now)
		return s.takeCommands()
	}
	if r.upstream.Draining != u.Draining {
		s.markChanged()
		s.index.invalidateCopies()
	}
	r.upstream = u
	if r.setCopies(u.InMemory, u.OnDisk) {
		s.index.invalidateCopies()
	}
	if u.Sequence > r.sequence && r.pendingOrder == nil {
		// The engine has executed orders that this coordinator does not know.
		s.readReport(r, now)
	}
	return s.takeCommands()
}

// lateOrdersUntil returns until when orders to a former incarnation of an engine may still be executed by
// its successor with the same ID, whose order count restarts at zero and may match the count in these
// orders. A new coordinator does not know which orders its predecessor left unanswered.
func (s *Swapper) lateOrdersUntil(former *engineState) time.Time {
	if former == nil {
		return time.Time{}
	}
	until := s.firstOrderAt.Add(lateOrderWindow)
	if !former.unansweredAt.IsZero() && former.unansweredAt.Add(lateOrderWindow).After(until) {
		until = former.unansweredAt.Add(lateOrderWindow)
	}
	return until
}

// RemoveUpstream removes an engine and its pending order.
func (s *Swapper) RemoveUpstream(id entity.UpstreamID) {
	s.removeEngine(s.engineStates[id])
}

func (s *Swapper) removeEngine(r *engineState) {
	if r == nil {
		return
	}
	if r.pendingOrder != nil {
		delete(s.orders, r.pendingOrder.ID)
	}
	delete(s.engineStates, r.upstream.ID)
	s.markChanged()
	s.index.invalidateCopies()
}

// markChanged records that the models that engines have loaded have changed.
func (s *Swapper) markChanged() {
	s.version++
	s.index.invalidateModelReplicas()
}

// HandleHostReport processes the report of a host. The resulting decisions are made at the next tick, for the
// reports of all hosts together.
func (s *Swapper) HandleHostReport(h wire.HostReport, now time.Time) {
	s.hosts[h.Host] = receivedReport{report: h, receivedAt: now}
	for _, n := range h.PoolDemands {
		demand := s.demand(modelKey{service: catalog.ServiceID(n.Service), model: n.Model}, now)
		demand.rate += float64(n.Arrived) / usageWindow.Seconds()
		s.active = s.active || n.Waiting > 0
	}
	s.active = s.active || len(h.Unreachable) > 0
	s.dirty = true
}

// markUnreachable marks the engines that several hosts cannot reach, because a single host may itself be
// disconnected. If there is only one host, its report suffices. The list entry of a crashed engine expires
// only after some seconds, during which its models are needed elsewhere.
func (s *Swapper) markUnreachable(now time.Time) {
	count := make(map[entity.UpstreamID]int)
	for _, h := range s.hosts {
		if now.Sub(h.receivedAt) > unreachableReportAge {
			continue
		}
		for _, id := range h.report.Unreachable {
			count[id]++
		}
	}
	needed := min(minUnreachableHosts, len(s.hosts))
	for _, id := range slices.Sorted(maps.Keys(count)) {
		if r := s.engineStates[id]; r != nil && count[id] >= needed && !r.unreachable {
			r.unreachable = true
			s.markChanged()
			s.index.invalidateCopies()
			s.readReport(r, now)
		}
	}
}

// markReachable records that an engine answers again.
func (s *Swapper) markReachable(r *engineState) {
	if r.unreachable {
		r.unreachable = false
		s.markChanged()
		s.index.invalidateCopies()
	}
}

// SetAvoided sets the engines that take fewer requests than they are asked for, or want none. What they have loaded is
// loaded elsewhere for waiting requests, and nothing is loaded there.
func (s *Swapper) SetAvoided(avoided map[entity.UpstreamID]bool) {
	if len(avoided) == 0 && !s.anyAvoided {
		return
	}
	s.anyAvoided = len(avoided) > 0
	for id, r := range s.engineStates {
		if r.avoided != avoided[id] {
			r.avoided = avoided[id]
			s.markChanged()
			s.index.invalidateCopies()
		}
	}
}

// demand returns the demand for a model with its rate decayed to now.
func (s *Swapper) demand(key modelKey, now time.Time) *modelDemand {
	m := s.models[key]
	if m == nil {
		m = &modelDemand{key: key, rateAt: now}
		s.models[key] = m
	}
	if dt := now.Sub(m.rateAt); dt > 0 {
		m.rate *= max(0, 1-dt.Seconds()/usageWindow.Seconds())
		m.rateAt = now
	}
	return m
}

// aggregateReports sums the waiting and running requests over the reports of the hosts.
func (s *Swapper) aggregateReports(now time.Time) {
	for _, m := range s.models {
		m.waiting, m.running = 0, 0
		clear(m.adapters)
		clear(m.tokens)
	}
	for _, r := range s.engineStates {
		r.resetRunning()
	}
	for id, h := range s.hosts {
		if now.Sub(h.receivedAt) > hostReportTTL {
			delete(s.hosts, id)
			continue
		}
		s.addPoolDemands(h, now)
		for _, u := range h.report.Uses {
			s.addUse(u, now)
		}
	}
	for key, m := range s.models {
		if m.waiting > 0 {
			continue
		}
		m.waitingSince = time.Time{}
		if key.release != "" {
			delete(s.models, key)
		}
	}
}

func (s *Swapper) addPoolDemands(h receivedReport, now time.Time) {
	for _, n := range h.report.PoolDemands {
		if n.Waiting == 0 {
			continue
		}
		m := s.demand(modelKey{service: catalog.ServiceID(n.Service), model: n.Model, release: n.Release}, now)
		if m.waitingSince.IsZero() {
			m.waitingSince = now
		}
		if due := h.receivedAt.Add(n.TimeToTarget); m.waiting == 0 || due.After(m.due) {
			m.due = due
		}
		m.waiting += n.Waiting
		s.addTokens(m, n.Workspaces)
		if n.Adapter != "" {
			if m.adapters == nil {
				m.adapters = make(map[entity.AdapterID]int)
			}
			m.adapters[n.Adapter] += n.Waiting
		}
	}
}

func (s *Swapper) addUse(u wire.PoolUse, now time.Time) {
	r := s.engineStates[u.Upstream]
	if r == nil {
		return
	}
	r.running += u.Count
	s.demand(modelKey{service: r.upstream.Service, model: u.Model}, now).running += u.Count
	if lm := r.loadedModels[u.Model]; lm != nil {
		lm.running += u.Count
		lm.usedAt = now
		if a := lm.adapters[u.Adapter]; a != nil {
			a.running += u.Count
			a.usedAt = now
		}
	}
}

// EngineView is the state of one engine as known to the coordinator.
type EngineView struct {
	Upstream fleet.Incarnation
	// LoadedModels lists the models that requests can use. It excludes models that are being unloaded, and is
	// empty while the engine is unreachable.
	LoadedModels []fleet.LoadedModel
	// Running is the number of running requests of all hosts.
	Running int
}

// EngineViews returns the engines whose state is known or that are unreachable.
func (s *Swapper) EngineViews() []EngineView {
	out := make([]EngineView, 0, len(s.engineStates))
	for _, r := range s.engineStates {
		switch {
		case r.unreachable:
			out = append(out, EngineView{Upstream: r.upstream.Incarnation, Running: r.running})
		case r.stateKnown:
			out = append(out, EngineView{Upstream: r.upstream.Incarnation, LoadedModels: r.usableModels(), Running: r.running})
		}
	}
	return out
}
