package edge

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/foxtailpass/foxtailpass/internal/accept"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/membudget"
)

const (
	// smallBody is the length in bytes up to which the body of a request may use the memory that large messages leave free.
	smallBody = 64 << 10
	// pooledBody is the length of the buffers for short bodies, which further requests use again. Their garbage would make
	// the runtime collect more often: without the pool, requests of 4 KB cost 12 % more processor time. Bodies up to this
	// length are written to an upstream before its answer is read, so no one uses them after the request.
	pooledBody = 8 << 10
	// firstBodyBuffer is the length of the first buffer of a body in chunks.
	firstBodyBuffer = 4 << 10
	// headCopies is how often the bytes of a head are in memory: as received, as parsed, and as sent to an upstream, whose
	// buffer may have grown to twice its length.
	headCopies = 4
	// manyFields is the number of fields from which the arrays of a parsed head are not used for further requests.
	manyFields = 256
	// parseGarbage is the garbage of parsing a head with many fields, as a multiple of what the parsed head occupies: its
	// arrays grow step by step.
	parseGarbage = 2
)

// shortBodies holds buffers of pooledBody bytes.
var shortBodies = sync.Pool{New: func() any { return new([pooledBody]byte) }}

// callerListener wraps the connections of a guard.
type callerListener struct {
	*accept.Guard
	frontend *frontend
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Guard.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Guarded: conn.(*accept.Guarded), frontend: l.frontend}, nil
}

// callerConn is a caller's connection that can be watched while its request is served. The HTTP server reads
// a connection only between requests, so it cannot detect that a caller has left. If the watch reads a byte
// of a pipelined request, the next Read returns that byte to the server.
type callerConn struct {
	*accept.Guarded
	frontend     *frontend
	pipelined    [1]byte
	hasPipelined bool
	// hasManyFields is set if the arrays of the parsed head are too large to be kept for further requests.
	hasManyFields bool
	// headBytes is the memory of the parsed head and trailers.
	headBytes int64
	// shortBody is the buffer of the request's body if that is short.
	shortBody *[pooledBody]byte
	// outOfMemory is set when there was no memory for the request.
	outOfMemory bool
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	if c.hasPipelined && len(p) > 0 {
		c.hasPipelined = false
		p[0] = c.pipelined[0]
		return 1, nil
	}
	n, err := c.Guarded.Read(p)
	if errors.Is(err, accept.ErrNoMemory) {
		c.outOfMemory = true
	}
	return n, err
}

// SetReadDeadline implements net.Conn. The server sets the deadlines of its constants, which are extended if the
// configuration gives callers more time.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	cat := c.frontend.catalog.Load()
	if cat == nil || cat.IdleTimeout <= idleTimeout && cat.HeaderTimeout <= readTimeout {
		return c.Guarded.SetReadDeadline(t)
	}
	switch left := time.Until(t); {
	case left > readTimeout:
		t = t.Add(max(cat.IdleTimeout-idleTimeout, 0))
	case left > 0:
		t = t.Add(max(cat.HeaderTimeout-readTimeout, 0))
	}
	return c.Guarded.SetReadDeadline(t)
}

// outOfMemory reports whether there was no memory for the request of a connection.
func outOfMemory(c net.Conn) bool {
	conn, ok := c.(*callerConn)
	return ok && (conn.outOfMemory || conn.Revoked())
}

// watchForClose calls onClose if the caller closes the connection before stop is called. Nothing else may
// read the connection in between.
func (c *callerConn) watchForClose(onClose func()) (stop func()) {
	if c.hasPipelined || c.Guarded.SetReadDeadline(time.Time{}) != nil {
		return func() {}
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		n, err := c.Guarded.Conn.Read(c.pipelined[:])
		switch {
		case n > 0:
			c.hasPipelined = true
		case err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
			onClose()
		}
	}()
	return func() {
		// A deadline in the past ends the read at once.
		_ = c.Guarded.SetReadDeadline(time.Unix(1, 0))
		<-done
		_ = c.Guarded.SetReadDeadline(time.Time{})
	}
}

// headSize returns the memory that a parsed head occupies, and the number of its parts: lines, cookies and parts of lists
// cost memory of their own, however short they are.
func headSize(h *fasthttp.RequestHeader) (size int64, parts int) {
	raw := h.RawHeaders()
	for _, b := range raw {
		if b == '\n' || b == ';' || b == ',' {
			parts++
		}
	}
	return headCopies*int64(len(raw)+len(h.RequestURI())) + accept.FieldBytes*int64(parts), parts
}

// readRequest reads the body of a request within the memory of the process and makes it the body of ctx.Request. It reports
// whether the request may be served; otherwise the refusal has been written.
func (f *frontend) readRequest(ctx *fasthttp.RequestCtx) (ok bool) {
	defer func() {
		if cause := recover(); cause != nil {
			f.log.Error("Reading of a request ended by a panic.", "cause", cause, "stack", string(debug.Stack()))
			ctx.Response.Reset()
			ctx.SetStatusCode(fasthttp.StatusInternalServerError)
			ctx.SetConnectionClose()
			ok = false
		}
	}()
	conn, _ := ctx.Conn().(*callerConn)
	if conn == nil {
		return true
	}
	size, parts := headSize(&ctx.Request.Header)
	conn.hasManyFields, conn.headBytes = parts > manyFields, size
	r := bodyReader{conn: conn, head: size, owner: f.owner(ctx)}
	err := r.read(ctx)
	if conn.hasManyFields {
		f.memory.Discard(parseGarbage * conn.headBytes)
	}
	if err == nil && !conn.Serve() {
		err = accept.ErrNoMemory
	}
	if err == nil {
		return true
	}
	conn.outOfMemory = conn.outOfMemory || errors.Is(err, accept.ErrNoMemory)
	ctx.Request.ResetBody()
	f.handleReadError(ctx, err)
	ctx.SetConnectionClose()
	return false
}

