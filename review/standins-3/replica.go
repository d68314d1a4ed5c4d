package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeat is the interval at which replicas write their entries.
const heartbeat = 1200 * time.Millisecond

// run is one request that a replica has begun.
type run struct {
	id, version, lastEvent, path, tenant string
	at                                   time.Time
	// ended is set when its answer was complete, cut when the replica ended first.
	ended, cut bool
}

// replica is a stand-in for a replica of one service: a model engine if room is above zero, otherwise a plain service.
type replica struct {
	id, service, zone, version string
	slots                      int
	// room is the number of models that fit, and disk are the models with a copy on the disk. diskLoad is the time of a load from
	// there, and storeLoad that of one from the weight store. memoryMB is the memory for weights and adapters, which have
	// modelMB and adapterMB each; zero is not counted.
	room                int
	disk                []string
	diskLoad, storeLoad time.Duration
	memoryMB            float64
	modelMB, adapterMB  float64
	// events is the number of events of a stream and pause the time between two. prefill is the time to the head of its answer.
	// work is the time of a plain request.
	events               int
	pause, prefill, work time.Duration
	store                *store

	mu       sync.Mutex
	addr     string
	born     int64
	state    string
	sequence int64
	busy     bool
	models   map[string]bool
	adapters map[string]bool
	// overloaded is set when the replica was ordered to load more than it holds; it crashes then.
	overloaded bool
	running    int
	runs       []*run
	conns      map[net.Conn]struct{}
	ln         net.Listener
	ended      chan struct{}
}

// start starts the replica, with the models that it has loaded. After an end it starts again at its address.
func (r *replica) start(models ...string) {
	addr := r.addr
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", addr)
	check(err)
	r.mu.Lock()
	r.ln, r.addr, r.born, r.state, r.sequence, r.busy, r.running = ln, ln.Addr().String(), time.Now().UnixMilli(), "ready", 0, false, 0
	r.models, r.adapters = make(map[string]bool), make(map[string]bool)
	r.conns, r.ended = make(map[net.Conn]struct{}), make(chan struct{})
	for _, m := range models {
		r.models[m] = true
	}
	ended := r.ended
	r.mu.Unlock()
	r.writeEntry()
	go r.beat(ended)
	srv := &http.Server{Handler: http.HandlerFunc(r.handle), ConnState: r.track}
	go func() { _ = srv.Serve(ln) }()
}

func (r *replica) track(c net.Conn, st http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch st {
	case http.StateNew:
		r.conns[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(r.conns, c)
	}
}

// end ends the replica like a kill: its machine resets its connections and refuses new ones.
func (r *replica) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.ln.Close()
	close(r.ended)
	for c := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	for _, x := range r.runs {
		x.cut = x.cut || !x.ended
	}
}

func (r *replica) beat(ended chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-time.After(heartbeat):
			r.writeEntry()
		}
	}
}

// drain reports the replica as draining. It returns when the store has accepted that.
func (r *replica) drain() {
	r.mu.Lock()
	r.state = "draining"
	r.mu.Unlock()
	r.writeEntry()
}

func (r *replica) key() string { return "servers/" + r.id }

func (r *replica) entry() map[string]any {
	e := map[string]any{"service": r.service, "address": r.addr, "zone": r.zone, "version": r.version, "slots": r.slots, "state": r.state,
		"cold_remaining_ms": 0, "sequence": r.sequence, "born": r.born}
	if r.room > 0 {
		e["inference_stage"], e["models"], e["available"] = "prefill_and_decode", r.loaded(), r.available()
	}
	return e
}

func (r *replica) writeEntry() {
	r.mu.Lock()
	e := r.entry()
	r.mu.Unlock()
	r.store.put(r.key(), e)
}

func (r *replica) loaded() []map[string]any {
	out := []map[string]any{}
	for m := range r.models {
		adapters := []string{}
		for a := range r.adapters {
			if of, name, _ := strings.Cut(a, "/"); of == m {
				adapters = append(adapters, name)
			}
		}
		out = append(out, map[string]any{"name": m, "version": 1, "adapters": adapters})
	}
	return out
}

func (r *replica) available() map[string]any {
	return map[string]any{"resident": []string{}, "cached_on_disk": r.disk}
}

