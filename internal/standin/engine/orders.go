package engine

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/command"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/valyala/fasthttp"
)

// States of an entry as reports name them.
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
	// pending lists the orders that are applied when the load or unload is complete.
	pending []string
	fence   int64
	bytes   int64
	running int
	waiting waitHeap
	since   time.Time
	cancel  context.CancelFunc
	gone    bool
}

type adapter struct {
	model   entity.ModelID
	adapter entity.AdapterID
	state   string
	orderID string
	pending []string
	fence   int64
	bytes   int64
	cancel  context.CancelFunc
	gone    bool
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

// Order gives the engine an order as POST /engine/v1/orders does.
func (e *Engine) Order(o command.Order) (status int, code string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	res := e.order(o, time.Now())
	e.rec.order(o, res)
	return res.status, res.code
}

func (e *Engine) order(o command.Order, now time.Time) orderResult {
	m := e.mem
	key := entryKey(o)
	if e.opts.ChecksFence && o.Fence < e.fences[key] {
		return orderResult{fasthttp.StatusConflict, "stale_fence"}
	}
	e.fences[key] = max(e.fences[key], o.Fence)
	if res, ok := m.results[o.OrderID]; ok {
		e.renewFence(key, o)
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
	m.results[o.OrderID] = res
	if res != orderAccepted {
		e.markApplied(o.OrderID)
	}
	return res
}

// renewFence shows the fence of a repeated order in the report.
func (e *Engine) renewFence(key string, o command.Order) {
	if r := e.mem.replicas[o.Model]; r != nil && key == string(o.Model) && r.orderID == o.OrderID {
		r.fence = max(r.fence, o.Fence)
	}
	if a := e.mem.adapters[key]; a != nil && a.orderID == o.OrderID {
		a.fence = max(a.fence, o.Fence)
	}
}

func (e *Engine) markApplied(ids ...string) {
	m := e.mem
	m.applied = append(m.applied, ids...)
	if extra := len(m.applied) - maxAppliedOrders; extra > 0 {
		m.applied = append([]string(nil), m.applied[extra:]...)
	}
	m.seq++
}

// reserve takes memory or records that an order asked for more than there is.
func (e *Engine) reserve(o command.Order) bool {
	if o.Bytes < 0 || e.mem.reserved+o.Bytes > e.opts.MemoryBytes {
		e.rec.noMemory(o, e.mem.reserved, e.opts.MemoryBytes)
		return false
	}
	e.mem.reserved += o.Bytes
	e.rec.reserved(e.mem.reserved)
	return true
}

func (e *Engine) loadModel(o command.Order, now time.Time) orderResult {
	m := e.mem
	if r := m.replicas[o.Model]; r != nil {
		r.orderID, r.fence = o.OrderID, o.Fence
		switch r.state {
		case stateLoading:
			r.pending = append(r.pending, o.OrderID)
		case stateUnloading:
			// The replica is still draining, so that its weights are in memory.
			e.markApplied(r.pending...)
			r.pending = nil
			r.state = stateReady
			e.markApplied(o.OrderID)
		default:
			e.markApplied(o.OrderID)
		}
		return orderAccepted
	}
	if !e.reserve(o) {
		return orderResult{fasthttp.StatusInsufficientStorage, "no_memory"}
	}
	ctx, cancel := context.WithCancel(m.ctx)
	r := &replica{
		model: o.Model, state: stateLoading, orderID: o.OrderID, pending: []string{o.OrderID},
		fence: o.Fence, bytes: o.Bytes, since: now, cancel: cancel,
	}
	m.replicas[o.Model] = r
	e.opts.Store.addReplica(o.Model, 1)
	e.rec.replicas(len(m.replicas))
	rec := e.rec.loadBegan(o, e.place(o.Model), now)
	go e.runLoad(ctx, r, rec)
	return orderAccepted
}

func (e *Engine) place(m entity.ModelID) string {
	if p := e.opts.Checkpoints[m]; p != "" {
		return p
	}
	return PlaceRemote
}

func (e *Engine) runLoad(ctx context.Context, r *replica, rec *LoadRecord) {
	defer r.cancel()
	place := e.place(r.model)
	bare := time.Duration(float64(e.opts.LoadTime(r.model, place)) * e.faults.loadFactor(string(r.model)))
	var err error
	if place == PlaceRemote {
		err = e.opts.Store.Load(ctx, bare)
	} else {
		err = sleep(ctx, e.opts.Store.scale(bare, 1))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.rec.loadEnded(rec, now, err == nil && !r.gone)
	if err != nil || r.gone {
		return
	}
	e.settle(r, now)
	r.state = stateReady
	e.markApplied(r.pending...)
	r.pending = nil
	e.pump(r, now)
}

func (e *Engine) unloadModel(o command.Order, now time.Time) orderResult {
	r := e.mem.replicas[o.Model]
	if r == nil {
		e.markApplied(o.OrderID)
		return orderAccepted
	}
	if r.state == stateLoading {
		// The load ends without effect, so that its orders are settled as well.
		e.markApplied(r.pending...)
		r.pending = nil
	}
	e.settle(r, now)
	r.state, r.orderID, r.fence = stateUnloading, o.OrderID, o.Fence
	r.pending = append(r.pending, o.OrderID)
	for _, st := range r.waiting {
		st.set(phaseRefused, "not_loaded")
		e.keep(st, now)
	}
	r.waiting = nil
	if r.running == 0 {
		e.free(r, now)
	}
	return orderAccepted
}

// free removes a replica without running requests, with its adapters.
func (e *Engine) free(r *replica, now time.Time) {
	m := e.mem
	e.settle(r, now)
	r.gone = true
	r.cancel()
	m.reserved -= r.bytes
	delete(m.replicas, r.model)
	e.opts.Store.addReplica(r.model, -1)
	for key, a := range m.adapters {
		if a.model == r.model {
			e.freeAdapter(key, a)
		}
	}
	m.cache.evictModel(func(name string) bool {
		model, _ := splitModel(name)
		return model == r.model
	}, now)
	e.markApplied(r.pending...)
}

func (e *Engine) loadAdapter(o command.Order, now time.Time) orderResult {
	m := e.mem
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
	if !e.reserve(o) {
		return orderResult{fasthttp.StatusInsufficientStorage, "no_memory"}
	}
	ctx, cancel := context.WithCancel(m.ctx)
	a := &adapter{
		model: o.Model, adapter: o.Adapter, state: stateLoading, orderID: o.OrderID,
		pending: []string{o.OrderID}, fence: o.Fence, bytes: o.Bytes, cancel: cancel,
	}
	m.adapters[key] = a
	rec := e.rec.loadBegan(o, PlaceRemote, now)
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
	e.rec.loadEnded(rec, time.Now(), err == nil && !a.gone)
	if err != nil || a.gone {
		return
	}
	a.state = stateReady
	e.markApplied(a.pending...)
	a.pending = nil
}

func (e *Engine) unloadAdapter(o command.Order, now time.Time) orderResult {
	key := entryKey(o)
	if a := e.mem.adapters[key]; a != nil {
		e.freeAdapter(key, a)
		e.mem.cache.evictModel(func(name string) bool { return name == key }, now)
	}
	e.markApplied(o.OrderID)
	return orderAccepted
}

func (e *Engine) freeAdapter(key string, a *adapter) {
	a.gone = true
	a.cancel()
	e.mem.reserved -= a.bytes
	delete(e.mem.adapters, key)
	e.markApplied(a.pending...)
}

// settle adds the time since the last change of the replica to the accelerator seconds.
func (e *Engine) settle(r *replica, now time.Time) {
	e.rec.held(now.Sub(r.since), r.state == stateLoading, r.running > 0)
	r.since = now
}
