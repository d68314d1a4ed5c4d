package edge

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/boottime"
	"github.com/foxtailpass/foxtailpass/internal/election"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
	"github.com/foxtailpass/foxtailpass/internal/quarantine"
	"github.com/foxtailpass/foxtailpass/internal/releases"
)

const (
	// entryReturnTime is the time in which the entries of running upstreams, and what operators wrote, are back after an
	// outage or a restore of the key-value service.
	entryReturnTime = 2200 * time.Millisecond
	// registrationReturnTime is the time in which running hosts have registered again after a restore.
	registrationReturnTime = registrationRenewInterval + 2*maxRegistrationRetryPause
	// relayAllTime is how long after an outage or a restore unchanged entries are relayed, too: they cancel pending changes
	// at other hosts.
	relayAllTime = entryReturnTime + time.Second
	// deletionMemory is how long a deleted key is remembered: a restore may bring it back. maxRememberedDeletions bounds
	// their number.
	deletionMemory         = time.Minute
	maxRememberedDeletions = 4096
)

// pendingChange is a change that was found after an outage or a restore and that is not applied yet: what it undoes is
// probably about to be written again.
type pendingChange struct {
	event kvstore.Event
	until time.Time
	// outageSince is when the outage began that the change was found after, zero after a restore.
	outageSince time.Time
}

// deletion is a key that was deleted.
type deletion struct {
	revision int64
	at       time.Time
}

// trackKey records the revision of a key of which this host knows more than a restored copy of the service may hold.
func (w *watcher) trackKey(e kvstore.Event) {
	key := e.Pair.Key
	delete(w.pending, key)
	if !w.isTracked(key) {
		return
	}
	if !e.Deleted {
		w.keyRevisions[key] = e.Pair.ModRevision
		delete(w.deletions, key)
		return
	}
	delete(w.keyRevisions, key)
	now := boottime.Now()
	if len(w.deletions) >= maxRememberedDeletions {
		maps.DeleteFunc(w.deletions, func(_ string, d deletion) bool { return now.Sub(d.at) > deletionMemory })
	}
	if len(w.deletions) < maxRememberedDeletions {
		w.deletions[key] = deletion{revision: e.Pair.ModRevision, at: now}
	}
}

// isTracked reports whether the key is one of the list, of evacuations or of registrations.
func (w *watcher) isTracked(key string) bool {
	return w.returnTime(key) > 0
}

// returnTime returns the time in which a key is back after a restore if it exists, and zero for other keys.
func (w *watcher) returnTime(key string) time.Duration {
	switch {
	case strings.HasPrefix(key, w.protocol.UpstreamsPrefix()), strings.HasPrefix(key, w.protocol.EvacuationsPrefix()):
		return entryReturnTime
	case strings.HasPrefix(key, w.prefix+membersPrefix):
		return registrationReturnTime
	}
	return 0
}

// isOutdated reports whether a pair that was read from a restored copy is older than what this host knows of its key.
// The revisions within the era compare, because the copy holds the state of a moment before the restore.
func (w *watcher) isOutdated(p kvstore.Pair, now time.Time) bool {
	known := w.keyRevisions[p.Key]
	if d, ok := w.deletions[p.Key]; ok && now.Sub(d.at) < deletionMemory {
		known = d.revision
	}
	return known != 0 && kvstore.EraOf(known) != kvstore.EraOf(p.ModRevision) && kvstore.WithinEra(p.ModRevision) < kvstore.WithinEra(known)
}

// deferOutdated returns the changes of the first read after a restore without those that undo what this host knows
// better. They are applied later unless their keys are written again.
func (w *watcher) deferOutdated(events []kvstore.Event, now time.Time) []kvstore.Event {
	return slices.DeleteFunc(events, func(e kvstore.Event) bool {
		wait := w.returnTime(e.Pair.Key)
		if wait == 0 || !e.Deleted && !w.isOutdated(e.Pair, now) {
			return false
		}
		w.deferChange(e, time.Time{}, wait, now)
		return true
	})
}

