package edge

import (
	"time"

	"github.com/foxtailpass/foxtailpass/internal/dispatch"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/quota"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

const (
	// parkPart is the part of its target for which a request waits for tokens.
	parkPart = 0.5
	// askPatience is how long the answer of the coordinator to a lack of tokens is waited for.
	askPatience = 100 * time.Millisecond
)

// parkedRequest waits for the tokens of its workspace.
type parkedRequest struct {
	request *dispatch.Request
	// lack is what it needs beyond the level of this host.
	lack float64
	// asked says that the coordinator has been told of the lack.
	asked bool
	// until is when to look again: tokens will be there, or the coordinator has not answered.
	until time.Time
}

// admit charges a request and queues it, or lets it wait for tokens.
func (c *core) admit(r *dispatch.Request, now time.Time) {
	lack, wait, ok := c.limiter.Admit(r.Workspace, r.Tokens, now)
	if ok {
		c.enqueue(r, now)
		return
	}
	p := &parkedRequest{request: r, lack: lack}
	c.log.Info("Lacks tokens.", "request", r.ID, "workspace", r.Workspace, "tokens", r.Tokens, "lack", lack, "wait", wait,
		"reserve_wait", c.limiter.ReserveWait(r.Workspace, now), "hosts", c.limiter.Hosts(), "coordinated", c.coordinated())
	if c.coordinated() {
		reserve := c.limiter.ReserveWait(r.Workspace, now)
		if reserve == 0 {
			p.until = now.Add(askPatience)
			c.parked = append(c.parked, p)
			return
		}
		wait = min(wait, reserve)
	}
	c.park(p, wait, now)
}

// park lets a request wait when its tokens will be there soon, and refuses it otherwise.
func (c *core) park(p *parkedRequest, wait time.Duration, now time.Time) {
	r := p.request
	patience := time.Duration(parkPart * float64(r.Route.Target))
	if at := now.Add(wait); at.Before(r.Arrived.Add(patience)) {
		p.until = at
		p.asked = true
		c.parked = append(c.parked, p)
		return
	}
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
		if now.Before(p.until) {
			c.parked = append(c.parked, p)
			continue
		}
		c.readmit(p, now)
	}
}

// readmit tries a parked request again. What it still lacks is asked for once more unless the
// coordinator has not answered.
func (c *core) readmit(p *parkedRequest, now time.Time) {
	r := p.request
	lack, wait, ok := c.limiter.Admit(r.Workspace, r.Tokens, now)
	if ok {
		c.enqueue(r, now)
		return
	}
	p.lack = lack
	if reserve := c.limiter.ReserveWait(r.Workspace, now); reserve > 0 {
		wait = min(wait, reserve)
	} else if p.asked && c.coordinated() && now.Sub(r.Arrived) < time.Duration(parkPart*float64(r.Route.Target)) {
		p.asked = false
		p.until = now.Add(askPatience)
		c.parked = append(c.parked, p)
		return
	}
	c.park(p, wait, now)
}

// lacksTokens says whether there is a lack that the coordinator has not been told.
func (c *core) lacksTokens() bool {
	for _, p := range c.parked {
		if !p.asked {
			return true
		}
	}
	return false
}

// lacks sums what parked requests lack, and marks them as asked for. The level of this host covers a part
// of the first one only.
func (c *core) lacks() []wire.TokenLack {
	var out []wire.TokenLack
	index := make(map[entity.WorkspaceID]int)
	for _, p := range c.parked {
		if p.asked {
			continue
		}
		p.asked = true
		id := p.request.Workspace
		i, listed := index[id]
		if !listed {
			index[id] = len(out)
			out = append(out, wire.TokenLack{Workspace: id, Tokens: p.lack, Requests: 1})
			continue
		}
		out[i].Tokens += p.request.Tokens
		out[i].Requests++
	}
	return out
}

// askTokens asks the coordinator for what parked requests lack.
func (c *core) askTokens(now time.Time) {
	if !c.coordinated() || !c.lacksTokens() {
		return
	}
	ask := &wire.TokenAsk{Host: c.self, SentAt: now.UnixNano(), Lacks: c.lacks()}
	if c.lead != nil {
		c.tokensAnswered(c.answerTokens(ask, now), now)
		return
	}
	if err := c.link.Send(ask); err != nil {
		c.log.Debug("Tokens not asked for.", "err", err)
	}
}

// tokensAnswered takes over the coordinator's answer to a lack of tokens.
func (c *core) tokensAnswered(m *wire.TokenAnswer, now time.Time) {
	late := now.Sub(time.Unix(0, m.AnswerTo)) > quota.GrantTerm
	for _, g := range m.Grants {
		if late {
			c.log.Warn("Granted tokens came too late.", "workspace", g.Workspace, "tokens", g.Tokens)
			continue
		}
		c.limiter.Grant(g.Workspace, g.Tokens, now)
		c.limiter.SetEmpty(g.Workspace, g.Wait, now)
		c.readmitAll(g.Workspace, now)
	}
}

// readmitAll tries the parked requests of a workspace that the coordinator was asked for.
func (c *core) readmitAll(id entity.WorkspaceID, now time.Time) {
	waiting := c.parked
	c.parked = nil
	for _, p := range waiting {
		if p.request.Workspace != id || !p.asked {
			c.parked = append(c.parked, p)
			continue
		}
		c.readmit(p, now)
	}
}
