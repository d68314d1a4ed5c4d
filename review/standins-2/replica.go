package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// run is one request that a replica ran.
type run struct {
	Attempt, Replica, Version, Path, LastEvent string
	At                                         time.Time
}

// Replica is a stand-in for a replica. With Engine set it is a model engine.
type Replica struct {
	ID, Service, Zone, Version string
	Engine                     bool
	// Events is the length of a stream, and Interval the pause between two events.
	Events   int
	Interval time.Duration
	Work     time.Duration
	// Models are the models that the replica has loaded when it first starts. LoadTime is the duration of a load.
	Models   []string
	LoadTime time.Duration
	// Remaining is what a draining replica says of the time that it has left.
	Remaining time.Duration

	site     *Site
	mu       sync.Mutex
	addr     string
	up       bool
	born     int64
	sequence int64
	beat     int64
	models   []string
	busy     bool
	draining bool
	srv      *http.Server
	stop     chan struct{}
	conns    map[net.Conn]bool
	// Arrived is called with each request before it is handled, if set. It returns true if it has answered.
	Arrived func(r *Replica, w http.ResponseWriter, q *http.Request) bool
}

// Start starts the replica at its former address, if it had one, and registers it.
func (r *Replica) Start() error {
	addr := r.addr
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", addr)
	for n := 0; err != nil && n < 10; n++ {
		time.Sleep(20 * time.Millisecond)
		ln, err = net.Listen("tcp", addr)
	}
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.addr, r.up, r.born, r.sequence, r.busy = ln.Addr().String(), true, time.Now().UnixMilli(), 0, false
	r.conns, r.stop = map[net.Conn]bool{}, make(chan struct{})
	stop := r.stop
	r.srv = &http.Server{Handler: http.HandlerFunc(r.serve), ConnState: func(c net.Conn, st http.ConnState) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if st == http.StateNew {
			r.conns[c] = true
		} else if st == http.StateClosed {
			delete(r.conns, c)
		}
	}}
	srv := r.srv
	r.mu.Unlock()
	r.register()
	go func() { _ = srv.Serve(ln) }()
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(1200 * time.Millisecond):
				r.register()
			}
		}
	}()
	return nil
}

// register writes the entry of the replica, unless the store is away.
func (r *Replica) register() {
	r.site.store.mu.Lock()
	away := r.site.store.away
	r.site.store.mu.Unlock()
	if away {
		return
	}
	r.mu.Lock()
	r.beat++
	e := r.entry()
	r.mu.Unlock()
	r.site.store.Put("servers/"+r.ID, e)
}

func (r *Replica) entry() map[string]any {
	e := map[string]any{"service": r.Service, "address": r.addr, "zone": r.Zone, "version": r.Version, "slots": 32, "state": "ready",
		"cold_remaining_ms": 0, "sequence": r.sequence, "born": r.born}
	if r.draining {
		e["state"] = "draining"
		if r.Remaining > 0 {
			e["remaining_ms"] = r.Remaining.Milliseconds()
		}
	}
	if r.Engine {
		e["inference_stage"] = "prefill_and_decode"
		e["models"] = r.modelList()
		e["available"] = map[string]any{"resident": []string{}, "cached_on_disk": r.Models}
	}
	return e
}

func (r *Replica) modelList() []any {
	out := []any{}
	for _, m := range r.models {
		out = append(out, map[string]any{"name": m, "version": 1, "adapters": []string{}})
	}
	return out
}

// Drain reports that the replica is draining, and returns when the store has acknowledged that.
func (r *Replica) Drain() time.Time {
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	r.register()
	return time.Now()
}

// Crash ends the replica: its connections are reset, and new ones are refused.
func (r *Replica) Crash() {
	r.mu.Lock()
	if !r.up {
		r.mu.Unlock()
		return
	}
	r.up, r.models = false, nil
	close(r.stop)
	srv, conns := r.srv, r.conns
	r.conns = map[net.Conn]bool{}
	r.mu.Unlock()
	for c := range conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	_ = srv.Close()
}

