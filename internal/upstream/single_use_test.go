package upstream

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// Guards against a late or repeated answer being taken for that to another request without an ID: on a connection that
// carried several of them, nothing tells their answers apart.
func TestSingleUseConnections(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	used := make(map[string]int)
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		mu.Lock()
		defer mu.Unlock()
		used[ctx.RemoteAddr().String()]++
	}}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = ln.Close() })
	c := NewClient()
	for _, single := range []bool{false, true, true, false} {
		o := ExchangeOptions{Addr: ln.Addr().String(), Head: []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), SingleUse: single, Deadline: time.Now().Add(2 * time.Second)}
		ex, err := c.Exchange(t.Context(), o)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadAll(ex); err != nil {
			t.Fatal(err)
		}
		ex.Close()
	}
	mu.Lock()
	defer mu.Unlock()
	if len(used) != 3 {
		t.Errorf("requests by connection %v, want one connection for each request without an ID, and one for the others", used)
	}
}
