package kit

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeatInterval is how often a replica writes its entry.
const heartbeatInterval = 1200 * time.Millisecond

// Order is an order that a replica received.
type Order struct {
	At           time.Time
	Operation    string `json:"operation"`
	Model        string `json:"model"`
	Adapter      string `json:"adapter"`
	Expected     *int64 `json:"expected"`
	LeaseHolder  string `json:"lease_holder"`
	FencingToken int64  `json:"fencing_token"`
	Status       int
}

// Run is a request that a replica ran.
type Run struct {
	At                                           time.Time
	ID, Method, Target, Tenant, Model, LastEvent string
	Body                                         []byte
	Events                                       int
}

// Replica is a stand-in for a replica of one service: a model engine if Capacity is set, otherwise a plain service.
type Replica struct {
	ID, Service, Zone string
	Slots             int
	// Capacity is the number of models that fit, and LoadTime how long a load takes.
	Capacity int
	LoadTime time.Duration
	// Events is the number of events of a stream, one each EventInterval. WorkTime is the time of a plain request.
	Events                  int
	EventInterval, WorkTime time.Duration
	// StopAfter, if set, returns after how many whole events a stream stops in the middle of the next one, 0 for never.
	StopAfter func(id string) int

	mu       sync.Mutex
	models   []string
	onDisk   []string
	busy     bool
	sequence int64
	orders   []Order
	runs     []Run
	store    *Store
	server   *http.Server
	addr     string
	born     int64
	done     chan struct{}
}

// Start starts the replica at an address with loaded models, and with copies of others on its disk.
func (r *Replica) Start(addr string, s *Store, loaded, onDisk []string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	r.addr, r.store, r.models, r.onDisk = ln.Addr().String(), s, slices.Clone(loaded), slices.Clone(onDisk)
	r.born, r.done = time.Now().UnixMilli(), make(chan struct{})
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve)}
	go func() { _ = r.server.Serve(ln) }()
	r.writeEntry()
	go r.beat()
	return nil
}

// Close stops the replica.
func (r *Replica) Close() {
	close(r.done)
	_ = r.server.Close()
}

func (r *Replica) beat() {
	t := time.NewTicker(heartbeatInterval)
	defer t.Stop()
	for {
		select {
		case <-r.done:
			return
		case <-t.C:
			r.writeEntry()
		}
	}
}

func (r *Replica) writeEntry() {
	r.mu.Lock()
	entry := map[string]any{"service": r.Service, "address": r.addr, "zone": r.Zone, "version": "v1", "slots": r.Slots,
		"state": "ready", "cold_remaining_ms": 0, "sequence": r.sequence, "born": r.born}
	if r.Capacity > 0 {
		entry["inference_stage"], entry["models"] = "prefill_and_decode", r.modelList()
		entry["available"] = map[string]any{"resident": []string{}, "cached_on_disk": slices.Clone(r.onDisk)}
	}
	r.mu.Unlock()
	r.store.mu.Lock()
	away := r.store.away
	r.store.mu.Unlock()
	if !away {
		r.store.Put("servers/"+r.ID, entry)
	}
}

func (r *Replica) modelList() []map[string]any {
	out := []map[string]any{}
	for _, m := range r.models {
		out = append(out, map[string]any{"name": m, "version": 1, "adapters": []string{}})
	}
	return out
}

// Orders returns the orders that the replica has received.
func (r *Replica) Orders() []Order {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.orders)
}

// Runs returns the requests that the replica has run.
func (r *Replica) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.runs)
}

