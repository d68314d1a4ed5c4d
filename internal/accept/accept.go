// Package accept accepts connections for servers that must not end when the process is out of file
// descriptors or memory for a moment. fasthttp's Serve ends for good at the first error.
package accept

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// retryPause is the pause after an accept that failed for lack of resources. The backlog of the
// kernel holds the callers meanwhile.
const retryPause = 10 * time.Millisecond

// Next returns the next connection of a listener. It retries after errors that pass.
func Next(ln net.Listener) (net.Conn, error) {
	for {
		c, err := ln.Accept()
		if err == nil || !passes(err) {
			return c, err
		}
		time.Sleep(retryPause)
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

// Retrying is a listener whose Accept is Next.
type Retrying struct{ net.Listener }

// Accept implements net.Listener.
func (l Retrying) Accept() (net.Conn, error) { return Next(l.Listener) }
