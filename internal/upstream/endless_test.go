package upstream

import (
	"errors"
	"net"
	"os"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// endlessBytes bounds what is taken of an answer without end, endlessMemory what it may occupy.
	endlessBytes  = 64 << 20
	endlessMemory = 64 << 20
	// endlessDeadline is that of the requests; reading what is bounded takes a small part of it.
	endlessDeadline = 40 * time.Second
)

// endlessServer sends a head and then repeats a piece until the caller closes.
type endlessServer struct {
	addr string
	// sent counts the bytes that were taken, closed says that the caller has closed.
	sent   atomic.Int64
	closed atomic.Bool
}

func serveEndless(t *testing.T, head, piece string) *endlessServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	srv := &endlessServer{addr: ln.Addr().String()}
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, _ = c.Read(make([]byte, 4096))
		_, err = c.Write([]byte(head))
		many := []byte(strings.Repeat(piece, max(1, 32<<10/len(piece))))
		for err == nil {
			var n int
			n, err = c.Write(many)
			srv.sent.Add(int64(n))
		}
		srv.closed.Store(true)
	}()
	return srv
}

// Guards against upstreams whose bytes have no end, in a head or a body: the caller's request, a connection
// and memory were held until the deadline.
func TestAnswersWithoutEndAreGivenUp(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, c := range map[string]struct{ head, piece string }{
		"bytes in place of a status line": {"", "x"},
		"status line":                     {"HTTP/1.1 200 ", "O"},
		"header lines":                    {ok, "A: b\r\n"},
		"one header line":                 {ok + "A: ", "b"},
		"interim answers":                 {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"chunk size":                      {ok + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		"chunk extension":                 {ok + "Transfer-Encoding: chunked\r\n\r\n5;", "x"},
		"chunks":                          {ok + "Transfer-Encoding: chunked\r\n\r\n", "5\r\nabcde\r\n"},
		"trailer":                         {ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
		"body without length":             {ok + "Connection: close\r\n\r\n", "x"},
		"answers of other requests":       {"", ok + "Other: 1\r\nContent-Length: 1\r\n\r\nx"},
		"body of another request":         {ok + "Other: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nabcde\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			srv := serveEndless(t, c.head, c.piece)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			err := readWhole(t, srv.addr)
			runtime.ReadMemStats(&after)
			switch {
			case err == nil:
				t.Error("an answer without end was taken for whole")
			case errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, ErrSilent):
				t.Errorf("given up only at the deadline: %v", err)
			}
			if n := srv.sent.Load(); n > endlessBytes {
				t.Errorf("given up after %d bytes", n)
			}
			if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > endlessMemory {
				t.Errorf("%d bytes more are in use", grown)
			}
			for end := time.Now().Add(5 * time.Second); !srv.closed.Load() && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			}
			if !srv.closed.Load() {
				t.Error("the connection stays open")
			}
		})
	}
}

// readWhole makes one exchange and reads its answer.
func readWhole(t *testing.T, addr string) error {
	t.Helper()
	ex, err := NewClient().Exchange(t.Context(), ExchangeOptions{
		Addr:     addr,
		Head:     []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
		Deadline: time.Now().Add(endlessDeadline),
		Stray:    func(h *fasthttp.ResponseHeader) bool { return len(h.Peek("Other")) > 0 },
	})
	if err != nil {
		var f *Failure
		if !errors.As(err, &f) {
			t.Errorf("untyped failure: %v", err)
		}
		return err
	}
	defer ex.Close()
	_, err = ex.Whole()
	return err
}
