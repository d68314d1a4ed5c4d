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
	// backgroundBody is the size from which a body is written beside the reading of the answer: an
	// upstream may answer before it has read a long body.
	backgroundBody = 8 << 10
	// strayAnswers bounds the answers to other requests that are passed over on one connection.
	strayAnswers = 3
	// interimAnswers bounds the answers of status 1xx before the final one, trailerLines the lines after the
	// last chunk.
	interimAnswers = 16
	trailerLines   = 64
	// keepAliveMargin is how long before the upstream's own idle timeout a connection is given up.
	keepAliveMargin = time.Second
	// freshFor is how long after its last answer a kept connection may carry a request that must
	// not be repeated.
	freshFor = 500 * time.Millisecond
	// maxBuffered bounds an answer that is read whole.
	maxBuffered = 16 << 20
)

// ErrSilent is the cause of a Failure when the header of the answer did not arrive in time.
var ErrSilent = errors.New("upstream: no answer in time")

var errEndless = errors.New("upstream: answer without end")

// ExchangeOptions describes one attempt whose request has been written out by the caller.
type ExchangeOptions struct {
	Addr string
	// Head is the request line and header with its empty line, Body what follows.
	Head []byte
	Body []byte
	// NoBody says that the answer has no body, as to HEAD.
	NoBody bool
	// Once says that the request must not be repeated, so that it is given only to a new
	// connection or to one that was in use just now.
	Once bool
	// DialTimeout bounds the time until a connection stands, HeadTimeout that until the header of
	// the answer has been read; zero means Deadline.
	DialTimeout time.Duration
	HeadTimeout time.Duration
	// Deadline ends the exchange.
	Deadline time.Time
	// Allowed is asked just before the first byte is written. May be nil.
	Allowed func() bool
	// Stray says whether an answer belongs to another request and is to be passed over.
	Stray func(h *fasthttp.ResponseHeader) bool
}

// Exchange is an attempt whose answer has begun. The caller must end it with Close. It belongs to
// one goroutine, except that Abort may be called from any.
type Exchange struct {
	client *Client
	conn   *conn
	addr   string
	stop   func() bool
	sent   chan error
	// Header is the header of the answer.
	Header   fasthttp.ResponseHeader
	body     io.Reader
	chunked  bool
	complete bool
	unframed bool
}

// Exchange sends a request and reads the header of the answer. It returns a *Failure for
// everything that is not an answer to this request.
func (c *Client) Exchange(ctx context.Context, o ExchangeOptions) (*Exchange, error) {
	cn, err := c.pool.take(ctx, o.Addr, o.Once, o.DialTimeout)
	if err != nil {
		return nil, &Failure{Outcome: entity.AttemptNotRun, Reason: "connect", Unreachable: ctx.Err() == nil, Err: err}
	}
	cn.limitReads(0, time.Time{})
	e := &Exchange{client: c, conn: cn, addr: o.Addr}
	e.stop = context.AfterFunc(ctx, e.Abort)
	_ = cn.SetDeadline(o.Deadline)
	if err := e.exchange(o); err != nil {
		e.Close()
		return nil, err
	}
	return e, nil
}

// Abort closes the connection, which ends the exchange and tells the upstream to stop.
func (e *Exchange) Abort() { _ = e.conn.Close() }

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

func (e *Exchange) send(o ExchangeOptions) error {
	if len(o.Body) <= backgroundBody {
		_, err := e.conn.Write(append(o.Head, o.Body...))
		return err
	}
	if _, err := e.conn.Write(o.Head); err != nil {
		return err
	}
	e.sent = make(chan error, 1)
	go func() {
		_, err := e.conn.Conn.Write(o.Body)
		e.sent <- err
	}()
	return nil
}

