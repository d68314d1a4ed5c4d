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
	// resumeAttempts bounds the consecutive attempts to resume a broken stream, that is, to request the rest of its
	// events from the same engine.
	resumeAttempts = 3
	// resumePause is the delay before each attempt to resume.
	resumePause = 20 * time.Millisecond
)

// errCallerWrite means that an event could not be written to the caller, because the connection was closed or
// the caller did not read within WriteTimeout.
var errCallerWrite = errors.New("gateway: event not written to the caller")

// stream forwards the events of one streamed answer to the caller.
type stream struct {
	g *Gateway
	s *session
	// st is the step that dispatched the attempt, and id the request ID of the attempt.
	st step
	id entity.RequestID
	// call is the current upstream call, and events reads its events. A resumed stream has a new call.
	call   *upstream.Call
	events *upstream.EventReader
	// conn is the connection of the caller.
	conn net.Conn
	// firstEvent is the data of the first event, which is read before the status is sent; nil if the stream is empty.
	firstEvent []byte
	// eventCount is the number of events that were passed to writeEvent; resume requests the events after them.
	eventCount int
	// storedBody collects the answer of a request with an idempotency claim.
	storedBody bytes.Buffer
	started    time.Time
}

// startStream reads the first event and then starts to forward the stream. The status is sent to the caller only after
// the first event has been read, so that the request can still be retried after an earlier failure.
func (g *Gateway) startStream(e *exchange, s *session, st step, id entity.RequestID, call *upstream.Call) (answered, streaming bool) {
	t := &stream{g: g, s: s, st: st, id: id, call: call, events: upstream.NewEventReader(call.Body()), conn: e.ctx.Conn(), started: e.receivedAt}
	data, done, err := t.readEvent()
	if err != nil {
		call.Close()
		return g.attemptFailed(e, s, st, id, t.streamBroken(err)), false
	}
	if !done {
		t.firstEvent = append([]byte(nil), data...)
	}
	g.opts.Metrics.RecordFirstToken(time.Since(e.receivedAt))
	s.answerStarted = true
	s.usedTokens = s.call.prompt
	copyAnswer(e.ctx, call.Response, id)
	e.ctx.Response.Header.Set("Cache-Control", "no-store")
	e.streamed = true
	e.ctx.SetBodyStreamWriter(func(w *bufio.Writer) { t.run(w, done) })
	return false, true
}

// streamBroken wraps a read error as a failure with unknown outcome.
func (t *stream) streamBroken(err error) error {
	return &upstream.Failure{Outcome: entity.AttemptUnknown, Reason: "stream_broken", Err: err}
}

// run writes the answer, closes the session and counts the request in the metrics.
func (t *stream) run(w *bufio.Writer, done bool) {
	code := t.copyEvents(w, done)
	t.g.closeSession(t.s)
	t.g.opts.Metrics.CountRequest(t.s.routeLabel, fasthttp.StatusOK, code, time.Since(t.started))
	t.g.active.Add(-1)
}

// copyEvents writes all events to the caller. It returns the outcome of the request for the metrics: an error code if
// the caller did not receive the complete answer, empty otherwise.
func (t *stream) copyEvents(w *bufio.Writer, done bool) string {
	data := t.firstEvent
	var err error
	for !done {
		if err := t.writeEvent(w, data); err != nil {
			return t.handleCallerGone()
		}
		data, done, err = t.nextEvent()
		if err != nil {
			return t.endWithError(w, err)
		}
	}
	return t.endAnswer(w)
}

// nextEvent returns the next event. If the stream breaks, it first resumes the stream at its engine.
func (t *stream) nextEvent() ([]byte, bool, error) {
	data, done, err := t.readEvent()
	for i := 0; err != nil && i < resumeAttempts && t.s.ctx.Err() == nil; i++ {
		time.Sleep(resumePause)
		if t.resume() {
			data, done, err = t.readEvent()
		}
	}
	return data, done, err
}

// errEngineEvent means that the engine sent an error event in the stream.
var errEngineEvent = errors.New("gateway: engine reported an error in the stream")

// readEvent returns the next event of the current upstream call.
func (t *stream) readEvent() ([]byte, bool, error) {
	data, done, err := t.events.Next()
	if err == nil && bytes.HasPrefix(data, []byte(`{"error"`)) {
		return nil, false, errEngineEvent
	}
	return data, done, err
}

