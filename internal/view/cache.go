// Package view keeps a host's copy of the watched prefix of the key-value service. Cache is the
// pure core; Manager feeds it from the service's watch and polls and from peers.
//
// The cache tracks two revisions. Up to the full revision it has every change. Up to the put
// revision, which is never lower, it has every put but may miss deletions, because a poll by
// modification revision does not return deleted keys. Values that matter for safety are never
// deleted, so the put revision is the one that freshness is about.
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

// ErrClusterChanged means that data comes from a service with another cluster ID, for example a
// restored one, whose revisions cannot be compared with those of the cache.
var ErrClusterChanged = errors.New("view: cluster ID changed")

const (
	// shardCount bounds the cost of one change: it copies one shard, 1/256 of the keys.
	shardCount = 256
	// DefaultLogSize is the number of recent changes that are kept for deltas. At 50 changes per
	// second it covers 80 s, longer than a peer takes to reconnect.
	DefaultLogSize = 4096
)

// Entry is the value of one key. The bytes must not be changed.
type Entry struct {
	Value       []byte
	ModRevision int64
}

type shard map[string]Entry

// Snapshot is an immutable state of the view. It is safe for concurrent use.
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

// Keys returns the sorted keys with the prefix. It scans the whole view.
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

func shardOf(key string) int { return int(xxhash.Sum64String(key) % shardCount) }

type logEntry struct {
	key      string
	revision int64
}

// Cache is the pure core of the view. It is not safe for concurrent use.
type Cache struct {
	clusterID   uint64
	full        int64
	puts        int64
	confirmedAt time.Time

	shards [shardCount]shard
	// owned marks the shards that no snapshot shares.
	owned [shardCount]bool

	// log holds every change after revision floor, in the order in which it was applied.
	log     []logEntry
	floor   int64
	logSize int
	// tombstones keeps deletions above the full revision, because older puts of these keys may still
	// arrive from a late watch.
	tombstones map[string]int64
}

// NewCache returns an empty cache; logSize zero means DefaultLogSize.
func NewCache(logSize int) *Cache {
	if logSize <= 0 {
		logSize = DefaultLogSize
	}
	return &Cache{logSize: logSize, tombstones: map[string]int64{}}
}

// Revision returns the put revision.
func (c *Cache) Revision() int64 { return c.puts }

// FullRevision returns the revision up to which every change, including deletions, is applied.
func (c *Cache) FullRevision() int64 { return c.full }

// ClusterID returns the remembered cluster ID; zero before any data.
func (c *Cache) ClusterID() uint64 { return c.clusterID }

// Get returns the entry of a key.
func (c *Cache) Get(key string) (Entry, bool) {
	e, ok := c.shards[shardOf(key)][key]
	return e, ok
}

// Prefix returns the sorted keys with the prefix.
func (c *Cache) Prefix(prefix string) []string {
	return c.Snapshot().Keys(prefix)
}

// Snapshot returns the present state. Its cost does not depend on the number of keys.
func (c *Cache) Snapshot() *Snapshot {
	c.owned = [shardCount]bool{}
	return &Snapshot{revision: c.puts, shards: c.shards}
}

// Confirm records that revision was the newest of the service at the given time. It counts only
// when the cache has every put up to that revision.
func (c *Cache) Confirm(revision int64, at time.Time) bool {
	if revision <= 0 || revision > c.puts {
		return false
	}
	if at.After(c.confirmedAt) {
		c.confirmedAt = at
	}
	return true
}

// ConfirmedAt returns the latest time at which the put revision is known to have been the newest;
// zero means never.
func (c *Cache) ConfirmedAt() time.Time { return c.confirmedAt }

// checkCluster adopts the first cluster ID and refuses all others.
func (c *Cache) checkCluster(id uint64) error {
	if c.clusterID == 0 {
		c.clusterID = id
	}
	if id != c.clusterID {
		return fmt.Errorf("%w: have %d, got %d", ErrClusterChanged, c.clusterID, id)
	}
	return nil
}

// Apply applies a batch of a watch that started right after the full revision or earlier, and
// returns the changed keys.
func (c *Cache) Apply(b kvstore.WatchBatch) ([]string, error) {
	if err := c.checkCluster(b.ClusterID); err != nil {
		return nil, err
	}
	var changed []string
	last := c.full
	for _, e := range b.Events {
		if c.change(e.Pair.Key, e.Pair.Value, e.Pair.ModRevision, e.Deleted) {
			changed = append(changed, e.Pair.Key)
		}
		last = max(last, e.Pair.ModRevision)
	}
	if len(b.Events) == 0 {
		last = max(last, b.Revision)
	}
	// With events, the batch revision is not used: a watch that catches up may report the newest
	// store revision in a batch that ends earlier.
	c.advance(last, last)
	return changed, nil
}

// ApplyPoll applies the answer to a range of the whole prefix with MinModRevision = since+1.
func (c *Cache) ApplyPoll(r kvstore.RangeResult, since int64) ([]string, error) {
	if err := c.checkCluster(r.ClusterID); err != nil {
		return nil, err
	}
	var changed []string
	for i := range r.Pairs {
		p := &r.Pairs[i]
		if c.change(p.Key, p.Value, p.ModRevision, false) {
			changed = append(changed, p.Key)
		}
	}
	if since <= c.puts && !r.More {
		c.advance(c.full, r.Revision)
	}
	return changed, nil
}

