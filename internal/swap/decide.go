package swap

import (
	"slices"
	"sort"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
)

const (
	// copyFillThreshold is the share of their slots up to which the replicas of a model are filled before
	// another replica is loaded from a copy. Engines read prompts between the tokens of running requests,
	// so the pauses in streams grow long before the slots are full.
	copyFillThreshold = 0.3
	// storeFillThreshold is that share if the new replica must be loaded from the weight store.
	storeFillThreshold = 0.45
	// reloadSeconds is the cost of evicting a replica: the time that a request loses when its model has to
	// be loaded again.
	reloadSeconds = 5.0
	// prefetchReserve is the number of concurrent loads from the weight store that prefetching leaves to
	// models that requests wait for.
	prefetchReserve = 1
	// priorRate is the request rate per second that is added to the observed rate of every model, because
	// an unused model may be requested at any time.
	priorRate = 0.05
	// minUnusedTime is how long no host may have used a model before it can be evicted. The reports of the
	// hosts are delayed, and an unload waits for running requests.
	minUnusedTime = 250 * time.Millisecond
	// maxEngineScans limits how many scans over all engines one tick may make, each to choose the engine that
	// loads one model from the weight store. The remaining models are considered at the next tick, in the
	// order of the demand at that time.
	maxEngineScans = 6
	// maxEvictionCandidates limits the models of one engine that are considered for eviction, because all
	// subsets of them are compared.
	maxEvictionCandidates = 8
)

// Tick performs the steps that are due and decides what to load and unload.
func (s *Swapper) Tick(now time.Time) []Command {
	s.decide(now)
	return s.takeCommands()
}

// NeedsTicks reports whether changes are in progress or wanted, so that Tick must be called often.
func (s *Swapper) NeedsTicks() bool { return s.active }

