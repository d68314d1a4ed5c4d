package view

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

// sentRecord holds the number of a sent heartbeat or view request and the time at which it was sent.
type sentRecord struct {
	seq uint64
	at  time.Time
}

// peerState is what this host knows from the heartbeats of a peer.
type peerState struct {
	// aliveAt is a lower bound of the time at which the peer created its newest heartbeat.
	aliveAt time.Time
	// lastReceivedAt is when the newest heartbeat of the peer was received.
	lastReceivedAt time.Time
	// reachesService is set when the peer reports that it reaches the key-value service.
	reachesService bool
	// revision is the put revision of the peer's view.
	revision int64
}

// freshness holds the state from which the age of the view is computed. A message of a peer may have waited in buffers
// while this process was paused, so its age can exceed the time since it was read. Its age is therefore counted from
// when this host sent the heartbeat that the peer's message acknowledges.
type freshness struct {
	opt *Options
	// start is the origin of the three times below, which are in nanoseconds after it; -1 means never.
	// confirmedAt is Cache.ConfirmedAt. serviceAnsweredAt is the send time of the newest range request whose
	// answer confirmed the view, serviceFailedAt that of the newest range request that failed.
	start             time.Time
	confirmedAt       atomic.Int64
	serviceAnsweredAt atomic.Int64
	serviceFailedAt   atomic.Int64

	// mu guards the fields below.
	mu    sync.Mutex
	peers map[entity.HostID]peerState
	// sentHeartbeats and sentRequests are ring buffers of the newest sent heartbeats and view requests.
	sentHeartbeats [heartbeatRingSize]sentRecord
	sentRequests   [requestRingSize]sentRecord
	lastRequestID  uint64
	// behindSince is when this host first knew that a peer has a higher put revision, zero if none is known to have.
	behindSince time.Time
}

func (f *freshness) init(opt *Options) {
	f.opt = opt
	// The hour keeps the offsets of confirmations from shortly before the start of this process positive.
	f.start = opt.Now().Add(-time.Hour)
	f.confirmedAt.Store(-1)
	f.serviceAnsweredAt.Store(-1)
	f.serviceFailedAt.Store(-1)
	f.peers = map[entity.HostID]peerState{}
}

// storeMax sets v to the given value unless v is already as high.
func storeMax(v *atomic.Int64, to int64) {
	for {
		old := v.Load()
		if to <= old || v.CompareAndSwap(old, to) {
			return
		}
	}
}

// recordConfirmation records that the put revision was the newest revision of the service at the given time.
func (f *freshness) recordConfirmation(at time.Time) {
	storeMax(&f.confirmedAt, int64(at.Sub(f.start)))
}

// recordServiceAnswer records that a range request that was sent at the given time confirmed the view.
func (f *freshness) recordServiceAnswer(at time.Time) {
	storeMax(&f.serviceAnsweredAt, int64(at.Sub(f.start)))
}

// recordServiceFailure records that a range request that was sent at the given time failed.
func (f *freshness) recordServiceFailure(at time.Time) {
	storeMax(&f.serviceFailedAt, int64(at.Sub(f.start)))
}

// ConfirmedRevision returns the put revision, and as age the time since it was last confirmed to be the newest revision
// of the service; -1 means never.
func (m *Manager) ConfirmedRevision(now time.Time) (revision int64, age time.Duration) {
	at := m.fresh.confirmedAt.Load()
	if at < 0 {
		return m.putRevision.Load(), -1
	}
	return m.putRevision.Load(), max(0, now.Sub(m.fresh.start)-time.Duration(at))
}

// ServiceReachable reports whether this host reaches the key-value service: one of its own range requests was
// answered within ReachableAge, and no request that was sent later has failed.
func (m *Manager) ServiceReachable() bool {
	at := m.fresh.serviceAnsweredAt.Load()
	if at < 0 || m.fresh.serviceFailedAt.Load() > at {
		return false
	}
	return m.opt.Now().Sub(m.fresh.start)-time.Duration(at) <= m.opt.ReachableAge
}

// IsFresh reports whether the view is recent enough to serve routes that require keys. This is so if the view was
// confirmed within MaxAge. It is also so if the service appears to be down for all hosts: at least one peer was alive
// within MaxAge, and of the peers that were, none reaches the service and none has a newer view. Without any data,
// IsFresh returns false.
func (m *Manager) IsFresh(now time.Time) bool {
	rev, age := m.ConfirmedRevision(now)
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
		if p.reachesService || p.revision > rev {
			return false
		}
		alive++
	}
	return alive > 0
}

// HeartbeatSent records when this host sent the heartbeat with this sequence number. A heartbeat of a peer confirms the
// view only if it acknowledges a recorded heartbeat.
func (m *Manager) HeartbeatSent(seq uint64, at time.Time) {
	m.fresh.mu.Lock()
	defer m.fresh.mu.Unlock()
	m.fresh.sentHeartbeats[seq%heartbeatRingSize] = sentRecord{seq, at}
}

