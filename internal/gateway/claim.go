package gateway

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/foxtailpass/foxtailpass/internal/claims"
	"github.com/foxtailpass/foxtailpass/internal/control"
	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// replayedHeader marks an answer that was read from an idempotency claim instead of an upstream.
const replayedHeader = "X-Foxtailpass-Replayed"

const (
	// claimTimeout bounds the wait for an idempotency claim. The request is not sent to an upstream before its claim
	// is granted.
	claimTimeout = 2 * time.Second
	// storeTimeout bounds the time for storing the answer in the claim, or for releasing the claim. The caller
	// receives the complete answer only afterwards.
	storeTimeout = time.Second
)

// claim makes the idempotency claim of a request and reports whether it was granted. If not, claim has written the final
// answer to the caller: the stored answer of the claimed request, or a refusal.
func (g *Gateway) claim(e *exchange, s *session) bool {
	ctx, cancel := context.WithTimeout(s.ctx, claimTimeout)
	defer cancel()
	res := g.opts.Claims.Claim(ctx, claims.ClaimRequest{
		Workspace: s.request.Workspace,
		Key:       s.call.claimKey,
		Digest:    claims.DigestOf(s.call.method, s.call.uri, s.call.body),
		Request:   s.request.ID,
	})
	if res.Outcome == claims.Granted {
		s.claim = res.Claim
		g.opts.Control.Send(control.Claimed{Request: s.request.ID})
		return true
	}
	g.opts.Control.Send(control.RequestClosed{Request: s.request.ID})
	if res.Outcome == claims.Replay && !res.Answer.BodyOmitted {
		replay(e, res.Answer)
		return false
	}
	e.refuse(claimRefusal(res.Outcome))
	return false
}

// replay writes the answer that is stored in a claim as the final answer.
func replay(e *exchange, a *claims.StoredAnswer) {
	e.code = "replayed"
	e.ctx.SetStatusCode(a.Status)
	e.ctx.SetContentType(a.ContentType)
	e.ctx.Response.Header.Set(replayedHeader, "true")
	if a.Status >= 400 {
		e.ctx.Response.Header.Set(RanHeader, entity.RanUnknown.String())
	}
	e.ctx.SetBody(a.Body)
}

// claimRefusal returns the refusal for a claim that was not granted.
func claimRefusal(o claims.Outcome) entity.Refusal {
	switch o {
	case claims.Replay:
		return entity.Refusal{Status: 409, Code: "answer_not_kept", Message: "The request has completed, but its answer was too large to be kept.", Ran: entity.RanUnknown}
	case claims.InProgress:
		return entity.Refusal{Status: 409, Code: "in_progress", Message: "A request with this idempotency key is running.", Ran: entity.RanUnknown, RetryAfter: time.Second}
	case claims.OutcomeUnknown:
		return entity.Refusal{Status: 409, Code: "outcome_unknown", Message: "A request with this idempotency key may have run; it is not repeated.", Ran: entity.RanUnknown}
	case claims.Mismatch:
		return entity.Refusal{Status: 422, Code: "idempotency_key_reused", Message: "The idempotency key was used for a different request."}
	}
	return entity.Refusal{Status: 503, Code: "claims_unavailable", Message: "The request cannot be protected against a second run at the moment.", RetryAfter: 2 * time.Second}
}

// releaseClaim releases the claim of a request that did not run, if it has one.
func (g *Gateway) releaseClaim(s *session) {
	if s.claim == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if err := g.opts.Claims.Release(ctx, s.claim); err != nil {
		g.opts.Log.Warn("Idempotency claim not released.", "request", s.request.ID, "err", err)
	}
}

// resolveClaim ends the claim of a refused request. The claim is released when it is proven that the request
// did not run. Otherwise the refusal is stored in the claim, so that a repetition of the request receives it
// instead of running the request a second time.
func (g *Gateway) resolveClaim(s *session, r entity.Refusal) {
	if s.claim == nil {
		return
	}
	if r.Ran == entity.NotRun {
		g.releaseClaim(s)
		return
	}
	g.completeClaim(s, fasthttp.StatusConflict, "application/json", encodeRefusal(r))
}

// completeClaim stores the answer of a request in its claim, if it has one.
func (g *Gateway) completeClaim(s *session, status int, contentType string, body []byte) {
	if s.claim == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	answer := claims.StoredAnswer{Status: status, ContentType: contentType, Body: append([]byte(nil), body...)}
	if err := g.opts.Claims.Complete(ctx, s.claim, answer); err != nil {
		g.opts.Log.Warn("Answer not stored in idempotency claim.", "request", s.request.ID, "err", err)
	}
}
