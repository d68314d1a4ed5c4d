package releases

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/kvstore"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

const (
	// maxKept bounds the records that a host keeps.
	maxKept = 16384
	// hostRewriteTime is the time after a restore that is left to the hosts of streams to write their records again.
	hostRewriteTime = 800 * time.Millisecond
)

// Kept are the records of the streams of all hosts, as this host has read or received them. Some of them are not in the
// key-value service, and their hosts may be unable to write them, because they have ended, stand still or are cut off. This
// host writes them then: those that a restore of the service has lost if it is the coordinator, and those that their hosts
// have relayed to it in any case. It is safe for concurrent use.
type Kept struct {
	prefix string
	mu     sync.Mutex
	// records are the kept records by key, and unwritten those that have to be written.
	records   map[string]keptRecord
	unwritten map[string]unwrittenRecord
}

// keptRecord is the value of a record that was read or received at a time.
type keptRecord struct {
	value  []byte
	readAt time.Time
}

// unwrittenRecord is a record whose write is due at a time. relayed is set if its host has asked this host to write it.
type unwrittenRecord struct {
	dueAt   time.Time
	relayed bool
}

// NewKept returns an empty table. keyPrefix is the prefix of the installation.
func NewKept(keyPrefix string) *Kept {
	return &Kept{prefix: keyPrefix + streamsPrefix, records: make(map[string]keptRecord), unwritten: make(map[string]unwrittenRecord)}
}

// IsStreamKey reports whether a key is that of the record of a stream.
func (k *Kept) IsStreamKey(key string) bool { return strings.HasPrefix(key, k.prefix) }

// Apply applies a change of the record of a stream.
func (k *Kept) Apply(e kvstore.Event, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.unwritten, e.Pair.Key)
	if e.Deleted {
		delete(k.records, e.Pair.Key)
		return
	}
	if len(k.records) < maxKept {
		k.records[e.Pair.Key] = keptRecord{value: e.Pair.Value, readAt: now}
	}
}

// Relayed keeps records that their host cannot write, to be written when dueAt comes. It reports whether all of them are
// kept: there may be no room, or they may not be records of streams.
func (k *Kept) Relayed(records []wire.StreamRecord, dueAt, now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, r := range records {
		if _, err := DecodeStream(r.Value); err != nil || !k.IsStreamKey(r.Key) || len(k.records) >= maxKept {
			return false
		}
		k.records[r.Key] = keptRecord{value: r.Value, readAt: now}
		k.unwritten[r.Key] = unwrittenRecord{dueAt: dueAt, relayed: true}
	}
	return true
}

// Restored marks the kept records that a restored copy does not hold. present are the keys that it holds.
func (k *Kept) Restored(present map[string]bool, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for key := range k.records {
		if !present[key] {
			k.unwritten[key] = unwrittenRecord{dueAt: now.Add(hostRewriteTime), relayed: k.unwritten[key].relayed}
		}
	}
}

// Forget forgets the records that were read longer ago than the retention.
func (k *Kept) Forget(retention time.Duration, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	maps.DeleteFunc(k.records, func(key string, r keptRecord) bool {
		old := now.Sub(r.readAt) > retention
		if old {
			delete(k.unwritten, key)
		}
		return old
	})
}

// TakeUnwritten returns the operations that write the records which are due, with a lease. They are returned again after
// hostRewriteTime unless they are acknowledged or read by then.
func (k *Kept) TakeUnwritten(lease kvstore.LeaseID, coordinator bool, now time.Time) []kvstore.Op {
	k.mu.Lock()
	defer k.mu.Unlock()
	var ops []kvstore.Op
	for _, key := range slices.Sorted(maps.Keys(k.unwritten)) {
		if len(ops) == maxOpsPerWrite {
			break
		}
		u := k.unwritten[key]
		if !u.isDue(coordinator, now) {
			continue
		}
		u.dueAt = now.Add(hostRewriteTime)
		k.unwritten[key] = u
		ops = append(ops, kvstore.PutLeased(key, k.records[key].value, lease))
	}
	return ops
}

// Acknowledged records that the key-value service has acknowledged the operations of TakeUnwritten.
func (k *Kept) Acknowledged(ops []kvstore.Op) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, op := range ops {
		delete(k.unwritten, op.Key)
	}
}

// HasUnwritten reports whether this host has to write records now.
func (k *Kept) HasUnwritten(coordinator bool, now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, u := range k.unwritten {
		if u.isDue(coordinator, now) {
			return true
		}
	}
	return false
}

// isDue reports whether this host has to write a record now.
func (u unwrittenRecord) isDue(coordinator bool, now time.Time) bool {
	return (u.relayed || coordinator) && !now.Before(u.dueAt)
}