// deferChange makes a change pending. outageSince is when the outage began that it was found after, zero after a restore.
func (w *watcher) deferChange(e kvstore.Event, outageSince time.Time, wait time.Duration, now time.Time) {
	w.pending[e.Pair.Key] = pendingChange{event: e, until: now.Add(wait), outageSince: outageSince}
	w.relayAllUntil = now.Add(relayAllTime)
}

// applyPending applies the pending changes that are due.
func (w *watcher) applyPending(now time.Time) {
	var due []kvstore.Event
	for _, key := range slices.Sorted(maps.Keys(w.pending)) {
		if p := w.pending[key]; !now.Before(p.until) {
			due = append(due, p.event)
		}
	}
	if len(due) == 0 {
		return
	}
	var out batchResult
	for _, e := range due {
		e.Pair.ModRevision = w.revision
		if w.applyEvent(e, &out) {
			w.unrelayed = append(w.unrelayed, e)
		}
	}
	w.sendBatch(out)
}

// applyAfterOwnOutage applies at once the pending changes that were found after an outage which only this host had: another
// host could read the service from the given time on, so that no entry can have lapsed because the service was away.
func (w *watcher) applyAfterOwnOutage(readableSince, now time.Time) {
	due := false
	for key, p := range w.pending {
		if !p.outageSince.IsZero() && !readableSince.After(p.outageSince) {
			p.until = now
			w.pending[key] = p
			due = true
		}
	}
	if due {
		w.log.Info("Outage of this host only. Missing entries are taken for gone.", "pending", len(w.pending), "readable_since", now.Sub(readableSince))
		w.applyPending(now)
	}
}

// dropPending drops the pending changes that a complete read decides anew: all after a restore, otherwise all but the
// deletions of keys that are still absent.
func (w *watcher) dropPending(present map[string]bool, restored bool) {
	maps.DeleteFunc(w.pending, func(key string, p pendingChange) bool {
		return restored || present[key] || !p.event.Deleted
	})
}

// takeUnrelayed returns the pending changes that were applied since the last batch, as changes at a revision that no
// host knows yet.
func (w *watcher) takeUnrelayed(revision int64) []kvstore.Event {
	events := w.unrelayed
	w.unrelayed = nil
	for i := range events {
		events[i].Pair.ModRevision = revision
	}
	return events
}

// lostKeys returns the keys of records of the hosts that a restored copy does not hold. The hosts write them again.
func (w *watcher) lostKeys(present map[string]bool) []string {
	var lost []string
	for key := range w.recordKeys {
		if !present[key] {
			lost = append(lost, key)
		}
	}
	slices.Sort(lost)
	return lost
}

// startEra prepares the view for the first complete read after a restore.
func (w *watcher) startEra(events []kvstore.Event, revision int64) {
	w.log.Warn("Key-value service was restored from an older copy.", "era", kvstore.EraOf(revision), "former", kvstore.EraOf(w.revision),
		"revision", kvstore.WithinEra(revision), "former_revision", kvstore.WithinEra(w.revision))
	now := boottime.Now()
	w.relayAllUntil = now.Add(relayAllTime)
	w.restoredAt.Store(now.UnixNano())
	hasTerm := slices.ContainsFunc(events, func(e kvstore.Event) bool { return e.Pair.Key == w.prefix+election.TermKey })
	w.election.StartEra(revision, hasTerm)
}

// isReleaseKey reports whether a key is that of the record of a release.
func (w *watcher) isReleaseKey(key string) bool {
	return strings.HasPrefix(key, w.prefix+releases.Prefix)
}

// isQuarantineKey reports whether a key is that of a record about a crash.
func (w *watcher) isQuarantineKey(key string) bool {
	return strings.HasPrefix(key, w.prefix+quarantine.Prefix)
}
