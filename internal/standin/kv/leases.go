package kv

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/kvstore"
)

// ExpireLeases deletes all overdue leases and their keys.
func (s *Store) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireOverdue()
}

func (s *Store) expireOverdue() {
	now := s.opt.Now()
	var overdue []kvstore.LeaseID
	for id, l := range s.leases {
		if now.After(l.expires) {
			overdue = append(overdue, id)
		}
	}
	slices.Sort(overdue)
	for _, id := range overdue {
		s.deleteLease(id)
	}
}

// ExpireLease expires a lease at once and reports whether the lease existed.
func (s *Store) ExpireLease(id kvstore.LeaseID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.deleteLease(id)
}

// ExpireKey expires the lease that the key is bound to and reports whether the key was bound to one.
func (s *Store) ExpireKey(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.deleteLease(s.state.pairs[key].Lease)
}

// deleteLease deletes a lease and its keys and reports whether the lease existed.
func (s *Store) deleteLease(id kvstore.LeaseID) bool {
	l := s.leases[id]
	if l == nil {
		return false
	}
	delete(s.leases, id)
	var events []kvstore.Event
	for _, key := range slices.Sorted(maps.Keys(l.keys)) {
		events = append(events, s.deletePair(key, s.state.revision+1))
	}
	s.commit(events)
	return true
}

// Grant implements kvstore.KV.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (kvstore.LeaseID, error) {
	if err := s.beforeCall(ctx, kvstore.CallGrant); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	id := s.nextLease
	s.leases[id] = &lease{ttl: ttl, expires: s.opt.Now().Add(ttl), keys: map[string]struct{}{}}
	if s.shouldLoseAnswer() {
		return 0, noAnswerError(kvstore.CallGrant)
	}
	return id, nil
}

// KeepAlive implements kvstore.KV.
func (s *Store) KeepAlive(ctx context.Context, id kvstore.LeaseID) (time.Duration, error) {
	if err := s.beforeCall(ctx, kvstore.CallKeepAlive); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireOverdue()
	l := s.leases[id]
	if l == nil {
		return 0, kvstore.ErrLeaseNotFound
	}
	l.expires = s.opt.Now().Add(l.ttl)
	return l.ttl, nil
}

// Revoke implements kvstore.KV.
func (s *Store) Revoke(ctx context.Context, id kvstore.LeaseID) error {
	if err := s.beforeCall(ctx, kvstore.CallRevoke); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireOverdue()
	if !s.deleteLease(id) {
		return kvstore.ErrLeaseNotFound
	}
	if s.shouldLoseAnswer() {
		return noAnswerError(kvstore.CallRevoke)
	}
	return nil
}
