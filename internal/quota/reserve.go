package quota

import (
	"maps"
	"slices"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/tokenqueue"
)

const (
	// surplusMinFill is the fraction of its capacity that must remain in the reserve if it grants a surplus as
	// large as the deficit of a request; otherwise it grants no surplus.
	surplusMinFill = 0.5
	// maxRetryAfter limits the time after which a refused request should retry.
	maxRetryAfter = 4 * time.Second
)

// Reserve grants the fraction of every rate that is not split evenly over the hosts. It grants the full
// deficit of one request at a time, in the order of the token requests. It belongs to the coordinator, of
// which there is one at a time.
type Reserve struct {
	division division
	limits   Limits
	rows     map[entity.RateKey]*reserveRow
	// withheld holds by workspace the fallback shares of the hosts that send the coordinator no reports.
	// hosts is the number of hosts that have an even share.
	withheld map[entity.RateKey]float64
	hosts    int
	// urgency is set if the waiting token requests are granted by urgency.
	urgency bool
}

// reserveRow is the reserve of one workspace.
type reserveRow struct {
	bucket
	surpluses surpluses
	// waiting holds the waiting token requests in the order in which they are granted; backlog is the sum
	// of their tokens.
	waiting []TokenRequest
	backlog float64
	// queue replaces waiting and backlog if the token requests are granted by urgency.
	queue *tokenqueue.Queue[TokenRequest]
	// retriesReservedUntil is the time until which the retries of refused requests are expected to use up
	// the tokens that accrue.
	retriesReservedUntil time.Time
}

// TokenRequest asks for the tokens that a host lacks for one request.
type TokenRequest struct {
	Host entity.HostID
	// ID identifies the token request at its host.
	ID     uint64
	Key    entity.RateKey
	Tokens float64
	// Until is the time until which the token request can wait.
	Until time.Time
	// Class is the urgency of the request, and Retry is what is known of its return. They are used if the token requests
	// are granted by urgency.
	Class tokenqueue.Class
	Retry Retry
}

// Retry describes how a request returns that is refused.
type Retry struct {
	// Within is the longest time after which the caller can return, zero if it is not known.
	Within time.Duration
	// Digest recognizes the request when it returns, zero if it is not known.
	Digest uint64
}

// TokenResponse is the response to a token request. It grants tokens, or refuses them and states in Wait after
// which time the request should retry.
type TokenResponse struct {
	Host   entity.HostID
	ID     uint64
	Key    entity.RateKey
	Tokens float64
	Wait   time.Duration
	// ClosedFor is the time within which no new request of the class can be granted, zero if it is not known.
	ClosedFor time.Duration
}

// surpluses holds the tokens of one workspace that were granted to hosts beyond the deficits of their
// requests.
type surpluses struct {
	byHost map[entity.HostID]surplus
	total  float64
}

// surplus is the outstanding surplus of one host.
type surplus struct {
	tokens float64
	setAt  time.Time
}

// set replaces the surplus of a host.
func (s *surpluses) set(host entity.HostID, tokens float64, now time.Time) {
	s.total += tokens - s.byHost[host].tokens
	s.byHost[host] = surplus{tokens: tokens, setAt: now}
}

// expire removes the surpluses that their hosts have dropped by now.
func (s *surpluses) expire(now time.Time) {
	for host, entry := range s.byHost {
		if now.Sub(entry.setAt) > reserveSurplusTTL {
			s.total -= entry.tokens
			delete(s.byHost, host)
		}
	}
}

// NewReserve returns the reserve of a new coordinator. It starts without burst, and below zero by its
// overdraft, because the previous coordinator may just have spent both.
func NewReserve(tolerance Tolerance, hosts int) *Reserve {
	return newReserve(division{tolerance: tolerance}, hosts)
}

// NewRequestReserve returns the reserve of a new coordinator for rates of requests. It starts empty, because the
// previous coordinator may just have spent the burst.
func NewRequestReserve(hosts int) *Reserve { return newReserve(division{requests: true}, hosts) }

func newReserve(d division, hosts int) *Reserve {
	return &Reserve{division: d, hosts: hosts, rows: make(map[entity.RateKey]*reserveRow), withheld: make(map[entity.RateKey]float64)}
}

// SetUrgency sets whether the reserve grants token requests by urgency instead of in the order of their arrival. Token
// requests that wait keep their order.
func (r *Reserve) SetUrgency(on bool) { r.urgency = on }

// selectOrder applies SetUrgency to a row in which no token request waits.
func (r *Reserve) selectOrder(row *reserveRow) {
	if row.hasWaiting() || r.urgency == (row.queue != nil) {
		return
	}
	row.queue = nil
	if r.urgency {
		row.queue = tokenqueue.New[TokenRequest]()
	}
}