func (r *Replica) serve(w http.ResponseWriter, q *http.Request) {
	if want := q.Header.Get("X-Foxtailpass-Expected-Instance"); want != "" && want != r.ID {
		w.Header().Set("X-Foxtailpass-Instance-Id", r.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch q.URL.Path {
	case "/report":
		r.mu.Lock()
		body := map[string]any{"inference_stage": "prefill_and_decode", "models": r.modelList(), "busy": r.busy, "sequence": r.sequence,
			"queued_requests": 0, "active_requests": 0, "kv_cache_used": 0, "kv_cache_total": 100000, "handled_models": 0,
			"available": map[string]any{"resident": []string{}, "cached_on_disk": slices.Clone(r.onDisk)}}
		r.mu.Unlock()
		reply(w, http.StatusOK, body)
	case "/order":
		r.serveOrder(w, q)
	case "/healthz":
		w.Header().Set("X-Foxtailpass-Instance-Id", r.ID)
	default:
		r.run(w, q)
	}
}

func (r *Replica) serveOrder(w http.ResponseWriter, q *http.Request) {
	var o Order
	if json.NewDecoder(q.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	o.At = time.Now()
	o.Status = r.execute(o)
	r.orders = append(r.orders, o)
	r.mu.Unlock()
	w.WriteHeader(o.Status)
}

// execute carries an order out and returns the status of its answer. The caller holds r.mu.
func (r *Replica) execute(o Order) int {
	loaded := slices.Contains(r.models, o.Model)
	switch {
	case o.LeaseHolder == "" || o.FencingToken == 0:
		return http.StatusBadRequest
	case r.busy || o.Expected != nil && *o.Expected != r.sequence:
		return http.StatusConflict
	case o.Adapter != "":
		return http.StatusBadRequest
	case loaded == (o.Operation == "model_load"):
		return http.StatusOK
	}
	r.sequence++
	if o.Operation == "model_unload" {
		r.models = slices.DeleteFunc(r.models, func(m string) bool { return m == o.Model })
		return http.StatusAccepted
	}
	r.busy = true
	time.AfterFunc(r.LoadTime, func() {
		r.mu.Lock()
		r.models = append(r.models, o.Model)
		if !slices.Contains(r.onDisk, o.Model) {
			r.onDisk = append(r.onDisk, o.Model)
		}
		r.busy = false
		r.mu.Unlock()
		r.writeEntry()
	})
	return http.StatusAccepted
}

func (r *Replica) run(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	run := Run{At: time.Now(), ID: q.Header.Get("X-Foxtailpass-Attempt-Id"), Method: q.Method, Target: q.RequestURI,
		Tenant: q.Header.Get("X-Foxtailpass-Tenant"), Model: q.Header.Get("X-Foxtailpass-Model"), LastEvent: q.Header.Get("Last-Event-Id"), Body: body}
	r.mu.Lock()
	model, _, _ := strings.Cut(run.Model, "/")
	missing := r.Capacity > 0 && !slices.Contains(r.models, model)
	index := len(r.runs)
	if !missing && run.ID != "" {
		r.runs = append(r.runs, run)
	}
	r.mu.Unlock()
	switch {
	case run.ID == "":
		w.Header().Set("X-Foxtailpass-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	case missing:
		w.Header().Set("X-Foxtailpass-Instance-Id", r.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("X-Foxtailpass-Attempt-Id", run.ID)
	w.Header().Set("X-Foxtailpass-Response-Signature", "sig."+r.ID+"."+run.ID)
	if r.Events > 0 {
		r.stream(w, run, index)
		return
	}
	time.Sleep(r.WorkTime)
	_, _ = fmt.Fprintf(w, "answer to %s", run.ID)
}

// stream writes the events of a stream in chunks.
func (r *Replica) stream(w http.ResponseWriter, run Run, index int) {
	w.Header().Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(run.LastEvent)
	stop := 0
	if r.StopAfter != nil && first == 0 {
		stop = r.StopAfter(run.ID)
	}
	for i := first + 1; i <= r.Events; i++ {
		event := EventText(i)
		if stop > 0 && i > stop {
			// The replica stops in the middle of an event, and its HTTP library ends the body.
			_, _ = io.WriteString(w, event[:len(event)/2])
			return
		}
		if _, err := io.WriteString(w, event); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		r.mu.Lock()
		r.runs[index].Events = i
		r.mu.Unlock()
		time.Sleep(r.EventInterval)
	}
}

// EventText returns an event of a stream.
func EventText(i int) string {
	return fmt.Sprintf("id: %d\ndata: {\"piece\":%d,\"text\":\"token token token token token token\"}\n\n", i, i)
}
