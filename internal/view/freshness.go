package view

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

// sentRecord remembers when a numbered message was sent.
type sentRecord struct {
	seq uint64
	at  time.Time
}

type peerState struct {
	// aliveAt is a lower bound of when the peer made its newest heartbeat.
	aliveAt   time.Time
	seenAt    time.Time
	reachable bool
	revision  int64
}

// freshness holds what is known about the age of the view. A message may have waited in buffers
// while this process was paused, so the time at which it is read says nothing about its age. Ages of
// peers' messages are therefore counted from the time at which this host sent the message that
// they answer.
type freshness struct {
	opt *Options
	// confirmedAt and serviceAt are nanoseconds after start; -1 means never.
	start       time.Time
	confirmedAt atomic.Int64
	serviceAt   atomic.Int64
	failedAt    atomic.Int64

	mu     sync.Mutex
	peers  map[entity.HostID]peerState
	beats  [sentRing]sentRecord
	asked  [askedRing]sentRecord
	lastID uint64
	behind time.Time
}

func (f *freshness) init(opt *Options) {
	f.opt = opt
	// An hour of margin keeps times before the start positive.
	f.start = opt.Now().Add(-time.Hour)
	f.confirmedAt.Store(-1)
	f.serviceAt.Store(-1)
	f.failedAt.Store(-1)
	f.peers = map[entity.HostID]peerState{}
}

func raise(v *atomic.Int64, to int64) {
	for {
		old := v.Load()
		if to <= old || v.CompareAndSwap(old, to) {
			return
		}
	}
}

func (f *freshness) confirmed(at time.Time)       { raise(&f.confirmedAt, int64(at.Sub(f.start))) }
func (f *freshness) serviceAnswered(at time.Time) { raise(&f.serviceAt, int64(at.Sub(f.start))) }
func (f *freshness) serviceFailed(at time.Time)   { raise(&f.failedAt, int64(at.Sub(f.start))) }

// Confirmed returns the put revision and how long ago it was last known to be the newest; -1
// means never.
func (m *Manager) Confirmed(now time.Time) (revision int64, age time.Duration) {
	at := m.fresh.confirmedAt.Load()
	if at < 0 {
		return m.puts.Load(), -1
	}
	return m.puts.Load(), max(0, now.Sub(m.fresh.start)-time.Duration(at))
}

// ServiceReachable says whether this host's own poll was answered recently and the newest finished
// poll did not fail.
func (m *Manager) ServiceReachable() bool {
	at := m.fresh.serviceAt.Load()
	if at < 0 || m.fresh.failedAt.Load() > at {
		return false
	}
	return m.opt.Now().Sub(m.fresh.start)-time.Duration(at) <= m.opt.ReachableAge
}

// Fresh says whether keyed routes may be served: the view was confirmed within MaxAge, or the
// service is down for all peers that were alive within MaxAge, at least one, and none of them has a
// newer view.
func (m *Manager) Fresh(now time.Time) bool {
	rev, age := m.Confirmed(now)
	if age >= 0 && age <= m.opt.MaxAge {
		return true
	}
	if rev == 0 {
		return false
	}
	m.fresh.mu.Lock()
	defer m.fresh.mu.Unlock()
	alive := 0
	for _, p := range m.fresh.peers {
		if now.Sub(p.aliveAt) > m.opt.MaxAge {
			continue
		}
		if p.reachable || p.revision > rev {
			return false
		}
		alive++
	}
	return alive > 0
}

// HeartbeatSent records when this host sent the heartbeat with this number. Without it, the
// heartbeats of peers confirm nothing.
func (m *Manager) HeartbeatSent(seq uint64, at time.Time) {
	m.fresh.mu.Lock()
	defer m.fresh.mu.Unlock()
	m.fresh.beats[seq%sentRing] = sentRecord{seq, at}
}

