package edge

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/boottime"
	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/election"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/fleet"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
	"github.com/foxtailpass/foxtailpass/internal/relay"
	"github.com/foxtailpass/foxtailpass/internal/releases"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

const (
	// coordinatorReadPause is the pause between two reads by the coordinator, which relays what it reads.
	coordinatorReadPause = 400 * time.Millisecond
	// searchPause is the pause between two reads while no coordinator is known or reachable, for the
	// maxSearchers hosts that campaign first. The host that is elected notifies the others.
	searchPause  = 300 * time.Millisecond
	maxSearchers = 8
	// ownReadDrainShare sets the age of the view at which a host reads the changes itself because the
	// coordinator has not relayed them: this share of the time after which a draining upstream must get no more
	// requests. maxOwnReadAge bounds that age.
	ownReadDrainShare = 0.6
	maxOwnReadAge     = 1700 * time.Millisecond
	// pauseSpread is the fraction of a pause over which hosts spread their reads.
	pauseSpread = 0.2
	// failurePause is the pause of the coordinator after a failed read, and the first such pause of a host
	// that has no view yet. The pause of a host without a view doubles up to longestStartPause, that of the
	// other hosts, which starts at their usual pause, up to longestFailurePause.
	failurePause        = 150 * time.Millisecond
	longestStartPause   = time.Second
	longestFailurePause = 2 * time.Second
	// restoreReadSpread is the time over which hosts spread their reads when they learn from the coordinator that the
	// service was restored.
	restoreReadSpread = 300 * time.Millisecond
	// pollWait is how long the service may hold a read that finds no changes.
	pollWait = time.Millisecond
	// outageThreshold is the duration of an outage beyond which upstreams whose entries are missing afterwards
	// are not removed at once: the entries may have lapsed during the outage and get entryReturnTime to
	// reappear.
	outageThreshold = 1500 * time.Millisecond
	// maxReadGap is the time without a confirmed view beyond which this host, which may have stood still, cannot exclude an
	// outage meanwhile.
	maxReadGap = 4 * time.Second
)

// membersPrefix is the key prefix of the registrations of hosts, each of which has the lease of its host.
const membersPrefix = "hosts/"

// watcher maintains this host's view of the key-value service. The coordinator reads the changes of all keys
// several times a second and relays the relevant ones, with a confirmation that no older change is missing. A
// host that gets no confirmations reads the changes itself.
type watcher struct {
	store           Store
	protocol        Protocol
	prefix          string
	log             *slog.Logger
	send            func(event)
	observeElection func(election.Observation)
	self            election.Holder
	setCatalog      func(*catalog.Catalog)
	// ownReadAge is the age of the view at which this host reads the changes itself.
	ownReadAge time.Duration
	// relayed are messages of the coordinator.
	relayed chan relayed

	// confirmedAt is the boot time, in nanoseconds, at which this host's view was last known to be the
	// newest.
	confirmedAt atomic.Int64
	// knownRevision is the revision up to which this host knows all changes.
	knownRevision atomic.Int64
	// fullyRead reports whether this host has read all keys at least once, and could trust what it read.
	fullyRead atomic.Bool
	// readableSince is the boot time, in nanoseconds, since which this host has known of no outage of the key-value service,
	// zero during one and before the first view.
	readableSince atomic.Int64
	// regainedAt is the boot time, in nanoseconds, at which this host first read the key-value service again after an outage,
	// zero if it has known of none.
	regainedAt atomic.Int64
	// restoredAt is the boot time, in nanoseconds, at which this host first read the key-value service after its last restore,
	// zero if it has seen none.
	restoredAt atomic.Int64
	// searching is set when the coordinator cannot be reached or its session is lost, until a new session is
	// established.
	searching atomic.Bool

	// revision is knownRevision for the goroutine of the watcher, zero before the first complete read.
	revision      int64
	lastSuccessAt time.Time
	outageSince   time.Time
	upstreams     map[entity.UpstreamID]*fleet.Upstream
	// evacuated holds the failure domains whose upstreams must get no new requests.
	evacuated map[string]bool
	// pending holds the changes by key that are applied later, and unrelayed those of them that were applied and that the
	// next read relays to other hosts.
	pending   map[string]pendingChange
	unrelayed []kvstore.Event
	// eraSince is when this host first read the service in its current era, and settledEra the value of settledEraKey.
	eraSince   time.Time
	settledEra kvstore.Era
	// relayAllUntil is until when unchanged entries are relayed, too.
	relayAllUntil time.Time
	// keyRevisions holds the revisions of the tracked keys, and deletions those that were deleted lately.
	keyRevisions map[string]int64
	deletions    map[string]deletion
	members      map[entity.HostID]election.Holder
	// recordKeys are the keys of the records about crashes and of releases, which the hosts write together.
	recordKeys map[string]bool
	// keptStreams are the records of streams as this host has read them.
	keptStreams   *releases.Kept
	election      election.Observation
	configVersion int64
	holderSent    bool
	// nextRead is when this host reads the changes next; failures counts the failed reads in a row.
	nextRead time.Time
	failures int
}

