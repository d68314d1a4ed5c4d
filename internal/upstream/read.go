package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/valyala/fasthttp"

	"github.com/foxtailpass/foxtailpass/internal/httphead"
)

const (
	// maxInterimAnswers bounds the answers with status 1xx before the final one.
	maxInterimAnswers = 16
	// maxTrailerLines bounds the lines after the last chunk.
	maxTrailerLines = 64
)

var errUnbounded = errors.New("upstream: answer exceeds its size limits")

// readFinalHead reads the head of an answer. It skips the heads of interim answers.
func readFinalHead(r *bufio.Reader, h *fasthttp.ResponseHeader) error {
	for range maxInterimAnswers + 1 {
		if err := httphead.Read(r, h); err != nil {
			return err
		}
		if h.StatusCode() >= fasthttp.StatusOK {
			return nil
		}
	}
	return errUnbounded
}

// readAnswer reads an answer whose body has at most maxBody bytes. If resp.StreamBody is set, the body is left unread.
func readAnswer(r *bufio.Reader, resp *fasthttp.Response, maxBody int) error {
	if err := readFinalHead(r, &resp.Header); err != nil {
		return err
	}
	if resp.SkipBody || hasNoBody(resp.StatusCode()) {
		return nil
	}
	if err := resp.ReadBody(r, maxBody); err != nil {
		return err
	}
	if resp.Header.ContentLength() == chunkedLength && !resp.StreamBody {
		return skipTrailer(r)
	}
	return nil
}

// chunkedLength is the content length that the HTTP library reports for a body in chunks.
const chunkedLength = -1

// hasNoBody reports whether answers with a status never have a body.
func hasNoBody(status int) bool {
	return status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// skipTrailer reads and discards the fields after the last chunk.
func skipTrailer(r *bufio.Reader) error {
	for range maxTrailerLines {
		line, err := r.ReadSlice('\n')
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			return nil
		}
		if err := httphead.CheckField(line); err != nil {
			return err
		}
	}
	return errUnbounded
}
