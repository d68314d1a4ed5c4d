// Package election decides which host holds the coordinator lease, the right to send orders to engines. The
// holder is recorded in a key of the key-value service that is bound to a service lease, a lease that this
// service grants. By its own clock, the holder stops sending orders before the service lease can expire. A
// successor sends its first order only when the last order that its predecessor can have sent is old enough.
// The clock must advance while a host is suspended.
package election

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
)

const (
	// leaseTTL is the time to live of the service lease.
	leaseTTL = 2 * time.Second
	// renewInterval is the time from a successful renewal to the next one. Until a renewal has succeeded,
	// another one is sent every renewHedgeDelay, also while earlier ones are pending, so that lost answers do
	// not interrupt the coordinator lease.
	renewInterval   = 500 * time.Millisecond
	renewHedgeDelay = 250 * time.Millisecond
	// safetyMargin is how long before the earliest possible expiry of the service lease the holder stops
	// sending orders.
	safetyMargin = 400 * time.Millisecond
	// callTimeout bounds one call to the key-value service.
	callTimeout = 800 * time.Millisecond
	// rankDelay is added to the campaign delay of a host for each host that ranks before it. Beyond the
	// first fullDelayRanks ranks the shorter shortRankDelay is added instead, so that many failed hosts do
	// not add up to a long wait.
	rankDelay      = 100 * time.Millisecond
	shortRankDelay = 20 * time.Millisecond
	fullDelayRanks = 10
	// initialCampaignDelay gives hosts that start together the time to register, so that their ranks are
	// correct.
	initialCampaignDelay = 250 * time.Millisecond
	// yieldCheckInterval is how often a holder checks whether a much stronger host is registered, to which
	// it then releases the coordinator lease.
	yieldCheckInterval = 4 * time.Second
	// restartCampaignDelay is the time in which a stopped process usually restarts. A last holder that is
	// still registered did not stop: its lease expired, and if its process has restarted in the meantime,
	// that process has already acquired the lease. lostHolderCampaignDelay is then long enough.
	restartCampaignDelay    = time.Second
	lostHolderCampaignDelay = 200 * time.Millisecond
	// campaignRetryDelay is the pause after a failed campaign.
	campaignRetryDelay = 300 * time.Millisecond
)

// Keys of the election below the installation's prefix.
const (
	// HolderKey names the host that holds the coordinator lease. The key is bound to the service lease of
	// that host.
	HolderKey = "coordinator/holder"
	// TermKey is written with every change of the holder and is never deleted. If it is absent, no host has
	// ever held the coordinator lease.
	TermKey = "coordinator/term"
	// OrdersKey names the campaign of the last holder that has waited for its predecessor. A process that starts anew on
	// the host of a holder need not wait again then.
	OrdersKey = "coordinator/orders"
)

// Holder is the value of HolderKey.
type Holder struct {
	Host        entity.HostID      `json:"host"`
	Incarnation entity.Incarnation `json:"incarnation"`
	// Addr is the address on which the holder serves the other hosts.
	Addr string `json:"addr"`
	// Strength is the processor capacity of the host in thousandths of a core.
	Strength int `json:"strength,omitempty"`
}

// Outranks reports whether h should coordinate instead of other because it is much stronger. Changing the
// coordinator interrupts orders, so a small difference does not justify a change.
func (h Holder) Outranks(other Holder) bool {
	return h.Strength >= 2*other.Strength && other.Strength > 0
}

// CoordinatorLease describes a coordinator lease that this host holds, which is the right to send orders.
type CoordinatorLease struct {
	// Token is the fencing token. It increases with every holder. Revision is the revision of the record of the lease.
	Token, Revision int64
	// From is the time from which orders may be sent.
	From time.Time
	// campaign identifies the campaign, and waits is set if From was later than it.
	campaign string
	waits    bool
}

// Options configures a Candidate.
type Options struct {
	KV     kvstore.KV
	Prefix string
	Self   Holder
	// OrderGap is the minimum time between the last order of one holder and the first order of the next.
	OrderGap time.Duration
	// Now is a clock that advances while the host is suspended.
	Now func() time.Time
	// OnChange is called with the coordinator lease when it is acquired and with nil when it is lost. It
	// must not block.
	OnChange func(*CoordinatorLease)
	Log      *slog.Logger
}

