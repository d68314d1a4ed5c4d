// Package harness runs a site for integration tests. The hosts are real processes, which a test can kill and
// pause. The systems around them are stand-ins in the test process, and every connection between the parts goes
// through a fault-injecting proxy.
package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/config"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/host"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
	"github.com/foxtailpass/foxtailpass/internal/standin/engine"
	"github.com/foxtailpass/foxtailpass/internal/standin/kv"
	"github.com/foxtailpass/foxtailpass/internal/standin/service"
	"github.com/foxtailpass/foxtailpass/internal/standin/site"
)

const (
	prefix       = "foxtailpass/"
	siteName     = "local"
	readyTimeout = 30 * time.Second
)

// Options describes a site. Its hosts, engines and services are distributed over three failure domains.
type Options struct {
	Hosts    int
	Engines  []engine.Options
	Services []service.Options
	// Base is the configuration that is applied before the hosts start.
	Base string
	// RegistryLag is the delay after which a change of the platform's list of upstreams is published.
	RegistryLag time.Duration
	// LeaseTTL, ReportInterval, StopLag and Policies are settings of the hosts. ReportInterval is the interval at
	// which a host reads the report of an engine. Defaults: LeaseTTL 3 s, ReportInterval 50 ms, StopLag 0, and the
	// policies of the product.
	LeaseTTL       time.Duration
	ReportInterval time.Duration
	StopLag        time.Duration
	Policies       host.PolicySettings
}

// Site is a running site. Faults are set directly on Store, Engines and Services.
type Site struct {
	T        testing.TB
	Store    *kv.Store
	Config   *config.Store
	Engines  []*engine.Engine
	Services []*service.Service
	Hosts    []*Host
	Net      *Network
	// Client is connected to the key-value service without a proxy.
	Client   *kvstore.Client
	opts     Options
	kvServer *kv.Server
	registry *site.Registry
	dir      string
	binary   string
}

// Host is one host of the site. Its process may be terminated and started again.
type Host struct {
	Index        int
	Settings     host.Settings
	site         *Site
	cmd          *exec.Cmd
	exited       chan struct{}
	settingsFile string
	log          *os.File
}

// Start starts a site and waits until all hosts are ready. Everything is stopped when the test ends.
func Start(t testing.TB, o Options) *Site {
	t.Helper()
	if o.ReportInterval == 0 {
		o.ReportInterval = 50 * time.Millisecond
	}
	if o.LeaseTTL == 0 {
		o.LeaseTTL = 3 * time.Second
	}
	if o.Policies == (host.PolicySettings{}) {
		o.Policies = host.PolicySettings{Limits: "loans", Queue: "fair", Replica: "power_of_two", Placement: "demand"}
	}
	s := &Site{T: t, opts: o, Store: kv.NewStore(kv.Options{}), dir: t.TempDir(), binary: buildHostOnce(t)}
	s.startPlatform()
	s.startUpstreams()
	s.Apply(o.Base)
	for i := range o.Hosts {
		s.Hosts = append(s.Hosts, s.newHost(i))
	}
	for _, h := range s.Hosts {
		h.Start()
	}
	for _, h := range s.Hosts {
		h.WaitReady()
	}
	return s
}

var build struct {
	once sync.Once
	path string
	err  error
}

// buildHostOnce builds the host program once per test process.
func buildHostOnce(t testing.TB) string {
	t.Helper()
	build.once.Do(func() {
		dir, err := os.MkdirTemp("", "foxtailpass")
		if err != nil {
			build.err = err
			return
		}
		build.path = filepath.Join(dir, "foxtailpass")
		out, err := exec.Command("go", "build", "-o", build.path, "github.com/foxtailpass/foxtailpass/cmd/foxtailpass").CombinedOutput()
		if err != nil {
			build.err = fmt.Errorf("%w: %s", err, out)
		}
	})
	if build.err != nil {
		t.Fatalf("build: %v", build.err)
	}
	return build.path
}

// RemoveBinary removes the host program that was built. TestMain calls it after all tests.
func RemoveBinary() {
	if build.path != "" {
		_ = os.RemoveAll(filepath.Dir(build.path))
	}
}

func (s *Site) check(err error) {
	s.T.Helper()
	if err != nil {
		s.T.Fatal(err)
	}
}

func (s *Site) startPlatform() {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	s.check(err)
	s.kvServer = kv.NewServer(s.Store)
	ctx, cancel := context.WithCancel(context.Background())
	go s.Store.Run(ctx)
	go func() { _ = s.kvServer.Serve(ln) }()
	s.Client, err = kvstore.NewClient(kvstore.Options{Endpoints: []string{ln.Addr().String()}, Prefix: prefix})
	s.check(err)
	s.Config = config.NewStore(s.Client)
	s.registry = site.NewRegistry(s.Client, s.opts.RegistryLag)
	s.Net = newNetwork(s.T, ln.Addr().String())
	s.T.Cleanup(func() {
		cancel()
		s.Net.close()
		s.Client.Close()
		_ = s.kvServer.Close()
	})
}

