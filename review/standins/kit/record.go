// Package kit holds the stand-ins of the review's scripts: the platform's store, replicas, and a small deployment whose
// processes are started as the deploy file says.
package kit

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// The exit codes of a script.
const (
	Held    = 0
	Broken  = 1
	CantRun = 2
)

// Record is the file record.txt of a case.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// NewRecord creates the record at a path.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, began: time.Now()}, nil
}

// Note writes a line with the time since the start.
func (r *Record) Note(format string, args ...any) { r.NoteAt(time.Now(), format, args...) }

// NoteAt writes a line with another time.
func (r *Record) NoteAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", at.Sub(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Line writes a line without a time.
func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, format+"\n", args...)
}
