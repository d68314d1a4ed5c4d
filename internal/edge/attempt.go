package edge

import (
	"context"
	"errors"
	"math"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/foxtailpass/foxtailpass/internal/boottime"
	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/dispatch"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/upstream"
)

const (
	// dialTimeout bounds the time in which a connection to an upstream must be established.
	dialTimeout = 250 * time.Millisecond
	// answerTimeout is the time without an answer after which an idempotent request is sent to another
	// upstream.
	answerTimeout = 450 * time.Millisecond
	// firstEventTimeout is the time without a first event, and eventTimeout the time without a later event,
	// after which a resumable stream is resumed at another upstream.
	firstEventTimeout = 1800 * time.Millisecond
	eventTimeout      = time.Second
	// deadlineGrace is how long this host still waits for an upstream's own answer after the deadline that
	// the upstream was given.
	deadlineGrace = 60 * time.Millisecond
	// maxLoggedParts bounds the parts of a prompt in one line of the log.
	maxLoggedParts = 16
)

// runAttempt makes one attempt. It returns true when the session has ended or its stream has been handed to
// the HTTP server.
func (s *requestSession) runAttempt(st step) bool {
	s.attempt = st.attempt
	began := boottime.Now()
	ex, err := s.sendAttempt(s.alive, st, "")
	if err != nil {
		return s.attemptFailed(st, failedResult(err), err, began)
	}
	info := s.frontend.protocol.ParseAnswer(&ex.Header)
	if res, bad := s.classifyAnswer(ex, info); bad {
		status := ex.Header.StatusCode()
		// A faulty upstream may send a refusal once more. On the same connection it would pass for the answer to the next
		// attempt of the request, which has the same ID.
		ex.Abort()
		ex.Close()
		return s.attemptFailed(st, res, nil, began, "status", status)
	}
	if s.route.Kind == catalog.Streaming && ex.Header.StatusCode() == fasthttp.StatusOK {
		return s.beginStream(ex, st, began)
	}
	return s.forwardWholeAnswer(ex, st, began)
}

// sendAttempt sends the request to the upstream of a step and returns the exchange once the header of the
// answer has arrived. lastEvent is the ID of the event after which a stream is resumed; if it is empty, the ID
// that the caller stated is sent.
func (s *requestSession) sendAttempt(ctx context.Context, st step, lastEvent string) (*upstream.Exchange, error) {
	now := boottime.Now()
	left := s.request.Deadline.Sub(now)
	if lastEvent == "" {
		lastEvent = s.description.LastEvent
	}
	owner, _ := s.keyOwner()
	head := s.frontend.protocol.AppendHead(make([]byte, 0, 1024), &s.ctx.Request, Instruction{
		Upstream:  st.target.ID,
		Workspace: owner,
		TimeLeft:  left,
		Rank:      s.request.Rank,
		LastEvent: lastEvent,
		ForEngine: s.request.Pool.Model != "",
	})
	o := upstream.ExchangeOptions{
		Addr:          st.target.Addr,
		Head:          head,
		Body:          s.ctx.Request.Body(),
		NoBody:        s.ctx.IsHead(),
		NotRepeatable: !s.route.Repeatable(),
		SingleUse:     s.description.ID == "",
		DialTimeout:   min(dialTimeout, left),
		Deadline:      time.Now().Add(left + deadlineGrace),
		Allowed: func() bool {
			now, ok := s.keyOwner()
			return ok && now == owner && s.mayContinue(lastEvent)
		},
		IsStray: func(h *fasthttp.ResponseHeader) bool {
			id := s.frontend.protocol.ParseAnswer(h).Request
			return id != "" && id != s.description.ID
		},
	}
	switch {
	case st.lastAttempt:
		// No other attempt may follow, so only the deadline limits the wait for the answer.
	case s.route.Kind == catalog.Idempotent && s.route.MaxAttempts > 1:
		o.HeadTimeout = answerTimeout
	case s.route.Repeatable():
		o.HeadTimeout = firstEventTimeout
	}
	if st.attempt == 1 {
		s.frontend.metrics.RecordDispatchWait(now.Sub(s.arrived))
	}
	s.frontend.log.Info("Request sent.", "request", s.description.ID, "attempt", st.attempt, "upstream", st.target.ID, "release", st.target.Release, "after", now.Sub(s.arrived),
		"left", left, "route", s.route.Name, "workspace", owner, "tokens", s.request.Tokens, "model", s.request.Pool.Model, "adapter", s.request.Pool.Adapter,
		"limited", st.limitStamp != 0, "load", math.Round(st.basis.load*10)/10, "others_age", st.basis.othersAge, "source", st.target.Source, "config", st.basis.configVersion,
		"view_age", s.frontend.viewAge(now), "last_event", lastEvent, "resumes", s.description.Resumes)
	ex, err := s.frontend.upstreams.Exchange(ctx, o)
	if err == nil {
		s.forwardUpstreamStatus(st, &ex.Header)
	}
	return ex, err
}

