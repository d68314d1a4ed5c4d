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

// verdict is what becomes of a connection after its handshake.
type verdict uint8

func (m *Manager) handshake(conn net.Conn, r io.Reader) (*wire.Hello, error) {
	frame, err := encodeFrame(&m.opt.Self)
	if err != nil {
		return nil, err
	}
	_ = conn.SetWriteDeadline(time.Now().Add(m.silence()))
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

func (m *Manager) checkHello(h *wire.Hello, expect entity.HostID) error {
	switch {
	case h.Prefix != m.opt.Self.Prefix:
		return fmt.Errorf("peer: installation %q instead of %q", h.Prefix, m.opt.Self.Prefix)
	case h.Host == "" || h.Incarnation == "" || h.Host == m.opt.Self.Host:
		return fmt.Errorf("peer: host %q, incarnation %q", h.Host, h.Incarnation)
	case expect != "" && h.Host != expect:
		return fmt.Errorf("peer: host %q instead of %q", h.Host, expect)
	}
	return nil
}

// register makes l the link to its host unless the present link stays.
func (m *Manager) register(l *link) verdict {
	m.callbacks.Lock()
	defer m.callbacks.Unlock()
	m.mu.Lock()
	old := m.links[l.host]
	if m.closed {
		m.mu.Unlock()
		return refused
	}
	if old != nil {
		m.counters.Duplicates.Add(1)
	}
	same := old != nil && old.inc == l.inc
	if old != nil && !m.replaces(l, old) {
		m.mu.Unlock()
		if same {
			return spare
		}
		return refused
	}
	m.links[l.host] = l
	m.mu.Unlock()
	if same {
		time.AfterFunc(m.opt.Interval, old.close)
		return chosen
	}
	if old != nil {
		old.close()
		m.opt.OnDown(old.host, old.inc)
	}
	m.opt.Logger.Info("linked", "host", l.host, "incarnation", l.inc)
	m.opt.OnUp(l.host, l.inc)
	return chosen
}

// replaces decides between two connections to one host so that both ends decide alike: the
// registered incarnation wins, then the newer connection of the same dialer, then the connection
// that the host with the lower ID made. It is called with m.mu held.
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

// unregister removes l unless another link has replaced it.
func (m *Manager) unregister(l *link) {
	m.callbacks.Lock()
	defer m.callbacks.Unlock()
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
