package edge

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/kvstore"
)

// lateStore is a key-value service that does the first write later, without an answer.
type lateStore struct {
	kvstore.KV
	nextLease kvstore.LeaseID
	leases    map[kvstore.LeaseID]bool
	// holder is the lease of the registration, and late the write that has not been done yet.
	holder    kvstore.LeaseID
	late      *kvstore.Txn
	lateTaken bool
}

func (s *lateStore) Grant(context.Context, time.Duration) (kvstore.LeaseID, error) {
	s.nextLease++
	s.leases[s.nextLease] = true
	return s.nextLease, nil
}

func (s *lateStore) Txn(_ context.Context, t kvstore.Txn) (kvstore.TxnResult, error) {
	if !s.lateTaken {
		s.lateTaken, s.late = true, &t
		return kvstore.TxnResult{}, kvstore.ErrUnknown
	}
	s.write(t)
	return kvstore.TxnResult{Succeeded: true}, nil
}

// write does a write if its lease exists.
func (s *lateStore) write(t kvstore.Txn) {
	if lease := t.Success[0].Lease; s.leases[lease] {
		s.holder = lease
	}
}

func (s *lateStore) KeepAlive(_ context.Context, id kvstore.LeaseID) (time.Duration, error) {
	if !s.leases[id] {
		return 0, kvstore.ErrLeaseNotFound
	}
	return registrationTTL, nil
}

func (s *lateStore) Revoke(_ context.Context, id kvstore.LeaseID) error {
	if !s.leases[id] {
		return kvstore.ErrLeaseNotFound
	}
	delete(s.leases, id)
	return nil
}

// Guards against a registration without an answer that is written after the next one: it ends with a lease that nobody
// renews, and the host does not see that it is registered no more (issue 40, the class of review case 1).
func TestLateRegistrationIsNotWritten(t *testing.T) {
	s := &lateStore{leases: make(map[kvstore.LeaseID]bool)}
	r := &registrar{store: s, key: "hosts/h", log: slog.New(slog.DiscardHandler), send: func(event) {}}
	if err := r.renewOrRegister(t.Context()); err == nil {
		t.Fatal("a registration without an answer succeeded")
	}
	if err := r.renewOrRegister(t.Context()); err != nil {
		t.Fatal(err)
	}
	s.write(*s.late)
	if got, want := s.holder, kvstore.LeaseID(r.lease.Load()); got != want {
		t.Errorf("the registration belongs to lease %d, the host renews %d", got, want)
	}
}