// share returns the reserve's share of a rate and burst.
func (r *Reserve) share(id entity.RateKey) (rate, capacity float64) {
	fraction := max(r.division.reserveFraction(r.hosts)-r.withheld[id], 0)
	rate, burst := r.division.tolerance.scaledLimits(r.limits[id])
	return rate * fraction, burst * fraction
}

// rowShare returns the reserve's share of a rate and the capacity of its row.
func (r *Reserve) rowShare(id entity.RateKey, row *reserveRow) (rate, capacity float64) {
	rate, capacity = r.share(id)
	if r.division.requests && len(row.waiting) > 0 {
		// A host that returns a request asks for two tokens, which may be more than the capacity.
		capacity = max(capacity, row.waiting[0].Tokens)
	}
	return rate, capacity
}

// SetWithheld sets the number of hosts, and the fallback shares that may be in use at hosts which send the
// coordinator no reports.
func (r *Reserve) SetWithheld(shares map[entity.RateKey]float64, hosts int, now time.Time) {
	r.refillAll(now)
	r.withheld = shares
	r.hosts = hosts
	for id, row := range r.rows {
		if r.isLimited(id) {
			_, capacity := r.rowShare(id, row)
			row.level = min(row.level, capacity)
		}
		row.surpluses.expire(now)
	}
}

func (r *Reserve) refillAll(now time.Time) {
	for id, row := range r.rows {
		if r.isLimited(id) {
			rate, capacity := r.rowShare(id, row)
			row.refill(rate, capacity, now)
		}
	}
}

// SetLimits replaces the limits. A changed rate applies from now and does not refill the reserve.
func (r *Reserve) SetLimits(limits Limits, now time.Time) {
	r.refillAll(now)
	r.limits = limits
	if r.division.requests {
		maps.DeleteFunc(r.rows, func(id entity.RateKey, row *reserveRow) bool { return !r.isLimited(id) && len(row.waiting) == 0 })
	}
	for id := range limits {
		row := r.rows[id]
		if row == nil {
			row = &reserveRow{bucket: bucket{level: -r.division.tolerance.overdraft(), updated: now}, surpluses: surpluses{byHost: make(map[entity.HostID]surplus)}}
			r.rows[id] = row
		}
		_, capacity := r.rowShare(id, row)
		row.level = min(row.level, capacity)
	}
}

// isLimited reports whether there is an entry for a key, possibly without a rate.
func (r *Reserve) isLimited(id entity.RateKey) bool {
	_, ok := r.limits[id]
	return ok
}

// HasWaiting reports whether token requests are waiting.
func (r *Reserve) HasWaiting() bool {
	for _, row := range r.rows {
		if row.hasWaiting() {
			return true
		}
	}
	return false
}

// hasWaiting reports whether token requests are waiting.
func (row *reserveRow) hasWaiting() bool {
	return len(row.waiting) > 0 || row.queue != nil && row.queue.Len() > 0
}

// Request grants the tokens, or refuses them if they cannot accrue before req.Until. Otherwise the token request
// waits, and Advance returns the response later.
func (r *Reserve) Request(req TokenRequest, now time.Time) (response TokenResponse, responded bool) {
	row := r.rows[req.Key]
	if row == nil || r.limits[req.Key].Rate <= 0 {
		if r.division.requests {
			// The host has received an answer that names a limit and has not reported it yet.
			return req.refusalResponse(refusedRequestWait), true
		}
		return req.grantResponse(req.Tokens), true
	}
	if !validTokens(req.Tokens) {
		return req.refusalResponse(maxRetryAfter), true
	}
	rate, capacity := r.rowShare(req.Key, row)
	row.refill(rate, capacity, now)
	r.selectOrder(row)
	if row.queue != nil {
		return r.offer(req, row, rate, capacity, now)
	}
	if len(row.waiting) == 0 && req.Tokens <= row.level+r.division.tolerance.overdraft()+roundingTolerance {
		return r.grant(req, row, capacity, now), true
	}
	wait := row.accrualTime(req.Tokens, r.division.tolerance.overdraft(), rate)
	if r.division.requests && !req.Until.After(now) {
		// Nobody waits for the tokens, so none are set aside for a retry.
		return req.refusalResponse(wait), true
	}
	if now.Add(wait).After(req.Until) {
		return req.refusalResponse(row.scheduleRetry(req.Tokens, wait, rate, now)), true
	}
	row.waiting = append(row.waiting, req)
	row.backlog += req.Tokens
	return TokenResponse{}, false
}

