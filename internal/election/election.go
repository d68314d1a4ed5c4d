// Package election decides which host has the right to give orders to engines. The right is a
// leased key in the key-value service. It ends by the holder's own clock before the lease can
// end, and a successor waits until the last order that its predecessor can have given is old
// enough. The clock must go on while a host is suspended.
package election

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
)

const (
	// leaseTTL is the term of the right.
	leaseTTL = 2 * time.Second
	// renewInterval separates renewals. One that is not answered within renewHedge is sent again beside
	// it, because lost answers must not interrupt the right.
	renewInterval = 500 * time.Millisecond
	renewHedge    = 250 * time.Millisecond
	// safetyMargin is how long before the lease can end the right ends.
	safetyMargin = 400 * time.Millisecond
	// callTimeout bounds one call to the service.
	callTimeout = 800 * time.Millisecond
	// campaignStep delays the campaign of every host behind those that rank before it; behind the
	// first stepped ones the steps are short, so that many lost hosts do not add up to a long wait.
	campaignStep = 100 * time.Millisecond
	shortStep    = 20 * time.Millisecond
	steppedRanks = 10
	// firstCampaign is the time in which hosts that start together register, so that their ranks count.
	firstCampaign = 250 * time.Millisecond
	// yieldAfter is how long a holder keeps the right that a much stronger host could have.
	yieldAfter = 4 * time.Second
	// restartTime is the time in which a stopped process is usually started again. A holder that is still
	// registered was not stopped: its lease has ended, and a process that was started again meanwhile
	// has the right already, so lostTime is enough.
	restartTime = time.Second
	lostTime    = 200 * time.Millisecond
	// retryPause is the pause after a failed campaign.
	retryPause = 300 * time.Millisecond
)

// Keys of the election below the installation's prefix.
const (
	// HolderKey names the host that has the right; it is bound to that host's lease.
	HolderKey = "coordinator/holder"
	// TermKey is written with every change of the holder and is never removed. Without it, no
	// host has ever had the right.
	TermKey = "coordinator/term"
)

// Holder is the value of HolderKey.
type Holder struct {
	Host        entity.HostID      `json:"host"`
	Incarnation entity.Incarnation `json:"incarnation"`
	// Addr is where the holder serves the other hosts.
	Addr string `json:"addr"`
	// Strength is the processor of the host in thousandths of a core.
	Strength int `json:"strength,omitempty"`
}

// Outranks says whether a host should coordinate rather than another one because it is much stronger.
// Coordination moves with a pause, so a small difference is no reason.
func (h Holder) Outranks(other Holder) bool {
	return h.Strength >= 2*other.Strength && other.Strength > 0
}

// Right is the right to give orders.
type Right struct {
	// Token rises with every holder.
	Token int64
	// From is when the first order may be given.
	From time.Time
}

// Options configures a Candidate.
type Options struct {
	KV     kvstore.KV
	Prefix string
	Self   Holder
	// Gap is the time that must lie between the orders of two holders.
	Gap time.Duration
	// Now is a clock that goes on while the host is suspended.
	Now func() time.Time
	// OnChange is told when the right is won, and with nil when it is lost. It must not block.
	OnChange func(*Right)
	Log      *slog.Logger
}

// Candidate campaigns for the right and keeps it. Its methods are safe for concurrent use.
type Candidate struct {
	opts Options
	wake chan struct{}

	mu       sync.Mutex
	observed bool
	seen     Observation
	// vacantSince is when this host first saw that the last holder has lost the right.
	vacantSince time.Time
	stopped     bool
	// until is when the own right ends; zero without it.
	until time.Time
}

// New returns a Candidate that does nothing before Observe is called.
func New(o Options) *Candidate { return &Candidate{opts: o, wake: make(chan struct{}, 1)} }

// Observation is what the service holds.
type Observation struct {
	// Holder is nil when nobody has the right; Revision is that of its key.
	Holder   *Holder
	Revision int64
	// Last is the newest holder, also when it has lost the right, and LastRevision that of the term
	// key; they are zero when no host ever had the right.
	Last         entity.HostID
	LastRevision int64
	// Rank is this host's place among the candidates.
	Rank int
	// LastRegistered says that the last holder is registered.
	LastRegistered bool
	// Outranked says that a much stronger host is registered.
	Outranked bool
}