// resume requests the rest of the stream from the same engine, starting after eventCount events. It returns true when
// the engine continues the stream.
func (t *stream) resume() bool {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + t.st.addr + "/engine/v1/streams/" + string(t.id) + "?from=" + strconv.Itoa(t.eventCount))
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

// writeEvent counts and stores an event and writes it to the caller. It does not flush if another event follows at once.
func (t *stream) writeEvent(w *bufio.Writer, data []byte) error {
	t.eventCount++
	t.s.countEventTokens(data)
	t.storeEvent(data)
	if t.conn != nil {
		_ = t.conn.SetWriteDeadline(time.Now().Add(t.g.opts.WriteTimeout))
	}
	_, _ = w.WriteString("data: ")
	_, _ = w.Write(data)
	_, _ = w.WriteString("\n\n")
	if t.events.HasBufferedEvent() {
		// Events that arrived together are written together: one write per event costs more than all
		// other work of a stream.
		return nil
	}
	if err := w.Flush(); err != nil {
		return errors.Join(errCallerWrite, err)
	}
	return nil
}

// storeEvent appends an event to storedBody if the request has an idempotency key. It appends nothing more once
// storedBody is larger than maxBufferedAnswer.
func (t *stream) storeEvent(data []byte) {
	if t.s.call.claimKey == "" || t.storedBody.Len() > maxBufferedAnswer {
		return
	}
	t.storedBody.WriteString("data: ")
	t.storedBody.Write(data)
	t.storedBody.WriteString("\n\n")
}

// endMarker is the last event of a complete stream.
const endMarker = "data: [DONE]\n\n"

// endAnswer completes the attempt and writes the end marker. It returns the outcome for the metrics like copyEvents.
func (t *stream) endAnswer(w *bufio.Writer) string {
	t.completeAttempt()
	_, _ = w.WriteString(endMarker)
	if err := w.Flush(); err != nil {
		return "caller_gone"
	}
	return ""
}

// handleCallerGone ends the stream after an event could not be written to the caller. It cancels the request
// at the engine, unless the request must not run twice: then it reads the answer to its end and stores it.
func (t *stream) handleCallerGone() string {
	if !t.s.call.idempotent {
		return t.readToEnd()
	}
	t.call.Close()
	t.g.reportAttemptEnd(t.s, schedule.AttemptResult{Request: t.s.request.ID, Outcome: entity.Canceled, AnswerStarted: true})
	go t.g.opts.Upstreams.Cancel(t.st.addr, t.id)
	return "caller_gone"
}

// readToEnd reads the rest of the answer after the caller has disconnected and stores the answer in the claim, because
// the caller may retry with the same idempotency key.
func (t *stream) readToEnd() string {
	for {
		data, done, err := t.nextEvent()
		if err != nil {
			t.call.Close()
			t.g.reportAttemptEnd(t.s, failureResult(t.s, t.streamBroken(err)))
			t.g.resolveClaim(t.s, outcomeUnknownRefusal())
			return "caller_gone"
		}
		if done {
			break
		}
		t.s.countEventTokens(data)
		t.storeEvent(data)
	}
	t.completeAttempt()
	return "caller_gone"
}

// completeAttempt reports the complete answer to the control goroutine and stores it in the claim of the request.
func (t *stream) completeAttempt() {
	contentType := string(t.call.Response.Header.ContentType())
	t.call.Finish()
	t.g.reportAttemptEnd(t.s, schedule.AttemptResult{Request: t.s.request.ID, Outcome: entity.Completed})
	t.storedBody.WriteString(endMarker)
	t.g.completeClaim(t.s, fasthttp.StatusOK, contentType, t.storedBody.Bytes())
}

// endWithError ends a broken or canceled stream with an error event. It writes no end marker, so the caller
// can detect that the answer is incomplete.
func (t *stream) endWithError(w *bufio.Writer, err error) string {
	t.call.Close()
	if t.s.ctx.Err() != nil {
		t.g.reportAttemptEnd(t.s, schedule.AttemptResult{Request: t.s.request.ID, Outcome: entity.Canceled, AnswerStarted: true})
		go t.g.opts.Upstreams.Cancel(t.st.addr, t.id)
	} else {
		t.g.reportAttemptEnd(t.s, failureResult(t.s, t.streamBroken(err)))
	}
	st, ok := t.s.nextStep()
	refusal := st.refusal
	if !ok {
		refusal = outcomeUnknownRefusal()
	}
	t.g.resolveClaim(t.s, refusal)
	_, _ = w.Write(errorEvent(refusal))
	_ = w.Flush()
	return refusal.Code
}
