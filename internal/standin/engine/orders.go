package engine

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/command"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/valyala/fasthttp"
)

// States of an entry in reports.
const (
	stateLoading   = "loading"
	stateReady     = "ready"
	stateUnloading = "unloading"
)

// replica is one model in the memory of the engine. The engine's lock protects it.
type replica struct {
	model   entity.ModelID
	state   string
	orderID string
	// pending lists the IDs of the orders that are reported as applied when the load or unload is complete.
	pending []string
	fence   int64
	bytes   int64
	running int
	waiting waitHeap
	// accountedUntil is the time up to which the accelerator time of the replica is recorded.
	accountedUntil time.Time
	cancel         context.CancelFunc
	removed        bool
}

// adapter is one adapter in the memory of the engine. The engine's lock protects it.
type adapter struct {
	model    entity.ModelID
	adapter  entity.AdapterID
	state    string
	orderID  string
	pending  []string
	fence    int64
	bytes    int64
	cancel   context.CancelFunc
	released bool
}

// orderResult is the answer to an order.
type orderResult struct {
	status int
	code   string
}

var orderAccepted = orderResult{status: fasthttp.StatusAccepted}

func adapterKey(m entity.ModelID, a entity.AdapterID) string { return string(m) + ":" + string(a) }

func entryKey(o command.Order) string {
	if o.Action == command.LoadAdapter || o.Action == command.UnloadAdapter {
		return adapterKey(o.Model, o.Adapter)
	}
	return string(o.Model)
}

// Order applies an order as POST /engine/v1/orders does.
func (e *Engine) Order(o command.Order) (status int, code string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	res := e.order(o, time.Now())
	e.rec.order(o, res)
	return res.status, res.code
}

func (e *Engine) order(o command.Order, now time.Time) orderResult {
	m := e.currentBoot
	key := entryKey(o)
	if e.opts.ChecksFence && o.Fence < e.fences[key] {
		return orderResult{fasthttp.StatusConflict, "stale_fence"}
	}
	e.fences[key] = max(e.fences[key], o.Fence)
	if res, ok := m.orderResults[o.OrderID]; ok {
		e.updateFence(key, o)
		return res
	}
	m.seq++
	var res orderResult
	switch o.Action {
	case command.LoadModel:
		res = e.loadModel(o, now)
	case command.UnloadModel:
		res = e.unloadModel(o, now)
	case command.LoadAdapter:
		res = e.loadAdapter(o, now)
	case command.UnloadAdapter:
		res = e.unloadAdapter(o, now)
	default:
		return orderResult{fasthttp.StatusBadRequest, "unknown_action"}
	}
	m.orderResults[o.OrderID] = res
	if res != orderAccepted {
		e.markApplied(o.OrderID)
	}
	return res
}

// updateFence raises the reported fence of an entry to that of a repeated order.
func (e *Engine) updateFence(key string, o command.Order) {
	if r := e.currentBoot.replicas[o.Model]; r != nil && key == string(o.Model) && r.orderID == o.OrderID {
		r.fence = max(r.fence, o.Fence)
	}
	if a := e.currentBoot.adapters[key]; a != nil && a.orderID == o.OrderID {
		a.fence = max(a.fence, o.Fence)
	}
}

// markApplied adds the orders to those that reports list as applied.
func (e *Engine) markApplied(ids ...string) {
	m := e.currentBoot
	m.appliedOrders = append(m.appliedOrders, ids...)
	if extra := len(m.appliedOrders) - maxAppliedOrders; extra > 0 {
		m.appliedOrders = append([]string(nil), m.appliedOrders[extra:]...)
	}
	m.seq++
}

// reserveMemory reserves the memory that an order needs and returns true. If not enough is free, it records a memory
// violation and returns false.
func (e *Engine) reserveMemory(o command.Order) bool {
	if o.Bytes < 0 || e.currentBoot.reserved+o.Bytes > e.opts.MemoryBytes {
		e.rec.recordMemoryViolation(o, e.currentBoot.reserved, e.opts.MemoryBytes)
		return false
	}
	e.currentBoot.reserved += o.Bytes
	e.rec.reserved(e.currentBoot.reserved)
	return true
}

func (e *Engine) loadModel(o command.Order, now time.Time) orderResult {
	m := e.currentBoot
	if r := m.replicas[o.Model]; r != nil {
		r.orderID, r.fence = o.OrderID, o.Fence
		switch r.state {
		case stateLoading:
			r.pending = append(r.pending, o.OrderID)
		case stateUnloading:
			// The replica is still draining, so its weights are still in memory.
			e.markApplied(r.pending...)
			r.pending = nil
			r.state = stateReady
			e.markApplied(o.OrderID)
		default:
			e.markApplied(o.OrderID)
		}
		return orderAccepted
	}
	if !e.reserveMemory(o) {
		return orderResult{fasthttp.StatusInsufficientStorage, "no_memory"}
	}
	ctx, cancel := context.WithCancel(m.ctx)
	r := &replica{
		model: o.Model, state: stateLoading, orderID: o.OrderID, pending: []string{o.OrderID},
		fence: o.Fence, bytes: o.Bytes, accountedUntil: now, cancel: cancel,
	}
	m.replicas[o.Model] = r
	e.opts.Store.addReplica(o.Model, 1)
	e.rec.replicas(len(m.replicas))
	rec := e.rec.recordLoadStart(o, e.checkpointPlace(o.Model), now)
	go e.runLoad(ctx, r, rec)
	return orderAccepted
}

