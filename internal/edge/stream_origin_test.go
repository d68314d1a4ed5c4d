package edge

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/boottime"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
)

// Guards against a Retry-After that ends when this host knows the release of a stream and the host that is asked next does
// not, and against one where waiting is of no use.
func TestRefusalOfUnknownRelease(t *testing.T) {
	for _, c := range []struct {
		name     string
		err      error
		min, max time.Duration
		failed   bool
	}{
		{"never known", errReleaseUnknown, 0, 0, false},
		{"known soon", releaseUndecidedError{retryAfter: time.Second}, 1400 * time.Millisecond, 2 * time.Second, false},
		{"read failed", errors.New("store is away"), 100 * time.Millisecond, time.Second, true},
	} {
		r, failed := refuseUnknownRelease(c.err)
		if r.RetryAfter < c.min || r.RetryAfter > c.max || failed != c.failed || r.Status != 503 || r.Ran != entity.NotRun {
			t.Errorf("%s: %+v, failed %v", c.name, r, failed)
		}
	}
}

// rangeStore is a key-value service that answers each range with the same result.
type rangeStore struct {
	Store
	result kvstore.RangeResult
}

// Range implements kvstore.KV.
func (s rangeStore) Range(context.Context, kvstore.RangeRequest) (kvstore.RangeResult, error) {
	return s.result, nil
}

// Guards against a host that has just started and takes the only release in a restored copy for the only one that there is:
// the copy may lack the records of others.
func TestOnlyReleaseAfterRestoreProvesNothing(t *testing.T) {
	for _, c := range []struct {
		name     string
		restored time.Duration
		known    bool
	}{
		{"restored a second ago", time.Second, false},
		{"restored some seconds ago", 4 * time.Second, true},
	} {
		now := boottime.Now()
		record := kvstore.Pair{Key: "releases/x", Value: []byte(`{"service":"s","release":"v2"}`)}
		h := &Host{watcher: &watcher{}, frontend: &frontend{viewAge: func(time.Time) time.Duration { return 0 }}}
		h.opts.Store = rangeStore{result: kvstore.RangeResult{Pairs: []kvstore.Pair{record}}}
		h.watcher.readableSince.Store(now.Add(-c.restored).UnixNano())
		h.watcher.restoredAt.Store(now.Add(-c.restored).UnixNano())
		origin, err := h.originWithoutRecord(t.Context(), "s")
		var undecided releaseUndecidedError
		if known := err == nil && origin.Release == "v2"; known != c.known || !known && !errors.As(err, &undecided) {
			t.Errorf("%s: origin %v, error %v", c.name, origin, err)
		}
	}
}
