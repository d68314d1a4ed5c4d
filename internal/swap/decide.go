package swap

import (
	"slices"
	"sort"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
)

const (
	// targetFill is the share of its slots up to which the replicas of a model are filled before
	// another one is added. Prompts are read between the tokens of running requests, so the pauses
	// in streams grow long before the slots are full.
	targetFill = 0.3
	// storeFill is that share where the replica must be loaded from the weight store.
	storeFill = 0.45
	// evictionSeconds weighs a lost replica: the time that a request loses when its model has to
	// be swapped in again.
	evictionSeconds = 5.0
	// prefetchReserve is the number of loads of the weight store that are left to models that requests
	// wait for.
	prefetchReserve = 1
	// priorRate is assumed for every model, in requests a second: an unused model may be asked for.
	priorRate = 0.05
	// unusedTime is how long no host must have had a request for a model that is unloaded: the hosts'
	// reports are behind, and an unload waits for requests that run.
	unusedTime = 250 * time.Millisecond
	// maxSearches bounds the looks over all engines for a place for one model in one decision. Models that
	// get no look have theirs at the next tick, if they are still the ones with the most demand.
	maxSearches = 6
	// maxModels bounds the models of one engine that are looked at for eviction.
	maxModels = 8
)

// Tick advances what depends on time.
func (s *Swapper) Tick(now time.Time) []Command {
	s.decide(now)
	return s.take()
}

// Active says whether changes are under way or wanted, so that ticks must come often.
func (s *Swapper) Active() bool { return s.active }

// wantsTicks says the same from the tables.
func (s *Swapper) wantsTicks() bool {
	for _, r := range s.replicas {
		if r.task != nil || r.sending != nil || r.readAt != never && !r.readAt.IsZero() {
			return true
		}
	}
	for _, m := range s.models {
		if m.waiting > 0 {
			return true
		}
	}
	return false
}

// follow takes the next step of an engine's task at once; everything else is decided at the next tick.
func (s *Swapper) follow(r *replica, now time.Time) {
	s.active = true
	if s.catalog != nil && !s.paused && !now.Before(s.from) && s.replicas[r.up.ID] == r {
		s.advance(r, now)
	}
}

func (s *Swapper) decide(now time.Time) {
	if s.dirty {
		s.dirty = false
		s.sumUp(now)
		s.noteDown(now)
	}
	if s.catalog == nil || s.paused {
		return
	}
	defer func() { s.active = s.wantsTicks() }()
	s.searches = maxSearches
	rows := s.sortedReplicas()
	for _, r := range rows {
		s.pollReport(r, now)
	}
	if now.Before(s.from) {
		return
	}
	for _, r := range rows {
		s.advance(r, now)
	}
	wanted := s.wantedModels(now)
	s.loadAdapters(wanted, now)
	s.swapIn(wanted, rows, now)
	s.addReplicas(rows, now)
	s.prefetch(rows, now)
}

// sortedReplicas returns the engines in an order that does not depend on the map.
func (s *Swapper) sortedReplicas() []*replica {
	return slices.DeleteFunc(slices.Clone(s.index.replicas(s)), func(r *replica) bool { return s.engine(r.up.Service) == nil })
}

func (s *Swapper) pollReport(r *replica, now time.Time) {
	if !r.readAt.IsZero() && r.readAt != never && !now.Before(r.readAt) {
		s.read(r, now)
	}
}

// advance takes the next step of an engine's task.
func (s *Swapper) advance(r *replica, now time.Time) {
	if r.sending != nil {
		if r.doubtful && !now.Before(r.resendAt) {
			s.resend(r, now)
		}
		return
	}
	s.adaptersReady(r, now)
	t := r.task
	if t == nil || !t.readyAt.IsZero() && now.Before(t.readyAt) {
		return
	}
	switch t.stage {
	case stageUnload:
		s.advanceUnload(r, t, now)
	case stageLoad:
		s.send(r, Load, t.model, "", now)
	case stageLoading:
		s.probe(r, t, now)
	}
}

// advanceUnload sends the next unload, or goes on to the load when the last one is over.
func (s *Swapper) advanceUnload(r *replica, t *task, now time.Time) {
	if t.accepted {
		if t.awaitReport {
			// Requests still run there; the report tells when they have ended.
			return
		}
		delete(r.held, t.evict[0])
		s.index.dropHolders()
		t.evict = t.evict[1:]
		t.accepted = false
	}
	if len(t.evict) > 0 {
		s.send(r, Unload, t.evict[0], "", now)
		return
	}
	t.stage = stageLoad
	t.started = now
	s.send(r, Load, t.model, "", now)
}

func (s *Swapper) adaptersReady(r *replica, now time.Time) {
	for _, h := range r.held {
		for _, a := range h.adapters {
			if !a.readyAt.IsZero() && a.readyAt != never && !now.Before(a.readyAt) {
				a.readyAt = time.Time{}
				s.changed()
			}
		}
	}
}

// ready lists the engines that can be given requests for a model.
func (s *Swapper) ready(key modelKey) []*replica { return s.index.holdersOf(s, key).ready }

// loading counts the tasks that bring a model.
func (s *Swapper) loading(key modelKey) int { return len(s.index.holdersOf(s, key).loading) }

// storeLoads counts the tasks that use the weight store.
func (s *Swapper) storeLoads() int { return s.index.storeLoadsOf(s) }

// hasCopy says whether an engine that stays has a copy of the weights.
func (s *Swapper) hasCopy(key modelKey) bool { return len(s.index.copiesOf(s, key)) > 0 }