// relayed is a message of the coordinator about the key-value service.
type relayed struct {
	update *wire.ListUpdate
	// confirmedAt is the boot time of this host at which revision was the newest one, zero if the message
	// confirms nothing.
	confirmedAt  int64
	revision     int64
	announcement *wire.Announcement
	// storeReadableFor is how long the coordinator has read the key-value service without an outage, zero if unknown.
	storeReadableFor time.Duration
}

// relayedRevision returns the revision that a message of the coordinator refers to.
func (m relayed) relayedRevision() int64 {
	if m.update != nil {
		return m.update.To
	}
	return m.revision
}

// readSoon makes this host read the changes itself within a pause that spreads the reads of the hosts.
func (w *watcher) readSoon() {
	if at := boottime.Now().Add(time.Duration(rand.Float64() * float64(restoreReadSpread))); at.Before(w.nextRead) {
		w.nextRead = at
	}
}

// freshAt returns the time at which this host's view was last confirmed to be the newest; zero means never.
func (w *watcher) freshAt() time.Time {
	at := w.confirmedAt.Load()
	if at == 0 {
		return time.Time{}
	}
	return time.Unix(0, at)
}

// enqueueRelayed queues a message of the coordinator. It returns false when the queue is full; then the
// session must be closed, because a lost message leaves a gap in the changes.
func (w *watcher) enqueueRelayed(m relayed) bool {
	select {
	case w.relayed <- m:
		return true
	default:
		return false
	}
}

func (w *watcher) init() {
	w.upstreams = make(map[entity.UpstreamID]*fleet.Upstream)
	w.pending = make(map[string]pendingChange)
	w.keyRevisions = make(map[string]int64)
	w.deletions = make(map[string]deletion)
	w.evacuated = make(map[string]bool)
	w.members = make(map[entity.HostID]election.Holder)
	w.recordKeys = make(map[string]bool)
}

func (w *watcher) run(ctx context.Context) {
	w.init()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case m := <-w.relayed:
			w.applyRelayed(m)
		case <-timer.C:
			w.readOnce(ctx)
		}
		w.updateSettled(ctx)
		timer.Reset(w.timeUntilRead(boottime.Now()))
	}
}

// readOnce reads the changes unless a message of the coordinator has confirmed the view meanwhile.
func (w *watcher) readOnce(ctx context.Context) {
	began := boottime.Now()
	if w.timeUntilRead(began) > 0 {
		return
	}
	err := w.read(ctx)
	if err != nil {
		w.recordFailure(err, began)
		w.failures++
		w.nextRead = boottime.Now().Add(w.failurePause())
		return
	}
	w.failures = 0
	w.recordSuccess(began)
	w.nextRead = boottime.Now().Add(w.pause())
	if !w.fullyRead.Load() && !w.isSettled() {
		w.nextRead = w.eraSince.Add(entryReturnTime)
	}
}

