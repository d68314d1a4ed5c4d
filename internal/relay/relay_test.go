package relay

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/foxtailpass/foxtailpass/internal/kvstore"
)

func put(key, value string, revision int64) kvstore.Event {
	return kvstore.Event{Pair: kvstore.Pair{Key: key, Value: []byte(value), ModRevision: revision}}
}

func deletion(key string, revision int64) kvstore.Event {
	return kvstore.Event{Deleted: true, Pair: kvstore.Pair{Key: key, ModRevision: revision}}
}

// Checks that Since returns the latest change of each key: a host must neither miss a change nor receive one
// that a newer change has replaced.
func TestSinceReturnsNewestChangeOfEachKey(t *testing.T) {
	l := NewLog()
	l.Add([]kvstore.Event{put("a", "0", 5)}, 10)
	if _, ok := l.Since(9); ok {
		t.Error("Since returned true for a revision before the start of the log")
	}
	l.Add([]kvstore.Event{put("a", "1", 11), put("b", "1", 12)}, 12)
	l.Add([]kvstore.Event{put("a", "2", 13), deletion("b", 14)}, 15)
	got, ok := l.Since(10)
	if !ok || len(got) != 2 {
		t.Fatalf("changes since 10: %v, complete %v; want 2 changes, true", got, ok)
	}
	for _, e := range got {
		if e.Pair.Key == "a" && string(e.Pair.Value) != "2" || e.Pair.Key == "b" && !e.Deleted {
			t.Errorf("a replaced change was returned: %+v", e)
		}
	}
	if got, _ := l.Since(13); len(got) != 1 || got[0].Pair.Key != "b" {
		t.Errorf("changes since 13: %v, want only that of b", got)
	}
	if got, _ := l.Since(15); len(got) != 0 {
		t.Errorf("changes since the end: %v, want none", got)
	}
}

// Checks that the number of deleted keys in a log is bounded, and that a log from which deletions were
// dropped no longer reports to be complete.
func TestDeletedKeysAreBounded(t *testing.T) {
	l := NewLog()
	l.Add(nil, 1)
	for i := range int64(maxDeletedKeys + 1) {
		l.Add([]kvstore.Event{deletion(fmt.Sprint(i), i+2)}, i+2)
	}
	if len(l.latest) > maxDeletedKeys {
		t.Errorf("the log holds %d keys, want at most maxDeletedKeys", len(l.latest))
	}
	if _, ok := l.Since(1); ok {
		t.Error("Since returned true although deletions were dropped")
	}
	if _, ok := l.Since(l.End()); !ok {
		t.Error("Since returned false for the end of the log")
	}
}

// Checks that Decode restores encoded changes and that repetitive documents are compressed.
func TestEncodeAndDecode(t *testing.T) {
	in := []kvstore.Event{put("op", string(bytes.Repeat([]byte("model "), 20000)), 3), deletion("x", 4)}
	b, err := Encode(in)
	if err != nil {
		t.Fatal(err)
	}
	if len(b) > 2000 {
		t.Errorf("a repetitive document was encoded in %d bytes, want at most 2000", len(b))
	}
	out, err := Decode(b)
	if err != nil || len(out) != 2 || !bytes.Equal(out[0].Pair.Value, in[0].Pair.Value) || !out[1].Deleted || out[1].Pair.ModRevision != 4 {
		t.Fatalf("decoded changes: %v, error %v; want the encoded ones", out, err)
	}
}

// FuzzDecode checks that no message causes a panic or exhausts the memory.
func FuzzDecode(f *testing.F) {
	b, err := Encode([]kvstore.Event{put("k", "v", 1)})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte{})
	f.Fuzz(func(_ *testing.T, b []byte) { _, _ = Decode(b) })
}
