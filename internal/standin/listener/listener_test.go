package listener

import (
	"net"
	"os"
	"syscall"
	"testing"
)

// failing fails its first accepts with an error that passes.
type failing struct {
	net.Listener
	left int
}

func (f *failing) Accept() (net.Conn, error) {
	if f.left > 0 {
		f.left--
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return f.Listener.Accept()
}

// Guards against a server that stops for good when file descriptors run out for a moment, and
// against a kill that leaves connections open.
func TestAcceptRetriesAndKillCloses(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := New(&failing{ln, 2})
	peer, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	if _, err := l.Accept(); err != nil {
		t.Fatalf("accept gave up: %v", err)
	}
	l.Kill()
	if _, err := peer.Read(make([]byte, 1)); err == nil {
		t.Fatal("the connection survived the kill")
	}
	if _, err := l.Accept(); err == nil {
		t.Fatal("a killed listener accepted a connection")
	}
}
