package host

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/valyala/fasthttp"
	"go.uber.org/dig"

	"github.com/foxtailpass/foxtailpass/internal/claims"
	"github.com/foxtailpass/foxtailpass/internal/config"
	"github.com/foxtailpass/foxtailpass/internal/control"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/gateway"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
	"github.com/foxtailpass/foxtailpass/internal/metrics"
	"github.com/foxtailpass/foxtailpass/internal/peer"
	"github.com/foxtailpass/foxtailpass/internal/upstream"
	"github.com/foxtailpass/foxtailpass/internal/view"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

const (
	// levelsInterval is the time between two refreshes of the token levels in heartbeats.
	levelsInterval = 250 * time.Millisecond
	// releaseTimeout bounds the giving back of shares and lease at the end of a shutdown. What is
	// not given back is reclaimed by the other hosts.
	releaseTimeout = 5 * time.Second
	// shareWait is the longest time for which a starting host waits for its shares.
	shareWait = 10 * time.Second
	// outageShareWait applies while the key-value service does not answer: no share can be
	// claimed then, and the host borrows tokens from the others.
	outageShareWait = 2 * time.Second
	// staleCheck is the time between two looks at whether the view is fresh.
	staleCheck = 100 * time.Millisecond
	// staleGrace is how long the view must be stale before running requests are ended. It lets a
	// host that was paused hear from the service or a peer first, and keeps the sum with the 2 s
	// freshness limit below the 3 s withdrawal bound.
	staleGrace = 500 * time.Millisecond
	// drainPoll is the time between two looks at whether the last request has its answer.
	drainPoll = 20 * time.Millisecond
)

// States of a host in Status and readiness.
const (
	stateStarting = "starting"
	stateReady    = "ready"
	stateStopping = "stopping"
)

// Host is one foxtailpass process.
type Host struct {
	settings Settings
	version  string
	log      *log.Logger
	started  time.Time
	identity identity

	kv        *kvstore.Client
	metrics   *metrics.Metrics
	upstreams *upstream.Client
	peers     *peer.Manager
	view      *view.Manager
	loop      *control.Loop
	gateway   *gateway.Gateway
	claims    *claims.Store
	registrar *registrar
	reporter  *reporter
	sites     *siteWatcher
	beats     *heartbeats
	hosts     *hostTable
	operator  *fasthttp.Server

	callerListener   net.Listener
	operatorListener net.Listener
	stopping         atomic.Bool
	// warm is set once the host holds its shares, or has waited long enough for them.
	warm atomic.Bool
}

// identity names this process.
type identity struct {
	host        entity.HostID
	incarnation entity.Incarnation
}

// bus takes events to the control loop, which is built last because it needs the parts that
// send events.
type bus struct{ loop atomic.Pointer[control.Loop] }

func (b *bus) Send(e control.Event) {
	if l := b.loop.Load(); l != nil {
		l.Send(e)
	}
}

// New builds a host. Its listeners are open when it returns, so that callers of a test know
// that the addresses answer.
func New(s Settings, l *log.Logger, version string) (*Host, error) {
	c := dig.New()
	h := &Host{settings: s, version: version, log: l.WithPrefix("host"), started: time.Now()}
	for _, p := range h.providers(s, l, version) {
		if err := c.Provide(p); err != nil {
			return nil, fmt.Errorf("host: wiring: %w", err)
		}
	}
	if err := h.listen(); err != nil {
		return nil, err
	}
	if err := c.Invoke(h.assemble); err != nil {
		_ = h.callerListener.Close()
		_ = h.operatorListener.Close()
		return nil, fmt.Errorf("host: %w", dig.RootCause(err))
	}
	return h, nil
}