func (s *Site) startUpstreams() {
	for _, o := range s.opts.Engines {
		e := engine.New(o)
		s.check(e.Start(freeAddr(s.T, sharedIP())))
		s.Engines = append(s.Engines, e)
		s.T.Cleanup(e.Stop)
	}
	for _, o := range s.opts.Services {
		v := service.New(o)
		s.check(v.Start(freeAddr(s.T, sharedIP())))
		s.Services = append(s.Services, v)
		s.T.Cleanup(v.Stop)
	}
	s.check(s.registry.Set(context.Background(), s.Upstreams()))
}

// Upstreams returns a list with all upstreams in the state live, each with the address of its proxy.
func (s *Site) Upstreams() []config.UpstreamRecord {
	var list []config.UpstreamRecord
	for i, e := range s.Engines {
		list = append(list, config.UpstreamRecord{
			ID: e.ID(), Kind: "engine", Addr: s.Net.upstreamAddr(string(e.ID()), e.Addr()),
			FailureDomain: fmt.Sprintf("fd%d", i%3+1), Accelerators: 8,
			MemoryBytes: s.opts.Engines[i].MemoryBytes, State: config.UpstreamLive,
			ChecksFence: s.opts.Engines[i].ChecksFence, Checkpoints: s.opts.Engines[i].Checkpoints,
		})
	}
	for i, v := range s.Services {
		list = append(list, config.UpstreamRecord{
			ID: v.ID(), Kind: s.opts.Services[i].Kind, Addr: s.Net.upstreamAddr(string(v.ID()), v.Addr()),
			FailureDomain: fmt.Sprintf("fd%d", i%3+1), State: config.UpstreamLive,
		})
	}
	return list
}

// SetUpstreams replaces the platform's list of upstreams.
func (s *Site) SetUpstreams(list []config.UpstreamRecord) {
	s.T.Helper()
	s.check(s.registry.Set(context.Background(), list))
}

// Apply applies a base document and returns its revision.
func (s *Site) Apply(base string) int64 {
	s.T.Helper()
	ctx := context.Background()
	head, err := s.Config.Head(ctx)
	s.check(err)
	head, err = s.Config.Apply(ctx, config.ApplyRequest{
		BaseRevision: head.Revision, Base: []byte(base), Overlays: map[string][]byte{siteName: []byte("{}")}, Who: "test",
	})
	s.check(err)
	return head.Revision
}

// Key issues a key of the workspace, waits until all running hosts accept it, and returns the key and its ID.
func (s *Site) Key(ws entity.WorkspaceID) (string, entity.KeyID) {
	s.T.Helper()
	key, rec, err := s.Config.IssueKey(context.Background(), ws, "test")
	s.check(err)
	for _, h := range s.Hosts {
		if !h.Running() {
			continue
		}
		s.Eventually(5*time.Second, fmt.Sprintf("host %d accepts the key", h.Index+1), func() bool {
			return h.Do(Request{Path: "/v1/models", Key: key}).Status == http.StatusOK
		})
	}
	return key, rec.ID
}

// Withdraw withdraws a key.
func (s *Site) Withdraw(id entity.KeyID) {
	s.T.Helper()
	_, err := s.Config.WithdrawKey(context.Background(), id, "test")
	s.check(err)
}

