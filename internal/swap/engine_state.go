package swap

import (
	"sort"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/fleet"
)

// engineState is the state of one engine.
type engineState struct {
	upstream *fleet.Upstream
	// stateKnown is true once a report has shown what the engine has loaded. It is false again after a task
	// was abandoned, until the next report.
	stateKnown bool
	// unreachable is true from the time when enough hosts cannot reach the engine until its next report.
	unreachable bool
	// avoided is true while the engine takes fewer requests than it is asked for, or wants none. Its models are then
	// needed elsewhere.
	avoided bool
	// sequence is the number of orders that the engine is known to have accepted since its start.
	sequence int64
	// loadedModels holds the loaded models by ID, including those that are being unloaded.
	loadedModels map[entity.ModelID]*loadedModel
	copies       map[entity.ModelID]copyLocation
	running      int

	// pendingOrder is the order that has no answer yet. No other order is sent until it is answered.
	pendingOrder *Order
	// unansweredAt is when the last order or probe was found to have no answer.
	unansweredAt time.Time
	// outcomeUnknown is true when the pending order may have been accepted or may still be executed later.
	outcomeUnknown bool
	resendAt       time.Time
	resends        int
	// task is the change in progress.
	task *task
	// readInProgress is true while a requested report has not arrived. nextReadAt is when to request the
	// next one.
	readInProgress bool
	readStartedAt  time.Time
	nextReadAt     time.Time
	// Reports that were requested before ignoreReportsBefore may be older than the last order and are
	// ignored.
	ignoreReportsBefore time.Time
	// No new task starts before pausedUntil: after a conflict, or while late orders may still arrive.
	pausedUntil time.Time
}

// copyLocation is where the machine of an engine keeps a copy of weights. The zero value means that it has none.
type copyLocation uint8

const (
	onDisk copyLocation = iota + 1
	inMemory
)

// loadedModel is one model that an engine has loaded.
type loadedModel struct {
	model    entity.ModelID
	version  int
	adapters map[entity.AdapterID]*adapter
	running  int
	usedAt   time.Time
	loadedAt time.Time
	// unloading is true while the model is being unloaded. It then gets no new requests.
	unloading bool
}

// adapter is one adapter that an engine has loaded or is loading. readyAt is the zero time when requests can
// use it, and the constant time never while its load order has no answer.
type adapter struct {
	readyAt   time.Time
	usedAt    time.Time
	running   int
	unloading bool
}

// stage is the step that a task has reached.
type stage uint8

const (
	// stageUnload lasts until the last unload is complete.
	stageUnload stage = iota
	// stageLoad lasts until the engine has accepted the load order.
	stageLoad
	// stageLoading lasts until the load is complete.
	stageLoading
)

// task is one change of the models of an engine: it unloads the models in evict and then loads one.
type task struct {
	model entity.ModelID
	evict []entity.ModelID
	stage stage
	// accepted is true when the engine executes the current order.
	accepted bool
	// awaitsReport is true when only a report can show that the unload is complete.
	awaitsReport bool
	// loadFrom is where the copy is, zero for a load from the weight store.
	loadFrom copyLocation
	started  time.Time
	// readyAt is when the next step of the task is due, zero if it is due at once. During stageLoading it is
	// the expected end of the load.
	readyAt time.Time
	// concurrentLoads is the number of loads from the weight store, this one included, when this one began.
	concurrentLoads int
	// probe is the ID of the last probe of the load, probeAt the time of the next one, and probes the
	// number sent.
	probe   uint64
	probeAt time.Time
	probes  int
	// forSpeed is set if the model is loaded because its other replicas are slow.
	forSpeed bool
}

// usesStore reports whether the task loads from the weight store.
func (t *task) usesStore() bool { return t.loadFrom == 0 }

func newEngineState(u *fleet.Upstream) *engineState {
	e := &engineState{
		upstream:     u,
		sequence:     u.Sequence,
		loadedModels: make(map[entity.ModelID]*loadedModel),
		copies:       make(map[entity.ModelID]copyLocation),
	}
	e.setCopies(u.InMemory, u.OnDisk)
	return e
}

