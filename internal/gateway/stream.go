package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/schedule"
	"github.com/foxtailpass/foxtailpass/internal/upstream"
)

const (
	// resumeAttempts bounds how often a broken stream is resumed at its engine.
	resumeAttempts = 3
	// resumePause separates the attempts to resume.
	resumePause = 20 * time.Millisecond
)

// errSlowCaller means that the caller did not take a part of the answer in time.
var errSlowCaller = errors.New("gateway: caller does not read")

// stream passes the events of one answer on.
type stream struct {
	g       *Gateway
	s       *session
	st      step
	id      entity.RequestID
	call    *upstream.Call
	events  *upstream.EventReader
	conn    net.Conn
	first   []byte
	count   int
	kept    bytes.Buffer
	started time.Time
}

// startStream reads the first event before the status is committed, so that a failure until then
// can still be retried.
func (g *Gateway) startStream(e *exchange, s *session, st step, id entity.RequestID, call *upstream.Call) (answered, streaming bool) {
	t := &stream{g: g, s: s, st: st, id: id, call: call, events: upstream.NewEventReader(call.Body()), conn: e.ctx.Conn(), started: e.now}
	data, done, err := t.read()
	if err != nil {
		call.Close()
		return g.attemptFailed(e, s, st, id, t.broken(err)), false
	}
	if !done {
		t.first = append([]byte(nil), data...)
	}
	g.opts.Metrics.FirstPart(time.Since(e.now))
	s.sent = true
	s.usedTokens = s.call.prompt
	copyAnswer(e.ctx, call.Response, id)
	e.ctx.Response.Header.Set("Cache-Control", "no-store")
	e.streamed = true
	e.ctx.SetBodyStreamWriter(func(w *bufio.Writer) { t.run(w, done) })
	return false, true
}

func (t *stream) broken(err error) error {
	return &upstream.Failure{Outcome: entity.AttemptUnknown, Reason: "stream_broken", Err: err}
}

// run writes the answer and reports its end.
func (t *stream) run(w *bufio.Writer, done bool) {
	code := t.copyEvents(w, done)
	t.g.closeSession(t.s)
	t.g.opts.Metrics.Request(t.s.routeLabel, fasthttp.StatusOK, code, time.Since(t.started))
	t.g.active.Add(-1)
}

// copyEvents returns the code of the error event that ended the stream, or empty.
func (t *stream) copyEvents(w *bufio.Writer, done bool) string {
	data := t.first
	var err error
	for !done {
		if err := t.write(w, data); err != nil {
			return t.callerGone()
		}
		data, done, err = t.next()
		if err != nil {
			return t.fail(w, err)
		}
	}
	return t.complete(w)
}

// next returns the next event and resumes the stream at its engine if it breaks.
func (t *stream) next() ([]byte, bool, error) {
	data, done, err := t.read()
	for i := 0; err != nil && i < resumeAttempts && t.s.ctx.Err() == nil; i++ {
		time.Sleep(resumePause)
		if t.resume() {
			data, done, err = t.read()
		}
	}
	return data, done, err
}

// errEngineEvent means that the engine ended the stream with an error event.
var errEngineEvent = errors.New("gateway: engine reported an error in the stream")

// read returns the next event of the current call.
func (t *stream) read() ([]byte, bool, error) {
	data, done, err := t.events.Next()
	if err == nil && bytes.HasPrefix(data, []byte(`{"error"`)) {
		return nil, false, errEngineEvent
	}
	return data, done, err
}

// resume asks the engine for the rest of the stream.
func (t *stream) resume() bool {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + t.st.addr + "/engine/v1/streams/" + string(t.id) + "?from=" + strconv.Itoa(t.count))
	call, err := t.g.opts.Upstreams.Do(t.s.ctx, req, upstream.Options{
		Addr:      t.st.addr,
		RequestID: t.id,
		Stream:    true,
		Deadline:  t.s.request.Deadline.Add(deadlineGrace),
	})
	if err != nil {
		return false
	}
	if !isEventStream(call.Response) {
		call.Close()
		return false
	}
	t.call.Close()
	t.call = call
	t.events = upstream.NewEventReader(call.Body())
	return true
}

func (t *stream) write(w *bufio.Writer, data []byte) error {
	t.count++
	t.s.streamUsage(data)
	t.keep(data)
	if t.conn != nil {
		_ = t.conn.SetWriteDeadline(time.Now().Add(t.g.opts.WriteTimeout))
	}
	_, _ = w.WriteString("data: ")
	_, _ = w.Write(data)
	_, _ = w.WriteString("\n\n")
	if t.events.More() {
		// Events that arrived together are passed on together: a write per event costs more than
		// everything else in a stream.
		return nil
	}
	if err := w.Flush(); err != nil {
		return errors.Join(errSlowCaller, err)
	}
	return nil
}

// keep collects the answer of a request whose result is stored.
func (t *stream) keep(data []byte) {
	if t.s.call.claimKey == "" || t.kept.Len() > maxErrorBody {
		return
	}
	t.kept.WriteString("data: ")
	t.kept.Write(data)
	t.kept.WriteString("\n\n")
}

const endMarker = "data: [DONE]\n\n"

func (t *stream) complete(w *bufio.Writer) string {
	t.finish()
	_, _ = w.WriteString(endMarker)
	if err := w.Flush(); err != nil {
		return "caller_gone"
	}
	return ""
}

// callerGone stops the engine's work for a caller that does not read any more.
func (t *stream) callerGone() string {
	if !t.s.call.idempotent {
		return t.finishUnread()
	}
	t.call.Close()
	t.g.endAttempt(t.s, schedule.AttemptResult{Request: t.s.request.ID, Outcome: entity.Canceled, Started: true})
	go t.g.opts.Upstreams.Cancel(t.st.addr, t.id)
	return "caller_gone"
}

// finishUnread reads the rest of an answer for its claim, because the caller may ask again
// under the same idempotency key.
func (t *stream) finishUnread() string {
	for {
		data, done, err := t.next()
		if err != nil {
			t.call.Close()
			t.g.endAttempt(t.s, failureResult(t.s, t.broken(err)))
			t.g.settleClaim(t.s, unknownRefusal())
			return "caller_gone"
		}
		if done {
			break
		}
		t.s.streamUsage(data)
		t.keep(data)
	}
	t.finish()
	return "caller_gone"
}

// finish reports a whole answer and stores it for its claim.
func (t *stream) finish() {
	contentType := string(t.call.Response.Header.ContentType())
	t.call.Finish()
	t.g.endAttempt(t.s, schedule.AttemptResult{Request: t.s.request.ID, Outcome: entity.Completed})
	t.kept.WriteString(endMarker)
	t.g.completeClaim(t.s, fasthttp.StatusOK, contentType, t.kept.Bytes())
}

// fail ends a broken or canceled stream with an error event. There is no end marker, so the
// caller can tell that the answer is not whole.
func (t *stream) fail(w *bufio.Writer, err error) string {
	t.call.Close()
	if t.s.ctx.Err() != nil {
		t.g.endAttempt(t.s, schedule.AttemptResult{Request: t.s.request.ID, Outcome: entity.Canceled, Started: true})
		go t.g.opts.Upstreams.Cancel(t.st.addr, t.id)
	} else {
		t.g.endAttempt(t.s, failureResult(t.s, t.broken(err)))
	}
	st, ok := t.s.next()
	refusal := st.refusal
	if !ok {
		refusal = unknownRefusal()
	}
	t.g.settleClaim(t.s, refusal)
	_, _ = w.Write(errorEvent(refusal))
	_ = w.Flush()
	return refusal.Code
}
