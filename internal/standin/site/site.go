package site

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/foxtailpass/foxtailpass/internal/config"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/host"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
	"github.com/foxtailpass/foxtailpass/internal/settings"
	"github.com/foxtailpass/foxtailpass/internal/standin/engine"
	"github.com/foxtailpass/foxtailpass/internal/standin/kv"
	"github.com/foxtailpass/foxtailpass/internal/standin/service"
)

// NoHosts is a value of Options.Hosts that starts a site without hosts, for hosts that run as separate
// processes.
const NoHosts = -1

const (
	// prefix is the prefix of all keys that the site uses in the key-value service.
	prefix = "foxtailpass/"
	// readyTimeout limits how long WaitReady waits for a host.
	readyTimeout = 15 * time.Second
	// stopTimeout limits the graceful shutdown of a host.
	stopTimeout       = time.Minute
	readyPollInterval = 10 * time.Millisecond
)

// Options describes a local site.
type Options struct {
	// Name selects the overlay. Default "local".
	Name string
	// Hosts is the number of hosts. Default 2; NoHosts starts none.
	Hosts int
	// FailureDomains are assigned in turn to the hosts, to the engines and to the services. Default "fd1",
	// "fd2".
	FailureDomains []string
	Engines        []engine.Options
	Services       []service.Options
	// Base and Overlay are the configuration documents that are applied before the hosts start.
	Base, Overlay []byte
	// RegistryLag is the time until a change of the platform's list of upstreams is written to the key-value
	// service.
	RegistryLag time.Duration
	// LeaseTTL and StopLag are settings of the hosts. LeaseTTL is 3 s by default.
	LeaseTTL, StopLag time.Duration
	// Policies are the policies of the hosts.
	Policies host.PolicySettings
	// Log receives the log messages of the hosts.
	Log *log.Logger
	// PlatformAddr returns the address at which a host reaches the key-value service at addr. Tests use it to
	// put a proxy in between. May be nil.
	PlatformAddr func(host int, addr string) string
	// AdjustSettings changes the settings of a host before it starts. May be nil.
	AdjustSettings func(host int, s *host.Settings)
	// HostCreated is called with each host after its ports are open and before the host runs and CallerAddrs
	// lists it. May be nil.
	HostCreated func(host int, h *host.Host)
}

// Site is a running local site.
type Site struct {
	opts     Options
	Store    *kv.Store
	Config   *config.Store
	Engines  []*engine.Engine
	Services []*service.Service
	registry *Registry
	kvServer *kv.Server
	kvAddr   string
	client   *kvstore.Client

	mu    sync.Mutex
	hosts []*runningHost
}

// runningHost is a host in this process. The function stop begins its graceful shutdown, abort ends it at
// once, and done receives the result of Run.
type runningHost struct {
	host  *host.Host
	stop  context.CancelFunc
	abort context.CancelFunc
	done  chan error
}

func withDefaults(o Options) Options {
	if o.Name == "" {
		o.Name = "local"
	}
	if o.Hosts == 0 {
		o.Hosts = 2
	}
	if len(o.FailureDomains) == 0 {
		o.FailureDomains = []string{"fd1", "fd2"}
	}
	if o.LeaseTTL == 0 {
		o.LeaseTTL = 3 * time.Second
	}
	if o.Policies == (host.PolicySettings{}) {
		o.Policies = host.PolicySettings{Limits: "loans", Queue: "fair", Replica: "power_of_two", Placement: "demand"}
	}
	return o
}

// Start starts the platform, the upstreams and the hosts of a site, and waits until all hosts are ready.
func Start(ctx context.Context, o Options) (*Site, error) {
	s := &Site{opts: withDefaults(o), Store: kv.NewStore(kv.Options{})}
	if err := s.start(ctx); err != nil {
		return nil, errors.Join(err, s.Stop())
	}
	return s, nil
}