// setCopies records where copies of weights are and reports whether the set of models with a copy has
// changed. If both lists are empty, it leaves the known copies as they are.
func (e *engineState) setCopies(memory, disk []entity.ModelID) bool {
	if len(memory)+len(disk) == 0 {
		return false
	}
	copies := make(map[entity.ModelID]copyLocation, len(memory)+len(disk))
	for _, m := range disk {
		copies[m] = onDisk
	}
	for _, m := range memory {
		copies[m] = inMemory
	}
	same := len(copies) == len(e.copies)
	for m := range copies {
		same = same && e.copies[m] != 0
	}
	e.copies = copies
	return !same
}

// acceptsRequests reports whether requests can be given to the engine.
func (e *engineState) acceptsRequests() bool {
	return !e.upstream.Draining && !e.unreachable && !e.avoided
}

func (e *engineState) resetRunning() {
	e.running = 0
	for _, lm := range e.loadedModels {
		lm.running = 0
		for _, a := range lm.adapters {
			a.running = 0
		}
	}
}

// adoptReport replaces the state by that in a report and reports whether the set of models with a copy has
// changed.
func (e *engineState) adoptReport(rep Report, now time.Time) bool {
	e.stateKnown = true
	e.sequence = rep.Sequence
	former := e.loadedModels
	e.loadedModels = make(map[entity.ModelID]*loadedModel, len(rep.Models))
	for _, m := range rep.Models {
		lm := former[m.Model]
		if lm == nil {
			// The hosts may already use the model without having reported it to this coordinator.
			lm = &loadedModel{model: m.Model, usedAt: now}
		}
		lm.version = m.Version
		lm.adapters = mergeAdapters(lm.adapters, m.Adapters, now)
		e.loadedModels[m.Model] = lm
	}
	for _, p := range rep.Pending {
		if lm := e.loadedModels[p.Model]; lm != nil && lm.adapters[p.Adapter] == nil {
			lm.adapters[p.Adapter] = &adapter{readyAt: now.Add(adapterLoadTime), usedAt: now}
		}
	}
	return e.setCopies(rep.InMemory, rep.OnDisk)
}

func mergeAdapters(former map[entity.AdapterID]*adapter, ids []entity.AdapterID, now time.Time) map[entity.AdapterID]*adapter {
	out := make(map[entity.AdapterID]*adapter, len(ids))
	for _, id := range ids {
		a := former[id]
		if a == nil {
			a = &adapter{usedAt: now}
		}
		a.readyAt = time.Time{}
		a.unloading = false
		out[id] = a
	}
	return out
}

// usableModels returns the models and adapters that requests may use.
func (e *engineState) usableModels() []fleet.LoadedModel {
	out := make([]fleet.LoadedModel, 0, len(e.loadedModels))
	for _, lm := range e.loadedModels {
		if lm.unloading {
			continue
		}
		m := fleet.LoadedModel{Model: lm.model, Version: lm.version}
		for id, a := range lm.adapters {
			if a.readyAt.IsZero() && !a.unloading {
				m.Adapters = append(m.Adapters, id)
			}
		}
		sort.Slice(m.Adapters, func(i, j int) bool { return m.Adapters[i] < m.Adapters[j] })
		out = append(out, m)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Model < out[j].Model })
	return out
}

// usedMB returns the memory of the loaded models and of the one being loaded, without adapters.
func (e *engineState) usedMB(engine *catalog.Engine) float64 {
	used := 0.0
	for id := range e.loadedModels {
		used += sizeMB(engine, id)
	}
	if e.task != nil && e.loadedModels[e.task.model] == nil && e.task.stage != stageUnload {
		used += sizeMB(engine, e.task.model)
	}
	return used
}

func sizeMB(e *catalog.Engine, id entity.ModelID) float64 {
	if m := e.Models[id]; m != nil {
		return m.SizeMB
	}
	// A model that the configuration no longer lists still occupies an unknown amount of memory.
	return e.WeightsMB
}

// adapterCount counts the adapters that are loaded or being loaded.
func (e *engineState) adapterCount() int {
	n := 0
	for _, lm := range e.loadedModels {
		n += len(lm.adapters)
	}
	return n
}
