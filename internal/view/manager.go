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
	// DefaultRetryInterval is the interval between polls while the service is not reachable. With a shorter
	// interval, 700 hosts would exceed the service's limit of 2,000 reads/s when it recovers.
	DefaultRetryInterval = 500 * time.Millisecond
	// DefaultPollTimeout is longer than DefaultMaxAge: when the service is slow, an answer that is too late
	// to make the view fresh still contains changes. The time-out of the KV must not be shorter.
	DefaultPollTimeout = 5 * time.Second
	// DefaultSweepInterval is the interval between reads of the keys with SweepPrefix, which find deletions that the
	// watch has not delivered.
	DefaultSweepInterval = 30 * time.Second
	// DefaultMaxAge is the maximum age of the view for routes that require keys. A withdrawn key must be
	// refused after 3 s; the remaining 1 s is for clock resolution and requests that are being admitted.
	DefaultMaxAge = 2 * time.Second
	// DefaultReachableAge is how long ServiceReachable returns true after the newest answer of the service. It is
	// one poll interval plus a margin. It is also short enough that, after a failure of the service, peers learn
	// from a heartbeat (sent every 500 ms) that this host does not reach the service before their own views exceed
	// MaxAge.
	DefaultReachableAge = 1400 * time.Millisecond
	// DefaultMaxWatchLag is how much later than a poll the watch may deliver a change. A watch that exceeds it
	// counts as frozen and is restarted.
	DefaultMaxWatchLag = 300 * time.Millisecond
)

const (
	// maxInflightPolls bounds the polls that wait for an answer.
	maxInflightPolls = 8
	minWatchBackoff  = 100 * time.Millisecond
	maxWatchBackoff  = 2 * time.Second
	// maxDeltaBytes keeps an encoded delta below the limit of 4 MiB for a frame between hosts.
	maxDeltaBytes = 3500 << 10
	// changeOverhead is an upper bound of the encoded size in bytes of a change without its key and value.
	changeOverhead = 40
	// heartbeatRingSize is the number of sent heartbeats whose send times are kept. It covers more than 10 s with 50
	// links.
	heartbeatRingSize = 1024
	// requestRingSize is the number of view requests whose send times are kept.
	requestRingSize = 256
	// silentPeerRetention is how long the state of a peer is kept after its last heartbeat.
	silentPeerRetention = time.Minute
	// logInterval is the shortest time between two rate-limited error log lines.
	logInterval = 30 * time.Second
)

// Options configures a Manager. Zero durations and sizes mean the defaults.
type Options struct {
	KV kvstore.KV
	// Prefix is the watched prefix. SweepPrefix is the prefix of those watched keys that are bound to leases, and so
	// are deleted when a lease expires.
	Prefix, SweepPrefix string
	// Self is the incarnation of this host, which identifies its process. The age of a peer's heartbeat is known
	// only if the heartbeat acknowledges a heartbeat of this incarnation.
	Self entity.Incarnation
	// OnChange is called after each change with the sorted changed keys and the new state. Calls do not
	// overlap. OnChange must be fast and must not call the Handle methods of the Manager.
	OnChange func(changed []string, s *Snapshot)
	Logger   *log.Logger
	// Now returns the current time. Default time.Now.
	Now func() time.Time

	// The constants Default... describe these durations.
	PollInterval, RetryInterval, PollTimeout, SweepInterval time.Duration
	MaxAge, ReachableAge, MaxWatchLag                       time.Duration
	// LogSize is the number of recent changes that the cache keeps. Default DefaultLogSize.
	LogSize int
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
	def(&o.MaxWatchLag, DefaultMaxWatchLag)
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

// Stats holds the counters of a Manager. They never decrease.
type Stats struct {
	// StaleAnswers counts answers of the service at a lower revision than the view had when the request was sent.
	Polls, PollErrors, StaleAnswers atomic.Int64
	// WatchBreaks counts ended watches. WatchFrozen counts watches that were ended because they had not delivered a
	// change that a poll had found.
	WatchStarts, WatchBreaks, WatchFrozen atomic.Int64
	// FullRanges counts reads of the whole prefix.
	FullRanges, Sweeps atomic.Int64
	// ClusterRefusals counts data that was refused because of its cluster ID.
	ClusterRefusals atomic.Int64
	// PeerDeltas counts received deltas, and PeerRequests sent view requests.
	PeerDeltas, PeerRequests atomic.Int64
	// OversizeDeltas counts view requests that were not answered because the delta was too large.
	OversizeDeltas atomic.Int64
}

// Manager keeps a Cache up to date. All methods are safe for concurrent use.
type Manager struct {
	opt   Options
	stats Stats

	// applyMu guards the cache and serializes the calls of OnChange.
	applyMu sync.Mutex
	cache   *Cache
	// snapshot and putRevision are copies of the state of the cache that can be read without applyMu.
	snapshot    atomic.Pointer[Snapshot]
	putRevision atomic.Int64

	fresh freshness

	// watchMu guards the state of the watch: the fields below up to needFullRange.
	watchMu sync.Mutex
	// watchCancel ends the running watch; nil if none is running.
	watchCancel    context.CancelFunc
	watchStartedAt time.Time
	// watchRevision is the revision up to which the watch has delivered all changes.
	watchRevision int64
	// needFullRange is set when the whole prefix must be read before the next watch starts.
	needFullRange bool

	// lastLoggedAt is the time of the last rate-limited log line in Unix nanoseconds.
	lastLoggedAt atomic.Int64
}

// NewManager returns a manager with an empty cache.
func NewManager(opt Options) *Manager {
	opt.setDefaults()
	m := &Manager{opt: opt, cache: NewCache(opt.LogSize), needFullRange: true}
	m.fresh.init(&m.opt)
	m.snapshot.Store(m.cache.Snapshot())
	return m
}

// Stats returns the counters.
func (m *Manager) Stats() *Stats { return &m.stats }

// Snapshot returns the newest state. It costs one atomic load.
func (m *Manager) Snapshot() *Snapshot { return m.snapshot.Load() }

// Revision returns the put revision. It may be higher than that of the newest Snapshot, because no new snapshot is made
// when only keys outside the prefix have changed.
func (m *Manager) Revision() int64 { return m.putRevision.Load() }

// Run watches and polls the service until ctx ends. It then returns after all its calls to the KV have ended,
// which may take as long as the time-out of the KV.
func (m *Manager) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { m.watchLoop(ctx) })
	wg.Go(func() { m.sweepLoop(ctx) })
	m.pollLoop(ctx, &wg)
	wg.Wait()
}

