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
	// releaseTimeout limits the release of shares and lease at the end of a shutdown. The other hosts
	// reclaim shares that are not released.
	releaseTimeout = 5 * time.Second
	// maxShareWait is the maximum time for which a starting host waits for its shares of the limits.
	maxShareWait = 10 * time.Second
	// maxShareWaitInOutage replaces maxShareWait while the key-value service does not answer: then no share
	// can be acquired, and the host borrows tokens from other hosts.
	maxShareWaitInOutage = 2 * time.Second
	// staleCheckInterval is the interval between two checks of whether the view is fresh.
	staleCheckInterval = 100 * time.Millisecond
	// staleGracePeriod is how long the view must be stale before the requests that came with keys are ended.
	// During this time, a host that was paused can receive updates from the key-value service or a peer.
	// Together with the 2 s freshness limit it stays below the 3 s within which a withdrawn key must stop
	// working.
	staleGracePeriod = 500 * time.Millisecond
	// drainPollInterval is the interval between two checks of whether all requests are answered, or all
	// shares are released.
	drainPollInterval = 20 * time.Millisecond
)

// States of a host in Status and in the answer of /readyz. Ready returns further texts for a host that is not ready.
const (
	stateStarting = "starting"
	stateReady    = "ready"
	stateStopping = "stopping"
)

// Host is a running foxtailpass host with all its components.
type Host struct {
	settings Settings
	version  string
	log      *log.Logger
	started  time.Time
	identity identity

	kv         *kvstore.Client
	metrics    *metrics.Metrics
	upstreams  *upstream.Client
	peers      *peer.Manager
	view       *view.Manager
	loop       *control.Loop
	gateway    *gateway.Gateway
	claims     *claims.Store
	registrar  *registrar
	reporter   *reporter
	sites      *siteWatcher
	heartbeats *heartbeatTracker
	hosts      *hostTable
	operator   *fasthttp.Server

	callerListener   net.Listener
	operatorListener net.Listener
	stopping         atomic.Bool
	// shareWaitDone is set when the host holds its shares or has waited for them for the maximum time.
	shareWaitDone atomic.Bool
}

// identity identifies this process: the name of the host and the incarnation of the process.
type identity struct {
	host        entity.HostID
	incarnation entity.Incarnation
}

// eventForwarder forwards events to the control loop, and drops them until the loop exists. The loop is
// built last because it needs the components that send events.
type eventForwarder struct{ loop atomic.Pointer[control.Loop] }

func (f *eventForwarder) Send(e control.Event) {
	if l := f.loop.Load(); l != nil {
		l.Send(e)
	}
}

// New builds a host that Run then runs. The listeners are open when New returns, so that a test can connect to them
// at once.
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

// listen opens the caller and operator ports. The peer manager opens the peer port.
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

// hostRecord returns the registration record of this process.
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

// Run serves requests until ctx ends and then shuts down gracefully. When abort ends, the host stops at once, also
// during a graceful shutdown.
func (h *Host) Run(ctx, abort context.Context) error {
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stopBackground()
	// After an aborted shutdown or a fatal error, only this ends the gateway's Serve, for which wg waits.
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
		return h.stopAbruptly(abort)
	case <-ctx.Done():
	}
	return h.shutdown(abort)
}

// stopAbruptly closes the caller port without waiting for requests. As after a crash, the registration and the
// shares are not released.
func (h *Host) stopAbruptly(abort context.Context) error {
	active := h.gateway.ActiveRequests()
	_ = h.gateway.Shutdown(abort)
	return fmt.Errorf("host: aborted with %d requests", active)
}

// runBackground starts all goroutines that run until the host stops. It sends their errors to fatal, and drops
// errors for which the channel has no room.
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

// refreshLevels periodically copies the token levels from the control state to the heartbeats, and informs the
// control state whether this host can reach the key-value service.
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
				h.heartbeats.levels.Store(&levels)
			})
		}
	}
}

