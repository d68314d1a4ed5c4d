package host

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/control"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/view"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

// sentRingSize limits the remembered sent heartbeats. 1024 are more than the heartbeats of 10 s on 50 links,
// where one is sent every 500 ms.
const sentRingSize = 1024

// heartbeatTracker composes the heartbeats of a host, processes received ones and matches acknowledgements to
// sent heartbeats. Its methods are safe for concurrent use.
type heartbeatTracker struct {
	self entity.Incarnation
	view *view.Manager
	send func(control.Event)

	stopping atomic.Bool
	// levels holds the token levels. The control goroutine refreshes them periodically, because compose must
	// not wait for that goroutine.
	levels atomic.Pointer[[]wire.WorkspaceLevel]

	mu   sync.Mutex
	seq  uint64
	sent [sentRingSize]sentHeartbeat
	acks map[entity.HostID]acknowledgement
}

type sentHeartbeat struct {
	seq uint64
	at  time.Time
}

// acknowledgement identifies the newest heartbeat of a host that this host may acknowledge.
type acknowledgement struct {
	incarnation entity.Incarnation
	seq         uint64
}

func newHeartbeatTracker(self entity.Incarnation, v *view.Manager, send func(control.Event)) *heartbeatTracker {
	return &heartbeatTracker{self: self, view: v, send: send, acks: make(map[entity.HostID]acknowledgement)}
}

// compose returns the next heartbeat to a host.
func (h *heartbeatTracker) compose(to entity.HostID) *wire.Heartbeat {
	now := time.Now()
	h.mu.Lock()
	h.seq++
	seq := h.seq
	h.sent[seq%sentRingSize] = sentHeartbeat{seq, now}
	ack := h.acks[to]
	h.mu.Unlock()
	h.view.HeartbeatSent(seq, now)
	revision, age := h.view.ConfirmedRevision(now)
	m := &wire.Heartbeat{
		Seq:              seq,
		AckSeq:           ack.seq,
		AckIncarnation:   ack.incarnation,
		Revision:         revision,
		ConfirmedAge:     age,
		ServiceReachable: h.view.ServiceReachable(),
		Stopping:         h.stopping.Load(),
	}
	if levels := h.levels.Load(); levels != nil {
		m.Levels = *levels
	}
	return m
}

// handle processes a received heartbeat. If the sender has changes that the view of this host lacks, it returns a
// request for these changes to send to the sender, and otherwise nil.
func (h *heartbeatTracker) handle(from entity.HostID, inc entity.Incarnation, m *wire.Heartbeat, receivedAt time.Time) *wire.ViewRequest {
	h.send(control.HeartbeatReceived{
		From:        from,
		Incarnation: inc,
		Heartbeat:   m,
		Acknowledge: func() { h.acknowledge(from, inc, m.Seq) },
	})
	if at, ok := h.sentAt(m); ok {
		h.send(control.HeartbeatAcknowledged{Host: from, Incarnation: inc, SentAt: at})
	}
	return h.view.HandlePeerHeartbeat(from, m, receivedAt)
}

// acknowledge makes compose acknowledge a received heartbeat, unless a later one of the same process is already
// acknowledged.
func (h *heartbeatTracker) acknowledge(from entity.HostID, inc entity.Incarnation, seq uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if a := h.acks[from]; a.incarnation == inc && a.seq > seq {
		return
	}
	h.acks[from] = acknowledgement{incarnation: inc, seq: seq}
}

// sentAt returns the time when this process sent the heartbeat that m acknowledges. It returns false if m
// acknowledges no heartbeat of this process, or one that is no longer remembered.
func (h *heartbeatTracker) sentAt(m *wire.Heartbeat) (time.Time, bool) {
	if m.AckSeq == 0 || m.AckIncarnation != h.self {
		return time.Time{}, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.sent[m.AckSeq%sentRingSize]
	return s.at, s.seq == m.AckSeq
}
