// Package peer connects hosts over TCP. A Manager keeps one connection per pair of hosts, called a link, sends
// heartbeats and closes connections to silent peers. A Session is a single connection between two hosts without a
// handshake. Both send messages as frames with a msgpack body.
//
// An incarnation is one process of a host: a restarted host has the same host ID and a new incarnation.
package peer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

// Defaults of Options.
const (
	DefaultHeartbeatInterval = 500 * time.Millisecond
	// DefaultQueueFrames and DefaultQueueBytes bound the send queue of one link to two of the largest frames, or
	// about one second of traffic on the busiest link.
	DefaultQueueFrames = 1024
	DefaultQueueBytes  = 2 * MaxFrameBytes
	// DefaultMaxConns bounds the number of open connections, including those in a handshake.
	DefaultMaxConns = 1024
)

const (
	// silentIntervals is the number of heartbeat intervals without a received byte after which a link is
	// closed. With two intervals, one lost heartbeat and a TCP retransmission could close it.
	silentIntervals = 3
	// minBackoff is the pause after the first failed dial. The pause doubles with every failure up to maxBackoff.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
)

// Options configures a Manager. For the last four fields, zero means the default.
type Options struct {
	// Source is the local IP address from which other hosts are dialed. If it is empty or not an IP address, the
	// system chooses one.
	Source string
	// Self is sent as the first message of each connection.
	Self wire.Hello
	// Listen is the address on which connections of other hosts are accepted.
	Listen string
	// Handler is called for every received message except hello, with one call at a time per connection. While one
	// connection replaces another to the same incarnation, both deliver messages for up to one HeartbeatInterval.
	// Handler must not block; it may keep and change the message.
	Handler func(from entity.HostID, inc entity.Incarnation, m wire.Message)
	// OnUp is called when a host becomes linked and OnDown when it is no longer linked, one call at a time.
	// They must be fast. They are not called when a connection replaces another one to the same incarnation.
	OnUp, OnDown func(host entity.HostID, inc entity.Incarnation)
	// Heartbeat returns the next heartbeat for a host, or nil to skip one interval. If Heartbeat is nil, empty
	// heartbeats are sent.
	Heartbeat func(to entity.HostID) *wire.Heartbeat
	Logger    *log.Logger
	// HeartbeatInterval is the time between heartbeats.
	HeartbeatInterval time.Duration
	// QueueFrames and QueueBytes bound the messages that wait to be written to one peer.
	QueueFrames int
	QueueBytes  int64
	// MaxConns bounds the open connections, including those in a handshake.
	MaxConns int
}

