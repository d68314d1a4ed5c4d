package gateway

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

// watchInterval is the interval between two checks of the connections. A disconnected caller is detected within this
// time.
const watchInterval = 200 * time.Millisecond

// callerWatcher detects callers that close their connection while their request waits or runs, and cancels
// their sessions. The HTTP server reads a connection only between requests, so it does not detect this.
type callerWatcher struct {
	mu sync.Mutex
	// sessions maps the watched sessions to the connections of their callers.
	sessions map[*session]syscall.RawConn
}

func newCallerWatcher() *callerWatcher {
	return &callerWatcher{sessions: make(map[*session]syscall.RawConn)}
}

func (w *callerWatcher) add(s *session, c net.Conn) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	w.mu.Lock()
	w.sessions[s] = raw
	w.mu.Unlock()
}

func (w *callerWatcher) remove(s *session) {
	w.mu.Lock()
	delete(w.sessions, s)
	w.mu.Unlock()
}

// run periodically checks all connections until ctx ends.
func (w *callerWatcher) run(ctx context.Context) {
	t := time.NewTicker(watchInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			w.check()
		}
	}
}

// check cancels and removes the sessions whose caller has closed the connection.
func (w *callerWatcher) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for s, raw := range w.sessions {
		if closedByCaller(raw) {
			s.cancel(errCallerGone)
			delete(w.sessions, s)
		}
	}
}

// closedByCaller reports whether the caller has closed the connection, or the connection has failed. It leaves received
// bytes unread, which can belong to a pipelined request.
func closedByCaller(raw syscall.RawConn) bool {
	var closed bool
	err := raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, rerr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case rerr == syscall.EAGAIN || rerr == syscall.EWOULDBLOCK || rerr == syscall.EINTR:
		case rerr != nil:
			closed = true
		default:
			closed = n == 0
		}
	})
	return err != nil || closed
}