// TryTake takes tokens for a request of the coordinator itself and reports whether they were available. The token
// requests of hosts go first.
func (r *Reserve) TryTake(id entity.RateKey, tokens float64, now time.Time) bool {
	row := r.rows[id]
	if row == nil || r.limits[id].Rate <= 0 {
		return true
	}
	rate, capacity := r.rowShare(id, row)
	row.refill(rate, capacity, now)
	if row.hasWaiting() || row.level < tokens-roundingTolerance {
		return false
	}
	row.level -= tokens
	return true
}

// accrualTime returns how long it takes until a number of tokens is available after the waiting token
// requests have been granted.
func (row *reserveRow) accrualTime(tokens, overdraft, rate float64) time.Duration {
	return accrualTime(max(row.backlog+tokens-row.level-overdraft, 0), rate)
}

// scheduleRetry returns after which time a refused request should retry. It reserves the accrual up to
// then for the retries of requests that were refused earlier, so that not all of them retry at once.
func (row *reserveRow) scheduleRetry(tokens float64, wait time.Duration, rate float64, now time.Time) time.Duration {
	at := now.Add(wait)
	if row.retriesReservedUntil.After(at) {
		at = row.retriesReservedUntil
	}
	if at.Sub(now) > maxRetryAfter {
		return maxRetryAfter
	}
	row.retriesReservedUntil = at.Add(accrualTime(tokens, rate))
	return at.Sub(now)
}

// grant takes the tokens of a token request from the reserve. While the reserve is well filled it grants a
// surplus as well, so that the next request of the host needs no token request.
func (r *Reserve) grant(req TokenRequest, row *reserveRow, capacity float64, now time.Time) TokenResponse {
	row.level -= req.Tokens
	extra := 0.0
	if row.level-req.Tokens >= surplusMinFill*capacity {
		extra = max(min(req.Tokens, r.division.tolerance.maxSurplus(r.limits[req.Key])-row.surpluses.total+row.surpluses.byHost[req.Host].tokens), 0)
	}
	row.surpluses.set(req.Host, extra, now)
	row.level -= extra
	return req.grantResponse(req.Tokens + extra)
}

// grantResponse returns the response that grants tokens.
func (req TokenRequest) grantResponse(tokens float64) TokenResponse {
	return TokenResponse{Host: req.Host, ID: req.ID, Key: req.Key, Tokens: tokens}
}

// refusalResponse returns the response that refuses the tokens; the request should retry after wait.
func (req TokenRequest) refusalResponse(wait time.Duration) TokenResponse {
	return TokenResponse{Host: req.Host, ID: req.ID, Key: req.Key, Wait: max(wait, time.Millisecond)}
}

// Advance returns the responses to the waiting token requests whose tokens are available or whose maximum wait
// has passed.
func (r *Reserve) Advance(now time.Time) []TokenResponse {
	var ids []entity.RateKey
	for id, row := range r.rows {
		if row.hasWaiting() {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	var out []TokenResponse
	for _, id := range ids {
		out = append(out, r.advance(id, r.rows[id], now)...)
	}
	return out
}

// advance does the work of Advance for one workspace.
func (r *Reserve) advance(id entity.RateKey, row *reserveRow, now time.Time) []TokenResponse {
	if !r.isLimited(id) {
		return row.refuseAll()
	}
	rate, capacity := r.rowShare(id, row)
	row.refill(rate, capacity, now)
	if row.queue != nil {
		return r.advanceQueue(row, rate, capacity, now)
	}
	var out []TokenResponse
	for len(row.waiting) > 0 {
		req := row.waiting[0]
		fits := req.Tokens <= row.level+r.division.tolerance.overdraft()+roundingTolerance
		if !fits && now.Before(req.Until) {
			break
		}
		row.waiting = row.waiting[1:]
		row.backlog -= req.Tokens
		if fits {
			out = append(out, r.grant(req, row, capacity, now))
			continue
		}
		wait := row.accrualTime(req.Tokens, r.division.tolerance.overdraft(), rate)
		out = append(out, req.refusalResponse(row.scheduleRetry(req.Tokens, wait, rate, now)))
	}
	if len(row.waiting) == 0 {
		row.backlog = 0
	}
	return out
}

// refuseAll refuses all waiting token requests of a workspace that was removed from the configuration.
func (row *reserveRow) refuseAll() []TokenResponse {
	var out []TokenResponse
	for _, req := range row.waiting {
		out = append(out, req.refusalResponse(maxRetryAfter))
	}
	row.waiting, row.backlog = nil, 0
	if row.queue != nil {
		for _, req := range row.queue.Drain() {
			out = append(out, req.Payload.refusalResponse(maxRetryAfter))
		}
	}
	return out
}