// Observe takes over what the service holds.
func (c *Candidate) Observe(o Observation) {
	c.mu.Lock()
	if o.Holder == nil && (!c.observed || c.seen.Holder != nil || c.seen.LastRevision != o.LastRevision) {
		c.vacantSince = c.opts.Now()
	}
	c.observed = true
	c.seen = o
	c.mu.Unlock()
	c.notify()
}

// notify ends a wait for an observation.
func (c *Candidate) notify() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Holds says whether this host has the right now. It is asked at the last moment before an order
// leaves the host.
func (c *Candidate) Holds() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opts.Now().Before(c.until)
}

// Stop keeps the candidate from campaigning again. A right that it has is kept until Run ends: the
// next process of this host can then take it over at once, while another host would have to wait.
func (c *Candidate) Stop() {
	c.mu.Lock()
	c.stopped = true
	c.mu.Unlock()
	c.notify()
}

// vacancy returns what to campaign against, and whether to campaign at all.
func (c *Candidate) vacancy() (Observation, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.seen
	if !c.observed || c.stopped {
		return o, false
	}
	if o.Holder == nil {
		return o, true
	}
	// A former process of this host has ended, so its right can be taken over at once.
	o.Rank = 0
	return o, o.Holder.Host == c.opts.Self.Host && o.Holder.Incarnation != c.opts.Self.Incarnation
}

// Run campaigns until ctx ends.
func (c *Candidate) Run(ctx context.Context) error {
	for {
		o, ok := c.vacancy()
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
			if now, still := c.vacancy(); !still || now.Revision != o.Revision || now.Rank > o.Rank {
				continue
			}
		}
		if right, lease, sent := c.campaign(ctx, o); right != nil {
			c.hold(ctx, *right, lease, sent)
		}
		if !c.sleep(ctx, retryPause, false) {
			return ctx.Err()
		}
	}
}

// delay is how long to wait before campaigning: behind the candidates of a lower rank, and behind
// a restart of the last holder, which need not wait before its first order.
func (c *Candidate) delay(o Observation) time.Duration {
	if o.Last == c.opts.Self.Host && !o.Outranked {
		return 0
	}
	delay := firstCampaign
	switch {
	case o.LastRevision > 0 && o.LastRegistered:
		delay = lostTime
	case o.LastRevision > 0:
		delay = restartTime
	}
	stepped := min(o.Rank, steppedRanks)
	return delay + time.Duration(stepped)*campaignStep + time.Duration(o.Rank-stepped)*shortStep
}

// sleep waits, or ends early at a new observation when asked to. It returns false at the end of ctx.
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

// campaign tries to win the right once. sent is the time from which the lease counts.
func (c *Candidate) campaign(ctx context.Context, o Observation) (*Right, kvstore.LeaseID, time.Time) {
	sent := c.opts.Now()
	cctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lease, err := c.opts.KV.Grant(cctx, leaseTTL)
	if err != nil {
		c.opts.Log.Warn("Campaign failed.", "step", "grant", "err", err)
		return nil, 0, sent
	}
	value, err := json.Marshal(c.opts.Self)
	if err != nil {
		panic("election: holder cannot be encoded: " + err.Error())
	}
	res, err := c.opts.KV.Txn(cctx, kvstore.Txn{
		Compares: []kvstore.Compare{
			kvstore.Unchanged(c.opts.Prefix+HolderKey, o.Revision),
			kvstore.Unchanged(c.opts.Prefix+TermKey, o.LastRevision),
		},
		Success: []kvstore.Op{
			kvstore.PutLeased(c.opts.Prefix+HolderKey, value, lease),
			kvstore.Put(c.opts.Prefix+TermKey, value),
		},
	})
	token := res.Revision
	if errors.Is(err, kvstore.ErrUnknown) {
		// The answer may be lost: the key tells whether the write took effect.
		token, err = c.readBack(ctx)
		res.Succeeded = err == nil && token > 0
	}
	if err != nil || !res.Succeeded {
		c.opts.Log.Info("Campaign lost.", "err", err)
		return nil, 0, sent
	}
	from := c.opts.Now()
	if o.LastRevision > 0 && o.Last != c.opts.Self.Host {
		// The write has shown that nobody has held the right since it was seen to be vacant.
		from = c.firstOrder(from)
	}
	return &Right{Token: token, From: from}, lease, sent
}