// readHead reads headers until the final one of this request's answer.
func (e *Exchange) readHead(o ExchangeOptions) error {
	for stray, interim := 0, 0; ; {
		if err := e.Header.Read(e.conn.r); err != nil {
			return err
		}
		status := e.Header.StatusCode()
		if status < fasthttp.StatusOK {
			if interim++; interim > interimAnswers {
				return errEndless
			}
			continue
		}
		e.prepareBody(o.NoBody)
		if o.Stray == nil || !o.Stray(&e.Header) {
			return nil
		}
		stray++
		e.client.Mismatched.Add(1)
		if stray > strayAnswers || e.unframed {
			return errors.New("answers of other requests")
		}
		if err := e.skipBody(); err != nil {
			return err
		}
		e.complete = false
	}
}

// skipBody passes over the body of an answer to another request.
func (e *Exchange) skipBody() error {
	n, err := io.Copy(io.Discard, io.LimitReader(e, maxBuffered+1))
	if err == nil && n > maxBuffered {
		err = errEndless
	}
	return err
}

func (e *Exchange) prepareBody(noBody bool) {
	status := e.Header.StatusCode()
	length := e.Header.ContentLength()
	e.chunked, e.unframed = false, false
	switch {
	case noBody || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified:
		e.body = bytes.NewReader(nil)
	case length >= 0:
		e.body = &exactReader{r: e.conn.r, left: int64(length)}
	case length == -1:
		e.chunked = true
		e.body = httputil.NewChunkedReader(e.conn.r)
	default:
		e.unframed = true
		e.body = e.conn.r
	}
}

// exactReader returns io.ErrUnexpectedEOF when the body is shorter than announced.
type exactReader struct {
	r    *bufio.Reader
	left int64
}

func (x *exactReader) Read(p []byte) (int, error) {
	if x.left == 0 {
		return 0, io.EOF
	}
	if int64(len(p)) > x.left {
		p = p[:x.left]
	}
	n, err := x.r.Read(p)
	x.left -= int64(n)
	if errors.Is(err, io.EOF) && x.left > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// Read implements io.Reader over the body. It returns io.EOF only after the whole body.
func (e *Exchange) Read(p []byte) (int, error) {
	n, err := e.body.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if e.chunked {
		if terr := e.skipTrailer(); terr != nil {
			return n, terr
		}
	}
	e.complete = true
	return n, err
}

// skipTrailer reads the lines after the last chunk.
func (e *Exchange) skipTrailer() error {
	for range trailerLines {
		line, err := e.conn.r.ReadSlice('\n')
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return nil
		}
	}
	return errEndless
}

// Whole reads the rest of the body.
func (e *Exchange) Whole() ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(e, maxBuffered+1))
	if err == nil && len(b) > maxBuffered {
		err = errors.New("upstream: answer too large")
	}
	return b, err
}

// SetReadTimeout bounds the next reads of the body; the exchange's own deadline is the caller's
// business from then on.
func (e *Exchange) SetReadTimeout(at time.Time) { _ = e.conn.SetReadDeadline(at) }

// failure types an I/O error by whether a byte has left this host.
func (e *Exchange) failure(reason string, err error) *Failure {
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	if e.conn.written == 0 {
		return &Failure{Outcome: entity.AttemptNotRun, Reason: reason, Err: err}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = ErrSilent
	}
	return &Failure{Outcome: entity.AttemptUnknown, Reason: reason, Err: err}
}

// Close ends the exchange. The connection is kept only when request and answer are whole and
// nothing else has arrived on it.
func (e *Exchange) Close() {
	stopped := e.stop()
	reuse := e.complete && stopped && !e.unframed && !e.Header.ConnectionClose() && e.conn.r.Buffered() == 0 && e.bodySent()
	idle := e.keepFor()
	if !reuse || idle <= 0 {
		_ = e.conn.Close()
		return
	}
	e.conn.idleFor = idle
	e.client.pool.put(e.addr, e.conn)
}

// bodySent says whether the request has been written out.
func (e *Exchange) bodySent() bool {
	if e.sent == nil {
		return true
	}
	select {
	case err := <-e.sent:
		return err == nil
	default:
		return false
	}
}

// keepFor returns how long the connection may stay idle.
func (e *Exchange) keepFor() time.Duration {
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
