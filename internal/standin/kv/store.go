// Package kv is a stand-in for the platform's key-value service. Store implements kvstore.KV in
// memory, and Server serves a Store over the etcd v3 JSON gateway. Both can inject faults.
package kv

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/kvstore"
)

const (
	// DefaultHistory is the default number of events that are kept for watches.
	DefaultHistory = 10000
	// MaxValueBytes is the largest value that the platform's service accepts.
	MaxValueBytes = 1 << 20
	// leaseCheckInterval limits how late Run expires a lease.
	leaseCheckInterval = 100 * time.Millisecond
)

// Options configures a Store.
type Options struct {
	// Now is the clock for leases and rate limits. Default time.Now.
	Now func() time.Time
	// ClusterID is part of every answer. Default 1.
	ClusterID uint64
	// History is the number of events that are kept for watches; older ones are compacted. Default
	// DefaultHistory.
	History int
}

type lease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]struct{}
}

type state struct {
	revision int64
	pairs    map[string]kvstore.Pair
}

// Store is a key-value service in memory. It is safe for concurrent use. Overdue leases are expired by calls
// to the Store and by ExpireLeases, which Run calls every leaseCheckInterval.
type Store struct {
	opt    Options
	counts kvstore.Counts

	mu        sync.Mutex
	state     state
	leases    map[kvstore.LeaseID]*lease
	nextLease kvstore.LeaseID
	// history holds all events with a revision above compacted, ordered by revision.
	history   []kvstore.Event
	compacted int64
	// changed is closed and replaced to wake the watches.
	changed chan struct{}
	// breakCount counts the calls of BreakWatches.
	breakCount int

	faults Faults
	// staleState answers serializable reads while Faults.StaleReads is set; otherwise it is nil.
	staleState              *state
	rng                     *rand.Rand
	writesSinceLoss         int
	writeBucket, readBucket tokenBucket
}

var _ kvstore.KV = (*Store)(nil)

// NewStore returns an empty store at revision 1, like a new etcd cluster.
func NewStore(opt Options) *Store {
	if opt.Now == nil {
		opt.Now = time.Now
	}
	if opt.ClusterID == 0 {
		opt.ClusterID = 1
	}
	if opt.History <= 0 {
		opt.History = DefaultHistory
	}
	return &Store{
		opt:     opt,
		state:   state{revision: 1, pairs: map[string]kvstore.Pair{}},
		leases:  map[kvstore.LeaseID]*lease{},
		changed: make(chan struct{}),
		rng:     newRand(0),
	}
}

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) }

// Counts returns the counters of received calls, including failed ones.
func (s *Store) Counts() *kvstore.Counts { return &s.counts }

// Revision returns the store revision.
func (s *Store) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.revision
}

// SetClusterID changes the cluster ID, as happens when a service is restored from a backup.
func (s *Store) SetClusterID(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opt.ClusterID = id
}

// Run expires leases until ctx ends.
func (s *Store) Run(ctx context.Context) {
	t := time.NewTicker(leaseCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			s.ExpireLeases()
		}
	}
}

// Compact drops the history up to and including the revision.
func (s *Store) Compact(revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactTo(min(revision, s.state.revision))
}

func (s *Store) compactTo(revision int64) {
	if revision <= s.compacted {
		return
	}
	s.compacted = revision
	s.history = slices.Clone(s.history[s.historyIndex(revision+1):])
	s.wakeWatches()
}

// BreakWatches ends all running watches with kvstore.ErrUnavailable.
func (s *Store) BreakWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.breakCount++
	s.wakeWatches()
}

func (s *Store) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) copyState() *state {
	return &state{revision: s.state.revision, pairs: maps.Clone(s.state.pairs)}
}

// historyIndex returns the index of the first event at or after the revision.
func (s *Store) historyIndex(revision int64) int {
	i, _ := slices.BinarySearchFunc(s.history, revision, func(e kvstore.Event, r int64) int {
		return cmp.Compare(e.Pair.ModRevision, r)
	})
	return i
}

// commit records the events of one revision and wakes the watches.
func (s *Store) commit(events []kvstore.Event) {
	if len(events) == 0 {
		return
	}
	s.state.revision++
	s.history = append(s.history, events...)
	// The history is compacted a quarter at a time, so that the average cost per write does not grow with its
	// size.
	if len(s.history) > s.opt.History+s.opt.History/4 {
		s.compactTo(s.history[len(s.history)-s.opt.History].Pair.ModRevision)
	}
	s.wakeWatches()
}

func (s *Store) deletePair(key string, revision int64) kvstore.Event {
	delete(s.state.pairs, key)
	return kvstore.Event{Deleted: true, Pair: kvstore.Pair{Key: key, ModRevision: revision}}
}

// Get implements kvstore.KV.
func (s *Store) Get(ctx context.Context, key string) (*kvstore.Pair, int64, error) {
	if err := s.beforeCall(ctx, kvstore.CallRange); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireOverdue()
	return s.get(key), s.state.revision, nil
}

func (s *Store) get(key string) *kvstore.Pair {
	p, ok := s.state.pairs[key]
	if !ok {
		return nil
	}
	p.Value = slices.Clone(p.Value)
	return &p
}

// Range implements kvstore.KV.
func (s *Store) Range(ctx context.Context, r kvstore.RangeRequest) (kvstore.RangeResult, error) {
	if err := s.beforeCall(ctx, kvstore.CallRange); err != nil {
		return kvstore.RangeResult{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireOverdue()
	st := &s.state
	if r.Serializable && s.staleState != nil {
		st = s.staleState
	}
	res := kvstore.RangeResult{Revision: st.revision, ClusterID: s.opt.ClusterID}
	for _, key := range s.candidates(st, r.MinModRevision) {
		p, ok := st.pairs[key]
		if !ok || !strings.HasPrefix(key, r.Prefix) || p.ModRevision < r.MinModRevision {
			continue
		}
		if r.Limit > 0 && int64(len(res.Pairs)) == r.Limit {
			res.More = true
			break
		}
		p.Value = slices.Clone(p.Value)
		if r.KeysOnly {
			p.Value = nil
		}
		res.Pairs = append(res.Pairs, p)
	}
	return res, nil
}

// candidates returns, in order, all keys that may have changed at or after the revision. If the history
// covers the revision, the keys come from it, so that polls for recent changes do not scan the whole store.
func (s *Store) candidates(st *state, minRevision int64) []string {
	if minRevision <= s.compacted {
		return slices.Sorted(maps.Keys(st.pairs))
	}
	var keys []string
	for _, e := range s.history[s.historyIndex(minRevision):] {
		keys = append(keys, e.Pair.Key)
	}
	slices.Sort(keys)
	return slices.Compact(keys)
}

// Txn implements kvstore.KV.
func (s *Store) Txn(ctx context.Context, t kvstore.Txn) (kvstore.TxnResult, error) {
	if err := s.beforeCall(ctx, kvstore.CallTxn); err != nil {
		return kvstore.TxnResult{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireOverdue()
	ops, succeeded := t.Failure, false
	if s.allComparesHold(t.Compares) {
		ops, succeeded = t.Success, true
	}
	if err := s.checkOps(ops); err != nil {
		return kvstore.TxnResult{}, err
	}
	res := kvstore.TxnResult{Succeeded: succeeded}
	revision := s.state.revision + 1
	var events []kvstore.Event
	for _, op := range ops {
		switch op.Kind {
		case kvstore.OpGet:
			res.Gets = append(res.Gets, s.get(op.Key))
		case kvstore.OpPut:
			events = append(events, s.put(op, revision))
		case kvstore.OpDelete:
			if p, ok := s.state.pairs[op.Key]; ok {
				s.detachFromLease(p)
				events = append(events, s.deletePair(op.Key, revision))
			}
		}
	}
	s.commit(events)
	res.Revision = s.state.revision
	if s.shouldLoseAnswer() {
		return kvstore.TxnResult{}, noAnswerError(kvstore.CallTxn)
	}
	return res, nil
}

func (s *Store) allComparesHold(compares []kvstore.Compare) bool {
	for _, c := range compares {
		p := s.state.pairs[c.Key]
		got := p.ModRevision
		switch c.Target {
		case kvstore.CompareCreateRevision:
			got = p.CreateRevision
		case kvstore.CompareVersion:
			got = p.Version
		}
		if got != c.Value {
			return false
		}
	}
	return true
}

// checkOps returns the error with which the platform's service refuses the operations before it applies any
// of them.
func (s *Store) checkOps(ops []kvstore.Op) error {
	written := map[string]bool{}
	for _, op := range ops {
		if op.Kind == kvstore.OpGet {
			continue
		}
		if op.Key == "" || written[op.Key] {
			return fmt.Errorf("%w: empty or duplicate key %q", kvstore.ErrRejected, op.Key)
		}
		written[op.Key] = true
		if len(op.Value) > MaxValueBytes {
			return fmt.Errorf("%w: value of %d bytes is too large", kvstore.ErrRejected, len(op.Value))
		}
		if op.Lease != 0 && s.leases[op.Lease] == nil {
			return kvstore.ErrLeaseNotFound
		}
	}
	return nil
}

func (s *Store) detachFromLease(p kvstore.Pair) {
	if l := s.leases[p.Lease]; l != nil {
		delete(l.keys, p.Key)
	}
}

func (s *Store) put(op kvstore.Op, revision int64) kvstore.Event {
	p, ok := s.state.pairs[op.Key]
	if !ok {
		p = kvstore.Pair{Key: op.Key, CreateRevision: revision}
	}
	s.detachFromLease(p)
	p.Value = slices.Clone(op.Value)
	p.ModRevision = revision
	p.Version++
	p.Lease = op.Lease
	if l := s.leases[op.Lease]; l != nil {
		l.keys[op.Key] = struct{}{}
	}
	s.state.pairs[op.Key] = p
	return kvstore.Event{Pair: p}
}

// Watch implements kvstore.KV.
func (s *Store) Watch(ctx context.Context, prefix string, from int64, fn func(kvstore.WatchBatch) error) error {
	if err := s.beforeCall(ctx, kvstore.CallWatch); err != nil {
		return err
	}
	return s.watch(ctx, prefix, from, fn)
}

func (s *Store) watch(ctx context.Context, prefix string, from int64, fn func(kvstore.WatchBatch) error) error {
	s.mu.Lock()
	breakCount := s.breakCount
	if from <= 0 {
		from = s.state.revision + 1
	}
	s.mu.Unlock()
	for {
		s.mu.Lock()
		changed := s.changed
		if s.breakCount != breakCount {
			s.mu.Unlock()
			return fmt.Errorf("%w: watch broken", kvstore.ErrUnavailable)
		}
		batch, err := s.nextBatch(prefix, from)
		s.mu.Unlock()
		if err != nil {
			return err
		}
		if len(batch.Events) > 0 {
			if err := fn(batch); err != nil {
				return err
			}
		}
		from = max(from, batch.Revision+1)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// nextBatch returns the events of keys with the prefix at or after the revision. It returns none while
// watches are frozen.
func (s *Store) nextBatch(prefix string, from int64) (kvstore.WatchBatch, error) {
	if s.faults.FreezeWatches {
		return kvstore.WatchBatch{}, nil
	}
	if from <= s.compacted {
		return kvstore.WatchBatch{}, kvstore.ErrCompacted
	}
	batch := kvstore.WatchBatch{Revision: s.state.revision, ClusterID: s.opt.ClusterID}
	for _, e := range s.history[s.historyIndex(from):] {
		if strings.HasPrefix(e.Pair.Key, prefix) {
			batch.Events = append(batch.Events, e)
		}
	}
	return batch, nil
}
