package placement

import (
	"fmt"
	"slices"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/command"
	"github.com/foxtailpass/foxtailpass/internal/config"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

// simEntry is a model or adapter on a simulated engine.
type simEntry struct {
	wire.ReportedEntry
	remaining time.Duration
	remote    bool
}

// simEngine simulates an engine that applies orders and reports its state.
type simEngine struct {
	s       *sim
	rec     config.UpstreamRecord
	boot    string
	seq     uint64
	entries []*simEntry
	// checksFence is true when the engine refuses old fencing tokens. Its record declares this (ChecksFence)
	// only if the engine keeps the tokens across restarts.
	checksFence bool
	fences      map[entity.ModelID]int64
	applied     []string
	leaving     bool
	removed     bool
	running     map[entity.ModelID]int
	nextReport  time.Time
}

// find returns the index of the entry, or -1.
func (e *simEngine) find(m entity.ModelID, a entity.AdapterID) int {
	return slices.IndexFunc(e.entries, func(x *simEntry) bool { return x.Model == m && x.Adapter == a })
}

// apply executes an order. It never refuses an order for lack of memory, so that the checks detect
// overcommitment.
func (e *simEngine) apply(o command.Order) command.OrderOutcome {
	if e.removed {
		return command.OrderNotSent
	}
	e.seq++
	e.applied = append(slices.Clip(e.applied), o.OrderID) // earlier reports share the previous slice
	e.applied = e.applied[max(0, len(e.applied)-64):]
	if e.checksFence && o.Fence < e.fences[o.Model] {
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

// load starts to load the model or adapter of the order.
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

// stepEngines advances the loads and sends the reports that are due. All loads slow down when more run from
// the weight store than it serves in parallel.
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
		if e.removed {
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
		if !s.now.Before(e.nextReport) {
			e.nextReport = s.now.Add(100 * time.Millisecond)
			e.publish()
		}
	}
}

// publish sends the engine's report to every host. While faults are on, some reports are delayed or lost.
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

// restart starts a new boot without models.
func (e *simEngine) restart(forgetFences bool) {
	if forgetFences {
		clear(e.fences)
	}
	e.boot = fmt.Sprintf("boot-%d", e.s.rng.Uint64())
	e.seq = 0
	e.entries = nil
	e.applied = nil
}

// leave announces that the engine is leaving and removes it after the given time.
func (e *simEngine) leave(in time.Duration) {
	e.leaving = true
	e.rec.State = config.UpstreamLeaving
	e.rec.LeaveBy = e.s.now.Add(in)
	rec := e.rec
	e.s.after(time.Second, func() { e.s.publishUpstream(rec) })
	e.s.after(in, func() {
		e.removed = true
		e.entries = nil
	})
	e.s.after(in+time.Second, func() {
		e.s.viewChanges = append(e.s.viewChanges, func(h *simHost) { h.p.HandleUpstreams(nil, []entity.UpstreamID{rec.ID}, h.s.now) })
	})
}
