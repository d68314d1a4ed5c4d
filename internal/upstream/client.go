package upstream

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// HTTP headers of the protocol between hosts and upstreams.
const (
	// RequestIDHeader carries the request ID, which the upstream repeats in its answer. An answer with a
	// different ID belongs to another request.
	RequestIDHeader = "X-Request-Id"
	// EngineRanHeader and ServiceRanHeader are "no" when the upstream did not run the request.
	EngineRanHeader  = "X-Engine-Ran"
	ServiceRanHeader = "X-Service-Ran"
)

const (
	// maxWholeAnswer is the largest accepted body of an answer that is not streamed, in bytes.
	maxWholeAnswer = 16 << 20
	// cancelTimeout bounds the call that asks an engine to stop a request.
	cancelTimeout = time.Second
	// finishTimeout bounds the wait for the end of the HTTP body after the end marker of a stream has been
	// read.
	finishTimeout = 50 * time.Millisecond
	// endCheckTimeout bounds the check whether the process of an upstream has ended.
	endCheckTimeout = 250 * time.Millisecond
)

// Failure is the error of an attempt that failed: no answer was received, or the answer was incomplete, exceeded a
// size limit or belonged to another request. Other packages also return it for an answer that they do not accept.
type Failure struct {
	Outcome entity.Outcome
	// Reason is the error code of the upstream, or a short code for the step or check that failed, such as
	// "connect" or "mismatched_answer".
	Reason string
	// Unreachable is set when no connection could be established although the context had not ended.
	Unreachable bool
	Err         error
}

// Error implements error.
func (f *Failure) Error() string {
	if f.Err != nil {
		return fmt.Sprintf("%s: %v", f.Reason, f.Err)
	}
	return f.Reason
}

// Unwrap returns the wrapped error.
func (f *Failure) Unwrap() error { return f.Err }

// Client sends requests to upstreams. It is safe for concurrent use.
type Client struct {
	pool *connPool
	// Mismatched counts the received answers that belong to another request.
	Mismatched atomic.Int64
}

// NewClient returns a client with an empty connection pool.
func NewClient() *Client { return &Client{pool: newConnPool()} }

// CloseIdle closes the idle connections to all addresses for which keep returns false.
func (c *Client) CloseIdle(keep func(addr string) bool) { c.pool.closeIdle(keep) }