// Candidate campaigns for the coordinator lease and renews it. Its methods are safe for concurrent use.
type Candidate struct {
	opts Options
	wake chan struct{}

	mu             sync.Mutex
	hasObservation bool
	observation    Observation
	// vacantSince is when this host first observed that the last holder had lost the coordinator lease.
	vacantSince time.Time
	stopped     bool
	// expiresAt is when this host's coordinator lease expires, zero when it holds none.
	expiresAt time.Time
	// lastToken is the fencing token of the newest lease of this process, zero if it has held none.
	lastToken int64
	// leaseUntil is the earliest time at which the service can have ended the newest lease, and eraSeenAt is when this
	// process first observed the service in its current era.
	leaseUntil time.Time
	eraSeenAt  time.Time
	// lastCampaign is the identity of the newest campaign of this process, won or not.
	lastCampaign string
	// ordersFrom is the earliest time at which this process may send orders, as far as its campaigns have found.
	ordersFrom time.Time
}

// New returns a Candidate that does not campaign before Observe is called.
func New(o Options) *Candidate { return &Candidate{opts: o, wake: make(chan struct{}, 1)} }

// Observe replaces the observed state of the election.
func (c *Candidate) Observe(o Observation) {
	c.mu.Lock()
	if o.Holder == nil && (!c.hasObservation || c.observation.Holder != nil || c.observation.LastRevision != o.LastRevision) {
		c.vacantSince = c.opts.Now()
	}
	if c.eraSeenAt.IsZero() || c.observation.Era != o.Era {
		c.eraSeenAt = c.opts.Now()
	}
	c.hasObservation = true
	c.observation = o
	c.mu.Unlock()
	c.notify()
}

// notify wakes Run when it waits for an observation.
func (c *Candidate) notify() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// HoldsLease reports whether this host holds the coordinator lease now. Callers check it immediately before an
// order is sent.
func (c *Candidate) HoldsLease() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opts.Now().Before(c.expiresAt)
}

// Stop prevents further campaigns. A coordinator lease that is held is kept until Run ends. The next
// process of this host can then acquire it at once, whereas another host would have to wait for the gap
// between orders.
func (c *Candidate) Stop() {
	c.mu.Lock()
	c.stopped = true
	c.mu.Unlock()
	c.notify()
}

// campaignTarget returns the observation to campaign against and whether to campaign at all.
func (c *Candidate) campaignTarget() (Observation, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.observation
	if !c.hasObservation || c.stopped {
		return o, false
	}
	if o.Holder == nil {
		return o, true
	}
	// The former process of this host has ended, or this process has lost its lease. It can be acquired at once.
	o.Rank = 0
	return o, o.Holder.Host == c.opts.Self.Host
}

// Run campaigns until ctx ends.
func (c *Candidate) Run(ctx context.Context) error {
	for {
		o, ok := c.campaignTarget()
		if !ok {
			if !c.sleep(ctx, time.Hour, true) {
				return ctx.Err()
			}
			continue
		}
		if delay := c.delay(o); delay > 0 {
			if !c.sleep(ctx, delay, false) {
				return ctx.Err()
			}
			if now, still := c.campaignTarget(); !still || now.Revision != o.Revision || now.Rank > o.Rank {
				continue
			}
		}
		if coordinatorLease, serviceLease, sent := c.campaign(ctx, o); coordinatorLease != nil {
			c.holdUntilLost(ctx, *coordinatorLease, serviceLease, sent)
		}
		if !c.sleep(ctx, campaignRetryDelay, false) {
			return ctx.Err()
		}
	}
}

// sleep waits for d, or until a new observation arrives if wakeable is set. It returns false when ctx ends.
func (c *Candidate) sleep(ctx context.Context, d time.Duration, wakeable bool) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	wake := c.wake
	if !wakeable {
		wake = nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
	case <-wake:
	}
	return true
}

// holdUntilLost keeps the coordinator lease until it is lost or released, or ctx ends.
func (c *Candidate) holdUntilLost(ctx context.Context, coordinatorLease CoordinatorLease, serviceLease kvstore.LeaseID, sent time.Time) {
	if !c.extend(sent) {
		return
	}
	c.opts.Log.Info("Right to give orders won.", "token", coordinatorLease.Token, "from_in", coordinatorLease.From.Sub(c.opts.Now()))
	c.opts.OnChange(&coordinatorLease)
	reason := c.renewUntilLost(ctx, coordinatorLease, serviceLease)
	c.mu.Lock()
	c.expiresAt = time.Time{}
	// The observation from before the loss is out of date.
	c.hasObservation = false
	c.mu.Unlock()
	c.opts.OnChange(nil)
	c.opts.Log.Warn("Right to give orders lost.", "token", coordinatorLease.Token, "reason", reason)
	if reason == reasonStopped || reason == reasonYielded {
		c.release(serviceLease)
	}
}

