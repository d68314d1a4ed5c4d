package engine

import (
	"sync"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/command"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/standin/received"
	"github.com/valyala/fasthttp"
)

const (
	// maxRecordedRuns limits the number of request IDs whose runs are counted separately.
	maxRecordedRuns = 1 << 20
	// maxRecordedOrders limits the number of recorded orders, of recorded loads and of recorded violations.
	maxRecordedOrders = 1 << 16
	// maxListedRepeats limits the number of repeated request IDs in a Record.
	maxListedRepeats = 100
)

// Received is one request as the engine received it.
type Received = received.Request

// LoadRecord is one load of a model or adapter. Ended is zero while the load runs.
type LoadRecord struct {
	Model   entity.ModelID   `json:"model"`
	Adapter entity.AdapterID `json:"adapter,omitempty"`
	OrderID string           `json:"order_id"`
	Place   string           `json:"place"`
	Began   time.Time        `json:"began"`
	Ended   time.Time        `json:"ended,omitzero"`
	// Completed is false for a load that was ended by an unload order or by a stop of the engine.
	Completed bool `json:"completed"`
}

// OrderRecord is one received order with its answer.
type OrderRecord struct {
	At     time.Time     `json:"at"`
	Order  command.Order `json:"order"`
	Status int           `json:"status"`
	Code   string        `json:"code,omitempty"`
}

// MemoryViolation is an order that needed more memory than was free.
type MemoryViolation struct {
	At       time.Time     `json:"at"`
	Order    command.Order `json:"order"`
	Reserved int64         `json:"reserved"`
	Total    int64         `json:"total"`
}

// Record summarizes what the engine received and did since it was created, over all boots.
type Record struct {
	ID          entity.UpstreamID `json:"id"`
	Kind        string            `json:"kind"`
	Requests    uint64            `json:"requests"`
	Runs        uint64            `json:"runs"`
	RepeatedIDs uint64            `json:"repeated_ids"`
	// Repeats maps request IDs that ran more than once to their number of runs. It lists at most 100 of them,
	// while RepeatedIDs counts all.
	Repeats          map[entity.RequestID]int `json:"repeats"`
	Resumes          uint64                   `json:"resumes"`
	Orders           []OrderRecord            `json:"orders"`
	Loads            []LoadRecord             `json:"loads"`
	MemoryViolations []MemoryViolation        `json:"memory_violations"`
	MaxReservedBytes int64                    `json:"max_reserved_bytes"`
	// MaxReplicas is the highest number of models that were loading or loaded at the same time.
	MaxReplicas     int    `json:"max_replicas"`
	PromptTokens    uint64 `json:"prompt_tokens"`
	CachedTokens    uint64 `json:"cached_tokens"`
	GeneratedTokens uint64 `json:"generated_tokens"`
	// HeldSeconds is the time for which replicas occupied accelerators, summed over the replicas. IdleSeconds is
	// the part of it in which a loaded replica ran no request, and LoadingSeconds the part in which a replica was
	// loading.
	HeldSeconds    float64 `json:"held_seconds"`
	IdleSeconds    float64 `json:"idle_seconds"`
	LoadingSeconds float64 `json:"loading_seconds"`
	// DroppedReceived counts the received requests that are no longer listed because of Options.ReceivedLimit.
	DroppedReceived uint64 `json:"dropped_received"`
	// UncountedRequests counts the runs that are missing in RepeatedIDs and Repeats because the engine counts runs
	// only for the first maxRecordedRuns request IDs.
	UncountedRequests uint64 `json:"uncounted_requests"`
}

// LoadsOf returns the loads of a model, without the loads of its adapters.
func (r Record) LoadsOf(m entity.ModelID) []LoadRecord {
	var out []LoadRecord
	for _, l := range r.Loads {
		if l.Model == m && l.Adapter == "" {
			out = append(out, l)
		}
	}
	return out
}

// recorder collects the records of one engine. A goroutine that holds the engine's lock may take the lock of
// the recorder, but not the other way round.
type recorder struct {
	mu                          sync.Mutex
	totals                      Record
	received                    *received.Log
	runs                        map[entity.RequestID]int
	loads                       []*LoadRecord
	heldTime, idleTime, loading time.Duration
}

func newRecorder(limit int) *recorder {
	return &recorder{received: received.NewLog(limit), runs: map[entity.RequestID]int{}}
}

