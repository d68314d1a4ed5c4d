package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/platform"
	"github.com/foxtailpass/foxtailpass/platform/standin"
	"github.com/foxtailpass/foxtailpass/test/harness"
)

// Bounds that the settings of the hosts configure.
const (
	// keyPrefix is the prefix of the keys of the hosts, the default of their settings.
	keyPrefix       = "foxtailpass/"
	withdrawalBound = 3 * time.Second
	drainBound      = 2 * time.Second
	orderGap        = time.Second
	quotaWindow     = 8 * time.Second
	quotaTolerance  = 1000.0
	quotaOvershoot  = 0.1
	stopGracePeriod = 6 * time.Second
	// tokenRate (in tokens per second) and tokenBurst (in tokens) are the limits of the workspace that owns
	// the keys.
	tokenRate  = 3000.0
	tokenBurst = 3000.0
	eventCount = 8
	modelCount = 4
)

// buildHost builds the program of the entry hosts and returns its path.
func buildHost(t *testing.T) string {
	t.Helper()
	bin := filepath.Join(t.TempDir(), "foxtailedge")
	if out, err := exec.Command("go", "build", "-o", bin, "../../cmd/foxtailedge").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return bin
}

// site holds the stand-ins for the store and the upstreams, and the entry hosts.
type site struct {
	t       *testing.T
	store   *standin.Store
	network *harness.Network
	plain   []*standin.Replica
	engines []*standin.Replica
	hosts   []*host
	began   time.Time
}

func newSite(t *testing.T, bin string, hosts int) *site {
	t.Helper()
	store, err := standin.NewStore()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	store.SetEra(1)
	s := &site{t: t, store: store, network: harness.NewNetwork(t), began: time.Now()}
	for i := range 3 {
		s.plain = append(s.plain, &standin.Replica{ID: fmt.Sprintf("p%d", i), Service: "plain", Zone: "a", WorkTime: 5 * time.Millisecond})
	}
	for i := range 3 {
		e := &standin.Replica{ID: fmt.Sprintf("e%d", i), Service: "engine", Zone: "a", Capacity: 2, Events: eventCount, EventInterval: 10 * time.Millisecond, LoadTime: 100 * time.Millisecond}
		s.engines = append(s.engines, e.WithLoadedModels("m0").WithCopies("m1", "m2", "m3"))
	}
	for _, r := range s.upstreams() {
		if err := r.Start(store); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(r.Close)
	}
	store.Put(platform.ConfigKey, siteConfig(1, "key-1", "key-2"))
	dir := t.TempDir()
	for i := range hosts {
		s.addHost(bin, dir, i)
	}
	for _, h := range s.hosts {
		h.start()
	}
	for _, h := range s.hosts {
		s.await(15*time.Second, h.name+" is ready", h.ready)
	}
	return s
}

func (s *site) upstreams() []*standin.Replica {
	return append(append([]*standin.Replica(nil), s.plain...), s.engines...)
}

func (s *site) await(limit time.Duration, what string, ok func() bool) {
	s.t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	s.t.Errorf("not within %s: %s", limit, what)
}

// siteConfig returns a configuration with one route of each kind. The keys belong to the only workspace, whose
// limits are tokenRate and tokenBurst.
func siteConfig(version int, keys ...string) map[string]any {
	return standin.SiteConfig{Version: version, Timeout: 4 * time.Second, Models: modelCount, Adapters: 1, Connections: 200, BodyBytes: 1 << 20,
		Rate: tokenRate, Burst: tokenBurst, Keys: keys}.Document()
}

// host is one entry host. Its process may be terminated and started again during a run of one seed.
type host struct {
	site                  *site
	name, bin, settings   string
	callerAddr, readyAddr string
	log                   *os.File

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	// disturbed lists the periods in which the host was disturbed.
	disturbed []disturbance
}

// disturbance is a period during which a host was disturbed: it was terminated, stopped or paused, or had only
// just recovered from that, so requests at the host may fail. to is zero while the period lasts. graceful marks a
// graceful stop, in which fewer requests may fail (see checkUnanswered).
type disturbance struct {
	from, to time.Time
	graceful bool
}

// storeLink returns the name of the network link from a host to the store.
func storeLink(name string) string { return name + " to the store" }

