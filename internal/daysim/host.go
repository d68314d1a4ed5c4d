package daysim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/dispatch"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/fleet"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

// assumedLoadTime is the expected time until a model that no engine has loaded can be used, when the
// coordinator has given no estimate.
const assumedLoadTime = 1500 * time.Millisecond

// host simulates one host that accepts and dispatches requests.
type host struct {
	world     *world
	id        entity.HostID
	domain    string
	scheduler *dispatch.Scheduler
	routes    map[*Class]*catalog.Route
	requests  map[entity.RequestID]*request
	// arrived counts by model the requests since the last report. reported holds the models for which the last
	// report listed waiting requests.
	arrived  map[entity.ModelID]int
	reported map[entity.ModelID]bool
	// urgentPlanned is true when a report is planned for new waiting requests.
	urgentPlanned     bool
	lastRequestNumber int
}

func newHost(w *world, i int, seed uint64) *host {
	h := &host{
		world: w, id: entity.HostID(fmt.Sprint("h", i)), domain: fmt.Sprint("d", i%w.site.Domains),
		routes: make(map[*Class]*catalog.Route), requests: make(map[entity.RequestID]*request),
		arrived: make(map[entity.ModelID]int), reported: make(map[entity.ModelID]bool),
	}
	for c := range w.site.Classes {
		class := &w.site.Classes[c]
		h.routes[class] = &catalog.Route{
			Name: class.Name, Kind: catalog.Streaming, TargetLatency: class.TargetLatency, Timeout: class.Deadline,
			MaxAttempts: 2, Resumable: class.Repeatable,
		}
	}
	h.scheduler = dispatch.New(dispatch.Options{
		Domain: h.domain,
		Rand:   rand.New(rand.NewPCG(seed, uint64(i)+10)),
		Budget: func() *dispatch.Budget { return &dispatch.Budget{Ratio: 0.1, Extra: 3, Window: 10 * time.Second} },
		ReadyIn: func(p dispatch.Pool, now time.Time) (time.Duration, bool) {
			for _, e := range w.swapper.Estimates(now) {
				if e.Model == p.Model {
					return e.ReadyIn, true
				}
			}
			return assumedLoadTime, true
		},
		Policy: w.policy.Dispatch,
	})
	w.after(time.Duration(i)*reportInterval/time.Duration(w.site.Hosts), h.reportPeriodically)
	return h
}

func (h *host) arrive(a arrival) {
	h.world.result.recordArrival(a.class)
	h.admit(&request{arrival: a, host: h, submissions: 1})
}

// admit passes a request to the scheduler. If the workspace has too few tokens, it refuses the request instead.
func (h *host) admit(r *request) {
	w := h.world
	if wait, ok := w.admit(r); !ok {
		// Schedules the retry of the caller or counts the refusal.
		h.recordRefusal(r, wait, true)
		return
	}
	h.lastRequestNumber++
	firstSubmitted := epoch.Add(r.arrival.at)
	r.Request = dispatch.Request{
		ID: entity.RequestID(fmt.Sprint(h.id, "-", h.lastRequestNumber)), Route: h.routes[r.arrival.class],
		Pool:    dispatch.Pool{Service: service, Model: r.arrival.model},
		Arrived: w.now, Deadline: firstSubmitted.Add(r.arrival.class.Deadline),
		Tokens: float64(r.arrival.prompt + r.arrival.output), PromptTokens: r.arrival.prompt, Affinity: r.arrival.session,
	}
	h.requests[r.ID] = r
	h.arrived[r.arrival.model]++
	h.applyDecisions(h.scheduler.Enqueue(&r.Request, w.now))
	h.planUrgentReport()
}

func (h *host) applyDecisions(decisions []dispatch.Decision) {
	for _, d := range decisions {
		r := h.requests[d.Request.ID]
		if d.Refusal != nil {
			delete(h.requests, d.Request.ID)
			// The scheduler also reports a failed request as a refusal. Unless it is certain that no attempt
			// ran, the request counts as failed and is not submitted again.
			if d.Refusal.Ran != entity.NotRun {
				h.world.result.recordFailure(r.arrival.class)
				continue
			}
			// Schedules the retry of the caller or counts the refusal.
			h.recordRefusal(r, d.Refusal.RetryAfter, false)
			continue
		}
		e := h.world.byID[d.Upstream.ID]
		h.world.after(messageDelay, func() { e.submit(r) })
	}
}

