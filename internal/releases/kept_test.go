package releases

import (
	"fmt"
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/kvstore"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

// streamEvent is the change of the record of a stream.
func streamEvent(id string, deleted bool) kvstore.Event {
	return kvstore.Event{Deleted: deleted, Pair: kvstore.Pair{Key: "p/streams/" + id, Value: encodeStream(Origin{ServiceRelease: v1})}}
}

// Guards against records that a restore has lost and that nobody writes again because their host stands still (review, case
// 8), and against records that come back although they were not lost.
func TestKeptRecordsAreWrittenAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	k := NewKept("p/")
	for _, id := range []string{"in the copy", "lost", "written again", "removed"} {
		k.Apply(streamEvent(id, false), now)
	}
	k.Apply(streamEvent("removed", true), now)
	k.Restored(map[string]bool{"p/streams/in the copy": true}, now)
	if k.HasUnwritten(true, now) {
		t.Error("no time is left to the hosts of the streams")
	}
	k.Apply(streamEvent("written again", false), now)
	now = now.Add(hostRewriteTime)
	ops := k.TakeUnwritten(7, true, now)
	if len(ops) != 1 || ops[0].Key != "p/streams/lost" || ops[0].Lease != 7 {
		t.Fatalf("writes %v, want that of the lost record", ops)
	}
	if k.HasUnwritten(true, now) || !k.HasUnwritten(true, now.Add(hostRewriteTime)) {
		t.Error("a write that may have failed is not repeated after a pause")
	}
	k.Apply(streamEvent("lost", false), now)
	if k.HasUnwritten(true, now.Add(time.Hour)) {
		t.Error("a record that is back is written again")
	}
}

// Guards against a table that grows without end.
func TestKeptRecordsAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	k := NewKept("p/")
	for n := range maxKept + 10 {
		k.Apply(streamEvent(fmt.Sprint(n), false), now)
	}
	k.Restored(nil, now)
	if len(k.records) > maxKept || len(k.TakeUnwritten(7, true, now.Add(time.Hour))) > maxOpsPerWrite {
		t.Errorf("%d records are kept, or too many are written at once", len(k.records))
	}
	k.Forget(time.Minute, now.Add(2*time.Minute))
	if len(k.records)+len(k.unwritten) > 0 {
		t.Errorf("%d records are kept after the retention", len(k.records))
	}
}

// Guards against records that their host cannot write and that the host which received them does not write either, or writes
// without end, and against a host that is made to write other keys (review, case 12).
func TestRelayedRecordsAreWritten(t *testing.T) {
	now := time.Unix(1000, 0)
	value := encodeStream(Origin{ServiceRelease: v1})
	k := NewKept("p/")
	if !k.Relayed([]wire.StreamRecord{{Key: "p/streams/a", Value: value}, {Key: "p/streams/b", Value: value}}, now.Add(time.Second), now) {
		t.Fatal("the records are not kept")
	}
	if k.HasUnwritten(false, now) {
		t.Error("records are written before they are due")
	}
	now = now.Add(time.Second)
	ops := k.TakeUnwritten(7, false, now)
	if len(ops) != 2 || k.HasUnwritten(false, now) || !k.HasUnwritten(false, now.Add(hostRewriteTime)) {
		t.Errorf("%d writes, want two, to be repeated after a pause", len(ops))
	}
	k.Acknowledged(ops)
	if k.HasUnwritten(true, now.Add(time.Hour)) {
		t.Error("acknowledged records are written again")
	}
	for _, r := range []wire.StreamRecord{{Key: "p/releases/a", Value: value}, {Key: "p/streams/a", Value: []byte("{}")}} {
		if k.Relayed([]wire.StreamRecord{r}, now, now) || k.HasUnwritten(true, now) {
			t.Errorf("%q with the value %q is kept", r.Key, r.Value)
		}
	}
}
