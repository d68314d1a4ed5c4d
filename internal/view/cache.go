// Package view keeps a host's copy of the watched prefix of the key-value service, which is called the view. Cache
// holds the view and does no I/O. Manager updates the cache from a watch and polls of the service, and from the peers,
// the other hosts.
//
// The cache tracks two revisions of the service. Up to the full revision, the cache has every change. Up to the put
// revision, which is never lower, it has every put but may miss deletions, because a poll by modification revision does
// not return deleted keys.
//
// The view is fresh when it is known to have been the newest at most a short time ago. Keys that matter for safety are
// never deleted, so freshness is defined by the put revision.
package view

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/foxtailpass/foxtailpass/internal/kvstore"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

// ErrClusterChanged means that data comes from a service with another cluster ID, for example one that was
// restored from a backup. Its revisions cannot be compared with those of the cache.
var ErrClusterChanged = errors.New("view: cluster ID changed")

const (
	// shardCount is the number of shards of the keys. A change copies only the shard of its key, about 1/256 of the
	// keys.
	shardCount = 256
	// DefaultLogSize is the default number of recent changes that are kept in the log, from which deltas for peers
	// are made. At 50 changes per second it covers 80 s, which is longer than a peer takes to reconnect.
	DefaultLogSize = 4096
)

// Entry is the value of one key. The bytes of Value must not be modified.
type Entry struct {
	Value       []byte
	ModRevision int64
}

// shard holds the entries of the keys with the same shardOf, by key.
type shard map[string]Entry

// Snapshot is an immutable copy of the cache. It is safe for concurrent use.
type Snapshot struct {
	revision int64
	shards   [shardCount]shard
}

// Revision returns the put revision of the snapshot.
func (s *Snapshot) Revision() int64 { return s.revision }

// Get returns the entry of a key.
func (s *Snapshot) Get(key string) (Entry, bool) {
	e, ok := s.shards[shardOf(key)][key]
	return e, ok
}

// Keys returns the keys with the prefix, sorted. It scans all keys of the snapshot.
func (s *Snapshot) Keys(prefix string) []string {
	var keys []string
	for _, sh := range s.shards {
		for key := range sh {
			if strings.HasPrefix(key, prefix) {
				keys = append(keys, key)
			}
		}
	}
	slices.Sort(keys)
	return keys
}

// shardOf returns the index of the shard of a key.
func shardOf(key string) int { return int(xxhash.Sum64String(key) % shardCount) }

// logEntry is one change in the log of a Cache.
type logEntry struct {
	key      string
	revision int64
}

// Cache is the host's copy of the watched prefix. It does no I/O and is not safe for concurrent use.
type Cache struct {
	// clusterID is the cluster ID of the first data, zero before any data.
	clusterID    uint64
	fullRevision int64
	putRevision  int64
	// confirmedAt is the result of ConfirmedAt.
	confirmedAt time.Time

	shards [shardCount]shard
	// owned marks the shards that no snapshot uses, so that they can be modified in place.
	owned [shardCount]bool

	// log holds every change after revision logFloor, in the order in which the changes were applied. It has at
	// most logSize entries.
	log      []logEntry
	logFloor int64
	logSize  int
	// tombstones maps deleted keys to the revisions of their deletions. It holds only deletions above the full
	// revision: an older put of such a key may still arrive from a delayed watch and must be ignored.
	tombstones map[string]int64
}

// NewCache returns an empty cache. A logSize of zero means DefaultLogSize.
func NewCache(logSize int) *Cache {
	if logSize <= 0 {
		logSize = DefaultLogSize
	}
	return &Cache{logSize: logSize, tombstones: map[string]int64{}}
}

// Revision returns the put revision.
func (c *Cache) Revision() int64 { return c.putRevision }

// FullRevision returns the full revision: every change up to it, including deletions, is applied.
func (c *Cache) FullRevision() int64 { return c.fullRevision }

