package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http/httputil"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/foxtailpass/foxtailpass/internal/entity"
)

const (
	// maxInlineBody is the largest request body in bytes that is written before reading the answer. A longer
	// body is written concurrently.
	maxInlineBody = 8 << 10
	// uploadEndTimeout bounds the wait for the end of the request when the connection has ended behind an answer. An
	// upstream that has answered early may still read the rest.
	uploadEndTimeout = time.Second
	// maxStrayAnswers bounds the answers to other requests that an exchange skips before it fails.
	maxStrayAnswers = 3
	// keepAliveMargin is how long before the idle timeout announced by the upstream a connection is discarded.
	keepAliveMargin = time.Second
	// maxIdleForNotRepeatable is the longest idle time after which a pooled connection is still used for a
	// request that must not be repeated. The longer a connection is idle, the likelier the upstream is closing
	// it.
	maxIdleForNotRepeatable = 500 * time.Millisecond
	// maxSkippedBody is the largest body in bytes of an answer to another request that is skipped.
	maxSkippedBody = 16 << 20
)

// ErrAnswerTimeout is wrapped in a Failure when a byte of the request was sent, but sending the rest or reading
// the header of the answer timed out.
var ErrAnswerTimeout = errors.New("upstream: no answer in time")

// ExchangeOptions configures one attempt. The request is already encoded by the caller.
type ExchangeOptions struct {
	Addr string
	// Head is the request line and the header, including the empty line at its end.
	Head []byte
	// Body is the request body, which is sent after Head.
	Body []byte
	// NoBody is set when the answer has no body, as for HEAD requests.
	NoBody bool
	// NotRepeatable is set for a request that must not be repeated. It is sent only on a new connection or on
	// one that has been idle for less than maxIdleForNotRepeatable.
	NotRepeatable bool
	// SingleUse is set if answers to the request cannot be told from others. It is sent on a new connection, which is used
	// for nothing else.
	SingleUse bool
	// DialTimeout bounds the time to establish a connection; zero means one second. HeadTimeout bounds the
	// time to read the header of the answer, counted from when the request has been written, or only Head if the
	// body is longer than maxInlineBody. If HeadTimeout is zero, only Deadline applies.
	DialTimeout time.Duration
	HeadTimeout time.Duration
	// Deadline ends the exchange; zero means no deadline.
	Deadline time.Time
	// Allowed, if not nil, is called just before the first byte is written. If it returns false, nothing is
	// sent and the exchange fails.
	Allowed func() bool
	// IsStray, if not nil, reports whether an answer belongs to another request and must be skipped.
	IsStray func(h *fasthttp.ResponseHeader) bool
}

// Exchange is an attempt whose answer header has been read. The caller must release it with Close. It must be
// used by one goroutine only, except that Abort may be called concurrently.
type Exchange struct {
	client *Client
	conn   *conn
	addr   string
	// stop cancels the callback that aborts the exchange when the context ends. It returns false if the
	// callback has already started.
	stop func() bool
	// upload writes a request body that is longer than maxInlineBody.
	upload *upload
	// Header is the header of the answer.
	Header fasthttp.ResponseHeader
	// body reads the body of the answer, which has chunked encoding if chunked is set.
	body    io.Reader
	chunked bool
	// bodyErr is the error with which the body has ended: io.EOF if it has been read completely.
	bodyErr error
	// bodyBytes is the number of bytes of the body that have been read, and bodyLimit the largest one, zero for none.
	bodyBytes, bodyLimit int64
	singleUse            bool
	// unframed is set when the body has neither a length nor chunked encoding: the end of the connection is the
	// end of the body.
	unframed bool
}

// Exchange sends a request and reads the header of the answer. All errors are of type *Failure. An answer with
// an error status is not an error.
func (c *Client) Exchange(ctx context.Context, o ExchangeOptions) (*Exchange, error) {
	cn, err := c.pool.getForExchange(ctx, o)
	if err != nil {
		return nil, &Failure{Outcome: entity.AttemptNotRun, Reason: "connect", Unreachable: ctx.Err() == nil, Err: err}
	}
	cn.limitReads(0, time.Time{})
	e := &Exchange{client: c, conn: cn, addr: o.Addr, singleUse: o.SingleUse}
	// An answer without a media type must not look as if it had one.
	e.Header.SetNoDefaultContentType(true)
	e.stop = context.AfterFunc(ctx, e.Abort)
	_ = cn.SetDeadline(o.Deadline)
	if err := e.exchange(o); err != nil {
		e.Close()
		return nil, err
	}
	return e, nil
}