// forwardUpstreamStatus sends an upstream's self-reported status to the control state, before the answer is
// passed on.
func (s *requestSession) forwardUpstreamStatus(st step, h *fasthttp.ResponseHeader) {
	info := s.frontend.protocol.ParseAnswer(h)
	if info.Status.Empty() && st.limitStamp == 0 {
		return
	}
	s.frontend.send(upstreamStatusReceived{
		upstream:   st.target.ID,
		bornMillis: st.target.BornMillis,
		status:     info.Status,
		final:      !info.Misdirected && (info.Signed || info.NotRun),
		limitStamp: st.limitStamp,
	})
}

// keyOwner returns the workspace for which the request may be sent: the one that its key belongs to, empty if it needs no key.
// It returns false if no view that is fresh enough lists the key. It is asked for the head of an attempt, and again just before
// the first byte is sent to an upstream. The workspace may differ from that of the request, whose tokens it took, if the key
// has moved since.
func (s *requestSession) keyOwner() (owner entity.WorkspaceID, ok bool) {
	if !s.needsKey {
		return "", true
	}
	fresh, _ := s.frontend.fresh()
	w := s.frontend.catalog.Load().Key(s.request.Key)
	if !fresh || w == nil {
		return "", false
	}
	return w.ID, true
}

// classifyAnswer returns the result of the attempt and true if an answer must not be passed on to the caller
// as the final answer to the request, and false otherwise.
func (s *requestSession) classifyAnswer(ex *upstream.Exchange, info AnswerInfo) (dispatch.AttemptResult, bool) {
	status := ex.Header.StatusCode()
	res := dispatch.AttemptResult{Request: s.request.ID, Outcome: entity.AttemptUnknown, Status: status}
	switch {
	case info.NotRun:
		res.Outcome = entity.AttemptNotRun
		res.Status = 0
		res.NotLoaded = info.Misdirected
		res.NoFreeSlot = !res.NotLoaded
		return res, true
	case status >= fasthttp.StatusInternalServerError && s.route.Repeatable() && s.attempt < s.route.MaxAttempts:
		res.Outcome = entity.AttemptFailed
		return res, true
	case !info.Signed || info.Encoded || s.lacksRestOfStream(&ex.Header):
		res.Broken = true
		return res, true
	}
	return res, false
}

// lacksRestOfStream reports whether an answer is a success although its body is not the rest of a stream that the caller has had
// the beginning of.
func (s *requestSession) lacksRestOfStream(h *fasthttp.ResponseHeader) bool {
	takenUp := s.route.Kind == catalog.Streaming && s.description.LastEvent != ""
	return takenUp && h.StatusCode() == fasthttp.StatusOK && !continuesStream(h)
}

// failedResult returns the result of an attempt whose exchange failed without an answer.
func failedResult(err error) dispatch.AttemptResult {
	res := dispatch.AttemptResult{Outcome: entity.AttemptUnknown, Broken: true}
	var f *upstream.Failure
	if errors.As(err, &f) {
		res.Outcome = f.Outcome
		res.Unreachable = f.Unreachable
		res.TimedOut = errors.Is(err, upstream.ErrAnswerTimeout)
		res.Broken = f.Outcome != entity.AttemptNotRun && !res.TimedOut
	}
	return res
}

