// Package peer links hosts over TCP. It keeps one connection per pair of hosts, frames typed
// messages in msgpack, sends heartbeats and notices silent peers.
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
	DefaultInterval = 500 * time.Millisecond
	// DefaultQueueFrames and DefaultQueueBytes bound what one slow peer can hold: two of the largest
	// frames, or about a second of the busiest link.
	DefaultQueueFrames = 1024
	DefaultQueueBytes  = 2 * MaxFrameBytes
	// DefaultMaxConns bounds the open connections, including those in a handshake.
	DefaultMaxConns = 1024
)

const (
	// silentIntervals is how many intervals without a byte end a link. Two could end it because of
	// one lost heartbeat and a TCP retransmission.
	silentIntervals = 3
	minBackoff      = 100 * time.Millisecond
	maxBackoff      = 5 * time.Second
)

// Options configures a Manager. Zero values of the last four fields mean the defaults.
type Options struct {
	// Source is the local IP from which other hosts are dialed; empty leaves the choice to the system.
	Source string
	// Self is sent as the first message of each connection.
	Self wire.Hello
	// Listen is the address for connections of other hosts.
	Listen string
	// Handler takes all messages except hello, one call at a time per connection; while one connection
	// replaces another, both deliver for up to an Interval. It must not block; the message belongs to it.
	Handler func(from entity.HostID, inc entity.Incarnation, m wire.Message)
	// OnUp and OnDown report when a host becomes linked and when it no longer is, one call at a time.
	// They must be fast. Replacing a connection of the same incarnation reports nothing.
	OnUp, OnDown func(host entity.HostID, inc entity.Incarnation)
	// Heartbeat makes the next heartbeat for a host; nil skips it. If unset, empty ones are sent.
	Heartbeat func(to entity.HostID) *wire.Heartbeat
	Logger    *log.Logger
	// Interval is the time between heartbeats.
	Interval    time.Duration
	QueueFrames int
	QueueBytes  int64
	MaxConns    int
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
	if o.Interval <= 0 {
		o.Interval = DefaultInterval
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

// Peer is a host to keep a link with.
type Peer struct {
	Host        entity.HostID
	Incarnation entity.Incarnation
	// Addr is host:port of the peer's listener.
	Addr string
}

// Link describes one live link.
type Link struct {
	Host        entity.HostID
	Incarnation entity.Incarnation
	// Dialed says that this host made the connection.
	Dialed bool
	Since  time.Time
}

type dialer struct {
	peer   Peer
	cancel context.CancelFunc
}

// Manager keeps the links. All methods are safe for concurrent use.
type Manager struct {
	opt      Options
	counters Counters
	ln       net.Listener
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	slots    chan struct{}

	// callbacks is held while links change together with their OnUp and OnDown calls.
	callbacks sync.Mutex

	mu      sync.Mutex
	closed  bool
	links   map[entity.HostID]*link
	dialers map[entity.HostID]*dialer
	// conns holds all open connections, to close them at the end.
	conns map[net.Conn]struct{}
}

// NewManager starts listening; connections are served only while Run runs.
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
		opt:     opt,
		ln:      ln,
		ctx:     ctx,
		cancel:  cancel,
		slots:   make(chan struct{}, opt.MaxConns),
		links:   map[entity.HostID]*link{},
		dialers: map[entity.HostID]*dialer{},
		conns:   map[net.Conn]struct{}{},
	}, nil
}

// Addr returns the address of the listener.
func (m *Manager) Addr() net.Addr { return m.ln.Addr() }

// Counters returns the counters.
func (m *Manager) Counters() *Counters { return &m.counters }

// silence is how long nothing may be read or a write may take.
func (m *Manager) silence() time.Duration { return silentIntervals * m.opt.Interval }

