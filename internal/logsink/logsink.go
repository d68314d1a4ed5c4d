// Package logsink writes log lines without ever blocking the program. Lines are kept in a buffer of bounded
// size until a separate goroutine writes them. When the output blocks and the buffer is full, further lines
// are dropped. The number of dropped lines is written to the output when it accepts data again, at most once
// a second.
package logsink

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxBuffered bounds the bytes of the lines that wait to be written.
	maxBuffered = 256 << 10
	// flushInterval is how long lines are collected before they are written together.
	flushInterval = 200 * time.Millisecond
	// reportInterval is the minimum time between two lines that report dropped lines.
	reportInterval = time.Second
	// maxWrite is the number of bytes that a pipe accepts atomically. Larger writes of several processes to
	// one pipe could be interleaved.
	maxWrite = 4096
	// maxKeptBuffer bounds the capacity of a buffer that is reused after a write.
	maxKeptBuffer = 32 << 10
)

// Sink is an io.Writer for whole lines. It is safe for concurrent use.
type Sink struct {
	out     io.Writer
	wake    chan struct{}
	stop    chan struct{}
	done    chan struct{}
	dropped atomic.Int64
	written atomic.Int64

	mu     sync.Mutex
	buffer []byte
	closed bool
}

// New returns a sink that writes to out until Close.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, wake: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{})}
	go s.run()
	return s
}

// Write implements io.Writer. It copies the line, or drops it when the buffer is full.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	if s.closed || len(s.buffer)+len(line) > maxBuffered {
		s.mu.Unlock()
		s.dropped.Add(1)
		return len(line), nil
	}
	first := len(s.buffer) == 0
	s.buffer = append(s.buffer, line...)
	s.mu.Unlock()
	if first {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Written returns the number of bytes that were written.
func (s *Sink) Written() int64 { return s.written.Load() }

// Close writes the buffered lines and waits for no longer than limit for the write to end. Lines that are
// passed to Write after Close are dropped.
func (s *Sink) Close(limit time.Duration) {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.closed = true
	s.mu.Unlock()
	close(s.stop)
	select {
	case <-s.done:
	case <-time.After(limit):
	}
}

func (s *Sink) run() {
	defer close(s.done)
	var spare []byte
	var reported int64
	var reportedAt time.Time
	for {
		select {
		case <-s.wake:
			select {
			case <-time.After(flushInterval):
			case <-s.stop:
			}
		case <-s.stop:
			s.flush(spare)
			return
		}
		spare = s.flush(spare)
		if n := s.dropped.Load(); n > reported && time.Since(reportedAt) >= reportInterval {
			reportedAt = time.Now()
			fmt.Fprintf(s.out, "level=warn prefix=log msg=\"Log lines dropped.\" lines=%d total=%d\n", n-reported, n)
			reported = n
		}
	}
}

// wholeLines returns the length of the whole lines at the start of b that fit into one write. If even the
// first line does not fit, it returns the length of that line.
func wholeLines(b []byte) int {
	if len(b) <= maxWrite {
		return len(b)
	}
	if i := bytes.LastIndexByte(b[:maxWrite], '\n'); i >= 0 {
		return i + 1
	}
	if i := bytes.IndexByte(b, '\n'); i >= 0 {
		return i + 1
	}
	return len(b)
}

// flush replaces the buffer by spare and writes the lines of the former buffer. It returns the former buffer for use
// as the next spare, or nil if that buffer has grown too large to be kept.
func (s *Sink) flush(spare []byte) []byte {
	s.mu.Lock()
	lines := s.buffer
	s.buffer = spare[:0]
	s.mu.Unlock()
	for rest := lines; len(rest) > 0; {
		n := wholeLines(rest)
		// A failed write cannot be reported anywhere else.
		written, _ := s.out.Write(rest[:n])
		s.written.Add(int64(written))
		rest = rest[n:]
	}
	if cap(lines) > maxKeptBuffer {
		return nil
	}
	return lines
}
