package edge

import (
	"mime"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/foxtailpass/foxtailpass/internal/boottime"
	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/dispatch"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/upstream"
)

const (
	// soleUpstreamWaitShare is the share of the maximum wait of callers (Route.MaxFirstEventWait) for which
	// this host waits for a silent stream that no other upstream could resume.
	soleUpstreamWaitShare = 0.7
	// eventStreamType is the media type of a stream of events.
	eventStreamType = "text/event-stream"
)

// setSilenceTimeout bounds the next read of a stream that can be resumed at another upstream.
func (e *eventStream) setSilenceTimeout() {
	limit, limited := silenceTimeout(e.requestSession.route, e.step, e.anySent)
	if !limited {
		return
	}
	left := e.requestSession.request.Deadline.Sub(boottime.Now()) + deadlineGrace
	e.ex.SetReadDeadline(time.Now().Add(min(limit, left)))
}

// silenceTimeout returns how long a stream may be silent before it is resumed at another upstream. The last
// attempt has no such limit, because no other attempt could follow it. If no other upstream serves the
// request, the attempt is given up only shortly before its caller would leave.
func silenceTimeout(r *catalog.Route, st step, sent bool) (limit time.Duration, limited bool) {
	if !r.Resumable || st.lastAttempt {
		return 0, false
	}
	limit = eventTimeout
	if !sent {
		limit = firstEventTimeout
	}
	if st.alternatives == 0 {
		limit = max(limit, time.Duration(soleUpstreamWaitShare*float64(r.MaxFirstEventWait)))
	}
	return limit, true
}

// resume continues the stream at another upstream after a failure, if the route allows it.
func (e *eventStream) resume(cause error) error {
	s := e.requestSession
	e.ex.Abort()
	e.ex.Close()
	e.buf = e.buf[:0]
	e.pace = paceMeter{samples: e.pace.samples}
	if !s.route.Resumable {
		e.fail(cause)
		return errStreamBroken
	}
	res := e.result(cause)
	for {
		if s.alive.Err() != nil {
			return errCallerLeft
		}
		e.reportInterruption(res, cause)
		st, err := e.awaitStep()
		if err != nil {
			return err
		}
		e.step = st
		s.attempt = st.attempt
		ex, failed, err := e.sendRest(st)
		if err != nil {
			cause, res = err, failed
			continue
		}
		s.frontend.log.Info("Stream resumed.", "request", s.description.ID, "upstream", st.target.ID, "release", st.target.Release, "last_event", e.lastID)
		e.ex = ex
		return nil
	}
}

// reportInterruption reports a failed attempt of the stream to the control state.
func (e *eventStream) reportInterruption(res dispatch.AttemptResult, cause error) {
	s := e.requestSession
	s.frontend.log.Info("Stream interrupted.", "request", s.description.ID, "upstream", e.step.target.ID, "last_event", e.lastID, "digest", s.request.Digest, "err", cause)
	s.frontend.send(attemptEnded{result: res, suspect: s.suspect(e.step, res, e.begun())})
}

// awaitStep waits for the step with the next attempt. It returns an error if the caller has left or no attempt may follow.
func (e *eventStream) awaitStep() (step, error) {
	s := e.requestSession
	var st step
	select {
	case st = <-s.stepQueue.steps:
	case <-s.alive.Done():
		return step{}, errCallerLeft
	}
	if st.refusal != nil {
		e.failed = true
		s.frontend.log.Info("Stream not resumed.", "request", s.description.ID, "reason", st.reason)
		return step{}, errStreamBroken
	}
	if !s.mayContinue(e.lastID) {
		e.failed = true
		s.frontend.log.Info("Stream not resumed.", "request", s.description.ID, "reason", dispatch.ReasonStale)
		s.frontend.send(callerLeft{id: s.request.ID})
		return step{}, errStreamBroken
	}
	return st, nil
}

// sendRest asks the upstream of a step for the rest of the stream. If its answer does not continue the stream, sendRest returns an
// error and the result of the attempt.
func (e *eventStream) sendRest(st step) (*upstream.Exchange, dispatch.AttemptResult, error) {
	s := e.requestSession
	ex, err := s.sendAttempt(s.alive, st, e.lastID)
	if err != nil {
		res := failedResult(err)
		res.Request = s.request.ID
		return nil, res, err
	}
	res, bad := s.classifyAnswer(ex, s.frontend.protocol.ParseAnswer(&ex.Header))
	if !bad && continuesStream(&ex.Header) {
		return ex, res, nil
	}
	ex.Abort()
	ex.Close()
	if !bad {
		res.Outcome, res.Broken = entity.AttemptFailed, true
	}
	res.Request = s.request.ID
	return nil, res, errStreamBroken
}

// continuesStream reports whether an answer goes on with a stream that another upstream has begun: a success whose media type,
// if it states one, is that of events.
func continuesStream(h *fasthttp.ResponseHeader) bool {
	if h.StatusCode() != fasthttp.StatusOK {
		return false
	}
	contentType := h.ContentType()
	if len(contentType) == 0 {
		return true
	}
	mediaType, _, err := mime.ParseMediaType(string(contentType))
	return err == nil && mediaType == eventStreamType
}
