package accept

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// refuseUnread accepts one connection, reads a little of what arrives, answers and closes the connection.
func refuseUnread(t *testing.T) (addr string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		conn, err := RetryingListener{Listener: ln}.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 512))
		_, _ = conn.Write([]byte("refused"))
		LingerOnClose(conn)
		_ = conn.Close()
	}()
	return ln.Addr().String()
}

// Guards against a refusal that the caller never reads: the connection was closed while the caller still wrote a large
// header, and the reset overtook the answer.
func TestAnswerIsReadAfterLingeringClose(t *testing.T) {
	for range 50 {
		conn, err := net.Dial("tcp", refuseUnread(t))
		if err != nil {
			t.Fatal(err)
		}
		for range 10 {
			if _, err := conn.Write([]byte(strings.Repeat("h", 8<<10))); err != nil {
				t.Fatalf("the connection was closed while the caller wrote: %v", err)
			}
			time.Sleep(time.Millisecond)
		}
		answer, err := io.ReadAll(conn)
		_ = conn.Close()
		if string(answer) != "refused" || err != nil {
			t.Fatalf("the caller read %q and %v, want the answer and its end", answer, err)
		}
	}
}

// Guards against a caller that holds a connection by sending without end.
func TestLingeringCloseIsBounded(t *testing.T) {
	conn, err := net.Dial("tcp", refuseUnread(t))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	began := time.Now()
	chunk := make([]byte, 1<<10)
	for {
		if _, err := conn.Write(chunk); err != nil {
			break
		}
		if time.Since(began) > 3*lingerTime {
			t.Fatalf("the connection is still open after %v", time.Since(began))
		}
		time.Sleep(time.Millisecond)
	}
}
