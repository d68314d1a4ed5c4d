// Package quota keeps each workspace within its rate over all hosts. Every host holds a part of
// the rate: a fixed part that needs no message, and a part that the coordinator lends for a short
// term to the hosts with more demand than their fixed part covers. The parts sum to the rate at
// most, whatever a host knows of the others, because a loan ends by the borrower's own clock.
//
// The package is pure; its types belong to the goroutine that owns the control state.
package quota

import (
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
)

const (
	// FixedPart is the part of a rate that is split evenly over the hosts; the coordinator lends
	// the rest.
	FixedPart = 0.5
	// demandTime is the time over which the demand of a workspace is averaged.
	demandTime = 1500 * time.Millisecond
	// membershipMemory is how long a host that is no longer registered still counts: it may go on
	// admitting until it notices that its registration is gone.
	membershipMemory = 8 * time.Second
)

// Loan is a part of the rates of workspaces that this host may use until its term ends.
type Loan struct {
	Parts map[entity.WorkspaceID]float64
	Until time.Time
}

// bucket is the level of one workspace at this host.
type bucket struct {
	level   float64
	updated time.Time
	// demand is the smoothed number of tokens a second that callers ask for here.
	demand   float64
	demandAt time.Time
}

// Limiter admits the requests of one host.
type Limiter struct {
	// tolerance is the number of tokens by which this host may overdraw a workspace.
	tolerance float64
	buckets   map[entity.WorkspaceID]*bucket
	catalog   *catalog.Catalog
	loan      Loan
	members   map[entity.HostID]time.Time
	hosts     int
}

// New returns a Limiter. The tolerance of the fleet, in tokens, is divided by the hosts.
func New(tolerance float64) *Limiter {
	return &Limiter{
		tolerance: tolerance,
		buckets:   make(map[entity.WorkspaceID]*bucket),
		members:   make(map[entity.HostID]time.Time),
		hosts:     1,
	}
}

// SetCatalog puts a configuration in force. A changed rate counts from now and refills nothing.
func (l *Limiter) SetCatalog(c *catalog.Catalog, now time.Time) {
	for id, b := range l.buckets {
		l.refill(id, b, now)
	}
	l.catalog = c
	for id, b := range l.buckets {
		if w := c.Workspace(id); w != nil {
			b.level = min(b.level, l.capacity(w, now))
		}
	}
}

// SetMembers takes over the registered hosts. Hosts that are gone count for some time longer.
func (l *Limiter) SetMembers(ids []entity.HostID, now time.Time) {
	for _, id := range ids {
		l.members[id] = now
	}
	for id, seen := range l.members {
		if now.Sub(seen) > membershipMemory {
			delete(l.members, id)
		}
	}
	l.hosts = max(len(l.members), 1)
}

// Hosts returns the number of hosts among which the fixed parts are divided.
func (l *Limiter) Hosts() int { return l.hosts }

// SetLoan takes over a loan of the coordinator.
func (l *Limiter) SetLoan(loan Loan, now time.Time) {
	for id, b := range l.buckets {
		l.refill(id, b, now)
	}
	l.loan = loan
}

// part returns the part of a workspace's rate that this host holds.
func (l *Limiter) part(id entity.WorkspaceID, now time.Time) float64 {
	part := FixedPart / float64(l.hosts)
	if now.Before(l.loan.Until) {
		part += l.loan.Parts[id]
	}
	return part
}

func (l *Limiter) capacity(w *catalog.Workspace, now time.Time) float64 {
	return w.Burst * l.part(w.ID, now)
}

func (l *Limiter) bucket(id entity.WorkspaceID, now time.Time) *bucket {
	b := l.buckets[id]
	if b == nil {
		// A new process starts without burst: its predecessor may have spent it just now.
		b = &bucket{updated: now, demandAt: now}
		l.buckets[id] = b
	}
	return b
}

func (l *Limiter) refill(id entity.WorkspaceID, b *bucket, now time.Time) {
	w := l.workspace(id)
	if w == nil {
		return
	}
	dt := now.Sub(b.updated).Seconds()
	b.updated = now
	if dt <= 0 {
		return
	}
	b.level = min(b.level+w.Rate*l.part(id, now)*dt, max(l.capacity(w, now), b.level))
}

func (l *Limiter) workspace(id entity.WorkspaceID) *catalog.Workspace {
	if l.catalog == nil {
		return nil
	}
	return l.catalog.Workspace(id)
}

// Admit charges a request, or says after which time its tokens will be there.
func (l *Limiter) Admit(id entity.WorkspaceID, tokens float64, now time.Time) (wait time.Duration, ok bool) {
	w := l.workspace(id)
	if w == nil || w.Rate <= 0 {
		return 0, true
	}
	b := l.bucket(id, now)
	l.refill(id, b, now)
	b.observe(tokens, now)
	allowed := b.level + l.tolerance/float64(l.hosts)
	if tokens <= allowed {
		b.level -= tokens
		return 0, true
	}
	return time.Duration((tokens - allowed) / (w.Rate * l.part(id, now)) * float64(time.Second)), false
}

// Refund returns the tokens of a request that never ran.
func (l *Limiter) Refund(id entity.WorkspaceID, tokens float64, now time.Time) {
	w := l.workspace(id)
	if w == nil || w.Rate <= 0 {
		return
	}
	b := l.bucket(id, now)
	l.refill(id, b, now)
	b.level = min(b.level+tokens, max(l.capacity(w, now), b.level))
}

func (b *bucket) observe(tokens float64, now time.Time) {
	b.decay(now)
	b.demand += tokens / demandTime.Seconds()
}

func (b *bucket) decay(now time.Time) {
	dt := now.Sub(b.demandAt)
	b.demandAt = now
	if dt > 0 {
		b.demand *= max(0, 1-dt.Seconds()/demandTime.Seconds())
	}
}

// Demand returns the tokens a second that callers ask for at this host, by workspace.
func (l *Limiter) Demand(now time.Time) map[entity.WorkspaceID]float64 {
	out := make(map[entity.WorkspaceID]float64, len(l.buckets))
	for id, b := range l.buckets {
		b.decay(now)
		if b.demand > 1 {
			out[id] = b.demand
		}
	}
	return out
}
