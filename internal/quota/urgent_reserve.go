package quota

import (
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/tokenqueue"
)

// supply describes the tokens of a row to its queue.
func (r *Reserve) supply(row *reserveRow, rate, capacity float64) tokenqueue.Supply {
	overdraft := r.division.tolerance.overdraft()
	return tokenqueue.Supply{Available: row.level + overdraft, Rate: rate, Capacity: capacity + overdraft}
}

// offer does the work of Request for token requests that are granted by urgency.
func (r *Reserve) offer(req TokenRequest, row *reserveRow, rate, capacity float64, now time.Time) (response TokenResponse, responded bool) {
	v := row.queue.Offer(tokenqueue.Request[TokenRequest]{
		Class: req.Class, Tokens: req.Tokens, Until: req.Until, RetryWithin: req.Retry.Within, Digest: req.Retry.Digest, Payload: req,
	}, r.supply(row, rate, capacity), now)
	if v.Outcome == tokenqueue.Waits {
		return TokenResponse{}, false
	}
	return r.respond(req, v, row, capacity, now), true
}

// respond returns the response to a token request on which the queue has decided.
func (r *Reserve) respond(req TokenRequest, v tokenqueue.Verdict, row *reserveRow, capacity float64, now time.Time) TokenResponse {
	if v.Outcome == tokenqueue.Granted {
		return r.grant(req, row, capacity, now)
	}
	response := req.refusalResponse(v.RetryAfter)
	response.ClosedFor = v.ClosedFor
	return response
}

// advanceQueue does the work of Advance for token requests that are granted by urgency.
func (r *Reserve) advanceQueue(row *reserveRow, rate, capacity float64, now time.Time) (out []TokenResponse) {
	for {
		req, v, ok := row.queue.Next(r.supply(row, rate, capacity), now)
		if !ok {
			return out
		}
		out = append(out, r.respond(req.Payload, v, row, capacity, now))
	}
}

// RecordRefused records tokens of requests that hosts have refused on their own while their class was closed, so that
// they count as demand of the class.
func (r *Reserve) RecordRefused(key entity.RateKey, class tokenqueue.Class, tokens float64, now time.Time) {
	if row := r.rows[key]; row != nil && row.queue != nil && validTokens(tokens) {
		row.queue.RecordDemand(class, tokens, now)
	}
}

// Supply returns how many tokens this host can admit now without a grant, the rate at which they accrue, and the number
// up to which they do.
func (l *Limiter) Supply(id entity.RateKey, now time.Time) tokenqueue.Supply {
	b, overdraft := l.refillForUse(id, now)
	rate, capacity := l.share(id, now)
	return tokenqueue.Supply{Available: b.level + overdraft, Rate: rate, Capacity: capacity + overdraft}
}
