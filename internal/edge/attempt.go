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
	// dialLimit bounds the time until a connection to an upstream stands.
	dialTimeout = 250 * time.Millisecond
	// answerLimit is the time without an answer after which an idempotent request is given to
	// another upstream.
	answerTimeout = 450 * time.Millisecond
	// firstEventLimit and eventLimit are the times without an event after which a resumable stream
	// goes on at another upstream.
	firstEventTimeout = 1800 * time.Millisecond
	eventTimeout      = time.Second
	// deadlineGrace is how long after the deadline that an upstream was told its own answer is
	// waited for.
	deadlineGrace = 60 * time.Millisecond
)

// try makes one attempt. It returns true when the session has ended.
func (s *requestSession) runAttempt(st step) bool {
	s.attempt = st.attempt
	began := boottime.Now()
	ex, err := s.sendAttempt(s.alive, st, "")
	if err != nil {
		return s.attemptFailed(st, failedResult(err), err, began)
	}
	v := s.frontend.protocol.Judge(&ex.Header)
	if res, bad := s.classifyAnswer(ex, v); bad {
		status := ex.Header.StatusCode()
		ex.Close()
		return s.attemptFailed(st, res, nil, began, "status", status)
	}
	if s.route.Kind == catalog.Streaming && ex.Header.StatusCode() == fasthttp.StatusOK {
		return s.beginStream(ex, st, began)
	}
	return s.forwardWholeAnswer(ex, st, began)
}

// open sends the request to the upstream of a step.
func (s *requestSession) sendAttempt(ctx context.Context, st step, lastEvent string) (*upstream.Exchange, error) {
	now := boottime.Now()
	left := s.request.Deadline.Sub(now)
	if lastEvent == "" {
		lastEvent = s.description.LastEvent
	}
	head := s.frontend.protocol.AppendHead(make([]byte, 0, 1024), &s.ctx.Request, Instruction{
		Upstream:  st.target.ID,
		Workspace: s.request.Workspace,
		Left:      left,
		Rank:      s.request.Rank,
		LastEvent: lastEvent,
		Generates: s.request.Pool.Model != "",
	})
	o := upstream.ExchangeOptions{
		Addr:        st.target.Addr,
		Head:        head,
		Body:        s.ctx.Request.Body(),
		NoBody:      s.ctx.IsHead(),
		Once:        !s.route.Repeatable(),
		DialTimeout: min(dialTimeout, left),
		Deadline:    time.Now().Add(left + deadlineGrace),
		Allowed:     s.keyValid,
		Stray: func(h *fasthttp.ResponseHeader) bool {
			id := s.frontend.protocol.Judge(h).Request
			return id != "" && id != s.description.ID
		},
	}
	switch {
	case st.lastAttempt:
		// Nothing could follow, so the answer is waited for.
	case s.route.Kind == catalog.Idempotent && s.route.MaxAttempts > 1:
		o.HeadTimeout = answerTimeout
	case s.route.Repeatable():
		o.HeadTimeout = firstEventTimeout
	}
	if st.attempt == 1 {
		s.frontend.metrics.DispatchWait(now.Sub(s.arrived))
	}
	s.frontend.log.Info("Sent.", "request", s.description.ID, "attempt", st.attempt, "upstream", st.target.ID, "after", now.Sub(s.arrived),
		"left", left, "route", s.route.Name, "workspace", s.request.Workspace, "tokens", s.request.Tokens, "model", s.request.Pool.Model, "adapter", s.request.Pool.Adapter,
		"load", math.Round(st.basis.load*10)/10, "others_age", st.basis.othersAge, "source", st.target.Source, "config", st.basis.configVersion,
		"view_age", s.frontend.viewAge(now), "last_event", lastEvent)
	ex, err := s.frontend.upstreams.Exchange(ctx, o)
	if err == nil {
		s.forwardUpstreamStatus(st.target, &ex.Header)
	}
	return ex, err
}

// hear tells the control state what an upstream says of itself, before its answer is passed on.
func (s *requestSession) forwardUpstreamStatus(t *dispatch.Target, h *fasthttp.ResponseHeader) {
	if status := s.frontend.protocol.Judge(h).Said; !status.Empty() {
		s.frontend.send(upstreamStatusReceived{upstream: t.ID, bornMillis: t.BornMillis, status: status})
	}
}

// allowed is asked just before the first byte leaves: the key must still be good by knowledge that
// is new enough.
func (s *requestSession) keyValid() bool {
	if !s.keyed {
		return true
	}
	fresh, _ := s.frontend.fresh()
	w := s.frontend.catalog.Load().Key(s.request.Key)
	return fresh && w != nil && w.ID == s.request.Workspace
}

