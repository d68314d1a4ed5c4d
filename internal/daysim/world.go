package daysim

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/dispatch"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/fleet"
	"github.com/foxtailpass/foxtailpass/internal/swap"
)

const (
	// messageDelay is the time of a message between two processes.
	messageDelay = time.Millisecond
	// tickInterval is the time between two ticks of the hosts and the coordinator.
	tickInterval = 15 * time.Millisecond
	// reportInterval is the time between two regular reports of a host. urgentReportDelay is the delay
	// after which new waiting requests are reported.
	reportInterval    = 150 * time.Millisecond
	urgentReportDelay = 3 * time.Millisecond
	// entryLapse is the time from the crash of an engine until its list entry expires.
	entryLapse = 1500 * time.Millisecond
	// storeParallelLoads is the number of concurrent loads that the weight store serves at full speed.
	storeParallelLoads = 4
)

var epoch = time.Unix(1_000_000, 0)

type event struct {
	at  time.Time
	seq int
	run func()
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *events) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *events) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// request is one request of the load and its progress.
type request struct {
	dispatch.Request
	arrival      arrival
	host         *host
	firstAt      time.Time
	longestPause time.Duration
	// submissions counts how often the caller has sent the request. A caller sends it a second time if the
	// refusal names a short enough wait.
	submissions int
}

// world is the state of one simulation run.
type world struct {
	site    *Site
	day     Day
	policy  Policy
	now     time.Time
	seq     int
	queue   events
	rng     *rand.Rand
	catalog *catalog.Catalog
	hosts   []*host
	engines []*engine
	byID    map[entity.UpstreamID]*engine
	swapper *swap.Swapper
	// version is the version of the swapper whose engine views the hosts have been sent last.
	version uint64
	// storeLoads counts the loads from the weight store in progress.
	storeLoads int
	buckets    []tokenBucket
	result     *Result
}

// tokenBucket is the limit of one workspace, here enforced for all hosts together.
type tokenBucket struct {
	level   float64
	updated time.Time
}

func newWorld(site *Site, day Day, policy Policy, seed uint64) *world {
	w := &world{
		site: site, day: day, policy: policy, now: epoch,
		rng: rand.New(rand.NewPCG(seed, 2)), catalog: site.catalog(),
		byID: make(map[entity.UpstreamID]*engine), buckets: make([]tokenBucket, site.Workspaces),
		swapper: swap.New(epoch, 1),
		result:  newResult(site, day, policy, seed),
	}
	w.swapper.SetPolicy(policy.Swap)
	w.swapper.SetCatalog(w.catalog)
	for i := range w.buckets {
		w.buckets[i] = tokenBucket{level: site.WorkspaceRate, updated: epoch}
	}
	for i := range site.Hosts {
		w.hosts = append(w.hosts, newHost(w, i, seed))
	}
	w.addEngines()
	return w
}

// addEngines creates the engines with their first models and random copies. Hot models are loaded on more
// engines than others.
func (w *world) addEngines() {
	for i := range w.site.Engines {
		e := &engine{
			world: w, id: entity.UpstreamID(fmt.Sprintf("e%02d", i)), domain: fmt.Sprint("d", i%w.site.Domains),
			born: 1, up: true, loaded: make(map[entity.ModelID]bool),
		}
		for _, m := range w.rng.Perm(w.site.Models)[:w.site.CopiesOnDisk] {
			e.disk = append(e.disk, modelID(m))
		}
		for _, m := range []int{i % w.site.HotModels, w.site.HotModels + i} {
			e.loaded[modelID(m)] = true
			e.disk = moveToEnd(e.disk, modelID(m), w.site.CopiesOnDisk)
			e.memory = moveToEnd(e.memory, modelID(m), w.site.CopiesInMemory)
		}
		if w.policy.AllModels {
			for m := range w.site.Models {
				e.loaded[modelID(m)] = true
			}
		}
		w.engines = append(w.engines, e)
		w.byID[e.id] = e
		e.recordReport()
	}
}

// after schedules a function to run after d. Functions that are due at the same time run in the order in
// which they were scheduled.
func (w *world) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.now.Add(d), seq: w.seq, run: run})
}

// run simulates the day, and the time after it until all of its requests have reached their deadlines.
func (w *world) run() *Result {
	for _, e := range w.engines {
		w.publishEntry(e)
	}
	for _, a := range w.site.arrivals(w.day, w.rng.Uint64()) {
		w.after(a.at, func() { w.hosts[a.host].arrive(a) })
	}
	if w.day.CrashShare > 0 {
		w.after(w.day.CrashAt, w.crash)
	}
	w.after(0, w.tick)
	end := epoch.Add(w.day.Length + w.site.longestDeadline())
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	return w.result
}

