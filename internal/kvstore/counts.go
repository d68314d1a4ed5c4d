package kvstore

import "sync/atomic"

// CallKind is a kind of call to the key-value service.
type CallKind uint8

// The kinds of calls.
const (
	CallRange CallKind = iota
	CallTxn
	CallGrant
	CallKeepAlive
	CallRevoke
	CallWatch
	numCallKinds
)

var callNames = [numCallKinds]string{"range", "txn", "lease_grant", "lease_keepalive", "lease_revoke", "watch"}

// String returns the metric label of the kind.
func (k CallKind) String() string {
	if k >= numCallKinds {
		return "unknown"
	}
	return callNames[k]
}

// IsWrite reports whether a call of this kind can change the store.
func (k CallKind) IsWrite() bool { return k == CallTxn || k == CallGrant || k == CallRevoke }

// Counts counts calls by kind. The zero value is ready to use. It is safe for concurrent use.
type Counts struct {
	counts [numCallKinds]atomic.Int64
}

// Add counts one call.
func (c *Counts) Add(k CallKind) { c.counts[k].Add(1) }

// Get returns the number of calls of one kind.
func (c *Counts) Get(k CallKind) int64 { return c.counts[k].Load() }

// Map returns the counts by metric label.
func (c *Counts) Map() map[string]int64 {
	m := make(map[string]int64, numCallKinds)
	for k := range numCallKinds {
		m[k.String()] = c.counts[k].Load()
	}
	return m
}
