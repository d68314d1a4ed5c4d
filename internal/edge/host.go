// Package edge implements an entry host that runs beside a platform which stores all persistent state. The
// host serves callers, forwards their requests to upstreams (model engines and plain services), and shares
// control with the other entry hosts. One of them, the coordinator, is elected through the platform's key-value
// service and gives orders to the engines to load and unload models. The key-value service also holds the
// configuration, the registrations of the hosts and the list of upstreams ("the list"); each host keeps a copy
// of them, its view. One goroutine of the host owns the control state (type core) and decides what happens to
// each request. The interface Protocol hides the names and formats of the platform.
package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/foxtailpass/foxtailpass/internal/accept"
	"github.com/foxtailpass/foxtailpass/internal/boottime"
	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/election"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/fleet"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
	"github.com/foxtailpass/foxtailpass/internal/membudget"
	"github.com/foxtailpass/foxtailpass/internal/metrics"
	"github.com/foxtailpass/foxtailpass/internal/peer"
	"github.com/foxtailpass/foxtailpass/internal/releases"
	"github.com/foxtailpass/foxtailpass/internal/swap"
	"github.com/foxtailpass/foxtailpass/internal/upstream"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

const (
	// busyTickInterval and idleTickInterval are the times between two ticks of the control state.
	busyTickInterval = 15 * time.Millisecond
	idleTickInterval = 200 * time.Millisecond
	// eventQueueSize is the number of events that can wait for the control state.
	eventQueueSize = 1024
	// freshnessMargin is subtracted from Bounds.RevocationMillis, the time for which a withdrawn key may still
	// work. Requests with keys are refused while the view is older than the difference.
	freshnessMargin = 700 * time.Millisecond
	// maxReadyViewAge is the view age at which this host reports not ready.
	maxReadyViewAge = 2500 * time.Millisecond
	// exitMargin is how long before the end of the grace period a stopping host no longer waits for running
	// requests. The process exits by itself in the remaining time.
	exitMargin = 400 * time.Millisecond
	// runningRequestsTime is the last part of the wait for running requests, in which no request is sent to an
	// upstream any more: most streams end within it.
	runningRequestsTime = 3500 * time.Millisecond
	// stopPollInterval is the time between two checks whether all requests have their answers.
	stopPollInterval = 50 * time.Millisecond
	// relayQueueSize is the number of the coordinator's messages about the key-value service that can wait to
	// be applied.
	relayQueueSize = 64
	// redialPause is the pause before the coordinator is dialed again.
	redialPause = 200 * time.Millisecond
)

// Store is the key-value service.
type Store interface {
	kvstore.KV
	kvstore.Poller
	// Era returns the era of the service, as far as its answers have told.
	Era() kvstore.Era
	// Counts returns the number of calls made, by kind.
	Counts() map[string]int64
}

// Options configures a Host.
type Options struct {
	Settings Settings
	Store    Store
	Protocol Protocol
	Metrics  *metrics.Metrics
	Log      *slog.Logger
	// LogDropped returns the number of log lines that were dropped. May be nil.
	LogDropped func() int64
	Version    string
}

// Host is one entry host.
type Host struct {
	opts        Options
	log         *slog.Logger
	incarnation entity.Incarnation
	events      chan event
	core        *core
	frontend    *frontend
	watcher     *watcher
	registrar   *registrar
	candidate   *election.Candidate
	dialer      *dialer

	callers, ready, peers, operators *accept.Guard
	// memory is that of connections, requests and answers.
	memory   *membudget.Budget
	stopping atomic.Bool
	// keptStreams are the records of the streams of all hosts.
	keptStreams *releases.Kept
	streamRelay *streamRelay
	// originReads holds a value for each running read of the origin of a stream.
	originReads chan struct{}
	// coreStopped is closed when the control state has stopped.
	coreStopped chan struct{}
	// background is the context of the host's goroutines. It is canceled at the end of Run.
	background context.Context
}

