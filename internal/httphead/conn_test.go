package httphead

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/valyala/fasthttp"
)

// exchange writes a request to a Conn and reads the answer, which the peer writes in pieces, as the HTTP library does.
func exchange(t *testing.T, answer string, pieceBytes int) (*fasthttp.Response, error) {
	t.Helper()
	client, server := net.Pipe()
	c := NewConn(client)
	t.Cleanup(func() { _ = c.Close() })
	go func() {
		defer func() { _ = server.Close() }()
		_, _ = server.Read(make([]byte, 1024))
		for b := []byte(answer); len(b) > 0; b = b[min(len(b), pieceBytes):] {
			if _, err := server.Write(b[:min(len(b), pieceBytes)]); err != nil {
				return
			}
		}
	}()
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	var resp fasthttp.Response
	err := resp.Read(bufio.NewReader(c))
	return &resp, err
}

// Guards against a malformed head that reaches the HTTP library as a whole, in whatever pieces it arrives, also behind an interim
// answer.
func TestConnRefusesMalformedHead(t *testing.T) {
	for _, begin := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nX-Odd: 1\r\n\r\n"} {
		for _, head := range malformedHeads {
			for _, pieceBytes := range []int{1, 7, 1000} {
				// The library reports an error of the first read of an answer as io.EOF.
				if _, err := exchange(t, begin+head, pieceBytes); !errors.Is(err, ErrMalformed) && !errors.Is(err, io.EOF) {
					t.Errorf("%q in pieces of %d bytes: error %v, want that it is malformed", begin+head, pieceBytes, err)
				}
			}
		}
	}
}

// Guards against a body that is taken for a head, and a sound answer that is refused.
func TestConnPassesSoundAnswers(t *testing.T) {
	const body = "HTTP/1.1 000 OK\r\nX Odd\r\n\r\nX Even"
	answer := fmt.Sprintf("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Odd : 1\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	for _, pieceBytes := range []int{1, 7, 1000} {
		resp, err := exchange(t, answer, pieceBytes)
		if err != nil || string(resp.Body()) != body {
			t.Errorf("in pieces of %d bytes: body %q, error %v; want the whole body", pieceBytes, resp.Body(), err)
		}
	}
}