// ClusterID returns the cluster ID of the first data, zero before any data.
func (c *Cache) ClusterID() uint64 { return c.clusterID }

// Get returns the entry of a key.
func (c *Cache) Get(key string) (Entry, bool) {
	e, ok := c.shards[shardOf(key)][key]
	return e, ok
}

// Prefix returns the keys with the prefix, sorted. It scans all keys of the cache.
func (c *Cache) Prefix(prefix string) []string {
	return c.Snapshot().Keys(prefix)
}

// Snapshot returns an immutable copy of the current state. Its cost does not depend on the number of keys.
func (c *Cache) Snapshot() *Snapshot {
	c.owned = [shardCount]bool{}
	return &Snapshot{revision: c.putRevision, shards: c.shards}
}

// Confirm records that revision was the newest revision of the service at the given time. It returns false and
// records nothing when the cache does not have every put up to that revision.
func (c *Cache) Confirm(revision int64, at time.Time) bool {
	if revision <= 0 || revision > c.putRevision {
		return false
	}
	if at.After(c.confirmedAt) {
		c.confirmedAt = at
	}
	return true
}

// ConfirmedAt returns the latest time at which the put revision is known to have been the newest revision of
// the service. Zero means never.
func (c *Cache) ConfirmedAt() time.Time { return c.confirmedAt }

// checkCluster stores the first cluster ID and returns ErrClusterChanged for any other.
func (c *Cache) checkCluster(id uint64) error {
	if c.clusterID == 0 {
		c.clusterID = id
	}
	if id != c.clusterID {
		return fmt.Errorf("%w: have %d, got %d", ErrClusterChanged, c.clusterID, id)
	}
	return nil
}

// Apply applies a batch of watch events and returns the changed keys. The start revision of the watch must be at
// most the full revision plus one; otherwise, changes in between would be missing.
func (c *Cache) Apply(b kvstore.WatchBatch) ([]string, error) {
	if err := c.checkCluster(b.ClusterID); err != nil {
		return nil, err
	}
	var changed []string
	last := c.fullRevision
	for _, e := range b.Events {
		if c.applyChange(e.Pair.Key, e.Pair.Value, e.Pair.ModRevision, e.Deleted) {
			changed = append(changed, e.Pair.Key)
		}
		last = max(last, e.Pair.ModRevision)
	}
	if len(b.Events) == 0 {
		last = max(last, b.Revision)
	}
	// The Revision of a batch with events is not used: while a watch catches up, it may be the newest revision of
	// the service although the events of the batch end earlier.
	c.raiseRevisions(last, last)
	return changed, nil
}

// ApplyPoll applies the answer to a range request for the whole prefix with MinModRevision = since+1 and
// returns the changed keys. It raises the put revision only if the cache already had every put up to since and the
// answer is complete.
func (c *Cache) ApplyPoll(r kvstore.RangeResult, since int64) ([]string, error) {
	if err := c.checkCluster(r.ClusterID); err != nil {
		return nil, err
	}
	var changed []string
	for i := range r.Pairs {
		p := &r.Pairs[i]
		if c.applyChange(p.Key, p.Value, p.ModRevision, false) {
			changed = append(changed, p.Key)
		}
	}
	if since <= c.putRevision && !r.More {
		c.raiseRevisions(c.fullRevision, r.Revision)
	}
	return changed, nil
}

// ApplySnapshot applies the answer to a range request for the whole prefix and returns the changed keys. It ignores an
// answer that is incomplete, and one at or below the full revision, which contains nothing new.
func (c *Cache) ApplySnapshot(r kvstore.RangeResult) ([]string, error) {
	if err := c.checkCluster(r.ClusterID); err != nil {
		return nil, err
	}
	if r.Revision <= c.fullRevision || r.More {
		return nil, nil
	}
	present := make(map[string]struct{}, len(r.Pairs))
	var changed []string
	for i := range r.Pairs {
		p := &r.Pairs[i]
		present[p.Key] = struct{}{}
		if c.storeChange(p.Key, p.Value, p.ModRevision, false) {
			changed = append(changed, p.Key)
		}
	}
	changed = append(changed, c.removeMissing("", present, r.Revision)...)
	c.raiseRevisions(r.Revision, r.Revision)
	c.truncateLog(r.Revision)
	return changed, nil
}

