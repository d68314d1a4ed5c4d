package upstream

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// dialTest returns a connection to a server that calls serve with the other end.
func dialTest(t *testing.T, serve func(net.Conn)) *conn {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		serve(c)
	}()
	c, err := dial(t.Context(), ln.Addr().String(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// Guards against a stream or an answer that is given up as silent although its bytes have arrived: a host that got no
// processor time for a while found the deadline passed and did not look.
func TestArrivedBytesAreReadAfterDeadline(t *testing.T) {
	c := dialTest(t, func(c net.Conn) {
		_, _ = io.WriteString(c, "first")
		time.Sleep(500 * time.Millisecond)
	})
	for !hasArrived(c.Conn) {
		time.Sleep(time.Millisecond)
	}
	_ = c.SetReadDeadline(time.Now().Add(-time.Second))
	b := make([]byte, 5)
	if n, err := io.ReadFull(c, b); err != nil || string(b) != "first" {
		t.Fatalf("read %q and %v, want the bytes that had arrived", b[:n], err)
	}
	if _, err := c.Read(b); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a second read without bytes returned %v, want that the deadline has passed", err)
	}
}

// Guards against an upstream that keeps an attempt open beyond its deadline by sending without end.
func TestLateReadsAreBounded(t *testing.T) {
	c := dialTest(t, func(c net.Conn) {
		for {
			if _, err := io.WriteString(c, "x"); err != nil {
				return
			}
		}
	})
	deadline := time.Now().Add(50 * time.Millisecond)
	for _, idle := range []time.Duration{0, 20 * time.Millisecond} {
		c.limitReads(idle, deadline)
		_ = c.SetReadDeadline(deadline)
		_, err := io.Copy(io.Discard, c)
		if late := time.Since(deadline); !errors.Is(err, os.ErrDeadlineExceeded) || late > 20*lateReadTime {
			t.Errorf("idle timeout %v: reading ended %v after the deadline with %v, want an exceeded deadline soon after it", idle, late, err)
		}
	}
}
