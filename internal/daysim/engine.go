package daysim

import (
	"slices"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/dispatch"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/fleet"
	"github.com/foxtailpass/foxtailpass/internal/swap"
)

// stream is one attempt of a request at an engine.
type stream struct {
	request *request
	model   entity.ModelID
	unread  int
	left    int
	tokens  int
	lastAt  time.Time
	pause   time.Duration
}

// engine reads prompts and generates tokens in steps that all its requests share.
type engine struct {
	world  *world
	id     entity.UpstreamID
	domain string
	born   int64
	up     bool
	// generation ends the events of a former start.
	generation int
	held       map[entity.ModelID]bool
	// disk and memory list copies of weights, the last used ones at the end.
	disk, memory []entity.ModelID
	sequence     int64
	changing     entity.ModelID
	unloading    bool
	// unloadAt is the earliest end of an unload.
	unloadAt time.Time
	streams  []*stream
	stepping bool
	past     []pastReport
}

type pastReport struct {
	at     time.Time
	report swap.Report
}

func (e *engine) rates() *EngineRates { return &e.world.site.Engine }

// submit takes a request, or refuses it.
func (e *engine) submit(r *request) {
	result := dispatch.Result{Request: r.ID, Outcome: entity.AttemptNotRun}
	switch {
	case !e.up:
		result.Unreachable = true
	case !e.held[r.Pool.Model] || e.unloading && e.changing == r.Pool.Model:
		result.Absent = true
	case len(e.streams) >= e.rates().Slots:
		result.Full = true
	default:
		e.streams = append(e.streams, &stream{request: r, model: r.Pool.Model, unread: r.arrival.prompt, left: r.arrival.output})
		e.step()
		return
	}
	e.world.ended(r, result)
}

// step plans the next step when none is under way.
func (e *engine) step() {
	if e.stepping || len(e.streams) == 0 {
		return
	}
	e.stepping = true
	rates := e.rates()
	room := rates.Chunk
	running := 0
	for _, s := range e.streams {
		if s.unread == 0 {
			running++
			continue
		}
		part := min(s.unread, room)
		s.unread -= part
		room -= part
	}
	reading := float64(rates.Chunk-room) / rates.PromptsPerMilli * float64(time.Millisecond)
	took := rates.Step + time.Duration(running)*rates.StepPerSlot + time.Duration(reading)
	generation := e.generation
	e.world.after(took, func() {
		if e.generation == generation {
			e.stepping = false
			e.advance()
		}
	})
}

// advance gives every request whose prompt has been read one token.
func (e *engine) advance() {
	now := e.world.now
	kept := e.streams[:0]
	var done []*stream
	for _, s := range e.streams {
		if s.unread > 0 {
			kept = append(kept, s)
			continue
		}
		s.tokens++
		s.left--
		if s.tokens == 1 {
			s.request.firstAt = now
			s.lastAt = now
		} else if s.tokens%e.rates().TokensPerEvent == 0 || s.left <= 0 {
			s.pause = max(s.pause, now.Sub(s.lastAt))
			s.lastAt = now
		}
		if s.left <= 0 {
			done = append(done, s)
			continue
		}
		kept = append(kept, s)
	}
	e.streams = kept
	for _, s := range done {
		s.request.pause = s.pause
		e.world.ended(s.request, dispatch.Result{Request: s.request.ID, Outcome: entity.Completed, Status: 200})
	}
	e.finishUnload()
	e.step()
}

func (e *engine) running(m entity.ModelID) int {
	n := 0
	for _, s := range e.streams {
		if s.model == m {
			n++
		}
	}
	return n
}

