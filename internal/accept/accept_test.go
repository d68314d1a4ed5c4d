package accept

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
)

// failingListener is a listener whose Accept returns the given errors one after another, and then a connection.
type failingListener struct {
	net.Listener
	errs []error
}

func (f *failingListener) Accept() (net.Conn, error) {
	if len(f.errs) == 0 {
		return &net.TCPConn{}, nil
	}
	err := f.errs[0]
	f.errs = f.errs[1:]
	return nil, err
}

// Guards against a server that permanently stops accepting when file descriptors run out temporarily, and
// against one that continues to accept after its listener was closed.
func TestAcceptRetrying(t *testing.T) {
	short := &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	if c, err := AcceptRetrying(&failingListener{errs: []error{short, short}}); err != nil || c == nil {
		t.Errorf("after two EMFILE errors: connection %v, error %v; want a connection and no error", c, err)
	}
	if _, err := (RetryingListener{&failingListener{errs: []error{short, net.ErrClosed}}}).Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("after the listener was closed: error %v, want net.ErrClosed", err)
	}
}
