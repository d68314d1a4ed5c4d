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

// delayedAnswer is an answer of the service that the test applies to a cache later. kind is "poll", "sweep" or
// "snapshot", and since is the revision after which a poll reads.
type delayedAnswer struct {
	result kvstore.RangeResult
	since  int64
	kind   string
}

// TestCacheConverges guards against keys that are lost, get an older value or reappear after their deletion, when watch
// events, polls, sweeps, snapshots and deltas of peers arrive late and in any order. After all watch events have been
// applied at the end, each cache must be equal to the store.
func TestCacheConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		store := kv.NewStore(kv.Options{})
		caches := [2]*Cache{NewCache(2), NewCache(2)}
		removed := map[*Cache]map[string]int64{caches[0]: {}, caches[1]: {}}
		var delayed []delayedAnswer
		var delta *wire.ViewDelta
		for range rapid.IntRange(40, 120).Draw(t, "steps") {
			c := caches[rapid.IntRange(0, 1).Draw(t, "cache")]
			other := caches[0]
			if c == other {
				other = caches[1]
			}
			before, snapshot := c.Revision(), c.Snapshot()
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
				deliverEventsUpTo(t, store, c, c.FullRevision()+rapid.Int64Range(1, 5).Draw(t, "events"))
			case 3:
				kind := rapid.SampledFrom([]string{"poll", "sweep", "snapshot"}).Draw(t, "kind")
				r := delayedAnswer{since: c.Revision(), kind: kind}
				req := kvstore.RangeRequest{Prefix: "v/", KeysOnly: kind == "sweep"}
				if kind == "poll" {
					req.MinModRevision = r.since + 1
				}
				r.result, _ = store.Range(ctx, req)
				delayed = append(delayed, r)
			case 4, 5:
				if len(delayed) > 0 {
					i := rapid.IntRange(0, len(delayed)-1).Draw(t, "late")
					deliver(t, c, delayed[i])
				}
			case 6:
				if d, ok := other.Delta(c.FullRevision()); ok {
					delta = &d
				} else {
					d := other.FullDelta()
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
				t.Fatalf("full revision %d, put revision %d, previous put revision %d; want full <= put and put >= previous put", c.FullRevision(), c.Revision(), before)
			}
			checkPuts(t, store, c)
			checkNotResurrected(t, removed[c], snapshot, c)
		}
		for _, c := range caches {
			deliverEventsUpTo(t, store, c, store.Revision())
			want, _ := store.Range(ctx, kvstore.RangeRequest{Prefix: "v/"})
			if got := len(c.Prefix("v/")); got != len(want.Pairs) {
				t.Fatalf("cache has %d keys, want %d", got, len(want.Pairs))
			}
			for _, p := range want.Pairs {
				if e, ok := c.Get(p.Key); !ok || e.ModRevision != p.ModRevision || string(e.Value) != string(p.Value) {
					t.Fatalf("%s: cache has %+v, want %+v", p.Key, e, p)
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
			t.Fatalf("put of %s at revision %d is missing in a cache with put revision %d, which has %+v", p.Key, p.ModRevision, c.Revision(), e)
		}
	}
}

// checkNotResurrected records the keys that the last step removed, with the revisions of their last puts. It verifies
// that a removed key is in the cache again only after a newer put.
func checkNotResurrected(t *rapid.T, removed map[string]int64, before *Snapshot, c *Cache) {
	for _, key := range before.Keys("v/") {
		e, _ := before.Get(key)
		if _, ok := c.Get(key); !ok {
			removed[key] = e.ModRevision
		}
	}
	for _, key := range c.Prefix("v/") {
		if e, _ := c.Get(key); e.ModRevision <= removed[key] {
			t.Fatalf("%s is in the cache again with the put at revision %d, which was removed before", key, e.ModRevision)
		}
	}
}

// deliverEventsUpTo applies the watch events after the full revision of the cache up to revision upTo.
func deliverEventsUpTo(t *rapid.T, store *kv.Store, c *Cache, upTo int64) {
	var all kvstore.WatchBatch
	end := errors.New("end")
	// The callback ends the watch after the first batch, which contains all existing events. This put makes sure that
	// there is an event; otherwise the watch would wait for one.
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

// deliver applies a delayed answer to the cache.
func deliver(t *rapid.T, c *Cache, r delayedAnswer) {
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
