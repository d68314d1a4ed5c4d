// Package upstream is the HTTP client towards model engines and plain services. It knows for
// every call whether a byte has left this host, never reuses a connection on which an answer
// may still arrive, and can stop a call at any moment.
package upstream

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"
)

const (
	// maxIdlePerUpstream bounds the idle connections kept to one upstream.
	maxIdlePerUpstream = 128
	// idleTimeout is shorter than the idle timeouts of usual servers, so that a reused
	// connection is rarely one that the server is closing.
	idleTimeout = 15 * time.Second
	// dialTimeout bounds the time until a connection stands.
	dialTimeout = time.Second
	// connBuffer is the size of the read and of the write buffer of a connection.
	connBuffer = 4096
)

// conn is one connection to an upstream. It is used by one call at a time.
type conn struct {
	net.Conn
	r       *bufio.Reader
	w       *bufio.Writer
	idled   time.Time
	written int64
	// idleFor is how long the connection may stay idle; zero means idleTimeout.
	idleFor time.Duration
	// readIdleTimeout bounds each read of a call, and deadline all of them; zero means that only the deadline of
	// the connection counts.
	silence  time.Duration
	deadline time.Time
}

func newConn(nc net.Conn) *conn {
	c := &conn{Conn: nc}
	c.r = bufio.NewReaderSize(c, connBuffer)
	c.w = bufio.NewWriterSize(c, connBuffer)
	return c
}

// keepable says whether an idle connection may be used again.
func (c *conn) keepable() bool {
	limit := idleTimeout
	if c.idleFor > 0 {
		limit = c.idleFor
	}
	return time.Since(c.idled) < limit && c.r.Buffered() == 0 && !closedByPeer(c.Conn)
}

// limitReads bounds the reads of a call.
func (c *conn) limitReads(silence time.Duration, deadline time.Time) {
	c.silence, c.deadline = silence, deadline
}

// Read implements net.Conn. An answer that makes progress is not cut by its silence.
func (c *conn) Read(p []byte) (int, error) {
	if c.silence > 0 {
		limit := time.Now().Add(c.silence)
		if !c.deadline.IsZero() && c.deadline.Before(limit) {
			limit = c.deadline
		}
		if err := c.SetReadDeadline(limit); err != nil {
			return 0, err
		}
	}
	return c.Conn.Read(p)
}

// Write counts the bytes that were handed to the kernel; the request may have run once there
// are any.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	return n, err
}

// connPool keeps the idle connections of all upstreams by address.
type connPool struct {
	mu   sync.Mutex
	idle map[string][]*conn
}

func newConnPool() *connPool { return &connPool{idle: make(map[string][]*conn)} }

// get returns an idle connection, or dials one. With fresh set, it always dials, so that no
// byte is ever written to a connection that the other side may be closing.
func (p *connPool) get(ctx context.Context, addr string, fresh bool) (*conn, error) {
	if !fresh {
		if c := p.takeIdle(addr); c != nil {
			return c, nil
		}
	}
	return dial(ctx, addr, dialTimeout)
}

// take returns an idle connection, or dials one within the timeout, where zero means dialTimeout.
// A request that must be sent only once gets an idle connection only if it was used just now.
func (p *connPool) take(ctx context.Context, addr string, once bool, timeout time.Duration) (*conn, error) {
	if c := p.takeIdle(addr); c != nil {
		if !once || time.Since(c.idled) < freshFor {
			return c, nil
		}
		p.giveBack(addr, c)
	}
	if timeout <= 0 {
		timeout = dialTimeout
	}
	return dial(ctx, addr, timeout)
}

func dial(ctx context.Context, addr string, timeout time.Duration) (*conn, error) {
	d := net.Dialer{Timeout: timeout}
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return newConn(nc), nil
}

func (p *connPool) takeIdle(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		p.idle[addr] = list
		if c.keepable() {
			c.written = 0
			return c
		}
		_ = c.Close()
	}
	return nil
}

// put keeps a connection on which the whole answer has been read.
func (p *connPool) put(addr string, c *conn) {
	if err := c.SetDeadline(time.Time{}); err != nil {
		_ = c.Close()
		return
	}
	c.idled = time.Now()
	p.giveBack(addr, c)
}

// giveBack keeps an idle connection without renewing its age.
func (p *connPool) giveBack(addr string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[addr]) >= maxIdlePerUpstream {
		_ = c.Close()
		return
	}
	p.idle[addr] = append(p.idle[addr], c)
}

// closeIdle closes the idle connections to addresses that are not kept.
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
