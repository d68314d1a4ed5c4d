// Package capacity measures the slopes from which docs/CAPACITY.md is calculated: what one more host, upstream,
// adapter, workspace, key or request costs. Every line of that page names the benchmark that its figures come from.
package capacity

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/foxtailpass/foxtailpass/internal/config"
	"github.com/foxtailpass/foxtailpass/internal/control"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
	"github.com/foxtailpass/foxtailpass/internal/limits"
	"github.com/foxtailpass/foxtailpass/internal/placement"
	"github.com/foxtailpass/foxtailpass/internal/schedule"
	"github.com/foxtailpass/foxtailpass/internal/view"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

// baseDocument returns a base document with the given numbers of models, adapters and workspaces.
func baseDocument(models, adapters, workspaces int) []byte {
	var d struct {
		Models     map[string]any `json:"models"`
		Workspaces map[string]any `json:"workspaces"`
	}
	d.Models = make(map[string]any)
	d.Workspaces = make(map[string]any)
	for i := range models {
		list := make(map[string]any)
		for j := i; j < adapters; j += models {
			list[fmt.Sprintf("adapter-%04d", j)] = map[string]any{"bytes": 50_000_000}
		}
		d.Models[fmt.Sprintf("model-%03d", i)] = map[string]any{"bytes": 16_000_000_000, "cold_start_ms": 8000, "max_replicas": 64, "adapters": list}
	}
	for i := range workspaces {
		d.Workspaces[fmt.Sprintf("workspace-%03d", i)] = map[string]any{"rate_tokens_per_s": 1e7, "burst_tokens": 1e8, "models": []string{"*"}}
	}
	data, err := json.Marshal(d)
	if err != nil {
		panic(err)
	}
	return data
}

func compile(b *testing.B, models, adapters, workspaces int) *config.Site {
	b.Helper()
	site, err := config.Compile("local", 1, baseDocument(models, adapters, workspaces), nil)
	if err != nil {
		b.Fatal(err)
	}
	return site
}

// liveHeap returns the size of the live heap in bytes after a garbage collection.
func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkCompile measures the time to merge and check a configuration, and its size in memory and as a
// document.
func BenchmarkCompile(b *testing.B) {
	for _, adapters := range []int{100, 1000, 6000} {
		b.Run(fmt.Sprintf("adapters=%d", adapters), func(b *testing.B) {
			data := baseDocument(57, adapters, 50)
			for b.Loop() {
				if _, err := config.Compile("local", 1, data, []byte(`{"limits":{"max_attempts":2}}`)); err != nil {
					b.Fatal(err)
				}
			}
			before := liveHeap()
			site := compile(b, 57, adapters, 50)
			b.ReportMetric(float64(liveHeap()-before)/float64(adapters), "heapB/adapter")
			b.ReportMetric(float64(len(data)), "docB")
			runtime.KeepAlive(site)
		})
	}
}

// BenchmarkKeyTable measures the memory per key and the time of a lookup.
func BenchmarkKeyTable(b *testing.B) {
	for _, n := range []int{1000, 10000} {
		b.Run(fmt.Sprintf("keys=%d", n), func(b *testing.B) {
			var pairs []kvstore.Pair
			for i := range n {
				value, _ := json.Marshal(config.KeyRecord{ID: entity.KeyID(fmt.Sprintf("k-%016d", i)), Workspace: "workspace-001", Issued: time.Now()})
				pairs = append(pairs, kvstore.Pair{Key: config.KeysPrefix + fmt.Sprintf("%064x", i), Value: value, ModRevision: int64(i + 1)})
			}
			before := liveHeap()
			table, err := config.NewKeyTable(pairs)
			if err != nil {
				b.Fatal(err)
			}
			perKey := float64(liveHeap()-before) / float64(n)
			for b.Loop() {
				table.Lookup([]byte("fxp_0123456789012345678901234567890123456789"))
			}
			b.ReportMetric(perKey, "heapB/key")
			runtime.KeepAlive(pairs)
		})
	}
}

