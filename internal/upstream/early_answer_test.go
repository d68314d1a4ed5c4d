package upstream

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/foxtailpass/foxtailpass/internal/standin/earlyanswer"
)

const (
	// uploadBytes is the length of a request body that a client usually still writes when its answer arrives. The buffers of
	// the kernel may take it at once.
	uploadBytes = 4_000_000
	// unbufferedBytes is the length of a request body that is longer than the send buffer of a connection can grow.
	unbufferedBytes = 32 << 20
	// answerPart is a part of an answer.
	answerPart = "part"
	// answerPause is the time in which a client reads an answer while it still writes the request.
	answerPause = 20 * time.Millisecond
	// earlyDeadline is the deadline of the requests.
	earlyDeadline = 10 * time.Second
	// earlyTries is how often a request is sent that is answered early: whether a write or a read finds a reset is a race.
	earlyTries = 8
)

// unframedHeads are the heads of answers that end with their connection.
var unframedHeads = map[string]string{
	"HTTP 1.1":        "HTTP/1.1 200 OK\r\n\r\n",
	"HTTP 1.1, close": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
	"HTTP 1.0":        "HTTP/1.0 200 OK\r\n\r\n",
}

// exchangeUpload sends a body of a length and reads the answer.
func exchangeUpload(t *testing.T, addr string, length int) (body string, err error) {
	t.Helper()
	ex, err := NewClient().Exchange(t.Context(), ExchangeOptions{
		Addr:     addr,
		Head:     fmt.Appendf(nil, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", length),
		Body:     make([]byte, length),
		Deadline: time.Now().Add(earlyDeadline),
	})
	if err != nil {
		return "", err
	}
	defer ex.Close()
	b, err := io.ReadAll(ex)
	return string(b), err
}

// Guards against a part of an answer that is taken for the whole because its connection was reset while the request was written:
// the kernel reports a reset once, here to the write, and the read then finds a proper end (issue 61, MIXED).
func TestResetDuringUploadIsNoEndOfAnswer(t *testing.T) {
	for name, head := range unframedHeads {
		for _, part := range []string{"", answerPart, strings.Repeat(answerPart, 128<<10)} {
			for _, ending := range []earlyanswer.Ending{earlyanswer.Reset, earlyanswer.Close} {
				for _, delay := range []time.Duration{0, answerPause} {
					t.Run(fmt.Sprintf("%s/%d bytes/%s after %v", name, len(part), ending, delay), func(t *testing.T) {
						t.Parallel()
						addr := earlyanswer.Serve(t, earlyanswer.Answer{Text: head + part, Ending: ending, Delay: delay})
						for range earlyTries {
							if body, err := exchangeUpload(t, addr, uploadBytes); err == nil {
								t.Errorf("%d bytes of an answer look like the whole", len(body))
							}
						}
					})
				}
			}
		}
	}
}

// Guards against a part of an answer that is taken for the whole because its connection was reset, whatever the length of the
// request and whichever way it is sent.
func TestResetIsNoEndOfAnswer(t *testing.T) {
	for name, head := range unframedHeads {
		for _, length := range []int{0, 100, maxInlineBody + 1, 300_000, uploadBytes} {
			for _, ending := range []earlyanswer.Ending{earlyanswer.Reset, earlyanswer.Close} {
				if ending == earlyanswer.Close && length < uploadBytes {
					// No byte may be left unread, and the connection ends properly then.
					continue
				}
				t.Run(fmt.Sprintf("%s/%d bytes/%s", name, length, ending), func(t *testing.T) {
					t.Parallel()
					addr := earlyanswer.Serve(t, earlyanswer.Answer{Text: head + answerPart, Ending: ending, Delay: answerPause})
					for range earlyTries {
						if body, err := exchangeUpload(t, addr, length); err == nil {
							t.Errorf("exchange: %q looks like the whole answer", body)
						}
						for _, stream := range []bool{false, true} {
							if body, err := callUpload(t, addr, length, stream); err == nil {
								t.Errorf("call, stream %t: %q looks like the whole answer", stream, body)
							}
						}
					}
				})
			}
		}
	}
}

// callUpload calls with a body of a length and reads the answer.
func callUpload(t *testing.T, addr string, length int, stream bool) (body string, err error) {
	t.Helper()
	req := getRequest(addr)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBody(make([]byte, length))
	call, err := NewClient().Do(t.Context(), req, Options{Addr: addr, Stream: stream, Deadline: time.Now().Add(earlyDeadline)})
	if err != nil {
		return "", err
	}
	defer call.Close()
	if !stream {
		return string(call.Response.Body()), nil
	}
	b, err := io.ReadAll(call.Body())
	return string(b), err
}

// Guards against an answer with a length or chunks being lost because the upstream does not read the request to its end.
func TestFramedEarlyAnswerArrives(t *testing.T) {
	const body = "refused"
	for name, rest := range map[string]string{
		"length": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body),
		"chunks": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
	} {
		for _, ending := range []earlyanswer.Ending{earlyanswer.Reset, earlyanswer.Close, earlyanswer.HalfClose, earlyanswer.HalfCloseUnread} {
			t.Run(fmt.Sprintf("%s/%s", name, ending), func(t *testing.T) {
				t.Parallel()
				addr := earlyanswer.Serve(t, earlyanswer.Answer{Text: "HTTP/1.1 413 Content Too Large\r\n" + rest, Ending: ending, Delay: answerPause})
				for range earlyTries {
					if got, err := exchangeUpload(t, addr, uploadBytes); err != nil || got != body {
						t.Errorf("body %q, error %v; want the whole answer", got, err)
					}
				}
			})
		}
	}
}

// Guards against an answer that ends with its connection being lost although the upstream has read the whole request, and against
// one that counts as whole, or keeps its caller waiting, although the request could not be written to its end.
func TestUnframedEarlyAnswerIsWholeIfRequestWasWritten(t *testing.T) {
	const body = "refused"
	for name, head := range unframedHeads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr := earlyanswer.Serve(t, earlyanswer.Answer{Text: head + body, Ending: earlyanswer.HalfClose})
			for range earlyTries {
				if got, err := exchangeUpload(t, addr, uploadBytes); err != nil || got != body {
					t.Errorf("the request was read: body %q, error %v; want the whole answer", got, err)
				}
			}
			addr = earlyanswer.Serve(t, earlyanswer.Answer{Text: head + body, Ending: earlyanswer.HalfCloseUnread})
			began := time.Now()
			if got, err := exchangeUpload(t, addr, unbufferedBytes); err == nil {
				t.Errorf("the request was not written to its end: %q counts as the whole answer", got)
			}
			if waited := time.Since(began); waited > earlyDeadline/2 {
				t.Errorf("the request was not written to its end: the exchange failed after %v only", waited)
			}
		})
	}
}
