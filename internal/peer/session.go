package peer

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/foxtailpass/foxtailpass/internal/accept"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

const (
	// SessionSilence ends a session on which nothing has arrived for so long. Both sides send at
	// least twice a second.
	SessionSilence = 1100 * time.Millisecond
	// sessionDialTimeout bounds the time until a connection stands.
	sessionDialTimeout = 500 * time.Millisecond
	// sessionQueue bounds the messages that wait to be written. A session that cannot keep up is
	// closed, because every message is superseded by a later one.
	sessionQueue = 64
	// gatherBytes is how much is written at once when several messages wait.
	gatherBytes = 4 << 10
	// sessionBuffer is the size of the read buffer of a session.
	sessionBuffer = 4 << 10
)

// Session is one connection between two hosts without a handshake: the messages say who sends
// them. It is used between the coordinator and the other hosts. Its methods are safe for
// concurrent use.
type Session struct {
	conn net.Conn
	out  chan Frame
	done chan struct{}
	once sync.Once
}

// Dial connects to another host.
func Dial(ctx context.Context, addr string) (*Session, error) {
	d := net.Dialer{Timeout: sessionDialTimeout}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return newSession(conn), nil
}

// SendOnce sends one message to another host and ends the connection.
func SendOnce(ctx context.Context, addr string, frame Frame) error {
	d := net.Dialer{Timeout: sessionDialTimeout}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetWriteDeadline(time.Now().Add(sessionDialTimeout))
	_, err = conn.Write(frame)
	return err
}

func newSession(conn net.Conn) *Session {
	limitUnacknowledged(conn, SessionSilence)
	return &Session{conn: conn, out: make(chan Frame, sessionQueue), done: make(chan struct{})}
}

// limitUnacknowledged makes the kernel end a connection whose bytes are not acknowledged, as when
// the other host has lost power.
func limitUnacknowledged(conn net.Conn, limit time.Duration) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		// Without the option the session still ends by SessionSilence.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
	})
}

// Frame is an encoded message, which can be sent on many sessions.
type Frame []byte

// Encode returns the frame of a message.
func Encode(m wire.Message) (Frame, error) { return encodeFrame(m) }

// Send queues a message. It does not block; a full queue closes the session.
func (s *Session) Send(m wire.Message) error {
	frame, err := Encode(m)
	if err != nil {
		return err
	}
	return s.SendFrame(frame)
}

// SendFrame queues an encoded message. It does not block; a full queue closes the session.
func (s *Session) SendFrame(frame Frame) error {
	select {
	case <-s.done:
		return net.ErrClosed
	case s.out <- frame:
		return nil
	default:
		s.Close()
		return errors.New("peer: session cannot keep up")
	}
}

// Close ends the session.
func (s *Session) Close() {
	s.once.Do(func() {
		close(s.done)
		_ = s.conn.Close()
	})
}

// Done is closed when the session has ended.
func (s *Session) Done() <-chan struct{} { return s.done }

// Run writes queued messages and passes received ones to handle until the session ends. It
// returns the reason.
func (s *Session) Run(handle func(wire.Message)) error {
	var wg sync.WaitGroup
	wg.Go(s.write)
	err := s.read(handle)
	s.Close()
	wg.Wait()
	return err
}

func (s *Session) write() {
	for {
		select {
		case <-s.done:
			return
		case frame := <-s.out:
			_ = s.conn.SetWriteDeadline(time.Now().Add(SessionSilence))
			if _, err := s.conn.Write(s.gather(frame)); err != nil {
				s.Close()
				return
			}
		}
	}
}

// gather joins a frame with those that wait behind it, up to gatherBytes.
func (s *Session) gather(frame Frame) []byte {
	if len(s.out) == 0 {
		return frame
	}
	joined := append(make([]byte, 0, gatherBytes), frame...)
	for len(joined) < gatherBytes {
		select {
		case next := <-s.out:
			joined = append(joined, next...)
		default:
			return joined
		}
	}
	return joined
}

func (s *Session) read(handle func(wire.Message)) error {
	r := bufio.NewReaderSize(&deadlineConn{Conn: s.conn, silence: SessionSilence}, sessionBuffer)
	var buf bytes.Buffer
	for {
		b, err := readFrame(r, &buf, MaxFrameBytes)
		if err != nil {
			return err
		}
		m, err := decodeFrame(b)
		if errors.Is(err, errUnknownKind) {
			continue
		}
		if err != nil {
			return err
		}
		if err := contain(handle, m); err != nil {
			return err
		}
	}
}

// contain handles a message. A panic ends the session and not the process.
func contain(handle func(wire.Message), m wire.Message) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("peer: message %v: panic: %v", m.Kind(), cause)
		}
	}()
	handle(m)
	return nil
}

// Accept serves sessions from a listener until it is closed.
func Accept(ln net.Listener, serve func(*Session)) error {
	for {
		conn, err := accept.Next(ln)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		go serve(newSession(conn))
	}
}
