// Package membudget bounds the memory that messages of many connections occupy together.
package membudget

import (
	"sync"
	"sync/atomic"
)

// Budget is a number of bytes that reservations share. A nil Budget has no bound. It is safe for concurrent use.
type Budget struct{ free atomic.Int64 }

// New returns a budget of the given number of bytes.
func New(bytes int64) *Budget {
	b := &Budget{}
	b.free.Store(bytes)
	return b
}

// acquire takes bytes if there are enough.
func (b *Budget) acquire(bytes int64) bool {
	if b == nil || b.free.Add(-bytes) >= 0 {
		return true
	}
	b.free.Add(bytes)
	return false
}

// Free returns the number of bytes that are not reserved, zero for a nil Budget.
func (b *Budget) Free() int64 {
	if b == nil {
		return 0
	}
	return max(b.free.Load(), 0)
}

// Reservation is the memory of one message. It is safe for concurrent use.
type Reservation struct {
	budget *Budget
	mu     sync.Mutex
	bytes  int64
}

// Reserve returns an empty reservation.
func (b *Budget) Reserve() *Reservation { return &Reservation{budget: b} }

// GrowTo extends the reservation to a total number of bytes, and reports whether the budget allows it. It never shrinks.
func (r *Reservation) GrowTo(bytes int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if bytes <= r.bytes {
		return true
	}
	if !r.budget.acquire(bytes - r.bytes) {
		return false
	}
	r.bytes = bytes
	return true
}

// Release returns all bytes to the budget. The reservation can be used again.
func (r *Reservation) Release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.budget != nil {
		r.budget.free.Add(r.bytes)
	}
	r.bytes = 0
}