func (r *replica) handle(w http.ResponseWriter, q *http.Request) {
	if want := q.Header.Get("X-Foxtailpass-Expected-Instance"); want != "" && want != r.id {
		w.Header().Set("X-Foxtailpass-Attempt-Id", q.Header.Get("X-Foxtailpass-Attempt-Id"))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch q.URL.Path {
	case "/report":
		r.mu.Lock()
		body := map[string]any{"inference_stage": "prefill_and_decode", "models": r.loaded(), "busy": r.busy, "sequence": r.sequence, "born": r.born,
			"queued_requests": 0, "active_requests": r.running, "kv_cache_used": 0, "kv_cache_total": 90000, "handled_models": 0, "available": r.available()}
		r.mu.Unlock()
		answerJSON(w, http.StatusOK, body)
	case "/order":
		r.order(w, q)
	case "/healthz":
		w.Header().Set("X-Foxtailpass-Instance-Id", r.id)
		w.WriteHeader(http.StatusOK)
	default:
		r.serve(w, q)
	}
}

func (r *replica) order(w http.ResponseWriter, q *http.Request) {
	var o struct {
		Operation, Model, Adapter string
		Expected                  *int64
		LeaseHolder               string `json:"lease_holder"`
		FencingToken              int64  `json:"fencing_token"`
	}
	if json.NewDecoder(q.Body).Decode(&o) != nil || o.LeaseHolder == "" || o.FencingToken == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	status := r.accept(o.Operation, o.Model, o.Adapter, o.Expected)
	used, overloaded := r.usedMB(), r.overloaded
	r.mu.Unlock()
	logf("order at %s (%s): %s %s/%s by %s token %d -> %d, %.0f MB in use", r.id, r.version, o.Operation, o.Model, o.Adapter, o.LeaseHolder, o.FencingToken, status, used)
	if overloaded {
		logf("%s was ordered to load more than %.0f MB and crashes with %d requests", r.id, r.memoryMB, r.running)
		r.end()
		return
	}
	w.WriteHeader(status)
}

// usedMB returns the memory of the models and adapters.
func (r *replica) usedMB() float64 {
	return r.modelMB*float64(len(r.models)) + r.adapterMB*float64(len(r.adapters))
}

func (r *replica) accept(operation, model, adapter string, expected *int64) int {
	load := operation == "model_load"
	switch {
	case r.busy || expected != nil && *expected != r.sequence:
		return http.StatusConflict
	case adapter != "":
		return r.acceptAdapter(load, model, adapter)
	case r.models[model] == load:
		return http.StatusOK
	}
	r.sequence++
	if !load {
		delete(r.models, model)
		for a := range r.adapters {
			if strings.HasPrefix(a, model+"/") {
				delete(r.adapters, a)
			}
		}
		return http.StatusAccepted
	}
	if r.memoryMB > 0 && r.usedMB()+r.modelMB > r.memoryMB {
		r.overloaded = true
		return http.StatusAccepted
	}
	r.busy = true
	ended, took := r.ended, r.storeLoad
	if slices.Contains(r.disk, model) {
		took = r.diskLoad
	}
	time.AfterFunc(took, func() {
		select {
		case <-ended:
			return
		default:
		}
		r.mu.Lock()
		r.busy, r.models[model] = false, true
		if !slices.Contains(r.disk, model) {
			r.disk = append(r.disk, model)
		}
		r.mu.Unlock()
		r.writeEntry()
	})
	return http.StatusAccepted
}

// acceptAdapter loads or unloads an adapter of a model. The adapter is there at once: it takes some milliseconds.
func (r *replica) acceptAdapter(load bool, model, adapter string) int {
	name := model + "/" + adapter
	switch {
	case !r.models[model]:
		return http.StatusBadRequest
	case r.adapters[name] == load:
		return http.StatusOK
	}
	r.sequence++
	if !load {
		delete(r.adapters, name)
		return http.StatusOK
	}
	r.adapters[name] = true
	r.overloaded = r.memoryMB > 0 && r.usedMB() > r.memoryMB
	return http.StatusAccepted
}

func (r *replica) serve(w http.ResponseWriter, q *http.Request) {
	h := w.Header()
	h.Set("X-Foxtailpass-Attempt-Id", q.Header.Get("X-Foxtailpass-Attempt-Id"))
	r.mu.Lock()
	name := q.Header.Get("X-Foxtailpass-Model")
	model, _, hasAdapter := strings.Cut(name, "/")
	switch {
	case r.room > 0 && (!r.models[model] || hasAdapter && !r.adapters[name]):
		r.mu.Unlock()
		h.Set("X-Foxtailpass-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case r.running >= r.slots || promptTokens(q) > kvTokens:
		r.mu.Unlock()
		h.Set("X-Foxtailpass-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	x := &run{id: q.Header.Get("X-Foxtailpass-Attempt-Id"), version: r.version, lastEvent: q.Header.Get("Last-Event-Id"), path: q.URL.Path, tenant: q.Header.Get("X-Foxtailpass-Tenant"), at: time.Now()}
	r.runs = append(r.runs, x)
	r.running++
	ended, version := r.ended, r.version
	r.mu.Unlock()
	logf("run at %s (%s): %s %s after event %q", r.id, version, x.id, x.path, x.lastEvent)
	h.Set("X-Foxtailpass-Response-Signature", "sig."+r.id+"."+x.id)
	done := false
	if r.events > 0 {
		done = r.stream(w, x, version, ended)
	} else {
		select {
		case <-ended:
		case <-time.After(r.work):
			body := "answer of " + r.id + " to " + x.id
			h.Set("Content-Length", strconv.Itoa(len(body)))
			_, err := w.Write([]byte(body))
			done = err == nil
		}
	}
	r.mu.Lock()
	r.running--
	x.ended = done && !x.cut
	r.mu.Unlock()
}

func (r *replica) stream(w http.ResponseWriter, x *run, version string, ended chan struct{}) bool {
	select {
	case <-ended:
		return false
	case <-time.After(r.prefill):
	}
	w.Header().Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(x.lastEvent)
	for i := first + 1; i <= r.events; i++ {
		select {
		case <-ended:
			return false
		case <-time.After(r.pause):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s event %d\n\n", i, version, i); err != nil {
			return false
		}
		w.(http.Flusher).Flush()
	}
	return true
}

// kvTokens is the memory of a replica for tokens. A larger request is rejected as if the replica were full.
const kvTokens = 124384

func promptTokens(q *http.Request) int {
	first, _, _ := strings.Cut(q.Header.Get("X-Foxtailpass-Token-Usage"), ",")
	n, _ := strconv.Atoi(first)
	return n
}

// begun returns the runs so far.
func (r *replica) begun() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]run, 0, len(r.runs))
	for _, x := range r.runs {
		out = append(out, *x)
	}
	return out
}
