package upstream

import (
	"net"
	"syscall"
)

// isUnusable reports whether an idle connection must not be reused: the peer has closed it, unread bytes have
// arrived on it although no request is outstanding, or its state cannot be read. It does not block and consumes
// no bytes of the connection. It returns false for a connection without a file descriptor.
func isUnusable(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	var unusable bool
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, rerr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unusable = rerr != syscall.EAGAIN && rerr != syscall.EWOULDBLOCK
	})
	return err != nil || unusable
}
