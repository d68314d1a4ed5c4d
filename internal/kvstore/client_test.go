package kvstore

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// startServer starts a server that handles every path with h, and returns its address.
func startServer(t *testing.T, h fasthttp.RequestHandler) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &fasthttp.Server{Handler: h, CloseOnShutdown: true}
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() { _ = s.Shutdown() })
	return ln.Addr().String()
}

// unreachableAddr returns an address on which no server listens.
func unreachableAddr(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

// respondWith returns a handler that sends a fixed response.
func respondWith(code int, body string) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		ctx.SetStatusCode(code)
		ctx.SetBodyString(body)
	}
}

// Guards against reporting a write as certainly not applied when it may have been applied. Also guards against
// reporting an unknown outcome when the write was certainly not applied: the caller would then have to read the result
// back.
func TestErrorMapping(t *testing.T) {
	respondLate := func(ctx *fasthttp.RequestCtx) { time.Sleep(300 * time.Millisecond) }
	for _, tc := range []struct {
		name        string
		addr        string
		write, read error
	}{
		{"refused", unreachableAddr(t), ErrUnavailable, ErrUnavailable},
		{"timeout", startServer(t, respondLate), ErrUnknown, ErrUnavailable},
		{"closed", startServer(t, func(ctx *fasthttp.RequestCtx) { _ = ctx.Conn().Close() }), ErrUnknown, ErrUnavailable},
		{"broken", startServer(t, respondWith(200, `{"header":`)), ErrUnknown, ErrUnavailable},
		{"raft timeout", startServer(t, respondWith(503, `{"error":"etcdserver: request timed out","code":14}`)), ErrUnknown, ErrUnavailable},
		{"no leader", startServer(t, respondWith(503, `{"error":"etcdserver: no leader","code":14}`)), ErrUnavailable, ErrUnavailable},
		{"rate limit", startServer(t, respondWith(429, `{"error":"etcdserver: too many requests","code":8}`)), ErrUnavailable, ErrUnavailable},
		{"rejected", startServer(t, respondWith(400, `{"error":"etcdserver: request is too large","code":3}`)), ErrRejected, ErrRejected},
		{"no lease", startServer(t, respondWith(404, `{"error":"etcdserver: requested lease not found","code":5}`)), ErrLeaseNotFound, ErrLeaseNotFound},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, err := NewClient(Options{Endpoints: []string{tc.addr}, Timeout: 100 * time.Millisecond})
			if err != nil {
				t.Fatal(err)
			}
			if _, err := c.Txn(t.Context(), Txn{Success: []Op{Put("k", nil)}}); !errors.Is(err, tc.write) {
				t.Errorf("write: got %v, want %v", err, tc.write)
			}
			if _, _, err := c.Get(t.Context(), "k"); !errors.Is(err, tc.read) {
				t.Errorf("read: got %v, want %v", err, tc.read)
			}
		})
	}
}

// Guards against repeating a write at a second endpoint after the first endpoint may have applied it.
func TestFailoverNeverRepeatsSentWrites(t *testing.T) {
	good := startServer(t, respondWith(200, `{"header":{"cluster_id":"7","revision":"3"},"succeeded":true}`))
	lost := startServer(t, func(ctx *fasthttp.RequestCtx) { _ = ctx.Conn().Close() })
	for _, tc := range []struct {
		first       string
		write, read error
	}{
		{unreachableAddr(t), nil, nil},
		{lost, ErrUnknown, nil},
	} {
		c, err := NewClient(Options{Endpoints: []string{tc.first, good}, Timeout: time.Second})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.Txn(t.Context(), Txn{}); !errors.Is(err, tc.write) {
			t.Errorf("write: got %v, want %v", err, tc.write)
		}
		if _, _, err := c.Get(t.Context(), "k"); !errors.Is(err, tc.read) {
			t.Errorf("read: got %v, want %v", err, tc.read)
		}
	}
}

// Guards against deviations from the published JSON encoding: 64-bit integers are strings, bytes are base64,
// and fields with zero values are omitted.
func TestJSONEncoding(t *testing.T) {
	var got string
	addr := startServer(t, func(ctx *fasthttp.RequestCtx) {
		got = string(ctx.PostBody())
		ctx.SetBodyString(`{"header":{"cluster_id":"14841639068965178418","member_id":"10276657743932975437","revision":"12","raft_term":"2"},` +
			`"kvs":[{"key":"cC9h","create_revision":"2","mod_revision":"9","version":"3","value":"eA==","lease":"7587"}],"more":true,"count":"4"}`)
	})
	c, err := NewClient(Options{Endpoints: []string{addr}, Prefix: "p/"})
	if err != nil {
		t.Fatal(err)
	}
	r, err := c.Range(context.Background(), RangeRequest{Prefix: "a", MinModRevision: 5, Limit: 1, Serializable: true})
	if err != nil {
		t.Fatal(err)
	}
	if want := `{"key":"cC9h","range_end":"cC9i","limit":"1","min_mod_revision":"5","serializable":true}`; got != want {
		t.Errorf("request %s, want %s", got, want)
	}
	p := r.Pairs[0]
	if r.Revision != 12 || r.ClusterID != 14841639068965178418 || !r.More || p.Key != "a" || string(p.Value) != "x" || p.ModRevision != 9 || p.Lease != 7587 {
		t.Errorf("response decoded as %+v, want the values of the sent JSON", r)
	}
}
