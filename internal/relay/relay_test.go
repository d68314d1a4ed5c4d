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

func gone(key string, revision int64) kvstore.Event {
	return kvstore.Event{Deleted: true, Pair: kvstore.Pair{Key: key, ModRevision: revision}}
}

// Guards against a host that misses a change, or is told one that a newer one has replaced.
func TestSinceGivesTheNewestChangeOfEachKey(t *testing.T) {
	l := NewLog()
	l.Add([]kvstore.Event{put("a", "0", 5)}, 10)
	if _, ok := l.Since(9); ok {
		t.Error("the log claims to know changes before its begin")
	}
	l.Add([]kvstore.Event{put("a", "1", 11), put("b", "1", 12)}, 12)
	l.Add([]kvstore.Event{put("a", "2", 13), gone("b", 14)}, 15)
	got, ok := l.Since(10)
	if !ok || len(got) != 2 {
		t.Fatalf("since 10: %v, %v", got, ok)
	}
	for _, e := range got {
		if e.Pair.Key == "a" && string(e.Pair.Value) != "2" || e.Pair.Key == "b" && !e.Deleted {
			t.Errorf("an old change: %+v", e)
		}
	}
	if got, _ := l.Since(13); len(got) != 1 || got[0].Pair.Key != "b" {
		t.Errorf("since 13: %v", got)
	}
	if got, _ := l.Since(15); len(got) != 0 {
		t.Errorf("since the end: %v", got)
	}
}

// Guards against a log that grows with every key that ever was, and against one that forgets a key that
// is gone and still claims to be complete.
func TestDeletedKeysAreBounded(t *testing.T) {
	l := NewLog()
	l.Add(nil, 1)
	for i := range int64(maxDeleted + 1) {
		l.Add([]kvstore.Event{gone(fmt.Sprint(i), i+2)}, i+2)
	}
	if len(l.latest) > maxDeleted {
		t.Errorf("%d keys are remembered", len(l.latest))
	}
	if _, ok := l.Since(1); ok {
		t.Error("the log claims to know what it has forgotten")
	}
	if _, ok := l.Since(l.End()); !ok {
		t.Error("the log does not know its end")
	}
}

func TestEncodeAndDecode(t *testing.T) {
	in := []kvstore.Event{put("op", string(bytes.Repeat([]byte("model "), 20000)), 3), gone("x", 4)}
	b, err := Encode(in)
	if err != nil {
		t.Fatal(err)
	}
	if len(b) > 2000 {
		t.Errorf("%d bytes for a repetitive document", len(b))
	}
	out, err := Decode(b)
	if err != nil || len(out) != 2 || !bytes.Equal(out[0].Pair.Value, in[0].Pair.Value) || !out[1].Deleted || out[1].Pair.ModRevision != 4 {
		t.Fatalf("%v, %v", out, err)
	}
}

// Guards against a message that ends the process or takes all memory.
func FuzzDecode(f *testing.F) {
	b, err := Encode([]kvstore.Event{put("k", "v", 1)})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte{})
	f.Fuzz(func(_ *testing.T, b []byte) { _, _ = Decode(b) })
}
