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

// stream is one attempt of a request at an engine. unreadPrompt counts the prompt tokens still to be read,
// tokensLeft the output tokens still to be generated.
type stream struct {
	request      *request
	model        entity.ModelID
	unreadPrompt int
	tokensLeft   int
	tokensSent   int
	// lastAt is the time of the last event, longestPause the longest time between two events.
	lastAt       time.Time
	longestPause time.Duration
}

// engine simulates an engine. It reads prompts and generates tokens in steps that all its requests share.
type engine struct {
	world  *world
	id     entity.UpstreamID
	domain string
	born   int64
	up     bool
	// generation increases with every crash, so that events planned before the crash are ignored.
	generation int
	loaded     map[entity.ModelID]bool
	// disk and memory list the models with a copy of the weights there, the most recently used last.
	disk, memory []entity.ModelID
	sequence     int64
	// changingModel is the model of the order in progress, empty if there is none. unloading is true if the
	// order is an unload.
	changingModel entity.ModelID
	unloading     bool
	// unloadAt is the earliest time at which an unload can end.
	unloadAt    time.Time
	streams     []*stream
	stepping    bool
	pastReports []pastReport
}

type pastReport struct {
	at     time.Time
	report swap.Report
}

func (e *engine) rates() *EngineRates { return &e.world.site.Engine }

// submit accepts or refuses a request.
func (e *engine) submit(r *request) {
	result := dispatch.AttemptResult{Request: r.ID, Outcome: entity.AttemptNotRun}
	switch {
	case !e.up:
		result.Unreachable = true
	case !e.loaded[r.Pool.Model] || e.unloading && e.changingModel == r.Pool.Model:
		result.NotLoaded = true
	case len(e.streams) >= e.rates().Slots:
		result.NoFreeSlot = true
	default:
		e.streams = append(e.streams, &stream{request: r, model: r.Pool.Model, unreadPrompt: r.arrival.prompt, tokensLeft: r.arrival.output})
		e.startStep()
		return
	}
	e.world.handleAttemptEnd(r, result)
}

// startStep starts a step if there are requests and no step is in progress, and schedules the end of the step.
func (e *engine) startStep() {
	if e.stepping || len(e.streams) == 0 {
		return
	}
	e.stepping = true
	rates := e.rates()
	budget := rates.MaxPromptTokensPerStep
	running := 0
	for _, s := range e.streams {
		if s.unreadPrompt == 0 {
			running++
			continue
		}
		read := min(s.unreadPrompt, budget)
		s.unreadPrompt -= read
		budget -= read
	}
	readTime := float64(rates.MaxPromptTokensPerStep-budget) / rates.PromptTokensPerMilli * float64(time.Millisecond)
	took := rates.Step + time.Duration(running)*rates.StepPerRequest + time.Duration(readTime)
	generation := e.generation
	e.world.after(took, func() {
		if e.generation == generation {
			e.stepping = false
			e.finishStep()
		}
	})
}

// finishStep generates one token for every request whose prompt has been read.
func (e *engine) finishStep() {
	now := e.world.now
	kept := e.streams[:0]
	var done []*stream
	for _, s := range e.streams {
		if s.unreadPrompt > 0 {
			kept = append(kept, s)
			continue
		}
		s.tokensSent++
		s.tokensLeft--
		if s.tokensSent == 1 {
			s.request.firstAt = now
			s.lastAt = now
		} else if s.tokensSent%e.rates().TokensPerEvent == 0 || s.tokensLeft <= 0 {
			s.longestPause = max(s.longestPause, now.Sub(s.lastAt))
			s.lastAt = now
		}
		if s.tokensLeft <= 0 {
			done = append(done, s)
			continue
		}
		kept = append(kept, s)
	}
	e.streams = kept
	for _, s := range done {
		s.request.longestPause = s.longestPause
		e.world.handleAttemptEnd(s.request, dispatch.AttemptResult{Request: s.request.ID, Outcome: entity.Completed, Status: 200})
	}
	e.finishUnload()
	e.startStep()
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

// applyOrder executes an order of the coordinator.
func (e *engine) applyOrder(o swap.Order) swap.Answer {
	switch {
	case !e.up:
		return swap.NotSent
	case o.Upstream.BornMillis != e.born:
		return swap.Rejected
	case e.changingModel != "" || o.Expected != e.sequence:
		return swap.Conflict
	case e.loaded[o.Model] == (o.Action == swap.Load):
		return swap.AlreadyDone
	}
	e.sequence++
	e.changingModel = o.Model
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
		e.checkMemory(o.Model)
		took, done := e.world.loadTime(e, o.Model)
		e.world.after(took, func() {
			done()
			if e.generation == generation {
				e.finishLoad(o.Model)
			}
		})
	}
	e.recordReport()
	return swap.Accepted
}