// update runs f on the cache, publishes the new state and calls OnChange.
func (m *Manager) update(f func(*Cache) ([]string, error)) error {
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	changed, err := f(m.cache)
	if err != nil {
		m.recordRefusedData(err)
		return err
	}
	m.putRevision.Store(m.cache.Revision())
	if len(changed) == 0 {
		return nil
	}
	s := m.cache.Snapshot()
	m.snapshot.Store(s)
	slices.Sort(changed)
	m.opt.OnChange(slices.Compact(changed), s)
	return nil
}

// recordRefusedData counts and logs that data was refused because of its cluster ID.
func (m *Manager) recordRefusedData(err error) {
	m.stats.ClusterRefusals.Add(1)
	m.logRateLimited("data of another cluster ID refused until the host is restarted", err)
}

// logRateLimited logs an error unless it has logged another one within logInterval.
func (m *Manager) logRateLimited(msg string, err error) {
	now := m.opt.Now().UnixNano()
	last := m.lastLoggedAt.Load()
	if now-last >= int64(logInterval) && m.lastLoggedAt.CompareAndSwap(last, now) {
		m.opt.Logger.Error(msg, "err", err)
	}
}

// revisions returns the full revision and the put revision.
func (m *Manager) revisions() (full, puts int64) {
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	return m.cache.FullRevision(), m.cache.Revision()
}

// sleep waits for about d and returns true, or returns false when ctx ends first.
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

// jitter returns a random duration from 0.9 d to 1.1 d.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.9 + 0.2*rand.Float64()))
}

// watchLoop restarts the watch with a growing delay whenever it breaks, until ctx ends.
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