// HandlePeerHeartbeat handles a heartbeat of a peer and returns a view request to send to that peer, or nil.
// The caller must have recorded the heartbeats that this host sent with HeartbeatSent.
func (m *Manager) HandlePeerHeartbeat(host entity.HostID, hb *wire.Heartbeat, receivedAt time.Time) *wire.ViewRequest {
	createdAfter, known := m.fresh.recordHeartbeat(host, hb, receivedAt)
	if known && hb.ConfirmedAge >= 0 {
		m.confirmRevision(hb.Revision, createdAfter.Add(-hb.ConfirmedAge))
	}
	if hb.Revision <= 0 || !m.shouldRequestView(hb, receivedAt) {
		return nil
	}
	m.stats.PeerRequests.Add(1)
	full, _ := m.revisions()
	return &wire.ViewRequest{Since: full, ID: m.fresh.newRequestID(m.opt.Now())}
}

// recordHeartbeat records a heartbeat of a peer and returns a lower bound of the time at which the peer created it: the
// time at which this host sent the heartbeat that it acknowledges. It returns false when the lower bound is unknown,
// because the heartbeat acknowledges no recorded heartbeat of this process.
func (f *freshness) recordHeartbeat(host entity.HostID, hb *wire.Heartbeat, receivedAt time.Time) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.sentHeartbeats[hb.AckSeq%heartbeatRingSize]
	known := hb.AckSeq != 0 && r.seq == hb.AckSeq && hb.AckIncarnation == f.opt.Self && !r.at.After(receivedAt)
	p := f.peers[host]
	if known && r.at.After(p.aliveAt) {
		p.aliveAt = r.at
	}
	p.lastReceivedAt = receivedAt
	p.reachesService = hb.ServiceReachable
	p.revision = hb.Revision
	f.peers[host] = p
	for h, p := range f.peers {
		if receivedAt.Sub(p.lastReceivedAt) > silentPeerRetention {
			delete(f.peers, h)
		}
	}
	return r.at, known
}

// newRequestID returns the ID of a new view request and records its send time.
func (f *freshness) newRequestID(now time.Time) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastRequestID++
	f.sentRequests[f.lastRequestID%requestRingSize] = sentRecord{f.lastRequestID, now}
	return f.lastRequestID
}

// shouldRequestView reports whether to request changes or a confirmation from the peer that sent the heartbeat. While
// the service is reachable, a host sends no request until it has been behind its peers for ReachableAge, because its
// own watch usually delivers the change earlier. Otherwise one change would make every host send a request to every
// other host.
func (m *Manager) shouldRequestView(hb *wire.Heartbeat, now time.Time) bool {
	ahead := hb.Revision > m.putRevision.Load()
	if !m.ServiceReachable() {
		return ahead || hb.ConfirmedAge >= 0 && hb.ConfirmedAge < m.opt.MaxAge
	}
	m.fresh.mu.Lock()
	defer m.fresh.mu.Unlock()
	if !ahead {
		m.fresh.behindSince = time.Time{}
		return false
	}
	if m.fresh.behindSince.IsZero() {
		m.fresh.behindSince = now
	}
	return now.Sub(m.fresh.behindSince) >= m.opt.ReachableAge
}

// HandleViewRequest returns the answer to a peer's view request, or nil when the view is empty or the answer
// is too large for one message.
func (m *Manager) HandleViewRequest(r *wire.ViewRequest) *wire.ViewDelta {
	m.applyMu.Lock()
	d, ok := m.cache.Delta(r.Since)
	if !ok {
		d = m.cache.FullDelta()
	}
	m.applyMu.Unlock()
	if d.Revision == 0 {
		return nil
	}
	size := 0
	for i := range d.Changes {
		size += len(d.Changes[i].Key) + len(d.Changes[i].Value) + changeOverhead
	}
	if size > maxDeltaBytes {
		m.stats.OversizeDeltas.Add(1)
		m.logRateLimited("view too large for one message to a peer", nil)
		return nil
	}
	d.Request = r.ID
	// The age is read after the delta was built. In between, puts that the delta does not contain may have been
	// applied and confirmed. ConfirmedRevision then returns a newer revision, and the delta is sent without an age.
	rev, age := m.ConfirmedRevision(m.opt.Now())
	d.Age = -1
	if rev == d.PutRevision {
		d.Age = age
	}
	return &d
}

// HandlePeerDelta applies a delta of a peer. The delta confirms the view only if it answers a recorded
// request of this host, and its age is counted from the send time of that request.
func (m *Manager) HandlePeerDelta(d wire.ViewDelta, receivedAt time.Time) {
	m.stats.PeerDeltas.Add(1)
	if d.PutRevision < d.Revision {
		// Builds without the field PutRevision send only one revision.
		d.PutRevision = d.Revision
	}
	if m.update(func(c *Cache) ([]string, error) { return c.ApplyDelta(&d) }) != nil {
		return
	}
	m.fresh.mu.Lock()
	r := m.fresh.sentRequests[d.Request%requestRingSize]
	m.fresh.mu.Unlock()
	if d.Request != 0 && r.seq == d.Request && d.Age >= 0 && !r.at.After(receivedAt) {
		m.confirmRevision(d.PutRevision, r.at.Add(-d.Age))
	}
}
