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
	// parkPart is the part of its target for which a request waits for tokens.
	parkPart = 0.5
	// answerMargin is how much longer a request waits for the answer of the coordinator, which knows how
	// long the request can wait.
	answerMargin = 30 * time.Millisecond
	// silentRetryAfter tells callers when to come back while the coordinator does not answer: by then it
	// does, or the host goes on without it.
	silentRetryAfter = 700 * time.Millisecond
	// heldPatience is how much longer a request that was held until tokens were expected waits for tokens of
	// this host, heldAskPatience for an answer of the coordinator, where others wait behind it.
	heldPatience    = 1500 * time.Millisecond
	heldAskPatience = 250 * time.Millisecond
	// firstCoordinator is how long after its configuration a new process expects its first coordinator.
	firstCoordinator = 1500 * time.Millisecond
	// shortestReturn and longestReturn bound what callers are told without a coordinator.
	shortestReturn = 200 * time.Millisecond
	longestReturn  = 4 * time.Second
)

// parkedRequest waits for the tokens of its workspace.
type parkedRequest struct {
	request *dispatch.Request
	// end is until when the request can wait for tokens; heldTo is the same for a request that is held
	// beyond it, zero otherwise.
	end, heldTo time.Time
	// ask identifies the question to the coordinator, zero while there is none.
	ask uint64
	// unanswered says that the coordinator has not answered in time.
	unanswered bool
	// until is when to look again: tokens of this host's own will be there, or the coordinator has not
	// answered.
	until time.Time
}

// tokenPatience returns until when a request can wait for tokens and still be in time.
func tokenPatience(r *dispatch.Request) time.Time {
	return r.Arrived.Add(time.Duration(parkPart * float64(r.Route.Target)))
}

