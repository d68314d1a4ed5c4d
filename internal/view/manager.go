package view

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
)

// Defaults of Options.
const (
	DefaultPrefix       = "v/"
	DefaultSweepPrefix  = "v/hosts/"
	DefaultPollInterval = time.Second
	// DefaultRetryInterval applies while the service is slow or down. It is no shorter because 700
	// hosts would otherwise exceed the service's 2,000 reads/s when it comes back.
	DefaultRetryInterval = 500 * time.Millisecond
	// DefaultPollTimeout is above MaxAge: an answer that is too late to confirm freshness still
	// brings changes when the service is slow. The time-out of the KV must be as long to allow this.
	DefaultPollTimeout   = 5 * time.Second
	DefaultSweepInterval = 30 * time.Second
	// DefaultMaxAge is the freshness limit of keyed routes; it leaves 1 s of the 3 s withdrawal
	// bound for clock resolution and requests that are being admitted.
	DefaultMaxAge = 2 * time.Second
	// DefaultReachableAge ends ServiceReachable. It is one poll interval plus slack, and short enough
	// for the news to reach all peers by heartbeat (500 ms) before their own MaxAge ends.
	DefaultReachableAge = 1400 * time.Millisecond
	// DefaultFrozenAfter is how long the watch may lag behind a poll.
	DefaultFrozenAfter = 300 * time.Millisecond
)

const (
	maxInflightPolls = 8
	minWatchBackoff  = 100 * time.Millisecond
	maxWatchBackoff  = 2 * time.Second
	// maxDeltaBytes keeps an encoded delta below the 4 MiB limit of a frame.
	maxDeltaBytes = 3500 << 10
	// changeOverhead bounds the encoded size of a change without key and value.
	changeOverhead = 40
	// sentRing covers the heartbeats of more than 10 s on 50 links.
	sentRing  = 1024
	askedRing = 256
	// peerMemory is how long a silent peer is remembered.
	peerMemory = time.Minute
	// logInterval limits repeated error lines.
	logInterval = 30 * time.Second
)

// Options configures a Manager. Zero durations and sizes mean the defaults.
type Options struct {
	KV kvstore.KV
	// Prefix is watched; SweepPrefix is the part of it whose keys are bound to leases.
	Prefix, SweepPrefix string
	// Self is this process; only acknowledgements of its own heartbeats bound the age of a peer's.
	Self entity.Incarnation
	// OnChange is called with the sorted changed keys after each change, one call at a time. It must
	// be fast and must not call the Manager's Handle methods.
	OnChange func(changed []string, s *Snapshot)
	Logger   *log.Logger
	Now      func() time.Time

	PollInterval, RetryInterval, PollTimeout, SweepInterval time.Duration
	MaxAge, ReachableAge, FrozenAfter                       time.Duration
	LogSize                                                 int
}

func (o *Options) setDefaults() {
	def := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	def(&o.PollInterval, DefaultPollInterval)
	def(&o.RetryInterval, DefaultRetryInterval)
	def(&o.PollTimeout, DefaultPollTimeout)
	def(&o.SweepInterval, DefaultSweepInterval)
	def(&o.MaxAge, DefaultMaxAge)
	def(&o.ReachableAge, DefaultReachableAge)
	def(&o.FrozenAfter, DefaultFrozenAfter)
	if o.Prefix == "" {
		o.Prefix = DefaultPrefix
	}
	if o.SweepPrefix == "" {
		o.SweepPrefix = DefaultSweepPrefix
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Logger == nil {
		o.Logger = log.New(io.Discard)
	}
	if o.OnChange == nil {
		o.OnChange = func([]string, *Snapshot) {}
	}
}

// Stats counts what the Manager did. All fields only rise.
type Stats struct {
	Polls, PollErrors, StaleAnswers       atomic.Int64
	WatchStarts, WatchBreaks, WatchFrozen atomic.Int64
	FullRanges, Sweeps                    atomic.Int64
	ClusterRefusals                       atomic.Int64
	PeerDeltas, PeerRequests              atomic.Int64
	OversizeDeltas                        atomic.Int64
}

// Manager keeps a Cache up to date. All methods are safe for concurrent use.
type Manager struct {
	opt   Options
	stats Stats

	// apply serializes changes of the cache and calls of OnChange.
	apply sync.Mutex
	cache *Cache
	snap  atomic.Pointer[Snapshot]
	puts  atomic.Int64

	fresh freshness

	// watchMu guards the state of the running watch.
	watchMu     sync.Mutex
	watchCancel context.CancelFunc
	watchSince  time.Time
	watchRev    int64
	needFull    bool

	lastLog atomic.Int64
}

// NewManager returns a manager with an empty cache.
func NewManager(opt Options) *Manager {
	opt.setDefaults()
	m := &Manager{opt: opt, cache: NewCache(opt.LogSize), needFull: true}
	m.fresh.init(&m.opt)
	m.snap.Store(m.cache.Snapshot())
	return m
}

// Stats returns the counters.
func (m *Manager) Stats() *Stats { return &m.stats }

// Snapshot returns the newest state; it costs one atomic load.
func (m *Manager) Snapshot() *Snapshot { return m.snap.Load() }

// Revision returns the put revision. It may be above that of the newest Snapshot when the service
// changed only keys outside the prefix.
func (m *Manager) Revision() int64 { return m.puts.Load() }

// Run watches and polls until ctx ends. It returns after all its calls have ended, which may take
// as long as the time-out of the KV.
func (m *Manager) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { m.watchLoop(ctx) })
	wg.Go(func() { m.sweepLoop(ctx) })
	m.pollLoop(ctx, &wg)
	wg.Wait()
}

