package accept

import (
	"bytes"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/membudget"
)

// writeTimeout is how long one write may take. A connection whose peer reads nothing for that long is closed.
const writeTimeout = 10 * time.Second

// revokedWriteTimeout is that of a refusal on a connection that is given up.
const revokedWriteTimeout = 100 * time.Millisecond

// lineEnd ends the fields of a head.
var lineEnd = []byte{'\n'}

// Guarded is a connection of a Guard. It counts the memory of the message that it receives from the first byte.
type Guarded struct {
	Conn
	guard *Guard
	addr  netip.Addr
	// memory is what the connection holds: its buffers, and the message that it receives or that is served.
	memory *membudget.Reservation
	// attached are further reservations of the message and of its answer.
	attached []*membudget.Reservation

	// mu orders the changes of state with a revocation.
	mu      sync.Mutex
	state   state
	proven  bool
	revoked atomic.Bool
	// last is the time of the last byte received or of the last change of state, and writing that of the start of the
	// write in progress, zero if there is none. Both are in Unix nanoseconds.
	last, writing atomic.Int64
	closeOnce     sync.Once

	// Only the goroutine that serves the connection uses the fields below.
	//
	// counted is set once the caller of Reserve counts the bytes of the message; before, the bytes and lines that arrive are
	// added to held.
	counted bool
	held    int64
	waited  time.Duration
	written int64
}

// rank returns how useful the connection is. ok is false if it must not be closed. held is the least memory that it must
// hold. For a large message, only stalled connections are ranked.
func (c *Guarded) rank(now, held int64, stalledOnly, forMemory bool) (r rank, ok bool) {
	c.mu.Lock()
	s, proven := c.state, c.proven
	enough := held == 0 || c.holds() >= held
	c.mu.Unlock()
	if !enough {
		return r, false
	}
	r = rank{unproven: !proven, silence: now - c.last.Load()}
	r.stalled = r.silence > int64(stallTime)
	if s == stateServing || s == stateAnswered {
		// An answer that is not read holds its memory and its upstream.
		at := c.writing.Load()
		if s == stateServing && !forMemory || at == 0 || now-at < int64(stallTime) {
			return r, false
		}
		r.stalled, r.silence = true, now-at
	}
	return r, !stalledOnly || r.stalled && (s != stateIdle)
}

// revoke forbids further messages on the connection. It reports false if that has happened before, or if the connection is
// being served since it was ranked.
func (c *Guarded) revoke() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if (c.state == stateServing || c.state == stateAnswered) && c.writing.Load() == 0 {
		return false
	}
	return !c.revoked.Swap(true)
}

// interrupt wakes the goroutine that serves a revoked connection. If a part of a message has arrived and the server answers
// it, the goroutine refuses it; the connection is closed otherwise.
func (c *Guarded) interrupt() {
	c.mu.Lock()
	s := c.state
	c.mu.Unlock()
	if s == stateReading && c.guard.o.AnswersRevoked {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
		return
	}
	_ = c.Conn.Conn.Close()
}

// Revoked reports whether the connection has lost its memory.
func (c *Guarded) Revoked() bool { return c.revoked.Load() }

// SetReadDeadline implements net.Conn. The deadline of a revoked connection stays in the past.
func (c *Guarded) SetReadDeadline(t time.Time) error {
	err := c.Conn.SetReadDeadline(t)
	if c.revoked.Load() {
		return c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	return err
}

// Read implements net.Conn.
func (c *Guarded) Read(p []byte) (int, error) {
	if c.state == stateAnswered {
		// The server has written the answer and waits for the next message.
		c.setState(stateIdle)
	}
	n, err := c.Conn.Read(p)
	if n > 0 && !c.received(p[:n]) {
		return 0, ErrNoMemory
	}
	if c.revoked.Load() {
		return 0, ErrNoMemory
	}
	return n, err
}

// received counts received bytes and reports whether there is memory for them.
func (c *Guarded) received(p []byte) bool {
	c.last.Store(time.Now().UnixNano())
	if c.counted {
		return true
	}
	if c.held == 0 {
		c.setState(stateReading)
	}
	c.held += int64(len(p)) + FieldBytes*int64(bytes.Count(p, lineEnd))
	return c.memory.GrowTo(ConnBytes + c.held)
}

func (c *Guarded) setState(s state) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = s
}