// attemptFailed reports a failed attempt to the control state, unless the caller has left. It returns true
// when the session has ended.
func (s *requestSession) attemptFailed(st step, res dispatch.AttemptResult, err error, began time.Time, more ...any) bool {
	if s.alive.Err() != nil {
		s.endForCallerLeft()
		return true
	}
	res.Request = s.request.ID
	s.mayHaveRun = s.mayHaveRun || res.Outcome != entity.AttemptNotRun
	fields := append([]any{"request", s.description.ID, "attempt", st.attempt, "upstream", st.target.ID, "outcome", res.Outcome,
		"unreachable", res.Unreachable, "silent", res.TimedOut, "absent", res.NotLoaded, "after", boottime.Now().Sub(began), "err", err}, more...)
	if res.Broken {
		parts := s.description.SharedParts
		fields = append(fields, "answering", res.Answering, "parts", parts[:min(len(parts), maxLoggedParts)], "digest", s.request.Digest)
	}
	s.frontend.log.Info("Attempt failed.", fields...)
	s.frontend.metrics.CountAttempt(res.Outcome.String())
	_, keyValid := s.keyOwner()
	if res.Outcome == entity.AttemptNotRun && !(keyValid && s.mayContinue(s.description.LastEvent)) {
		s.frontend.send(callerLeft{id: s.request.ID})
		s.refuse(s.staleViewRefusal())
		s.release()
		return true
	}
	s.frontend.send(attemptEnded{result: res, suspect: s.suspect(st, res, false)})
	return false
}

// staleViewRefusal returns the refusal of a request whose key, or the release of whose upstream, could no longer be proven
// while the request waited for another attempt. The refusal states that the request has not run only if no earlier attempt may
// have run.
func (s *requestSession) staleViewRefusal() entity.Refusal {
	if s.mayHaveRun {
		return entity.Refusal{Status: 502, Code: string(dispatch.ReasonStale), Ran: entity.RanUnknown}
	}
	return *staleRefusal()
}

// forwardWholeAnswer passes an answer that is not a stream on to the caller: once it has been read completely, or, if it is
// too large to be kept, as it arrives. It returns true when the session has ended or the answer has been handed over.
func (s *requestSession) forwardWholeAnswer(ex *upstream.Exchange, st step, began time.Time) bool {
	body, memory, whole, err := s.keepAnswer(ex)
	if err != nil {
		memory.Release()
		ex.Close()
		return s.attemptFailed(st, dispatch.AttemptResult{Outcome: entity.AttemptUnknown, Broken: true}, err, began)
	}
	large := &largeAnswerBody{requestSession: s, step: st, kept: body, memory: memory, ex: ex}
	if !whole || len(body) > largeAnswer {
		s.passLargeAnswer(large, whole)
		return true
	}
	if s.route.Kind != catalog.Streaming && ex.Header.StatusCode() < fasthttp.StatusMultipleChoices {
		s.reportFirst(st, began)
	}
	s.copyHeader(ex)
	s.ctx.Response.SetBody(body)
	large.end(dispatch.AttemptResult{Request: s.request.ID, Outcome: entity.Completed, Status: ex.Header.StatusCode()})
	ex.Close()
	s.release()
	return true
}

// copyHeader passes the header of an answer on, except the fields that concern only one connection.
func (s *requestSession) copyHeader(ex *upstream.Exchange) {
	resp := &s.ctx.Response
	resp.SetStatusCode(ex.Header.StatusCode())
	for key, value := range ex.Header.All() {
		switch strings.ToLower(string(key)) {
		case "connection", "keep-alive", "transfer-encoding", "content-length", "trailer", "upgrade", "proxy-connection":
			continue
		}
		resp.Header.AddBytesKV(key, value)
	}
}