// The reasons for which a holder releases the coordinator lease.
const (
	reasonStopped = "stopping"
	reasonYielded = "a stronger host can coordinate"
)

// renewalResult is the result of one renewal and the time at which it was sent.
type renewalResult struct {
	sent time.Time
	err  error
}

// renewUntilLost renews the service lease until the service reports that it has expired, the records of the election show
// that the holder key has gone, the holder yields, or the host stops. While the service does not answer, the coordinator lease
// expires by this host's clock.
// A renewal that succeeds afterwards proves that the service lease, and with it the holder key, still
// exists, so no other host can have held the coordinator lease in the meantime. After a restore of the service no
// renewal of the lease succeeds.
func (c *Candidate) renewUntilLost(ctx context.Context, coordinatorLease CoordinatorLease, serviceLease kvstore.LeaseID) string {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan renewalResult)
	due := time.NewTimer(renewInterval)
	defer due.Stop()
	held := true
	var lastErr error
	yield := time.NewTicker(yieldCheckInterval)
	defer yield.Stop()
	ordersBegin := time.NewTimer(coordinatorLease.From.Sub(c.opts.Now()))
	defer ordersBegin.Stop()
	for {
		select {
		case <-ctx.Done():
			return reasonStopped
		case <-yield.C:
			if c.outranked() {
				return reasonYielded
			}
		case <-c.wake:
			if c.superseded(coordinatorLease) {
				return "the holder key has gone"
			}
		case <-ordersBegin.C:
			if coordinatorLease.waits {
				go c.recordOrdersBegin(ctx, coordinatorLease)
			}
		case <-due.C:
			go c.renew(ctx, serviceLease, answers)
			due.Reset(renewHedgeDelay)
		case a := <-answers:
			lastErr = a.err
			if errors.Is(a.err, kvstore.ErrLeaseNotFound) {
				return "lease not found"
			}
			if a.err == nil {
				c.extend(a.sent)
				due.Reset(renewInterval)
			}
		}
		if holds := c.HoldsLease(); holds != held {
			held = holds
			c.opts.Log.Warn("Right to give orders changed.", "holds", held, "err", lastErr)
		}
	}
}

// recordOrdersBegin records that the wait of a holder is over. If it fails, a process that starts anew waits once more.
func (c *Candidate) recordOrdersBegin(ctx context.Context, l CoordinatorLease) {
	cctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := c.opts.KV.Txn(cctx, kvstore.Txn{
		Compares: []kvstore.Compare{kvstore.Unchanged(c.opts.Prefix+TermKey, l.Revision)},
		Success:  []kvstore.Op{kvstore.Put(c.opts.Prefix+OrdersKey, []byte(l.campaign))},
	})
	if err != nil {
		c.opts.Log.Warn("Start of orders not recorded.", "err", err)
	}
}

// superseded reports whether the observation shows that the holder key of a lease has gone: the key is the right, and a
// service lease that is renewed proves nothing without it. The keys of one write may have different revisions, so the term of
// the lease is told by its campaign.
func (c *Candidate) superseded(l CoordinatorLease) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.observation
	switch {
	case !c.hasObservation:
		return false
	case o.LastCampaign != l.campaign:
		// An observation from before the campaign shows an older term.
		return o.LastRevision > l.Revision
	}
	return o.Holder == nil || o.Holder.Host != c.opts.Self.Host
}

// outranked reports whether a much stronger host is registered.
func (c *Candidate) outranked() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hasObservation && c.observation.Outranked
}

// renew renews the service lease once and sends the result to answers.
func (c *Candidate) renew(ctx context.Context, serviceLease kvstore.LeaseID, answers chan<- renewalResult) {
	sent := c.opts.Now()
	cctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := c.opts.KV.KeepAlive(cctx, serviceLease)
	select {
	case answers <- renewalResult{sent: sent, err: err}:
	case <-ctx.Done():
	}
}

// extend sets expiresAt to the expiry of a service lease that was granted or renewed by a call sent at sent,
// unless expiresAt is later. It returns false when the expiry has already passed, as after a suspension.
func (c *Candidate) extend(sent time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if until := sent.Add(leaseTTL); until.After(c.leaseUntil) {
		c.leaseUntil = until
	}
	if expiresAt := sent.Add(leaseTTL - safetyMargin); expiresAt.After(c.expiresAt) {
		c.expiresAt = expiresAt
	}
	return c.opts.Now().Before(c.expiresAt)
}

func (c *Candidate) release(serviceLease kvstore.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := c.opts.KV.Revoke(ctx, serviceLease); err != nil {
		c.opts.Log.Warn("Coordinator lease could not be released.", "err", err)
	}
}
