package releases

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/kvstore"
)

const (
	// maxKept bounds the records that a host keeps.
	maxKept = 16384
	// hostRewriteTime is the time after a restore that is left to the hosts of streams to write their records again.
	hostRewriteTime = 800 * time.Millisecond
)

// Kept are the records of the streams of all hosts, as this host has read them. If a restore of the key-value service loses
// some, the coordinator writes those again whose hosts do not, because they have ended, stand still or are cut off. It is
// safe for concurrent use.
type Kept struct {
	prefix string
	mu     sync.Mutex
	// records are the kept records by key, and lost when those that a restore has lost are due to be written again.
	records map[string]keptRecord
	lost    map[string]time.Time
}

// keptRecord is the value of a record that was read at a time.
type keptRecord struct {
	value  []byte
	readAt time.Time
}

// NewKept returns an empty table. keyPrefix is the prefix of the installation.
func NewKept(keyPrefix string) *Kept {
	return &Kept{prefix: keyPrefix + streamsPrefix, records: make(map[string]keptRecord), lost: make(map[string]time.Time)}
}

// IsStreamKey reports whether a key is that of the record of a stream.
func (k *Kept) IsStreamKey(key string) bool { return strings.HasPrefix(key, k.prefix) }

// Apply applies a change of the record of a stream.
func (k *Kept) Apply(e kvstore.Event, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.lost, e.Pair.Key)
	if e.Deleted {
		delete(k.records, e.Pair.Key)
		return
	}
	if len(k.records) < maxKept {
		k.records[e.Pair.Key] = keptRecord{value: e.Pair.Value, readAt: now}
	}
}

// Restored marks the kept records that a restored copy does not hold. present are the keys that it holds.
func (k *Kept) Restored(present map[string]bool, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for key := range k.records {
		if !present[key] {
			k.lost[key] = now.Add(hostRewriteTime)
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
			delete(k.lost, key)
		}
		return old
	})
}

// TakeLost returns the operations that write lost records again which are due, with a lease. They are returned again after
// hostRewriteTime unless they are read by then.
func (k *Kept) TakeLost(lease kvstore.LeaseID, now time.Time) []kvstore.Op {
	k.mu.Lock()
	defer k.mu.Unlock()
	var ops []kvstore.Op
	for _, key := range slices.Sorted(maps.Keys(k.lost)) {
		if len(ops) == maxOpsPerWrite {
			break
		}
		if now.Before(k.lost[key]) {
			continue
		}
		k.lost[key] = now.Add(hostRewriteTime)
		ops = append(ops, kvstore.PutLeased(key, k.records[key].value, lease))
	}
	return ops
}

// HasLost reports whether lost records are due to be written again.
func (k *Kept) HasLost(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, due := range k.lost {
		if !now.Before(due) {
			return true
		}
	}
	return false
}
