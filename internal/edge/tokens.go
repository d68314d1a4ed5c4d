package edge

import (
	"slices"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/dispatch"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/peer"
	"github.com/foxtailpass/foxtailpass/internal/quota"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

const (
	// tokenWaitShare is the share of the target latency of a route for which its requests wait for tokens.
	tokenWaitShare = 0.5
	// answerMargin is how much longer a request waits for the coordinator's answer than the maximum wait that
	// the coordinator was sent.
	answerMargin = 30 * time.Millisecond
	// unansweredRetryAfter is the Retry-After while the coordinator does not answer: by then it answers
	// again, or the host works without it.
	unansweredRetryAfter = 700 * time.Millisecond
	// heldMaxWait is how long a held request (see holdForTokens) waits for tokens of this host, counted from the
	// time at which they were expected. heldAnswerWait is how long a held request waits for an answer of the
	// coordinator. It is shorter, because other token requests wait behind it at the coordinator.
	heldMaxWait    = 1500 * time.Millisecond
	heldAnswerWait = 250 * time.Millisecond
	// firstCoordinatorWait is how long after its first configuration a new process expects its first
	// coordinator.
	firstCoordinatorWait = 1500 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the Retry-After that this host determines without the
	// coordinator.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 4 * time.Second
)

// parkedRequest waits for the tokens of its workspace.
type parkedRequest struct {
	request *dispatch.Request
	// waitUntil is the time until which the request can wait for tokens and still be in time. heldUntil replaces
	// it for a request that is held longer, and is zero otherwise.
	waitUntil, heldUntil time.Time
	// tokenRequestID identifies the token request to the coordinator, zero while there is none.
	tokenRequestID uint64
	// lacked is set once the request has been counted as one that lacks tokens; see countLack.
	lacked bool
	// queued is set while the request is in the queue of this host; see rateUrgency.
	queued bool
	// unanswered reports whether the request has been held because the coordinator did not answer in time.
	unanswered bool
	// recheckAt is when the request is checked again: by then this host has enough tokens of its own, or the
	// coordinator has failed to answer in time.
	recheckAt time.Time
}

// tokenWaitDeadline returns the time until which a request can wait for the tokens of a workspace and still be in time. It has
// been a request of the workspace since the given time.
func tokenWaitDeadline(r *dispatch.Request, since time.Time) time.Time {
	return earliest(since.Add(time.Duration(tokenWaitShare*float64(r.Route.TargetLatency))), r.Deadline)
}

// currentDeadline returns the time until which the request waits for tokens from the coordinator, or from
// this host if there is no coordinator.
func (p *parkedRequest) currentDeadline(coordinated bool, now time.Time) time.Time {
	switch {
	case p.heldUntil.IsZero():
		return p.waitUntil
	case coordinated:
		return earliest(p.heldUntil, now.Add(heldAnswerWait))
	}
	return p.heldUntil
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// admit charges a request and queues it, or parks it until tokens are available. It has been a request of its workspace since
// the given time.
func (c *core) admit(r *dispatch.Request, since, now time.Time) {
	if c.rateUrgency != nil {
		c.admitByUrgency(r, since, now)
		return
	}
	deficit, wait, ok := c.limiter.Admit(entity.RateKey(r.Workspace), r.Tokens, now)
	if ok {
		c.enqueue(r, now)
		return
	}
	c.log.Info("Lacks tokens.", "request", r.ID, "workspace", r.Workspace, "tokens", r.Tokens, "lack", deficit, "wait", wait,
		"hosts", c.limiter.Hosts(), "coordinated", c.hasCoordinator())
	c.waitForTokens(&parkedRequest{request: r, waitUntil: tokenWaitDeadline(r, since)}, deficit, wait, now)
}

// waitForTokens parks a request until the coordinator answers or, without a coordinator, until this host's
// own tokens are available, if that is in time. Otherwise it holds or refuses the request.
func (c *core) waitForTokens(p *parkedRequest, deficit float64, wait time.Duration, now time.Time) {
	p.tokenRequestID = 0
	end := p.currentDeadline(c.hasCoordinator(), now)
	switch {
	case c.rateUrgency != nil && c.hasCoordinator() && c.refuseClosed(p, now):
		return
	case c.hasCoordinator() && now.Before(end):
		c.lastTokenRequestID++
		p.tokenRequestID = c.lastTokenRequestID
		p.recheckAt = end.Add(answerMargin)
		c.unsentDeficits = append(c.unsentDeficits, wire.TokenDeficit{ID: p.tokenRequestID, Workspace: p.request.Workspace, Tokens: deficit, MaxWait: end.Sub(now)})
		c.describeDeficit(p, &c.unsentDeficits[len(c.unsentDeficits)-1], now)
	case now.Add(wait).Before(end):
		p.recheckAt = now.Add(wait)
	case !c.hasCoordinator() && c.holdForTokens(p, now):
		// holdForTokens has set the time of the next check.
	default:
		c.refuseTokens(p.request, c.retryAfter(wait, now), now)
		return
	}
	c.parked = append(c.parked, p)
}

// holdForTokens parks a request beyond its maximum wait if tokens are expected soon and the request would
// then still have the TargetLatency of its route before its deadline. A refused caller would find the coordinator still silent when it
// retries.
func (c *core) holdForTokens(p *parkedRequest, now time.Time) bool {
	due := c.tokensExpectedAt(now)
	last := p.request.Deadline.Add(-p.request.Route.TargetLatency)
	if !due.After(now) || !due.Before(last) {
		return false
	}
	p.recheckAt = due
	p.heldUntil = earliest(due.Add(heldMaxWait), last)
	return true
}

// tokensExpectedAt returns when this host expects to have tokens although it gets no answer now: when it may
// use its own fallback shares without the coordinator, or, in a new process, the latest time at which its first
// coordinator is expected. A time in the past means that no tokens are expected.
func (c *core) tokensExpectedAt(now time.Time) time.Time {
	if c.hasCoordinator() {
		return c.lastMessageAt.Add(peer.SessionSilenceTimeout + quota.FallbackDelay)
	}
	if from, ok := c.limiter.FallbackStart(); ok && from.After(now) {
		return from
	}
	return c.coordinatorExpectedUntil
}

// retryAfter returns the Retry-After of a refusal, given that this host's own tokens become available after wait. Without
// a coordinator it is shorter if tokens are expected sooner (see tokensExpectedAt).
func (c *core) retryAfter(wait time.Duration, now time.Time) time.Duration {
	if due := c.tokensExpectedAt(now).Sub(now); due > 0 && !c.hasCoordinator() {
		return max(min(wait, due), minRetryAfter)
	}
	return min(wait, maxRetryAfter)
}

func (c *core) refuseTokens(r *dispatch.Request, wait time.Duration, now time.Time) {
	c.countTokens(r, tokensRefused, now)
	c.sendFinalAnswer(r, step{
		reason:  dispatch.ReasonRateLimited,
		refusal: &entity.Refusal{Status: 429, Code: string(dispatch.ReasonRateLimited), Ran: entity.NotRun, RetryAfter: wait},
	})
}

// recheckParked checks the parked requests whose recheckAt has come.
func (c *core) recheckParked(now time.Time) {
	waiting := c.parked
	c.parked = nil
	for _, p := range waiting {
		switch {
		case p.queued || now.Before(p.recheckAt):
			c.parked = append(c.parked, p)
		case p.tokenRequestID != 0:
			c.handleNoAnswer(p, now)
		default:
			c.readmit(p, now)
		}
	}
}

// handleNoAnswer handles a token request that the coordinator has not answered in time. The first time, it holds the
// request, if holdForTokens permits, until the coordinator answers or its session has ended. Otherwise it refuses it.
func (c *core) handleNoAnswer(p *parkedRequest, now time.Time) {
	if !p.unanswered && c.holdForTokens(p, now) {
		p.unanswered = true
		c.parked = append(c.parked, p)
		return
	}
	if c.rateUrgency == nil {
		c.log.Info("No answer about tokens.", "request", p.request.ID, "workspace", p.request.Workspace, "heard", now.Sub(c.lastMessageAt))
	}
	c.countTokens(p.request, tokensUnanswered, now)
	c.refuseTokens(p.request, unansweredRetryAfter, now)
}

// readmit tries to admit a parked request again.
func (c *core) readmit(p *parkedRequest, now time.Time) {
	if c.usesQueue(p.request) {
		c.offer(p, now)
		return
	}
	deficit, wait, ok := c.limiter.Admit(entity.RateKey(p.request.Workspace), p.request.Tokens, now)
	if ok {
		c.countGrant(p, now)
		c.enqueue(p.request, now)
		return
	}
	c.waitForTokens(p, deficit, wait, now)
}

// readmitAll tries to admit all parked requests again, because a coordinator was gained or lost.
func (c *core) readmitAll(now time.Time) {
	waiting := c.parked
	c.parked = nil
	c.unsentDeficits = nil
	c.clearQueues(waiting)
	for _, p := range waiting {
		c.readmit(p, now)
	}
}

// sendTokenRequest requests from the coordinator the tokens that parked requests lack.
func (c *core) sendTokenRequest(now time.Time) {
	if len(c.unsentDeficits) == 0 || !c.hasCoordinator() || c.batchesDeficits(now) {
		return
	}
	request := &wire.TokenRequest{Host: c.self, SentAt: now.UnixNano(), Deficits: c.unsentDeficits}
	c.unsentDeficits = nil
	if c.coordinator != nil {
		c.tokensRequested(tokensRequested{request: request}, now)
		return
	}
	if err := c.link.Send(request); err != nil {
		c.log.Debug("Token request not sent.", "err", err)
	}
}

// tokensAnswered applies the coordinator's answers to token requests.
func (c *core) tokensAnswered(m *wire.TokenResponse, now time.Time) {
	for _, g := range m.Grants {
		if g.Upstream == "" {
			c.applyTokenGrant(g, now)
		} else if result, known := c.requestLimits.HandleGrant(g, now); known {
			c.limitAnswered(result, now)
		}
	}
}

func (c *core) applyTokenGrant(g wire.TokenGrant, now time.Time) {
	i := slices.IndexFunc(c.parked, func(p *parkedRequest) bool { return p.tokenRequestID == g.ID })
	if i < 0 {
		// The caller has left, or the answer arrived too late and the request no longer waits for it.
		c.log.Debug("Token grant or refusal not used.", "workspace", g.Workspace, "tokens", g.Tokens)
		return
	}
	p := c.parked[i]
	c.parked = slices.Delete(c.parked, i, i+1)
	if g.Tokens <= 0 {
		c.closeClass(p.request, g, now)
		c.refuseTokens(p.request, g.Wait, now)
		return
	}
	c.limiter.Grant(entity.RateKey(g.Workspace), g.Tokens, now)
	c.readmit(p, now)
}

// tokensRequested handles a host's token request if this host is the coordinator. It records the demand, and sends
// the grants and refusals that the reserve can decide now.
func (c *core) tokensRequested(e tokensRequested, now time.Time) {
	if c.coordinator == nil {
		return
	}
	host := e.request.Host
	var responses, limitResponses []quota.TokenResponse
	for _, deficit := range e.request.Deficits {
		if deficit.Upstream != "" {
			if response, ok := c.limitRequested(host, deficit, now); ok {
				limitResponses = append(limitResponses, response)
			}
			continue
		}
		key := entity.RateKey(deficit.Workspace)
		c.coordinator.shares.RecordDemand(host, key, deficit.Tokens, now)
		req := quota.TokenRequest{Host: host, ID: deficit.ID, Key: key, Tokens: deficit.Tokens, Until: now.Add(deficit.MaxWait)}
		req.Class, req.Retry = classOfDeficit(deficit), quota.Retry{Within: deficit.ReturnWithin, Digest: deficit.Digest}
		c.coordinator.reserve.RecordRefused(key, req.Class, deficit.Refused, now)
		if response, ok := c.coordinator.reserve.Request(req, now); ok {
			responses = append(responses, response)
		}
	}
	c.sendTokenResponses(responses, workspaceGrant, now)
	c.sendTokenResponses(limitResponses, limitGrant, now)
}

// workspaceGrant returns the message of an answer about the rate of a workspace.
func workspaceGrant(r quota.TokenResponse) wire.TokenGrant {
	return wire.TokenGrant{ID: r.ID, Workspace: entity.WorkspaceID(r.Key), Tokens: r.Tokens, Wait: r.Wait, ClosedFor: r.ClosedFor}
}

// sendTokenResponses sends each host the grants and refusals of a reserve.
func (c *core) sendTokenResponses(responses []quota.TokenResponse, grant func(quota.TokenResponse) wire.TokenGrant, now time.Time) {
	byHost := make(map[entity.HostID]*wire.TokenResponse)
	for _, r := range responses {
		message := byHost[r.Host]
		if message == nil {
			message = &wire.TokenResponse{}
			byHost[r.Host] = message
		}
		message.Grants = append(message.Grants, grant(r))
	}
	for host, message := range byHost {
		c.sendTokenResponse(host, message, now)
	}
}

func (c *core) sendTokenResponse(host entity.HostID, message *wire.TokenResponse, now time.Time) {
	if host == c.self {
		c.tokensAnswered(message, now)
		return
	}
	h := c.coordinator.hosts[host]
	if h == nil || h.session == nil {
		return
	}
	if err := h.session.Send(message); err != nil {
		c.log.Debug("Token grant or refusal not sent.", "host", host, "err", err)
	}
}
