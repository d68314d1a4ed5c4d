// Package earlyanswer is a stand-in for upstreams and stores that answer a request before they have read its body.
package earlyanswer

import (
	"bufio"
	"io"
	"net"
	"net/textproto"
	"testing"
	"time"
)

// Ending is how a server ends a connection after its answer.
type Ending int

const (
	// Reset ends the connection with a reset.
	Reset Ending = iota
	// Close closes the connection although bytes of the request were not read, so the kernel resets it.
	Close
	// HalfClose ends the server's side of the connection properly, and reads the rest of the request.
	HalfClose
	// HalfCloseUnread ends the server's side properly, and reads nothing more until the test ends. The buffers of the kernel
	// may still take some megabytes of the request.
	HalfCloseUnread
	// KeepOpen leaves the connection open until the test ends.
	KeepOpen
)

// String returns the name of the ending.
func (e Ending) String() string {
	return [...]string{"reset", "close", "half-close", "half-close, rest unread", "keep open"}[e]
}

// Answer is what a server sends when the head of a request has arrived.
type Answer struct {
	Text   string
	Ending Ending
	// Delay is the time from the answer to the end of the connection.
	Delay time.Duration
}

// Serve starts a server that gives each connection the same answer. It returns the server's address.
func Serve(t testing.TB, a Answer) (addr string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			go a.serve(c.(*net.TCPConn))
		}
	}()
	return ln.Addr().String()
}

// serve answers the first request of a connection and ends the connection.
func (a Answer) serve(c *net.TCPConn) {
	if !readHead(c) {
		_ = c.Close()
		return
	}
	_, _ = io.WriteString(c, a.Text)
	time.Sleep(a.Delay)
	switch a.Ending {
	case Reset:
		_ = c.SetLinger(0)
		_ = c.Close()
	case Close:
		_ = c.Close()
	case HalfClose:
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	case HalfCloseUnread:
		_ = c.CloseWrite()
	}
}

// readHead reads the head of a request, and what has arrived with it.
func readHead(c net.Conn) bool {
	r := textproto.NewReader(bufio.NewReader(c))
	if _, err := r.ReadLine(); err != nil {
		return false
	}
	_, err := r.ReadMIMEHeader()
	return err == nil
}
