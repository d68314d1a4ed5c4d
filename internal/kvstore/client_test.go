package kvstore

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// answering serves one fixed answer on every path.
func answering(t *testing.T, h fasthttp.RequestHandler) string {
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

func closedAddr(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

func status(code int, body string) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		ctx.SetStatusCode(code)
		ctx.SetBodyString(body)
	}
}

// Guards against a write that may have been applied being reported as certainly not applied,
// and against needless read-backs when it certainly was not.
func TestErrorMapping(t *testing.T) {
	hang := func(ctx *fasthttp.RequestCtx) { time.Sleep(300 * time.Millisecond) }
	for _, tc := range []struct {
		name        string
		addr        string
		write, read error
	}{
		{"refused", closedAddr(t), ErrUnavailable, ErrUnavailable},
		{"timeout", answering(t, hang), ErrUnknown, ErrUnavailable},
		{"closed", answering(t, func(ctx *fasthttp.RequestCtx) { _ = ctx.Conn().Close() }), ErrUnknown, ErrUnavailable},
		{"broken", answering(t, status(200, `{"header":`)), ErrUnknown, ErrUnavailable},
		{"raft timeout", answering(t, status(503, `{"error":"etcdserver: request timed out","code":14}`)), ErrUnknown, ErrUnavailable},
		{"no leader", answering(t, status(503, `{"error":"etcdserver: no leader","code":14}`)), ErrUnavailable, ErrUnavailable},
		{"rate limit", answering(t, status(429, `{"error":"etcdserver: too many requests","code":8}`)), ErrUnavailable, ErrUnavailable},
		{"rejected", answering(t, status(400, `{"error":"etcdserver: request is too large","code":3}`)), ErrRejected, ErrRejected},
		{"no lease", answering(t, status(404, `{"error":"etcdserver: requested lease not found","code":5}`)), ErrLeaseNotFound, ErrLeaseNotFound},
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

// Guards against a write being repeated at a second endpoint after it may have been applied.
func TestEndpointsInTurn(t *testing.T) {
	good := answering(t, status(200, `{"header":{"cluster_id":"7","revision":"3"},"succeeded":true}`))
	lost := answering(t, func(ctx *fasthttp.RequestCtx) { _ = ctx.Conn().Close() })
	for _, tc := range []struct {
		first       string
		write, read error
	}{
		{closedAddr(t), nil, nil},
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

// Guards against deviations from the published JSON form: strings for 64-bit integers, base64
// for bytes, absent zero fields.
func TestWireForm(t *testing.T) {
	var got string
	addr := answering(t, func(ctx *fasthttp.RequestCtx) {
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
		t.Errorf("answer decoded as %+v", r)
	}
}