// New builds a host and opens its listeners.
func New(o Options) (*Host, error) {
	s := o.Settings
	h := &Host{
		opts:        o,
		log:         o.Log.With("prefix", "host"),
		incarnation: entity.NewIncarnation(),
		events:      make(chan event, eventQueueSize),
		coreStopped: make(chan struct{}),
		keptStreams: releases.NewKept(s.Store.Prefix),
		originReads: make(chan struct{}, maxOriginReads),
	}
	h.streamRelay = &streamRelay{host: h}
	if err := h.listen(); err != nil {
		return nil, err
	}
	self := election.Holder{Host: s.Host, Incarnation: h.incarnation, Addr: h.peers.Addr().String(), Strength: s.strength()}
	value, err := json.Marshal(self)
	if err != nil {
		return nil, fmt.Errorf("edge: registration: %w", err)
	}
	h.registrar = &registrar{store: o.Store, key: s.Store.Prefix + membersPrefix + string(s.Host), value: value, send: h.send, log: o.Log.With("prefix", "lease")}
	h.candidate = h.newCandidate(self)
	h.frontend = h.newFrontend()
	h.watcher = h.newWatcher(self)
	h.core = newCore(s.Host, s.FailureDomain, s.Store.Prefix, &h.frontend.recentTraits, s.Bounds, s.Sharing, o.Log.With("prefix", "control"), h)
	h.core.knownRevision = &h.watcher.knownRevision
	h.core.readableSince = &h.watcher.readableSince
	h.core.watchedTraits = &h.frontend.watchedTraits
	h.dialer = &dialer{log: o.Log.With("prefix", "peer"), send: h.send, wake: make(chan struct{}, 1), searching: &h.watcher.searching, enqueueRelayed: h.watcher.enqueueRelayed}
	if err := h.registerMetrics(); err != nil {
		return nil, err
	}
	return h, nil
}

func (h *Host) newCandidate(self election.Holder) *election.Candidate {
	s := h.opts.Settings
	return election.New(election.Options{
		KV:       h.opts.Store,
		Prefix:   s.Store.Prefix,
		Self:     self,
		OrderGap: time.Duration(s.Bounds.OrderGapMillis) * time.Millisecond,
		Now:      boottime.Now,
		OnChange: func(l *election.CoordinatorLease) { h.send(leaseChanged{lease: l}) },
		Log:      h.opts.Log.With("prefix", "lease"),
	})
}

func (h *Host) newFrontend() *frontend {
	return newFrontend(&frontend{
		protocol:    h.opts.Protocol,
		upstreams:   upstream.NewClient(),
		send:        h.send,
		fresh:       h.fresh,
		log:         h.opts.Log.With("prefix", "request"),
		gracePeriod: time.Duration(h.opts.Settings.Bounds.GraceSeconds * float64(time.Second)),
		metrics:     h.opts.Metrics,
		viewAge:     h.viewAge,
		streams:     releases.NewStreams(h.opts.Settings.Store.Prefix),
		readOrigin:  h.readOrigin,

		untilListingProves: h.untilListingProves,

		learnsSpeeds: h.opts.Settings.Sharing.ReplicaSpeeds,
		memory:       h.memory,
	})
}

func (h *Host) newWatcher(self election.Holder) *watcher {
	s := h.opts.Settings
	return &watcher{
		store:           h.opts.Store,
		protocol:        h.opts.Protocol,
		prefix:          s.Store.Prefix,
		log:             h.opts.Log.With("prefix", "view"),
		send:            h.send,
		observeElection: h.candidate.Observe,
		self:            self,
		keptStreams:     h.keptStreams,
		ownReadAge:      min(time.Duration(ownReadDrainShare*float64(s.Bounds.DrainMillis)*float64(time.Millisecond)), maxOwnReadAge),
		relayed:         make(chan relayed, relayQueueSize),
		setCatalog:      func(c *catalog.Catalog) { h.frontend.catalog.Store(c) },
	}
}

// CallerAddr returns the address at which callers are served.
func (h *Host) CallerAddr() string { return h.callers.Addr().String() }

// ReadyAddr returns the address at which the balancer checks readiness.
func (h *Host) ReadyAddr() string { return h.ready.Addr().String() }

// OperatorAddr returns the address at which metrics and status are served.
func (h *Host) OperatorAddr() string { return h.operators.Addr().String() }

// Coordinates reports whether this host holds the coordinator lease.
func (h *Host) Coordinates() bool { return h.candidate.HoldsLease() }

func (h *Host) listen() error {
	s := h.opts.Settings
	h.memory = membudget.New(s.memoryBudget())
	pressure := &accept.Pressure{}
	h.memory.SetRelief(pressure.Relieve)
	limits := s.connectionLimits()
	for _, l := range []struct {
		name, addr string
		to         **accept.Guard
		conns      int
		class      membudget.Class
		refusal    []byte
	}{
		{"caller", s.CallerAddr, &h.callers, limits.callers, membudget.Small, busyRefusal},
		{"operator", s.OperatorAddr, &h.operators, limits.operators, membudget.Control, nil},
		{"peer", s.PeerAddr, &h.peers, limits.peers, membudget.Control, nil},
		{"ready", s.ReadyAddr, &h.ready, limits.ready, membudget.Control, nil},
	} {
		ln, err := net.Listen("tcp", l.addr)
		if err != nil {
			return fmt.Errorf("edge: %s port: %w", l.name, err)
		}
		*l.to = accept.NewGuard(ln, accept.GuardOptions{Name: l.name, MaxConns: l.conns, Memory: h.memory, Class: l.class, Refusal: l.refusal,
			AnswersRevoked: l.name == "caller", Log: h.opts.Log.With("prefix", "accept"), Pressure: pressure})
	}
	return nil
}

