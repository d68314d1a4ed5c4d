// Package listener provides the listener of the stand-in servers. It can close all accepted
// connections at once, as the death of a process does.
package listener

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// acceptRetry is the pause after an accept that failed for lack of resources.
const acceptRetry = 10 * time.Millisecond

// Tracking is a net.Listener that remembers its open connections. It is safe for concurrent use.
type Tracking struct {
	net.Listener
	mu    sync.Mutex
	conns map[*conn]struct{}
	dead  bool
}

type conn struct {
	net.Conn
	ln *Tracking
}

// New wraps a listener.
func New(ln net.Listener) *Tracking {
	return &Tracking{Listener: ln, conns: map[*conn]struct{}{}}
}

// Accept implements net.Listener. It retries after errors that pass: fasthttp's Serve ends for
// good at the first error, also when the process is out of file descriptors for a moment.
func (l *Tracking) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil {
			return l.track(c)
		}
		if !passes(err) {
			return nil, err
		}
		time.Sleep(acceptRetry)
	}
}

func passes(err error) bool {
	for _, e := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

func (l *Tracking) track(c net.Conn) (net.Conn, error) {
	tc := &conn{c, l}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dead {
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

// Kill closes the listener and all its connections.
func (l *Tracking) Kill() {
	_ = l.Listener.Close()
	l.mu.Lock()
	l.dead = true
	conns := l.conns
	l.conns = map[*conn]struct{}{}
	l.mu.Unlock()
	for c := range conns {
		_ = c.Conn.Close()
	}
}
