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

// link is one connection after its handshake.
type link struct {
	m      *Manager
	conn   net.Conn
	host   entity.HostID
	inc    entity.Incarnation
	dialed bool
	since  time.Time

	out      chan []byte
	outBytes atomic.Int64
	done     chan struct{}
	once     sync.Once
}

func (m *Manager) newLink(conn net.Conn, hello *wire.Hello, dialed bool) *link {
	return &link{
		m:      m,
		conn:   conn,
		host:   hello.Host,
		inc:    hello.Incarnation,
		dialed: dialed,
		since:  time.Now(),
		out:    make(chan []byte, m.opt.QueueFrames),
		done:   make(chan struct{}),
	}
}

// close ends the link; it may be called from any goroutine and does not wait.
func (l *link) close() {
	l.once.Do(func() {
		close(l.done)
		_ = l.conn.Close()
	})
}

// send queues a message. A full queue closes the link, because a peer that does not keep up must
// not hold memory or delay the caller.
func (l *link) send(msg wire.Message) bool {
	frame, err := encodeFrame(msg)
	if err != nil {
		l.m.opt.Logger.Error("message not sent", "host", l.host, "err", err)
		return false
	}
	if l.outBytes.Add(int64(len(frame))) > l.m.opt.QueueBytes {
		l.slow("queue bytes")
		return false
	}
	select {
	case <-l.done:
		return false
	default:
	}
	select {
	case l.out <- frame:
		return true
	default:
		l.slow("queue frames")
		return false
	}
}

func (l *link) slow(reason string) {
	select {
	case <-l.done:
		return
	default:
	}
	l.m.counters.SlowPeers.Add(1)
	l.m.opt.Logger.Warn("slow peer dropped", "host", l.host, "reason", reason)
	l.close()
}

// run serves the link until it is closed.
func (l *link) run(r *bufio.Reader) {
	var wg sync.WaitGroup
	wg.Go(l.write)
	wg.Go(l.beat)
	l.read(r)
	l.close()
	wg.Wait()
}

// beat queues heartbeats, the first one at once.
func (l *link) beat() {
	t := time.NewTicker(l.m.opt.Interval)
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

// write writes queued frames and flushes whenever the queue is empty.
func (l *link) write() {
	w := bufio.NewWriter(l.conn)
	for {
		select {
		case <-l.done:
			return
		case frame := <-l.out:
			if !l.writeFrame(w, frame) {
				return
			}
		}
	}
}

func (l *link) writeFrame(w *bufio.Writer, frame []byte) bool {
	_ = l.conn.SetWriteDeadline(time.Now().Add(l.m.silence()))
	_, err := w.Write(frame)
	if err == nil && len(l.out) == 0 {
		err = w.Flush()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		l.slow("write timeout")
	}
	if err != nil {
		l.close()
		return false
	}
	l.outBytes.Add(-int64(len(frame)))
	l.m.counters.sent(wire.Kind(frame[lengthBytes+1]), len(frame))
	return true
}

// read passes messages to the handler until the connection ends.
func (l *link) read(r *bufio.Reader) {
	var buf bytes.Buffer
	for {
		b, err := readFrame(r, &buf, MaxFrameBytes)
		if err != nil {
			l.readFailed(err)
			return
		}
		msg, err := decodeFrame(b)
		if errors.Is(err, errUnknownKind) {
			l.m.counters.UnknownKinds.Add(1)
			l.m.counters.received(0, lengthBytes+len(b))
			continue
		}
		if err != nil {
			l.readFailed(err)
			return
		}
		l.m.counters.received(msg.Kind(), lengthBytes+len(b))
		if msg.Kind() != wire.KindHello {
			l.m.opt.Handler(l.host, l.inc, msg)
		}
	}
}

func (l *link) readFailed(err error) {
	switch {
	case errors.Is(err, errMalformed):
		l.m.counters.Malformed.Add(1)
		l.m.opt.Logger.Warn("link closed", "host", l.host, "err", err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		l.m.counters.Silent.Add(1)
		l.m.opt.Logger.Warn("link closed, peer is silent", "host", l.host)
	}
}

// deadlineConn moves the read deadline with every read, so that a large frame on a slow network
// does not look like silence.
type deadlineConn struct {
	net.Conn
	silence time.Duration
}

func (c *deadlineConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.silence)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}