func (o *Options) setDefaults() {
	if o.Handler == nil {
		o.Handler = func(entity.HostID, entity.Incarnation, wire.Message) {}
	}
	if o.OnUp == nil {
		o.OnUp = func(entity.HostID, entity.Incarnation) {}
	}
	if o.OnDown == nil {
		o.OnDown = func(entity.HostID, entity.Incarnation) {}
	}
	if o.Heartbeat == nil {
		o.Heartbeat = func(entity.HostID) *wire.Heartbeat { return &wire.Heartbeat{} }
	}
	if o.Logger == nil {
		o.Logger = log.New(io.Discard)
	}
	if o.HeartbeatInterval <= 0 {
		o.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if o.QueueFrames <= 0 {
		o.QueueFrames = DefaultQueueFrames
	}
	if o.QueueBytes <= 0 {
		o.QueueBytes = DefaultQueueBytes
	}
	if o.MaxConns <= 0 {
		o.MaxConns = DefaultMaxConns
	}
}

// Peer is a host to which a Manager keeps a link.
type Peer struct {
	Host        entity.HostID
	Incarnation entity.Incarnation
	// Addr is host:port of the peer's listener.
	Addr string
}

// Link describes one open link.
type Link struct {
	Host        entity.HostID
	Incarnation entity.Incarnation
	// Dialed reports whether this host dialed the connection; otherwise the other host did.
	Dialed bool
	// Since is when the handshake was completed.
	Since time.Time
}

// dialer is the goroutine that keeps a link to one peer.
type dialer struct {
	peer   Peer
	cancel context.CancelFunc
}

// Manager keeps the links to other hosts. All methods are safe for concurrent use.
type Manager struct {
	opt       Options
	counters  Counters
	ln        net.Listener
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup
	connSlots chan struct{}

	// callbackMu is held from a change of links until its OnUp and OnDown calls have returned, so that the calls
	// have the same order as the changes.
	callbackMu sync.Mutex

	mu      sync.Mutex
	closed  bool
	links   map[entity.HostID]*link
	dialers map[entity.HostID]*dialer
	// conns contains all open connections, including those in a handshake, so that shutdown can close them.
	conns map[net.Conn]struct{}
}

// NewManager returns a manager that already listens. The manager accepts connections only while Run is running.
func NewManager(opt Options) (*Manager, error) {
	opt.setDefaults()
	if opt.Self.Host == "" || opt.Self.Incarnation == "" {
		return nil, errors.New("peer: host and incarnation are required")
	}
	ln, err := net.Listen("tcp", opt.Listen)
	if err != nil {
		return nil, fmt.Errorf("peer: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Manager{
		opt:       opt,
		ln:        ln,
		ctx:       ctx,
		cancel:    cancel,
		connSlots: make(chan struct{}, opt.MaxConns),
		links:     map[entity.HostID]*link{},
		dialers:   map[entity.HostID]*dialer{},
		conns:     map[net.Conn]struct{}{},
	}, nil
}

// Addr returns the address of the listener.
func (m *Manager) Addr() net.Addr { return m.ln.Addr() }

// Counters returns the counters of traffic and failures.
func (m *Manager) Counters() *Counters { return &m.counters }

// silenceTimeout returns the maximum time between two reads and the maximum duration of a write.
func (m *Manager) silenceTimeout() time.Duration { return silentIntervals * m.opt.HeartbeatInterval }

// Run accepts and serves connections until ctx ends. It then closes all connections and waits until all
// goroutines of the manager have ended.
func (m *Manager) Run(ctx context.Context) {
	defer context.AfterFunc(ctx, m.shutdown)()
	for {
		conn, err := m.ln.Accept()
		if err != nil {
			if ctx.Err() != nil {
				break
			}
			// Errors such as too many open files are temporary. Accept is retried after a pause.
			m.opt.Logger.Error("accept failed", "err", err)
			if !sleepWithJitter(ctx, minBackoff) {
				break
			}
			continue
		}
		m.startGoroutine(func() { m.serve(conn, "") })
	}
	m.shutdown()
	m.wg.Wait()
}

func (m *Manager) shutdown() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	m.cancel()
	_ = m.ln.Close()
	for c := range m.conns {
		_ = c.Close()
	}
}

// startGoroutine runs f in a goroutine, unless the manager is closed.
func (m *Manager) startGoroutine(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.closed {
		m.wg.Go(f)
	}
}

// track records an open connection. It returns false if the manager is closed or has the maximum number of
// connections.
func (m *Manager) track(conn net.Conn) bool {
	select {
	case m.connSlots <- struct{}{}:
	default:
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		<-m.connSlots
		return false
	}
	m.conns[conn] = struct{}{}
	return true
}

func (m *Manager) untrack(conn net.Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.conns, conn)
	<-m.connSlots
}

// SetPeers replaces the list of hosts to dial. Open links to hosts that are no longer listed are kept until they
// break, because a running host can be unregistered for a moment.
func (m *Manager) SetPeers(peers []Peer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return
	}
	wanted := map[entity.HostID]Peer{}
	for _, p := range peers {
		if p.Host != m.opt.Self.Host && p.Addr != "" {
			wanted[p.Host] = p
		}
	}
	for host, d := range m.dialers {
		if wanted[host] != d.peer {
			d.cancel()
			delete(m.dialers, host)
		}
	}
	for host, p := range wanted {
		if m.dialers[host] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(m.ctx)
		m.dialers[host] = &dialer{peer: p, cancel: cancel}
		m.wg.Go(func() { m.dialLoop(ctx, p) })
	}
}

// Send queues a message for a host and reports whether it was queued. It never blocks.
func (m *Manager) Send(to entity.HostID, msg wire.Message) bool {
	m.mu.Lock()
	l := m.links[to]
	m.mu.Unlock()
	return l != nil && l.send(msg)
}