// BenchmarkView measures the time to apply one change to a view with the given number of keys, and the
// memory per key.
func BenchmarkView(b *testing.B) {
	for _, n := range []int{1000, 10000} {
		b.Run(fmt.Sprintf("keys=%d", n), func(b *testing.B) {
			value := []byte(strings.Repeat("x", 200))
			before := liveHeap()
			c := view.NewCache(4096)
			batch := kvstore.WatchBatch{Revision: int64(n), ClusterID: 1}
			for i := range n {
				batch.Events = append(batch.Events, kvstore.Event{Pair: kvstore.Pair{Key: fmt.Sprintf("v/place/upstream/%06d", i), Value: append([]byte(nil), value...), ModRevision: int64(i + 1)}})
			}
			if _, err := c.Apply(batch); err != nil {
				b.Fatal(err)
			}
			batch = kvstore.WatchBatch{}
			perKey := float64(liveHeap()-before) / float64(n)
			rev := int64(n)
			for b.Loop() {
				rev++
				ev := kvstore.Event{Pair: kvstore.Pair{Key: "v/place/upstream/000001", Value: value, ModRevision: rev}}
				if _, err := c.Apply(kvstore.WatchBatch{Events: []kvstore.Event{ev}, Revision: rev, ClusterID: 1}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(perKey, "heapB/key")
			runtime.KeepAlive(c)
		})
	}
}

// frameSize returns the size in bytes of a message in a frame. The frame adds 6 bytes for length, version
// and kind.
func frameSize(b *testing.B, m wire.Message) float64 {
	b.Helper()
	data, err := msgpack.Marshal(m)
	if err != nil {
		b.Fatal(err)
	}
	return float64(len(data) + 6)
}

// BenchmarkMessageBytes reports the sizes of the messages between hosts.
func BenchmarkMessageBytes(b *testing.B) {
	levels := func(n int) []wire.WorkspaceLevel {
		var out []wire.WorkspaceLevel
		for i := range n {
			out = append(out, wire.WorkspaceLevel{Workspace: entity.WorkspaceID(fmt.Sprintf("workspace-%03d", i)), Level: 1.5, UsedPerSecond: 2.5, DeficitPerSecond: 0.5})
		}
		return out
	}
	entries := func(n int) []wire.ReportedEntry {
		var out []wire.ReportedEntry
		for i := range n {
			out = append(out, wire.ReportedEntry{Model: "model-001", Adapter: entity.AdapterID(fmt.Sprintf("adapter-%04d", i)), State: "ready", OrderID: "0123456789abcdef-12", Fence: 7, Bytes: 5e7})
		}
		return out
	}
	beat := &wire.Heartbeat{Seq: 1e6, AckSeq: 1e6, AckIncarnation: "0123456789abcdef", Revision: 1e6, ConfirmedAge: 1e6}
	full := *beat
	full.Levels = levels(100)
	load := wire.UpstreamLoad{Upstream: "engine-0001", Requests: 17, Age: 1e6}
	for b.Loop() {
		_ = frameSize(b, beat)
	}
	b.ReportMetric(frameSize(b, beat), "heartbeatB")
	b.ReportMetric((frameSize(b, &full)-frameSize(b, beat))/100, "heartbeatB/workspace")
	b.ReportMetric(frameSize(b, &wire.Loads{Loads: []wire.UpstreamLoad{load}}), "loadB")
	b.ReportMetric(frameSize(b, &wire.Reports{Reports: []wire.UpstreamReport{{Upstream: "engine-0001", Boot: "0123456789abcdef", Entries: entries(1)}}}), "reportB")
	one := frameSize(b, &wire.Reports{Reports: []wire.UpstreamReport{{Entries: entries(1)}}})
	b.ReportMetric((frameSize(b, &wire.Reports{Reports: []wire.UpstreamReport{{Entries: entries(51)}}})-one)/50, "reportB/entry")
	b.ReportMetric(frameSize(b, &wire.Demand{Models: []wire.ModelDemand{{Model: "model-001", Adapter: "adapter-0001", WaitingInteractive: 3, Running: 4, OldestDeadline: 1e9}}}), "demandB")
	b.ReportMetric(frameSize(b, &wire.LoanRequest{ID: 1e6, Workspace: "workspace-001", Tokens: 100}), "loanB")
}

// BenchmarkShareRecord reports the size of the share record of a workspace for different numbers of hosts.
func BenchmarkShareRecord(b *testing.B) {
	for _, hosts := range []int{8, 100, 700} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			rec := limits.Record{Attempt: "0123456789abcdef-12"}
			for i := range hosts {
				rec.Holders = append(rec.Holders, limits.Holder{Host: entity.HostID(fmt.Sprintf("host-%03d", i)), Incarnation: "0123456789abcdef", Addr: "10.0.0.1:7000", Units: 1000})
			}
			var data []byte
			for b.Loop() {
				data, _ = json.Marshal(rec)
			}
			b.ReportMetric(float64(len(data)), "recordB")
		})
	}
}

// BenchmarkPlacementRecord reports the size of an empty placement record of an upstream and the size per entry.
func BenchmarkPlacementRecord(b *testing.B) {
	size := func(entries int) float64 {
		rec := placement.UpstreamPlacement{}
		for i := range entries {
			rec.Entries = append(rec.Entries, placement.Entry{
				ID: "0123456789abcdef-12", Model: "model-001", Adapter: entity.AdapterID(fmt.Sprintf("adapter-%04d", i)), Bytes: 5e7, State: placement.StateReady,
				Orders: []placement.RecordedOrder{{ID: "0123456789abcdef-12-1", Fence: 12, Host: "host-001", Incarnation: "0123456789abcdef", Addr: "10.0.0.1:7000"}},
			})
		}
		data, err := json.Marshal(rec)
		if err != nil {
			b.Fatal(err)
		}
		return float64(len(data))
	}
	for b.Loop() {
		_ = size(10)
	}
	b.ReportMetric(size(0), "recordB")
	b.ReportMetric((size(20)-size(0))/20, "recordB/entry")
}