// watchFreshness ends all requests that came with keys once the view has been stale for staleGracePeriod, because
// this host may have missed the withdrawal of a key. It repeats this while the view is stale.
func (h *Host) watchFreshness(ctx context.Context) error {
	t := time.NewTicker(staleCheckInterval)
	defer t.Stop()
	var staleSince time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		now := time.Now()
		switch {
		case h.view.IsFresh(now):
			staleSince = time.Time{}
		case staleSince.IsZero():
			staleSince = now
		case now.Sub(staleSince) >= staleGracePeriod:
			h.loop.Send(control.ViewStale{})
		}
	}
}

// CallerAddr returns the address of the caller port.
func (h *Host) CallerAddr() string { return h.callerListener.Addr().String() }

// PeerAddr returns the address on which this host listens for other hosts.
func (h *Host) PeerAddr() string { return h.peers.Addr().String() }

// OperatorAddr returns the address of the operator port, which serves metrics, health and status.
func (h *Host) OperatorAddr() string { return h.operatorListener.Addr().String() }

// Ready reports whether the load balancer should send callers to this host. The text is the state of the host, or
// the reason why the host is not ready.
func (h *Host) Ready() (bool, string) {
	switch {
	case h.stopping.Load():
		return false, stateStopping
	case h.sites.revision.Load() == 0:
		return false, stateStarting
	case !h.view.IsFresh(time.Now()):
		return false, "stale"
	case !h.sharesReady():
		return false, "waiting for shares"
	}
	return true, stateReady
}

// sharesReady reports whether this host holds its shares of the token limits, or has waited for them for the maximum
// time. A host with shares can admit requests without borrowing tokens. The wait is limited because the shares may
// still belong to terminated hosts from which they have not been reclaimed yet. Once true, the result stays true.
func (h *Host) sharesReady() bool {
	if h.shareWaitDone.Load() {
		return true
	}
	wait := maxShareWait
	if !h.view.ServiceReachable() {
		wait = maxShareWaitInOutage
	}
	done := time.Since(h.started) > wait
	h.loop.Query(func(c *control.Core, now time.Time) { done = done || c.HasShares(now) })
	if done {
		h.shareWaitDone.Store(true)
	}
	return done
}

// Status returns the status of the host for operators.
func (h *Host) Status() Status {
	now := time.Now()
	revision, age := h.view.ConfirmedRevision(now)
	_, state := h.Ready()
	s := Status{
		Host:             h.identity.host,
		Incarnation:      h.identity.incarnation,
		Version:          h.version,
		Started:          h.started,
		State:            state,
		ConfigRevision:   h.sites.revision.Load(),
		FailedRevision:   h.sites.failedRevision.Load(),
		ViewRevision:     revision,
		ViewAgeMillis:    age.Milliseconds(),
		Fresh:            h.view.IsFresh(now),
		ServiceReachable: h.view.ServiceReachable(),
		ActiveRequests:   h.gateway.ActiveRequests(),
	}
	if age < 0 {
		s.ViewAgeMillis = -1
	}
	h.loop.Query(func(c *control.Core, now time.Time) { s.Control = c.Status(now) })
	return s
}

// shutdown accepts requests for StopLag, until the load balancer has noticed the failed readiness. It then waits for
// all requests, and releases the shares and the lease.
func (h *Host) shutdown(abort context.Context) error {
	ctx, cancel := context.WithTimeout(abort, h.settings.StopLimit.Std())
	defer cancel()
	h.stopping.Store(true)
	h.heartbeats.stopping.Store(true)
	h.registrar.setState(config.HostStopping)
	h.gateway.Drain()
	h.log.Info("Host stopping. Readiness fails; requests are still accepted.", "lag", h.settings.StopLag)
	if !sleep(ctx, h.settings.StopLag.Std()) {
		return fmt.Errorf("host: shutdown aborted with %d requests", h.gateway.ActiveRequests())
	}
	h.log.Info("Host stopping. No new connections.", "requests", h.gateway.ActiveRequests())
	if err := h.waitForRequests(ctx); err != nil {
		return err
	}
	h.release(ctx)
	h.log.Info("Host stopped.")
	return nil
}

