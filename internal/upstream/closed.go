package upstream

import (
	"net"
	"syscall"
)

// closedByPeer reports whether the peer has closed an idle connection or has sent unsolicited bytes on it. It
// does not block and consumes no bytes of the connection.
func closedByPeer(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	var closed bool
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, rerr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = rerr != syscall.EAGAIN && rerr != syscall.EWOULDBLOCK
	})
	return err != nil || closed
}
