package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// Headers of the protocol towards upstreams.
const (
	// RequestIDHeader is echoed by upstreams; an answer with another ID belongs to another request.
	RequestIDHeader = "X-Request-Id"
	// EngineRanHeader and ServiceRanHeader carry "no" when the upstream did not run the request.
	EngineRanHeader  = "X-Engine-Ran"
	ServiceRanHeader = "X-Service-Ran"
)

const (
	// maxWholeAnswer bounds an answer that is not streamed.
	maxWholeAnswer = 16 << 20
	// cancelTimeout bounds the order to an engine to stop a request.
	cancelTimeout = time.Second
	// finishTimeout bounds the wait for the end of a body whose content is complete.
	finishTimeout = 50 * time.Millisecond
)

// Failure describes an attempt that did not bring an answer.
type Failure struct {
	Outcome entity.Outcome
	// Reason is the upstream's code, or a short description.
	Reason string
	// Unreachable says that no connection could be made.
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

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// Client sends requests to upstreams. It is safe for concurrent use.
type Client struct {
	pool *connPool
	// Mismatched counts answers that carried the ID of another request.
	Mismatched atomic.Int64
}

// NewClient returns a client without connections.
func NewClient() *Client { return &Client{pool: newConnPool()} }

// CloseIdle closes idle connections to addresses for which keep returns false.
func (c *Client) CloseIdle(keep func(addr string) bool) { c.pool.closeIdle(keep) }

// Call is one attempt. The caller must end it with Close.
type Call struct {
	client *Client
	conn   *conn
	addr   string
	stop   func() bool
	// Response holds the status and header, and the body unless the call is streamed.
	Response *fasthttp.Response
	body     io.Reader
	complete bool
}

// Options of one call.
type Options struct {
	// Addr is host:port of the upstream.
	Addr string
	// RequestID is sent and must be echoed.
	RequestID entity.RequestID
	// Fresh demands a new connection, so that a failure to connect proves that nothing ran.
	Fresh bool
	// Stream leaves the body to be read from Body.
	Stream bool
	// Deadline ends the call.
	Deadline time.Time
	// ReadIdleTimeout ends the call when no byte of the answer has come for so long; zero means Deadline.
	ReadIdleTimeout time.Duration
	// Allowed is asked when the connection stands, just before the first byte is written; the
	// call is not made when it returns false. May be nil.
	Allowed func() bool
}

// Do sends the request and reads the answer, or its header if it is streamed. When ctx ends,
// the connection is closed and the call fails. A *Failure is returned for everything that is
// not an answer to this request; an answer with an error status is an answer.
func (c *Client) Do(ctx context.Context, req *fasthttp.Request, o Options) (*Call, error) {
	cn, err := c.pool.get(ctx, o.Addr, o.Fresh)
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
	// The answer to HEAD announces a body that never comes.
	call.Response.SkipBody = req.Header.IsHead()
	if err := call.Response.ReadLimitBody(cn.r, maxWholeAnswer); err != nil {
		return call.failure("read", err)
	}
	if o.RequestID != "" && string(call.Response.Header.Peek(RequestIDHeader)) != string(o.RequestID) {
		call.client.Mismatched.Add(1)
		return &Failure{Outcome: entity.AttemptUnknown, Reason: "mismatched_answer"}
	}
	if o.Stream {
		call.body = call.Response.BodyStream()
		return nil
	}
	call.complete = true
	return nil
}

// failure types an I/O error by whether a byte has left this host.
func (call *Call) failure(reason string, err error) *Failure {
	if call.conn.written == 0 {
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

// Finish closes a streamed call whose end marker has been read. It waits only a short time for the
// end of the body, which lets the connection be used again: the answer is whole already.
func (call *Call) Finish() {
	_ = call.conn.SetReadDeadline(time.Now().Add(finishTimeout))
	var b [16]byte
	_, _ = call.Read(b[:])
	call.Close()
}

// Close ends the call. The connection is kept only when the whole answer has been read, so
// that a late answer can never be taken for the answer to a later request.
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

// Cancel asks an engine to stop a request. It is best effort: the closed connection tells the
// engine as well.
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
