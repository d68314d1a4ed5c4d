package gateway

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// acceptRetry is the pause after an accept that failed for lack of resources. The backlog of the
// kernel holds the callers meanwhile.
const acceptRetry = 10 * time.Millisecond

// retryingListener retries an accept after errors that pass: fasthttp's Serve ends for good at the
// first error, also when the process is out of file descriptors for a moment.
type retryingListener struct{ net.Listener }

// Accept implements net.Listener.
func (l retryingListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil || !passes(err) {
			return c, err
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
