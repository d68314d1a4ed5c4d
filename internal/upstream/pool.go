// Package upstream is the HTTP client for upstreams: model engines and plain services, which are upstreams that
// load no models. For every failed attempt it reports whether the upstream may have run the request. It never
// reuses a connection on which an answer may still arrive, and an attempt can be aborted at any time.
//
// There are two kinds of attempts. A Call sends a fasthttp request and reads the answer or its stream of events.
// An Exchange sends a request that the caller has encoded itself.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// maxIdlePerUpstream is the maximum number of idle connections to one upstream.
	maxIdlePerUpstream = 128
	// idleTimeout is how long a connection may be idle in the pool. It is shorter than the usual idle timeouts
	// of servers, so that a reused connection is rarely one that the server is closing.
	idleTimeout = 15 * time.Second
	// dialTimeout is the default timeout for establishing a connection.
	dialTimeout = time.Second
	// lateReadTime is how long after its read deadline a connection is still read if bytes have arrived.
	lateReadTime = 100 * time.Millisecond
	// connBuffer is the size in bytes of the read buffer and of the write buffer of a connection.
	connBuffer = 4096
)

// conn is one connection to an upstream. Only one attempt, a Call or an Exchange, uses it at a time.
type conn struct {
	net.Conn
	r         *bufio.Reader
	w         *bufio.Writer
	idleSince time.Time
	// bytesWritten counts the bytes written since the connection was dialed or taken from the pool.
	bytesWritten int64
	// idleLimit is how long the connection may be idle; zero means idleTimeout.
	idleLimit time.Duration
	// readIdleTimeout bounds each single read of an attempt. Before each read, Read sets the read deadline of the
	// net.Conn to now + readIdleTimeout, or to deadline if that is earlier. If readIdleTimeout is zero, Read does
	// not change the read deadline of the net.Conn.
	readIdleTimeout time.Duration
	// deadline is the deadline of the attempt; zero means none.
	deadline time.Time
	// lateUntil ends the time in which bytes that have arrived are read although the read deadline has passed. It is
	// zero while the deadline has not been found to have passed.
	lateUntil time.Time
}

func newConn(nc net.Conn) *conn {
	c := &conn{Conn: nc}
	c.r = bufio.NewReaderSize(c, connBuffer)
	c.w = bufio.NewWriterSize(c, connBuffer)
	return c
}

// reusable reports whether an idle connection can be used for another request: it has not been idle for too long,
// and it is still open without unread bytes.
func (c *conn) reusable() bool {
	limit := idleTimeout
	if c.idleLimit > 0 {
		limit = c.idleLimit
	}
	return time.Since(c.idleSince) < limit && c.r.Buffered() == 0 && !isUnusable(c.Conn)
}

// limitReads sets the timeout of each read of an attempt, zero for none, and the deadline of the attempt.
func (c *conn) limitReads(readIdleTimeout time.Duration, deadline time.Time) {
	c.readIdleTimeout, c.deadline = readIdleTimeout, deadline
}

// Read implements net.Conn. If readIdleTimeout is set, Read extends the read deadline first, but not beyond the
// deadline of the attempt. While bytes keep arriving, the answer is read up to that deadline.
func (c *conn) Read(p []byte) (int, error) {
	if c.readIdleTimeout > 0 {
		if err := c.extendReadDeadline(time.Now()); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		return c.readLate(p, err)
	}
	return n, err
}

// extendReadDeadline sets the read deadline of an attempt with a readIdleTimeout.
func (c *conn) extendReadDeadline(now time.Time) error {
	limit := now.Add(c.readIdleTimeout)
	if !c.deadline.IsZero() && c.deadline.Before(limit) {
		limit = c.deadline
	}
	if limit.After(now) {
		c.lateUntil = time.Time{}
	}
	return c.Conn.SetReadDeadline(limit)
}

// readLate reads bytes that have arrived although the read deadline has passed. A process that got no processor time
// for a while finds both at once, and the upstream was not silent then. After lateReadTime the deadline is final, also
// for an upstream that keeps sending.
func (c *conn) readLate(p []byte, timeout error) (int, error) {
	now := time.Now()
	if c.lateUntil.IsZero() {
		c.lateUntil = now.Add(lateReadTime)
	}
	if !now.Before(c.lateUntil) || !hasArrived(c.Conn) {
		return 0, timeout
	}
	if err := c.Conn.SetReadDeadline(c.lateUntil); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.lateUntil = time.Time{}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.lateUntil = time.Time{}
	return c.Conn.SetDeadline(t)
}

// Write implements net.Conn. It counts the bytes that were passed to the kernel: if at least one was, the request
// may have run.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytesWritten += int64(n)
	return n, err
}

// connPool holds the idle connections of all upstreams by address.
type connPool struct {
	mu   sync.Mutex
	idle map[string][]*conn
}

func newConnPool() *connPool { return &connPool{idle: make(map[string][]*conn)} }

// get returns an idle connection, or dials a new one if the pool has none. If forceNew is set, it always dials, so
// that the request is not written to a connection that the peer may be closing.
func (p *connPool) get(ctx context.Context, addr string, forceNew bool) (*conn, error) {
	if !forceNew {
		if c := p.takeIdle(addr); c != nil {
			return c, nil
		}
	}
	return dial(ctx, addr, dialTimeout)
}

// getForExchange returns an idle connection, or dials a new one. It returns an idle connection only if the options allow
// it.
func (p *connPool) getForExchange(ctx context.Context, o ExchangeOptions) (*conn, error) {
	if !o.SingleUse {
		if c := p.takeIdle(o.Addr); c != nil {
			if !o.NotRepeatable || time.Since(c.idleSince) < maxIdleForNotRepeatable {
				return c, nil
			}
			p.putIdle(o.Addr, c)
		}
	}
	timeout := o.DialTimeout
	if timeout <= 0 {
		timeout = dialTimeout
	}
	return dial(ctx, o.Addr, timeout)
}

func dial(ctx context.Context, addr string, timeout time.Duration) (*conn, error) {
	d := net.Dialer{Timeout: timeout}
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return newConn(nc), nil
}

// takeIdle removes the most recently used reusable connection to addr from the pool and returns it, or nil if
// there is none.
func (p *connPool) takeIdle(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		p.idle[addr] = list
		if c.reusable() {
			c.bytesWritten = 0
			return c
		}
		_ = c.Close()
	}
	return nil
}

// put adds a connection to the pool. The whole answer must have been read from it.
func (p *connPool) put(addr string, c *conn) {
	if err := c.SetDeadline(time.Time{}); err != nil {
		_ = c.Close()
		return
	}
	c.idleSince = time.Now()
	p.putIdle(addr, c)
}

// putIdle adds an idle connection to the pool without resetting its idle time. It closes the connection if the
// pool already has maxIdlePerUpstream connections to addr.
func (p *connPool) putIdle(addr string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[addr]) >= maxIdlePerUpstream {
		_ = c.Close()
		return
	}
	p.idle[addr] = append(p.idle[addr], c)
}

// closeIdle closes the idle connections to all addresses for which keep returns false.
func (p *connPool) closeIdle(keep func(addr string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		if keep(addr) {
			continue
		}
		for _, c := range list {
			_ = c.Close()
		}
		delete(p.idle, addr)
	}
}
