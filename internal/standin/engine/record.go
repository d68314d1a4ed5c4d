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
	// maxRecordedRuns bounds the request IDs whose runs are counted one by one.
	maxRecordedRuns = 1 << 20
	// maxRecordedOrders bounds the recorded orders, loads and violations each.
	maxRecordedOrders = 1 << 16
	// maxListedRepeats bounds the repeated request IDs in a Record.
	maxListedRepeats = 100
)

// Received is one request as it arrived.
type Received = received.Request

// LoadRecord is one load of a model or adapter. Ended is zero while it runs.
type LoadRecord struct {
	Model   entity.ModelID   `json:"model"`
	Adapter entity.AdapterID `json:"adapter,omitempty"`
	OrderID string           `json:"order_id"`
	Place   string           `json:"place"`
	Began   time.Time        `json:"began"`
	Ended   time.Time        `json:"ended,omitzero"`
	// Completed is false for a load that an unload or a kill ended.
	Completed bool `json:"completed"`
}

// OrderRecord is one order as it arrived, with its answer.
type OrderRecord struct {
	At     time.Time     `json:"at"`
	Order  command.Order `json:"order"`
	Status int           `json:"status"`
	Code   string        `json:"code,omitempty"`
}

// MemoryViolation is an order that asked for more memory than was free.
type MemoryViolation struct {
	At       time.Time     `json:"at"`
	Order    command.Order `json:"order"`
	Reserved int64         `json:"reserved"`
	Total    int64         `json:"total"`
}

// Record is the summary of everything since the engine was created, over all boots.
type Record struct {
	ID          entity.UpstreamID `json:"id"`
	Kind        string            `json:"kind"`
	Requests    uint64            `json:"requests"`
	Runs        uint64            `json:"runs"`
	RepeatedIDs uint64            `json:"repeated_ids"`
	// Repeats maps request IDs that ran more than once to their runs, at most 100 of them.
	Repeats           map[entity.RequestID]int `json:"repeats"`
	Resumes           uint64                   `json:"resumes"`
	Orders            []OrderRecord            `json:"orders"`
	Loads             []LoadRecord             `json:"loads"`
	MemoryViolations  []MemoryViolation        `json:"memory_violations"`
	MaxReservedBytes  int64                    `json:"max_reserved_bytes"`
	MaxReplicas       int                      `json:"max_replicas"`
	PromptTokens      uint64                   `json:"prompt_tokens"`
	CachedTokens      uint64                   `json:"cached_tokens"`
	GeneratedTokens   uint64                   `json:"generated_tokens"`
	HeldSeconds       float64                  `json:"held_seconds"`
	IdleSeconds       float64                  `json:"idle_seconds"`
	LoadingSeconds    float64                  `json:"loading_seconds"`
	DroppedReceived   uint64                   `json:"dropped_received"`
	UncountedRequests uint64                   `json:"uncounted_requests"`
}

// LoadsOf returns the loads of a model without those of its adapters.
func (r Record) LoadsOf(m entity.ModelID) []LoadRecord {
	var out []LoadRecord
	for _, l := range r.Loads {
		if l.Model == m && l.Adapter == "" {
			out = append(out, l)
		}
	}
	return out
}

// recorder collects the records of one engine. Its lock is taken after the engine's.
type recorder struct {
	mu                        sync.Mutex
	sum                       Record
	received                  *received.Log
	runs                      map[entity.RequestID]int
	loads                     []*LoadRecord
	heldFor, idleFor, loading time.Duration
}

func newRecorder(limit int) *recorder {
	return &recorder{received: received.NewLog(limit), runs: map[entity.RequestID]int{}}
}

func (r *recorder) receive(req *fasthttp.Request) {
	path := req.URI().Path()
	own := len(path) >= 9 && string(path[:9]) == "/standin/"
	if own {
		return
	}
	r.received.Add(req)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sum.Requests++
}

func (r *recorder) ran(id entity.RequestID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sum.Runs++
	n, known := r.runs[id]
	if !known && len(r.runs) >= maxRecordedRuns {
		r.sum.UncountedRequests++
		return
	}
	r.runs[id] = n + 1
	if n == 1 {
		r.sum.RepeatedIDs++
	}
}

func (r *recorder) resumed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sum.Resumes++
}

func (r *recorder) order(o command.Order, res orderResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.sum.Orders) < maxRecordedOrders {
		r.sum.Orders = append(r.sum.Orders, OrderRecord{time.Now(), o, res.status, res.code})
	}
}

func (r *recorder) noMemory(o command.Order, reserved, total int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.sum.MemoryViolations) < maxRecordedOrders {
		r.sum.MemoryViolations = append(r.sum.MemoryViolations, MemoryViolation{time.Now(), o, reserved, total})
	}
}

func (r *recorder) reserved(bytes int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sum.MaxReservedBytes = max(r.sum.MaxReservedBytes, bytes)
}

func (r *recorder) replicas(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sum.MaxReplicas = max(r.sum.MaxReplicas, n)
}

func (r *recorder) loadBegan(o command.Order, place string, now time.Time) *LoadRecord {
	l := &LoadRecord{Model: o.Model, Adapter: o.Adapter, OrderID: o.OrderID, Place: place, Began: now}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.loads) < maxRecordedOrders {
		r.loads = append(r.loads, l)
	}
	return l
}

func (r *recorder) loadEnded(l *LoadRecord, now time.Time, completed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l.Ended = now
	l.Completed = completed
}

func (r *recorder) prefill(prompt, cached int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sum.PromptTokens += uint64(prompt)
	r.sum.CachedTokens += uint64(cached)
}

func (r *recorder) generated(tokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sum.GeneratedTokens += uint64(tokens)
}

// held adds time for which one replica held its accelerator. Loading is counted apart from
// being idle.
func (r *recorder) held(d time.Duration, loading, working bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heldFor += d
	switch {
	case loading:
		r.loading += d
	case !working:
		r.idleFor += d
	}
}

// Record returns the summary, with accelerator seconds up to now.
func (e *Engine) Record() Record {
	e.mu.Lock()
	now := time.Now()
	for _, r := range e.mem.replicas {
		e.settle(r, now)
	}
	e.mu.Unlock()
	r := e.rec
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.sum
	out.ID, out.Kind = e.opts.ID, e.opts.Kind
	out.DroppedReceived = r.received.Dropped()
	out.HeldSeconds = r.heldFor.Seconds()
	out.IdleSeconds = r.idleFor.Seconds()
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

// Received returns the recorded requests, oldest first, without those to /standin/.
func (e *Engine) Received() []Received { return e.rec.received.All() }

// Runs returns how often the request with this ID was run, over all boots.
func (e *Engine) Runs(id entity.RequestID) int {
	e.rec.mu.Lock()
	defer e.rec.mu.Unlock()
	return e.rec.runs[id]
}
