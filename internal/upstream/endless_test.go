package upstream

import (
	"errors"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// endlessLimit is the time in which an answer without end must be given up.
	endlessLimit = 3 * time.Second
	// endlessMemory bounds what an answer without end may occupy.
	endlessMemory = 64 << 20
)

// serveEndless sends a head and then repeats a piece until the caller closes. It returns its address and
// whether the caller has closed.
func serveEndless(t *testing.T, head, piece string) (string, *atomic.Bool) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	closed := &atomic.Bool{}
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
			_, err = c.Write(many)
		}
		closed.Store(true)
	}()
	return ln.Addr().String(), closed
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
			addr, closed := serveEndless(t, c.head, c.piece)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			began := time.Now()
			err := readWhole(t, addr)
			took := time.Since(began)
			runtime.ReadMemStats(&after)
			if err == nil {
				t.Error("an answer without end was taken for whole")
			}
			if took > endlessLimit {
				t.Errorf("given up after %s", took)
			}
			if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > endlessMemory {
				t.Errorf("%d bytes more are in use", grown)
			}
			for end := time.Now().Add(time.Second); !closed.Load() && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			}
			if !closed.Load() {
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
		Deadline: time.Now().Add(15 * time.Second),
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
