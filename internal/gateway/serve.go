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

// deadlineGrace is added to the deadline of a request to get the deadline of its upstream calls. The control goroutine
// ends the request at its own deadline, and must do so before the upstream call times out.
const deadlineGrace = 2 * time.Second

// requestTemplate is the request that a session sends to an upstream. It is the same in every attempt.
type requestTemplate struct {
	// engine is set when the upstream is an engine, not a plain service.
	engine bool
	method string
	uri    string
	header fasthttp.RequestHeader
	body   []byte
	// stream is set when the caller asked for a streamed answer.
	stream bool
	// idempotent is set when the request may be sent again after an attempt that may have run.
	idempotent bool
	// claimKey is the caller's idempotency key; empty means no claim.
	claimKey string
	// tokens is the number of tokens that were charged for the request, and prompt the part of it for the prompt.
	tokens float64
	prompt float64
}

// serve passes a request to the control goroutine and runs it up to its final answer. If the answer is streamed, serve
// returns before it is written.
func (g *Gateway) serve(e *exchange, s *session, charge float64) {
	s.routeLabel = e.label
	g.watcher.add(s, e.ctx.Conn())
	g.opts.Control.Send(control.Arrived{Request: s.request, RequestHandler: s, Charge: charge, NeedsClaim: s.call.claimKey != ""})
	if !g.runSteps(e, s) {
		g.closeSession(s)
	}
}

// closeSession releases the resources of a session after its final answer.
func (g *Gateway) closeSession(s *session) {
	g.watcher.remove(s)
	s.cancel(nil)
}

