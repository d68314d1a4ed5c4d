package view

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/foxtailpass/foxtailpass/internal/kvstore"
	"github.com/foxtailpass/foxtailpass/internal/standin/kv"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

// recorded is an answer of the service that a test delivers late.
type recorded struct {
	result kvstore.RangeResult
	since  int64
	kind   string
}

// Guards against lost, reverted or resurrected keys when watch events, polls, sweeps, snapshots
// and peers' deltas arrive late and in any order.
func TestCacheConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		store := kv.NewStore(kv.Options{})
		caches := [2]*Cache{NewCache(2), NewCache(2)}
		removed := map[*Cache]map[string]int64{caches[0]: {}, caches[1]: {}}
		var late []recorded
		var delta *wire.ViewDelta
		for range rapid.IntRange(40, 120).Draw(t, "steps") {
			c := caches[rapid.IntRange(0, 1).Draw(t, "cache")]
			other := caches[0]
			if c == other {
				other = caches[1]
			}
			before, held := c.Revision(), c.Snapshot()
			switch rapid.IntRange(0, 7).Draw(t, "op") {
			case 0, 1:
				key := fmt.Sprintf("v/%d", rapid.IntRange(0, 2).Draw(t, "key"))
				op := kvstore.Put(key, []byte{byte(store.Revision())})
				if rapid.Bool().Draw(t, "delete") {
					op = kvstore.Op{Kind: kvstore.OpDelete, Key: key}
				}
				if _, err := store.Txn(ctx, kvstore.Txn{Success: []kvstore.Op{op}}); err != nil {
					t.Fatal(err)
				}
			case 2:
				watchUpTo(t, store, c, c.FullRevision()+rapid.Int64Range(1, 5).Draw(t, "events"))
			case 3:
				kind := rapid.SampledFrom([]string{"poll", "sweep", "snapshot"}).Draw(t, "kind")
				r := recorded{since: c.Revision(), kind: kind}
				req := kvstore.RangeRequest{Prefix: "v/", KeysOnly: kind == "sweep"}
				if kind == "poll" {
					req.MinModRevision = r.since + 1
				}
				r.result, _ = store.Range(ctx, req)
				late = append(late, r)
			case 4, 5:
				if len(late) > 0 {
					i := rapid.IntRange(0, len(late)-1).Draw(t, "late")
					deliver(t, c, late[i])
				}
			case 6:
				if d, ok := other.Delta(c.FullRevision()); ok {
					delta = &d
				} else {
					d := other.Whole()
					delta = &d
				}
			case 7:
				if delta != nil {
					if _, err := c.ApplyDelta(delta); err != nil {
						t.Fatal(err)
					}
				}
			}
			if c.Revision() < before || c.FullRevision() > c.Revision() {
				t.Fatalf("revisions %d/%d after %d", c.FullRevision(), c.Revision(), before)
			}
			checkPuts(t, store, c)
			checkRemoved(t, removed[c], held, c)
		}
		for _, c := range caches {
			watchUpTo(t, store, c, store.Revision())
			want, _ := store.Range(ctx, kvstore.RangeRequest{Prefix: "v/"})
			if got := len(c.Prefix("v/")); got != len(want.Pairs) {
				t.Fatalf("%d keys, want %d", got, len(want.Pairs))
			}
			for _, p := range want.Pairs {
				if e, ok := c.Get(p.Key); !ok || e.ModRevision != p.ModRevision || string(e.Value) != string(p.Value) {
					t.Fatalf("%s: have %+v, want %+v", p.Key, e, p)
				}
			}
		}
	})
}

// checkPuts verifies that every put up to the put revision is in the cache.
func checkPuts(t *rapid.T, store *kv.Store, c *Cache) {
	res, _ := store.Range(context.Background(), kvstore.RangeRequest{Prefix: "v/"})
	for _, p := range res.Pairs {
		if e, ok := c.Get(p.Key); p.ModRevision <= c.Revision() && (!ok || e.ModRevision != p.ModRevision) {
			t.Fatalf("put of %s at %d is missing at revision %d: %+v", p.Key, p.ModRevision, c.Revision(), e)
		}
	}
}

// checkRemoved verifies that a key that was removed comes back only with a newer put.
func checkRemoved(t *rapid.T, removed map[string]int64, before *Snapshot, c *Cache) {
	for _, key := range before.Keys("v/") {
		e, _ := before.Get(key)
		if _, ok := c.Get(key); !ok {
			removed[key] = e.ModRevision
		}
	}
	for _, key := range c.Prefix("v/") {
		if e, _ := c.Get(key); e.ModRevision <= removed[key] {
			t.Fatalf("%s came back with its put at %d", key, e.ModRevision)
		}
	}
}

// watchUpTo delivers the events after the full revision up to a revision.
func watchUpTo(t *rapid.T, store *kv.Store, c *Cache, upTo int64) {
	var all kvstore.WatchBatch
	end := errors.New("end")
	// The put behind the last event ends the watch without waiting.
	if _, err := store.Txn(context.Background(), kvstore.Txn{Success: []kvstore.Op{kvstore.Put("w/end", nil)}}); err != nil {
		t.Fatal(err)
	}
	_ = store.Watch(context.Background(), "", c.FullRevision()+1, func(b kvstore.WatchBatch) error {
		all.ClusterID = b.ClusterID
		for _, e := range b.Events {
			if e.Pair.ModRevision <= upTo && strings.HasPrefix(e.Pair.Key, "v/") {
				all.Events = append(all.Events, e)
			}
		}
		return end
	})
	if len(all.Events) == 0 {
		return
	}
	if _, err := c.Apply(all); err != nil {
		t.Fatal(err)
	}
}

func deliver(t *rapid.T, c *Cache, r recorded) {
	var err error
	switch r.kind {
	case "poll":
		_, err = c.ApplyPoll(r.result, r.since)
	case "sweep":
		_, err = c.ApplySweep("v/", r.result)
	case "snapshot":
		_, err = c.ApplySnapshot(r.result)
	}
	if err != nil {
		t.Fatal(err)
	}
}
