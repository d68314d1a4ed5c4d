package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/foxtailpass/foxtailpass/internal/httphead/headtest"
)

// Guards against Finish waiting until the deadline when the upstream does not end the HTTP body after the end
// marker, and against reusing the connection in this case.
func TestFinishDoesNotWaitForBodyEnd(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\ne\r\ndata: [DONE]\n\n\r\n"
	for name, c := range map[string]struct {
		answer string
		idle   int
	}{
		"ended":     {head + "0\r\n\r\n", 1},
		"left open": {head, 0},
		"more data": {head + "6\r\ndata: \r\n", 0},
	} {
		t.Run(name, func(t *testing.T) {
			client, addr := NewClient(), headtest.Serve(t, c.answer)
			req := fasthttp.AcquireRequest()
			defer fasthttp.ReleaseRequest(req)
			req.SetRequestURI("http://" + addr + "/")
			call, err := client.Do(context.Background(), req, Options{Addr: addr, Stream: true, Deadline: time.Now().Add(10 * time.Second)})
			if err != nil {
				t.Fatal(err)
			}
			if _, done, err := NewEventReader(call.Body()).Next(); !done || err != nil {
				t.Fatalf("first event: done %t, error %v, want the end marker", done, err)
			}
			began := time.Now()
			call.Finish()
			if took := time.Since(began); took > time.Second {
				t.Errorf("Finish took %v, want at most 1 s", took)
			}
			if n := len(client.pool.idle[addr]); n != c.idle {
				t.Errorf("%d idle connections, want %d", n, c.idle)
			}
		})
	}
}

// Guards against an answer that is aborted while bytes keep arriving, and against a stalled answer that is not
// aborted before the deadline. Large answers that are aborted are read again from the start, and this happens
// when many hosts read at once: after a mass restart of 295 hosts, the network link of the key-value service is
// saturated for more than a second.
func TestReadIdleTimeout(t *testing.T) {
	for _, stalls := range []bool{false, true} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = ln.Close() }()
		const pieces = 12
		go func() {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			_, _ = c.Read(make([]byte, 4096))
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", pieces)
			for range pieces {
				time.Sleep(100 * time.Millisecond)
				_, _ = c.Write([]byte("x"))
				if stalls {
					time.Sleep(5 * time.Second)
				}
			}
		}()
		req := fasthttp.AcquireRequest()
		req.SetRequestURI("http://" + ln.Addr().String() + "/")
		began := time.Now()
		call, err := NewClient().Do(t.Context(), req, Options{Addr: ln.Addr().String(), Deadline: began.Add(4 * time.Second), ReadIdleTimeout: 500 * time.Millisecond})
		took := time.Since(began)
		if err == nil {
			call.Close()
		}
		if !stalls && err != nil {
			t.Errorf("an answer whose bytes kept arriving was aborted after %s: %v", took, err)
		}
		if stalls && (err == nil || took > 2*time.Second) {
			t.Errorf("a stalled answer ended with error %v after %s, want an error within 2 s", err, took)
		}
	}
}

// Guards against a host that ends because an upstream answers a call for a stream with a status that has no body.
func TestStreamWithoutBodyIsEmpty(t *testing.T) {
	for _, status := range []string{"204 No Content", "304 Not Modified"} {
		client, addr := NewClient(), headtest.Serve(t, "HTTP/1.1 "+status+"\r\nContent-Length: 5\r\n\r\n")
		call, err := client.Do(t.Context(), getRequest(addr), Options{Addr: addr, Stream: true, Deadline: time.Now().Add(5 * time.Second)})
		if err != nil {
			t.Fatal(err)
		}
		if n, err := call.Body().Read(make([]byte, 1)); n != 0 || !errors.Is(err, io.EOF) {
			t.Errorf("status %s: read %d bytes, error %v; want the end of the body", status, n, err)
		}
		call.Close()
	}
}
