package edge

import (
	"errors"
	"io"

	"github.com/valyala/fasthttp"

	"github.com/foxtailpass/foxtailpass/internal/boottime"
	"github.com/foxtailpass/foxtailpass/internal/dispatch"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/membudget"
	"github.com/foxtailpass/foxtailpass/internal/upstream"
)

const (
	// maxKeptAnswer is the largest body in bytes that is read completely before it is passed on, so that another upstream
	// can answer if it breaks off.
	maxKeptAnswer = 1 << 20
	// maxAnswer is the largest body in bytes that is passed on. A longer one is broken off.
	maxAnswer = 16 << 20
	// largeAnswer is the length in bytes from which a body counts against the memory of all answers.
	largeAnswer = 16 << 10
)

// largeAnswerBody is the body of an answer that counts against the memory of all answers: what has been read of it, and the
// rest, which is passed on as it arrives. The HTTP server reads it after the handler has returned.
type largeAnswerBody struct {
	requestSession *requestSession
	step           step
	kept           []byte
	memory         *membudget.Reservation
	// ex reads the rest; it is nil if kept is the whole body.
	ex     *upstream.Exchange
	passed int64
	// reported is set once the end of the attempt has been reported.
	reported bool
}

// keepAnswer reads a body as far as it may be kept. whole reports whether that is all of it.
func (s *requestSession) keepAnswer(ex *upstream.Exchange) (body []byte, memory *membudget.Reservation, whole bool, err error) {
	memory = s.reserveAnswer()
	ex.LimitBody(maxAnswer)
	body, whole, err = ex.ReadUpTo(maxKeptAnswer, func(size int) bool {
		return size <= largeAnswer || memory.GrowTo(int64(size))
	})
	return body, memory, whole, err
}

// reserveAnswer returns a reservation for an answer, which the caller's connection holds.
func (s *requestSession) reserveAnswer() *membudget.Reservation {
	if conn, ok := s.ctx.Conn().(*callerConn); ok {
		return conn.ReserveLarge("")
	}
	return s.frontend.memory.Reserve(membudget.Large)
}

// passLargeAnswer hands a body to the HTTP server.
func (s *requestSession) passLargeAnswer(b *largeAnswerBody, whole bool) {
	s.copyHeader(b.ex)
	length := b.ex.Header.ContentLength()
	if whole {
		length = len(b.kept)
		b.end(dispatch.AttemptResult{Request: s.request.ID, Outcome: entity.Completed, Status: b.ex.Header.StatusCode()})
		b.ex.Close()
		b.ex = nil
	} else {
		s.frontend.log.Info("Large answer passed on.", "request", s.description.ID, "upstream", b.step.target.ID, "kept", len(b.kept), "length", length)
	}
	if length < 0 && !s.ctx.Request.Header.IsHTTP11() {
		s.serveUnframed(b)
		return
	}
	s.ctx.Response.SetBodyStream(b, max(length, -1))
}

// Read implements io.Reader.
func (b *largeAnswerBody) Read(p []byte) (int, error) {
	if len(b.kept) > 0 {
		n := copy(p, b.kept)
		b.kept = b.kept[n:]
		b.passed += int64(n)
		return n, nil
	}
	if b.ex == nil {
		return 0, io.EOF
	}
	n, err := b.ex.Read(p)
	b.passed += int64(n)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		b.end(dispatch.AttemptResult{Request: b.requestSession.request.ID, Outcome: entity.Completed, Status: b.ex.Header.StatusCode()})
		return n, err
	case b.requestSession.alive.Err() == nil && !b.reported:
		b.requestSession.frontend.log.Info("Large answer broken.", "request", b.requestSession.description.ID, "upstream", b.step.target.ID, "passed", b.passed, "err", err)
		b.end(dispatch.AttemptResult{Request: b.requestSession.request.ID, Outcome: entity.AttemptUnknown, Broken: true})
	}
	// The HTTP server would ignore an error that comes with bytes.
	return 0, err
}

// end reports the end of the attempt once.
func (b *largeAnswerBody) end(res dispatch.AttemptResult) {
	if b.reported {
		return
	}
	b.reported = true
	s := b.requestSession
	if res.Outcome == entity.Completed {
		if res.Status < fasthttp.StatusMultipleChoices {
			s.reportAnswerBegan()
		}
		s.reportAnswerCompleted()
		s.frontend.metrics.CountRequest(s.route.Name, res.Status, "", boottime.Now().Sub(s.arrived))
		s.frontend.log.Info("Request answered.", "request", s.description.ID, "status", res.Status, "upstream", b.step.target.ID, "after", boottime.Now().Sub(s.arrived))
	} else {
		s.frontend.metrics.CountAttempt(res.Outcome.String())
	}
	s.frontend.send(attemptEnded{result: res})
}

// Close implements io.Closer; the HTTP server always calls it.
func (b *largeAnswerBody) Close() error {
	s := b.requestSession
	if !b.reported {
		// The caller has left or reads nothing.
		b.reported = true
		s.reportCallerLeft()
	}
	if b.ex != nil {
		b.ex.Abort()
		b.ex.Close()
		b.ex = nil
	}
	b.memory.Release()
	s.release()
	return nil
}
