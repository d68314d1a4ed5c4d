package kit

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"
)

// Key is the API key of the only tenant, and Tenant its name.
const (
	Key    = "key-1"
	Tenant = "tenant-1"
)

// The hosts and paths of the routes.
const (
	RouteHost = "site.example"
	Orders    = "/orders/"
	Lookup    = "/lookup/"
	Live      = "/live/"
	Patient   = "/patient/"
)

// The services.
const (
	Plain  = "plain"
	Engine = "engine"
)

// Config returns a configuration with four routes, two services and one tenant, with figures like those of the small
// deployments. An engine has memory for capacity models.
func Config(version, models, capacity int) map[string]any {
	route := func(path, kind, service string, timeout, target, attempts int, resumable bool) map[string]any {
		r := map[string]any{"name": "r-" + path[1:len(path)-1], "host": RouteHost, "path_prefix": path, "kind": kind, "service": service,
			"timeout_ms": timeout, "target_latency_ms": target, "priority": 1, "max_attempts": attempts, "public": false, "resumable": resumable}
		if kind == "streaming" {
			r["session_affinity"], r["target_interval_ms"] = true, 250
		}
		return r
	}
	list := []map[string]any{}
	for i := range models {
		list = append(list, map[string]any{"name": ModelName(i), "weights_size_mb": 65000, "load_time_s": 6.0, "adapters": 0,
			"adapter_size_mb": 12, "warm_up_s": 0.6, "disk_load_s": 0.78})
	}
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			route(Orders, "non_idempotent", Plain, 1500, 150, 1, false),
			route(Lookup, "idempotent", Plain, 1500, 150, 2, false),
			route(Live, "streaming", Engine, 12000, 500, 1, false),
			route(Patient, "streaming", Engine, 20000, 2500, 2, true),
		},
		"services": []map[string]any{
			{"name": Plain, "health_path": "/healthz", "max_connections": 100},
			{"name": Engine, "health_path": "/healthz", "max_connections": 230, "inference_engine": map[string]any{
				"slots": 32, "kv_cache_capacity": 124384, "weights_size_mb": 65000*capacity + 5000, "adapter_capacity": 8, "loads_per_s": 6.8, "models": list}},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": Tenant, "api_keys": []string{Key}, "priority": 1, "unit": "token_based", "uncached_tokens": 200,
			"rate_per_s": 79505, "burst": 79505}},
	}
}

// ModelName returns the name of a model.
func ModelName(i int) string { return fmt.Sprintf("model-%d", i) }

// Request is a request of a client.
type Request struct {
	Method, Path, Model, ContentType string
	Body                             []byte
	// Chunked sends the body in chunks and not with a length.
	Chunked  bool
	Deadline time.Duration
}

// Answer is what a client got. Err is set if the connection ended before the answer was complete.
type Answer struct {
	ID     string
	Status int
	Header http.Header
	Body   []byte
	Err    error
}

var lastID atomic.Int64

// Send sends a request to a host on a new connection and reads the whole answer.
func Send(h *Host, q Request) Answer {
	id := fmt.Sprintf("%08x", 0x5a000000+lastID.Add(1))
	a := Answer{ID: id}
	var body io.Reader
	if q.Body != nil {
		body = bytes.NewReader(q.Body)
		if q.Chunked {
			body = io.MultiReader(body)
		}
	}
	r, err := http.NewRequest(q.Method, "http://"+h.CallerAddr()+q.Path, body)
	if err != nil {
		a.Err = err
		return a
	}
	r.Host = RouteHost
	r.Header.Set("X-Foxtailpass-Attempt-Id", id)
	r.Header.Set("X-Foxtailpass-Deadline-Ms", fmt.Sprint(q.Deadline.Milliseconds()))
	r.Header.Set("X-Api-Key", Key)
	if q.ContentType != "" {
		r.Header.Set("Content-Type", q.ContentType)
	}
	if q.Model != "" {
		r.Header.Set("X-Foxtailpass-Model", q.Model)
		r.Header.Set("X-Foxtailpass-Token-Usage", "600,50")
		r.Header.Set("X-Foxtailpass-Prompt-Prefix", "5c1e07a2:200,"+id+":400")
	}
	t := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	c := http.Client{Transport: t, Timeout: q.Deadline + time.Second}
	resp, err := c.Do(r)
	if err != nil {
		a.Err = err
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	a.Status, a.Header = resp.StatusCode, resp.Header
	a.Body, a.Err = io.ReadAll(resp.Body)
	return a
}

// CleanUpOnSignal calls a function and exits when the script is told to end.
func CleanUpOnSignal(f func()) {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-c
		f()
		os.Exit(CantRun)
	}()
}

// Trouble reports whether the script plays its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }
