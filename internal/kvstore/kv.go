// Package kvstore is a client of the platform's key-value service, which offers the API of the etcd v3 JSON gateway.
//
// As in etcd, every change raises the revision of the whole store. The ModRevision of a key is the store revision of
// its last change, its CreateRevision that of its creation, and its Version the number of writes since its creation,
// including it. Where the service tells its era, revisions contain it (see Era), so that they rise for ever.
package kvstore

import (
	"context"
	"errors"
	"time"
)

// Errors of the key-value service. ErrUnavailable means that the call certainly had no effect. ErrUnknown means that
// a write may have taken effect, so that the caller must read the result back. ErrCompacted means that the service has
// deleted the history from which a watch or poll was to start. ErrRestored means that the service was restored from an
// older copy during a conditional write, so that a condition that held means nothing.
var (
	ErrUnavailable   = errors.New("kvstore: service unavailable")
	ErrUnknown       = errors.New("kvstore: outcome unknown")
	ErrCompacted     = errors.New("kvstore: revision compacted")
	ErrLeaseNotFound = errors.New("kvstore: lease not found")
	ErrRestored      = errors.New("kvstore: service restored from an older copy")
)

// LeaseID identifies a lease; zero means no lease.
type LeaseID int64

// Pair is one key with its value and revisions.
type Pair struct {
	Key            string
	Value          []byte
	CreateRevision int64
	ModRevision    int64
	Version        int64
	Lease          LeaseID
}

// RangeRequest is a read of the keys that start with Prefix.
type RangeRequest struct {
	// Prefix must not be empty.
	Prefix string
	// MinModRevision excludes keys that were last changed before this revision; zero includes all keys.
	MinModRevision int64
	// Limit bounds the number of returned pairs; zero means no limit.
	Limit int64
	// KeysOnly omits the values from the result.
	KeysOnly bool
	// Serializable allows one replica of the service to respond with stale data. Otherwise the read is
	// linearizable.
	Serializable bool
}

// RangeResult is the result of a RangeRequest.
type RangeResult struct {
	Pairs []Pair
	// Revision is the store revision at which the keys were read.
	Revision int64
	// ClusterID changes when the service is rebuilt or restored.
	ClusterID uint64
	// More is set when there are further pairs that Limit excluded.
	More bool
}

// CompareTarget is the property of a key that a Compare tests.
type CompareTarget uint8

// The targets of a Compare.
const (
	CompareModRevision CompareTarget = iota
	CompareCreateRevision
	CompareVersion
)

// Compare is a condition that holds when the property Target of Key equals Value. A ModRevision or CreateRevision of
// zero means that the key is absent.
type Compare struct {
	Key    string
	Target CompareTarget
	Value  int64
}

// OpKind is the kind of an operation in a transaction.
type OpKind uint8

// The kinds of operations.
const (
	OpPut OpKind = iota
	OpDelete
	OpGet
)

// Op is one operation of a transaction. Value and Lease are used by OpPut only.
type Op struct {
	Kind  OpKind
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn is an atomic transaction that runs Success if all Compares hold and Failure otherwise.
type Txn struct {
	Compares []Compare
	Success  []Op
	Failure  []Op
}

// TxnResult is the result of a Txn. Succeeded reports whether all Compares held. Gets has one entry for each OpGet
// that ran, in their order; the entry is nil if the key is absent.
type TxnResult struct {
	Succeeded bool
	Revision  int64
	Gets      []*Pair
}

// Event is one change that a watch reports.
type Event struct {
	Deleted bool
	Pair    Pair
}

// WatchBatch contains the events of one message of a watch. A batch without events is a progress notification:
// all events up to Revision have been delivered.
type WatchBatch struct {
	Events    []Event
	Revision  int64
	ClusterID uint64
}

// KV is the interface of the key-value service. All methods are safe for concurrent use.
type KV interface {
	// Get returns the pair of a key, or nil if the key is absent, and the store revision.
	Get(ctx context.Context, key string) (*Pair, int64, error)
	// Range returns the pairs whose keys start with a prefix.
	Range(ctx context.Context, r RangeRequest) (RangeResult, error)
	// Txn runs a transaction.
	Txn(ctx context.Context, t Txn) (TxnResult, error)
	// Grant creates a lease that expires after ttl unless it is renewed.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews the lease and returns its time to live after the renewal.
	KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error)
	// Revoke ends a lease. The service then deletes the keys that are bound to it.
	Revoke(ctx context.Context, id LeaseID) error
	// Watch calls fn for every batch of events of the keys with the prefix, starting with the changes at
	// fromRevision, until ctx ends, fn returns an error, or the stream breaks. It always returns a non-nil error.
	Watch(ctx context.Context, prefix string, fromRevision int64, fn func(WatchBatch) error) error
}

// Put returns an operation that stores a value.
func Put(key string, value []byte) Op { return Op{Kind: OpPut, Key: key, Value: value} }

// PutLeased returns an operation that stores a value and binds the key to a lease.
func PutLeased(key string, value []byte, lease LeaseID) Op {
	return Op{Kind: OpPut, Key: key, Value: value, Lease: lease}
}

// Absent returns a condition that holds when the key does not exist.
func Absent(key string) Compare { return Compare{Key: key, Target: CompareCreateRevision} }

// Unchanged returns a condition that holds when the key was last changed at revision rev.
func Unchanged(key string, rev int64) Compare {
	return Compare{Key: key, Target: CompareModRevision, Value: rev}
}
