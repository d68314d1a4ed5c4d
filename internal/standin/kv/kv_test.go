package kv

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/foxtailpass/foxtailpass/internal/kvstore"
)

// callTimeout limits the time of a call. A call whose answer a fault drops may take this long.
const callTimeout = 500 * time.Millisecond

func startServer(t *testing.T, s *Store) (*kvstore.Client, string) {
	t.Helper()
	return startServerWithTimeout(t, s, callTimeout)
}

func startServerWithTimeout(t *testing.T, s *Store, timeout time.Duration) (*kvstore.Client, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := NewServer(s)
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { _ = srv.Close() })
	addr := ln.Addr().String()
	c, err := kvstore.NewClient(kvstore.Options{Endpoints: []string{addr}, Prefix: "p/", Timeout: timeout})
	if err != nil {
		t.Fatal(err)
	}
	return c, addr
}

func put(key, value string) kvstore.Txn {
	return kvstore.Txn{Success: []kvstore.Op{kvstore.Put(key, []byte(value))}}
}

// Guards against differences between Store and Client with Server: both must implement kvstore.KV with the
// same semantics.
func TestKVSemantics(t *testing.T) {
	// Under the race detector on a busy machine, a call with a value of 1 MB takes a fifth of a second.
	client, _ := startServerWithTimeout(t, NewStore(Options{}), 20*time.Second)
	for name, kv := range map[string]kvstore.KV{"store": NewStore(Options{}), "http": client} {
		t.Run(name, func(t *testing.T) {
			ctx := t.Context()
			if p, _, err := kv.Get(ctx, "a"); p != nil || err != nil {
				t.Fatalf("read of an absent key: pair %v, error %v; want neither", p, err)
			}
			create := put("a", "1")
			create.Compares = []kvstore.Compare{kvstore.Absent("a")}
			create.Failure = []kvstore.Op{{Kind: kvstore.OpGet, Key: "a"}, {Kind: kvstore.OpGet, Key: "b"}}
			first, err := kv.Txn(ctx, create)
			if err != nil || !first.Succeeded {
				t.Fatalf("creation of a key: %+v, error %v; want success", first, err)
			}
			again, err := kv.Txn(ctx, create)
			if err != nil || again.Succeeded || len(again.Gets) != 2 || string(again.Gets[0].Value) != "1" || again.Gets[1] != nil {
				t.Fatalf("second creation of a key: %+v, error %v; want no success, and the values of the keys a and b", again, err)
			}
			lease, err := kv.Grant(ctx, time.Minute)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := kv.Txn(ctx, kvstore.Txn{Success: []kvstore.Op{kvstore.PutLeased("h", nil, lease)}}); err != nil {
				t.Fatal(err)
			}
			if ttl, err := kv.KeepAlive(ctx, lease); ttl != time.Minute || err != nil {
				t.Fatalf("keep-alive: TTL %v, error %v; want one minute", ttl, err)
			}
			r, err := kv.Range(ctx, kvstore.RangeRequest{Prefix: "h", MinModRevision: first.Revision + 1})
			if err != nil || len(r.Pairs) != 1 || r.Pairs[0].Lease != lease {
				t.Fatalf("range: %+v, error %v; want the key h with its lease", r, err)
			}
			if err := kv.Revoke(ctx, lease); err != nil {
				t.Fatal(err)
			}
			if _, err := kv.KeepAlive(ctx, lease); !errors.Is(err, kvstore.ErrLeaseNotFound) {
				t.Fatalf("keep-alive after the lease was revoked: error %v, want ErrLeaseNotFound", err)
			}
			if _, err := kv.Txn(ctx, put("a", string(make([]byte, MaxValueBytes+1)))); !errors.Is(err, kvstore.ErrRejected) {
				t.Fatalf("write of a value that is too large: error %v, want ErrRejected", err)
			}
			var events []kvstore.Event
			done := errors.New("done")
			err = kv.Watch(ctx, "", first.Revision, func(b kvstore.WatchBatch) error {
				events = append(events, b.Events...)
				if len(events) >= 3 {
					return done
				}
				return nil
			})
			if !errors.Is(err, done) || events[0].Pair.Key != "a" || !events[2].Deleted || events[2].Pair.Key != "h" {
				t.Fatalf("watch: events %+v, error %v; want the writes of a and h and the deletion of h", events, err)
			}
		})
	}
}

