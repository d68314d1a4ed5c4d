package peer

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

// registerResult is the outcome of registering a connection after its handshake.
type registerResult uint8

// handshake sends this host's hello and returns the hello of the peer.
func (m *Manager) handshake(conn net.Conn, r io.Reader) (*wire.Hello, error) {
	frame, err := encodeFrame(&m.opt.Self)
	if err != nil {
		return nil, err
	}
	_ = conn.SetWriteDeadline(time.Now().Add(m.silenceTimeout()))
	if _, err := conn.Write(frame); err != nil {
		return nil, err
	}
	m.counters.sent(wire.KindHello, len(frame))
	var buf bytes.Buffer
	b, err := readFrame(r, &buf, maxHelloBytes)
	if err != nil {
		return nil, err
	}
	msg, err := decodeFrame(b)
	if err != nil {
		return nil, err
	}
	m.counters.received(msg.Kind(), lengthBytes+len(b))
	hello, ok := msg.(*wire.Hello)
	if !ok {
		return nil, fmt.Errorf("%w: first message is %v", errMalformed, msg.Kind())
	}
	return hello, nil
}

// checkHello verifies that the peer belongs to the same installation and is not this host itself. If expectedHost is
// not empty, the peer must be that host.
func (m *Manager) checkHello(h *wire.Hello, expectedHost entity.HostID) error {
	switch {
	case h.Prefix != m.opt.Self.Prefix:
		return fmt.Errorf("peer: hello has key prefix %q, want %q", h.Prefix, m.opt.Self.Prefix)
	case h.Host == "" || h.Incarnation == "" || h.Host == m.opt.Self.Host:
		return fmt.Errorf("peer: hello has invalid host %q or incarnation %q", h.Host, h.Incarnation)
	case expectedHost != "" && h.Host != expectedHost:
		return fmt.Errorf("peer: hello is from host %q, want %q", h.Host, expectedHost)
	}
	return nil
}

// register makes l the link to its host, unless the manager is closed or the existing link to the host is kept. If
// the incarnation was not linked before, register calls OnUp for it, after OnDown for the incarnation that it replaces.
func (m *Manager) register(l *link) registerResult {
	m.callbackMu.Lock()
	defer m.callbackMu.Unlock()
	m.mu.Lock()
	old := m.links[l.host]
	if m.closed {
		m.mu.Unlock()
		return linkRefused
	}
	if old != nil {
		m.counters.Duplicates.Add(1)
	}
	sameIncarnation := old != nil && old.inc == l.inc
	if old != nil && !m.replaces(l, old) {
		m.mu.Unlock()
		if sameIncarnation {
			return linkRedundant
		}
		return linkRefused
	}
	m.links[l.host] = l
	m.mu.Unlock()
	if sameIncarnation {
		time.AfterFunc(m.opt.HeartbeatInterval, old.close)
		return linkActive
	}
	if old != nil {
		old.close()
		m.opt.OnDown(old.host, old.inc)
	}
	m.opt.Logger.Info("link established", "host", l.host, "incarnation", l.inc)
	m.opt.OnUp(l.host, l.inc)
	return linkActive
}

// replaces reports whether l replaces old as the link to their host. A connection to another incarnation replaces
// old, unless the incarnation of old is the registered one, which this host dials. Of two connections to the same
// incarnation, both hosts must keep the same one: the newer one if the same host dialed both, otherwise the one that
// the host with the lower ID dialed. The caller holds m.mu.
func (m *Manager) replaces(l, old *link) bool {
	if l.inc != old.inc {
		d := m.dialers[l.host]
		return d == nil || d.peer.Incarnation != old.inc
	}
	if l.dialed == old.dialed {
		return true
	}
	return l.dialed == (m.opt.Self.Host < l.host)
}

// unregister removes l, unless another link has already replaced it.
func (m *Manager) unregister(l *link) {
	m.callbackMu.Lock()
	defer m.callbackMu.Unlock()
	m.mu.Lock()
	current := m.links[l.host] == l
	if current {
		delete(m.links, l.host)
	}
	m.mu.Unlock()
	if current {
		m.opt.Logger.Info("link down", "host", l.host, "incarnation", l.inc)
		m.opt.OnDown(l.host, l.inc)
	}
}