// failurePause returns the pause after a failed read. During an outage a few hosts that read often are
// enough: the coordinator, current or next, notifies the others when the service is available again.
func (w *watcher) failurePause() time.Duration {
	pause, longest := w.pause(), longestFailurePause
	switch {
	case w.isCoordinator():
		return failurePause
	case w.revision == 0:
		pause, longest = failurePause, longestStartPause
	case w.isSearcher():
		return searchPause
	}
	for range w.failures - 1 {
		pause = min(2*pause, longest)
	}
	return spread(pause)
}

// isSearcher reports whether this host is one of those that look for the coordinator.
func (w *watcher) isSearcher() bool {
	return (w.election.Holder == nil || w.searching.Load()) && w.election.Rank < maxSearchers
}

// pause returns the time between two reads while the coordinator confirms nothing.
func (w *watcher) pause() time.Duration {
	switch {
	case w.isCoordinator():
		return coordinatorReadPause
	case w.isSearcher():
		return searchPause
	}
	return spread(w.ownReadAge)
}

func (w *watcher) isCoordinator() bool {
	return w.election.Holder != nil && w.election.Holder.Host == w.self.Host
}

// spread shortens a pause at random, so that hosts do not read at the same time.
func spread(d time.Duration) time.Duration {
	return d - time.Duration(pauseSpread*rand.Float64()*float64(d))
}

// timeUntilRead returns the time until this host reads the changes itself.
func (w *watcher) timeUntilRead(now time.Time) time.Duration {
	return max(w.nextRead.Sub(now), 0)
}

// applyRelayed applies a message of the coordinator.
func (w *watcher) applyRelayed(m relayed) {
	if w.revision == 0 {
		// Changes cannot be applied before the first complete read.
		return
	}
	if m.announcement != nil {
		w.applyAnnouncement(m.announcement)
		return
	}
	if now := boottime.Now(); m.storeReadableFor > 0 {
		w.applyAfterOwnOutage(now.Add(-m.storeReadableFor), now)
	}
	if m.update == nil && m.confirmedAt == 0 {
		return
	}
	if kvstore.EraOf(m.relayedRevision()) != kvstore.EraOf(w.revision) {
		// Each host reads the service itself once after a restore: what it lacks is not known to the coordinator.
		if kvstore.EraOf(m.relayedRevision()) > kvstore.EraOf(w.revision) {
			w.readSoon()
		}
		return
	}
	if m.update != nil {
		w.applyUpdate(m.update)
	}
	if m.confirmedAt == 0 || m.revision < w.revision && w.isCoordinator() {
		return
	}
	w.advanceRevision(m.revision)
	w.recordSuccess(time.Unix(0, m.confirmedAt))
	if next := time.Unix(0, m.confirmedAt).Add(spread(w.ownReadAge)); !w.isCoordinator() && next.After(w.nextRead) {
		w.nextRead = next
	}
}

// applyUpdate applies the changes of an update that this host has not applied yet. It ignores an update that
// begins after the revision of this host, because changes in between would be missing.
func (w *watcher) applyUpdate(u *wire.ListUpdate) {
	if u.To <= w.revision || u.From > w.revision {
		return
	}
	changes, err := relay.Decode(u.Changes)
	if err != nil {
		w.log.Error("Update of the coordinator cannot be read.", "from", u.From, "to", u.To, "err", err)
		return
	}
	newer := slices.DeleteFunc(changes, func(e kvstore.Event) bool { return e.Pair.ModRevision <= w.revision })
	w.apply(newer, u.To, time.Time{})
}

// advanceRevision records that this host knows all changes up to a revision.
func (w *watcher) advanceRevision(revision int64) {
	w.revision = max(w.revision, revision)
	w.knownRevision.Store(w.revision)
}

