// Package membudget bounds the memory that the connections and messages of a process occupy together.
package membudget

import (
	"runtime"
	"runtime/metrics"
	"sync"
	"sync/atomic"
)

// Class is the part of a budget that a reservation may use.
type Class int

const (
	// Small reservations leave a part of the reserve to those of control connections.
	Small Class = iota
	// Large reservations leave the reserve of the budget to the others.
	Large
	// Control reservations may use the whole budget. They are for readiness checks, other hosts and operators: a host whose
	// callers hold all other memory must still answer these.
	Control
)

// controlShare is the share of the reserve that small reservations leave to control connections.
const controlShare = 2

// garbageShare is the share of the budget that large reservations may have released since the last collection of garbage.
// What they held stays occupied until then, and the runtime alone collects too late when large buffers come in quick
// succession. A calm process collects garbage more often by itself.
const garbageShare = 4

// maxRelief bounds how often a failed acquisition asks for relief.
const maxRelief = 32

// Budget is a number of bytes that reservations share. A nil Budget has no bound. It is safe for concurrent use.
type Budget struct {
	free, refused  atomic.Int64
	total, reserve int64
	// garbage is the number of bytes that large reservations have released, or that were discarded, since the last
	// collection, and cycle the number of collections then.
	garbage    atomic.Int64
	collecting sync.Mutex
	cycle      uint64
	// relieve, if set, returns memory of others. See SetRelief.
	relieve func(bytes int64, c Class) bool

	mu sync.Mutex
	// owned is the number of bytes of large reservations by owner. ownerMax bounds them while half of what large
	// reservations may use is in use; zero is no bound.
	owned map[string]int64
}

// New returns a budget of the given number of bytes, of which large reservations leave a part free.
func New(bytes, reserve int64) *Budget {
	b := &Budget{total: bytes, reserve: reserve, owned: make(map[string]int64)}
	b.free.Store(bytes)
	return b
}

// SetRelief sets a function that is called when bytes are lacking. It returns memory of others to the budget and reports
// whether it has returned any. It must be set before the budget is used.
func (b *Budget) SetRelief(relieve func(bytes int64, c Class) bool) { b.relieve = relieve }

// acquire takes bytes if there are enough.
func (b *Budget) acquire(bytes int64, c Class) bool {
	limit := int64(0)
	switch c {
	case Large:
		limit = b.reserve
	case Small:
		limit = b.reserve / controlShare
	}
	if b.free.Add(-bytes) >= limit {
		return true
	}
	b.free.Add(bytes)
	return false
}

// collect collects the garbage of large reservations if there is too much of it.
func (b *Budget) collect() {
	if b.garbage.Load() <= b.total/garbageShare {
		return
	}
	b.collecting.Lock()
	defer b.collecting.Unlock()
	if b.garbage.Load() <= b.total/garbageShare {
		return
	}
	// Of two collections, the second has begun after the release.
	if n := collections(); n < b.cycle+2 {
		runtime.GC()
	}
	b.garbage.Store(0)
	b.cycle = collections()
}

// Discard counts bytes that were not part of a large reservation as garbage, and collects it if there is too much.
func (b *Budget) Discard(bytes int64) {
	b.garbage.Add(bytes)
	b.collect()
}

// collections returns the number of collections of garbage.
func collections() uint64 {
	sample := []metrics.Sample{{Name: "/gc/cycles/total:gc-cycles"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}

// Free returns the number of bytes that are not reserved, zero for a nil Budget.
func (b *Budget) Free() int64 {
	if b == nil {
		return 0
	}
	return max(b.free.Load(), 0)
}

// Total returns the number of bytes of the budget, zero for a nil Budget.
func (b *Budget) Total() int64 {
	if b == nil {
		return 0
	}
	return b.total
}

// Refused returns the number of times that a reservation could not grow.
func (b *Budget) Refused() int64 {
	if b == nil {
		return 0
	}
	return b.refused.Load()
}

// own adds bytes to what an owner has reserved. While more than half of what large reservations may use is in use, no owner
// may have more than half of it: one key cannot take the memory from all others.
func (b *Budget) own(owner string, bytes int64) bool {
	if owner == "" {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	half := (b.total - b.reserve) / 2
	if bytes > 0 && b.owned[owner] > 0 && b.owned[owner]+bytes > half && b.total-b.free.Load() > half {
		return false
	}
	b.owned[owner] += bytes
	if b.owned[owner] <= 0 {
		delete(b.owned, owner)
	}
	return true
}

// Reservation is the memory of one connection or message. It is safe for concurrent use.
type Reservation struct {
	budget  *Budget
	class   Class
	owner   string
	mu      sync.Mutex
	bytes   int64
	revoked bool
}

// Reserve returns an empty reservation of the given class.
func (b *Budget) Reserve(c Class) *Reservation { return &Reservation{budget: b, class: c} }

// ReserveFor returns an empty large reservation for an owner, who may have no more than half of what large reservations may
// use. An empty owner has no such bound.
func (b *Budget) ReserveFor(owner string) *Reservation {
	return &Reservation{budget: b, class: Large, owner: owner}
}

// GrowTo extends the reservation to a total number of bytes, and reports whether the budget allows it. It never shrinks.
func (r *Reservation) GrowTo(bytes int64) bool {
	if r.budget != nil && r.class == Large && bytes > r.Bytes() {
		r.budget.collect()
	}
	for range maxRelief {
		r.mu.Lock()
		if r.revoked {
			r.mu.Unlock()
			return false
		}
		need := bytes - r.bytes
		if need <= 0 || r.take(need) {
			r.mu.Unlock()
			return true
		}
		r.mu.Unlock()
		// No lock is held here: relief revokes other reservations.
		if r.budget.relieve == nil || !r.budget.relieve(need, r.class) {
			break
		}
	}
	r.budget.refused.Add(1)
	return false
}

// take takes bytes from the budget. The caller holds r.mu.
func (r *Reservation) take(bytes int64) bool {
	b := r.budget
	if b != nil {
		if !b.own(r.owner, bytes) {
			return false
		}
		if !b.acquire(bytes, r.class) {
			b.own(r.owner, -bytes)
			return false
		}
	}
	r.bytes += bytes
	return true
}

// ShrinkTo returns the bytes beyond a total number to the budget.
func (r *Reservation) ShrinkTo(bytes int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shrink(bytes)
}

func (r *Reservation) shrink(bytes int64) {
	if bytes >= r.bytes {
		return
	}
	if r.budget != nil {
		r.budget.own(r.owner, bytes-r.bytes)
		r.budget.free.Add(r.bytes - bytes)
		if r.class == Large {
			r.budget.garbage.Add(r.bytes - bytes)
		}
	}
	r.bytes = bytes
}

// Release returns all bytes to the budget. The reservation can be used again, unless it was revoked.
func (r *Reservation) Release() { r.ShrinkTo(0) }

// Revoke returns all bytes to the budget and forbids further use. It returns the number of bytes.
func (r *Reservation) Revoke() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.bytes
	r.shrink(0)
	r.revoked = true
	return n
}

// Bytes returns the size of the reservation.
func (r *Reservation) Bytes() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bytes
}