func (e *Engine) checkpointPlace(m entity.ModelID) string {
	if p := e.opts.Checkpoints[m]; p != "" {
		return p
	}
	return PlaceRemote
}

func (e *Engine) runLoad(ctx context.Context, r *replica, rec *LoadRecord) {
	defer r.cancel()
	checkpointPlace := e.checkpointPlace(r.model)
	bare := time.Duration(float64(e.opts.LoadTime(r.model, checkpointPlace)) * e.faults.loadFactor(string(r.model)))
	var err error
	if checkpointPlace == PlaceRemote {
		err = e.opts.Store.Load(ctx, bare)
	} else {
		err = sleep(ctx, e.opts.Store.scale(bare, 1))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.rec.recordLoadEnd(rec, now, err == nil && !r.removed)
	if err != nil || r.removed {
		return
	}
	e.accountReplicaTime(r, now)
	r.state = stateReady
	e.markApplied(r.pending...)
	r.pending = nil
	e.startWaiting(r, now)
}

func (e *Engine) unloadModel(o command.Order, now time.Time) orderResult {
	r := e.currentBoot.replicas[o.Model]
	if r == nil {
		e.markApplied(o.OrderID)
		return orderAccepted
	}
	if r.state == stateLoading {
		// The load has no effect any more, so its orders are reported as applied as well.
		e.markApplied(r.pending...)
		r.pending = nil
	}
	e.accountReplicaTime(r, now)
	r.state, r.orderID, r.fence = stateUnloading, o.OrderID, o.Fence
	r.pending = append(r.pending, o.OrderID)
	for _, st := range r.waiting {
		st.setPhase(phaseRefused, "not_loaded")
		e.retainStream(st, now)
	}
	r.waiting = nil
	if r.running == 0 {
		e.removeReplica(r, now)
	}
	return orderAccepted
}

// removeReplica removes a replica that has no running requests, together with its adapters, and releases the
// memory.
func (e *Engine) removeReplica(r *replica, now time.Time) {
	m := e.currentBoot
	e.accountReplicaTime(r, now)
	r.removed = true
	r.cancel()
	m.reserved -= r.bytes
	delete(m.replicas, r.model)
	e.opts.Store.addReplica(r.model, -1)
	for key, a := range m.adapters {
		if a.model == r.model {
			e.removeAdapter(key, a)
		}
	}
	m.cache.evictMatching(func(name string) bool {
		model, _ := splitModel(name)
		return model == r.model
	}, now)
	e.markApplied(r.pending...)
}

func (e *Engine) loadAdapter(o command.Order, now time.Time) orderResult {
	m := e.currentBoot
	r := m.replicas[o.Model]
	if r == nil || r.state != stateReady {
		return orderResult{fasthttp.StatusConflict, "not_loaded"}
	}
	key := entryKey(o)
	if a := m.adapters[key]; a != nil {
		a.orderID, a.fence = o.OrderID, o.Fence
		if a.state == stateLoading {
			a.pending = append(a.pending, o.OrderID)
		} else {
			e.markApplied(o.OrderID)
		}
		return orderAccepted
	}
	if !e.reserveMemory(o) {
		return orderResult{fasthttp.StatusInsufficientStorage, "no_memory"}
	}
	ctx, cancel := context.WithCancel(m.ctx)
	a := &adapter{
		model: o.Model, adapter: o.Adapter, state: stateLoading, orderID: o.OrderID,
		pending: []string{o.OrderID}, fence: o.Fence, bytes: o.Bytes, cancel: cancel,
	}
	m.adapters[key] = a
	rec := e.rec.recordLoadStart(o, PlaceRemote, now)
	go e.runAdapterLoad(ctx, a, rec)
	return orderAccepted
}

func (e *Engine) runAdapterLoad(ctx context.Context, a *adapter, rec *LoadRecord) {
	defer a.cancel()
	bare := e.opts.AdapterLoadMin
	if spread := e.opts.AdapterLoadMax - e.opts.AdapterLoadMin; spread > 0 {
		bare += rand.N(spread)
	}
	err := e.opts.Store.LoadAdapter(ctx, bare)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rec.recordLoadEnd(rec, time.Now(), err == nil && !a.released)
	if err != nil || a.released {
		return
	}
	a.state = stateReady
	e.markApplied(a.pending...)
	a.pending = nil
}

func (e *Engine) unloadAdapter(o command.Order, now time.Time) orderResult {
	key := entryKey(o)
	if a := e.currentBoot.adapters[key]; a != nil {
		e.removeAdapter(key, a)
		e.currentBoot.cache.evictMatching(func(name string) bool { return name == key }, now)
	}
	e.markApplied(o.OrderID)
	return orderAccepted
}

func (e *Engine) removeAdapter(key string, a *adapter) {
	a.released = true
	a.cancel()
	e.currentBoot.reserved -= a.bytes
	delete(e.currentBoot.adapters, key)
	e.markApplied(a.pending...)
}

// accountReplicaTime adds the time since the last call for this replica to the accelerator seconds in the
// record, as loading, running or idle according to the replica's current state. It must therefore be called before
// this state changes.
func (e *Engine) accountReplicaTime(r *replica, now time.Time) {
	e.rec.addHeldTime(now.Sub(r.accountedUntil), r.state == stateLoading, r.running > 0)
	r.accountedUntil = now
}
