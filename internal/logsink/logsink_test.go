package logsink

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// slowWriter is a writer that blocks every write until release is closed.
type slowWriter struct {
	mu      sync.Mutex
	out     bytes.Buffer
	release chan struct{}
}

func (w *slowWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(p)
}

func (w *slowWriter) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.String()
}

// Guards against a program that blocks because nobody reads its log output, against a buffer that grows
// without bound, and against lines that are dropped without a report.
func TestBlockedOutputDoesNotBlockWriters(t *testing.T) {
	w := &slowWriter{release: make(chan struct{})}
	s := New(w)
	line := []byte(strings.Repeat("x", 999) + "\n")
	began := time.Now()
	for range 2000 {
		if _, err := s.Write(line); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("2000 writes to a sink with a blocked output took %v", took)
	}
	if s.Dropped() == 0 {
		t.Error("no line was dropped, although 2000 lines of 1000 bytes are more than maxBuffered")
	}
	s.mu.Lock()
	buffered := len(s.buffer)
	s.mu.Unlock()
	if buffered > maxBuffered {
		t.Errorf("%d bytes are buffered, more than maxBuffered", buffered)
	}
	close(w.release)
	time.Sleep(2 * flushInterval)
	_, _ = s.Write([]byte("after\n"))
	time.Sleep(3 * flushInterval)
	if out := w.String(); !strings.Contains(out, "Log lines dropped.") || !strings.Contains(out, "after\n") {
		t.Errorf("the output lacks the report of dropped lines or the line that was written later: %d bytes", len(out))
	}
	s.Close(time.Second)
}

// Guards against lines that are lost at the end of the program, and against lines of several goroutines that
// are interleaved.
func TestCloseWritesBufferedLines(t *testing.T) {
	var out bytes.Buffer
	s := New(&out)
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 100 {
				_, _ = s.Write([]byte("one whole line\n"))
			}
		})
	}
	wg.Wait()
	s.Close(time.Second)
	if got := strings.Count(out.String(), "one whole line\n"); got != 800 || out.Len() != 800*15 {
		t.Errorf("the output has %d whole lines in %d bytes, want 800 lines in 12000 bytes", got, out.Len())
	}
	if _, err := s.Write([]byte("late\n")); err != nil || s.Dropped() != 1 {
		t.Errorf("a line written after Close: error %v, %d lines dropped, want no error and 1", err, s.Dropped())
	}
}

// BenchmarkWrite measures the cost of a line for the goroutine that logs it.
func BenchmarkWrite(b *testing.B) {
	s := New(&bytes.Buffer{})
	line := []byte(strings.Repeat("x", 250) + "\n")
	b.ReportAllocs()
	for range b.N {
		_, _ = s.Write(line)
	}
}

// writeRecorder is a writer that records each write separately.
type writeRecorder struct{ writes [][]byte }

func (p *writeRecorder) Write(b []byte) (int, error) {
	p.writes = append(p.writes, bytes.Clone(b))
	return len(b), nil
}

// Guards against lines that are split between two writes: another process that uses the same pipe could write
// between the two parts.
func TestWritesEndWithLines(t *testing.T) {
	var out writeRecorder
	s := New(&out)
	for i := range 300 {
		_, _ = s.Write([]byte(strings.Repeat("y", 20+i) + "\n"))
	}
	s.Close(time.Second)
	for i, w := range out.writes {
		if w[len(w)-1] != '\n' || len(w) > maxWrite {
			t.Errorf("write %d has %d bytes and ends with %q, want at most maxWrite bytes and a line end", i, len(w), w[len(w)-1])
		}
	}
}
