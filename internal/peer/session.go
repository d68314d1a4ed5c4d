package peer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/foxtailpass/foxtailpass/internal/accept"
	"github.com/foxtailpass/foxtailpass/internal/membudget"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

const (
	// SessionSilenceTimeout is the time without received bytes after which a session is closed. The users of
	// sessions send at least twice a second in both directions.
	SessionSilenceTimeout = 1100 * time.Millisecond
	// sessionDialTimeout bounds the time until a connection is established.
	sessionDialTimeout = 500 * time.Millisecond
	// sessionQueueFrames bounds the frames that wait to be written. When the queue is full, the session is closed
	// instead of blocking the sender. No message is needed later, because every message is superseded by a later one.
	sessionQueueFrames = 64
	// maxBatchBytes is the size of a write to which no further waiting frame is added. The last added frame may
	// exceed it.
	maxBatchBytes = 4 << 10
	// sessionReadBufferBytes is the size of the read buffer of a session.
	sessionReadBufferBytes = 4 << 10
	// maxAcceptedFrameBytes bounds a frame of a session that another host has opened. The reports of hosts are far smaller;
	// only the coordinator sends large frames, on the sessions that the hosts have opened.
	maxAcceptedFrameBytes = 1 << 20
	// smallFrameBytes is the memory up to which a message may use the part that large messages leave free.
	smallFrameBytes = 64 << 10
	// elementBytes is what an element of an array occupies at most once it is decoded, however short it is in the frame.
	elementBytes = 128
)

// errNoMemory ends an accepted session for whose message there is no memory.
var errNoMemory = errors.New("peer: no memory for a message")

// Memory is the memory of an accepted session. accept.Guarded implements it.
type Memory interface {
	// Reserve sets what the session holds to a number of bytes, and ReserveLarge returns a reservation for more.
	Reserve(bytes int64) bool
	ReserveLarge(owner string) *membudget.Reservation
	// Prove marks that the other host has sent a valid message.
	Prove()
}

// Session is one connection between the coordinator, the host that controls the engines, and another host. It has no
// handshake: the messages name their sender. Run must be called once; the other methods are safe for concurrent use.
type Session struct {
	conn net.Conn
	// memory is set for accepted connections with a budget; large is its part for large messages. The memory of a message
	// is held until the next one, because its receiver may keep parts of it.
	memory Memory
	large  *membudget.Reservation

	sendQueue chan Frame
	done      chan struct{}
	closeOnce sync.Once
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

// SendOnce connects to another host, sends one encoded message and closes the connection.
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

// Ask connects to another host, sends one encoded message, and returns the first message that the host sends back before ctx
// ends.
func Ask(ctx context.Context, addr string, frame Frame) (wire.Message, error) {
	s, err := Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	defer context.AfterFunc(ctx, s.Close)()
	if err := s.SendFrame(frame); err != nil {
		return nil, err
	}
	var answer wire.Message
	err = s.Run(func(m wire.Message) {
		if answer == nil {
			answer = m
		}
		s.Close()
	})
	if answer == nil {
		return nil, err
	}
	return answer, nil
}

func newSession(conn net.Conn) *Session {
	setUserTimeout(conn, SessionSilenceTimeout)
	s := &Session{conn: conn, sendQueue: make(chan Frame, sessionQueueFrames), done: make(chan struct{})}
	if m, ok := conn.(Memory); ok {
		s.memory, s.large = m, m.ReserveLarge("")
	}
	return s
}

// setUserTimeout makes the kernel close a connection whose sent bytes stay unacknowledged for limit, for
// example because the other host has lost power.
func setUserTimeout(conn net.Conn, limit time.Duration) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		// The error is ignored, because without the option SessionSilenceTimeout still ends the session.
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
	case s.sendQueue <- frame:
		return nil
	default:
		s.Close()
		return errors.New("peer: send queue of the session is full")
	}
}

// Close ends the session.
func (s *Session) Close() {
	s.closeOnce.Do(func() {
		close(s.done)
		_ = s.conn.Close()
	})
}