// hasPendingWork computes from the current state whether ticks must come often.
func (s *Swapper) hasPendingWork() bool {
	for _, r := range s.engineStates {
		if r.task != nil || r.pendingOrder != nil || r.nextReadAt != never && !r.nextReadAt.IsZero() {
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

// advanceNow performs the next step of an engine's task immediately. All other decisions are made at the
// next tick.
func (s *Swapper) advanceNow(r *engineState, now time.Time) {
	s.active = true
	if s.catalog != nil && !s.paused && !now.Before(s.firstOrderAt) && s.engineStates[r.upstream.ID] == r {
		s.advanceTask(r, now)
	}
}

func (s *Swapper) decide(now time.Time) {
	if s.dirty {
		s.dirty = false
		s.aggregateReports(now)
		s.markUnreachable(now)
	}
	if s.catalog == nil || s.paused {
		return
	}
	defer func() { s.active = s.hasPendingWork() }()
	s.scansLeft = maxEngineScans
	engines := s.configuredEngines()
	for _, r := range engines {
		s.pollReport(r, now)
	}
	if now.Before(s.firstOrderAt) {
		return
	}
	for _, r := range engines {
		s.advanceTask(r, now)
	}
	s.setStandings(now)
	wanted := s.wantedModels(now)
	s.loadAdapters(wanted, now)
	s.swapIn(wanted, engines, now)
	s.addReplicas(engines, now)
	s.addFasterCopies(engines, now)
	s.prefetch(engines, now)
}

// configuredEngines returns the engines whose service is configured, sorted by ID so that decisions do not
// depend on the iteration order of a map.
func (s *Swapper) configuredEngines() []*engineState {
	return slices.DeleteFunc(slices.Clone(s.index.engineStates(s)), func(r *engineState) bool { return s.engine(r.upstream.Service) == nil })
}

func (s *Swapper) pollReport(r *engineState, now time.Time) {
	if !r.nextReadAt.IsZero() && r.nextReadAt != never && !now.Before(r.nextReadAt) {
		s.readReport(r, now)
	}
}

// advanceTask performs the next step of an engine's task.
func (s *Swapper) advanceTask(r *engineState, now time.Time) {
	if r.pendingOrder != nil {
		if r.outcomeUnknown && !now.Before(r.resendAt) {
			s.resendOrder(r, now)
		}
		return
	}
	s.markAdaptersReady(r, now)
	t := r.task
	if t == nil || !t.readyAt.IsZero() && now.Before(t.readyAt) {
		return
	}
	switch t.stage {
	case stageUnload:
		s.advanceUnload(r, t, now)
	case stageLoad:
		s.sendOrder(r, Load, t.model, "", now)
	case stageLoading:
		s.probe(r, t, now)
	}
}

// advanceUnload sends the next unload order, or starts the load when the last unload is complete.
func (s *Swapper) advanceUnload(r *engineState, t *task, now time.Time) {
	if t.accepted {
		if t.awaitsReport {
			// Requests still use the model. A report shows when they have ended.
			return
		}
		delete(r.loadedModels, t.evict[0])
		s.index.invalidateModelReplicas()
		t.evict = t.evict[1:]
		t.accepted = false
	}
	if len(t.evict) > 0 {
		s.sendOrder(r, Unload, t.evict[0], "", now)
		return
	}
	t.stage = stageLoad
	t.started = now
	s.sendOrder(r, Load, t.model, "", now)
}

func (s *Swapper) markAdaptersReady(r *engineState, now time.Time) {
	for _, lm := range r.loadedModels {
		for _, a := range lm.adapters {
			if !a.readyAt.IsZero() && a.readyAt != never && !now.Before(a.readyAt) {
				a.readyAt = time.Time{}
				s.markChanged()
			}
		}
	}
}

// ready returns the engines that can be given requests for a model.
func (s *Swapper) ready(key modelKey) []*engineState { return s.index.replicasOf(s, key).ready }

// loading counts the engines whose task loads a model.
func (s *Swapper) loading(key modelKey) int { return len(s.index.replicasOf(s, key).loading) }

// storeLoads counts the tasks that load from the weight store.
func (s *Swapper) storeLoads() int { return s.index.storeLoadsOf(s) }

// hasCopy reports whether an engine that accepts requests has a copy of the weights.
func (s *Swapper) hasCopy(key modelKey) bool { return len(s.index.enginesWithCopy(s, key)) > 0 }

// hasSpareCopy reports whether an engine that accepts requests has a copy of the weights but has not loaded
// the model, or is unloading it.
func (s *Swapper) hasSpareCopy(key modelKey) bool {
	for _, r := range s.index.enginesWithCopy(s, key) {
		if lm := r.loadedModels[key.model]; lm == nil || lm.unloading {
			return true
		}
	}
	return false
}

// swapIn starts a load of every wanted model that no engine has loaded or is loading.
func (s *Swapper) swapIn(wanted []*modelDemand, engines []*engineState, now time.Time) {
	for _, m := range wanted {
		if len(s.ready(m.key)) > 0 || s.loading(m.key) > 0 {
			continue
		}
		switch {
		case s.hasSpareCopy(m.key):
			s.startLoad(m.key, engines, fromCopy, now)
		case s.canLoadFromStore(m.key, now):
			s.startLoad(m.key, engines, fromStore, now)
		}
	}
}

// addReplicas adds replicas of models whose replicas are filled beyond a threshold.
func (s *Swapper) addReplicas(engines []*engineState, now time.Time) {
	for _, m := range s.busyModels() {
		e := s.engine(m.key.service)
		if e == nil {
			continue
		}
		have := s.capacity(m.key, e.Slots, now)
		load := float64(m.running+m.waiting) / float64(max(e.Slots, 1))
		switch {
		case have == 0 || have >= load/copyFillThreshold:
		case s.startLoad(m.key, engines, fromCopy, now):
		case have < load/storeFillThreshold && s.canLoadFromStore(m.key, now):
			s.startLoad(m.key, engines, fromStore, now)
		}
	}
}

func (s *Swapper) busyModels() []*modelDemand {
	var out []*modelDemand
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
		if out[i].key.model != out[j].key.model {
			return out[i].key.model < out[j].key.model
		}
		return out[i].key.release < out[j].key.release
	})
	return out
}

// prefetch starts loads from the weight store of models of which no engine has a copy.
func (s *Swapper) prefetch(engines []*engineState, now time.Time) {
	for id, svc := range s.catalog.Services() {
		if svc.Engine == nil {
			continue
		}
		for s.storeLoads() < max(s.parallel.maxLoads()-prefetchReserve, 1) && s.canLoadFromStore(modelKey{service: id}, now) {
			key, ok := s.nextPrefetch(id, svc.Engine, now)
			if !ok || !s.startLoad(key, engines, fromStore, now) {
				break
			}
		}
	}
}

// nextPrefetch returns the model with the highest request rate among those without a copy.
func (s *Swapper) nextPrefetch(id catalog.ServiceID, e *catalog.Engine, now time.Time) (modelKey, bool) {
	var best modelKey
	bestRate := -1.0
	for name := range e.Models {
		key := modelKey{service: id, model: name}
		if s.hasCopy(key) || s.loading(key) > 0 || len(s.ready(key)) > 0 || s.loadPaused(key, now) {
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

// source is where the weights of a load come from.
type source uint8

const (
	// fromCopy loads use a copy in the memory or on the disk of the machine of the engine.
	fromCopy source = iota
	// fromStore loads use the weight store, on engines without a copy.
	fromStore
)

// startLoad starts a task that loads a model on the engine with the lowest cost. It returns false when no
// engine can load it now.
func (s *Swapper) startLoad(key modelKey, engines []*engineState, src source, now time.Time) bool {
	anywhere := func(*engineState, float64) bool { return true }
	return s.startLoadWhere(key, engines, src, anywhere, now) != nil
}

// startLoadWhere is startLoad for the engines that are allowed at the cost of the evictions there. It returns the engine,
// nil when none can load the model now.
func (s *Swapper) startLoadWhere(key modelKey, engines []*engineState, src source, allowed func(r *engineState, evictionCost float64) bool, now time.Time) *engineState {
	e := s.engine(key.service)
	if e == nil || e.Models[key.model] == nil || s.loadPaused(key, now) {
		return nil
	}
	switch {
	case src == fromCopy:
		engines = s.index.enginesWithCopy(s, key)
	case s.scansLeft == 0:
		return nil
	default:
		s.scansLeft--
	}
	var best *engineState
	var bestEvict []entity.ModelID
	var bestCost float64
	for _, r := range engines {
		if !key.admits(r) || !r.canStartTask(now) || r.loadedModels[key.model] != nil {
			continue
		}
		from := r.copies[key.model]
		if (from != 0) != (src == fromCopy) {
			continue
		}
		evict, cost, ok := s.cheapestEviction(r, e, e.Models[key.model].SizeMB, key.release != "", now)
		if !ok || !allowed(r, cost) {
			continue
		}
		cost += s.loadCost(r, e.Models[key.model], from) + s.speedCost(r, key, e.Slots, now)
		if best == nil || cost < bestCost {
			best, bestEvict, bestCost = r, evict, cost
		}
	}
	if best == nil {
		return nil
	}
	s.chargeLoad(key, src, nominalLoadTime(best, e.Models[key.model]), now)
	s.startTask(best, key.model, bestEvict, now)
	return best
}

// loadCost returns the cost of loading a model on an engine, apart from evictions. It prefers faster copies
// and engines with fewer running requests. For loads from the weight store it also prefers engines with
// fewer copies, because the engine can execute no other order during the load.
func (s *Swapper) loadCost(r *engineState, m *catalog.Model, from copyLocation) float64 {
	cost := 0.01 * float64(r.running)
	switch from {
	case inMemory:
		return cost + m.MemoryLoad.Seconds()
	case onDisk:
		return cost + m.DiskLoad.Seconds()
	}
	return cost + 0.05*float64(len(r.copies))
}

// canStartTask reports whether an engine can be given a new task.
func (e *engineState) canStartTask(now time.Time) bool {
	return e.stateKnown && e.acceptsRequests() && e.task == nil && e.pendingOrder == nil && !now.Before(e.pausedUntil)
}

// startTask starts a task that evicts models and then loads one.
func (s *Swapper) startTask(r *engineState, model entity.ModelID, evict []entity.ModelID, now time.Time) {
	r.task = &task{model: model, evict: evict, loadFrom: r.copies[model], started: now}
	if r.task.usesStore() {
		s.consumeStoreLoad(r.upstream.Service, now)
	}
	for _, id := range evict {
		r.loadedModels[id].unloading = true
	}
	s.index.invalidateModelReplicas()
	if len(evict) > 0 {
		s.markChanged()
	}
	s.advanceTask(r, now)
}