// recordRefusal schedules the retry of the caller or, if the caller does not retry, counts the refusal in the result.
// Result.recordRefusal only counts. The caller retries once, after wait, if wait is at most a third of the time until
// the deadline of the request. limited is true if the request was refused because its workspace lacked tokens.
func (h *host) recordRefusal(r *request, wait time.Duration, limited bool) {
	w := h.world
	left := epoch.Add(r.arrival.at + r.arrival.class.Deadline).Sub(w.now)
	if r.submissions > 1 || wait > left/3 {
		w.result.recordRefusal(r.arrival.class, limited)
		return
	}
	r.submissions++
	w.after(wait, func() { h.admit(r) })
}

// handleAttemptEnd processes the end of an attempt.
func (h *host) handleAttemptEnd(r *request, res dispatch.AttemptResult) {
	if h.requests[res.Request] == nil {
		return
	}
	decisions := h.scheduler.AttemptEnded(res, h.world.now)
	if res.Outcome == entity.Completed {
		delete(h.requests, res.Request)
		h.world.result.recordServed(r)
	}
	h.applyDecisions(decisions)
	h.planUrgentReport()
}

// setTarget passes an engine with its loaded models to the scheduler. running is the number of requests of all
// hosts at the engine.
func (h *host) setTarget(id entity.UpstreamID, loaded []fleet.LoadedModel, running int, now time.Time) {
	e := h.world.byID[id]
	t := dispatch.Target{
		ID: id, Service: service, Addr: string(id), Domain: e.domain, Slots: e.rates().Slots,
		LoadedModels: make(map[entity.ModelID][]entity.AdapterID),
	}
	for _, m := range loaded {
		t.LoadedModels[m.Model] = nil
	}
	h.applyDecisions(h.scheduler.SetTarget(t, now))
	own := 0
	for _, u := range h.scheduler.Running() {
		if u.Upstream == id {
			own += u.Count
		}
	}
	// The rest of the running requests at the engine come from other hosts.
	h.scheduler.SetOthers(id, float64(max(running-own, 0)), now)
}

// planUrgentReport plans a report after urgentReportDelay if requests wait for a model that the last report
// did not list.
func (h *host) planUrgentReport() {
	if h.urgentPlanned {
		return
	}
	for _, n := range h.scheduler.Waiting(h.world.now) {
		if !h.reported[n.Pool.Model] {
			h.urgentPlanned = true
			h.world.after(urgentReportDelay, func() {
				h.urgentPlanned = false
				h.report()
			})
			return
		}
	}
}

func (h *host) reportPeriodically() {
	h.report()
	h.world.after(reportInterval, h.reportPeriodically)
}

// report sends the waiting and running requests of this host to the coordinator. TimeToTarget is the time
// until every one of the waiting requests exceeds the target latency of its route.
func (h *host) report() {
	w := h.world
	r := wire.HostReport{Host: h.id, Unreachable: h.scheduler.Unreachable(w.now)}
	indexes := make(map[entity.ModelID]int)
	clear(h.reported)
	for _, n := range h.scheduler.Waiting(w.now) {
		h.reported[n.Pool.Model] = true
		indexes[n.Pool.Model] = len(r.PoolDemands)
		r.PoolDemands = append(r.PoolDemands, wire.PoolDemand{Service: string(service), Model: n.Pool.Model, Waiting: n.Count, TimeToTarget: n.TimeToTarget})
	}
	for m, n := range h.arrived {
		if i, ok := indexes[m]; ok {
			r.PoolDemands[i].Arrived = n
			continue
		}
		r.PoolDemands = append(r.PoolDemands, wire.PoolDemand{Service: string(service), Model: m, Arrived: n})
	}
	clear(h.arrived)
	for _, u := range h.scheduler.Running() {
		r.Uses = append(r.Uses, wire.PoolUse{Upstream: u.Upstream, Model: u.Pool.Model, Count: u.Count})
	}
	w.after(messageDelay, func() { w.swapper.HandleHostReport(r, w.now) })
}