// Guards against faults that report the wrong outcome: a lost answer must have been applied, a
// refused or rate-limited call must not.
func TestFaults(t *testing.T) {
	s := NewStore(Options{})
	client, addr := startServer(t, s)
	for _, tc := range []struct {
		name    string
		faults  Faults
		want    error
		applied bool
	}{
		{"refuse", Faults{Refuse: true}, kvstore.ErrUnavailable, false},
		{"drop", Faults{Drop: true}, kvstore.ErrUnknown, false},
		{"lose", Faults{LoseEvery: 1}, kvstore.ErrUnknown, true},
		{"lose by chance", Faults{LoseProbability: 1}, kvstore.ErrUnknown, true},
		{"rate", Faults{WritesPerSecond: 0.001}, kvstore.ErrUnavailable, false},
		// This case is the last one, because its delayed write is applied after the check and changes the
		// revision.
		{"delay", Faults{DelayMillis: 800}, kvstore.ErrUnknown, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			body, err := json.Marshal(Control{Faults: &tc.faults})
			if err != nil {
				t.Fatal(err)
			}
			req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
			req.SetRequestURI("http://" + addr + PathFaults)
			req.Header.SetMethod("POST")
			req.SetBody(body)
			if err := fasthttp.Do(req, resp); err != nil || resp.StatusCode() != 200 {
				t.Fatal(err, resp.StatusCode())
			}
			if tc.faults.WritesPerSecond > 0 {
				if _, err := client.Txn(t.Context(), put("spend", "")); err != nil {
					t.Fatal(err)
				}
			}
			before := s.Revision()
			if _, err := client.Txn(t.Context(), put("k", "v")); !errors.Is(err, tc.want) {
				t.Errorf("error %v, want %v", err, tc.want)
			}
			if applied := s.Revision() > before; applied != tc.applied {
				t.Errorf("the write was applied: %v, want %v", applied, tc.applied)
			}
		})
	}
	if s.Counts().Get(kvstore.CallTxn) != 7 {
		t.Errorf("counted calls %v, want 7 transactions", s.Counts().Map())
	}
}

// Guards against watches that ignore compaction, cancellation or FreezeWatches, and against leases that
// expire without delete events.
func TestWatchEnds(t *testing.T) {
	now := time.Now()
	s := NewStore(Options{Now: func() time.Time { return now }})
	client, _ := startServer(t, s)
	ctx := t.Context()
	lease, err := client.Grant(ctx, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := client.Txn(ctx, kvstore.Txn{Success: []kvstore.Op{kvstore.PutLeased("h", nil, lease)}}); err != nil {
		t.Fatal(err)
	}
	s.Compact(s.Revision())
	nop := func(kvstore.WatchBatch) error { return nil }
	if err := client.Watch(ctx, "h", 1, nop); !errors.Is(err, kvstore.ErrCompacted) {
		t.Fatalf("watch from a compacted revision: error %v, want ErrCompacted", err)
	}
	s.SetFaults(Faults{FreezeWatches: true})
	if !s.ExpireKey("p/h") {
		t.Fatal("the key h is not bound to a lease")
	}
	short, cancel := context.WithTimeout(ctx, 150*time.Millisecond)
	defer cancel()
	frozen := func(kvstore.WatchBatch) error { t.Error("a frozen watch delivered events"); return nil }
	if err := client.Watch(short, "h", s.Revision(), frozen); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("frozen watch: error %v, want the end of its context", err)
	}
	s.SetFaults(Faults{})
	got := errors.New("got")
	err = client.Watch(ctx, "h", s.Revision(), func(b kvstore.WatchBatch) error {
		if len(b.Events) == 1 && b.Events[0].Deleted {
			return got
		}
		return nil
	})
	if !errors.Is(err, got) {
		t.Fatalf("the watch ended without the delete event of the expired key: %v", err)
	}
	time.AfterFunc(50*time.Millisecond, s.BreakWatches)
	if err := client.Watch(ctx, "h", 0, nop); !errors.Is(err, kvstore.ErrUnavailable) {
		t.Fatalf("broken watch: error %v, want ErrUnavailable", err)
	}
}

// Guards against polls that miss changes when they are answered from the history, and against StaleReads
// affecting reads that are not serializable.
func TestPollAndStaleReads(t *testing.T) {
	s := NewStore(Options{History: 8})
	ctx := t.Context()
	for i := range 40 {
		if _, err := s.Txn(ctx, put(string(rune('a'+i%20)), "v")); err != nil {
			t.Fatal(err)
		}
	}
	rev := s.Revision()
	for _, min := range []int64{0, rev - 30, rev - 3, rev, rev + 1} {
		r, err := s.Range(ctx, kvstore.RangeRequest{Prefix: "", MinModRevision: min})
		if want := int(max(0, rev+1-max(min, rev-19))); err != nil || len(r.Pairs) != want {
			t.Errorf("from %d: %d pairs, want %d (%v)", min, len(r.Pairs), want, err)
		}
	}
	s.SetFaults(Faults{StaleReads: true})
	if _, err := s.Txn(ctx, put("a", "new")); err != nil {
		t.Fatal(err)
	}
	stale, _ := s.Range(ctx, kvstore.RangeRequest{Prefix: "a", Serializable: true})
	fresh, _ := s.Range(ctx, kvstore.RangeRequest{Prefix: "a"})
	if string(stale.Pairs[0].Value) != "v" || stale.Revision != rev || string(fresh.Pairs[0].Value) != "new" {
		t.Errorf("serializable read %+v, want the state before the write; other read %+v, want the new value", stale, fresh)
	}
}
