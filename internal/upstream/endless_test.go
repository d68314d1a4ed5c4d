package upstream

import (
	"errors"
	"io"
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
	// endlessBytes bounds the bytes of an endless answer that the server can write before the client aborts, and
	// endlessMemory the growth of the heap during the request.
	endlessBytes  = 64 << 20
	endlessMemory = 64 << 20
	// endlessDeadline is the deadline of the requests; reading up to the size limits takes a fraction of it.
	endlessDeadline = 40 * time.Second
)

// endlessServer sends a head and then repeats a piece until the client closes the connection.
type endlessServer struct {
	addr string
	// sent counts the repeated bytes that were written; closed is set when the client has closed the
	// connection.
	sent   atomic.Int64
	closed atomic.Bool
}

// serveEndless starts an endlessServer that accepts one connection.
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

// Guards against an answer with an endless header or body that is not aborted at a size limit. It would occupy the
// request of the caller, a connection and memory until the deadline.
func TestEndlessAnswersAreAborted(t *testing.T) {
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
				t.Error("an endless answer was accepted as complete")
			case errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, ErrAnswerTimeout):
				t.Errorf("aborted only at the deadline: %v", err)
			}
			if n := srv.sent.Load(); n > endlessBytes {
				t.Errorf("aborted only after %d bytes, want at most 64 MiB", n)
			}
			if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > endlessMemory {
				t.Errorf("the heap has grown by %d bytes, want at most 64 MiB", grown)
			}
			for end := time.Now().Add(5 * time.Second); !srv.closed.Load() && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			}
			if !srv.closed.Load() {
				t.Error("the client has not closed the connection 5 s after the answer was aborted")
			}
		})
	}
}

// readWhole makes one exchange, reads its whole answer and returns the error.
func readWhole(t *testing.T, addr string) error {
	t.Helper()
	ex, err := NewClient().Exchange(t.Context(), ExchangeOptions{
		Addr:     addr,
		Head:     []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
		Deadline: time.Now().Add(endlessDeadline),
		IsStray:  func(h *fasthttp.ResponseHeader) bool { return len(h.Peek("Other")) > 0 },
	})
	if err != nil {
		var f *Failure
		if !errors.As(err, &f) {
			t.Errorf("the error is not a *Failure: %v", err)
		}
		return err
	}
	defer ex.Close()
	ex.LimitBody(endlessBytes / 4)
	_, err = io.Copy(io.Discard, ex)
	return err
}
