package accept

import (
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/membudget"
)

const (
	// ConnBytes is what a connection occupies before its first request: the read and write buffers of the HTTP library,
	// its context and the stack of a goroutine.
	ConnBytes = 28 << 10
	// FieldBytes is what the HTTP library occupies for a field of a head beyond its bytes, however short it is: two slices
	// with their arrays.
	FieldBytes = 112
	// stallTime is the time without a byte, or in one write, after which a connection counts as stalled: it is closed when
	// the memory that it holds is needed for a large message.
	stallTime = time.Second
	// slowReaderGrace and slowReaderBytesPerSecond are the slow reader rule: a connection that has let writes wait for
	// longer than slowReaderGrace, counted over one answer, and has taken fewer bytes per second of that time, is closed.
	// Without the rule, one that reads a byte now and then holds its answer and its upstream without end.
	slowReaderGrace          = 10 * time.Second
	slowReaderBytesPerSecond = 1 << 10
	// logInterval is the time between two log lines for one cause.
	logInterval = time.Second
)

// ErrNoMemory ends the reading of a message for which there is no memory.
var ErrNoMemory = errors.New("accept: no memory for a message")

// errSlowReader ends an answer that its reader takes too slowly.
var errSlowReader = errors.New("accept: the answer is read too slowly")

// Cause is why a connection was closed or refused.
type Cause int

// The causes.
const (
	// CauseFull: the listener has as many connections as it may have, and this one was the least useful.
	CauseFull Cause = iota
	// CauseBusy: the listener has as many connections as it may have, and all of them are being served.
	CauseBusy
	// CauseMemory: the memory was needed for others.
	CauseMemory
	// CauseRefused: there was no memory for the message of the connection.
	CauseRefused
	// CauseSlowReader: the slow reader rule.
	CauseSlowReader
	causes
)

func (c Cause) String() string {
	return [...]string{"connections_full", "connections_busy", "memory_needed", "memory_refused", "slow_reader"}[c]
}

// state is what a connection does.
type state int32

const (
	// stateIdle: no byte of a message has arrived.
	stateIdle state = iota
	// stateReading: a message has arrived in part.
	stateReading
	// stateServing: a message is being served. Such a connection is only closed if it does not read its answer.
	stateServing
	// stateAnswered: a message has been served, and its answer may not have been written yet.
	stateAnswered
)

// GuardOptions configures a Guard.
type GuardOptions struct {
	// Name names the listener in logs and metrics.
	Name string
	// MaxConns bounds the open connections.
	MaxConns int
	// Memory is the budget of the process.
	Memory *membudget.Budget
	// Class is that of the reservations for connections and small messages.
	Class membudget.Class
	// Refusal, if set, is written to a connection that is not accepted because all others are being served.
	Refusal []byte
	// AnswersRevoked is set if the server answers a connection whose message was given up. It is closed otherwise.
	AnswersRevoked bool
	Log            *slog.Logger
	// Pressure is shared by the listeners of a process; it may be nil.
	Pressure *Pressure
}

// Guard bounds the connections of one listener. When there are too many, or their memory is needed for others, it closes the
// least useful: those of addresses with more than their share first, those that have never sent a whole message before
// others, and among them the one that has been silent for the longest time.
type Guard struct {
	net.Listener
	o      GuardOptions
	counts [causes]atomic.Int64
	logged [causes]atomic.Int64
	mu     sync.Mutex
	conns  map[*Guarded]struct{}
	byAddr map[netip.Addr]int
	// open is the number of connections whose descriptors are open, and closed is signaled when it falls. Connections that
	// were given up and whose goroutines have not yet noticed are not in conns.
	open   int
	closed *sync.Cond
}

// NewGuard wraps a listener. The accepted connections are of type *Guarded.
func NewGuard(ln net.Listener, o GuardOptions) *Guard {
	g := &Guard{Listener: ln, o: o, conns: make(map[*Guarded]struct{}), byAddr: make(map[netip.Addr]int)}
	g.closed = sync.NewCond(&g.mu)
	if o.Pressure != nil {
		o.Pressure.guards = append(o.Pressure.guards, g)
	}
	return g
}

// Name returns the name of the listener.
func (g *Guard) Name() string { return g.o.Name }

// Counts returns the number of connections that were closed or refused, by cause.
func (g *Guard) Counts() map[Cause]int64 {
	out := make(map[Cause]int64, causes)
	for c := range causes {
		out[c] = g.counts[c].Load()
	}
	return out
}

// Len returns the number of open connections.
func (g *Guard) Len() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns)
}

// count counts a closed connection and logs it, at most once in logInterval for each cause.
func (g *Guard) count(c Cause, addr netip.Addr, held int64) {
	n := g.counts[c].Add(1)
	now := time.Now().UnixNano()
	last := g.logged[c].Load()
	if g.o.Log == nil || now-last < int64(logInterval) || !g.logged[c].CompareAndSwap(last, now) {
		return
	}
	g.o.Log.Warn("Connection closed.", "listener", g.o.Name, "cause", c, "total", n, "from", addr, "held", held, "open", g.Len(), "free_memory", g.o.Memory.Free())
}

// Accept implements net.Listener.
func (g *Guard) Accept() (net.Conn, error) {
	for {
		c, err := AcceptRetrying(g.Listener)
		if err != nil {
			return nil, err
		}
		if conn := g.admit(c); conn != nil {
			return conn, nil
		}
	}
}

