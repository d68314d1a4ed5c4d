package election

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/kvstore"
)

// lateWrite is how late a write without an answer is done.
const lateWrite = 1200 * time.Millisecond

// answerLoss says what becomes of a write whose answer is lost.
type answerLoss int

const (
	notLost answerLoss = iota
	lostDone
	lostLate
	lostNotDone
)

// modelState is what the service holds.
type modelState struct {
	revision int64
	items    map[string]kvstore.Pair
}

// modelLease is a lease; its keys go when it ends.
type modelLease struct{ expires time.Time }

// modelStore is a key-value service that can be restored. Lease IDs and revisions are given out again after a restore.
type modelStore struct {
	mu        sync.Mutex
	era       kvstore.Era
	state     modelState
	leases    map[kvstore.LeaseID]*modelLease
	nextLease kvstore.LeaseID
	copies    []modelCopy
	downUntil time.Time
	loss      answerLoss
	// terms counts the campaigns that were won.
	terms atomic.Int64
}

type modelCopy struct {
	at    time.Time
	state modelState
	next  kvstore.LeaseID
}

func newModelStore() *modelStore {
	return &modelStore{era: 1, state: modelState{revision: 5, items: make(map[string]kvstore.Pair)}, leases: make(map[kvstore.LeaseID]*modelLease), nextLease: 1}
}

// expire removes the leases that have ended, with their keys, and keeps a copy of the state. The caller holds mu.
func (s *modelStore) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
	s.copies = append(s.copies, modelCopy{at: now, state: modelState{revision: s.state.revision, items: maps.Clone(s.state.items)}, next: s.nextLease})
}

func (s *modelStore) endLease(id kvstore.LeaseID) {
	delete(s.leases, id)
	for key, p := range s.state.items {
		if p.Lease == id {
			s.state.revision++
			delete(s.state.items, key)
		}
	}
}

// restore brings back the state of some time ago, after a while without answers. The keys of leases run out a lease later.
func (s *modelStore) restore(age, away time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	chosen := s.copies[0]
	for _, c := range s.copies {
		if time.Since(c.at) >= age {
			chosen = c
		}
	}
	s.era++
	s.state = modelState{revision: chosen.state.revision, items: maps.Clone(chosen.state.items)}
	s.nextLease = chosen.next
	clear(s.leases)
	for _, p := range s.state.items {
		if p.Lease != 0 {
			s.leases[p.Lease] = &modelLease{expires: time.Now().Add(away + leaseTTL)}
		}
	}
	s.downUntil = time.Now().Add(away)
	s.copies = nil
}

// modelClient is the client of one process. Like that of the platform, it ties revisions, conditions and leases to an era.
type modelClient struct {
	kvstore.KV
	store *modelStore
	node  *modelNode
	known kvstore.Era
	mine  map[kvstore.LeaseID]kvstore.Era
}

// enter returns an error if the call gets no answer from the service, and locks the service otherwise.
func (c *modelClient) enter(ctx context.Context) error {
	c.node.waitThawed()
	c.store.mu.Lock()
	if ctx.Err() != nil || c.node.turnedAway() || time.Now().Before(c.store.downUntil) {
		c.store.mu.Unlock()
		return kvstore.ErrUnavailable
	}
	c.store.expire()
	c.known = c.store.era
	return nil
}

func (c *modelClient) Grant(ctx context.Context, ttl time.Duration) (kvstore.LeaseID, error) {
	if err := c.enter(ctx); err != nil {
		return 0, err
	}
	defer c.store.mu.Unlock()
	id := c.store.nextLease
	c.store.nextLease++
	c.store.leases[id] = &modelLease{expires: time.Now().Add(ttl)}
	c.mine[id] = c.known
	return id, nil
}

func (c *modelClient) KeepAlive(ctx context.Context, id kvstore.LeaseID) (time.Duration, error) {
	if err := c.enter(ctx); err != nil {
		return 0, err
	}
	defer c.store.mu.Unlock()
	if c.mine[id] != c.known {
		return 0, fmt.Errorf("%w: %w", kvstore.ErrLeaseNotFound, kvstore.ErrRestored)
	}
	l := c.store.leases[id]
	if l == nil {
		return 0, kvstore.ErrLeaseNotFound
	}
	l.expires = time.Now().Add(leaseTTL)
	return leaseTTL, nil
}

func (c *modelClient) Revoke(ctx context.Context, id kvstore.LeaseID) error {
	if err := c.enter(ctx); err != nil {
		return err
	}
	defer c.store.mu.Unlock()
	if c.mine[id] != c.known {
		return kvstore.ErrLeaseNotFound
	}
	c.store.endLease(id)
	return nil
}

func (c *modelClient) Get(ctx context.Context, key string) (*kvstore.Pair, int64, error) {
	if err := c.enter(ctx); err != nil {
		return nil, 0, err
	}
	defer c.store.mu.Unlock()
	p, ok := c.store.state.items[key]
	if !ok {
		return nil, kvstore.JoinRevision(c.known, c.store.state.revision), nil
	}
	p.ModRevision = kvstore.JoinRevision(c.known, p.ModRevision)
	return &p, kvstore.JoinRevision(c.known, c.store.state.revision), nil
}

func (c *modelClient) Txn(ctx context.Context, t kvstore.Txn) (kvstore.TxnResult, error) {
	started, possible, err := c.check(t)
	if !possible || err != nil {
		return kvstore.TxnResult{}, err
	}
	if err := c.enter(ctx); err != nil {
		return kvstore.TxnResult{}, err
	}
	defer c.store.mu.Unlock()
	if c.known != started {
		return kvstore.TxnResult{}, kvstore.ErrRestored
	}
	loss := c.store.loss
	c.store.loss = notLost
	switch loss {
	case lostNotDone:
		return kvstore.TxnResult{}, kvstore.ErrUnknown
	case lostLate:
		time.AfterFunc(lateWrite, func() {
			c.store.mu.Lock()
			defer c.store.mu.Unlock()
			c.store.expire()
			c.store.write(t)
		})
		return kvstore.TxnResult{}, kvstore.ErrUnknown
	}
	done := c.store.write(t)
	if loss == lostDone {
		return kvstore.TxnResult{}, kvstore.ErrUnknown
	}
	return kvstore.TxnResult{Succeeded: done, Revision: kvstore.JoinRevision(c.known, c.store.state.revision)}, nil
}

// check returns the era that the process knows, and whether a transaction can succeed in it.
func (c *modelClient) check(t kvstore.Txn) (known kvstore.Era, possible bool, err error) {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	for _, cmp := range t.Compares {
		if cmp.Value != 0 && kvstore.EraOf(cmp.Value) != c.known {
			return c.known, false, nil
		}
	}
	for _, op := range t.Success {
		if op.Lease != 0 && c.mine[op.Lease] != c.known {
			return c.known, false, kvstore.ErrLeaseNotFound
		}
	}
	return c.known, true, nil
}

// write does a transaction if its conditions hold and its leases exist. The caller holds mu.
func (s *modelStore) write(t kvstore.Txn) bool {
	for _, cmp := range t.Compares {
		if s.state.items[cmp.Key].ModRevision != kvstore.WithinEra(cmp.Value) {
			return false
		}
	}
	for _, op := range t.Success {
		if op.Lease != 0 && s.leases[op.Lease] == nil {
			return false
		}
	}
	for _, op := range t.Success {
		// Each change of a write has a revision of its own.
		s.state.revision++
		s.state.items[op.Key] = kvstore.Pair{Key: op.Key, Value: op.Value, ModRevision: s.state.revision, Lease: op.Lease}
	}
	return true
}