// HasEnded reports whether the process of the upstream at an address has ended: its machine refuses connections then,
// but not to a process that is frozen, cut off or busy. A connection that is established is kept for the next request.
func (c *Client) HasEnded(ctx context.Context, addr string) bool {
	cn, err := dial(ctx, addr, endCheckTimeout)
	if err == nil {
		c.pool.put(addr, cn)
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// Call is one attempt whose answer has been read, or only the header of the answer if the call is streamed. The
// caller must release it with Close.
type Call struct {
	client *Client
	conn   *conn
	addr   string
	// stop cancels the callback that closes the connection when the context ends. It returns false if the
	// callback has already started.
	stop func() bool
	// Response holds the status and the header, and also the body if the call is not streamed.
	Response *fasthttp.Response
	// body is the unread body of a streamed call; nil otherwise.
	body io.Reader
	// complete is set when the whole answer has been read.
	complete bool
}

// Options configures one call.
type Options struct {
	// Addr is the host:port of the upstream.
	Addr string
	// RequestID is sent with the request and must be repeated in the answer; empty disables the check.
	RequestID entity.RequestID
	// ForceNewConnection prevents the use of a pooled connection. The upstream may close a pooled connection
	// while the request is being written, and it is then unknown whether the request ran. A failure to connect
	// proves that the request did not run.
	ForceNewConnection bool
	// Stream leaves the body unread; the caller reads it from Call.Body.
	Stream bool
	// Deadline is when the call fails if its answer has not been read completely; zero means no deadline.
	Deadline time.Time
	// ReadIdleTimeout ends the call when no byte of the answer has been received for this long. Zero means
	// that only Deadline applies.
	ReadIdleTimeout time.Duration
	// MaxAnswer is the largest accepted body of an answer that is not streamed, in bytes; zero means maxWholeAnswer.
	MaxAnswer int
	// Allowed, if not nil, is called after the connection is established, just before the first byte is
	// written. If it returns false, nothing is sent and the call fails.
	Allowed func() bool
}

// Do sends the request and reads the answer, or only its header if the call is streamed. When ctx ends, the
// connection is closed and the call fails. All errors are of type *Failure. An answer with an error status is
// not an error.
func (c *Client) Do(ctx context.Context, req *fasthttp.Request, o Options) (*Call, error) {
	cn, err := c.pool.get(ctx, o.Addr, o.ForceNewConnection)
	if err != nil {
		return nil, &Failure{Outcome: entity.AttemptNotRun, Reason: "connect", Unreachable: ctx.Err() == nil, Err: err}
	}
	call := &Call{client: c, conn: cn, addr: o.Addr, Response: fasthttp.AcquireResponse()}
	call.stop = context.AfterFunc(ctx, func() { _ = cn.Close() })
	if !o.Deadline.IsZero() {
		_ = cn.SetDeadline(o.Deadline)
	}
	cn.limitReads(o.ReadIdleTimeout, o.Deadline)
	if o.RequestID != "" {
		req.Header.Set(RequestIDHeader, string(o.RequestID))
	}
	if err := call.exchange(req, o); err != nil {
		call.Close()
		return nil, err
	}
	return call, nil
}

// exchange writes the request and reads the answer.
func (call *Call) exchange(req *fasthttp.Request, o Options) error {
	cn := call.conn
	if o.Allowed != nil && !o.Allowed() {
		return &Failure{Outcome: entity.AttemptNotRun, Reason: "no_longer_allowed"}
	}
	err := req.Write(cn.w)
	if err == nil {
		err = cn.w.Flush()
	}
	if err != nil {
		return call.failure("send", err)
	}
	call.Response.StreamBody = o.Stream
	// The answer to HEAD may have a Content-Length but has no body.
	call.Response.SkipBody = req.Header.IsHead()
	if err := readAnswer(cn.r, call.Response, cmp.Or(o.MaxAnswer, maxWholeAnswer)); err != nil {
		return call.failure("read", err)
	}
	if o.RequestID != "" && string(call.Response.Header.Peek(RequestIDHeader)) != string(o.RequestID) {
		call.client.Mismatched.Add(1)
		return &Failure{Outcome: entity.AttemptUnknown, Reason: "mismatched_answer"}
	}
	if o.Stream {
		call.body = bodyStream(call.Response)
		return nil
	}
	call.complete = true
	return nil
}

// bodyStream returns the unread body of an answer, which is empty if its status allows none.
func bodyStream(resp *fasthttp.Response) io.Reader {
	if body := resp.BodyStream(); body != nil {
		return body
	}
	return bytes.NewReader(nil)
}

// failure wraps an I/O error. The outcome is AttemptNotRun if no byte of the request was written, and
// AttemptUnknown otherwise.
func (call *Call) failure(reason string, err error) *Failure {
	if call.conn.bytesWritten == 0 {
		return &Failure{Outcome: entity.AttemptNotRun, Reason: reason, Err: err}
	}
	return &Failure{Outcome: entity.AttemptUnknown, Reason: reason, Err: err}
}

// Body returns the body of a streamed call. Reading it to io.EOF makes the connection reusable.
func (call *Call) Body() io.Reader { return call }

// Read implements io.Reader over the body of a streamed call.
func (call *Call) Read(p []byte) (int, error) {
	n, err := call.body.Read(p)
	if errors.Is(err, io.EOF) {
		call.complete = true
	}
	return n, err
}

// Finish closes a streamed call whose end marker has been read. The content is then complete, but the connection
// can be reused only if the end of the HTTP body has been read too. Finish waits for it at most finishTimeout.
func (call *Call) Finish() {
	_ = call.conn.SetReadDeadline(time.Now().Add(finishTimeout))
	var b [16]byte
	_, _ = call.Read(b[:])
	call.Close()
}

// Close ends the call. The connection is returned to the pool only when the whole answer has been read, so
// that a late answer is never attributed to a later request on the same connection.
func (call *Call) Close() {
	stopped := call.stop()
	reuse := call.complete && stopped && !call.Response.ConnectionClose()
	if !reuse {
		_ = call.conn.Close()
	}
	if call.body != nil {
		_ = call.Response.CloseBodyStream()
	}
	fasthttp.ReleaseResponse(call.Response)
	call.Response = nil
	if reuse {
		call.client.pool.put(call.addr, call.conn)
	}
}

// Cancel asks an engine to stop a request. It ignores errors, because the engine also stops when the
// connection of the request is closed.
func (c *Client) Cancel(addr string, id entity.RequestID) {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + addr + "/engine/v1/cancel")
	req.Header.SetContentType("application/json")
	req.SetBodyString(`{"request_id":"` + string(id) + `"}`)
	call, err := c.Do(ctx, req, Options{Addr: addr, Deadline: time.Now().Add(cancelTimeout)})
	if err == nil {
		call.Close()
	}
}
