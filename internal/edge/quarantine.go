package edge

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/boottime"
	"github.com/foxtailpass/foxtailpass/internal/dispatch"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
	"github.com/foxtailpass/foxtailpass/internal/quarantine"
)

const (
	// statusQuarantined is the status of a final refusal because of the quarantine: the request itself cannot be
	// served, and would not be served later either.
	statusQuarantined = 422
	// pruneInterval is how often the coordinator removes old records about crashes.
	pruneInterval = 5 * time.Second
	// lostClaimRetryAfter is the least Retry-After while another host sends a probe: by then the result is known.
	lostClaimRetryAfter = time.Second
)

// errClaimLost reports that the condition of a transaction does not hold: another host was faster.
var errClaimLost = errors.New("edge: record changed by another host")

// traitsOf returns what a request has in common with others.
func traitsOf(r *dispatch.Request) quarantine.Traits {
	return quarantine.Traits{Service: r.Pool.Service, Parts: r.SharedParts, Digest: r.Digest}
}

// suspect describes an attempt for the control state if it may have crashed its replica: the connection ended before the
// answer was complete. begun is set if an event of an answer to the request has arrived.
func (s *requestSession) suspect(st step, res dispatch.AttemptResult, begun bool) *suspectAttempt {
	if !res.Broken {
		return nil
	}
	return &suspectAttempt{
		addr: st.target.Addr,
		attempt: quarantine.Attempt{
			Traits:    traitsOf(s.request),
			Instance:  quarantine.Instance{Upstream: st.target.ID, BornMillis: st.target.BornMillis},
			Answering: res.Answering,
			Begun:     begun,
		},
	}
}

// reportAnswerBegan records that the answer to the request has begun.
func (s *requestSession) reportAnswerBegan() {
	traits := traitsOf(s.request)
	s.frontend.recentTraits.AnswerBegan(traits, boottime.Now())
	if s.isWatched(traits) {
		s.frontend.send(answerBegan{traits: traits, probe: s.request.Probe})
	}
}

// reportAnswerCompleted records that the answer to the request has been received completely.
func (s *requestSession) reportAnswerCompleted() {
	traits := traitsOf(s.request)
	s.frontend.recentTraits.AnswerCompleted(traits, boottime.Now())
	if s.isWatched(traits) {
		s.frontend.send(answerCompleted{traits: traits, probe: s.request.Probe})
	}
}

// isWatched reports whether the control state must know about answers to a request with the traits.
func (s *requestSession) isWatched(traits quarantine.Traits) bool {
	watched := s.frontend.watchedTraits.Load()
	return watched != nil && len(*watched) > 0 && traits.AnyIn(*watched)
}

// awaitsCheck reports whether the end of an attempt is processed later, when it is known whether its replica has ended.
// A stream that has begun goes on without that delay.
func (c *core) awaitsCheck(e attemptEnded) bool {
	if e.suspect == nil || c.isLeaving(e.suspect.attempt.Instance.Upstream) {
		return false
	}
	instance := e.suspect.attempt.Instance
	if c.quarantine.AttemptBroken(e.suspect.attempt) {
		c.effects.checkReplica(instance, e.suspect.addr)
	}
	if e.suspect.attempt.Begun || !c.quarantine.IsPending(instance) {
		return false
	}
	c.brokenAttempts[instance] = append(c.brokenAttempts[instance], e)
	return true
}

// isLeaving reports whether an upstream ends because it leaves: it is draining, or no longer listed. One that crashes is
// listed for some more seconds.
func (c *core) isLeaving(id entity.UpstreamID) bool {
	u := c.fleet.Get(id)
	return u == nil || u.Draining || c.scheduler.IsDraining(id)
}

