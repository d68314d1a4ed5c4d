package httphead

import (
	"bufio"
	"errors"
	"io"
	"os"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/valyala/fasthttp"
)

// malformedHeads are heads that HTTP/1.1 does not allow.
var malformedHeads = []string{
	"HTTP/1.1 000 OK\r\n\r\n",
	"HTTP/1.1 000\r\n\r\n",
	"\r\nHTTP/1.1 000 OK\r\n\r\n",
	"HTTP/1.1 000 OK\n\n",
	"HTTP/1.1 099 Processing\r\n\r\n",
	"HTTP/1.1 101 Switching Protocols\r\n\r\n",
	"HTTP/1.1 600 OK\r\n\r\n",
	"HTTP/1.1 2O0 OK\r\n\r\n",
	"HTTP/1.1 20 OK\r\n\r\n",
	"HTTP/1.1 0200 OK\r\n\r\n",
	"HTTP/1.1 -20 OK\r\n\r\n",
	"HTTP/1.1\r\n\r\n",
	"HTTP/2.0 200 OK\r\n\r\n",
	"HTTP/0.9 200 OK\r\n\r\n",
	"http/1.1 200 OK\r\n\r\n",
	"HTTP/1.1x 200 OK\r\n\r\n",
	"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	"HTTP/1.0 200 OK\r\ntransfer-encoding : chunked\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX Odd: 1\r\n\r\n",
	"HTTP/1.1 200 OK\nX Odd: 1\n\n",
	"HTTP/1.1 200 OK\r\nX-Odd: 1\r\nContent -Length: 3\r\n\r\n",
	"HTTP/1.1 200 OK\r\n X-Odd: 1\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX-Odd: 1\r\n X-Even: 2\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX-Odd: 1\r\n\tX-Even: 2\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX\tOdd: 1\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX\x00Odd: 1\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX\rOdd: 1\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX\x7fOdd: 1\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX\x80Odd: 1\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX(Odd): 1\r\n\r\n",
	"HTTP/1.1 200 OK\r\n: 1\r\n\r\n",
	"HTTP/1.1 200 OK\r\n : 1\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX-Odd\r\n\r\n",
	"HTTP/1.1 200 OK\r\nHTTP/1.1 500 Internal Server Error\r\n\r\n",
}

// readers are the ways in which the bytes of a head arrive.
var readers = map[string]func(io.Reader) io.Reader{
	"at once":      func(r io.Reader) io.Reader { return r },
	"byte by byte": iotest.OneByteReader,
	"with EOF":     iotest.DataErrReader,
}

// Guards against a malformed head that is accepted, in whatever pieces it arrives.
func TestMalformedHeadIsRefused(t *testing.T) {
	for _, head := range malformedHeads {
		for name, reader := range readers {
			var h fasthttp.ResponseHeader
			if err := Read(bufio.NewReader(reader(strings.NewReader(head))), &h); !errors.Is(err, ErrMalformed) {
				t.Errorf("%s: %q was read with error %v, want that it is malformed", name, head, err)
			}
		}
	}
}

// Guards against logs that fill with the bytes of a replica in trouble.
func TestErrorQuotesBeginningOfLine(t *testing.T) {
	for _, head := range []string{strings.Repeat("x", 4000) + "\r\n", "HTTP/1.1 200 OK\r\n" + strings.Repeat("x y", 1000) + "\r\n"} {
		var h fasthttp.ResponseHeader
		err := Read(bufio.NewReader(strings.NewReader(head)), &h)
		if !errors.Is(err, ErrMalformed) || len(err.Error()) > 200 {
			t.Errorf("error %v of %d bytes; want a short one", err, len(err.Error()))
		}
	}
}

// Guards against a sound head that is refused, or read too far.
func TestSoundHeadIsRead(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nX-Odd: 1\r\n\r\n",
		"HTTP/1.1 204\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\n",
		"HTTP/1.1 599 \r\nX-Odd:\r\n\r\n",
		"\r\n\r\nHTTP/1.1 200 OK\r\nX-Odd: 1\r\n\r\n",
		"HTTP/1.0 200 OK\r\nX-Odd : 1\r\n\r\n",
	} {
		for name, reader := range readers {
			const next = "body\r\n\r\n"
			r := bufio.NewReader(reader(strings.NewReader(head + next)))
			var h fasthttp.ResponseHeader
			if err := Read(r, &h); err != nil {
				t.Errorf("%s: %q: %v", name, head, err)
				continue
			}
			if rest, err := io.ReadAll(r); err != nil || string(rest) != next {
				t.Errorf("%s: after %q comes %q, error %v; want the body", name, head, rest, err)
			}
		}
	}
}

// Guards against a head that ends early being taken for a whole one.
func TestCutHeadIsRefused(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Odd: 1\r\nContent-Length: 0\r\n\r\n"
	for n := range len(head) {
		for name, reader := range readers {
			var h fasthttp.ResponseHeader
			err := Read(bufio.NewReader(reader(strings.NewReader(head[:n]))), &h)
			want := io.ErrUnexpectedEOF
			if n == 0 {
				want = io.EOF
			}
			if !errors.Is(err, want) {
				t.Errorf("%s: %q was read with error %v, want %v", name, head[:n], err, want)
			}
		}
	}
}

// Guards against a deadline that passes inside a head being reported as something else, and against reading on after it.
func TestTimeoutInHead(t *testing.T) {
	for _, begun := range []string{"H", "HTTP/1.1 200 OK\r\nX-Odd: 1\r\n"} {
		r := io.MultiReader(strings.NewReader(begun), iotest.ErrReader(os.ErrDeadlineExceeded), strings.NewReader("\r\n\r\n"))
		var h fasthttp.ResponseHeader
		if err := Read(bufio.NewReader(r), &h); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("after %q: error %v, want an exceeded deadline", begun, err)
		}
	}
	var h fasthttp.ResponseHeader
	if err := Read(bufio.NewReader(iotest.ErrReader(os.ErrDeadlineExceeded)), &h); !errors.Is(err, fasthttp.ErrTimeout) {
		t.Errorf("without a byte: error %v, want a timeout", err)
	}
}

// Guards against a head without end that is read beyond the buffer.
func TestLongHeadIsRefused(t *testing.T) {
	for _, piece := range []string{"a", "A: b\r\n"} {
		r := strings.NewReader("HTTP/1.1 200 OK\r\n" + strings.Repeat(piece, 1<<16))
		var h fasthttp.ResponseHeader
		if err := Read(bufio.NewReader(r), &h); !errors.Is(err, bufio.ErrBufferFull) {
			t.Errorf("%q without end: error %v, want that it does not fit", piece, err)
		}
	}
}
