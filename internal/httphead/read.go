// Package httphead reads the heads of HTTP answers strictly. The HTTP library accepts some heads that HTTP/1.1 does not allow:
// it takes the status 000 for 200, and accepts names of fields with a blank inside. Here such a head is an error.
package httphead

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"github.com/valyala/fasthttp"
)

// Read reads the head of one answer. It returns io.EOF if the connection ends before the first byte, and fasthttp.ErrTimeout
// if none arrives before the read deadline. A head must fit into the buffer of r.
func Read(r *bufio.Reader, h *fasthttp.ResponseHeader) error {
	var c checker
	for checked := 0; ; {
		b, err := peekBeyond(r, checked)
		if err != nil {
			return readError(err, checked == 0)
		}
		n, complete, err := c.feed(b[checked:])
		if err != nil {
			return err
		}
		if complete {
			return h.Read(r)
		}
		checked += n
	}
}

// peekBeyond returns all buffered bytes, which are more than n. It reads from the connection if necessary.
func peekBeyond(r *bufio.Reader, n int) ([]byte, error) {
	if _, err := r.Peek(n + 1); err != nil {
		return nil, err
	}
	return r.Peek(r.Buffered())
}

// readError returns the error of a head that could not be read completely, or of which nothing arrived.
func readError(err error, nothingRead bool) error {
	var timeout interface{ Timeout() bool }
	switch {
	case nothingRead && errors.As(err, &timeout) && timeout.Timeout():
		return fasthttp.ErrTimeout
	case nothingRead:
		return io.EOF
	case errors.Is(err, io.EOF):
		err = io.ErrUnexpectedEOF
	}
	return fmt.Errorf("read the head of an answer: %w", err)
}