// runSteps runs the steps that the control goroutine requests, until the final answer is written or its stream is
// started. It returns true when the answer is streamed; the stream then closes the session.
func (g *Gateway) runSteps(e *exchange, s *session) (streaming bool) {
	for {
		st, ok := s.nextStep()
		if !ok {
			g.abandonRequest(e, s)
			return false
		}
		switch st.kind {
		case stepClaim:
			if !g.claim(e, s) {
				return false
			}
		case stepRefuse:
			g.resolveClaim(s, st.refusal)
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

// abandonRequest ends a request whose caller has disconnected while no attempt was running.
func (g *Gateway) abandonRequest(e *exchange, s *session) {
	g.opts.Control.Send(control.RequestClosed{Request: s.request.ID})
	g.releaseClaim(s)
	e.code = "caller_gone"
	e.ctx.SetStatusCode(statusCallerGone)
	e.ctx.SetConnectionClose()
}

// statusCallerGone is the status of requests whose caller has disconnected. It appears only in metrics,
// because no caller reads the answer.
const statusCallerGone = 499

// attempt runs one attempt. answered reports that the final answer is written, and streaming that the answer is being
// streamed. If both are false, the attempt failed and the control goroutine decides on the next step.
func (g *Gateway) attempt(e *exchange, s *session, st step) (answered, streaming bool) {
	if !s.dispatched {
		s.dispatched = true
		g.opts.Metrics.RecordDispatchWait(time.Since(s.arrived))
	}
	if !s.call.idempotent {
		// A request that must not run twice is not canceled once it is sent, even if its caller disconnects: if
		// the request has a claim, the answer must be stored for a retry of the caller.
		g.watcher.remove(s)
	}
	id := attemptID(s.request.ID, st.attempt)
	call, err := g.sendRequest(s, st, id)
	if err != nil {
		return g.attemptFailed(e, s, st, id, err), false
	}
	if s.call.stream && isEventStream(call.Response) {
		return g.startStream(e, s, st, id, call)
	}
	return g.forwardAnswer(e, s, st, id, call), false
}

// sendRequest sends the request of a session to the upstream of a step.
func (g *Gateway) sendRequest(s *session, st step, id entity.RequestID) (*upstream.Call, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	s.call.header.CopyTo(&req.Header)
	req.Header.SetMethod(s.call.method)
	req.SetRequestURI("http://" + st.addr + s.call.uri)
	req.SetBodyRaw(s.call.body)
	return g.opts.Upstreams.Do(s.ctx, req, upstream.Options{
		Addr:               st.addr,
		RequestID:          id,
		ForceNewConnection: !s.call.idempotent,
		Stream:             s.call.stream,
		Deadline:           s.request.Deadline.Add(deadlineGrace),
	})
}

// attemptID returns the request ID that is sent to the upstream with an attempt. It differs between the attempts of a
// request, so that a late answer to an earlier attempt is not mistaken for the answer to a later one.
func attemptID(id entity.RequestID, attempt int) entity.RequestID {
	if attempt <= 1 {
		return id
	}
	return id + entity.RequestID("-"+strconv.Itoa(attempt))
}

// attemptFailed reports a failed attempt to the control goroutine. It returns true if the failure ends the request,
// because the caller disconnected or the control goroutine canceled the attempt.
func (g *Gateway) attemptFailed(e *exchange, s *session, st step, id entity.RequestID, err error) bool {
	if s.ctx.Err() == nil {
		g.reportAttemptEnd(s, failureResult(s, err))
		return false
	}
	g.reportAttemptEnd(s, schedule.AttemptResult{Request: s.request.ID, Outcome: entity.Canceled})
	if s.call.engine {
		go g.opts.Upstreams.Cancel(st.addr, id)
	}
	if r := s.cancellationRefusal(); r != nil {
		g.resolveClaim(s, *r)
		e.refuse(*r)
		return true
	}
	g.resolveClaim(s, outcomeUnknownRefusal())
	e.code = "caller_gone"
	e.ctx.SetStatusCode(statusCallerGone)
	e.ctx.SetConnectionClose()
	return true
}

// outcomeUnknownRefusal returns the refusal of a request that may have run and must not be repeated.
func outcomeUnknownRefusal() entity.Refusal {
	return entity.Refusal{Status: 502, Code: "outcome_unknown", Message: "The request may have run; it is not repeated.", Ran: entity.RanUnknown}
}

// failureResult converts the error of an attempt to the result for the control goroutine. Errors other than
// upstream.Failure mean that the request may have run.
func failureResult(s *session, err error) schedule.AttemptResult {
	res := schedule.AttemptResult{Request: s.request.ID, Outcome: entity.AttemptUnknown, Reason: "failed", AnswerStarted: s.answerStarted}
	var f *upstream.Failure
	if errors.As(err, &f) {
		res.Outcome = f.Outcome
		res.Reason = f.Reason
		res.Unreachable = f.Unreachable
	}
	return res
}

// reportAttemptEnd counts an attempt in the metrics and reports its result to the control goroutine.
func (g *Gateway) reportAttemptEnd(s *session, res schedule.AttemptResult) {
	g.opts.Metrics.CountAttempt(res.Outcome.String())
	g.opts.Control.Send(control.AttemptEnded{AttemptResult: res, UsedTokens: s.usedTokens})
}

// forwardAnswer checks an answer that is not streamed and writes it to the caller. It returns true when the final answer
// is written, and false when the attempt counts as failed.
func (g *Gateway) forwardAnswer(e *exchange, s *session, st step, id entity.RequestID, call *upstream.Call) bool {
	defer call.Close()
	body, err := readBody(s, call)
	if err == nil {
		err = checkAnswer(s, call.Response, body)
	}
	if err != nil {
		return g.attemptFailed(e, s, st, id, err)
	}
	s.usedTokens = usedTokens(s, call.Response, body)
	g.reportAttemptEnd(s, schedule.AttemptResult{Request: s.request.ID, Outcome: entity.Completed})
	g.completeClaim(s, call.Response.StatusCode(), string(call.Response.Header.ContentType()), body)
	copyAnswer(e.ctx, call.Response, id)
	e.ctx.SetBody(body)
	return true
}

// copyAnswer copies the status and the returnedHeaders of an upstream answer to the answer to the caller.
func copyAnswer(ctx *fasthttp.RequestCtx, resp *fasthttp.Response, id entity.RequestID) {
	ctx.SetStatusCode(resp.StatusCode())
	for _, name := range returnedHeaders {
		if value := resp.Header.Peek(name); len(value) > 0 {
			ctx.Response.Header.SetBytesV(name, value)
		}
	}
	ctx.Response.Header.Set(RequestIDHeader, string(id))
}