// ApplySweep applies the answer to a range request for a prefix within the watched prefix, with or without values.
// It only removes the keys that are missing in the answer, and returns them. It ignores an answer that is incomplete or
// below the full revision.
func (c *Cache) ApplySweep(prefix string, r kvstore.RangeResult) ([]string, error) {
	if err := c.checkCluster(r.ClusterID); err != nil {
		return nil, err
	}
	if r.Revision < c.fullRevision || r.More {
		return nil, nil
	}
	present := make(map[string]struct{}, len(r.Pairs))
	for i := range r.Pairs {
		present[r.Pairs[i].Key] = struct{}{}
	}
	return c.removeMissing(prefix, present, r.Revision), nil
}

// removeMissing removes the keys with the prefix that are not in present, and returns them. present holds the keys that
// the service had at the revision; keys that were put after the revision are kept.
func (c *Cache) removeMissing(prefix string, present map[string]struct{}, revision int64) []string {
	var missing []string
	for i := range c.shards {
		for key, e := range c.shards[i] {
			_, ok := present[key]
			if !ok && e.ModRevision <= revision && strings.HasPrefix(key, prefix) {
				missing = append(missing, key)
			}
		}
	}
	slices.Sort(missing)
	for _, key := range missing {
		c.storeChange(key, nil, revision, true)
	}
	return missing
}

// applyChange applies one put or deletion unless the cache already has it or a newer change of the key. It
// reports whether the cache changed.
func (c *Cache) applyChange(key string, value []byte, revision int64, deleted bool) bool {
	if revision <= c.fullRevision {
		return false
	}
	return c.storeChange(key, value, revision, deleted)
}

// storeChange is like applyChange, but does not ignore changes up to the full revision.
func (c *Cache) storeChange(key string, value []byte, revision int64, deleted bool) bool {
	n := shardOf(key)
	e, ok := c.shards[n][key]
	if ok && revision <= e.ModRevision || !ok && revision <= c.tombstones[key] {
		return false
	}
	if deleted && revision > c.fullRevision {
		c.tombstones[key] = revision
	}
	c.appendLog(key, revision)
	if !ok && deleted {
		// The deletion is added to the log although it does not change this cache, because a peer may
		// have received the key from a poll.
		return false
	}
	sh := c.ownedShard(n)
	if deleted {
		delete(sh, key)
	} else {
		sh[key] = Entry{Value: value, ModRevision: revision}
	}
	return true
}

// ownedShard returns shard n for modification. If a snapshot uses the shard, it is replaced by a copy first.
func (c *Cache) ownedShard(n int) shard {
	if !c.owned[n] {
		c.owned[n] = true
		c.shards[n] = maps.Clone(c.shards[n])
		if c.shards[n] == nil {
			c.shards[n] = shard{}
		}
	}
	return c.shards[n]
}

// appendLog adds a change to the log and drops the oldest changes when the log is full.
func (c *Cache) appendLog(key string, revision int64) {
	c.log = append(c.log, logEntry{key, revision})
	if len(c.log) <= c.logSize {
		return
	}
	// Dropping a quarter of the log at a time keeps the average cost per change constant.
	drop := c.logSize/4 + 1
	for _, e := range c.log[:drop] {
		c.logFloor = max(c.logFloor, e.revision)
	}
	c.log = slices.Clone(c.log[drop:])
}

// truncateLog drops the log entries up to the revision of a full state that was just applied. The log up to
// that revision lacks the deletions of keys that were both created and deleted between the previous state and this one.
// A peer may have received such a key by a poll, and a delta made from the log would not delete it there.
func (c *Cache) truncateLog(revision int64) {
	c.log = slices.DeleteFunc(c.log, func(e logEntry) bool { return e.revision <= revision })
	c.logFloor = max(c.logFloor, revision)
}