func (w *watcher) recordFailure(err error, now time.Time) {
	if w.outageSince.IsZero() && isNotCanceled(err) {
		w.outageSince = now
		w.readableSince.Store(0)
		w.log.Warn("Key-value service lost.", "err", err, "revision", w.revision)
	}
}

func isNotCanceled(err error) bool { return !errors.Is(err, context.Canceled) }

// recordSuccess records that the view of this host was the newest at a time.
func (w *watcher) recordSuccess(at time.Time) {
	if n := at.UnixNano(); n > w.confirmedAt.Load() {
		w.confirmedAt.Store(n)
	}
	now := boottime.Now()
	stoodStill := !w.lastSuccessAt.IsZero() && now.Sub(w.lastSuccessAt) > maxReadGap
	if stoodStill || !w.outageSince.IsZero() {
		w.regainedAt.Store(at.UnixNano())
	}
	if !w.outageSince.IsZero() {
		w.log.Info("Key-value service regained.", "after", at.Sub(w.outageSince), "revision", w.revision)
		w.outageSince = time.Time{}
	}
	if w.readableSince.Load() == 0 || stoodStill {
		w.readableSince.Store(at.UnixNano())
	}
	w.lastSuccessAt = now
	w.applyPending(w.lastSuccessAt)
}

// read updates this host's view.
func (w *watcher) read(ctx context.Context) error {
	began := boottime.Now()
	if w.revision == 0 {
		return w.readAll(ctx, began)
	}
	batch, err := w.store.Poll(ctx, "", w.revision, pollWait)
	if errors.Is(err, kvstore.ErrCompacted) {
		w.log.Info("History lost. Everything is read anew.", "revision", w.revision)
		return w.readAll(ctx, began)
	}
	if err != nil {
		return err
	}
	w.apply(batch.Events, batch.Revision, began)
	return nil
}

// readAll replaces the view by a read of all keys. Keys of the view that the read does not return have been
// deleted.
func (w *watcher) readAll(ctx context.Context, began time.Time) error {
	res, err := w.store.Range(ctx, kvstore.RangeRequest{Prefix: ""})
	if err != nil {
		return err
	}
	present := make(map[string]bool, len(res.Pairs))
	events := make([]kvstore.Event, 0, len(res.Pairs))
	for _, p := range res.Pairs {
		present[p.Key] = true
		events = append(events, kvstore.Event{Pair: p})
	}
	restored := w.revision != 0 && kvstore.EraOf(res.Revision) != kvstore.EraOf(w.revision)
	if restored {
		w.startEra(events, res.Revision)
		w.keptStreams.Restored(present, boottime.Now())
	}
	w.dropPending(present, restored)
	addDeletion := func(key string) {
		if _, pending := w.pending[key]; !present[key] && !pending {
			events = append(events, kvstore.Event{Deleted: true, Pair: kvstore.Pair{Key: key, ModRevision: res.Revision}})
		}
	}
	for id := range w.upstreams {
		addDeletion(w.upstreamKey(id))
	}
	for domain := range w.evacuated {
		addDeletion(w.protocol.EvacuationsPrefix() + domain)
	}
	for id := range w.members {
		addDeletion(w.prefix + membersPrefix + string(id))
	}
	if lost := w.lostKeys(present); restored && len(lost) > 0 {
		w.send(recordsLost{keys: lost})
	} else {
		for _, key := range lost {
			addDeletion(key)
		}
	}
	if w.election.Holder != nil {
		addDeletion(w.prefix + election.HolderKey)
	}
	if restored {
		events = w.deferOutdated(events, boottime.Now())
	}
	w.enterEra(res.Revision)
	w.apply(events, res.Revision, began)
	return nil
}

func (w *watcher) upstreamKey(id entity.UpstreamID) string {
	return w.protocol.UpstreamsPrefix() + string(id)
}
