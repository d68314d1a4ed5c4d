package election

import (
	"context"
	"errors"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/kvstore"
)

// wasLast reports whether the last holder was this host, so that no other host can have sent orders since. A term that
// began with a wait proves that only once the wait was over, or to the process that remembers it. After a restore only a
// process knows whose lease had not ended before it.
func (c *Candidate) wasLast(o Observation) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o.Restored {
		return c.lastToken != 0 && c.lastToken == o.LastToken && !c.eraSeenAt.After(c.leaseUntil)
	}
	if o.LastHolder != c.opts.Self.Host {
		return false
	}
	return o.ordersBegan() || o.LastCampaign == c.lastCampaign
}

// delay returns how long to wait before campaigning. A host waits for the candidates that rank before it,
// and for a restart of the last holder, because that host may send orders without waiting for the gap.
func (c *Candidate) delay(o Observation) time.Duration {
	if c.wasLast(o) && !o.Outranked {
		return 0
	}
	delay := initialCampaignDelay
	switch {
	case o.LastRevision > 0 && o.LastRegistered:
		delay = lostHolderCampaignDelay
	case o.LastRevision > 0:
		delay = restartCampaignDelay
	}
	stepped := min(o.Rank, fullDelayRanks)
	return delay + time.Duration(stepped)*rankDelay + time.Duration(o.Rank-stepped)*shortRankDelay
}

// campaign tries once to acquire the coordinator lease, and returns nil if that fails. The returned time, taken
// before the service lease was requested, is the earliest time from which the service lease can count.
func (c *Candidate) campaign(ctx context.Context, o Observation) (*CoordinatorLease, kvstore.LeaseID, time.Time) {
	sent := c.opts.Now()
	cctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	serviceLease, err := c.opts.KV.Grant(cctx, leaseTTL)
	if err != nil {
		c.opts.Log.Warn("Campaign failed.", "step", "grant", "err", err)
		return nil, 0, sent
	}
	now := c.opts.Now()
	from := c.firstOrderAt(o, now)
	term := NewTerm(c.opts.Self, o)
	term.Waits = from.After(now)
	c.mu.Lock()
	c.lastCampaign = term.Campaign
	c.mu.Unlock()
	res, err := c.opts.KV.Txn(cctx, kvstore.Txn{
		Compares: []kvstore.Compare{
			kvstore.Unchanged(c.opts.Prefix+HolderKey, o.Revision),
			kvstore.Unchanged(c.opts.Prefix+TermKey, o.LastRevision),
		},
		Success: []kvstore.Op{
			kvstore.PutLeased(c.opts.Prefix+HolderKey, encode(c.opts.Self), serviceLease),
			kvstore.Put(c.opts.Prefix+TermKey, encode(term)),
		},
	})
	revision, won := res.Revision, err == nil && res.Succeeded
	if errors.Is(err, kvstore.ErrUnknown) {
		revision, won, err = c.readOwnTerm(ctx, term)
		c.opts.Log.Warn("Answer to a campaign lost.", "done", won, "campaign", term.Campaign, "lease", serviceLease, "err", err)
		if !won {
			// A write that is done late would bind the right to a lease that nobody renews.
			c.release(serviceLease)
		}
	}
	if !won {
		c.opts.Log.Info("Campaign lost.", "err", err)
		return nil, 0, sent
	}
	token := term.Token(revision)
	c.mu.Lock()
	c.lastToken = token
	c.mu.Unlock()
	return &CoordinatorLease{Token: token, Revision: revision, From: from, campaign: term.Campaign, waits: term.Waits}, serviceLease, sent
}

// firstOrderAt returns when a holder that campaigns now may send its first order, if it wins: the successful write proves
// that no host has held the coordinator lease since this host observed that it was vacant. A campaign whose answer was lost
// may have been won, so a later one must not take its record for a proof that this host has already waited.
func (c *Candidate) firstOrderAt(o Observation, now time.Time) time.Time {
	last := c.wasLast(o)
	c.mu.Lock()
	defer c.mu.Unlock()
	if from := c.successorFrom(o, now); o.mayHavePredecessor() && !last && from.After(c.ordersFrom) {
		c.ordersFrom = from
	}
	if c.ordersFrom.After(now) {
		return c.ordersFrom
	}
	return now
}

// successorFrom returns when a successor of another host may send its first order. The last holder whose record was lost in
// a restore may have renewed its lease until then. The caller must hold c.mu.
func (c *Candidate) successorFrom(o Observation, now time.Time) time.Time {
	from := now.Add(c.opts.OrderGap)
	if o.Holder == nil {
		from = c.vacantSince.Add(c.opts.OrderGap)
	}
	if o.Restored || o.LastRevision == 0 {
		from = from.Add(leaseTTL)
	}
	return from
}

// readOwnTerm reads whether a campaign whose answer was lost was won, and the revision of its record. Only the identity of
// the campaign proves that: after a restore the records name this process because they hold what it wrote long ago.
func (c *Candidate) readOwnTerm(ctx context.Context, own Term) (revision int64, won bool, err error) {
	cctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	pair, _, err := c.opts.KV.Get(cctx, c.opts.Prefix+TermKey)
	if err != nil || pair == nil {
		return 0, false, err
	}
	term, _, _, err := DecodeTerm(*pair)
	if err != nil {
		return 0, false, err
	}
	return pair.ModRevision, term.Campaign == own.Campaign, nil
}