func (s *Site) start(ctx context.Context) error {
	if err := s.startPlatform(); err != nil {
		return err
	}
	if err := s.startUpstreams(ctx); err != nil {
		return err
	}
	if _, err := s.Apply(ctx, s.opts.Base, s.opts.Overlay); err != nil {
		return err
	}
	for range max(s.opts.Hosts, 0) {
		if _, err := s.StartHost(); err != nil {
			return err
		}
	}
	for i := range max(s.opts.Hosts, 0) {
		if err := s.WaitReady(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

func (s *Site) startPlatform() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("site: platform port: %w", err)
	}
	s.kvAddr = ln.Addr().String()
	s.kvServer = kv.NewServer(s.Store)
	go s.Store.Run(context.Background())
	go func() { _ = s.kvServer.Serve(ln) }()
	s.client, err = kvstore.NewClient(kvstore.Options{Endpoints: []string{s.kvAddr}, Prefix: prefix})
	if err != nil {
		return fmt.Errorf("site: platform client: %w", err)
	}
	s.Config = config.NewStore(s.client)
	s.registry = NewRegistry(s.client, s.opts.RegistryLag)
	return nil
}

func (s *Site) startUpstreams(ctx context.Context) error {
	for _, o := range s.opts.Engines {
		e := engine.New(o)
		if err := e.Start("127.0.0.1:0"); err != nil {
			return fmt.Errorf("site: engine %s: %w", o.ID, err)
		}
		s.Engines = append(s.Engines, e)
	}
	for _, o := range s.opts.Services {
		v := service.New(o)
		if err := v.Start("127.0.0.1:0"); err != nil {
			return fmt.Errorf("site: service %s: %w", o.ID, err)
		}
		s.Services = append(s.Services, v)
	}
	return s.registry.Set(ctx, s.Upstreams())
}

// Upstreams returns the records that the platform's list has after the start of the site.
func (s *Site) Upstreams() []config.UpstreamRecord {
	var list []config.UpstreamRecord
	domains := s.opts.FailureDomains
	for i, e := range s.Engines {
		o := s.opts.Engines[i]
		kind := o.Kind
		if kind == "" {
			kind = "engine"
		}
		list = append(list, config.UpstreamRecord{
			ID:            e.ID(),
			Kind:          kind,
			Addr:          e.Addr(),
			FailureDomain: domains[i%len(domains)],
			Accelerators:  8,
			MemoryBytes:   e.Report().MemoryBytes,
			State:         config.UpstreamLive,
			ChecksFence:   o.ChecksFence,
			Checkpoints:   o.Checkpoints,
		})
	}
	for i, v := range s.Services {
		list = append(list, config.UpstreamRecord{
			ID:            v.ID(),
			Kind:          s.opts.Services[i].Kind,
			Addr:          v.Addr(),
			FailureDomain: domains[i%len(domains)],
			State:         config.UpstreamLive,
		})
	}
	return list
}

// SetUpstreams replaces the platform's list of upstreams.
func (s *Site) SetUpstreams(ctx context.Context, list []config.UpstreamRecord) error {
	return s.registry.Set(ctx, list)
}

// Apply applies a base document and the overlay of the site. If one of them is nil, the stored one stays.
func (s *Site) Apply(ctx context.Context, base, overlay []byte) (config.Head, error) {
	head, err := s.Config.Head(ctx)
	if err != nil {
		return head, fmt.Errorf("site: %w", err)
	}
	req := config.ApplyRequest{BaseRevision: head.Revision, Base: base, Who: "site", Message: "applied by the local site"}
	if overlay != nil {
		req.Overlays = map[string][]byte{s.opts.Name: overlay}
	}
	head, err = s.Config.Apply(ctx, req)
	if err != nil {
		return head, fmt.Errorf("site: %w", err)
	}
	return head, nil
}

// IssueKey issues a caller key of the workspace and returns the key and its ID.
func (s *Site) IssueKey(ctx context.Context, ws entity.WorkspaceID) (string, entity.KeyID, error) {
	key, rec, err := s.Config.IssueKey(ctx, ws, "site")
	if err != nil {
		return "", "", fmt.Errorf("site: %w", err)
	}
	return key, rec.ID, nil
}

// HostSettings returns the settings of the i-th host, which listens on free ports.
func (s *Site) HostSettings(i int) host.Settings {
	addr := s.kvAddr
	if s.opts.PlatformAddr != nil {
		addr = s.opts.PlatformAddr(i, addr)
	}
	out := host.Settings{
		Host:           entity.HostID(fmt.Sprintf("host-%d", i+1)),
		Site:           s.opts.Name,
		Region:         "local",
		FailureDomain:  s.opts.FailureDomains[i%len(s.opts.FailureDomains)],
		CallerAddr:     "127.0.0.1:0",
		OperatorAddr:   "127.0.0.1:0",
		PeerAddr:       "127.0.0.1:0",
		Platform:       host.PlatformSettings{Endpoints: []string{addr}, Prefix: prefix, Timeout: settings.Duration(time.Second)},
		LeaseTTL:       settings.Duration(s.opts.LeaseTTL),
		StopLag:        settings.Duration(s.opts.StopLag),
		StopLimit:      settings.Duration(stopTimeout),
		ReportInterval: settings.Duration(50 * time.Millisecond),
		MaxConnections: 20000,
		Policies:       s.opts.Policies,
	}
	if s.opts.AdjustSettings != nil {
		s.opts.AdjustSettings(i, &out)
	}
	return out
}

// StartHost starts a further host and returns its index.
func (s *Site) StartHost() (int, error) {
	s.mu.Lock()
	i := len(s.hosts)
	s.hosts = append(s.hosts, nil)
	s.mu.Unlock()
	return i, s.startHost(i)
}

// RestartHost starts a new host with the settings and the index of a stopped one.
func (s *Site) RestartHost(i int) error { return s.startHost(i) }

func (s *Site) startHost(i int) error {
	h, err := host.New(s.HostSettings(i), s.opts.Log, "local")
	if err != nil {
		return fmt.Errorf("site: host %d: %w", i+1, err)
	}
	if s.opts.HostCreated != nil {
		s.opts.HostCreated(i, h)
	}
	ctx, stop := context.WithCancel(context.Background())
	abort, kill := context.WithCancel(context.Background())
	r := &runningHost{host: h, stop: stop, abort: kill, done: make(chan error, 1)}
	go func() { r.done <- h.Run(ctx, abort) }()
	s.mu.Lock()
	s.hosts[i] = r
	s.mu.Unlock()
	return nil
}

// Host returns the i-th host.
func (s *Site) Host(i int) *host.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hosts[i].host
}