// owner returns who shares the memory of large requests with others: the workspace of the request's key. It is empty if all
// requests belong to the same.
func (f *frontend) owner(ctx *fasthttp.RequestCtx) string {
	cat := f.catalog.Load()
	// A request without a body has a negative length, like one in chunks.
	if n := ctx.Request.Header.ContentLength(); cat == nil || !ctx.Request.IsBodyStream() || n >= 0 && n <= smallBody || len(cat.Workspaces()) < 2 {
		return ""
	}
	if w := cat.Key(f.protocol.Describe(&ctx.Request.Header).Key); w != nil {
		return string(w.ID)
	}
	return "unknown"
}

// bodyReader reads the body of one request.
type bodyReader struct {
	conn  *callerConn
	head  int64
	owner string
	large *membudget.Reservation
	body  []byte
}

// grow makes room for a body of the given length.
func (r *bodyReader) grow(length int) error {
	ok := false
	if length <= smallBody {
		ok = r.conn.Reserve(r.head + int64(length+len(r.body)))
	} else {
		if r.large == nil {
			r.large = r.conn.ReserveLarge(r.owner)
		}
		// While the body is copied, both buffers are in use.
		ok = r.large.GrowTo(int64(length + len(r.body)))
	}
	if !ok {
		return accept.ErrNoMemory
	}
	if length <= pooledBody && r.body == nil {
		r.conn.shortBody = shortBodies.Get().(*[pooledBody]byte)
		r.body = r.conn.shortBody[:0]
		return nil
	}
	r.body = append(make([]byte, 0, length), r.body...)
	if length > smallBody {
		r.large.ShrinkTo(int64(length))
	}
	return nil
}

// read reads the body.
func (r *bodyReader) read(ctx *fasthttp.RequestCtx) error {
	if !r.conn.Reserve(r.head) {
		return accept.ErrNoMemory
	}
	if !ctx.Request.IsBodyStream() {
		return nil
	}
	length := ctx.Request.Header.ContentLength()
	if length > maxBodyBytes {
		return fasthttp.ErrBodyTooLarge
	}
	err := r.readStream(ctx.RequestBodyStream(), length)
	if err != nil {
		return err
	}
	ctx.Request.SetBodyRaw(r.body)
	if length >= 0 {
		return nil
	}
	trailers := 0
	for range ctx.Request.Header.Trailers() {
		trailers++
	}
	if trailers == 0 {
		return nil
	}
	r.conn.hasManyFields = r.conn.hasManyFields || trailers > manyFields
	r.conn.headBytes += 2 * accept.FieldBytes * int64(trailers)
	if !r.conn.Reserve(r.conn.headBytes + int64(min(cap(r.body), smallBody))) {
		return accept.ErrNoMemory
	}
	return nil
}

// readStream reads a body of a length, or one in chunks if the length is negative.
func (r *bodyReader) readStream(stream io.Reader, length int) error {
	if length >= 0 {
		if err := r.grow(length); err != nil {
			return err
		}
		n, err := io.ReadFull(stream, r.body[:length])
		r.body = r.body[:n]
		if errors.Is(err, io.EOF) && n < length {
			return io.ErrUnexpectedEOF
		}
		return err
	}
	for {
		if len(r.body) == cap(r.body) {
			if err := r.grow(min(max(2*cap(r.body), firstBodyBuffer), maxBodyBytes+1)); err != nil {
				return err
			}
		}
		n, err := stream.Read(r.body[len(r.body):cap(r.body)])
		r.body = r.body[:len(r.body)+n]
		switch {
		case len(r.body) > maxBodyBytes:
			return fasthttp.ErrBodyTooLarge
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// requestEnded returns the memory of a request that has been answered. useful reports whether the request was for a route
// and had a key.
func (c *callerConn) requestEnded(useful bool) {
	c.outOfMemory = false
	if c.shortBody != nil {
		shortBodies.Put(c.shortBody)
		c.shortBody = nil
	}
	c.MessageEnded(useful)
	if c.hasManyFields {
		c.frontend.memory.Discard(c.headBytes)
	}
}

// limitRequest implements fasthttp.Server.HeaderReceived. Of a body over the limit, a byte is read, not the first buffer.
func limitRequest(h *fasthttp.RequestHeader) (c fasthttp.RequestConfig) {
	if h.ContentLength() > maxBodyBytes {
		c.MaxRequestBodySize = 1
	}
	return c
}

// busyRefusal is sent to a caller whose connection is not accepted. Nothing of its request has been read.
var busyRefusal = refusalBytes(entity.Refusal{Status: fasthttp.StatusServiceUnavailable, Code: "too_many_connections", RetryAfter: startingRetryAfter})

// refusalBytes returns the answer of a refusal with which the connection ends. It contains no date.
func refusalBytes(r entity.Refusal) []byte {
	var resp fasthttp.Response
	writeRefusal(&resp, r)
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Type: %s\r\nRetry-After: %s\r\nContent-Length: %d\r\n\r\n%s", r.Status,
		fasthttp.StatusMessage(r.Status), resp.Header.ContentType(), resp.Header.Peek(fasthttp.HeaderRetryAfter), len(resp.Body()), resp.Body())
}
