package releases

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
)

var (
	v1 = ServiceRelease{Service: "s", Release: "v1"}
	v2 = ServiceRelease{Service: "s", Release: "v2"}
)

// oneRelease and twoReleases are recorded releases of the service s.
var (
	oneRelease  = map[catalog.ServiceID]Service{"s": {Releases: []entity.Release{"v1"}}}
	twoReleases = map[catalog.ServiceID]Service{"s": {Releases: []entity.Release{"v1", "v2"}}}
)

// releasesOf returns the recorded releases of the service s.
func releasesOf(k *Known) string { return fmt.Sprint(k.Services()["s"].Releases) }

// testStore is a key-value service that hosts write to one after the other.
type testStore struct {
	revision int64
	pairs    map[string]kvstore.Pair
	events   []kvstore.Event
}

func (s *testStore) run(t kvstore.Txn) bool {
	for _, c := range t.Compares {
		if s.pairs[c.Key].ModRevision != c.Value {
			return false
		}
	}
	for _, op := range t.Success {
		s.revision++
		p := kvstore.Pair{Key: op.Key, Value: op.Value, ModRevision: s.revision}
		if op.Kind == kvstore.OpDelete {
			delete(s.pairs, op.Key)
		} else {
			s.pairs[op.Key] = p
		}
		s.events = append(s.events, kvstore.Event{Deleted: op.Kind == kvstore.OpDelete, Pair: p})
	}
	return true
}

// Guards against streams that begin at a release without a record, records that are written by all hosts, and records
// that end while a stream may still be continued.
func TestReleaseHasRecordWhileStreamsMayBeContinued(t *testing.T) {
	const retention = time.Minute
	store := &testStore{pairs: make(map[string]kvstore.Pair)}
	now := time.Unix(1000, 0)
	var hosts []*Known
	for n := range 5 {
		hosts = append(hosts, NewKnown("p/", rand.New(rand.NewPCG(uint64(n), 1)).Float64))
	}
	writes := 0
	step := func(listed map[ServiceRelease]bool) {
		now = now.Add(100 * time.Millisecond)
		for i, h := range hosts {
			h.setListed(listed, now)
			for _, txn := range h.TakeWrites(WriteOptions{Coordinator: i == 0, ViewIsFresh: true, Retention: retention}, now) {
				writes++
				store.run(txn)
			}
		}
		events := store.events
		store.events = nil
		for _, h := range hosts {
			if errs := h.Apply(events, now); len(errs) > 0 {
				t.Fatal(errs)
			}
		}
	}
	if hosts[0].records[v1] != nil {
		t.Error("a release is recorded before it is written")
	}
	both := map[ServiceRelease]bool{v1: true, v2: true}
	for range 5 {
		step(both)
	}
	if got := releasesOf(hosts[4]); got != "[v1 v2]" || writes != 2 {
		t.Errorf("releases %s after %d writes, want both after two", got, writes)
	}
	left := now
	for now.Before(left.Add(retention - time.Second)) {
		step(map[ServiceRelease]bool{v2: true})
	}
	if hosts[4].records[v1] == nil {
		t.Error("a release lost its record while a stream might be continued")
	}
	for range 30 {
		step(map[ServiceRelease]bool{v2: true})
	}
	if got := releasesOf(hosts[4]); got != "[v2]" {
		t.Errorf("releases %s, want v2 alone", got)
	}
}

// Guards against a record that is never written because there is no coordinator.
func TestReleaseIsRecordedWithoutCoordinator(t *testing.T) {
	k := NewKnown("p/", func() float64 { return 1 })
	now := time.Unix(1000, 0)
	k.setListed(map[ServiceRelease]bool{v1: true}, now)
	if len(k.TakeWrites(WriteOptions{Retention: time.Minute}, now)) != 0 {
		t.Error("a host writes at once, beside the coordinator")
	}
	if len(k.TakeWrites(WriteOptions{Retention: time.Minute}, now.Add(recordDelay+recordSpread))) != 1 {
		t.Error("no record is written")
	}
}

