package main

import (
	"fmt"
	"time"
)

// key is the key of the client's tenant, and otherKey one that no client has.
const (
	key      = "i9n73hh2b9wu3fexd9dn"
	otherKey = "h4se0p2x9qk7rr1m5t0c"
	// model is the model that the clients ask for, and quietModel the one of other clients.
	model      = "daka510000"
	quietModel = "nymi57a71f"
)

func tenant(name, key string) map[string]any {
	return map[string]any{"name": name, "api_keys": []string{key}, "priority": 0, "unit": "token_based", "uncached_tokens": 200, "rate_per_s": 90000, "burst": 90000}
}

// configuration returns a configuration with three routes like those of the sheets: orders, lookups, and streams that may be
// resumed.
func configuration(version int, streams map[string]any, tenants ...map[string]any) map[string]any {
	route := func(name, kind, service string, timeout, target, priority, attempts int) map[string]any {
		return map[string]any{"name": name, "host": "site.example", "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": timeout,
			"target_latency_ms": target, "priority": priority, "service": service, "max_attempts": attempts, "public": false}
	}
	archive := route("archive", "streaming", "models", 20000, 2500, 1, 3)
	archive["resumable"], archive["session_affinity"], archive["target_interval_ms"] = true, true, 250
	return map[string]any{
		"version":  version,
		"routes":   []map[string]any{route("orders", "non_idempotent", "registry", 1500, 150, 2, 1), route("lookups", "idempotent", "registry", 1500, 150, 2, 2), archive},
		"services": []map[string]any{service("registry"), streams},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 10000, "idle_timeout_ms": 20000},
		"tenants":  tenants,
	}
}

func service(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/healthz", "max_connections": 230, "protocol": "h1", "tls": false}
}

// engines returns the service of the model engines.
func engines() map[string]any {
	models := []map[string]any{}
	for _, name := range []string{model, quietModel} {
		models = append(models, map[string]any{"name": name, "weights_size_mb": 42700, "load_time_s": 6.0, "disk_load_s": 0.57, "warm_up_s": 0.44, "adapters": 0, "adapter_size_mb": 66})
	}
	s := service("models")
	s["inference_engine"] = map[string]any{"slots": 32, "kv_cache_capacity": 124384, "weights_size_mb": 200000, "adapter_capacity": 8, "loads_per_s": 6.8, "models": models}
	return s
}

// newEngine returns an engine with copies of both models on its disk.
func newEngine(s *store, id, zone, version string) *replica {
	return &replica{id: id, service: "models", zone: zone, version: version, slots: 32, room: 4, disk: []string{model, quietModel}, diskLoad: 570 * time.Millisecond,
		storeLoad: 6 * time.Second, store: s}
}

// stream is a request for a stream.
func stream(body string, deadline time.Duration) request {
	return request{method: "POST", path: "/archive/labels", key: key, model: model, parts: "5c1e07a2:60,", deadline: deadline, body: body}
}

// settle waits until the hosts have a coordinator and know all replicas.
func settle() {
	time.Sleep(5 * time.Second)
	logf("settled")
}

func name(prefix string, i int) string { return fmt.Sprintf("%s-%d", prefix, i) }