// admit returns the connection to serve, nil if it was refused.
func (g *Guard) admit(c net.Conn) *Guarded {
	conn := &Guarded{Conn: Conn{Conn: c}, guard: g, addr: remoteAddr(c), memory: g.o.Memory.Reserve(g.o.Class)}
	conn.last.Store(time.Now().UnixNano())
	for g.Len() >= g.o.MaxConns {
		if !g.evict(CauseFull, 0, g.o.Class) {
			g.refuse(c, CauseBusy)
			return nil
		}
	}
	g.awaitClosed()
	if !conn.memory.GrowTo(ConnBytes) {
		g.refuse(c, CauseMemory)
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conns[conn] = struct{}{}
	g.byAddr[conn.addr]++
	g.open++
	return conn
}

func (g *Guard) refuse(c net.Conn, cause Cause) {
	g.count(cause, remoteAddr(c), 0)
	if len(g.o.Refusal) > 0 {
		_ = c.SetWriteDeadline(time.Now().Add(refusalTime))
		_, _ = c.Write(g.o.Refusal)
	}
	_ = c.Close()
}

// refusalTime bounds the write of a refusal to a new connection, whose send buffer is empty.
const refusalTime = 10 * time.Millisecond

func remoteAddr(c net.Conn) netip.Addr {
	if tcp, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return tcp.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

// awaitClosed waits while too many connections that were given up have not been closed yet. Meanwhile, new connections wait
// in the backlog of the kernel.
func (g *Guard) awaitClosed() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.open >= g.o.MaxConns+g.o.MaxConns/givenUpShare+1 {
		g.closed.Wait()
	}
}

// givenUpShare is the share of the connections that may be open in addition because they were given up and are not closed
// yet.
const givenUpShare = 8

// remove forgets a closed connection.
func (g *Guard) remove(c *Guarded) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open--
	g.closed.Signal()
	if _, ok := g.conns[c]; !ok {
		return
	}
	delete(g.conns, c)
	if g.byAddr[c.addr]--; g.byAddr[c.addr] == 0 {
		delete(g.byAddr, c.addr)
	}
}

// evict closes the least useful connection. held is the least memory that it must hold. It reports whether it has found
// one, which may have ended or be served by now: another one may be found then.
func (g *Guard) evict(cause Cause, held int64, class membudget.Class) bool {
	victim, _ := g.leastUseful(cause, held, class)
	if victim != nil {
		g.giveUp(victim, cause)
	}
	return victim != nil
}

// leastUseful returns the connection that evict would close, nil if there is none.
func (g *Guard) leastUseful(cause Cause, held int64, class membudget.Class) (*Guarded, rank) {
	now := time.Now().UnixNano()
	g.mu.Lock()
	defer g.mu.Unlock()
	share := 0
	if len(g.byAddr) > 1 {
		share = len(g.conns) / len(g.byAddr)
	}
	var victim *Guarded
	var worst rank
	for c := range g.conns {
		r, ok := c.rank(now, held, class == membudget.Large, cause == CauseMemory)
		if !ok {
			continue
		}
		r.overShare = share > 0 && g.byAddr[c.addr] > share
		if victim == nil || worst.less(r) {
			victim, worst = c, r
		}
	}
	return victim, worst
}

// giveUp closes a connection, unless it has ended or is being served by now.
func (g *Guard) giveUp(victim *Guarded, cause Cause) {
	g.mu.Lock()
	if _, ok := g.conns[victim]; !ok || !victim.revoke() {
		g.mu.Unlock()
		return
	}
	// The victim no longer counts, though its goroutine may still have to notice.
	delete(g.conns, victim)
	if g.byAddr[victim.addr]--; g.byAddr[victim.addr] == 0 {
		delete(g.byAddr, victim.addr)
	}
	g.mu.Unlock()
	g.count(cause, victim.addr, victim.takeMemory())
	victim.interrupt()
}

// rank orders connections by how useful they are; the worst is closed first.
type rank struct {
	overShare, stalled, unproven bool
	silence                      int64
}

// less reports whether r is more useful than s.
func (r rank) less(s rank) bool {
	switch {
	case r.overShare != s.overShare:
		return s.overShare
	case r.unproven != s.unproven:
		return s.unproven
	case r.stalled != s.stalled:
		return s.stalled
	}
	return r.silence < s.silence
}

// Pressure returns memory to a budget by closing connections of several listeners.
type Pressure struct{ guards []*Guard }

// Relieve closes the least useful connection that holds memory, and reports whether it has found one. For a large message,
// only a connection that is stalled and holds more than its buffers is closed. It implements the relief of a
// membudget.Budget.
func (p *Pressure) Relieve(_ int64, class membudget.Class) bool {
	held := int64(ConnBytes)
	if class == membudget.Large {
		held++
	}
	var victim *Guarded
	var worst rank
	for _, g := range p.guards {
		c, r := g.leastUseful(CauseMemory, held, class)
		// The shares of addresses are those of one listener.
		r.overShare = false
		if c != nil && (victim == nil || worst.less(r)) {
			victim, worst = c, r
		}
	}
	if victim != nil {
		victim.guard.giveUp(victim, CauseMemory)
	}
	return victim != nil
}