// recordRequest records a request, except those to the control paths below /standin/.
func (r *recorder) recordRequest(req *fasthttp.Request) {
	path := req.URI().Path()
	isControl := len(path) >= 9 && string(path[:9]) == "/standin/"
	if isControl {
		return
	}
	r.received.Add(req)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.totals.Requests++
}

func (r *recorder) countRun(id entity.RequestID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.totals.Runs++
	n, known := r.runs[id]
	if !known && len(r.runs) >= maxRecordedRuns {
		r.totals.UncountedRequests++
		return
	}
	r.runs[id] = n + 1
	if n == 1 {
		r.totals.RepeatedIDs++
	}
}

func (r *recorder) countResume() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.totals.Resumes++
}

// order records an order and its answer.
func (r *recorder) order(o command.Order, res orderResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.totals.Orders) < maxRecordedOrders {
		r.totals.Orders = append(r.totals.Orders, OrderRecord{time.Now(), o, res.status, res.code})
	}
}

func (r *recorder) recordMemoryViolation(o command.Order, reserved, total int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.totals.MemoryViolations) < maxRecordedOrders {
		r.totals.MemoryViolations = append(r.totals.MemoryViolations, MemoryViolation{time.Now(), o, reserved, total})
	}
}

// reserved records the reserved memory if it is higher than before.
func (r *recorder) reserved(bytes int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.totals.MaxReservedBytes = max(r.totals.MaxReservedBytes, bytes)
}

// replicas records the number of replicas if it is higher than before.
func (r *recorder) replicas(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.totals.MaxReplicas = max(r.totals.MaxReplicas, n)
}

func (r *recorder) recordLoadStart(o command.Order, place string, now time.Time) *LoadRecord {
	l := &LoadRecord{Model: o.Model, Adapter: o.Adapter, OrderID: o.OrderID, Place: place, Began: now}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.loads) < maxRecordedOrders {
		r.loads = append(r.loads, l)
	}
	return l
}

func (r *recorder) recordLoadEnd(l *LoadRecord, now time.Time, completed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l.Ended = now
	l.Completed = completed
}

func (r *recorder) countPromptTokens(prompt, cached int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.totals.PromptTokens += uint64(prompt)
	r.totals.CachedTokens += uint64(cached)
}

func (r *recorder) countGeneratedTokens(tokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.totals.GeneratedTokens += uint64(tokens)
}

// addHeldTime adds time for which one replica occupied its accelerators. Time spent loading does not count as
// idle.
func (r *recorder) addHeldTime(d time.Duration, loading, working bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heldTime += d
	switch {
	case loading:
		r.loading += d
	case !working:
		r.idleTime += d
	}
}

// Record returns the summary, with accelerator seconds up to the current time.
func (e *Engine) Record() Record {
	e.mu.Lock()
	now := time.Now()
	for _, r := range e.currentBoot.replicas {
		e.accountReplicaTime(r, now)
	}
	e.mu.Unlock()
	r := e.rec
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.totals
	out.ID, out.Kind = e.opts.ID, e.opts.Kind
	out.DroppedReceived = r.received.Dropped()
	out.HeldSeconds = r.heldTime.Seconds()
	out.IdleSeconds = r.idleTime.Seconds()
	out.LoadingSeconds = r.loading.Seconds()
	out.Orders = append([]OrderRecord{}, out.Orders...)
	out.MemoryViolations = append([]MemoryViolation{}, out.MemoryViolations...)
	out.Loads = []LoadRecord{}
	for _, l := range r.loads {
		out.Loads = append(out.Loads, *l)
	}
	out.Repeats = map[entity.RequestID]int{}
	if out.RepeatedIDs == 0 {
		return out
	}
	for id, n := range r.runs {
		if n > 1 && len(out.Repeats) < maxListedRepeats {
			out.Repeats[id] = n
		}
	}
	return out
}

// Received returns the recorded requests, oldest first. Requests to paths below /standin/ are not recorded.
func (e *Engine) Received() []Received { return e.rec.received.All() }

// Runs returns how many times the request with this ID was run, over all boots.
func (e *Engine) Runs(id entity.RequestID) int {
	e.rec.mu.Lock()
	defer e.rec.mu.Unlock()
	return e.rec.runs[id]
}