// Guards against a restore of the key-value service that leaves one of two releases without its record: streams would
// then be continued at the other one.
func TestRestoredRecordOfRelease(t *testing.T) {
	k := NewKnown("p/", func() float64 { return 0 })
	now := time.Unix(1000, 0)
	k.Apply([]kvstore.Event{{Pair: kvstore.Pair{Key: "p/" + v1.key(), Value: encode(v1), ModRevision: 1}}}, now)
	k.setListed(map[ServiceRelease]bool{v2: true}, now)
	k.Restore([]string{"p/" + v1.key()}, now)
	found := false
	for _, txn := range k.TakeWrites(WriteOptions{Coordinator: true, Retention: time.Minute}, now.Add(time.Second)) {
		found = found || txn.Success[0].Key == "p/"+v1.key()
	}
	if !found {
		t.Error("the lost record of a release without upstreams is not written again")
	}
}

// Guards against records that another writer has spoilt ending the process, or adding releases.
func TestUnreadableRecords(t *testing.T) {
	k := NewKnown("p/", func() float64 { return 0 })
	for _, value := range []string{"", "null", "[]", `{"service":1}`, `{"service":"s"}`, "\xff"} {
		errs := k.Apply([]kvstore.Event{{Pair: kvstore.Pair{Key: "p/" + Prefix + "x", Value: []byte(value)}}}, time.Unix(1, 0))
		if len(errs) != 1 || len(k.Services()) != 0 {
			t.Errorf("record %q: errors %v, services %v", value, errs, k.Services())
		}
	}
}

// Guards against streams whose release is not written while there are two: those that began before are written, too.
func TestStreamsAreWrittenWhileThereAreTwoReleases(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewStreams("p/")
	s.SetServices(oneRelease)
	s.Begin("a", Origin{ServiceRelease: v1}, now)
	s.Begin("broken", Origin{ServiceRelease: v1}, now)
	s.End("broken", false, time.Minute, now)
	if s.HasWrites() {
		t.Error("a stream is written while there is one release")
	}
	s.SetServices(twoReleases)
	s.Begin("b", Origin{ServiceRelease: v2}, now)
	w, ok := s.TakeWrite(7, now)
	if !ok || len(w.Ops) != 3 {
		t.Fatalf("%d records are written, want those of three streams", len(w.Ops))
	}
	for _, op := range w.Ops {
		if op.Lease != 7 {
			t.Errorf("the record %s belongs to lease %d, want 7", op.Key, op.Lease)
		}
	}
	s.Failed(w)
	if w, ok = s.TakeWrite(8, now); !ok || len(w.Ops) != 3 {
		t.Error("records whose write has failed are not written again")
	}
	s.End("a", true, time.Minute, now)
	s.Begin("c", Origin{ServiceRelease: v2}, now)
	w, _ = s.TakeWrite(8, now.Add(completedTime+time.Second))
	removed := 0
	for _, op := range w.Ops {
		if op.Kind == kvstore.OpDelete {
			removed++
		}
	}
	if removed != 1 {
		t.Errorf("%d records are removed, want that of the completed stream", removed)
	}
	if o, ok := s.Origin("broken", "s"); !ok || o.Release != "v1" {
		t.Errorf("release %q of a broken stream, want v1", o.Release)
	}
	if _, ok := s.Origin("broken", "other service"); ok {
		t.Error("the release of a stream counts for another service")
	}
}

// Guards against a table of streams that grows without end.
func TestStreamsAreBounded(t *testing.T) {
	s := NewStreams("p/")
	s.SetServices(twoReleases)
	for n := range maxStreams + 100 {
		s.Begin(entity.RequestID(fmt.Sprint(n)), Origin{ServiceRelease: v1}, time.Unix(1000, 0))
	}
	if len(s.streams) > maxStreams || len(s.unwritten) > maxStreams {
		t.Errorf("%d streams and %d writes are kept", len(s.streams), len(s.unwritten))
	}
}