// Abort closes the connection. This ends the exchange and signals the upstream to stop the request.
func (e *Exchange) Abort() { _ = e.conn.Close() }

// exchange writes the request and reads the header of the answer.
func (e *Exchange) exchange(o ExchangeOptions) error {
	if o.Allowed != nil && !o.Allowed() {
		return &Failure{Outcome: entity.AttemptNotRun, Reason: "no_longer_allowed"}
	}
	if err := e.send(o); err != nil {
		return e.failure("send", err)
	}
	if o.HeadTimeout > 0 {
		if limit := time.Now().Add(o.HeadTimeout); o.Deadline.IsZero() || limit.Before(o.Deadline) {
			_ = e.conn.SetReadDeadline(limit)
		}
	}
	if err := e.readHead(o); err != nil {
		return e.failure("read", err)
	}
	_ = e.conn.SetReadDeadline(o.Deadline)
	return nil
}

// send writes the request. A body longer than maxInlineBody is written by another goroutine. That goroutine
// bypasses conn.Write, because bytesWritten is not safe for concurrent use and is already positive.
func (e *Exchange) send(o ExchangeOptions) error {
	if len(o.Body) <= maxInlineBody {
		_, err := e.conn.Write(append(o.Head, o.Body...))
		return err
	}
	if _, err := e.conn.Write(o.Head); err != nil {
		return err
	}
	e.upload = startUpload(e.conn.Conn, o.Body)
	return nil
}

// readHead reads the header of the answer. It skips interim answers and answers to other requests.
func (e *Exchange) readHead(o ExchangeOptions) error {
	for stray := 0; ; {
		if err := readFinalHead(e.conn.r, &e.Header); err != nil {
			return err
		}
		e.prepareBody(o.NoBody)
		if o.IsStray == nil || !o.IsStray(&e.Header) {
			return nil
		}
		stray++
		e.client.Mismatched.Add(1)
		if stray > maxStrayAnswers || e.unframed {
			return errors.New("upstream: answer belongs to another request")
		}
		if err := e.skipBody(); err != nil {
			return err
		}
	}
}

// skipBody reads and discards the body of an answer to another request.
func (e *Exchange) skipBody() error {
	n, err := io.Copy(io.Discard, io.LimitReader(e, maxSkippedBody+1))
	if err == nil && n > maxSkippedBody {
		err = errUnbounded
	}
	return err
}

// prepareBody sets the reader of the body according to the framing in the header.
func (e *Exchange) prepareBody(noBody bool) {
	length := e.Header.ContentLength()
	e.chunked, e.unframed, e.bodyErr = false, false, nil
	switch {
	case noBody || hasNoBody(e.Header.StatusCode()):
		e.body = bytes.NewReader(nil)
	case length >= 0:
		e.body = &exactReader{r: e.conn.r, remaining: int64(length)}
	case length == chunkedLength:
		e.chunked = true
		e.body = httputil.NewChunkedReader(e.conn.r)
	default:
		e.unframed = true
		e.body = e.conn.r
	}
}

// exactReader reads a body of a known length. It returns io.ErrUnexpectedEOF if the connection ends earlier.
type exactReader struct {
	r         *bufio.Reader
	remaining int64
}

func (x *exactReader) Read(p []byte) (int, error) {
	if x.remaining == 0 {
		return 0, io.EOF
	}
	if int64(len(p)) > x.remaining {
		p = p[:x.remaining]
	}
	n, err := x.r.Read(p)
	x.remaining -= int64(n)
	if errors.Is(err, io.EOF) && x.remaining > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// Read implements io.Reader for the body. It returns io.EOF only after the whole body has been read. Every error but a timeout is
// final: all further reads return it.
func (e *Exchange) Read(p []byte) (int, error) {
	if e.bodyErr != nil {
		return 0, e.bodyErr
	}
	n, err := e.read(p)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		e.bodyErr = err
	}
	return n, err
}