// Done returns a channel that is closed when the session has ended.
func (s *Session) Done() <-chan struct{} { return s.done }

// Run writes queued messages and passes received messages to handle until the session ends. It returns the
// error that ended the session.
func (s *Session) Run(handle func(wire.Message)) error {
	var wg sync.WaitGroup
	wg.Go(s.writeLoop)
	err := s.readLoop(handle)
	s.Close()
	wg.Wait()
	return err
}

func (s *Session) writeLoop() {
	for {
		select {
		case <-s.done:
			return
		case frame := <-s.sendQueue:
			_ = s.conn.SetWriteDeadline(time.Now().Add(SessionSilenceTimeout))
			if _, err := s.conn.Write(s.batchFrames(frame)); err != nil {
				s.Close()
				return
			}
		}
	}
}

// batchFrames joins a frame with the frames that wait behind it, until the result has at least maxBatchBytes.
func (s *Session) batchFrames(frame Frame) []byte {
	if len(s.sendQueue) == 0 {
		return frame
	}
	joined := append(make([]byte, 0, maxBatchBytes), frame...)
	for len(joined) < maxBatchBytes {
		select {
		case next := <-s.sendQueue:
			joined = append(joined, next...)
		default:
			return joined
		}
	}
	return joined
}

func (s *Session) readLoop(handle func(wire.Message)) error {
	r := bufio.NewReaderSize(&deadlineConn{Conn: s.conn, silenceTimeout: SessionSilenceTimeout}, sessionReadBufferBytes)
	var buf bytes.Buffer
	for {
		b, err := s.readFrame(r, &buf)
		if err != nil {
			return err
		}
		m, err := decodeFrameWithin(b, func(elements int) bool { return s.reserveDecoded(&buf, elements) })
		if errors.Is(err, errUnknownKind) {
			continue
		}
		if err != nil {
			return err
		}
		if s.memory != nil {
			s.memory.Prove()
		}
		if err := handleRecovering(handle, m); err != nil {
			return err
		}
	}
}

// readFrame reads a frame. In an accepted session, it first reserves the memory for it.
func (s *Session) readFrame(r *bufio.Reader, buf *bytes.Buffer) ([]byte, error) {
	if s.memory == nil {
		return readFrame(r, buf, MaxFrameBytes)
	}
	head, err := r.Peek(lengthBytes)
	if err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(head)
	if length > maxAcceptedFrameBytes {
		return nil, fmt.Errorf("%w: length %d", errMalformed, length)
	}
	// The buffer may have up to three times the length of the frame while it grows.
	if !s.reserve(max(3*int64(length), int64(buf.Cap()))) {
		return nil, errNoMemory
	}
	return readFrame(r, buf, maxAcceptedFrameBytes)
}

// reserveDecoded reserves the memory of a message in a frame, beside that of the buffer. It reports whether there is enough.
func (s *Session) reserveDecoded(buf *bytes.Buffer, elements int) bool {
	return s.memory == nil || s.reserve(int64(buf.Cap()+buf.Len())+elementBytes*int64(elements))
}

// reserve sets the memory of the session.
func (s *Session) reserve(bytes int64) bool {
	small := min(bytes, smallFrameBytes)
	s.large.ShrinkTo(bytes - small)
	return s.memory.Reserve(small) && s.large.GrowTo(bytes-small)
}

// Large reports whether the message that is being handled is large: it must not wait in a queue with others.
func (s *Session) Large() bool { return s.large != nil && s.large.Bytes() > 0 }

// handleRecovering calls handle with a message and returns an error if it panics, so that a panic ends the
// session and not the process.
func handleRecovering(handle func(wire.Message), m wire.Message) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("peer: message %v: panic: %v", m.Kind(), cause)
		}
	}()
	handle(m)
	return nil
}

// Accept accepts connections and calls serve with each as a session in a new goroutine, until the listener is closed.
func Accept(ln net.Listener, serve func(*Session)) error {
	for {
		conn, err := accept.AcceptRetrying(ln)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		go serve(newSession(conn))
	}
}