// listen opens the caller and operator ports; the peer port is opened by its manager.
func (h *Host) listen() error {
	var err error
	if h.callerListener, err = net.Listen("tcp", h.settings.CallerAddr); err != nil {
		return fmt.Errorf("host: caller port: %w", err)
	}
	if h.operatorListener, err = net.Listen("tcp", h.settings.OperatorAddr); err != nil {
		_ = h.callerListener.Close()
		return fmt.Errorf("host: operator port: %w", err)
	}
	return nil
}

// hostRecord is the registration of this process.
func (h *Host) hostRecord() config.HostRecord {
	return config.HostRecord{
		ID:            h.identity.host,
		Incarnation:   h.identity.incarnation,
		PeerAddr:      advertised(h.settings, h.peers),
		OperatorAddr:  h.OperatorAddr(),
		CallerAddr:    h.CallerAddr(),
		FailureDomain: h.settings.FailureDomain,
		Region:        h.settings.Region,
		State:         config.HostLive,
		Started:       h.started,
	}
}

// Run serves until ctx ends and then shuts down gracefully. When abort ends, the shutdown is
// abrupt.
func (h *Host) Run(ctx, abort context.Context) error {
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stopBackground()
	// After an aborted stop or a failure, nothing else ends the gateway.
	defer func() { _ = h.callerListener.Close() }()
	fatal := make(chan error, 4)
	h.runBackground(background, &wg, fatal)
	defer h.claims.Close()
	h.log.Info("Host started.", "host", h.identity.host, "incarnation", h.identity.incarnation,
		"callers", h.CallerAddr(), "operators", h.OperatorAddr(), "peers", h.peers.Addr(), "version", h.version)
	select {
	case err := <-fatal:
		return err
	case <-abort.Done():
		return h.aborted(abort)
	case <-ctx.Done():
	}
	return h.shutdown(abort)
}

// aborted closes the listeners without a graceful shutdown: neither the registration nor the
// shares are given back, as when the process dies.
func (h *Host) aborted(abort context.Context) error {
	active := h.gateway.Active()
	_ = h.gateway.Shutdown(abort)
	return fmt.Errorf("host: aborted with %d requests", active)
}

// runBackground starts everything that runs until the end of the process.
func (h *Host) runBackground(ctx context.Context, wg *sync.WaitGroup, fatal chan<- error) {
	start := func(f func(context.Context) error) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if err := f(ctx); err != nil && !errors.Is(err, context.Canceled) {
				select {
				case fatal <- err:
				default:
				}
			}
		}()
	}
	start(func(ctx context.Context) error { h.loop.Run(ctx); return nil })
	start(func(ctx context.Context) error { h.view.Run(ctx); return nil })
	start(func(ctx context.Context) error { h.peers.Run(ctx); return nil })
	start(h.registrar.run)
	start(func(ctx context.Context) error { h.sites.run(ctx); return nil })
	start(func(ctx context.Context) error { h.reporter.run(ctx); return nil })
	start(h.refreshLevels)
	start(h.watchFreshness)
	start(func(context.Context) error { return h.gateway.Serve(h.callerListener) })
	start(func(context.Context) error { return h.operator.Serve(h.operatorListener) })
	context.AfterFunc(ctx, func() { _ = h.operator.Shutdown() })
}

// refreshLevels copies the token levels for the heartbeats and tells the control state whether
// the key-value service answers.
func (h *Host) refreshLevels(ctx context.Context) error {
	t := time.NewTicker(levelsInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			h.loop.Send(control.ServiceState{Reachable: h.view.ServiceReachable()})
			h.loop.Query(func(c *control.Core, now time.Time) {
				levels := c.Levels(now)
				h.beats.levels.Store(&levels)
			})
		}
	}
}

// watchFreshness ends the requests with keys while this host may miss withdrawals.
func (h *Host) watchFreshness(ctx context.Context) error {
	t := time.NewTicker(staleCheck)
	defer t.Stop()
	var since time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		now := time.Now()
		switch {
		case h.view.Fresh(now):
			since = time.Time{}
		case since.IsZero():
			since = now
		case now.Sub(since) >= staleGrace:
			h.loop.Send(control.ViewStale{})
		}
	}
}

