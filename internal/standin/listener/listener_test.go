package listener

import (
	"net"
	"os"
	"syscall"
	"testing"
)

// failingListener fails its first calls of Accept with a temporary error.
type failingListener struct {
	net.Listener
	failuresLeft int
}

func (f *failingListener) Accept() (net.Conn, error) {
	if f.failuresLeft > 0 {
		f.failuresLeft--
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return f.Listener.Accept()
}

// Guards against a server that permanently stops accepting connections when the process runs out of file
// descriptors for a short time, and against a CloseAll that leaves connections open.
func TestAcceptRetriesAndCloseAllCloses(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := New(&failingListener{ln, 2})
	peer, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	if _, err := l.Accept(); err != nil {
		t.Fatalf("Accept returned a temporary error: %v", err)
	}
	l.CloseAll()
	if _, err := peer.Read(make([]byte, 1)); err == nil {
		t.Fatal("CloseAll did not close the connection")
	}
	if _, err := l.Accept(); err == nil {
		t.Fatal("the listener accepted a connection after CloseAll")
	}
}
