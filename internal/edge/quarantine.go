package edge

import (
	"context"
	"errors"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/boottime"
	"github.com/foxtailpass/foxtailpass/internal/dispatch"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
	"github.com/foxtailpass/foxtailpass/internal/quarantine"
)

const (
	// statusQuarantined is the status of a final refusal because of a part of the prompt: the request itself cannot be
	// served, and would not be served later either.
	statusQuarantined = 422
	// pruneInterval is how often the coordinator removes old records about crashes.
	pruneInterval = 5 * time.Second
	// lostClaimRetryAfter is the least Retry-After while another host probes a part: by then the result is known.
	lostClaimRetryAfter = time.Second
)

// errClaimLost reports that the condition of a transaction does not hold: another host was faster.
var errClaimLost = errors.New("edge: record changed by another host")

// suspect describes an attempt for the control state if it may have crashed its engine: the connection ended before an
// event arrived.
func (s *requestSession) suspect(st step, res dispatch.AttemptResult) *suspectAttempt {
	if !res.Broken || len(s.request.SharedParts) == 0 {
		return nil
	}
	return &suspectAttempt{
		addr: st.target.Addr,
		attempt: quarantine.Attempt{
			Service:   s.request.Pool.Service,
			Instance:  quarantine.Instance{Upstream: st.target.ID, BornMillis: st.target.BornMillis},
			Parts:     s.request.SharedParts,
			Answering: res.Answering,
		},
	}
}

// suspect is requestSession.suspect for a stream. An engine that another answer to the same request has begun at does
// not end because of it.
func (e *eventStream) suspect(res dispatch.AttemptResult) *suspectAttempt {
	if e.begun() {
		return nil
	}
	return e.requestSession.suspect(e.step, res)
}

// reportAnswerBegan records that an upstream has begun to answer. It reports that to the control state if a part of the
// prompt is a suspect.
func (s *requestSession) reportAnswerBegan() {
	if len(s.request.SharedParts) == 0 {
		return
	}
	s.frontend.recentParts.Add(s.request.Pool.Service, s.request.SharedParts, boottime.Now())
	watched := s.frontend.watchedParts.Load()
	if watched == nil || len(*watched) == 0 {
		return
	}
	for _, id := range s.request.SharedParts {
		if _, ok := (*watched)[quarantine.Part{Service: s.request.Pool.Service, ID: id}]; ok {
			s.frontend.send(answerBegan{service: s.request.Pool.Service, parts: s.request.SharedParts, probe: s.request.Probe})
			return
		}
	}
}

// awaitsCheck reports whether the end of an attempt is processed later, when it is known whether its engine has ended.
func (c *core) awaitsCheck(e attemptEnded) bool {
	if e.suspect == nil {
		return false
	}
	instance := e.suspect.attempt.Instance
	if c.quarantine.AttemptBroken(e.suspect.attempt) {
		c.effects.checkEngine(instance, e.suspect.addr)
	}
	if !c.quarantine.IsPending(instance) {
		return false
	}
	c.brokenAttempts[instance] = append(c.brokenAttempts[instance], e)
	return true
}

// engineChecked processes the attempts that broke at an engine. One that the engine did not end under was broken by
// something else.
func (c *core) engineChecked(e engineChecked, now time.Time) {
	suspects := c.quarantine.Checked(e.instance, e.ended, now)
	if suspects {
		c.suspectedCrashes++
	}
	c.log.Info("Engine checked after broken attempts.", "upstream", e.instance.Upstream, "ended", e.ended, "suspects", suspects)
	c.quarantineUpdated(now)
	ends := c.brokenAttempts[e.instance]
	delete(c.brokenAttempts, e.instance)
	for _, end := range ends {
		end.suspect = nil
		end.result.Answering = end.result.Answering && e.ended
		c.attemptEnded(end, now)
	}
}

// quarantineChanged applies changes of the records about crashes.
func (c *core) quarantineChanged(e quarantineChanged, now time.Time) {
	for _, err := range c.quarantine.Apply(e.changes, now) {
		c.log.Warn("Record about a crash ignored.", "err", err)
	}
	c.quarantineUpdated(now)
}

// quarantineUpdated logs what has changed, and refuses the waiting requests with newly quarantined parts.
func (c *core) quarantineUpdated(now time.Time) {
	watched := c.quarantine.Watched()
	c.watchedParts.Store(&watched)
	quarantined := false
	for _, ch := range c.quarantine.TakeChanges() {
		if !ch.Quarantined {
			c.log.Info("Prompt part released from quarantine.", "service", ch.Part.Service, "part", ch.Part.ID)
			continue
		}
		quarantined = true
		c.log.Warn("Prompt part quarantined.", "service", ch.Part.Service, "part", ch.Part.ID, "engines", ch.Engines)
	}
	if quarantined {
		refusal := entity.Refusal{Status: 503, Code: string(dispatch.ReasonQuarantined), Ran: entity.NotRun, RetryAfter: staleRetryAfter}
		c.applyDecisions(c.scheduler.RefuseWhere(func(r *dispatch.Request) bool { return c.isQuarantined(r, now) }, refusal, dispatch.ReasonQuarantined), now)
	}
}