// Eventually waits until cond is true and fails the test if that takes longer than the limit.
func (s *Site) Eventually(limit time.Duration, what string, cond func() bool) {
	s.T.Helper()
	end := time.Now().Add(limit)
	for !cond() {
		if time.Now().After(end) {
			s.T.Fatalf("not within %v: %s", limit, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// The ports of hosts, proxies and stand-ins are below the range from which the system takes the ports of
// outgoing connections. Otherwise a connection could occupy the port of a process that is about to be
// started again.
const (
	firstPort = 10000
	lastPort  = 30000
)

// nextPort is the offset from firstPort at which the search for a free port continues. It starts at a random value,
// because other test processes take ports from the same range.
var nextPort atomic.Int64

// loopback is the prefix of the loopback addresses of this test process. It depends on the process ID, because
// several test processes run at the same time.
var loopback = fmt.Sprintf("127.%d", 1+os.Getpid()%254)

// sharedIP returns the address of all proxies and stand-ins.
func sharedIP() string { return loopback + ".0.1" }

// hostIP returns the address of a host. Each host has its own, so that the network can identify the host that
// opened a connection.
func hostIP(i int) string { return fmt.Sprintf("%s.1.%d", loopback, i+1) }

func init() { nextPort.Store(rand.Int64N(lastPort - firstPort)) }

// freeAddr returns an address at which nothing listens. It checks this by dialing the address and not by listening
// at it, because a process that is started at the same moment would inherit the listener and occupy the port for a
// short time.
func freeAddr(t testing.TB, ip string) string {
	t.Helper()
	for range lastPort - firstPort {
		port := firstPort + nextPort.Add(1)%(lastPort-firstPort)
		addr := net.JoinHostPort(ip, strconv.FormatInt(port, 10))
		c, err := net.Dial("tcp", addr)
		if err != nil {
			return addr
		}
		_ = c.Close()
	}
	t.Fatalf("no free port at %s", ip)
	return ""
}

// FreeAddr returns an address for a process that a test starts, possibly several times. No outgoing connection takes its
// port in the meantime: these use other addresses and ports.
func FreeAddr(t testing.TB) string { return freeAddr(t, sharedIP()) }

func (s *Site) newHost(i int) *Host {
	ip := hostIP(i)
	peerAddr := freeAddr(s.T, ip)
	set := host.Settings{
		Host: entity.HostID(fmt.Sprintf("host-%d", i+1)), Site: siteName, Region: "local",
		FailureDomain: fmt.Sprintf("fd%d", i%3+1),
		CallerAddr:    freeAddr(s.T, ip), OperatorAddr: freeAddr(s.T, ip), PeerAddr: peerAddr,
		PeerAdvertise: s.Net.peerAddr(i, peerAddr), PeerSource: ip,
		Platform:  host.PlatformSettings{Endpoints: []string{s.Net.platformAddr(i)}, Prefix: prefix, Timeout: settingsDuration(time.Second)},
		LeaseTTL:  settingsDuration(s.opts.LeaseTTL),
		StopLag:   settingsDuration(s.opts.StopLag),
		StopLimit: settingsDuration(time.Minute), ReportInterval: settingsDuration(s.opts.ReportInterval),
		MaxConnections: 10000, Policies: s.opts.Policies,
		Log: host.LogSettings{Level: "info", Format: "text"},
	}
	h := &Host{Index: i, Settings: set, site: s, settingsFile: filepath.Join(s.dir, fmt.Sprintf("host-%d.json", i+1))}
	data, err := json.Marshal(set)
	s.check(err)
	s.check(os.WriteFile(h.settingsFile, data, 0o600))
	s.T.Cleanup(h.cleanup)
	return h
}

func (h *Host) cleanup() {
	if h.Running() {
		h.Kill()
	}
	if h.site.T.Failed() && h.log != nil {
		data, _ := os.ReadFile(h.log.Name())
		h.site.T.Logf("log of host %d:\n%s", h.Index+1, tail(data, 6000))
	}
}

func tail(b []byte, n int) []byte {
	if len(b) > n {
		return b[len(b)-n:]
	}
	return b
}

// Start starts the process of the host, or a new process after the previous one has ended.
func (h *Host) Start() {
	t := h.site.T
	t.Helper()
	var err error
	h.log, err = os.OpenFile(h.settingsFile+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	h.site.check(err)
	h.cmd = exec.Command(h.site.binary, "--settings", h.settingsFile)
	h.cmd.Stderr = h.log
	h.site.check(h.cmd.Start())
	h.exited = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}, log io.Closer) {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}(h.cmd, h.exited, h.log)
}

// Running reports whether the process was started and has not ended. A paused process counts as running.
func (h *Host) Running() bool {
	if h.exited == nil {
		return false
	}
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

// WaitReady waits until the host reports that it is ready for callers.
func (h *Host) WaitReady() {
	h.site.T.Helper()
	h.site.Eventually(readyTimeout, fmt.Sprintf("host %d is ready", h.Index+1), func() bool {
		resp, err := http.Get("http://" + h.Settings.OperatorAddr + "/readyz")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// Status returns the status that the host shows to operators.
func (h *Host) Status() host.Status {
	h.site.T.Helper()
	var st host.Status
	resp, err := http.Get("http://" + h.Settings.OperatorAddr + "/status")
	h.site.check(err)
	defer func() { _ = resp.Body.Close() }()
	h.site.check(json.NewDecoder(resp.Body).Decode(&st))
	return st
}

// Signal sends a signal to the process.
func (h *Host) Signal(sig syscall.Signal) {
	h.site.T.Helper()
	h.site.check(h.cmd.Process.Signal(sig))
}

// Kill terminates the process with SIGKILL and waits for its end.
func (h *Host) Kill() {
	h.Signal(syscall.SIGKILL)
	<-h.exited
}

// Pause suspends the process until Resume.
func (h *Host) Pause() { h.Signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (h *Host) Resume() { h.Signal(syscall.SIGCONT) }

// Terminate starts the graceful shutdown of the process with SIGTERM.
func (h *Host) Terminate() { h.Signal(syscall.SIGTERM) }

// WaitExit waits for the end of the process and returns its exit code.
func (h *Host) WaitExit(limit time.Duration) int {
	h.site.T.Helper()
	select {
	case <-h.exited:
	case <-time.After(limit):
		h.site.T.Fatalf("host %d has not ended within %v", h.Index+1, limit)
	}
	return h.cmd.ProcessState.ExitCode()
}

// PID returns the ID of the current process.
func (h *Host) PID() int { return h.cmd.Process.Pid }