// firstOrder returns when a successor may give its first order.
func (c *Candidate) firstOrder(now time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	from := c.vacantSince.Add(c.opts.Gap)
	if from.Before(now) {
		return now
	}
	return from
}

// readBack returns the revision of the holder key when it names this process, else 0.
func (c *Candidate) readBack(ctx context.Context) (int64, error) {
	cctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	pair, _, err := c.opts.KV.Get(cctx, c.opts.Prefix+HolderKey)
	if err != nil || pair == nil {
		return 0, err
	}
	var h Holder
	if err := json.Unmarshal(pair.Value, &h); err != nil {
		return 0, err
	}
	if h != c.opts.Self {
		return 0, nil
	}
	return pair.ModRevision, nil
}

// hold keeps the right until it is lost, given back, or ctx ends.
func (c *Candidate) hold(ctx context.Context, right Right, lease kvstore.LeaseID, sent time.Time) {
	if !c.extend(sent) {
		return
	}
	c.opts.Log.Info("Right to give orders won.", "token", right.Token, "from_in", right.From.Sub(c.opts.Now()))
	c.opts.OnChange(&right)
	reason := c.renewAll(ctx, lease)
	c.mu.Lock()
	c.until = time.Time{}
	// What was observed before the loss is out of date.
	c.observed = false
	c.mu.Unlock()
	c.opts.OnChange(nil)
	c.opts.Log.Warn("Right to give orders lost.", "token", right.Token, "reason", reason)
	if reason == reasonStopped || reason == reasonYielded {
		c.release(lease)
	}
}

// The reasons for which a holder gives the right back.
const (
	reasonStopped = "stopping"
	reasonYielded = "a stronger host can coordinate"
)

// renewal is the answer to one renewal, which was sent at sent.
type renewal struct {
	sent time.Time
	err  error
}

// renewAll renews the lease until the service says that it has ended, or the host stops. While the
// service does not answer, the right ends by this host's clock; a renewal that succeeds afterwards
// shows that the lease, and with it the key, was kept, so that nobody else can have had the right.
func (c *Candidate) renewAll(ctx context.Context, lease kvstore.LeaseID) string {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan renewal)
	due := time.NewTimer(renewInterval)
	defer due.Stop()
	held := true
	var lastErr error
	yield := time.NewTicker(yieldAfter)
	defer yield.Stop()
	for {
		select {
		case <-ctx.Done():
			return reasonStopped
		case <-yield.C:
			if c.outranked() {
				return reasonYielded
			}
		case <-due.C:
			go c.renew(ctx, lease, answers)
			due.Reset(renewHedge)
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
		if holds := c.Holds(); holds != held {
			held = holds
			c.opts.Log.Warn("Right to give orders changed.", "holds", held, "err", lastErr)
		}
	}
}

// outranked says whether a much stronger host has been registered and is not stopping.
func (c *Candidate) outranked() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.observed && c.seen.Outranked
}

// renew renews the lease once and passes the answer on.
func (c *Candidate) renew(ctx context.Context, lease kvstore.LeaseID, answers chan<- renewal) {
	sent := c.opts.Now()
	cctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := c.opts.KV.KeepAlive(cctx, lease)
	select {
	case answers <- renewal{sent: sent, err: err}:
	case <-ctx.Done():
	}
}

// extend moves the end of the right to a lease that counts from sent. It returns false when that
// has passed already, as after a suspension.
func (c *Candidate) extend(sent time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if until := sent.Add(leaseTTL - safetyMargin); until.After(c.until) {
		c.until = until
	}
	return c.opts.Now().Before(c.until)
}

func (c *Candidate) release(lease kvstore.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := c.opts.KV.Revoke(ctx, lease); err != nil {
		c.opts.Log.Warn("Right could not be given back.", "err", err)
	}
}