// send passes an event to the control state, unless the control state has stopped.
func (h *Host) send(e event) {
	select {
	case h.events <- e:
	case <-h.coreStopped:
	}
}

// fresh reports whether requests with keys may be served, and whether the key-value service has been read
// completely at least once.
func (h *Host) fresh() (keysFresh, viewRead bool) {
	at := h.watcher.freshAt()
	if at.IsZero() {
		return false, false
	}
	b := h.opts.Settings.Bounds
	limit := time.Duration(b.RevocationMillis)*time.Millisecond - freshnessMargin
	return !b.FailClosed || boottime.Now().Sub(at) < limit, h.watcher.fullyRead.Load()
}

// viewAge returns the age of this host's view of the key-value service; -1 before the first view.
func (h *Host) viewAge(now time.Time) time.Duration {
	at := h.watcher.freshAt()
	if at.IsZero() {
		return -1
	}
	return now.Sub(at)
}

// isReady reports whether the balancer should send callers to this host.
func (h *Host) isReady() bool {
	at := h.watcher.freshAt()
	if h.stopping.Load() || at.IsZero() || h.frontend.catalog.Load() == nil {
		return false
	}
	keysFresh, viewRead := h.fresh()
	return keysFresh && viewRead && boottime.Now().Sub(at) < maxReadyViewAge
}

// Run serves until ctx ends and then stops gracefully.
func (h *Host) Run(ctx context.Context) error {
	var cancel context.CancelFunc
	h.background, cancel = context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var wg sync.WaitGroup
	defer wg.Wait()
	h.log.Info("Host started.", "host", h.opts.Settings.Host, "incarnation", h.incarnation, "version", h.opts.Version,
		"operator", h.opts.Settings.OperatorAddr, "callers", h.opts.Settings.CallerAddr, "domain", h.opts.Settings.FailureDomain)
	fatal := make(chan error, 4)
	start := func(f func(context.Context) error) {
		wg.Go(func() {
			if err := f(h.background); err != nil && !errors.Is(err, context.Canceled) {
				fatal <- err
			}
		})
	}
	start(func(ctx context.Context) error {
		defer close(h.coreStopped)
		h.runCore(ctx)
		return nil
	})
	start(func(ctx context.Context) error { h.watcher.run(ctx); return nil })
	start(func(ctx context.Context) error { h.registrar.run(ctx); return nil })
	start(func(ctx context.Context) error { h.dialer.run(ctx); return nil })
	start(func(ctx context.Context) error { h.writeStreams(ctx); return nil })
	start(func(ctx context.Context) error { h.streamRelay.run(ctx); return nil })
	start(h.candidate.Run)
	start(func(context.Context) error { return peer.Accept(h.peers, h.serveHost) })
	start(func(context.Context) error {
		return h.frontend.server.Serve(callerListener{h.callers, h.frontend})
	})
	operator := h.newOperatorServer()
	start(func(context.Context) error { return operator.Serve(h.operators) })
	readiness := h.newReadinessServer()
	start(func(context.Context) error { return readiness.Serve(h.ready) })
	select {
	case err := <-fatal:
		return err
	case <-ctx.Done():
	}
	h.stop()
	cancel()
	_ = h.peers.Close()
	_ = readiness.Shutdown()
	_ = operator.Shutdown()
	return nil
}

const (
	// maxReadyConnections bounds the connections of the ready port. The balancer needs one or two.
	maxReadyConnections = 64
	// readyTimeout bounds the time in which a readiness check must arrive, and in which the balancer must read the answer.
	readyTimeout = 3 * time.Second
)

// newReadinessServer returns the server of readiness checks. It takes requests without a body only. Its Concurrency leaves
// room for the goroutines of connections that its guard has closed.
func (h *Host) newReadinessServer() *fasthttp.Server {
	return &fasthttp.Server{Handler: serveGuarded(h.answerReady), NoDefaultServerHeader: true, Concurrency: 4 * maxReadyConnections, ReadBufferSize: 2048,
		GetOnly: true, MaxRequestBodySize: 1, DisablePreParseMultipartForm: true, ReadTimeout: readyTimeout, IdleTimeout: idleTimeout,
		Logger: debugLogger{h.log}}
}