// CallerAddrs returns the addresses at which the running hosts serve callers.
func (s *Site) CallerAddrs() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for _, r := range s.hosts {
		if r != nil {
			out = append(out, r.host.CallerAddr())
		}
	}
	return out
}

// WaitReady waits until the i-th host is ready and returns an error if that takes longer than readyTimeout.
func (s *Site) WaitReady(ctx context.Context, i int) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		ok, reason := s.Host(i).Ready()
		if ok {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("site: host %d is not ready: %s", i+1, reason)
		case <-time.After(readyPollInterval):
		}
	}
}

// StopHost shuts a host down gracefully and waits until it has stopped.
func (s *Site) StopHost(i int) error {
	s.mu.Lock()
	r := s.hosts[i]
	s.hosts[i] = nil
	s.mu.Unlock()
	if r == nil {
		return nil
	}
	r.stop()
	err := <-r.done
	r.abort()
	return err
}

// KillHost simulates the crash of a host: the host releases neither its shares nor its registration, and its
// requests get no answer. KillHost does not close the connections of callers; a proxy between the callers and
// the host has to do that.
func (s *Site) KillHost(i int) {
	s.mu.Lock()
	r := s.hosts[i]
	s.hosts[i] = nil
	s.mu.Unlock()
	if r == nil {
		return
	}
	r.abort()
	<-r.done
	r.stop()
}

// Stop stops the hosts, the upstreams and the platform.
func (s *Site) Stop() error {
	var errs []error
	for i := range s.hosts {
		errs = append(errs, s.StopHost(i))
	}
	for _, e := range s.Engines {
		e.Stop()
	}
	for _, v := range s.Services {
		v.Stop()
	}
	if s.client != nil {
		s.client.Close()
	}
	if s.kvServer != nil {
		_ = s.kvServer.Close()
	}
	return errors.Join(errs...)
}
