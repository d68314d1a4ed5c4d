// Package relay keeps the changes of the key-value service that mean something to hosts, so that one
// host can pass on to the others what they lack. Changes set the state of a key, so it does no harm to
// take one over again.
//
// A Log belongs to one goroutine.
package relay

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/foxtailpass/foxtailpass/internal/kvstore"
	"github.com/foxtailpass/foxtailpass/internal/peer"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

const (
	// maxDeleted bounds the remembered keys that are gone.
	maxDeleted = 4096
	// maxBytes bounds the changes of one message.
	maxBytes = 32 << 20
)

// Log holds the newest change of each key since a revision.
type Log struct {
	// The log is complete from start to end.
	start, end int64
	latest     map[string]kvstore.Event
	deleted    int
}

// NewLog returns an empty log.
func NewLog() *Log { return &Log{latest: make(map[string]kvstore.Event)} }

// End returns the revision up to which the log is complete; zero for an empty one.
func (l *Log) End() int64 { return l.end }

// Add takes over changes up to a revision. The first call begins the log there.
func (l *Log) Add(changes []kvstore.Event, to int64) {
	if l.start == 0 {
		l.start, l.end = to, to
		return
	}
	for _, e := range changes {
		if e.Deleted {
			l.deleted++
		}
		l.latest[e.Pair.Key] = e
	}
	l.end = max(l.end, to)
	if l.deleted > maxDeleted {
		l.forgetDeleted()
	}
}

// forgetDeleted begins the log anew at its end, as far as keys are concerned that are gone.
func (l *Log) forgetDeleted() {
	for key, e := range l.latest {
		if e.Deleted {
			delete(l.latest, key)
		}
	}
	l.deleted = 0
	l.start = l.end
}

// Reaches says whether the log reaches back to a revision.
func (l *Log) Reaches(revision int64) bool { return l.start != 0 && revision >= l.start }

// Since returns the changes after a revision, and false when the log does not reach back so far.
func (l *Log) Since(revision int64) ([]kvstore.Event, bool) {
	if !l.Reaches(revision) {
		return nil, false
	}
	var out []kvstore.Event
	for _, e := range l.latest {
		if e.Pair.ModRevision > revision {
			out = append(out, e)
		}
	}
	return out, true
}

// writers holds compressors, which are large.
var writers = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic("relay: compressor: " + err.Error())
	}
	return w
}}

// Encode packs changes for a message.
func Encode(changes []kvstore.Event) ([]byte, error) {
	list := make([]wire.ListChange, 0, len(changes))
	for _, e := range changes {
		list = append(list, wire.ListChange{Key: e.Pair.Key, Revision: e.Pair.ModRevision, Deleted: e.Deleted, Value: e.Pair.Value})
	}
	var out bytes.Buffer
	w := writers.Get().(*flate.Writer)
	defer writers.Put(w)
	w.Reset(&out)
	if err := msgpack.NewEncoder(w).Encode(list); err != nil {
		return nil, fmt.Errorf("relay: encode: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("relay: encode: %w", err)
	}
	return out.Bytes(), nil
}

var errTooLarge = errors.New("relay: changes too large")

// Decode unpacks what Encode has packed.
func Decode(b []byte) ([]kvstore.Event, error) {
	r := flate.NewReader(bytes.NewReader(b))
	limited := &io.LimitedReader{R: r, N: maxBytes + 1}
	raw, err := io.ReadAll(limited)
	if err != nil {
		return nil, fmt.Errorf("relay: decode: %w", err)
	}
	if len(raw) > maxBytes {
		return nil, errTooLarge
	}
	if err := peer.Validate(raw); err != nil {
		return nil, fmt.Errorf("relay: decode: %w", err)
	}
	var list []wire.ListChange
	if err := msgpack.Unmarshal(raw, &list); err != nil {
		return nil, fmt.Errorf("relay: decode: %w", err)
	}
	out := make([]kvstore.Event, 0, len(list))
	for _, c := range list {
		out = append(out, kvstore.Event{Deleted: c.Deleted, Pair: kvstore.Pair{Key: c.Key, ModRevision: c.Revision, Value: c.Value}})
	}
	return out, nil
}