// CallerAddr returns where callers are served.
func (h *Host) CallerAddr() string { return h.callerListener.Addr().String() }

// PeerAddr returns where other hosts connect.
func (h *Host) PeerAddr() string { return h.peers.Addr().String() }

// OperatorAddr returns where metrics, health and status are served.
func (h *Host) OperatorAddr() string { return h.operatorListener.Addr().String() }

// Ready says whether the balancer should send callers here, and the reason.
func (h *Host) Ready() (bool, string) {
	switch {
	case h.stopping.Load():
		return false, stateStopping
	case h.sites.revision.Load() == 0:
		return false, stateStarting
	case !h.view.Fresh(time.Now()):
		return false, "stale"
	case !h.hasShares():
		return false, "waiting for shares"
	}
	return true, stateReady
}

// hasShares delays the first readiness until this host can admit requests by itself. It does
// not wait for ever: shares may be held by hosts that are gone and not yet reclaimed.
func (h *Host) hasShares() bool {
	if h.warm.Load() {
		return true
	}
	wait := shareWait
	if !h.view.ServiceReachable() {
		wait = outageShareWait
	}
	held := time.Since(h.started) > wait
	h.loop.Query(func(c *control.Core, now time.Time) { held = held || c.HasShares(now) })
	if held {
		h.warm.Store(true)
	}
	return held
}

// Status returns the operator view.
func (h *Host) Status() Status {
	now := time.Now()
	revision, age := h.view.Confirmed(now)
	_, state := h.Ready()
	s := Status{
		Host:             h.identity.host,
		Incarnation:      h.identity.incarnation,
		Version:          h.version,
		Started:          h.started,
		State:            state,
		ConfigRevision:   h.sites.revision.Load(),
		FailedRevision:   h.sites.failed.Load(),
		ViewRevision:     revision,
		ViewAgeMillis:    age.Milliseconds(),
		Fresh:            h.view.Fresh(now),
		ServiceReachable: h.view.ServiceReachable(),
		ActiveRequests:   h.gateway.Active(),
	}
	if age < 0 {
		s.ViewAgeMillis = -1
	}
	h.loop.Query(func(c *control.Core, now time.Time) { s.Control = c.Status(now) })
	return s
}

// shutdown serves the balancer's lag, finishes all requests, gives shares and lease back.
func (h *Host) shutdown(abort context.Context) error {
	ctx, cancel := context.WithTimeout(abort, h.settings.StopLimit.Std())
	defer cancel()
	h.stopping.Store(true)
	h.beats.stopping.Store(true)
	h.registrar.setState(config.HostStopping)
	h.gateway.Drain()
	h.log.Info("Stopping. Readiness fails; requests are still accepted.", "lag", h.settings.StopLag)
	if !sleep(ctx, h.settings.StopLag.Std()) {
		return fmt.Errorf("host: shutdown aborted with %d requests", h.gateway.Active())
	}
	h.log.Info("Stopping. No new connections.", "requests", h.gateway.Active())
	if err := h.finishRequests(ctx); err != nil {
		return err
	}
	h.release(ctx)
	h.log.Info("Stopped.")
	return nil
}

func (h *Host) finishRequests(ctx context.Context) error {
	if err := h.gateway.Shutdown(ctx); err != nil {
		return fmt.Errorf("host: shutdown aborted with %d requests: %w", h.gateway.Active(), err)
	}
	for h.gateway.Active() > 0 {
		if !sleep(ctx, drainPoll) {
			return fmt.Errorf("host: shutdown aborted with %d requests", h.gateway.Active())
		}
	}
	return nil
}

// release gives the shares of all workspaces back, then the lease.
func (h *Host) release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	h.loop.Send(control.Stopping{})
	for released := false; !released; {
		if !h.loop.Query(func(c *control.Core, _ time.Time) { released = c.Released() }) {
			break
		}
		if !released && !sleep(ctx, drainPoll) {
			h.log.Warn("Shares not given back in time; other hosts will reclaim them.")
			break
		}
	}
	h.registrar.release(ctx)
}

