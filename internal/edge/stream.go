package edge

import (
	"bytes"
	"errors"
	"io"
	"net"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/boottime"
	"github.com/foxtailpass/foxtailpass/internal/dispatch"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/membudget"
	"github.com/foxtailpass/foxtailpass/internal/releases"
	"github.com/foxtailpass/foxtailpass/internal/upstream"
)

const (
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
)

var (
	errEventTooLong = errors.New("edge: event of a stream is too long")
	errEventMemory  = errors.New("edge: no memory for an event of a stream")
	errCallerLeft   = errors.New("edge: caller has left")
	errStreamBroken = errors.New("edge: stream broken")
)

// eventStream passes on the events of a stream. It passes on only whole events, so that a stream that breaks
// in the middle of an event can be resumed at another upstream. It implements the body of the answer, which
// the HTTP server reads after the handler has returned.
type eventStream struct {
	requestSession *requestSession
	ex             *upstream.Exchange
	step           step
	began          time.Time
	// buf holds what has been read and not passed on; readyLen is the length of its whole events.
	buf      []byte
	readyLen int
	// memory is that of buf beyond its first largeAnswer bytes.
	memory *membudget.Reservation
	lastID string
	// firstEventAfter is the time from the request's arrival to its first event.
	firstEventAfter time.Duration
	// lastAt is when the last events were read, and longestPause the longest time between two reads.
	lastAt       time.Time
	longestPause time.Duration
	pace         paceMeter
	// ended reports whether the upstream has ended the answer.
	ended bool
	// anySent reports whether events have been passed on.
	anySent bool
	// origin is where the stream began, known once the first event has arrived.
	origin releases.Origin
	// failed reports whether the stream is permanently broken and Close has nothing more to report, and completed
	// whether the stream was passed on completely.
	failed    bool
	completed bool
}

// beginStream waits for the first event and then hands the stream to the HTTP server. It returns true when
// the session has ended or the stream has been handed over.
func (s *requestSession) beginStream(ex *upstream.Exchange, st step, began time.Time) bool {
	e := &eventStream{requestSession: s, ex: ex, step: st, began: began, memory: s.reserveAnswer()}
	if err := e.fill(); err != nil {
		return e.abandon(err, e.result(err))
	}
	origin := s.originAt(st.target)
	if !s.reportStreamBegan(origin) {
		// Nothing has been passed on, so nobody takes the stream up.
		s.reportStreamEnded(true)
		return e.abandon(errNoStreamRecord, dispatch.AttemptResult{Outcome: entity.AttemptUnknown})
	}
	e.origin = origin
	e.firstEventAfter = boottime.Now().Sub(s.arrived)
	s.reportFirst(st, began)
	s.reportAnswerBegan()
	s.frontend.metrics.RecordFirstToken(e.firstEventAfter)
	s.copyHeader(ex)
	if !s.ctx.Request.Header.IsHTTP11() {
		s.serveUnframed(e)
		return true
	}
	s.ctx.Response.ImmediateHeaderFlush = true
	s.ctx.Response.SetBodyStream(e, -1)
	return true
}

// abandon ends the attempt of a stream of which nothing has been passed on. It returns true when the session has ended.
func (e *eventStream) abandon(cause error, res dispatch.AttemptResult) bool {
	e.memory.Release()
	e.ex.Abort()
	e.ex.Close()
	return e.requestSession.attemptFailed(e.step, res, cause, e.began)
}

// serveUnframed passes an answer of unknown length on to a caller that speaks HTTP/1.0 and does not know chunks: the answer
// ends with the connection, which is reset if the answer was broken off.
func (s *requestSession) serveUnframed(body io.ReadCloser) {
	header := &s.ctx.Response.Header
	header.SetContentLength(identityLength)
	head := header.AppendBytes(nil)
	caller := s.ctx.Conn()
	s.ctx.HijackSetNoResponse(true)
	s.ctx.Hijack(func(conn net.Conn) {
		defer func() { _ = body.Close() }()
		if _, err := conn.Write(head); err != nil {
			return
		}
		if _, err := io.Copy(conn, body); err != nil {
			resetCaller(caller)
		}
	})
}

