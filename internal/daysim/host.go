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

// assumedLoad is the time in which a model that no engine holds is expected where the coordinator
// has not said anything else.
const assumedLoad = 1500 * time.Millisecond

// host dispatches the requests of one entry host.
type host struct {
	world     *world
	id        entity.HostID
	domain    string
	scheduler *dispatch.Scheduler
	routes    map[*Class]*catalog.Route
	requests  map[entity.RequestID]*request
	arrived   map[entity.ModelID]int
	reported  map[entity.ModelID]bool
	// urgent says that a report is planned for new waiting requests.
	urgent bool
	next   int
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
			Name: class.Name, Kind: catalog.Streaming, Target: class.Target, Timeout: class.Deadline,
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
			return assumedLoad, true
		},
		Policy: w.policy.Dispatch,
	})
	w.after(time.Duration(i)*reportTime/time.Duration(w.site.Hosts), h.reportRegularly)
	return h
}

func (h *host) arrive(a arrival) {
	h.world.result.asked(a.class)
	h.admit(&request{arrival: a, host: h, tries: 1})
}

// admit gives a request to the scheduler, or refuses it for lack of tokens.
func (h *host) admit(r *request) {
	w := h.world
	if wait, ok := w.admit(r); !ok {
		h.refused(r, wait, true)
		return
	}
	h.next++
	started := epoch.Add(r.arrival.at)
	r.Request = dispatch.Request{
		ID: entity.RequestID(fmt.Sprint(h.id, "-", h.next)), Route: h.routes[r.arrival.class],
		Pool:    dispatch.Pool{Service: service, Model: r.arrival.model},
		Arrived: w.now, Deadline: started.Add(r.arrival.class.Deadline),
		Tokens: float64(r.arrival.prompt + r.arrival.output), Prompt: r.arrival.prompt, Affinity: r.arrival.session,
	}
	h.requests[r.ID] = r
	h.arrived[r.arrival.model]++
	h.carryOut(h.scheduler.Enqueue(&r.Request, w.now))
	h.reportSoon()
}

func (h *host) carryOut(decisions []dispatch.Decision) {
	for _, d := range decisions {
		r := h.requests[d.Request.ID]
		if d.Refusal != nil {
			delete(h.requests, d.Request.ID)
			if d.Refusal.Ran != entity.NotRun {
				h.world.result.failed(r.arrival.class)
				continue
			}
			h.refused(r, d.Refusal.RetryAfter, false)
			continue
		}
		e := h.world.byID[d.Upstream.ID]
		h.world.after(hop, func() { e.submit(r) })
	}
}

// refused lets the caller come back once when that is within a third of the time that it has left.
func (h *host) refused(r *request, wait time.Duration, limited bool) {
	w := h.world
	left := epoch.Add(r.arrival.at + r.arrival.class.Deadline).Sub(w.now)
	if r.tries > 1 || wait > left/3 {
		w.result.refused(r.arrival.class, limited)
		return
	}
	r.tries++
	w.after(wait, func() { h.admit(r) })
}

// ended takes over the end of an attempt.
func (h *host) ended(r *request, res dispatch.Result) {
	if h.requests[res.Request] == nil {
		return
	}
	decisions := h.scheduler.AttemptEnded(res, h.world.now)
	if res.Outcome == entity.Completed {
		delete(h.requests, res.Request)
		h.world.result.served(r)
	}
	h.carryOut(decisions)
	h.reportSoon()
}

func (h *host) setTarget(id entity.UpstreamID, held []fleet.Held, running int, now time.Time) {
	e := h.world.byID[id]
	t := dispatch.Target{
		ID: id, Service: service, Addr: string(id), Domain: e.domain, Slots: e.rates().Slots,
		Held: make(map[entity.ModelID][]entity.AdapterID),
	}
	for _, m := range held {
		t.Held[m.Model] = nil
	}
	h.carryOut(h.scheduler.SetTarget(t, now))
	own := 0
	for _, u := range h.scheduler.Running() {
		if u.Upstream == id {
			own += u.Count
		}
	}
	h.scheduler.SetOthers(id, float64(max(running-own, 0)), now)
}

// reportSoon reports new waiting requests without the delay of regular reports.
func (h *host) reportSoon() {
	if h.urgent {
		return
	}
	for _, n := range h.scheduler.Waiting(h.world.now) {
		if !h.reported[n.Pool.Model] {
			h.urgent = true
			h.world.after(urgentTime, func() {
				h.urgent = false
				h.report()
			})
			return
		}
	}
}

func (h *host) reportRegularly() {
	h.report()
	h.world.after(reportTime, h.reportRegularly)
}

// report tells the coordinator what this host wants and uses.
func (h *host) report() {
	w := h.world
	r := wire.HostReport{Host: h.id, Down: h.scheduler.Down(w.now)}
	needs := make(map[entity.ModelID]int)
	clear(h.reported)
	for _, n := range h.scheduler.Waiting(w.now) {
		h.reported[n.Pool.Model] = true
		needs[n.Pool.Model] = len(r.Needs)
		r.Needs = append(r.Needs, wire.PoolNeed{Service: string(service), Model: n.Pool.Model, Waiting: n.Count, Slack: n.Slack})
	}
	for m, n := range h.arrived {
		if i, ok := needs[m]; ok {
			r.Needs[i].Arrived = n
			continue
		}
		r.Needs = append(r.Needs, wire.PoolNeed{Service: string(service), Model: m, Arrived: n})
	}
	clear(h.arrived)
	for _, u := range h.scheduler.Running() {
		r.Uses = append(r.Uses, wire.PoolUse{Upstream: u.Upstream, Model: u.Pool.Model, Count: u.Count})
	}
	w.after(hop, func() { w.swapper.HandleHost(r, w.now) })
}