// waitForRequests stops accepting connections and waits until every request has its final answer.
func (h *Host) waitForRequests(ctx context.Context) error {
	if err := h.gateway.Shutdown(ctx); err != nil {
		return fmt.Errorf("host: shutdown aborted with %d requests: %w", h.gateway.ActiveRequests(), err)
	}
	for h.gateway.ActiveRequests() > 0 {
		if !sleep(ctx, drainPollInterval) {
			return fmt.Errorf("host: shutdown aborted with %d requests", h.gateway.ActiveRequests())
		}
	}
	return nil
}

// release releases this host's shares of the limits of all workspaces, then its lease.
func (h *Host) release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	h.loop.Send(control.Stopping{})
	for released := false; !released; {
		if !h.loop.Query(func(c *control.Core, _ time.Time) { released = c.Released() }) {
			break
		}
		if !released && !sleep(ctx, drainPollInterval) {
			h.log.Warn("Shares not released in time; other hosts will reclaim them.")
			break
		}
	}
	h.registrar.release(ctx)
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// handlePeerMessage passes a message from another host to the component that handles it.
func (h *Host) handlePeerMessage(from entity.HostID, inc entity.Incarnation, m wire.Message) {
	now := time.Now()
	switch m := m.(type) {
	case *wire.Heartbeat:
		if req := h.heartbeats.handle(from, inc, m, now); req != nil {
			h.peers.Send(from, req)
		}
	case *wire.ViewRequest:
		if d := h.view.HandleViewRequest(m); d != nil {
			h.peers.Send(from, d)
		}
	case *wire.ViewDelta:
		h.view.HandlePeerDelta(*m, now)
	case *wire.DocumentRequest:
		h.sites.handleDocumentRequest(from, m)
	case *wire.Document:
		h.sites.handleDocument(m)
	default:
		h.reporter.handleRelayed(m, now)
		h.loop.Send(control.PeerMessage{From: from, Incarnation: inc, Message: m, ReceivedAt: now})
	}
}

// handleViewChanged passes changed keys to the components that depend on them. The view calls it, one call at
// a time.
func (h *Host) handleViewChanged(changed []string, s *view.Snapshot) {
	changes := make([]control.KeyChange, 0, len(changed))
	for _, k := range changed {
		ch := control.KeyChange{Key: k}
		if e, ok := s.Get(k); ok {
			ch.Pair = &kvstore.Pair{Key: k, Value: e.Value, ModRevision: e.ModRevision}
		}
		changes = append(changes, ch)
	}
	if h.hosts.update(changes) {
		h.updatePeers()
	}
	// The records are sent first, because the control state must have the share records of the workspaces
	// before it gets the site.
	h.loop.Send(control.ViewChanged{Changes: changes})
	h.sites.handleViewChanged(changed, s)
	h.updateUpstreams(changes, s)
}

// updatePeers links this host to the other registered hosts, and divides the reading of engine reports among all
// registered hosts.
func (h *Host) updatePeers() {
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

// updateUpstreams does nothing unless an upstream record has changed. It then passes all listed engines to the
// reporter, and closes idle connections to addresses that are no longer listed. An upstream with memory is an engine.
func (h *Host) updateUpstreams(changes []control.KeyChange, s *view.Snapshot) {
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

// processLiveness returns what is known about whether the process that made an idempotency claim still runs.
func (h *Host) processLiveness(id entity.HostID, inc entity.Incarnation) claims.Liveness {
	if id == h.identity.host {
		if inc == h.identity.incarnation {
			return claims.Alive
		}
		return claims.Terminated
	}
	return h.hosts.liveness(id, inc)
}

// newRand returns a generator with a random seed.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