// finishUnload completes the unload in progress once no request uses the model.
func (e *engine) finishUnload() {
	if !e.unloading || e.world.now.Before(e.unloadAt) || e.running(e.changingModel) > 0 {
		return
	}
	delete(e.loaded, e.changingModel)
	e.changingModel, e.unloading = "", false
	e.recordReport()
}

func (e *engine) finishLoad(m entity.ModelID) {
	e.loaded[m] = true
	e.changingModel = ""
	e.disk = moveToEnd(e.disk, m, e.world.site.CopiesOnDisk)
	e.memory = moveToEnd(e.memory, m, e.world.site.CopiesInMemory)
	e.recordReport()
}

// moveToEnd moves a model to the end of a list and removes the first entries beyond the given length.
func moveToEnd(list []entity.ModelID, m entity.ModelID, length int) []entity.ModelID {
	list = slices.DeleteFunc(list, func(x entity.ModelID) bool { return x == m })
	list = append(list, m)
	return list[max(0, len(list)-length):]
}

// checkMemory counts a load that exceeds the memory, which would crash a real engine.
func (e *engine) checkMemory(loading entity.ModelID) {
	used := e.world.size(loading)
	for m := range e.loaded {
		used += e.world.size(m)
	}
	if used > e.rates().MemoryMB {
		e.world.result.Overcommitted++
	}
}

// recordReport stores the current state for reports, which are delayed.
func (e *engine) recordReport() {
	r := swap.Report{
		Busy: e.changingModel != "", Sequence: e.sequence, Models: e.models(),
		InMemory: slices.Clone(e.memory), OnDisk: slices.Clone(e.disk),
	}
	e.pastReports = append(e.pastReports, pastReport{at: e.world.now, report: r})
}

// report returns the state as of the report lag ago.
func (e *engine) report() swap.Report {
	r := e.pastReports[0].report
	for _, p := range e.pastReports {
		if p.at.After(e.world.now.Add(-e.rates().ReportLag)) {
			break
		}
		r = p.report
	}
	return r
}

// crash ends all requests. After the given time the engine restarts without models under a new incarnation.
func (e *engine) crash(down time.Duration) {
	streams := e.streams
	e.up = false
	e.generation++
	e.streams, e.stepping = nil, false
	e.loaded = make(map[entity.ModelID]bool)
	e.changingModel, e.unloading = "", false
	for _, s := range streams {
		e.world.handleAttemptEnd(s.request, dispatch.AttemptResult{Request: s.request.ID, Outcome: entity.AttemptUnknown, Broken: true})
	}
	e.world.after(down, func() {
		e.up = true
		e.born++
		e.sequence = 0
		e.memory = nil
		e.pastReports = nil
		e.recordReport()
		e.world.publishEntry(e)
	})
}

// entry returns the list entry of the engine.
func (e *engine) entry() *fleet.Upstream {
	return &fleet.Upstream{
		Incarnation: fleet.Incarnation{ID: e.id, BornMillis: e.born},
		Service:     service, Addr: string(e.id), Domain: e.domain, Slots: e.rates().Slots,
		Sequence: e.sequence, Models: e.models(), OnDisk: slices.Clone(e.disk), InMemory: slices.Clone(e.memory),
	}
}

func (e *engine) models() []fleet.LoadedModel {
	out := make([]fleet.LoadedModel, 0, len(e.loaded))
	for m := range e.loaded {
		out = append(out, fleet.LoadedModel{Model: m})
	}
	return out
}

// size returns the memory that a model needs.
func (w *world) size(m entity.ModelID) float64 { return w.model(m).SizeMB }

func (w *world) model(m entity.ModelID) *catalog.Model {
	return w.catalog.Service(service).Engine.Models[m]
}