// Run accepts and serves connections until ctx ends, then closes everything and waits.
func (m *Manager) Run(ctx context.Context) {
	defer context.AfterFunc(ctx, m.shutdown)()
	for {
		conn, err := m.ln.Accept()
		if err != nil {
			if ctx.Err() != nil {
				break
			}
			// For example, too many open files; accepting is tried again after a pause.
			m.opt.Logger.Error("accept failed", "err", err)
			if !sleep(ctx, minBackoff) {
				break
			}
			continue
		}
		m.start(func() { m.serve(conn, "") })
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

// start runs f in a goroutine unless the manager is closed.
func (m *Manager) start(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.closed {
		m.wg.Go(f)
	}
}

// track records an open connection; it returns false when the manager is closed or full.
func (m *Manager) track(conn net.Conn) bool {
	select {
	case m.slots <- struct{}{}:
	default:
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		<-m.slots
		return false
	}
	m.conns[conn] = struct{}{}
	return true
}

func (m *Manager) untrack(conn net.Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.conns, conn)
	<-m.slots
}

// SetPeers replaces the hosts to connect to. Live links to hosts that are not listed stay until
// they break, because a host may lose its registration for a moment while it is alive.
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

// Send queues a message for a host and says whether it was queued. It never blocks.
func (m *Manager) Send(to entity.HostID, msg wire.Message) bool {
	m.mu.Lock()
	l := m.links[to]
	m.mu.Unlock()
	return l != nil && l.send(msg)
}

// Links returns the live links, ordered by host.
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

func (m *Manager) linkedTo(p Peer) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.links[p.Host]
	return l != nil && (l.inc == p.Incarnation || p.Incarnation == "")
}

// dialLoop keeps a link to the peer. The host with the higher ID waits first, so that usually only
// one of the two dials.
// source returns the local address for dialing, nil if the system chooses it.
func (o Options) source() net.Addr {
	ip := net.ParseIP(o.Source)
	if ip == nil {
		return nil
	}
	return &net.TCPAddr{IP: ip}
}

func (m *Manager) dialLoop(ctx context.Context, p Peer) {
	if m.opt.Self.Host > p.Host && !sleep(ctx, m.opt.Interval) {
		return
	}
	backoff := minBackoff
	for ctx.Err() == nil {
		if m.linkedTo(p) {
			backoff = minBackoff
			if !sleep(ctx, m.opt.Interval) {
				return
			}
			continue
		}
		m.counters.Dials.Add(1)
		d := net.Dialer{Timeout: m.silence(), LocalAddr: m.opt.source()}
		conn, err := d.DialContext(ctx, "tcp", p.Addr)
		if err != nil {
			m.counters.DialErrors.Add(1)
			m.opt.Logger.Debug("dial failed", "host", p.Host, "addr", p.Addr, "err", err)
		} else if m.serve(conn, p.Host) {
			backoff = minBackoff
		}
		if !sleep(ctx, backoff) {
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// sleep waits for d with a jitter of a third and returns false when ctx ends.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(time.Duration(float64(d) * (0.67 + 0.66*rand.Float64())))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// serve runs a connection from handshake to end; expect is the dialed host or empty. It returns
// whether the connection became a link.
func (m *Manager) serve(conn net.Conn, expect entity.HostID) bool {
	defer func() { _ = conn.Close() }()
	if !m.track(conn) {
		m.counters.Refused.Add(1)
		return false
	}
	defer m.untrack(conn)
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetNoDelay(true)
	}
	r := bufio.NewReader(&deadlineConn{Conn: conn, silence: m.silence()})
	// The read deadline alone would let a sender of single bytes hold the connection for long.
	limit := time.AfterFunc(m.silence(), func() { _ = conn.Close() })
	hello, err := m.handshake(conn, r)
	limit.Stop()
	if err == nil {
		err = m.checkHello(hello, expect)
	}
	if err != nil {
		m.counters.Refused.Add(1)
		if errors.Is(err, errMalformed) {
			m.counters.Malformed.Add(1)
		}
		m.opt.Logger.Debug("handshake failed", "addr", conn.RemoteAddr(), "err", err)
		return false
	}
	l := m.newLink(conn, hello, expect != "")
	switch m.register(l) {
	case refused:
		return false
	case spare:
		time.AfterFunc(m.opt.Interval, l.close)
		l.run(r)
		return false
	}
	l.run(r)
	m.unregister(l)
	return true
}

const (
	// chosen makes the connection the link to its host.
	chosen verdict = iota
	// spare means that another connection to the same process is the link. A spare connection is
	// read for one more interval: the other end may have chosen it until it completes the handshake of
	// the other one, and would report the host as down if it broke before.
	spare
	refused
)