func (e *Exchange) read(p []byte) (int, error) {
	n, err := e.body.Read(p)
	e.bodyBytes += int64(n)
	if e.bodyLimit > 0 && e.bodyBytes > e.bodyLimit {
		return 0, errUnbounded
	}
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if e.chunked {
		if terr := skipTrailer(e.conn.r); terr != nil {
			return n, terr
		}
	}
	if e.unframed && !e.endOfConnectionIsEndOfBody() {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// endOfConnectionIsEndOfBody reports whether the end of the connection, which has been read, proves that an unframed body is
// complete. It does not if the request was not written to its end: the kernel reports a reset of the connection to one system
// call only, and when the write gets it, a read finds a proper end. Nor does it if the process of the upstream has ended.
func (e *Exchange) endOfConnectionIsEndOfBody() bool {
	e.upload.await(uploadEndTimeout)
	return e.upload.complete() && !e.client.HasEnded(context.Background(), e.addr)
}

// LimitBody bounds the body of the answer to a number of bytes. Reading more is an error.
func (e *Exchange) LimitBody(bytes int64) { e.bodyBytes, e.bodyLimit = 0, bytes }

// Unframed reports whether the end of the connection is the end of the body.
func (e *Exchange) Unframed() bool { return e.unframed }

// firstBodyBuffer is the size in bytes of the first buffer for a body.
const firstBodyBuffer = 4 << 10

// ReadUpTo reads the body into memory while it is not longer than limit bytes and mayKeep allows the size of the buffer.
// whole reports whether the body has been read completely; otherwise Read continues after it.
func (e *Exchange) ReadUpTo(limit int, mayKeep func(size int) bool) (body []byte, whole bool, err error) {
	body = make([]byte, 0, firstBodyBuffer)
	for {
		n, err := e.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, true, nil
		}
		if err != nil {
			return nil, false, err
		}
		if len(body) < cap(body) {
			continue
		}
		size := 2 * cap(body)
		if size > limit || !mayKeep(size) {
			return body, false, nil
		}
		body = append(make([]byte, 0, size), body...)
	}
}

// SetReadDeadline sets the deadline of the following reads of the body. It replaces ExchangeOptions.Deadline,
// which the caller must enforce from then on.
func (e *Exchange) SetReadDeadline(at time.Time) { _ = e.conn.SetReadDeadline(at) }

// failure wraps an I/O error. The outcome is AttemptNotRun if no byte of the request was written, and
// AttemptUnknown otherwise. In the second case, ErrAnswerTimeout replaces the error of an exceeded deadline.
func (e *Exchange) failure(reason string, err error) *Failure {
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	if e.conn.bytesWritten == 0 {
		return &Failure{Outcome: entity.AttemptNotRun, Reason: reason, Err: err}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = ErrAnswerTimeout
	}
	return &Failure{Outcome: entity.AttemptUnknown, Reason: reason, Err: err}
}

// Close ends the exchange. The connection is returned to the pool only when the whole request has been
// written, the whole answer has been read, and no further bytes have been received on it.
func (e *Exchange) Close() {
	stopped := e.stop()
	reuse := errors.Is(e.bodyErr, io.EOF) && stopped && !e.singleUse && !e.unframed && !e.Header.ConnectionClose() && e.conn.r.Buffered() == 0 && e.upload.complete()
	idle := e.idleLimitFromHeader()
	if !reuse || idle <= 0 {
		_ = e.conn.Close()
		return
	}
	e.conn.idleLimit = idle
	e.client.pool.put(e.addr, e.conn)
}

// idleLimitFromHeader returns how long the connection may be idle: the shorter of idleTimeout and, if the answer
// has a Keep-Alive header with a timeout, that timeout minus keepAliveMargin. The result may be negative.
func (e *Exchange) idleLimitFromHeader() time.Duration {
	v := string(e.Header.Peek("Keep-Alive"))
	for _, field := range strings.Split(v, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
			return min(time.Duration(s)*time.Second-keepAliveMargin, idleTimeout)
		}
	}
	return idleTimeout
}