// Reserve sets what the received part of the message holds to a number of bytes, and reports whether there is memory for it.
// From then on, the caller counts the bytes of the message.
func (c *Guarded) Reserve(bytes int64) bool {
	if !c.counted {
		c.counted = true
		// The start of a pipelined message has been read together with the message before it.
		c.setState(stateReading)
	}
	c.held = bytes
	c.memory.ShrinkTo(ConnBytes + bytes)
	return c.memory.GrowTo(ConnBytes+bytes) && !c.revoked.Load()
}

// ReserveLarge returns a reservation for a large message. It ends with the message.
func (c *Guarded) ReserveLarge(owner string) *membudget.Reservation {
	r := c.guard.o.Memory.ReserveFor(owner)
	c.Attach(r)
	return r
}

// Attach makes a reservation part of what the connection holds: it is revoked with the connection.
func (c *Guarded) Attach(r *membudget.Reservation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attached = append(c.attached, r)
}

// holds returns the memory that the connection holds. The caller holds c.mu.
func (c *Guarded) holds() int64 {
	n := c.memory.Bytes()
	for _, r := range c.attached {
		n += r.Bytes()
	}
	return n
}

// releaseAttached returns the memory of the attached reservations. The caller holds c.mu.
func (c *Guarded) releaseAttached() {
	for _, r := range c.attached {
		r.Release()
	}
	clear(c.attached)
	c.attached = c.attached[:0]
}

// takeMemory revokes all memory of a connection and returns how much that is.
func (c *Guarded) takeMemory() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.memory.Revoke()
	for _, r := range c.attached {
		n += r.Revoke()
	}
	return n
}

// Refused returns the memory of a message that was refused: the connection ends with the refusal. noMemory reports whether
// there was no memory for it.
func (c *Guarded) Refused(noMemory bool) {
	held := c.takeMemory()
	if noMemory && !c.revoked.Load() {
		c.guard.count(CauseRefused, c.addr, held)
	}
}

// Serve marks that a whole message has arrived: the connection is not closed for others while it is served. It reports
// whether the message may be served.
func (c *Guarded) Serve() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.revoked.Load() {
		return false
	}
	c.state = stateServing
	return true
}

// Prove marks that the peer has sent a useful message.
func (c *Guarded) Prove() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.proven = true
}

// MessageEnded returns the memory of a message, whose answer may still be written. proven reports whether it shows that the
// peer sends useful messages.
func (c *Guarded) MessageEnded(proven bool) {
	c.last.Store(time.Now().UnixNano())
	c.mu.Lock()
	c.state = stateAnswered
	c.proven = c.proven || proven
	c.releaseAttached()
	c.mu.Unlock()
	c.counted = false
	c.held, c.waited, c.written = 0, 0, 0
	c.memory.ShrinkTo(ConnBytes)
}

// Write implements net.Conn. It applies the slow reader rule.
func (c *Guarded) Write(p []byte) (int, error) {
	began := time.Now()
	limit := writeTimeout
	if c.revoked.Load() {
		limit = revokedWriteTimeout
	}
	if err := c.SetWriteDeadline(began.Add(limit)); err != nil {
		return 0, err
	}
	c.writing.Store(began.UnixNano())
	n, err := c.Conn.Write(p)
	c.writing.Store(0)
	c.waited += time.Since(began)
	c.written += int64(n)
	if err == nil && readsTooSlowly(c.waited, c.written) {
		err = errSlowReader
	}
	if err != nil && c.waited >= slowReaderGrace {
		c.guard.count(CauseSlowReader, c.addr, c.memory.Bytes())
	}
	return n, err
}

// readsTooSlowly is the slow reader rule. waited is how long writes of an answer have waited for its reader, and written the
// number of bytes that it has taken.
func readsTooSlowly(waited time.Duration, written int64) bool {
	return waited > slowReaderGrace && float64(written) < waited.Seconds()*slowReaderBytesPerSecond
}

// Close implements net.Conn.
func (c *Guarded) Close() error {
	err := error(nil)
	c.closeOnce.Do(func() {
		if c.revoked.Load() {
			// Its descriptor is needed.
			c.lingers.Store(false)
		}
		err = c.Conn.Close()
		c.memory.Release()
		c.mu.Lock()
		c.releaseAttached()
		c.mu.Unlock()
		c.guard.remove(c)
	})
	return err
}
