package edge

import (
	"fmt"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/foxtailpass/foxtailpass/internal/boottime"
	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/dispatch"
	"github.com/foxtailpass/foxtailpass/internal/upstream"
)

// Guards against slow but working streams that are interrupted: a stream whose upstream paused for a second
// was given up and started again at the same upstream, and was then given up permanently.
func TestSilentStreamMovesOnlyToAnotherUpstream(t *testing.T) {
	route := &catalog.Route{Resumable: true, MaxAttempts: 2, MaxFirstEventWait: 10 * time.Second}
	for _, c := range []struct {
		name    string
		route   *catalog.Route
		step    step
		limited bool
		least   time.Duration
	}{
		{"another upstream", route, step{alternatives: 2}, true, eventTimeout},
		{"no other upstream", route, step{}, true, 5 * time.Second},
		{"last attempt", route, step{lastAttempt: true, alternatives: 2}, false, 0},
		{"not resumable", &catalog.Route{MaxAttempts: 2}, step{alternatives: 2}, false, 0},
	} {
		limit, limited := silenceTimeout(c.route, c.step, true)
		if limited != c.limited || limit < c.least || limit >= route.MaxFirstEventWait {
			t.Errorf("%s: limit %v, limited %v; want the values of the case and a limit below MaxFirstEventWait", c.name, limit, limited)
		}
	}
}

// serveStream answers every connection with the head of a stream and one event, and then calls write.
func serveStream(t *testing.T, write func(net.Conn)) string {
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
			go func() {
				defer func() { _ = c.Close() }()
				_, _ = c.Read(make([]byte, 4096))
				_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\nid: 1\ndata: x\n\n")
				write(c)
			}()
		}
	}()
	return ln.Addr().String()
}

// openStream begins a resumable stream that another upstream could resume.
func openStream(t *testing.T, addr string) *eventStream {
	t.Helper()
	ex, err := upstream.NewClient().Exchange(t.Context(), upstream.ExchangeOptions{
		Addr: addr, Head: []byte("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"), Deadline: time.Now().Add(20 * time.Second)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(ex.Close)
	now := boottime.Now()
	s := &requestSession{frontend: &frontend{log: slog.New(slog.DiscardHandler)}, ctx: &fasthttp.RequestCtx{}, arrived: now,
		route:   &catalog.Route{Kind: catalog.Streaming, Resumable: true, MaxAttempts: 2, MaxFirstEventWait: 10 * time.Second},
		request: &dispatch.Request{Deadline: now.Add(20 * time.Second)}}
	e := &eventStream{requestSession: s, ex: ex, step: step{alternatives: 1}, anySent: true}
	if err := e.fill(); err != nil {
		t.Fatal(err)
	}
	e.buf, e.readyLen = e.buf[:0], 0
	return e
}

// Guards against stalled streams that never end because a single byte arrives periodically: each byte
// restarted the wait for the next event.
func TestSingleBytesDoNotKeepStalledStream(t *testing.T) {
	e := openStream(t, serveStream(t, func(c net.Conn) {
		for {
			if _, err := c.Write([]byte("d")); err != nil {
				return
			}
			time.Sleep(200 * time.Millisecond)
		}
	}))
	began := time.Now()
	if err := e.fill(); err == nil {
		t.Fatal("an event was read from single bytes")
	}
	if took := time.Since(began); took < eventTimeout-50*time.Millisecond || took > 2*eventTimeout {
		t.Errorf("given up after %s, want about %s", took, eventTimeout)
	}
}

// Guards against slow but working streams that are interrupted: each whole event must restart the wait. A stream whose
// server was itself kept from running, so that it paused longer than a stream may, proves nothing and is read again.
func TestSlowStreamIsNotInterrupted(t *testing.T) {
	const attempts = 5
	for range attempts {
		longestPause, err := readSlowStream(t)
		if err == nil {
			return
		}
		if longestPause < eventTimeout {
			t.Fatalf("the stream was interrupted although its longest pause was %v: %v", longestPause, err)
		}
		t.Logf("the server paused for %v: %v", longestPause, err)
	}
	t.Fatalf("the server paused too long in %d streams", attempts)
}

// readSlowStream reads a stream with pauses of 0.8 s between whole events. It returns the longest pause that the server
// made, and the error that interrupted the stream.
func readSlowStream(t *testing.T) (longestPause time.Duration, err error) {
	pauses := make(chan time.Duration, 8)
	e := openStream(t, serveStream(t, func(c net.Conn) {
		last := time.Now()
		for i := 2; i < 6; i++ {
			time.Sleep(700 * time.Millisecond)
			_, _ = fmt.Fprintf(c, "id: %d\n", i)
			time.Sleep(100 * time.Millisecond)
			_, _ = fmt.Fprint(c, "data: x\n\n")
			pauses <- time.Since(last)
			last = time.Now()
		}
		close(pauses)
	}))
	for i := 2; i < 6 && err == nil; i++ {
		if err = e.fill(); err != nil {
			err = fmt.Errorf("event %d: %w", i, err)
		}
		e.buf, e.readyLen = e.buf[:0], 0
	}
	for pause := range pauses {
		longestPause = max(longestPause, pause)
	}
	return longestPause, err
}

// Guards against whole events being taken for unfinished ones because of the ends of their lines.
func TestWholeEvents(t *testing.T) {
	for stream, want := range map[string]int{
		"":                           0,
		"data: x":                    0,
		"data: x\n":                  0,
		"data: x\n\n":                9,
		"data: x\n\ndata: y\n":       9,
		"data: x\r\n\r\n":            11,
		"data: x\n\r\ndata: y":       10,
		"data: x\r\rdata: y\r":       9,
		"data: x\n\ndata: y\r\n\r\n": 20,
		"data: x\n\n\n":              10,
	} {
		if got := wholeEvents([]byte(stream)); got != want {
			t.Errorf("%q: %d bytes of whole events, want %d", stream, got, want)
		}
	}
}