// Links returns the open links, ordered by host.
func (m *Manager) Links() []Link {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Link
	for _, host := range slices.Sorted(maps.Keys(m.links)) {
		l := m.links[host]
		out = append(out, Link{Host: l.host, Incarnation: l.inc, Dialed: l.dialed, Since: l.since})
	}
	return out
}

func (m *Manager) isLinkedTo(p Peer) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.links[p.Host]
	return l != nil && (l.inc == p.Incarnation || p.Incarnation == "")
}

// localAddr returns the local address for dialing, or nil if the system chooses it.
func (o Options) localAddr() net.Addr {
	ip := net.ParseIP(o.Source)
	if ip == nil {
		return nil
	}
	return &net.TCPAddr{IP: ip}
}

// dialLoop dials the peer whenever there is no link to it, until ctx ends. The host with the higher ID first waits
// for about one HeartbeatInterval, so that usually only one of the two hosts dials.
func (m *Manager) dialLoop(ctx context.Context, p Peer) {
	if m.opt.Self.Host > p.Host && !sleepWithJitter(ctx, m.opt.HeartbeatInterval) {
		return
	}
	backoff := minBackoff
	for ctx.Err() == nil {
		if m.isLinkedTo(p) {
			backoff = minBackoff
			if !sleepWithJitter(ctx, m.opt.HeartbeatInterval) {
				return
			}
			continue
		}
		m.counters.Dials.Add(1)
		d := net.Dialer{Timeout: m.silenceTimeout(), LocalAddr: m.opt.localAddr()}
		conn, err := d.DialContext(ctx, "tcp", p.Addr)
		if err != nil {
			m.counters.DialErrors.Add(1)
			m.opt.Logger.Debug("dial failed", "host", p.Host, "addr", p.Addr, "err", err)
		} else if m.serve(conn, p.Host) {
			backoff = minBackoff
		}
		if !sleepWithJitter(ctx, backoff) {
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// sleepWithJitter waits for d with a random deviation of up to a third in both directions. It returns false if
// ctx ends first.
func sleepWithJitter(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(time.Duration(float64(d) * (0.67 + 0.66*rand.Float64())))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// serve runs a connection from the handshake until its end, and reports whether the connection had become the link to
// its host.
// expectedHost is the dialed host, or empty for an accepted connection.
func (m *Manager) serve(conn net.Conn, expectedHost entity.HostID) bool {
	defer func() { _ = conn.Close() }()
	if !m.track(conn) {
		m.counters.Refused.Add(1)
		return false
	}
	defer m.untrack(conn)
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetNoDelay(true)
	}
	r := bufio.NewReader(&deadlineConn{Conn: conn, silenceTimeout: m.silenceTimeout()})
	// The handshake as a whole has a time limit as well: every read extends the read deadline, so a peer that sends
	// single bytes could otherwise occupy the connection for a long time.
	limit := time.AfterFunc(m.silenceTimeout(), func() { _ = conn.Close() })
	hello, err := m.handshake(conn, r)
	limit.Stop()
	if err == nil {
		err = m.checkHello(hello, expectedHost)
	}
	if err != nil {
		m.counters.Refused.Add(1)
		if errors.Is(err, errMalformed) {
			m.counters.Malformed.Add(1)
		}
		m.opt.Logger.Debug("handshake failed", "addr", conn.RemoteAddr(), "err", err)
		return false
	}
	l := m.newLink(conn, hello, expectedHost != "")
	switch m.register(l) {
	case linkRefused:
		return false
	case linkRedundant:
		time.AfterFunc(m.opt.HeartbeatInterval, l.close)
		l.run(r)
		return false
	}
	l.run(r)
	m.unregister(l)
	return true
}

const (
	// linkActive means that the connection is now the link to its host.
	linkActive registerResult = iota
	// linkRedundant means that another connection to the same incarnation stays the link. The redundant
	// connection is kept open for one more HeartbeatInterval: until the other host has completed the handshake of
	// the other connection, it may use the redundant one as its link, and would call OnDown if it broke.
	linkRedundant
	// linkRefused means that the connection is closed immediately: the manager is closed, or the link to another
	// incarnation of the host is kept.
	linkRefused
)
