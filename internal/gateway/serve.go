package gateway

import (
	"errors"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/foxtailpass/foxtailpass/internal/control"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/schedule"
	"github.com/foxtailpass/foxtailpass/internal/upstream"
)

// deadlineGrace lets the control state end a request at its deadline before the connection to
// the upstream times out.
const deadlineGrace = 2 * time.Second

// callPlan is what is sent to an upstream on every attempt.
type callPlan struct {
	engine     bool
	method     string
	uri        string
	header     fasthttp.RequestHeader
	body       []byte
	stream     bool
	idempotent bool
	// claimKey is the caller's idempotency key; empty means no claim.
	claimKey string
	// tokens is the estimate that was charged, prompt the part of it for the prompt.
	tokens float64
	prompt float64
}

// serve takes a request through the control state to its final answer.
func (g *Gateway) serve(e *exchange, s *session, charge float64) {
	s.routeLabel = e.label
	g.watcher.add(s, e.ctx.Conn())
	g.opts.Control.Send(control.Arrived{Request: s.request, Caller: s, Charge: charge, Claim: s.call.claimKey != ""})
	if !g.runSteps(e, s) {
		g.closeSession(s)
	}
}

// closeSession frees what a session holds after its final answer.
func (g *Gateway) closeSession(s *session) {
	g.watcher.remove(s)
	s.cancel(nil)
}

// runSteps follows the control state until the request has its answer. It returns true when a
// stream has taken the session over.
func (g *Gateway) runSteps(e *exchange, s *session) (streaming bool) {
	for {
		st, ok := s.next()
		if !ok {
			g.abandon(e, s)
			return false
		}
		switch st.kind {
		case stepClaim:
			if !g.claim(e, s) {
				return false
			}
		case stepRefuse:
			g.settleClaim(s, st.refusal)
			e.refuse(st.refusal)
			return false
		case stepDispatch:
			answered, streaming := g.attempt(e, s, st)
			if answered || streaming {
				return streaming
			}
		}
	}
}

// abandon ends a request that no upstream is running and whose caller has left.
func (g *Gateway) abandon(e *exchange, s *session) {
	g.opts.Control.Send(control.CallerGone{Request: s.request.ID})
	g.releaseClaim(s)
	e.code = "caller_gone"
	e.ctx.SetStatusCode(statusCallerGone)
	e.ctx.SetConnectionClose()
}

// statusCallerGone is only seen in metrics, because nobody reads the answer.
const statusCallerGone = 499

// attempt runs one attempt. It returns answered when the final answer is written, streaming when
// a stream has taken over, and neither when the control state decides what follows.
func (g *Gateway) attempt(e *exchange, s *session, st step) (answered, streaming bool) {
	if !s.dispatched {
		s.dispatched = true
		g.opts.Metrics.DispatchWait(time.Since(s.arrived))
	}
	if !s.call.idempotent {
		// Once sent, work that must not repeat is followed to its end, so that its result is
		// known when the caller asks again.
		g.watcher.remove(s)
	}
	id := attemptID(s.request.ID, st.attempt)
	call, err := g.send(s, st, id)
	if err != nil {
		return g.attemptFailed(e, s, st, id, err), false
	}
	if s.call.stream && isEventStream(call.Response) {
		return g.startStream(e, s, st, id, call)
	}
	return g.wholeAnswer(e, s, st, id, call), false
}

func (g *Gateway) send(s *session, st step, id entity.RequestID) (*upstream.Call, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	s.call.header.CopyTo(&req.Header)
	req.Header.SetMethod(s.call.method)
	req.SetRequestURI("http://" + st.addr + s.call.uri)
	req.SetBodyRaw(s.call.body)
	return g.opts.Upstreams.Do(s.ctx, req, upstream.Options{
		Addr:      st.addr,
		RequestID: id,
		Fresh:     !s.call.idempotent,
		Stream:    s.call.stream,
		Deadline:  s.request.Deadline.Add(deadlineGrace),
	})
}

// attemptID is different for every attempt, so that a late answer to an earlier attempt cannot
// be taken for the answer to a later one.
func attemptID(id entity.RequestID, attempt int) entity.RequestID {
	if attempt <= 1 {
		return id
	}
	return id + entity.RequestID("-"+strconv.Itoa(attempt))
}

// attemptFailed reports a failed attempt. It returns true when the request is over because the
// caller left or the control state canceled it.
func (g *Gateway) attemptFailed(e *exchange, s *session, st step, id entity.RequestID, err error) bool {
	if s.ctx.Err() == nil {
		g.endAttempt(s, failureResult(s, err))
		return false
	}
	g.endAttempt(s, schedule.AttemptResult{Request: s.request.ID, Outcome: entity.Canceled})
	if s.call.engine {
		go g.opts.Upstreams.Cancel(st.addr, id)
	}
	if r := s.canceledWith(); r != nil {
		g.settleClaim(s, *r)
		e.refuse(*r)
		return true
	}
	g.settleClaim(s, unknownRefusal())
	e.code = "caller_gone"
	e.ctx.SetStatusCode(statusCallerGone)
	e.ctx.SetConnectionClose()
	return true
}

func unknownRefusal() entity.Refusal {
	return entity.Refusal{Status: 502, Code: "outcome_unknown", Message: "The request may have run; it is not repeated.", Ran: entity.RanUnknown}
}

func failureResult(s *session, err error) schedule.AttemptResult {
	res := schedule.AttemptResult{Request: s.request.ID, Outcome: entity.AttemptUnknown, Reason: "failed", Started: s.sent}
	var f *upstream.Failure
	if errors.As(err, &f) {
		res.Outcome = f.Outcome
		res.Reason = f.Reason
		res.Unreachable = f.Unreachable
	}
	return res
}

func (g *Gateway) endAttempt(s *session, res schedule.AttemptResult) {
	g.opts.Metrics.Attempt(res.Outcome.String())
	g.opts.Control.Send(control.AttemptEnded{AttemptResult: res, UsedTokens: s.usedTokens})
}

// wholeAnswer passes an answer on that is not streamed.
func (g *Gateway) wholeAnswer(e *exchange, s *session, st step, id entity.RequestID, call *upstream.Call) bool {
	defer call.Close()
	body, err := wholeBody(s, call)
	if err == nil {
		err = checkAnswer(s, call.Response, body)
	}
	if err != nil {
		return g.attemptFailed(e, s, st, id, err)
	}
	s.usedTokens = usedTokens(s, call.Response, body)
	g.endAttempt(s, schedule.AttemptResult{Request: s.request.ID, Outcome: entity.Completed})
	g.completeClaim(s, call.Response.StatusCode(), string(call.Response.Header.ContentType()), body)
	copyAnswer(e.ctx, call.Response, id)
	e.ctx.SetBody(body)
	return true
}

func copyAnswer(ctx *fasthttp.RequestCtx, resp *fasthttp.Response, id entity.RequestID) {
	ctx.SetStatusCode(resp.StatusCode())
	for _, name := range answeredHeaders {
		if value := resp.Header.Peek(name); len(value) > 0 {
			ctx.Response.Header.SetBytesV(name, value)
		}
	}
	ctx.Response.Header.Set(RequestIDHeader, string(id))
}
