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

// sentRing bounds the remembered heartbeats: more than 10 s of 500 ms heartbeats on 50 links.
const sentRing = 1024

// heartbeats composes and reads the heartbeats of a host. Its methods are safe for concurrent use.
type heartbeats struct {
	self entity.Incarnation
	view *view.Manager
	send func(control.Event)

	stopping atomic.Bool
	// levels is refreshed by the control goroutine, so that composing does not wait for it.
	levels atomic.Pointer[[]wire.WorkspaceLevel]

	mu   sync.Mutex
	seq  uint64
	sent [sentRing]sentHeartbeat
	acks map[entity.HostID]acknowledgement
}

type sentHeartbeat struct {
	seq uint64
	at  time.Time
}

// acknowledgement is the newest heartbeat of a host that may be answered.
type acknowledgement struct {
	incarnation entity.Incarnation
	seq         uint64
}

func newHeartbeats(self entity.Incarnation, v *view.Manager, send func(control.Event)) *heartbeats {
	return &heartbeats{self: self, view: v, send: send, acks: make(map[entity.HostID]acknowledgement)}
}

// compose returns the next heartbeat to a host.
func (h *heartbeats) compose(to entity.HostID) *wire.Heartbeat {
	now := time.Now()
	h.mu.Lock()
	h.seq++
	seq := h.seq
	h.sent[seq%sentRing] = sentHeartbeat{seq, now}
	ack := h.acks[to]
	h.mu.Unlock()
	h.view.HeartbeatSent(seq, now)
	revision, age := h.view.Confirmed(now)
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

// handle reads a heartbeat and returns a request for changes to send back, or nil.
func (h *heartbeats) handle(from entity.HostID, inc entity.Incarnation, m *wire.Heartbeat, receivedAt time.Time) *wire.ViewRequest {
	h.send(control.HeartbeatReceived{
		From:        from,
		Incarnation: inc,
		Heartbeat:   m,
		Acknowledge: func() { h.acknowledge(from, inc, m.Seq) },
	})
	if at, ok := h.sentAt(m); ok {
		h.send(control.WitnessAnswered{Host: from, Incarnation: inc, SentAt: at})
	}
	return h.view.HandlePeerHeartbeat(from, m, receivedAt)
}

func (h *heartbeats) acknowledge(from entity.HostID, inc entity.Incarnation, seq uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if a := h.acks[from]; a.incarnation == inc && a.seq > seq {
		return
	}
	h.acks[from] = acknowledgement{incarnation: inc, seq: seq}
}

// sentAt returns when the heartbeat that m answers was sent.
func (h *heartbeats) sentAt(m *wire.Heartbeat) (time.Time, bool) {
	if m.AckSeq == 0 || m.AckIncarnation != h.self {
		return time.Time{}, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.sent[m.AckSeq%sentRing]
	return s.at, s.seq == m.AckSeq
}
