package accept

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
)

// failing returns its errors one after the other, and then a connection.
type failing struct {
	net.Listener
	errs []error
}

func (f *failing) Accept() (net.Conn, error) {
	if len(f.errs) == 0 {
		return &net.TCPConn{}, nil
	}
	err := f.errs[0]
	f.errs = f.errs[1:]
	return nil, err
}

// Guards against a server that ends for good when descriptors run out for a moment, and against one
// that goes on when its listener is closed.
func TestNext(t *testing.T) {
	short := &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	if c, err := Next(&failing{errs: []error{short, short}}); err != nil || c == nil {
		t.Errorf("after a shortage: %v, %v", c, err)
	}
	if _, err := (Retrying{&failing{errs: []error{short, net.ErrClosed}}}).Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("after the listener was closed: %v", err)
	}
}