// HandlePeerHeartbeat takes a heartbeat and returns a request to send to that host, or nil. The
// caller must have reported its own heartbeats with HeartbeatSent.
func (m *Manager) HandlePeerHeartbeat(host entity.HostID, hb *wire.Heartbeat, receivedAt time.Time) *wire.ViewRequest {
	made, known := m.fresh.heard(host, hb, receivedAt)
	if known && hb.ConfirmedAge >= 0 {
		m.confirm(hb.Revision, made.Add(-hb.ConfirmedAge))
	}
	if hb.Revision <= 0 || !m.wantsPeer(hb, receivedAt) {
		return nil
	}
	m.stats.PeerRequests.Add(1)
	full, _ := m.revisions()
	return &wire.ViewRequest{Since: full, ID: m.fresh.ask(m.opt.Now())}
}

// heard records the heartbeat and returns a lower bound of when it was made.
func (f *freshness) heard(host entity.HostID, hb *wire.Heartbeat, receivedAt time.Time) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.beats[hb.AckSeq%sentRing]
	known := hb.AckSeq != 0 && r.seq == hb.AckSeq && hb.AckIncarnation == f.opt.Self && !r.at.After(receivedAt)
	p := f.peers[host]
	if known && r.at.After(p.aliveAt) {
		p.aliveAt = r.at
	}
	p.seenAt = receivedAt
	p.reachable = hb.ServiceReachable
	p.revision = hb.Revision
	f.peers[host] = p
	for h, p := range f.peers {
		if receivedAt.Sub(p.seenAt) > peerMemory {
			delete(f.peers, h)
		}
	}
	return r.at, known
}

func (f *freshness) ask(now time.Time) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastID++
	f.asked[f.lastID%askedRing] = sentRecord{f.lastID, now}
	return f.lastID
}

// wantsPeer says whether to ask the peer for changes or a confirmation. While the service is
// reachable, a host that is only briefly behind waits for its own watch, so that one change does not
// make every host ask every other.
func (m *Manager) wantsPeer(hb *wire.Heartbeat, now time.Time) bool {
	ahead := hb.Revision > m.puts.Load()
	if !m.ServiceReachable() {
		return ahead || hb.ConfirmedAge >= 0 && hb.ConfirmedAge < m.opt.MaxAge
	}
	m.fresh.mu.Lock()
	defer m.fresh.mu.Unlock()
	if !ahead {
		m.fresh.behind = time.Time{}
		return false
	}
	if m.fresh.behind.IsZero() {
		m.fresh.behind = now
	}
	return now.Sub(m.fresh.behind) >= m.opt.ReachableAge
}

// HandleViewRequest returns the answer to a peer's request, or nil when the view is empty or too
// large for one message.
func (m *Manager) HandleViewRequest(r *wire.ViewRequest) *wire.ViewDelta {
	m.apply.Lock()
	d, ok := m.cache.Delta(r.Since)
	if !ok {
		d = m.cache.Whole()
	}
	m.apply.Unlock()
	if d.Revision == 0 {
		return nil
	}
	size := 0
	for i := range d.Changes {
		size += len(d.Changes[i].Key) + len(d.Changes[i].Value) + changeOverhead
	}
	if size > maxDeltaBytes {
		m.stats.OversizeDeltas.Add(1)
		m.logLimited("view too large for a peer", nil)
		return nil
	}
	d.Request = r.ID
	// The age is taken after the state: a confirmation in between would cover puts that the delta
	// lacks. Confirmed returns the newer revision then, and the age is withheld.
	rev, age := m.Confirmed(m.opt.Now())
	d.Age = -1
	if rev == d.Puts {
		d.Age = age
	}
	return &d
}

// HandlePeerDelta applies a delta of a peer. It confirms the view only as an answer to a request
// of this host, counted from the time of the request.
func (m *Manager) HandlePeerDelta(d wire.ViewDelta, receivedAt time.Time) {
	m.stats.PeerDeltas.Add(1)
	if d.Puts < d.Revision {
		// Builds before the field was added had only one revision.
		d.Puts = d.Revision
	}
	if m.update(func(c *Cache) ([]string, error) { return c.ApplyDelta(&d) }) != nil {
		return
	}
	m.fresh.mu.Lock()
	r := m.fresh.asked[d.Request%askedRing]
	m.fresh.mu.Unlock()
	if d.Request != 0 && r.seq == d.Request && d.Age >= 0 && !r.at.After(receivedAt) {
		m.confirm(d.Puts, r.at.Add(-d.Age))
	}
}