// identityLength is the content length that makes the HTTP library write neither a length nor chunked encoding.
const identityLength = -2

// resetCaller makes the connection of a caller end with a reset.
func resetCaller(conn net.Conn) {
	if c, ok := conn.(*callerConn); ok {
		if tcp, ok := c.Conn.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
}

// Read implements io.Reader. A panic ends this stream only.
func (e *eventStream) Read(p []byte) (n int, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			e.failed = true
			e.requestSession.reportPanic(cause)
			n, err = 0, errStreamBroken
		}
	}()
	return e.read(p)
}

func (e *eventStream) read(p []byte) (int, error) {
	for e.readyLen == 0 {
		if e.ended {
			e.complete()
			return 0, io.EOF
		}
		if err := e.fill(); err != nil {
			if err = e.resume(err); err != nil {
				return 0, err
			}
		}
	}
	n := copy(p, e.buf[:e.readyLen])
	e.buf = append(e.buf[:0], e.buf[n:]...)
	e.readyLen -= n
	e.anySent = true
	return n, nil
}

// fill reads until there is a whole event or the stream has ended. The silence timeout runs until a whole
// event has arrived: single bytes are no progress.
func (e *eventStream) fill() error {
	e.setSilenceTimeout()
	e.pace.waits(boottime.Now())
	defer e.pauseReading()
	for {
		if cap(e.buf)-len(e.buf) < 512 && !e.growBuffer() {
			return errEventMemory
		}
		n, err := e.ex.Read(e.buf[len(e.buf):cap(e.buf)])
		e.buf = e.buf[:len(e.buf)+n]
		whole := wholeEvents(e.buf)
		if whole > e.readyLen {
			e.recordPause(e.buf[e.readyLen:whole])
			e.recordID(e.buf[e.readyLen:whole])
			e.readyLen = whole
		}
		if errors.Is(err, io.EOF) && !e.endsEarly() {
			e.ended = true
			return nil
		}
		if e.readyLen > 0 {
			// The next read finds the end, or returns the error, again.
			return nil
		}
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		if len(e.buf) > maxEventBytes {
			return errEventTooLong
		}
	}
}

// growBuffer enlarges the buffer, and reports whether the memory of all answers allows it.
func (e *eventStream) growBuffer() bool {
	size := 2*cap(e.buf) + 2048
	if size > largeAnswer && !e.memory.GrowTo(int64(size)) {
		return false
	}
	e.buf = append(make([]byte, 0, size), e.buf...)
	return true
}

// endsEarly reports whether the upstream, which has ended its answer, has broken the stream off: inside an event, or before
// the first one. A proper end of the body proves nothing, because the upstream's HTTP library writes it also when the
// engine stops early. Only a run that goes on after an event may have nothing left to send.
func (e *eventStream) endsEarly() bool {
	unfinished := bytes.TrimLeft(e.buf[e.readyLen:], "\r\n")
	if len(unfinished) > 0 {
		return true
	}
	if e.begun() || e.requestSession.ctx.IsHead() {
		return false
	}
	return e.ex.Unframed() || e.requestSession.description.LastEvent == ""
}

// recordPause records the time since the last events, when others have arrived.
func (e *eventStream) recordPause(events []byte) {
	now := boottime.Now()
	e.pace.add(max(bytes.Count(events, emptyLines[0]), 1), now)
	e.reportPace(false)
	if !e.lastAt.IsZero() {
		e.longestPause = max(e.longestPause, now.Sub(e.lastAt))
	}
	e.lastAt = now
}

// pauseReading records that the host does not wait for the upstream until fill is called again.
func (e *eventStream) pauseReading() { e.pace.idleSince = boottime.Now() }