// order carries out an order of the coordinator.
func (e *engine) order(o swap.Order) swap.Answer {
	switch {
	case !e.up:
		return swap.NotSent
	case o.Upstream.BornMillis != e.born:
		return swap.Rejected
	case e.changing != "" || o.Expected != e.sequence:
		return swap.Conflict
	case e.held[o.Model] == (o.Action == swap.Load):
		return swap.AlreadyHolds
	}
	e.sequence++
	e.changing = o.Model
	e.unloading = o.Action == swap.Unload
	generation := e.generation
	if e.unloading {
		e.unloadAt = e.world.now.Add(e.rates().UnloadTime)
		e.world.after(e.rates().UnloadTime, func() {
			if e.generation == generation {
				e.finishUnload()
			}
		})
	} else {
		e.checkRoom(o.Model)
		took, done := e.world.loadTime(e, o.Model)
		e.world.after(took, func() {
			done()
			if e.generation == generation {
				e.finishLoad(o.Model)
			}
		})
	}
	e.note()
	return swap.Accepted
}

// finishUnload drops the model that is being unloaded once no request uses it.
func (e *engine) finishUnload() {
	if !e.unloading || e.world.now.Before(e.unloadAt) || e.running(e.changing) > 0 {
		return
	}
	delete(e.held, e.changing)
	e.changing, e.unloading = "", false
	e.note()
}

func (e *engine) finishLoad(m entity.ModelID) {
	e.held[m] = true
	e.changing = ""
	e.disk = touch(e.disk, m, e.world.site.CopiesOnDisk)
	e.memory = touch(e.memory, m, e.world.site.CopiesInMemory)
	e.note()
}

// touch moves a model to the end of a list and drops what exceeds its length.
func touch(list []entity.ModelID, m entity.ModelID, length int) []entity.ModelID {
	list = slices.DeleteFunc(list, func(x entity.ModelID) bool { return x == m })
	list = append(list, m)
	return list[max(0, len(list)-length):]
}

// checkRoom counts a load beyond the memory, which would crash the engine.
func (e *engine) checkRoom(loading entity.ModelID) {
	used := e.world.size(loading)
	for m := range e.held {
		used += e.world.size(m)
	}
	if used > e.rates().MemoryMB {
		e.world.result.Overcommitted++
	}
}

// note keeps the state for reports, which lag.
func (e *engine) note() {
	r := swap.Report{
		Busy: e.changing != "", Sequence: e.sequence, Models: e.models(),
		InMemory: slices.Clone(e.memory), OnDisk: slices.Clone(e.disk),
	}
	e.past = append(e.past, pastReport{at: e.world.now, report: r})
}

// report returns the state as it was before the lag.
func (e *engine) report() swap.Report {
	r := e.past[0].report
	for _, p := range e.past {
		if p.at.After(e.world.now.Add(-e.rates().ReportLag)) {
			break
		}
		r = p.report
	}
	return r
}

// crash ends all requests; the engine starts again without models under a new incarnation.
func (e *engine) crash(down time.Duration) {
	streams := e.streams
	e.up = false
	e.generation++
	e.streams, e.stepping = nil, false
	e.held = make(map[entity.ModelID]bool)
	e.changing, e.unloading = "", false
	for _, s := range streams {
		e.world.ended(s.request, dispatch.Result{Request: s.request.ID, Outcome: entity.AttemptUnknown, Broken: true})
	}
	e.world.after(down, func() {
		e.up = true
		e.born++
		e.sequence = 0
		e.memory = nil
		e.past = nil
		e.note()
		e.world.list(e)
	})
}

// entry is what the list says about the engine.
func (e *engine) entry() *fleet.Upstream {
	return &fleet.Upstream{
		Incarnation: fleet.Incarnation{ID: e.id, BornMillis: e.born},
		Service:     service, Addr: string(e.id), Domain: e.domain, Slots: e.rates().Slots,
		Sequence: e.sequence, Models: e.models(), OnDisk: slices.Clone(e.disk), InMemory: slices.Clone(e.memory),
	}
}

func (e *engine) models() []fleet.Held {
	out := make([]fleet.Held, 0, len(e.held))
	for m := range e.held {
		out = append(out, fleet.Held{Model: m})
	}
	return out
}

// size returns the memory that a model needs.
func (w *world) size(m entity.ModelID) float64 { return w.model(m).SizeMB }

func (w *world) model(m entity.ModelID) *catalog.Model {
	return w.catalog.Service(service).Engine.Models[m]
}