// sleep waits and returns false when ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// handlePeer takes a message of another host to the part that it belongs to.
func (h *Host) handlePeer(from entity.HostID, inc entity.Incarnation, m wire.Message) {
	now := time.Now()
	switch m := m.(type) {
	case *wire.Heartbeat:
		if req := h.beats.handle(from, inc, m, now); req != nil {
			h.peers.Send(from, req)
		}
	case *wire.ViewRequest:
		if d := h.view.HandleViewRequest(m); d != nil {
			h.peers.Send(from, d)
		}
	case *wire.ViewDelta:
		h.view.HandlePeerDelta(*m, now)
	case *wire.DocumentRequest:
		h.sites.handleRequest(from, m)
	case *wire.Document:
		h.sites.handleDocument(m)
	default:
		h.reporter.handleRelayed(m, now)
		h.loop.Send(control.PeerMessage{From: from, Incarnation: inc, Message: m, ReceivedAt: now})
	}
}

// viewChanged takes changed keys to the parts that follow them. It is called by the view, one
// call at a time.
func (h *Host) viewChanged(changed []string, s *view.Snapshot) {
	changes := make([]control.KeyChange, 0, len(changed))
	for _, k := range changed {
		ch := control.KeyChange{Key: k}
		if e, ok := s.Get(k); ok {
			ch.Pair = &kvstore.Pair{Key: k, Value: e.Value, ModRevision: e.ModRevision}
		}
		changes = append(changes, ch)
	}
	if h.hosts.update(changes) {
		h.hostsChanged()
	}
	// The records come first: a site is compiled only after the records of its workspaces are known.
	h.loop.Send(control.ViewChanged{Changes: changes})
	h.sites.viewChanged(changed, s)
	h.upstreamsChanged(changes, s)
}

// hostsChanged sets the links and the sharing of reports to the registered hosts.
func (h *Host) hostsChanged() {
	list := h.hosts.list()
	peers := make([]peer.Peer, 0, len(list))
	ids := make([]entity.HostID, 0, len(list))
	for _, r := range list {
		ids = append(ids, r.ID)
		if r.ID != h.identity.host {
			peers = append(peers, peer.Peer{Host: r.ID, Incarnation: r.Incarnation, Addr: r.PeerAddr})
		}
	}
	h.peers.SetPeers(peers)
	h.reporter.setHosts(ids)
}

// upstreamsChanged sets the engines whose reports are read.
func (h *Host) upstreamsChanged(changes []control.KeyChange, s *view.Snapshot) {
	changed := false
	for _, ch := range changes {
		changed = changed || hasPrefix(ch.Key, config.UpstreamsPrefix)
	}
	if !changed {
		return
	}
	var engines []config.UpstreamRecord
	addrs := make(map[string]bool)
	for _, k := range s.Keys(config.UpstreamsPrefix) {
		e, ok := s.Get(k)
		if !ok {
			continue
		}
		var rec config.UpstreamRecord
		if err := json.Unmarshal(e.Value, &rec); err != nil {
			continue
		}
		rec.ID = entity.UpstreamID(k[len(config.UpstreamsPrefix):])
		addrs[rec.Addr] = true
		if rec.MemoryBytes > 0 {
			engines = append(engines, rec)
		}
	}
	h.reporter.setUpstreams(engines)
	h.upstreams.CloseIdle(func(addr string) bool { return addrs[addr] })
}

// alive tells the claims whether the process that made a claim still runs.
func (h *Host) alive(id entity.HostID, inc entity.Incarnation) claims.Liveness {
	if id == h.identity.host {
		if inc == h.identity.incarnation {
			return claims.Alive
		}
		return claims.Gone
	}
	return h.hosts.liveness(id, inc)
}

func seeded() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