// replicaChecked processes the attempts that broke at a replica. One that the replica did not end under was broken by
// something else.
func (c *core) replicaChecked(e replicaChecked, now time.Time) {
	suspects := c.quarantine.Checked(e.instance, e.ended, now)
	if suspects {
		c.suspectedCrashes++
	}
	c.log.Info("Replica checked after broken attempts.", "upstream", e.instance.Upstream, "ended", e.ended, "suspects", suspects)
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

// quarantineUpdated logs what has changed, and refuses the waiting requests with newly quarantined traits.
func (c *core) quarantineUpdated(now time.Time) {
	watched := c.quarantine.Watched()
	c.watchedTraits.Store(&watched)
	quarantined := false
	for _, ch := range c.quarantine.TakeChanges() {
		c.logQuarantineChange(ch)
		quarantined = quarantined || ch.Quarantined
	}
	if !quarantined {
		return
	}
	for _, reason := range []dispatch.Reason{dispatch.ReasonPartQuarantined, dispatch.ReasonRequestQuarantined} {
		refusal := entity.Refusal{Status: 503, Code: string(reason), Ran: entity.NotRun, RetryAfter: staleRetryAfter}
		match := func(r *dispatch.Request) bool { return !r.Probe && c.quarantineReason(r, now) == reason }
		c.applyDecisions(c.scheduler.RefuseWhere(match, refusal, reason), now)
	}
}

func (c *core) logQuarantineChange(ch quarantine.Change) {
	x := ch.Trait
	switch {
	case x.IsRequest() && ch.Quarantined:
		c.log.Warn("Request quarantined.", "digest", x.Request, "replicas", ch.Replicas)
	case x.IsRequest():
		c.log.Info("Request released from quarantine.", "digest", x.Request)
	case ch.Quarantined:
		c.log.Warn("Prompt part quarantined.", "service", x.Service, "part", x.Part, "engines", ch.Replicas)
	default:
		c.log.Info("Prompt part released from quarantine.", "service", x.Service, "part", x.Part)
	}
}

// quarantineReason returns the reason why a request must not be sent because of the quarantine, unless it is a probe. It
// is empty if the request may be sent.
func (c *core) quarantineReason(r *dispatch.Request, now time.Time) dispatch.Reason {
	v := c.quarantine.Check(traitsOf(r), now)
	if v.Action == quarantine.Pass {
		return ""
	}
	return reasonOf(v)
}

// reasonOf returns the reason of a refusal because of quarantined traits.
func reasonOf(v quarantine.Verdict) dispatch.Reason {
	if slices.ContainsFunc(v.Traits, quarantine.Trait.IsRequest) {
		return dispatch.ReasonRequestQuarantined
	}
	return dispatch.ReasonPartQuarantined
}

// passesQuarantine reports whether a request may be queued now. If not, it refuses the request or claims its probe.
func (c *core) passesQuarantine(r *dispatch.Request, now time.Time) bool {
	v := c.quarantine.Check(traitsOf(r), now)
	switch v.Action {
	case quarantine.Refuse:
		c.limiter.Refund(entity.RateKey(r.Workspace), r.Tokens, now)
		c.refuseQuarantined(r, v)
	case quarantine.Probe:
		c.claims[r.ID] = r
		c.effects.claimProbe(r.ID, v.Traits, c.quarantine.Claim(v))
	}
	return v.Action == quarantine.Pass
}

// refuseQuarantined refuses a request that has not been queued.
func (c *core) refuseQuarantined(r *dispatch.Request, v quarantine.Verdict) {
	reason := reasonOf(v)
	refusal := entity.Refusal{Status: 503, Code: string(reason), Ran: entity.NotRun, RetryAfter: v.RetryAfter}
	if v.Final {
		refusal.Status, refusal.RetryAfter = statusQuarantined, 0
	}
	c.sendFinalAnswer(r, step{refusal: &refusal, reason: reason, basis: basis{quarantined: v.Traits}})
}

// probeClaimed queues a request whose probe was claimed, and refuses it if another host was faster.
func (c *core) probeClaimed(e probeClaimed, now time.Time) {
	c.quarantine.Claimed(e.traits, e.txn, e.err == nil, e.revision, now)
	c.quarantineUpdated(now)
	r := c.claims[e.request]
	delete(c.claims, e.request)
	if r == nil {
		return
	}
	c.log.Info("Probe of the quarantine.", "request", r.ID, "parts", partIDs(e.traits), "digest", r.Digest, "err", e.err)
	if e.err == nil {
		r.Probe = true
		c.probes++
		c.enqueue(r, now)
		return
	}
	v := c.quarantine.Check(traitsOf(r), now)
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

// partIDs returns the IDs of the parts among traits.
func partIDs(traits []quarantine.Trait) []entity.PromptPartID {
	var ids []entity.PromptPartID
	for _, x := range traits {
		if !x.IsRequest() && len(ids) < maxLoggedParts {
			ids = append(ids, x.Part)
		}
	}
	return ids
}

// checkReplica implements effects.
func (h *Host) checkReplica(i quarantine.Instance, addr string) {
	go func() {
		h.send(replicaChecked{instance: i, ended: h.frontend.upstreams.HasEnded(h.background, addr)})
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
func (h *Host) claimProbe(id entity.RequestID, traits []quarantine.Trait, txn kvstore.Txn) {
	go func() {
		revision, err := h.runTxn(txn)
		h.send(probeClaimed{request: id, traits: traits, txn: txn, revision: revision, err: err})
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
