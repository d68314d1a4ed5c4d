package accept

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// lingerTime and lingerBytes bound what a lingering close reads: a caller that sends without end is cut off.
	lingerTime  = time.Second
	lingerBytes = 8 << 20
)

// Conn is an accepted connection that can be closed without losing the answer that was just written to it. Closing a
// connection whose received bytes were not all read resets it, and the reset may overtake the answer: the caller
// then sees a broken connection instead of the reason for which its request was not read.
type Conn struct {
	net.Conn
	lingers atomic.Bool
}

// LingerOnClose makes the Close of a connection that a listener of this package has accepted wait until the caller has
// stopped sending, within bounds. Other connections are left unchanged.
func LingerOnClose(c net.Conn) {
	if l, ok := c.(interface{ lingerOnClose() }); ok {
		l.lingerOnClose()
	}
}

func (c *Conn) lingerOnClose() { c.lingers.Store(true) }

// Close implements net.Conn.
func (c *Conn) Close() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok && c.lingers.Swap(false) {
		if tcp.CloseWrite() == nil && tcp.SetReadDeadline(time.Now().Add(lingerTime)) == nil {
			_, _ = io.Copy(io.Discard, io.LimitReader(tcp, lingerBytes))
		}
	}
	return c.Conn.Close()
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if sc, ok := c.Conn.(syscall.Conn); ok {
		return sc.SyscallConn()
	}
	return nil, errors.New("accept: connection has no descriptor")
}
