// Package listener provides the listener of the stand-in servers. It can close all accepted connections at
// once, as happens when a process crashes.
package listener

import (
	"net"
	"sync"

	"github.com/foxtailpass/foxtailpass/internal/accept"
)

// Tracking is a net.Listener that keeps track of its open connections. It is safe for concurrent use.
type Tracking struct {
	net.Listener
	mu     sync.Mutex
	conns  map[*conn]struct{}
	closed bool
}

// conn is an accepted connection that removes itself from its listener when it is closed.
type conn struct {
	net.Conn
	ln *Tracking
}

// New wraps a listener.
func New(ln net.Listener) *Tracking {
	return &Tracking{Listener: ln, conns: map[*conn]struct{}{}}
}

// Accept implements net.Listener.
func (l *Tracking) Accept() (net.Conn, error) {
	c, err := accept.AcceptRetrying(l.Listener)
	if err != nil {
		return nil, err
	}
	return l.track(c)
}

func (l *Tracking) track(c net.Conn) (net.Conn, error) {
	tc := &conn{c, l}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = c.Close()
		return nil, net.ErrClosed
	}
	l.conns[tc] = struct{}{}
	return tc, nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.ln.mu.Lock()
	delete(c.ln.conns, c)
	c.ln.mu.Unlock()
	return c.Conn.Close()
}

// CloseAll closes the listener and all connections that it has accepted.
func (l *Tracking) CloseAll() {
	_ = l.Listener.Close()
	l.mu.Lock()
	l.closed = true
	conns := l.conns
	l.conns = map[*conn]struct{}{}
	l.mu.Unlock()
	for c := range conns {
		_ = c.Conn.Close()
	}
}