// countingCaller is the handler of a request to which the control state passes its decisions. It only counts them:
// the dispatched attempts, and the refusals and cancellations.
type countingCaller struct{ dispatched, refused int }

func (c *countingCaller) StartClaim()                             {}
func (c *countingCaller) Dispatch(entity.UpstreamID, string, int) { c.dispatched++ }
func (c *countingCaller) Refuse(entity.Refusal)                   { c.refused++ }
func (c *countingCaller) CancelAttempt(entity.Refusal)            { c.refused++ }

// newCore returns the control state of a host that is the only host of its site, with the given number of plain
// upstreams of one kind.
func newCore(b *testing.B, site *config.Site, upstreams int) (*control.Core, time.Time) {
	b.Helper()
	now := time.Unix(1_000_000, 0)
	rng := rand.New(rand.NewPCG(1, 2))
	c := control.NewCore(control.Options{
		Self:      "host-1",
		Throttler: limits.New(limits.Options{Self: "host-1", Incarnation: "i", Addr: "a", Rand: rng}),
		Placer:    placement.New(placement.Options{Self: "host-1", Incarnation: "i", Rand: rng}),
		Scheduler: func(ready func(schedule.PoolID, time.Time) (time.Duration, bool)) *schedule.Scheduler {
			return schedule.New(schedule.Options{Rand: rng, ReadyIn: ready})
		},
	})
	var changes []control.KeyChange
	for i := range upstreams {
		value, _ := json.Marshal(config.UpstreamRecord{Kind: "orders", Addr: "127.0.0.1:1", State: config.UpstreamLive})
		key := fmt.Sprintf("%splain-%04d", config.UpstreamsPrefix, i)
		changes = append(changes, control.KeyChange{Key: key, Pair: &kvstore.Pair{Key: key, Value: value, ModRevision: int64(i + 1)}})
	}
	c.Handle(control.ViewChanged{Changes: changes}, now)
	c.Handle(control.SiteChanged{Site: site}, now)
	return c, now
}

// BenchmarkControlRequest measures the time that the control state spends on one request of an open route: the
// arrival, the choice of an upstream and the end.
func BenchmarkControlRequest(b *testing.B) {
	for _, upstreams := range []int{3, 22, 200, 2000} {
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) {
			site := compile(b, 57, 100, 5)
			site.Routes = map[string]config.Route{"/orders/": {UpstreamKind: "orders", Open: true, Idempotent: true, TimeoutMillis: 1000}}
			c, now := newCore(b, site, upstreams)
			cl := &countingCaller{}
			i := 0
			for b.Loop() {
				i++
				id := entity.RequestID(fmt.Sprint(i))
				now = now.Add(100 * time.Microsecond)
				r := &schedule.Request{ID: id, Pool: schedule.PoolID{Kind: "orders"}, Arrived: now, Deadline: now.Add(time.Second), Tokens: 1, Idempotent: true}
				c.Handle(control.Arrived{Request: r, RequestHandler: cl}, now)
				c.Handle(control.AttemptEnded{AttemptResult: schedule.AttemptResult{Request: id, Outcome: entity.Completed}}, now)
			}
			if cl.dispatched != i {
				b.Fatalf("the control state dispatched %d of %d requests, want all", cl.dispatched, i)
			}
		})
	}
}

// BenchmarkControlTick measures a tick of an idle control state for different sizes of its tables.
func BenchmarkControlTick(b *testing.B) {
	for _, n := range []struct{ adapters, upstreams int }{{100, 20}, {1000, 200}, {6000, 2000}} {
		b.Run(fmt.Sprintf("adapters=%d,upstreams=%d", n.adapters, n.upstreams), func(b *testing.B) {
			c, now := newCore(b, compile(b, 57, n.adapters, 50), n.upstreams)
			for b.Loop() {
				now = now.Add(10 * time.Millisecond)
				c.Handle(control.Tick{}, now)
			}
		})
	}
}

// BenchmarkQueuedRequest reports the memory of a request in the queue of the scheduler, without its body and its
// connection.
func BenchmarkQueuedRequest(b *testing.B) {
	const n = 10000
	rng := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1_000_000, 0)
	for b.Loop() {
		s := schedule.New(schedule.Options{Rand: rng})
		site := compile(b, 1, 0, 5)
		site.Limits.QueueRequests = n
		s.SetSite(site, now)
		before := liveHeap()
		for i := range n {
			s.Enqueue(&schedule.Request{
				ID: entity.RequestID(fmt.Sprintf("%024d", i)), Workspace: "workspace-001", Pool: schedule.PoolID{Model: "model-000"},
				Arrived: now, Deadline: now.Add(time.Hour), Tokens: 1,
			}, now)
		}
		b.ReportMetric(float64(liveHeap()-before)/n, "heapB/request")
		runtime.KeepAlive(s)
	}
}