// emptyLines are the ends of a line and of the empty line after it, which ends an event.
var emptyLines = [][]byte{[]byte("\n\n"), []byte("\n\r\n"), []byte("\r\r")}

// wholeEvents returns the length of the whole events at the start of b.
func wholeEvents(b []byte) int {
	end := 0
	for _, emptyLine := range emptyLines {
		if i := bytes.LastIndex(b, emptyLine); i >= 0 {
			end = max(end, i+len(emptyLine))
		}
	}
	return end
}

// recordID stores the last event ID in events, which are whole.
func (e *eventStream) recordID(events []byte) {
	for len(events) > 0 {
		line := events
		if i := bytes.IndexByte(events, '\n'); i >= 0 {
			line, events = events[:i], events[i+1:]
		} else {
			events = nil
		}
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			e.lastID = string(bytes.TrimSpace(id))
		}
	}
}

// result returns the result of an attempt whose answer failed with err after its header.
func (e *eventStream) result(err error) dispatch.AttemptResult {
	var timeout interface{ Timeout() bool }
	silent := errors.As(err, &timeout) && timeout.Timeout()
	return dispatch.AttemptResult{
		Request:  e.requestSession.request.ID,
		Outcome:  entity.AttemptUnknown,
		TimedOut: silent,
		Broken:   !silent,
		// The head of the answer has arrived.
		Answering: !silent && !e.begun(),
		Release:   e.release(),
	}
}

// release returns the release at which the stream may go on, empty before the first event.
func (e *eventStream) release() entity.Release {
	if e.origin.Release == "" {
		return ""
	}
	return e.requestSession.releaseToContinueAt(e.origin)
}

// begun reports whether an event of the stream has arrived, from any upstream.
func (e *eventStream) begun() bool { return !e.lastAt.IsZero() }

// fail ends a request whose stream is permanently broken.
func (e *eventStream) fail(cause error) {
	s := e.requestSession
	if s.alive.Err() != nil {
		// The read ended because the caller has left; Close reports that.
		return
	}
	e.failed = true
	s.frontend.log.Info("Stream broken.", "request", s.description.ID, "upstream", e.step.target.ID, "last_event", e.lastID,
		"first_after", e.firstEventAfter, "after", boottime.Now().Sub(s.arrived), "digest", s.request.Digest, "err", cause)
	s.frontend.metrics.CountAttempt(entity.AttemptUnknown.String())
	res := e.result(cause)
	s.frontend.send(attemptEnded{result: res, suspect: s.suspect(e.step, res, e.begun())})
}

// complete ends a request whose stream was passed on completely.
func (e *eventStream) complete() {
	if e.completed || e.failed {
		return
	}
	e.completed = true
	s := e.requestSession
	e.reportPace(true)
	e.ex.Close()
	s.reportStreamEnded(true)
	s.reportAnswerCompleted()
	s.frontend.metrics.CountRequest(s.route.Name, s.ctx.Response.StatusCode(), "", boottime.Now().Sub(s.arrived))
	s.frontend.send(attemptEnded{result: dispatch.AttemptResult{Request: s.request.ID, Outcome: entity.Completed}})
	s.frontend.log.Info("Stream ended.", "request", s.description.ID, "upstream", e.step.target.ID, "last_event", e.lastID, "first_after", e.firstEventAfter, "longest_pause", e.longestPause, "after", boottime.Now().Sub(s.arrived))
}

// Close implements io.Closer; the HTTP server always calls it.
func (e *eventStream) Close() error {
	s := e.requestSession
	if !e.completed && !e.failed {
		// The caller has left or reads nothing; closing the connection stops the upstream.
		s.frontend.log.Info("Caller left.", "request", s.request.ID, "first_after", e.firstEventAfter, "after", boottime.Now().Sub(s.arrived), "last_event", e.lastID)
		s.reportCallerLeft()
	}
	if !e.completed {
		s.reportStreamEnded(false)
		e.ex.Abort()
		e.ex.Close()
	}
	e.memory.Release()
	s.release()
	return nil
}