// update runs f on the cache, publishes the new state and calls OnChange.
func (m *Manager) update(f func(*Cache) ([]string, error)) error {
	m.apply.Lock()
	defer m.apply.Unlock()
	changed, err := f(m.cache)
	if err != nil {
		m.refused(err)
		return err
	}
	m.puts.Store(m.cache.Revision())
	if len(changed) == 0 {
		return nil
	}
	s := m.cache.Snapshot()
	m.snap.Store(s)
	slices.Sort(changed)
	m.opt.OnChange(slices.Compact(changed), s)
	return nil
}

func (m *Manager) refused(err error) {
	m.stats.ClusterRefusals.Add(1)
	m.logLimited("data refused until the host is restarted", err)
}

func (m *Manager) logLimited(msg string, err error) {
	now := m.opt.Now().UnixNano()
	last := m.lastLog.Load()
	if now-last >= int64(logInterval) && m.lastLog.CompareAndSwap(last, now) {
		m.opt.Logger.Error(msg, "err", err)
	}
}

func (m *Manager) revisions() (full, puts int64) {
	m.apply.Lock()
	defer m.apply.Unlock()
	return m.cache.FullRevision(), m.cache.Revision()
}

// sleep waits for d with a jitter of a fifth and returns false when ctx ends.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(jitter(d))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.9 + 0.2*rand.Float64()))
}

func (m *Manager) watchLoop(ctx context.Context) {
	backoff := minWatchBackoff
	for ctx.Err() == nil {
		delivered, err := m.watchOnce(ctx)
		if ctx.Err() != nil {
			return
		}
		m.stats.WatchBreaks.Add(1)
		m.opt.Logger.Debug("watch ended", "err", err)
		if delivered {
			backoff = minWatchBackoff
		}
		if !sleep(ctx, backoff) {
			return
		}
		backoff = min(2*backoff, maxWatchBackoff)
	}
}

// watchOnce loads the whole prefix if needed and runs one watch until it breaks.
func (m *Manager) watchOnce(ctx context.Context) (delivered bool, err error) {
	if m.takeNeedFull() {
		if err := m.loadFull(ctx); err != nil {
			m.setNeedFull()
			return false, err
		}
	}
	full, _ := m.revisions()
	wctx, cancel := context.WithCancel(ctx)
	defer cancel()
	m.watchStarted(cancel, full)
	defer m.watchStopped()
	err = m.opt.KV.Watch(wctx, m.opt.Prefix, full+1, func(b kvstore.WatchBatch) error {
		delivered = true
		return m.handleBatch(b)
	})
	if errors.Is(err, kvstore.ErrCompacted) {
		m.setNeedFull()
	}
	return delivered, err
}

func (m *Manager) handleBatch(b kvstore.WatchBatch) error {
	if err := m.update(func(c *Cache) ([]string, error) { return c.Apply(b) }); err != nil {
		return err
	}
	m.watchMu.Lock()
	defer m.watchMu.Unlock()
	for i := range b.Events {
		m.watchRev = max(m.watchRev, b.Events[i].Pair.ModRevision)
	}
	if len(b.Events) == 0 {
		m.watchRev = max(m.watchRev, b.Revision)
	}
	return nil
}

// loadFull reads the whole prefix.
func (m *Manager) loadFull(ctx context.Context) error {
	m.stats.FullRanges.Add(1)
	sent := m.opt.Now()
	_, known := m.revisions()
	res, err := m.opt.KV.Range(ctx, kvstore.RangeRequest{Prefix: m.opt.Prefix})
	if err != nil {
		m.fresh.serviceFailed(sent)
		return err
	}
	return m.accept(res, known, sent, func(c *Cache) ([]string, error) { return c.ApplySnapshot(res) })
}