func (s *site) addHost(bin, dir string, i int) {
	h := &host{site: s, bin: bin, name: fmt.Sprintf("host-%d", i), callerAddr: harness.FreeAddr(s.t), readyAddr: harness.FreeAddr(s.t)}
	set := map[string]any{
		"host": h.name, "failure_domain": "a", "caller_addr": h.callerAddr, "ready_addr": h.readyAddr, "peer_addr": harness.FreeAddr(s.t), "operator_addr": harness.FreeAddr(s.t),
		"store": map[string]any{"addr": s.network.Link(storeLink(h.name), s.store.Addr())},
		"bounds": map[string]any{"revocation_ms": withdrawalBound.Milliseconds(), "fail_closed": true, "retry_ratio": 0.2, "retry_extra": 100, "retry_window_s": 10,
			"quota_tolerance": quotaTolerance, "quota_overshoot": quotaOvershoot, "quota_window_s": quotaWindow.Seconds(), "drain_ms": drainBound.Milliseconds(),
			"order_gap_ms": orderGap.Milliseconds(), "grace_s": stopGracePeriod.Seconds()},
		"balancer_lag": "300ms",
	}
	b, err := json.Marshal(set)
	if err != nil {
		s.t.Fatal(err)
	}
	h.settings = filepath.Join(dir, h.name+".json")
	if err := os.WriteFile(h.settings, b, 0o600); err != nil {
		s.t.Fatal(err)
	}
	if h.log, err = os.Create(filepath.Join(dir, h.name+".log")); err != nil {
		s.t.Fatal(err)
	}
	s.hosts = append(s.hosts, h)
	s.t.Cleanup(h.kill)
}

func (h *host) start() {
	cmd := exec.Command(h.bin, "--settings", h.settings)
	cmd.Stdout, cmd.Stderr = h.log, h.log
	exited := make(chan struct{})
	if err := cmd.Start(); err != nil {
		h.site.t.Errorf("%s: %v", h.name, err)
		close(exited)
	} else {
		go func() {
			_ = cmd.Wait()
			close(exited)
		}()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cmd, h.exited = cmd, exited
}

// logTailBytes is how much of the log of a host is shown after a failure.
const logTailBytes = 8 << 10

// logTail returns the end of the log of the host.
func (h *host) logTail() string {
	b, err := os.ReadFile(h.log.Name())
	if err != nil {
		return err.Error()
	}
	return string(b[max(len(b)-logTailBytes, 0):])
}

func (h *host) signal(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil && h.cmd.Process != nil {
		_ = h.cmd.Process.Signal(sig)
	}
}

// kill terminates the process of the host with SIGKILL and waits until it has ended.
func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	h.awaitExit(5 * time.Second)
}

// awaitExit waits for the end of the process and reports whether it ended within the limit.
func (h *host) awaitExit(limit time.Duration) bool {
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

func (h *host) ready() bool {
	c := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := c.Get("http://" + h.readyAddr + "/readiness")
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}

// wasDisturbed reports whether a host was disturbed between from and to. A name of no host, as in the path of an order,
// stands for the coordinator; it counts as disturbed if any host was.
func (s *site) wasDisturbed(name string, from, to time.Time) bool {
	for _, h := range s.hosts {
		if h.name == name {
			return h.wasDisturbed(from, to, true)
		}
	}
	return slices.ContainsFunc(s.hosts, func(h *host) bool { return h.wasDisturbed(from, to, true) })
}

// beginDisturbance starts a disturbance of the host; the returned function ends it.
func (h *host) beginDisturbance(graceful bool) (end func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	i := len(h.disturbed)
	h.disturbed = append(h.disturbed, disturbance{from: time.Now(), graceful: graceful})
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.disturbed[i].to = time.Now()
	}
}

// wasDisturbed reports whether the host was disturbed between from and to. Graceful stops count only if
// includeGraceful is set.
func (h *host) wasDisturbed(from, to time.Time, includeGraceful bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, d := range h.disturbed {
		ended := !d.to.IsZero() && d.to.Before(from)
		if !ended && d.from.Before(to) && (includeGraceful || !d.graceful) {
			return true
		}
	}
	return false
}