// ApplySnapshot applies the answer to a range of the whole prefix. An answer at or below the full
// revision has nothing new and is ignored.
func (c *Cache) ApplySnapshot(r kvstore.RangeResult) ([]string, error) {
	if err := c.checkCluster(r.ClusterID); err != nil {
		return nil, err
	}
	if r.Revision <= c.full || r.More {
		return nil, nil
	}
	present := make(map[string]struct{}, len(r.Pairs))
	var changed []string
	for i := range r.Pairs {
		p := &r.Pairs[i]
		present[p.Key] = struct{}{}
		if c.store(p.Key, p.Value, p.ModRevision, false) {
			changed = append(changed, p.Key)
		}
	}
	changed = append(changed, c.removeMissing("", present, r.Revision)...)
	c.advance(r.Revision, r.Revision)
	c.cutLog(r.Revision)
	return changed, nil
}

// ApplySweep applies the answer to a range of one prefix below the whole one, with or without
// values: it only removes keys that are missing in the answer.
func (c *Cache) ApplySweep(prefix string, r kvstore.RangeResult) ([]string, error) {
	if err := c.checkCluster(r.ClusterID); err != nil {
		return nil, err
	}
	if r.Revision < c.full || r.More {
		return nil, nil
	}
	present := make(map[string]struct{}, len(r.Pairs))
	for i := range r.Pairs {
		present[r.Pairs[i].Key] = struct{}{}
	}
	return c.removeMissing(prefix, present, r.Revision), nil
}

// removeMissing removes the keys with the prefix that were absent at the revision.
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
		c.store(key, nil, revision, true)
	}
	return missing
}

// change applies one change unless the cache already has it or a newer one.
func (c *Cache) change(key string, value []byte, revision int64, deleted bool) bool {
	if revision <= c.full {
		return false
	}
	return c.store(key, value, revision, deleted)
}

func (c *Cache) store(key string, value []byte, revision int64, deleted bool) bool {
	n := shardOf(key)
	e, ok := c.shards[n][key]
	if ok && revision <= e.ModRevision || !ok && revision <= c.tombstones[key] {
		return false
	}
	if deleted && revision > c.full {
		c.tombstones[key] = revision
	}
	c.record(key, revision)
	if !ok && deleted {
		// A peer may have the key from a poll, so the deletion is in the log although it changes
		// nothing here.
		return false
	}
	sh := c.own(n)
	if deleted {
		delete(sh, key)
	} else {
		sh[key] = Entry{Value: value, ModRevision: revision}
	}
	return true
}

// own returns a shard that may be changed, copying it when a snapshot shares it.
func (c *Cache) own(n int) shard {
	if !c.owned[n] {
		c.owned[n] = true
		c.shards[n] = maps.Clone(c.shards[n])
		if c.shards[n] == nil {
			c.shards[n] = shard{}
		}
	}
	return c.shards[n]
}

func (c *Cache) record(key string, revision int64) {
	c.log = append(c.log, logEntry{key, revision})
	if len(c.log) <= c.logSize {
		return
	}
	// Dropping a quarter at a time keeps the cost per change constant.
	drop := c.logSize/4 + 1
	for _, e := range c.log[:drop] {
		c.floor = max(c.floor, e.revision)
	}
	c.log = slices.Clone(c.log[drop:])
}

// cutLog drops the log up to the revision of a whole state. Keys that were created and deleted since
// the former state left no trace in it, but a peer may have them from a poll.
func (c *Cache) cutLog(revision int64) {
	c.log = slices.DeleteFunc(c.log, func(e logEntry) bool { return e.revision <= revision })
	c.floor = max(c.floor, revision)
}

func (c *Cache) advance(full, puts int64) {
	if full > c.full {
		c.full = full
		maps.DeleteFunc(c.tombstones, func(_ string, r int64) bool { return r <= c.full })
	}
	c.puts = max(c.puts, c.full, puts)
}

// Delta returns all changes after a full revision that the asking host has. It returns false when
// the log does not reach back far enough; then Whole must be sent.
func (c *Cache) Delta(since int64) (wire.ViewDelta, bool) {
	if since < c.floor || since <= 0 {
		return wire.ViewDelta{}, false
	}
	d := c.emptyDelta(since)
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

// Whole returns the whole state as a delta.
func (c *Cache) Whole() wire.ViewDelta {
	d := c.emptyDelta(0)
	for i := range c.shards {
		for key, e := range c.shards[i] {
			d.Changes = append(d.Changes, wire.ViewChange{Key: key, ModRevision: e.ModRevision, Value: e.Value})
		}
	}
	// The state lacks keys that were deleted after its full revision.
	for key, revision := range c.tombstones {
		if _, ok := c.Get(key); !ok {
			d.Changes = append(d.Changes, wire.ViewChange{Key: key, ModRevision: revision, Deleted: true})
		}
	}
	return d
}

func (c *Cache) emptyDelta(since int64) wire.ViewDelta {
	return wire.ViewDelta{Since: since, Revision: c.full, Puts: c.puts, ClusterID: c.clusterID}
}

// ApplyDelta applies a delta or whole state of a peer.
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
		if c.change(ch.Key, ch.Value, ch.ModRevision, ch.Deleted) {
			changed = append(changed, ch.Key)
		}
	}
	switch {
	case d.Since == 0 && d.Revision >= c.full:
		changed = append(changed, c.removeMissing("", present, d.Revision)...)
		c.advance(d.Revision, d.Puts)
		c.cutLog(d.Revision)
	case d.Since <= c.full:
		// Also a whole state that is older than the full revision has all puts up to Puts.
		c.advance(d.Revision, d.Puts)
	case d.Since <= c.puts:
		c.advance(c.full, d.Puts)
	}
	return changed, nil
}
