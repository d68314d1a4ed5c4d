// Package logsink writes log lines without ever blocking the program. Lines wait in a buffer of
// bounded size; a goroutine of its own writes them. When nobody reads the output, lines are
// dropped, and their number is written once a second as soon as there is room.
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
	// maxBuffered bounds the lines that wait to be written.
	maxBuffered = 256 << 10
	// flushInterval is the time for which lines are collected into one write.
	flushInterval = 200 * time.Millisecond
	// reportInterval is the least time between two lines about dropped ones.
	reportInterval = time.Second
	// maxWrite is what a pipe takes in one piece, so that lines of several processes on one pipe
	// are not mixed.
	maxWrite = 4096
	// keepBuffer bounds the buffer that is kept between two writes.
	keepBuffer = 32 << 10
)

// Sink is an io.Writer that takes whole lines. It is safe for concurrent use.
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

// Close writes what waits, for no longer than limit. Lines that come later are dropped.
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

// wholeLines returns the length of the whole lines at the start of b that fit into one write, or of
// the first line when that alone does not fit.
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

// flush writes what waits and returns the buffer for the next time.
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
	if cap(lines) > keepBuffer {
		return nil
	}
	return lines
}
