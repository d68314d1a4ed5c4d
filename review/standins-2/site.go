package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Host is one process of the system.
type Host struct {
	Name, Zone                    string
	Caller, Ready, Peer, Operator string
	settings                      string
	cmd                           *exec.Cmd
	done                          chan struct{}
	log                           *os.File
}

// Site is one small deployment: the store, the replicas and the hosts.
type Site struct {
	dir      string
	record   *os.File
	started  time.Time
	mu       sync.Mutex
	runs     []run
	store    *Store
	hosts    []*Host
	replicas []*Replica
	config   map[string]any
	// program is the command of the deploy file.
	program string
}

// log writes a line to the record.
func (s *Site) log(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.record, "%8.3f  %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, args...))
}

func (s *Site) ran(r run) {
	s.mu.Lock()
	s.runs = append(s.runs, r)
	s.mu.Unlock()
	s.log("replica %s (version %s) runs %s %s, Last-Event-Id %q", r.Replica, r.Version, r.Path, r.Attempt, r.LastEvent)
}

// Runs returns the requests that replicas ran.
func (s *Site) Runs() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run(nil), s.runs...)
}

// NewSite returns a site without processes.
func NewSite(program, record string, hosts int) (*Site, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-site-")
	if err != nil {
		return nil, err
	}
	store, err := NewStore(hosts)
	if err != nil {
		return nil, err
	}
	return &Site{dir: dir, record: f, started: time.Now(), store: store, program: program, hosts: make([]*Host, hosts)}, nil
}

func freeAddr() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

// settingsOf returns the settings as the template of the deploy file makes them.
func (s *Site) settingsOf(i int, h *Host) map[string]any {
	return map[string]any{
		"host": h.Name, "failure_domain": h.Zone, "region": "r1", "caller_addr": h.Caller, "ready_addr": h.Ready, "peer_addr": h.Peer, "operator_addr": h.Operator,
		"store": map[string]any{"addr": s.store.addrs[i]},
		"bounds": map[string]any{"revocation_ms": 5000, "fail_closed": true, "retry_ratio": 0.2, "retry_extra": 54, "retry_window_s": 10, "quota_tolerance": 17000,
			"quota_overshoot": 0.1, "quota_window_s": 8, "drain_ms": 2000, "order_gap_ms": 3000, "grace_s": 8},
		"cores": 0.4, "core_speed": 1, "memory_mb": 284,
		"sharing": map[string]any{"rate_urgency": true, "fair_shares": true, "replica_speeds": true, "prefill_budget": true},
		"log":     map[string]any{"level": "info"},
	}
}

// StartHost starts a host, with its former settings if it had any.
func (s *Site) StartHost(i int) error {
	h := s.hosts[i]
	if h == nil {
		h = &Host{Name: fmt.Sprintf("edge-%c-1", 'a'+i), Zone: fmt.Sprintf("zone-%c", 'a'+i), Caller: freeAddr(), Ready: freeAddr(), Peer: freeAddr(), Operator: freeAddr()}
		s.hosts[i] = h
		b, _ := json.Marshal(s.settingsOf(i, h))
		h.settings = filepath.Join(s.dir, h.Name+".json")
		if err := os.WriteFile(h.settings, b, 0o600); err != nil {
			return err
		}
		f, err := os.Create(filepath.Join(s.dir, h.Name+".log"))
		if err != nil {
			return err
		}
		h.log = f
	}
	h.cmd = exec.Command(s.program, "--file-descriptors", "4200")
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + s.dir, "LANG=C", "FOXTAILPASS_BOOT=" + h.settings}
	h.cmd.Stdout, h.cmd.Stderr = h.log, h.log
	if err := h.cmd.Start(); err != nil {
		return err
	}
	h.done = make(chan struct{})
	cmd, done := h.cmd, h.done
	go func() { _ = cmd.Wait(); close(done) }()
	s.log("host %s started", h.Name)
	return nil
}

// Signal sends a signal to a host.
func (s *Site) Signal(i int, sig syscall.Signal) {
	s.log("host %s gets %v", s.hosts[i].Name, sig)
	_ = s.hosts[i].cmd.Process.Signal(sig)
}

// WaitReady waits until all hosts are ready.
func (s *Site) WaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, h := range s.hosts {
		for {
			resp, err := http.Get("http://" + h.Ready + "/readiness")
			if err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				if resp.StatusCode == 200 {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("host %s is not ready", h.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// Close ends all processes and listeners.
func (s *Site) Close() {
	for _, h := range s.hosts {
		if h == nil || h.cmd == nil {
			continue
		}
		_ = h.cmd.Process.Signal(syscall.SIGCONT)
		_ = h.cmd.Process.Kill()
		<-h.done
		_ = h.log.Close()
	}
	for _, r := range s.replicas {
		r.Crash()
	}
	s.store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("kept", s.dir)
	}
	_ = s.record.Close()
}

// AddReplicas starts replicas of a service.
func (s *Site) AddReplicas(n int, make func(i int) *Replica) error {
	for i := range n {
		r := make(i)
		r.site = s
		if r.Zone == "" {
			r.Zone = fmt.Sprintf("zone-%c", 'a'+i%2)
		}
		r.models = slices.Clone(r.Models)
		s.replicas = append(s.replicas, r)
		if err := r.Start(); err != nil {
			return err
		}
	}
	return nil
}

// route returns a route of the configuration.
func route(path, kind, service string, attempts int, resumable bool, timeout time.Duration) map[string]any {
	return map[string]any{"name": path, "host": "site.example", "path_prefix": path, "kind": kind, "service": service, "timeout_ms": timeout.Milliseconds(),
		"target_latency_ms": 2500, "target_interval_ms": 250, "priority": 1, "max_attempts": attempts, "resumable": resumable}
}

// Configure writes a configuration.
func (s *Site) Configure(version int, routes []any, services []any, tenants []any) {
	s.config = map[string]any{"version": version, "routes": routes, "services": services, "tenants": tenants,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": 15000}}
	s.rewriteConfig()
}

// rewriteConfig writes the newest configuration, once more if it has been written before.
func (s *Site) rewriteConfig() { s.store.Put("op/config", s.config) }

// engineService returns a service with models of 42,700 MB.
func engineService(name string, models ...string) map[string]any {
	list := []any{}
	for _, m := range models {
		list = append(list, map[string]any{"name": m, "weights_size_mb": 42700, "load_time_s": 6.0, "disk_load_s": 0.57, "warm_up_s": 0.44, "adapters": 0, "adapter_size_mb": 66})
	}
	return map[string]any{"name": name, "health_path": "/healthz", "max_connections": 230, "inference_engine": map[string]any{
		"slots": 32, "kv_cache_capacity": 124384, "weights_size_mb": 200000, "adapter_capacity": 8, "loads_per_s": 6.8, "models": list}}
}

// plainService returns a service without models.
func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/healthz", "max_connections": 100}
}

// tenant returns a tenant without a narrow quota.
func tenant(name, key string) map[string]any {
	return map[string]any{"name": name, "api_keys": []string{key}, "priority": 0, "unit": "token_based", "uncached_tokens": 1000, "rate_per_s": 1000000, "burst": 1000000}
}