// raiseRevisions raises the full and the put revision to the given ones; lower values have no effect. The put revision
// is raised to at least the full revision.
func (c *Cache) raiseRevisions(fullRevision, putRevision int64) {
	if fullRevision > c.fullRevision {
		c.fullRevision = fullRevision
		maps.DeleteFunc(c.tombstones, func(_ string, r int64) bool { return r <= c.fullRevision })
	}
	c.putRevision = max(c.putRevision, c.fullRevision, putRevision)
}

// Delta returns the newest state of all keys that have changed after since, the full revision of the requesting host.
// It returns false when the log does not go back to since; the caller must then send FullDelta.
func (c *Cache) Delta(since int64) (wire.ViewDelta, bool) {
	if since < c.logFloor || since <= 0 {
		return wire.ViewDelta{}, false
	}
	d := c.newDelta(since)
	latest := map[string]int64{}
	for _, e := range c.log {
		if e.revision > since {
			latest[e.key] = max(latest[e.key], e.revision)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(latest)) {
		ch := wire.ViewChange{Key: key, ModRevision: latest[key], Deleted: true}
		if e, ok := c.Get(key); ok {
			ch = wire.ViewChange{Key: key, ModRevision: e.ModRevision, Value: e.Value}
		}
		d.Changes = append(d.Changes, ch)
	}
	return d, true
}

// FullDelta returns a delta with all keys, for a host whose state is not known or too old for Delta.
func (c *Cache) FullDelta() wire.ViewDelta {
	d := c.newDelta(0)
	for i := range c.shards {
		for key, e := range c.shards[i] {
			d.Changes = append(d.Changes, wire.ViewChange{Key: key, ModRevision: e.ModRevision, Value: e.Value})
		}
	}
	// Deletions after the full revision are included, because a receiver keeps a key that is missing in the delta if
	// the last put of the key is after the full revision of the delta.
	for key, revision := range c.tombstones {
		if _, ok := c.Get(key); !ok {
			d.Changes = append(d.Changes, wire.ViewChange{Key: key, ModRevision: revision, Deleted: true})
		}
	}
	return d
}

// newDelta returns a delta without changes.
func (c *Cache) newDelta(since int64) wire.ViewDelta {
	return wire.ViewDelta{Since: since, Revision: c.fullRevision, PutRevision: c.putRevision, ClusterID: c.clusterID}
}

// ApplyDelta applies a delta of a peer, which contains the full state if Since is zero, and returns the changed keys.
func (c *Cache) ApplyDelta(d *wire.ViewDelta) ([]string, error) {
	if d.Revision <= 0 || d.ClusterID == 0 {
		return nil, nil
	}
	if err := c.checkCluster(d.ClusterID); err != nil {
		return nil, err
	}
	var changed []string
	present := make(map[string]struct{}, len(d.Changes))
	for i := range d.Changes {
		ch := &d.Changes[i]
		present[ch.Key] = struct{}{}
		if c.applyChange(ch.Key, ch.Value, ch.ModRevision, ch.Deleted) {
			changed = append(changed, ch.Key)
		}
	}
	switch {
	case d.Since == 0 && d.Revision >= c.fullRevision:
		changed = append(changed, c.removeMissing("", present, d.Revision)...)
		c.raiseRevisions(d.Revision, d.PutRevision)
		c.truncateLog(d.Revision)
	case d.Since <= c.fullRevision:
		// This includes a full state, with Since zero, whose full revision is below that of this cache: it still
		// contains all puts up to its PutRevision.
		c.raiseRevisions(d.Revision, d.PutRevision)
	case d.Since <= c.putRevision:
		c.raiseRevisions(c.fullRevision, d.PutRevision)
	}
	return changed, nil
}
