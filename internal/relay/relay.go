// Package relay keeps a log of the changes in the key-value service that hosts need, so that one host can
// forward to the others the changes that they have not received. Each change carries the whole new state of
// its key, so applying a change twice has no effect.
//
// A Log is not safe for concurrent use.
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
	// maxDeletedKeys is the number of deletions that a log keeps.
	maxDeletedKeys = 4096
	// maxDecodedBytes is the largest accepted size of the decompressed changes of a message.
	maxDecodedBytes = 32 << 20
)

// Log holds the latest change of each key since a revision.
type Log struct {
	// The log contains all changes after revision start up to and including revision end.
	start, end int64
	latest     map[string]kvstore.Event
	// deletions counts the deletions added since the last dropDeletedKeys.
	deletions int
}

// NewLog returns an empty log.
func NewLog() *Log { return &Log{latest: make(map[string]kvstore.Event)} }

// End returns the revision up to which the log is complete, or zero if nothing has been added yet.
func (l *Log) End() int64 { return l.end }

// Add appends the changes up to revision to. The first call, and the first one after a restore of the key-value
// service, sets the start of the log to this revision and ignores the changes.
func (l *Log) Add(changes []kvstore.Event, to int64) {
	if l.start == 0 || kvstore.EraOf(to) > kvstore.EraOf(l.end) {
		l.start, l.end = to, to
		clear(l.latest)
		l.deletions = 0
		return
	}
	for _, e := range changes {
		if e.Deleted {
			l.deletions++
		}
		l.latest[e.Pair.Key] = e
	}
	l.end = max(l.end, to)
	if l.deletions > maxDeletedKeys {
		l.dropDeletedKeys()
	}
}

// dropDeletedKeys removes all deletions from the log. The log is then incomplete before its end, so its start
// moves to its end.
func (l *Log) dropDeletedKeys() {
	for key, e := range l.latest {
		if e.Deleted {
			delete(l.latest, key)
		}
	}
	l.deletions = 0
	l.start = l.end
}

// CompleteSince reports whether the log contains all changes after a revision.
func (l *Log) CompleteSince(revision int64) bool { return l.start != 0 && revision >= l.start }

// Since returns the changes after a revision, and false if the log does not contain all of them.
func (l *Log) Since(revision int64) ([]kvstore.Event, bool) {
	if !l.CompleteSince(revision) {
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

// compressors pools flate writers, which are large.
var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic("relay: compressor: " + err.Error())
	}
	return w
}}

// Encode serializes and compresses changes for a message.
func Encode(changes []kvstore.Event) ([]byte, error) {
	list := make([]wire.ListChange, 0, len(changes))
	for _, e := range changes {
		list = append(list, wire.ListChange{Key: e.Pair.Key, Revision: e.Pair.ModRevision, Deleted: e.Deleted, Value: e.Pair.Value})
	}
	var out bytes.Buffer
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
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

// Decode is the inverse of Encode. It rejects input that is malformed or too large.
func Decode(b []byte) ([]kvstore.Event, error) {
	r := flate.NewReader(bytes.NewReader(b))
	limited := &io.LimitedReader{R: r, N: maxDecodedBytes + 1}
	raw, err := io.ReadAll(limited)
	if err != nil {
		return nil, fmt.Errorf("relay: decode: %w", err)
	}
	if len(raw) > maxDecodedBytes {
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