// serveGuarded returns a handler that reports to the guard of the listener which requests are served.
func serveGuarded(handle fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		conn, ok := ctx.Conn().(*accept.Guarded)
		if ok && !conn.Serve() {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			ctx.SetConnectionClose()
			return
		}
		handle(ctx)
		if ok {
			conn.MessageEnded(true)
		}
	}
}

func (h *Host) answerReady(ctx *fasthttp.RequestCtx) {
	if !h.isReady() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// stop waits for the running requests within the grace period and then deregisters the host.
func (h *Host) stop() {
	began := time.Now()
	end := began.Add(h.frontend.gracePeriod - exitMargin)
	h.stopping.Store(true)
	h.frontend.stopping.Store(boottime.Now().UnixNano())
	h.candidate.Stop()
	lastAnswer := boottime.Now().Add(h.frontend.gracePeriod - exitMargin)
	h.send(stopRequested{sendBy: lastAnswer.Add(-runningRequestsTime), end: lastAnswer})
	h.log.Info("Host stopping.", "active", h.frontend.active.Load())
	for time.Now().Before(end) {
		if time.Since(began) > h.opts.Settings.BalancerLag.Std() && h.frontend.active.Load() == 0 {
			break
		}
		time.Sleep(stopPollInterval)
	}
	ctx, cancel := context.WithDeadline(context.Background(), end.Add(exitMargin/2))
	defer cancel()
	_ = h.frontend.server.ShutdownWithContext(ctx)
	h.registrar.deregister(ctx)
	h.log.Info("Host stopped.", "after", time.Since(began), "active", h.frontend.active.Load())
}

// runCore runs the control state: only its goroutine applies events and ticks.
func (h *Host) runCore(ctx context.Context) {
	t := time.NewTimer(idleTickInterval)
	defer t.Stop()
	due := time.Now().Add(idleTickInterval)
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-h.events:
			h.core.handle(e, boottime.Now())
			if next := time.Now().Add(busyTickInterval); h.core.isBusy() && next.Before(due) {
				due = next
				t.Reset(busyTickInterval)
			}
		case <-t.C:
			h.core.tick(boottime.Now())
			interval := idleTickInterval
			if h.core.isBusy() {
				interval = busyTickInterval
			}
			due = time.Now().Add(interval)
			t.Reset(interval)
		}
	}
}

// order implements effects.
func (h *Host) order(o swap.Order, token int64) {
	go func() {
		began := time.Now()
		answer, status := h.opts.Protocol.Order(h.background, o, Authority{
			Holder:  h.opts.Settings.Host,
			Token:   token,
			Allowed: h.candidate.HoldsLease,
		})
		h.send(orderAnswered{order: o, answer: answer, status: status, took: time.Since(began)})
	}()
}

// readEngineReport implements effects.
func (h *Host) readEngineReport(u *fleet.Upstream) {
	go func() {
		r, status, err := h.opts.Protocol.Report(h.background, u)
		h.send(engineReportRead{upstream: u.Incarnation, report: r, status: status, err: err})
	}()
}

// holdsLease implements effects.
func (h *Host) holdsLease() bool { return h.candidate.HoldsLease() }

// connect implements effects.
func (h *Host) connect(holder *election.Holder) { h.dialer.connect(holder) }

// announce implements effects.
func (h *Host) announce(addrs map[entity.HostID]string, lease election.CoordinatorLease) {
	m := &wire.Announcement{Holder: h.registrar.value, Revision: lease.Revision}
	go announceToHosts(h.background, addrs, h.opts.Settings.Host, m, h.log)
}

// serveHost serves a connection of another host: the session of a host that takes this host for the
// coordinator, a new coordinator's announcement, or records of streams that the other host cannot write.
func (h *Host) serveHost(s *peer.Session) {
	err := s.Run(func(m wire.Message) {
		switch m := m.(type) {
		case *wire.HostReport:
			h.send(reportReceived{report: m, session: s})
		case *wire.TokenRequest:
			h.send(tokensRequested{request: m, session: s})
		case *wire.Announcement:
			h.watcher.enqueueRelayed(relayed{announcement: m})
		case *wire.StreamRecords:
			h.recordsRelayed(s, m)
		}
		if s.Large() {
			// The memory of the message counts until the next one is read, so this one must have been handled by then.
			h.queryCore(func(*core) {})
		}
	})
	h.log.Debug("Session of a host ended.", "err", err)
	h.send(hostSessionEnded{session: s})
}

// ActiveRequests returns the number of requests without a final answer.
func (h *Host) ActiveRequests() int64 { return h.frontend.active.Load() }