func (r *Replica) serve(w http.ResponseWriter, q *http.Request) {
	h := q.Header
	id := h.Get("X-Foxtailpass-Attempt-Id")
	w.Header().Set("Date", "")
	if id != "" {
		w.Header().Set("X-Foxtailpass-Attempt-Id", id)
	}
	switch q.URL.Path {
	case "/report":
		r.mu.Lock()
		v := map[string]any{"inference_stage": "prefill_and_decode", "models": r.modelList(), "busy": r.busy, "sequence": r.sequence, "queued_requests": 0,
			"active_requests": 0, "kv_cache_used": 0, "kv_cache_total": 90000, "handled_models": 0, "pending_loads": []string{}, "born": r.born,
			"available": map[string]any{"resident": []string{}, "cached_on_disk": r.Models}}
		r.mu.Unlock()
		answer(w, 200, v)
		return
	case "/order":
		r.order(w, q)
		return
	case "/healthz":
		w.Header().Set("X-Foxtailpass-Instance-Id", r.ID)
		w.WriteHeader(200)
		return
	}
	if r.Arrived != nil && r.Arrived(r, w, q) {
		return
	}
	if x := h.Get("X-Foxtailpass-Expected-Instance"); x != "" && x != r.ID {
		w.WriteHeader(421)
		return
	}
	if id == "" {
		w.Header().Set("X-Foxtailpass-Not-Executed", "1")
		w.WriteHeader(400)
		return
	}
	r.mu.Lock()
	version, loaded, stop := r.Version, !r.Engine || slices.Contains(r.models, h.Get("X-Foxtailpass-Model")), r.stop
	r.mu.Unlock()
	if !loaded {
		w.WriteHeader(421)
		return
	}
	last := h.Get("Last-Event-Id")
	r.site.ran(run{Attempt: id, Replica: r.ID, Version: version, Path: q.URL.Path, LastEvent: last, At: time.Now()})
	w.Header().Set("X-Foxtailpass-Response-Signature", "sig."+r.ID+"."+id)
	if r.Events == 0 {
		select {
		case <-time.After(r.Work):
		case <-stop:
			panic(http.ErrAbortHandler)
		case <-q.Context().Done():
			return
		}
		body := "answer of " + r.ID + " to " + id
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write([]byte(body))
		return
	}
	from := 0
	if last != "" {
		from, _ = strconv.Atoi(last)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for n := from + 1; n <= r.Events; n++ {
		select {
		case <-time.After(r.Interval):
		case <-stop:
			panic(http.ErrAbortHandler)
		case <-q.Context().Done():
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %s\n\n", n, r.ID, version)
		w.(http.Flusher).Flush()
	}
}

func (r *Replica) order(w http.ResponseWriter, q *http.Request) {
	var o struct {
		Operation string `json:"operation"`
		Model     string `json:"model"`
		Adapter   string `json:"adapter"`
		Expected  *int64 `json:"expected"`
		Holder    string `json:"lease_holder"`
		Token     int64  `json:"fencing_token"`
	}
	_ = json.NewDecoder(q.Body).Decode(&o)
	if x := q.Header.Get("X-Foxtailpass-Expected-Instance"); x != "" && x != r.ID {
		w.WriteHeader(421)
		return
	}
	r.site.log("order at %s: %s %s %s from %s token %d", r.ID, o.Operation, o.Model, o.Adapter, o.Holder, o.Token)
	r.mu.Lock()
	defer r.mu.Unlock()
	has := slices.Contains(r.models, o.Model)
	switch {
	case r.busy || o.Expected != nil && *o.Expected != r.sequence:
		w.WriteHeader(409)
	case o.Adapter != "", has == (o.Operation == "model_load"):
		w.WriteHeader(200)
	default:
		r.sequence++
		r.busy = true
		stop, took := r.stop, 50*time.Millisecond
		if o.Operation == "model_load" {
			took = r.LoadTime
		}
		time.AfterFunc(took, func() {
			r.mu.Lock()
			select {
			case <-stop:
				r.mu.Unlock()
				return
			default:
			}
			r.busy = false
			r.models = slices.DeleteFunc(slices.Clone(r.models), func(m string) bool { return m == o.Model })
			if o.Operation == "model_load" {
				r.models = append(r.models, o.Model)
			}
			r.mu.Unlock()
			r.register()
		})
		w.WriteHeader(202)
	}
}

func answer(w http.ResponseWriter, status int, v any) {
	b, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}
