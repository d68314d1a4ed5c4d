// Package accept accepts connections for servers that must survive a temporary lack of file descriptors or
// memory. fasthttp's Serve returns at the first error of Accept, after which the server accepts no more
// connections.
package accept

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// retryPause is the pause after an accept that failed because of a temporary error. Meanwhile, new
// connections wait in the backlog of the kernel.
const retryPause = 10 * time.Millisecond

// AcceptRetrying returns the next connection of a listener. It retries after temporary errors and returns all
// others.
func AcceptRetrying(ln net.Listener) (net.Conn, error) {
	for {
		c, err := ln.Accept()
		if err == nil || !isTransient(err) {
			return c, err
		}
		time.Sleep(retryPause)
	}
}

// isTransient reports whether an accept error is temporary: a lack of descriptors or memory, or a connection
// that the peer aborted before it was accepted.
func isTransient(err error) bool {
	for _, e := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// RetryingListener wraps a listener so that its Accept retries after temporary errors, and that its connections can
// be closed with LingerOnClose.
type RetryingListener struct{ net.Listener }

// Accept implements net.Listener. The connections are of type *Conn.
func (l RetryingListener) Accept() (net.Conn, error) {
	c, err := AcceptRetrying(l.Listener)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: c}, nil
}
