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
	_, err := peek(sc)
	return err != syscall.EAGAIN && err != syscall.EWOULDBLOCK
}

// hasArrived reports whether bytes of the peer, or its end of the connection, have arrived and were not read yet. It
// returns false for a connection without a file descriptor.
func hasArrived(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	_, err := peek(sc)
	return err == nil
}

// peek returns the number of bytes that can be read without blocking, at most one, or the error of reading them.
func peek(sc syscall.Conn) (n int, err error) {
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	controlErr := raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if controlErr != nil {
		return 0, controlErr
	}
	return n, err
}
