package peer

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

// link is one connection to another host after the handshake.
type link struct {
	m    *Manager
	conn net.Conn
	// host and inc are the host ID and the incarnation of the peer.
	host entity.HostID
	inc  entity.Incarnation
	// dialed is set when this host dialed the connection.
	dialed bool
	since  time.Time

	// sendQueue holds the encoded frames that wait to be written, and sendQueueBytes is their total size.
	sendQueue      chan []byte
	sendQueueBytes atomic.Int64
	// done is closed when the link is closed.
	done      chan struct{}
	closeOnce sync.Once
}

func (m *Manager) newLink(conn net.Conn, hello *wire.Hello, dialed bool) *link {
	return &link{
		m:         m,
		conn:      conn,
		host:      hello.Host,
		inc:       hello.Incarnation,
		dialed:    dialed,
		since:     time.Now(),
		sendQueue: make(chan []byte, m.opt.QueueFrames),
		done:      make(chan struct{}),
	}
}

// close closes the link. It may be called from any goroutine and does not block.
func (l *link) close() {
	l.closeOnce.Do(func() {
		close(l.done)
		_ = l.conn.Close()
	})
}

// send queues a message and reports whether it was queued. A full queue closes the link, because a peer that
// does not keep up must not use up memory or delay the caller.
func (l *link) send(msg wire.Message) bool {
	frame, err := encodeFrame(msg)
	if err != nil {
		l.m.opt.Logger.Error("message not sent", "host", l.host, "err", err)
		return false
	}
	if l.sendQueueBytes.Add(int64(len(frame))) > l.m.opt.QueueBytes {
		l.closeSlow("queue bytes")
		return false
	}
	select {
	case <-l.done:
		return false
	default:
	}
	select {
	case l.sendQueue <- frame:
		return true
	default:
		l.closeSlow("queue frames")
		return false
	}
}

// closeSlow closes the link because the peer does not keep up, and counts it in SlowPeers unless the link is already
// closed.
func (l *link) closeSlow(reason string) {
	select {
	case <-l.done:
		return
	default:
	}
	l.m.counters.SlowPeers.Add(1)
	l.m.opt.Logger.Warn("link closed, peer is slow", "host", l.host, "reason", reason)
	l.close()
}

// run serves the link until it is closed.
func (l *link) run(r *bufio.Reader) {
	var wg sync.WaitGroup
	wg.Go(l.writeLoop)
	wg.Go(l.sendHeartbeats)
	l.readLoop(r)
	l.close()
	wg.Wait()
}

// sendHeartbeats queues a heartbeat immediately and then at every interval.
func (l *link) sendHeartbeats() {
	t := time.NewTicker(l.m.opt.HeartbeatInterval)
	defer t.Stop()
	for {
		if hb := l.m.opt.Heartbeat(l.host); hb != nil {
			l.send(hb)
		}
		select {
		case <-l.done:
			return
		case <-t.C:
		}
	}
}

// writeLoop writes queued frames until the link is closed. It flushes whenever the queue is empty.
func (l *link) writeLoop() {
	w := bufio.NewWriter(l.conn)
	for {
		select {
		case <-l.done:
			return
		case frame := <-l.sendQueue:
			if !l.writeFrame(w, frame) {
				return
			}
		}
	}
}

func (l *link) writeFrame(w *bufio.Writer, frame []byte) bool {
	_ = l.conn.SetWriteDeadline(time.Now().Add(l.m.silenceTimeout()))
	_, err := w.Write(frame)
	if err == nil && len(l.sendQueue) == 0 {
		err = w.Flush()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		l.closeSlow("write timeout")
	}
	if err != nil {
		l.close()
		return false
	}
	l.sendQueueBytes.Add(-int64(len(frame)))
	l.m.counters.sent(wire.Kind(frame[lengthBytes+1]), len(frame))
	return true
}

// readLoop passes received messages to the handler until the connection ends.
func (l *link) readLoop(r *bufio.Reader) {
	var buf bytes.Buffer
	for {
		b, err := readFrame(r, &buf, MaxFrameBytes)
		if err != nil {
			l.recordReadError(err)
			return
		}
		msg, err := decodeFrame(b)
		if errors.Is(err, errUnknownKind) {
			l.m.counters.UnknownKinds.Add(1)
			l.m.counters.received(0, lengthBytes+len(b))
			continue
		}
		if err != nil {
			l.recordReadError(err)
			return
		}
		l.m.counters.received(msg.Kind(), lengthBytes+len(b))
		if msg.Kind() != wire.KindHello {
			l.m.opt.Handler(l.host, l.inc, msg)
		}
	}
}

// recordReadError counts and logs the error that ended readLoop, if it is a malformed frame or a silent peer.
func (l *link) recordReadError(err error) {
	switch {
	case errors.Is(err, errMalformed):
		l.m.counters.Malformed.Add(1)
		l.m.opt.Logger.Warn("link closed", "host", l.host, "err", err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		l.m.counters.SilentPeers.Add(1)
		l.m.opt.Logger.Warn("link closed, peer is silent", "host", l.host)
	}
}

// deadlineConn extends the read deadline before every read. The peer counts as silent only if no byte arrives for
// silenceTimeout, even if a large frame takes longer on a slow network.
type deadlineConn struct {
	net.Conn
	silenceTimeout time.Duration
}

func (c *deadlineConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.silenceTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}