// isQuarantined reports whether a request must not be sent because of a part of its prompt.
func (c *core) isQuarantined(r *dispatch.Request, now time.Time) bool {
	return !r.Probe && c.quarantine.Check(r.Pool.Service, r.SharedParts, now).Action != quarantine.Pass
}

// passesQuarantine reports whether a request may be queued now. If not, it refuses the request or claims its probe.
func (c *core) passesQuarantine(r *dispatch.Request, now time.Time) bool {
	v := c.quarantine.Check(r.Pool.Service, r.SharedParts, now)
	switch v.Action {
	case quarantine.Refuse:
		c.limiter.Refund(entity.RateKey(r.Workspace), r.Tokens, now)
		c.refuseQuarantined(r, v)
	case quarantine.Probe:
		c.claims[r.ID] = r
		c.effects.claimProbe(r.ID, v.Parts, c.quarantine.Claim(v))
	}
	return v.Action == quarantine.Pass
}

// refuseQuarantined refuses a request that has not been queued.
func (c *core) refuseQuarantined(r *dispatch.Request, v quarantine.Verdict) {
	refusal := entity.Refusal{Status: 503, Code: string(dispatch.ReasonQuarantined), Ran: entity.NotRun, RetryAfter: v.RetryAfter}
	if v.Final {
		refusal.Status, refusal.RetryAfter = statusQuarantined, 0
	}
	c.sendFinalAnswer(r, step{refusal: &refusal, reason: dispatch.ReasonQuarantined, basis: basis{quarantined: v.Parts}})
}

// probeClaimed queues a request whose probe was claimed, and refuses it if another host was faster.
func (c *core) probeClaimed(e probeClaimed, now time.Time) {
	c.quarantine.Claimed(e.parts, e.txn, e.err == nil, e.revision, now)
	c.quarantineUpdated(now)
	r := c.claims[e.request]
	delete(c.claims, e.request)
	if r == nil {
		return
	}
	c.log.Info("Probe of quarantined prompt parts.", "request", r.ID, "parts", partIDs(e.parts), "err", e.err)
	if e.err == nil {
		r.Probe = true
		c.probes++
		c.enqueue(r, now)
		return
	}
	v := c.quarantine.Check(r.Pool.Service, r.SharedParts, now)
	if v.Action == quarantine.Pass {
		c.enqueue(r, now)
		return
	}
	v.RetryAfter = max(v.RetryAfter, lostClaimRetryAfter)
	c.limiter.Refund(entity.RateKey(r.Workspace), r.Tokens, now)
	c.refuseQuarantined(r, v)
}

// writeQuarantine starts the writes of records about crashes that are due.
func (c *core) writeQuarantine(now time.Time) {
	for _, w := range c.quarantine.TakeWrites(now) {
		c.effects.writeQuarantine(w)
	}
}

func (c *core) quarantineWritten(e quarantineWritten, now time.Time) {
	if e.err != nil && !errors.Is(e.err, errClaimLost) {
		c.log.Warn("Record about a crash not written.", "err", e.err)
	}
	c.quarantine.Written(e.id, e.err == nil, now)
}

// pruneQuarantine removes old records about crashes. Only the coordinator does that.
func (c *core) pruneQuarantine(now time.Time) {
	if now.Sub(c.prunedAt) < pruneInterval || !c.effects.holdsLease() {
		return
	}
	c.prunedAt = now
	if txn, ok := c.quarantine.Prune(now); ok {
		c.effects.writeQuarantine(quarantine.Write{Txn: txn})
	}
}

func partIDs(parts []quarantine.Part) []entity.PromptPartID {
	var ids []entity.PromptPartID
	for _, p := range parts[:min(len(parts), maxLoggedParts)] {
		ids = append(ids, p.ID)
	}
	return ids
}

// checkEngine implements effects.
func (h *Host) checkEngine(i quarantine.Instance, addr string) {
	go func() {
		h.send(engineChecked{instance: i, ended: h.frontend.upstreams.HasEnded(h.background, addr)})
	}()
}

// writeQuarantine implements effects.
func (h *Host) writeQuarantine(w quarantine.Write) {
	go func() {
		_, err := h.runTxn(w.Txn)
		h.send(quarantineWritten{id: w.ID, err: err})
	}()
}

// claimProbe implements effects.
func (h *Host) claimProbe(id entity.RequestID, parts []quarantine.Part, txn kvstore.Txn) {
	go func() {
		revision, err := h.runTxn(txn)
		h.send(probeClaimed{request: id, parts: parts, txn: txn, revision: revision, err: err})
	}()
}

// runTxn runs a transaction and returns an error if its conditions do not hold.
func (h *Host) runTxn(txn kvstore.Txn) (revision int64, err error) {
	ctx, cancel := context.WithTimeout(h.background, h.opts.Settings.Store.Timeout.Std())
	defer cancel()
	res, err := h.opts.Store.Txn(ctx, txn)
	if err == nil && !res.Succeeded {
		err = errClaimLost
	}
	return res.Revision, err
}