// accept applies the answer to a linearizable range that was sent when the put revision was known.
// An answer below that revision comes from a stale replica: it proves nothing about freshness.
func (m *Manager) accept(res kvstore.RangeResult, known int64, sent time.Time, apply func(*Cache) ([]string, error)) error {
	if res.Revision < known {
		m.stats.StaleAnswers.Add(1)
		return nil
	}
	if err := m.update(apply); err != nil {
		return err
	}
	if m.confirm(res.Revision, sent) {
		m.fresh.serviceAnswered(sent)
	}
	return nil
}

// confirm records that revision was the newest at the given time, if the view has reached it.
func (m *Manager) confirm(revision int64, at time.Time) bool {
	m.apply.Lock()
	defer m.apply.Unlock()
	if !m.cache.Confirm(revision, at) {
		return false
	}
	m.fresh.confirmed(m.cache.ConfirmedAt())
	return true
}

func (m *Manager) watchStarted(cancel context.CancelFunc, full int64) {
	m.stats.WatchStarts.Add(1)
	m.watchMu.Lock()
	defer m.watchMu.Unlock()
	m.watchCancel = cancel
	m.watchSince = m.opt.Now()
	m.watchRev = full
}

func (m *Manager) watchStopped() {
	m.watchMu.Lock()
	defer m.watchMu.Unlock()
	m.watchCancel = nil
}

func (m *Manager) setNeedFull() {
	m.watchMu.Lock()
	defer m.watchMu.Unlock()
	m.needFull = true
}

func (m *Manager) takeNeedFull() bool {
	m.watchMu.Lock()
	defer m.watchMu.Unlock()
	need := m.needFull
	m.needFull = false
	return need
}

func (m *Manager) pollLoop(ctx context.Context, wg *sync.WaitGroup) {
	var inflight atomic.Int64
	for {
		if inflight.Load() < maxInflightPolls {
			inflight.Add(1)
			wg.Go(func() {
				defer inflight.Add(-1)
				m.poll(ctx)
			})
		}
		interval := m.opt.PollInterval
		if !m.ServiceReachable() {
			interval = m.opt.RetryInterval
		}
		if !sleep(ctx, interval) {
			return
		}
	}
}

// poll reads the puts after the put revision. It confirms freshness and finds what a frozen watch
// has missed.
func (m *Manager) poll(ctx context.Context) {
	full, since := m.revisions()
	if full == 0 {
		// The watch loop loads the first state.
		return
	}
	m.stats.Polls.Add(1)
	ctx, cancel := context.WithTimeout(ctx, m.opt.PollTimeout)
	defer cancel()
	sent := m.opt.Now()
	res, err := m.opt.KV.Range(ctx, kvstore.RangeRequest{Prefix: m.opt.Prefix, MinModRevision: since + 1})
	if err != nil {
		m.stats.PollErrors.Add(1)
		m.fresh.serviceFailed(sent)
		return
	}
	err = m.accept(res, since, sent, func(c *Cache) ([]string, error) { return c.ApplyPoll(res, since) })
	if err != nil || res.Revision < since {
		return
	}
	var newest int64
	for i := range res.Pairs {
		newest = max(newest, res.Pairs[i].ModRevision)
	}
	if newest > 0 {
		time.AfterFunc(m.opt.FrozenAfter, func() { m.checkFrozen(newest, sent) })
	}
}

// checkFrozen restarts the watch with a full range when it has not delivered a change that a poll
// found some time ago.
func (m *Manager) checkFrozen(revision int64, polled time.Time) {
	m.watchMu.Lock()
	defer m.watchMu.Unlock()
	if m.watchCancel == nil || m.watchRev >= revision || m.watchSince.After(polled) {
		return
	}
	m.stats.WatchFrozen.Add(1)
	m.opt.Logger.Warn("watch frozen, restarting", "watch_revision", m.watchRev, "poll_revision", revision)
	m.needFull = true
	m.watchCancel()
}

func (m *Manager) sweepLoop(ctx context.Context) {
	for sleep(ctx, m.opt.SweepInterval) {
		m.sweep(ctx)
	}
}

// sweep finds deletions of lease-bound keys that a frozen watch has missed.
func (m *Manager) sweep(ctx context.Context) {
	m.stats.Sweeps.Add(1)
	_, known := m.revisions()
	res, err := m.opt.KV.Range(ctx, kvstore.RangeRequest{Prefix: m.opt.SweepPrefix, KeysOnly: true})
	if err != nil {
		return
	}
	if res.Revision < known {
		m.stats.StaleAnswers.Add(1)
		return
	}
	// An error is logged by update.
	_ = m.update(func(c *Cache) ([]string, error) { return c.ApplySweep(m.opt.SweepPrefix, res) })
}