// judge says whether an answer is no final answer to this request, and what it means.
func (s *requestSession) classifyAnswer(ex *upstream.Exchange, v Judgement) (dispatch.Result, bool) {
	status := ex.Header.StatusCode()
	res := dispatch.Result{Request: s.request.ID, Outcome: entity.AttemptUnknown, Status: status}
	switch {
	case v.NotRun:
		res.Outcome = entity.AttemptNotRun
		res.Status = 0
		res.Absent = v.Misdirected
		res.Full = !res.Absent
		return res, true
	case status >= fasthttp.StatusInternalServerError && s.route.Repeatable() && s.attempt < s.route.MaxAttempts:
		res.Outcome = entity.AttemptFailed
		return res, true
	case !v.Signed || v.Encoded:
		res.Broken = true
		return res, true
	}
	return res, false
}

// failedResult types an exchange without an answer.
func failedResult(err error) dispatch.Result {
	res := dispatch.Result{Outcome: entity.AttemptUnknown, Broken: true}
	var f *upstream.Failure
	if errors.As(err, &f) {
		res.Outcome = f.Outcome
		res.Unreachable = f.Unreachable
		res.Silent = errors.Is(err, upstream.ErrSilent)
		res.Broken = f.Outcome != entity.AttemptNotRun && !res.Silent
	}
	return res
}

// attemptFailed tells the control state, unless the caller has left. It returns true when the
// session has ended.
func (s *requestSession) attemptFailed(st step, res dispatch.Result, err error, began time.Time, more ...any) bool {
	if s.alive.Err() != nil {
		s.endForCallerLeft()
		return true
	}
	res.Request = s.request.ID
	s.mayHaveRun = s.mayHaveRun || res.Outcome != entity.AttemptNotRun
	fields := append([]any{"request", s.description.ID, "attempt", st.attempt, "upstream", st.target.ID, "outcome", res.Outcome,
		"unreachable", res.Unreachable, "silent", res.Silent, "absent", res.Absent, "after", boottime.Now().Sub(began), "err", err}, more...)
	s.frontend.log.Info("Attempt failed.", fields...)
	s.frontend.metrics.Attempt(res.Outcome.String())
	if !s.keyValid() && res.Outcome == entity.AttemptNotRun {
		s.frontend.send(callerLeft{id: s.request.ID})
		s.refuse(s.staleKeyRefusal())
		s.release()
		return true
	}
	s.frontend.send(attemptEnded{result: res})
	return false
}

// noLongerAllowed refuses a request whose key has lost its proof while it waited for another attempt. It
// promises that the request has not run only when no former attempt may have.
func (s *requestSession) staleKeyRefusal() entity.Refusal {
	if s.mayHaveRun {
		return entity.Refusal{Status: 502, Code: string(dispatch.ReasonStale), Ran: entity.RanUnknown}
	}
	return *staleRefusal()
}

// whole reads an answer and passes it on.
func (s *requestSession) forwardWholeAnswer(ex *upstream.Exchange, st step, began time.Time) bool {
	body, err := ex.Whole()
	if err != nil {
		ex.Close()
		return s.attemptFailed(st, dispatch.Result{Outcome: entity.AttemptUnknown, Broken: true}, err, began)
	}
	status := ex.Header.StatusCode()
	s.copyHeader(ex)
	s.ctx.Response.SetBody(body)
	ex.Close()
	s.frontend.metrics.Request(s.route.Name, status, "", boottime.Now().Sub(s.arrived))
	s.frontend.log.Info("Answered.", "request", s.description.ID, "status", status, "upstream", st.target.ID, "after", boottime.Now().Sub(s.arrived))
	s.frontend.send(attemptEnded{result: dispatch.Result{Request: s.request.ID, Outcome: entity.Completed, Status: status}})
	s.release()
	return true
}

// copyHeader passes the header of an answer on, except what concerns only one connection.
func (s *requestSession) copyHeader(ex *upstream.Exchange) {
	resp := &s.ctx.Response
	resp.SetStatusCode(ex.Header.StatusCode())
	for key, value := range ex.Header.All() {
		switch strings.ToLower(string(key)) {
		case "connection", "keep-alive", "transfer-encoding", "content-length", "trailer", "upgrade", "proxy-connection":
			continue
		}
		resp.Header.SetBytesKV(key, value)
	}
}