// patience returns until when the request waits for what can be had now.
func (p *parkedRequest) patience(coordinated bool, now time.Time) time.Time {
	switch {
	case p.heldTo.IsZero():
		return p.end
	case coordinated:
		return earliest(p.heldTo, now.Add(heldAskPatience))
	}
	return p.heldTo
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// admit charges a request and queues it, or lets it wait for tokens.
func (c *core) admit(r *dispatch.Request, now time.Time) {
	lack, wait, ok := c.limiter.Admit(r.Workspace, r.Tokens, now)
	if ok {
		c.enqueue(r, now)
		return
	}
	c.log.Info("Lacks tokens.", "request", r.ID, "workspace", r.Workspace, "tokens", r.Tokens, "lack", lack, "wait", wait,
		"hosts", c.limiter.Hosts(), "coordinated", c.coordinated())
	c.lackTokens(&parkedRequest{request: r, end: tokenPatience(r)}, lack, wait, now)
}

// lackTokens lets a request wait for the coordinator, or without one for this host's own tokens, when
// they can be there in time.
func (c *core) lackTokens(p *parkedRequest, lack float64, wait time.Duration, now time.Time) {
	p.ask = 0
	end := p.patience(c.coordinated(), now)
	switch {
	case c.coordinated() && now.Before(end):
		c.asks++
		p.ask = c.asks
		p.until = end.Add(answerMargin)
		c.lacking = append(c.lacking, wire.TokenLack{ID: p.ask, Workspace: p.request.Workspace, Tokens: lack, Patience: end.Sub(now)})
	case now.Add(wait).Before(end):
		p.until = now.Add(wait)
	case !c.coordinated() && c.hold(p, now):
	default:
		c.refuseTokens(p.request, c.comeBack(wait, now))
		return
	}
	c.parked = append(c.parked, p)
}

// hold lets a request wait beyond its patience when tokens are expected soon and it would still have the
// time of its target to run. A refused caller would meet the same silence when it comes back.
func (c *core) hold(p *parkedRequest, now time.Time) bool {
	due := c.tokensDue(now)
	last := p.request.Deadline.Add(-p.request.Route.Target)
	if !due.After(now) || !due.Before(last) {
		return false
	}
	p.until = due
	p.heldTo = earliest(due.Add(heldPatience), last)
	return true
}

// tokensDue returns when this host expects to have tokens although it gets no answer now: when it may use
// its own parts without the coordinator, or when the first coordinator is there. A time that has passed
// means that nothing is expected.
func (c *core) tokensDue(now time.Time) time.Time {
	if c.coordinated() {
		return c.heardAt.Add(peer.SessionSilence + quota.AloneAfter)
	}
	if from, ok := c.limiter.FallbackFrom(); ok && from.After(now) {
		return from
	}
	return c.coordinatorDue
}

// comeBack returns after which time a refused caller should come back, if this host's own tokens take a
// while. A coordinator may be there sooner.
func (c *core) comeBack(wait time.Duration, now time.Time) time.Duration {
	if due := c.tokensDue(now).Sub(now); due > 0 && !c.coordinated() {
		return max(min(wait, due), shortestReturn)
	}
	return min(wait, longestReturn)
}

func (c *core) refuseTokens(r *dispatch.Request, wait time.Duration) {
	c.finish(r, step{
		reason:  dispatch.ReasonRateLimited,
		refusal: &entity.Refusal{Status: 429, Code: string(dispatch.ReasonRateLimited), Ran: entity.NotRun, RetryAfter: wait},
	})
}

// unpark looks again at the requests whose time has come.
func (c *core) unpark(now time.Time) {
	waiting := c.parked
	c.parked = nil
	for _, p := range waiting {
		switch {
		case now.Before(p.until):
			c.parked = append(c.parked, p)
		case p.ask != 0:
			c.noAnswer(p, now)
		default:
			c.readmit(p, now)
		}
	}
}

// noAnswer lets a request wait until the silence of the coordinator is decided, once.
func (c *core) noAnswer(p *parkedRequest, now time.Time) {
	if !p.unanswered && c.hold(p, now) {
		p.unanswered = true
		c.parked = append(c.parked, p)
		return
	}
	c.log.Info("No answer about tokens.", "request", p.request.ID, "workspace", p.request.Workspace, "heard", now.Sub(c.heardAt))
	c.refuseTokens(p.request, silentRetryAfter)
}

// readmit tries a parked request again.
func (c *core) readmit(p *parkedRequest, now time.Time) {
	lack, wait, ok := c.limiter.Admit(p.request.Workspace, p.request.Tokens, now)
	if ok {
		c.enqueue(p.request, now)
		return
	}
	c.lackTokens(p, lack, wait, now)
}

// reparkAll tries all parked requests again, because the coordinator has come or gone.
func (c *core) reparkAll(now time.Time) {
	waiting := c.parked
	c.parked = nil
	c.lacking = nil
	for _, p := range waiting {
		c.readmit(p, now)
	}
}

// askTokens asks the coordinator for what parked requests lack.
func (c *core) askTokens(now time.Time) {
	if len(c.lacking) == 0 || !c.coordinated() {
		return
	}
	ask := &wire.TokenAsk{Host: c.self, SentAt: now.UnixNano(), Lacks: c.lacking}
	c.lacking = nil
	if c.lead != nil {
		c.tokensAsked(tokensAsked{ask: ask}, now)
		return
	}
	if err := c.link.Send(ask); err != nil {
		c.log.Debug("Tokens not asked for.", "err", err)
	}
}

// tokensAnswered takes over the coordinator's answers to questions for tokens.
func (c *core) tokensAnswered(m *wire.TokenAnswer, now time.Time) {
	for _, g := range m.Grants {
		c.tokenAnswered(g, now)
	}
}

func (c *core) tokenAnswered(g wire.TokenGrant, now time.Time) {
	i := slices.IndexFunc(c.parked, func(p *parkedRequest) bool { return p.ask == g.ID })
	if i < 0 {
		// The caller has left, or the answer came too late to be counted on.
		c.log.Debug("Answer about tokens unused.", "workspace", g.Workspace, "tokens", g.Tokens)
		return
	}
	p := c.parked[i]
	c.parked = slices.Delete(c.parked, i, i+1)
	if g.Tokens <= 0 {
		c.refuseTokens(p.request, g.Wait)
		return
	}
	c.limiter.Grant(g.Workspace, g.Tokens, now)
	c.readmit(p, now)
}

// tokensAsked answers a host's question for tokens as coordinator, as far as it can be answered now.
func (c *core) tokensAsked(e tokensAsked, now time.Time) {
	if c.lead == nil {
		return
	}
	host := e.ask.Host
	var replies []quota.Reply
	for _, lack := range e.ask.Lacks {
		c.lead.shares.Asked(host, lack.Workspace, lack.Tokens, now)
		a := quota.Ask{Host: host, ID: lack.ID, Workspace: lack.Workspace, Tokens: lack.Tokens, Until: now.Add(lack.Patience)}
		if reply, ok := c.lead.reserve.Ask(a, now); ok {
			replies = append(replies, reply)
		}
	}
	c.replyTokens(replies, now)
}

// replyTokens tells hosts what the reserve replies.
func (c *core) replyTokens(replies []quota.Reply, now time.Time) {
	byHost := make(map[entity.HostID]*wire.TokenAnswer)
	for _, r := range replies {
		answer := byHost[r.Host]
		if answer == nil {
			answer = &wire.TokenAnswer{}
			byHost[r.Host] = answer
		}
		answer.Grants = append(answer.Grants, wire.TokenGrant{ID: r.ID, Workspace: r.Workspace, Tokens: r.Tokens, Wait: r.Wait})
	}
	for host, answer := range byHost {
		c.answerTokens(host, answer, now)
	}
}

func (c *core) answerTokens(host entity.HostID, answer *wire.TokenAnswer, now time.Time) {
	if host == c.self {
		c.tokensAnswered(answer, now)
		return
	}
	h := c.lead.hosts[host]
	if h == nil || h.session == nil {
		return
	}
	if err := h.session.Send(answer); err != nil {
		c.log.Debug("Tokens not sent.", "host", host, "err", err)
	}
}