// hasSpareCopy says whether an engine that stays and does not hold the model, or is about to drop it,
// has a copy.
func (s *Swapper) hasSpareCopy(key modelKey) bool {
	for _, r := range s.index.copiesOf(s, key) {
		if h := r.held[key.model]; h == nil || h.unloading {
			return true
		}
	}
	return false
}

// swapIn starts a task for every wanted model that no engine serves or loads.
func (s *Swapper) swapIn(wanted []*modelRow, rows []*replica, now time.Time) {
	for _, m := range wanted {
		if len(s.ready(m.key)) > 0 || s.loading(m.key) > 0 {
			continue
		}
		switch {
		case s.hasSpareCopy(m.key):
			s.bring(m.key, rows, fromCopy, now)
		case s.storeMayLoad(m.key.service, now):
			s.bring(m.key, rows, fromStore, now)
		}
	}
}

// addReplicas adds replicas of models whose replicas are filling up.
func (s *Swapper) addReplicas(rows []*replica, now time.Time) {
	for _, m := range s.busyModels() {
		e := s.engine(m.key.service)
		if e == nil {
			continue
		}
		have := len(s.ready(m.key)) + s.loading(m.key)
		load := float64(m.running+m.waiting) / float64(max(e.Slots, 1))
		switch {
		case have == 0 || float64(have) >= load/targetFill:
		case s.bring(m.key, rows, fromCopy, now):
		case float64(have) < load/storeFill && s.storeMayLoad(m.key.service, now):
			s.bring(m.key, rows, fromStore, now)
		}
	}
}

func (s *Swapper) busyModels() []*modelRow {
	var out []*modelRow
	for _, m := range s.models {
		if m.running+m.waiting > 0 {
			out = append(out, m)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := out[i].running+out[i].waiting, out[j].running+out[j].waiting
		if a != b {
			return a > b
		}
		return out[i].key.model < out[j].key.model
	})
	return out
}

// prefetch uses the weight store to give models a copy that have none.
func (s *Swapper) prefetch(rows []*replica, now time.Time) {
	for id, svc := range s.catalog.Services() {
		if svc.Engine == nil {
			continue
		}
		for s.storeLoads() < max(s.parallel.loads()-prefetchReserve, 1) && s.storeMayLoad(id, now) {
			key, ok := s.nextPrefetch(id, svc.Engine)
			if !ok || !s.bring(key, rows, fromStore, now) {
				break
			}
		}
	}
}

// nextPrefetch returns the most used model without a copy.
func (s *Swapper) nextPrefetch(id catalog.ServiceID, e *catalog.Engine) (modelKey, bool) {
	var best modelKey
	bestRate := -1.0
	for name := range e.Models {
		key := modelKey{service: id, model: name}
		if s.hasCopy(key) || s.loading(key) > 0 || len(s.ready(key)) > 0 {
			continue
		}
		rate := 0.0
		if m := s.models[key]; m != nil {
			rate = m.rate
		}
		if rate > bestRate || rate == bestRate && name < best.model {
			best, bestRate = key, rate
		}
	}
	return best, bestRate >= 0
}

// source says where the weights of a load come from.
type source uint8

const (
	// fromCopy loads use a copy on the machine of the engine.
	fromCopy source = iota
	// fromStore loads use the weight store, on engines without a copy.
	fromStore
)

// bring starts a task that loads a model on the engine where it costs least. It returns false
// when no engine can take it now.
func (s *Swapper) bring(key modelKey, rows []*replica, src source, now time.Time) bool {
	e := s.engine(key.service)
	if e == nil || e.Models[key.model] == nil {
		return false
	}
	switch {
	case src == fromCopy:
		rows = s.index.copiesOf(s, key)
	case s.searches == 0:
		return false
	default:
		s.searches--
	}
	var best *replica
	var bestEvict []entity.ModelID
	var bestCost float64
	for _, r := range rows {
		if r.up.Service != key.service || !r.free(now) || r.held[key.model] != nil {
			continue
		}
		from := r.copies[key.model]
		if (from != 0) != (src == fromCopy) {
			continue
		}
		evict, cost, ok := s.eviction(r, e, e.Models[key.model].SizeMB, now)
		if !ok {
			continue
		}
		cost += s.placeCost(r, e.Models[key.model], from)
		if best == nil || cost < bestCost {
			best, bestEvict, bestCost = r, evict, cost
		}
	}
	if best == nil {
		return false
	}
	s.start(best, key.model, bestEvict, now)
	return true
}

// placeCost prefers faster copies, engines with less work, and for loads from the store those
// with fewer copies, because the engine can carry out no other order meanwhile.
func (s *Swapper) placeCost(r *replica, m *catalog.Model, from place) float64 {
	cost := 0.01 * float64(r.running)
	switch from {
	case inMemory:
		return cost + m.MemoryLoad.Seconds()
	case onDisk:
		return cost + m.DiskLoad.Seconds()
	}
	return cost + 0.05*float64(len(r.copies))
}

// free says whether an engine can be given a new task.
func (r *replica) free(now time.Time) bool {
	return r.known && r.serves() && r.task == nil && r.sending == nil && !now.Before(r.pausedTo)
}

// start begins a task.
func (s *Swapper) start(r *replica, model entity.ModelID, evict []entity.ModelID, now time.Time) {
	r.task = &task{model: model, evict: evict, from: r.copies[model], started: now}
	if r.task.usesStore() {
		s.countStoreLoad(r.up.Service, now)
	}
	for _, id := range evict {
		r.held[id].unloading = true
	}
	s.index.dropHolders()
	if len(evict) > 0 {
		s.changed()
	}
	s.advance(r, now)
}