// watchOnce reads the whole prefix if needed and then runs one watch until it ends. delivered reports whether the watch
// delivered a batch.
func (m *Manager) watchOnce(ctx context.Context) (delivered bool, err error) {
	if m.takeNeedFullRange() {
		if err := m.loadFullRange(ctx); err != nil {
			m.requireFullRange()
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
		m.requireFullRange()
	}
	return delivered, err
}

// handleBatch applies a batch of the watch and updates watchRevision.
func (m *Manager) handleBatch(b kvstore.WatchBatch) error {
	if err := m.update(func(c *Cache) ([]string, error) { return c.Apply(b) }); err != nil {
		return err
	}
	m.watchMu.Lock()
	defer m.watchMu.Unlock()
	for i := range b.Events {
		m.watchRevision = max(m.watchRevision, b.Events[i].Pair.ModRevision)
	}
	if len(b.Events) == 0 {
		m.watchRevision = max(m.watchRevision, b.Revision)
	}
	return nil
}

// loadFullRange reads all keys with the watched prefix and applies the answer.
func (m *Manager) loadFullRange(ctx context.Context) error {
	m.stats.FullRanges.Add(1)
	sent := m.opt.Now()
	_, known := m.revisions()
	res, err := m.opt.KV.Range(ctx, kvstore.RangeRequest{Prefix: m.opt.Prefix})
	if err != nil {
		m.fresh.recordServiceFailure(sent)
		return err
	}
	return m.applyAnswer(res, known, sent, func(c *Cache) ([]string, error) { return c.ApplySnapshot(res) })
}

// applyAnswer applies the answer to a linearizable range request. putRevision is the put revision when the request was
// sent. An answer below it comes from a stale replica of the service; it is ignored and confirms nothing.
func (m *Manager) applyAnswer(res kvstore.RangeResult, putRevision int64, sent time.Time, apply func(*Cache) ([]string, error)) error {
	if res.Revision < putRevision {
		m.stats.StaleAnswers.Add(1)
		return nil
	}
	if err := m.update(apply); err != nil {
		return err
	}
	if m.confirmRevision(res.Revision, sent) {
		m.fresh.recordServiceAnswer(sent)
	}
	return nil
}

// confirmRevision records that revision was the newest revision of the service at the given time. It returns
// false when the cache does not have every put up to that revision.
func (m *Manager) confirmRevision(revision int64, at time.Time) bool {
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	if !m.cache.Confirm(revision, at) {
		return false
	}
	m.fresh.recordConfirmation(m.cache.ConfirmedAt())
	return true
}

func (m *Manager) watchStarted(cancel context.CancelFunc, full int64) {
	m.stats.WatchStarts.Add(1)
	m.watchMu.Lock()
	defer m.watchMu.Unlock()
	m.watchCancel = cancel
	m.watchStartedAt = m.opt.Now()
	m.watchRevision = full
}

func (m *Manager) watchStopped() {
	m.watchMu.Lock()
	defer m.watchMu.Unlock()
	m.watchCancel = nil
}

// requireFullRange makes the next call of watchOnce read the whole prefix first.
func (m *Manager) requireFullRange() {
	m.watchMu.Lock()
	defer m.watchMu.Unlock()
	m.needFullRange = true
}

// takeNeedFullRange returns needFullRange and clears it.
func (m *Manager) takeNeedFullRange() bool {
	m.watchMu.Lock()
	defer m.watchMu.Unlock()
	need := m.needFullRange
	m.needFullRange = false
	return need
}

// pollLoop starts polls until ctx ends. It does not wait for their answers, so that a slow service does not
// delay the next poll.
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

// poll reads the puts after the put revision. The answer confirms the view and contains the puts that a frozen watch has
// not delivered.
func (m *Manager) poll(ctx context.Context) {
	full, since := m.revisions()
	if full == 0 {
		// The view is empty. The watch loop reads the whole prefix first.
		return
	}
	m.stats.Polls.Add(1)
	ctx, cancel := context.WithTimeout(ctx, m.opt.PollTimeout)
	defer cancel()
	sent := m.opt.Now()
	res, err := m.opt.KV.Range(ctx, kvstore.RangeRequest{Prefix: m.opt.Prefix, MinModRevision: since + 1})
	if err != nil {
		m.stats.PollErrors.Add(1)
		m.fresh.recordServiceFailure(sent)
		return
	}
	err = m.applyAnswer(res, since, sent, func(c *Cache) ([]string, error) { return c.ApplyPoll(res, since) })
	if err != nil || res.Revision < since {
		return
	}
	var newest int64
	for i := range res.Pairs {
		newest = max(newest, res.Pairs[i].ModRevision)
	}
	if newest > 0 {
		time.AfterFunc(m.opt.MaxWatchLag, func() { m.restartIfFrozen(newest, sent) })
	}
}

// restartIfFrozen ends the watch if it has not delivered the change at the revision, although it was started before a
// poll that was sent at polled found this change. The watch loop then reads the whole prefix and starts a new watch.
func (m *Manager) restartIfFrozen(revision int64, polled time.Time) {
	m.watchMu.Lock()
	defer m.watchMu.Unlock()
	if m.watchCancel == nil || m.watchRevision >= revision || m.watchStartedAt.After(polled) {
		return
	}
	m.stats.WatchFrozen.Add(1)
	m.opt.Logger.Warn("watch frozen, restarting", "watch_revision", m.watchRevision, "poll_revision", revision)
	m.needFullRange = true
	m.watchCancel()
}

func (m *Manager) sweepLoop(ctx context.Context) {
	for sleep(ctx, m.opt.SweepInterval) {
		m.sweep(ctx)
	}
}

// sweep removes keys with SweepPrefix whose deletion a frozen watch has not delivered. It is needed because polls find
// no deletions.
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
	// update has already logged the error.
	_ = m.update(func(c *Cache) ([]string, error) { return c.ApplySweep(m.opt.SweepPrefix, res) })
}