func (s *Site) longestDeadline() time.Duration {
	longest := time.Duration(0)
	for _, c := range s.Classes {
		longest = max(longest, c.Deadline)
	}
	return longest
}

func (w *world) tick() {
	for _, h := range w.hosts {
		if !h.scheduler.Idle() {
			h.applyDecisions(h.scheduler.Tick(w.now))
		}
	}
	w.executeCommands(w.swapper.Tick(w.now))
	w.after(tickInterval, w.tick)
}

// crash makes a share of the engines crash.
func (w *world) crash() {
	for _, i := range w.rng.Perm(len(w.engines))[:int(w.day.CrashShare*float64(len(w.engines)))] {
		e := w.engines[i]
		born := e.born
		e.crash(w.day.CrashTime)
		w.after(entryLapse, func() {
			if e.born != born {
				return
			}
			w.swapper.RemoveUpstream(e.id)
			for _, h := range w.hosts {
				h.scheduler.RemoveTarget(e.id)
			}
		})
	}
}

// publishEntry passes the list entry of an engine to the coordinator and the hosts.
func (w *world) publishEntry(e *engine) {
	u := e.entry()
	if !w.policy.AllModels {
		w.executeCommands(w.swapper.SetUpstream(u, w.now))
	}
	for _, h := range w.hosts {
		h.setTarget(u.ID, u.Models, 0, w.now)
	}
}

// executeCommands executes the commands of the coordinator and notifies the hosts if the loaded models have
// changed.
func (w *world) executeCommands(commands []swap.Command) {
	if w.policy.AllModels {
		return
	}
	for _, c := range commands {
		if c.Order != nil {
			w.sendOrder(*c.Order)
		}
		if c.Read != nil {
			w.readReport(c.Read)
		}
	}
	if v := w.swapper.Version(); v != w.version {
		w.version = v
		w.publishEngineViews()
	}
}

func (w *world) sendOrder(o swap.Order) {
	w.result.Orders++
	w.after(2*messageDelay, func() {
		answer := w.byID[o.Upstream.ID].applyOrder(o)
		w.after(messageDelay, func() { w.executeCommands(w.swapper.HandleAnswer(o.ID, answer, w.now)) })
	})
}

func (w *world) readReport(u *fleet.Upstream) {
	w.after(2*messageDelay, func() {
		e := w.byID[u.ID]
		if !e.up || e.born != u.BornMillis {
			w.after(messageDelay, func() { w.swapper.HandleReportFailure(u.ID, w.now) })
			return
		}
		report := e.report()
		w.after(messageDelay, func() { w.executeCommands(w.swapper.HandleReport(u.ID, report, w.now)) })
	})
}

func (w *world) publishEngineViews() {
	views := w.swapper.EngineViews()
	slices.SortFunc(views, func(a, b swap.EngineView) int { return cmp.Compare(a.Upstream.ID, b.Upstream.ID) })
	for _, view := range views {
		w.after(messageDelay, func() {
			for _, h := range w.hosts {
				h.setTarget(view.Upstream.ID, view.LoadedModels, view.Running, w.now)
			}
		})
	}
}

// loadTime returns the duration of a load that starts now and a function to call when it ends.
func (w *world) loadTime(e *engine, m entity.ModelID) (time.Duration, func()) {
	model := w.model(m)
	switch {
	case slices.Contains(e.memory, m):
		return model.MemoryLoad, func() {}
	case slices.Contains(e.disk, m):
		return model.DiskLoad, func() {}
	}
	w.result.StoreLoads++
	w.storeLoads++
	return model.StoreLoad * time.Duration(max(w.storeLoads, storeParallelLoads)) / storeParallelLoads, func() { w.storeLoads-- }
}

// admit takes the tokens of a request from the bucket of its workspace, or returns how long the workspace
// must wait for them.
func (w *world) admit(r *request) (wait time.Duration, ok bool) {
	b := &w.buckets[r.arrival.workspace]
	rate := w.site.WorkspaceRate
	b.level = min(rate, b.level+rate*w.now.Sub(b.updated).Seconds())
	b.updated = w.now
	tokens := float64(r.arrival.prompt + r.arrival.output)
	if b.level < tokens {
		return time.Duration((tokens - b.level) / rate * float64(time.Second)), false
	}
	b.level -= tokens
	return 0, true
}

// handleAttemptEnd passes the end of an attempt to the host of the request.
func (w *world) handleAttemptEnd(r *request, res dispatch.AttemptResult) {
	w.after(messageDelay, func() { r.host.handleAttemptEnd(r, res) })
}
