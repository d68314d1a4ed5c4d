package upstream

import (
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/foxtailpass/foxtailpass/internal/command"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/httphead"
	"github.com/foxtailpass/foxtailpass/internal/httphead/headtest"
)

// malformedAnswer returns an answer whose body fits every kind of call.
func malformedAnswer(head string) string {
	const body = `{}`
	return fmt.Sprintf("%s%s: no\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", head, EngineRanHeader, len(body), body)
}

// Guards against an answer with a malformed head being taken for a success, or for word that the request has not run, by each
// of the ways to send a request (issue 52).
func TestMalformedHeadSaysNothing(t *testing.T) {
	for name, head := range headtest.Malformed {
		t.Run(name, func(t *testing.T) {
			client, addr := NewClient(), headtest.Serve(t, malformedAnswer(head))
			deadline := time.Now().Add(5 * time.Second)
			_, err := client.Exchange(t.Context(), ExchangeOptions{Addr: addr, Head: []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"), Deadline: deadline})
			checkMalformed(t, "exchange", err)
			for _, stream := range []bool{false, true} {
				_, err := client.Do(t.Context(), getRequest(addr), Options{Addr: addr, Deadline: deadline, Stream: stream})
				checkMalformed(t, fmt.Sprintf("call, stream %t", stream), err)
			}
			if _, err := client.State(t.Context(), addr, deadline); err == nil {
				t.Error("the answer was taken for a report")
			}
			if outcome, _ := client.SendOrder(t.Context(), addr, command.Order{}, deadline); outcome != command.OrderUnknown {
				t.Errorf("the outcome of an order is %v, want unknown", outcome)
			}
		})
	}
}

// checkMalformed checks that an attempt failed because of a malformed head and may have run.
func checkMalformed(t *testing.T, way string, err error) {
	t.Helper()
	var f *Failure
	if !errors.As(err, &f) || f.Outcome != entity.AttemptUnknown || !errors.Is(err, httphead.ErrMalformed) {
		t.Errorf("%s: error %v, want a failure that names a malformed head and an unknown outcome", way, err)
	}
}

func getRequest(addr string) *fasthttp.Request {
	var req fasthttp.Request
	req.SetRequestURI("http://" + addr + "/")
	return &req
}

// Guards against a malformed answer to another request being skipped, so that the answer after it is taken for that to the
// request (issue 52).
func TestMalformedStrayAnswerEndsExchange(t *testing.T) {
	for name, head := range headtest.Malformed {
		t.Run(name, func(t *testing.T) {
			const own = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown"
			addr := headtest.Serve(t, head+"Other: 1\r\nContent-Length: 0\r\n\r\n"+own)
			_, err := NewClient().Exchange(t.Context(), ExchangeOptions{
				Addr:     addr,
				Head:     []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
				Deadline: time.Now().Add(5 * time.Second),
				IsStray:  func(h *fasthttp.ResponseHeader) bool { return len(h.Peek("Other")) > 0 },
			})
			checkMalformed(t, "exchange", err)
		})
	}
}

// Guards against an answer in chunks that counts as complete although the lines after its last chunk are no fields, such as the
// head of another answer (issue 52).
func TestMalformedTrailerIsIncomplete(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n"
	for _, trailer := range []string{"HTTP/1.1 500 Internal Server Error\r\n\r\n", "X Odd: 1\r\n\r\n", "X-Odd\r\n\r\n", " X-Odd: 1\r\n\r\n"} {
		addr := headtest.Serve(t, head+trailer)
		if err := readWhole(t, addr); !errors.Is(err, httphead.ErrMalformed) {
			t.Errorf("exchange, %q: error %v, want that it is malformed", trailer, err)
		}
		checkBodyStaysBroken(t, addr)
		_, err := NewClient().Do(t.Context(), getRequest(addr), Options{Addr: addr, Deadline: time.Now().Add(5 * time.Second)})
		checkMalformed(t, fmt.Sprintf("call, %q", trailer), err)
	}
	addr := headtest.Serve(t, head+"X-Odd: 1\r\nX-Even : 2\r\n\r\n")
	if err := readWhole(t, addr); err != nil {
		t.Errorf("a proper trailer: %v", err)
	}
}

// checkBodyStaysBroken reads a malformed body on after its error.
func checkBodyStaysBroken(t *testing.T, addr string) {
	t.Helper()
	ex, err := NewClient().Exchange(t.Context(), ExchangeOptions{Addr: addr, Head: []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"), Deadline: time.Now().Add(5 * time.Second)})
	if err != nil {
		t.Fatal(err)
	}
	defer ex.Close()
	for range 2 {
		if _, err := io.Copy(io.Discard, ex); !errors.Is(err, httphead.ErrMalformed) {
			t.Errorf("reading a malformed body on gives error %v, want that it is malformed", err)
		}
	}
}
