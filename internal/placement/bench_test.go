package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/command"
	"github.com/foxtailpass/foxtailpass/internal/config"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

const benchModels = 57

// bench drives one Placer, confirms its writes and generates reports and demand.
type bench struct {
	p       *Placer
	now     time.Time
	rev     int64
	reports []wire.UpstreamReport
}

// newBench returns a Placer with the given numbers of ready adapters and replicas; every replica has a
// running request.
func newBench(adapters, replicas int) *bench {
	site := testSite(benchModels, 5000)
	for id, m := range site.Models {
		m.MaxReplicas = replicas
		m.Slots = 1
		m.Adapters = map[entity.AdapterID]config.Adapter{}
		site.Models[id] = m
	}
	for a := range adapters {
		site.Models[modelName(a%benchModels)].Adapters[entity.AdapterID(fmt.Sprint("a", a))] = config.Adapter{Bytes: 1}
	}
	x := &bench{now: time.Unix(1_700_000_000, 0)}
	self := config.HostRecord{ID: "h", Incarnation: "i", PeerAddr: "h:1", State: "live"}
	x.p = New(Options{Self: "h", Incarnation: "i", Rand: rand.New(rand.NewPCG(1, 1))})
	x.p.HandleSite(site, x.now)
	x.p.HandleHosts([]config.HostRecord{self}, nil, x.now)
	models := map[entity.ModelID]*ModelRecord{}
	for i := range replicas {
		x.addReplica(i, models, adapters, replicas)
	}
	for id, rec := range models {
		x.record(config.PlacementModelsPrefix+string(id), rec)
	}
	for id, rec := range models {
		x.p.HandleDemand("h", wire.Demand{Models: []wire.ModelDemand{{Model: id, Running: len(rec.Replicas)}}}, x.now)
	}
	for range 5 {
		x.tick()
	}
	return x
}

// addReplica adds an engine with a ready replica and ready adapters.
func (x *bench) addReplica(i int, models map[entity.ModelID]*ModelRecord, adapters, replicas int) {
	rec := engineRecord(i, 1000, true)
	m := modelName(i % benchModels)
	placement := UpstreamPlacement{MemoryBytes: 1000, Entries: []Entry{{ID: fmt.Sprint("x", i), Model: m, Bytes: 10, State: StateReady, Boot: "b", Seq: 1}}}
	report := wire.UpstreamReport{Upstream: rec.ID, Boot: "b", Seq: 1, MemoryBytes: 1000, Entries: []wire.ReportedEntry{{Model: m, State: StateReady, Bytes: 10}}}
	// The adapters of a model are distributed over its replicas.
	perModel := max(1, replicas/benchModels)
	for a := i % benchModels; a < adapters; a += benchModels {
		if (a/benchModels)%perModel != i/benchModels%perModel {
			continue
		}
		id := entity.AdapterID(fmt.Sprint("a", a))
		placement.Entries = append(placement.Entries, Entry{ID: fmt.Sprint("y", i, "-", a), Model: m, Adapter: id, Bytes: 1, State: StateReady, Boot: "b", Seq: 1})
		report.Entries = append(report.Entries, wire.ReportedEntry{Model: m, Adapter: id, State: StateReady, Bytes: 1})
	}
	if models[m] == nil {
		models[m] = &ModelRecord{}
	}
	models[m].Replicas = append(models[m].Replicas, rec.ID)
	models[m].Decided = len(models[m].Replicas)
	x.reports = append(x.reports, report)
	x.p.HandleUpstreams([]config.UpstreamRecord{rec}, nil, x.now)
	x.p.HandleReport(report, x.now)
	x.record(config.PlacementUpstreamsPrefix+string(rec.ID), &placement)
}

// record passes a record to the Placer as an update of the view.
func (x *bench) record(key string, v any) {
	x.rev++
	x.p.HandleRecord(key, &kvstore.Pair{Key: key, Value: encode(v), ModRevision: x.rev}, x.now)
}

// tick runs one tick, confirms its writes immediately and returns their number.
func (x *bench) tick() int {
	x.now = x.now.Add(100 * time.Millisecond)
	x.p.HandleDemand("h", wire.Demand{}, x.now)
	writes := 0
	for _, c := range x.p.Tick(x.now) {
		if w, ok := c.(command.WriteRecords); ok {
			x.rev++
			writes++
			x.p.HandleWriteResult(w.ID, kvstore.TxnResult{Succeeded: true, Revision: x.rev}, nil, x.now)
		}
	}
	return writes
}

// change reports a new number of running requests for n upstreams and new demand for one model and one of its
// adapters.
func (x *bench) change(i, n int) {
	for k := range n {
		r := &x.reports[(i*n+k)%len(x.reports)]
		r.Seq++
		r.Running = i % 7
		x.p.HandleReport(*r, x.now)
	}
	m := modelName(i % benchModels)
	adapter := entity.AdapterID(fmt.Sprint("a", i%benchModels))
	waiting := len(x.p.models[m].rec.Replicas)
	x.p.HandleDemand("h", wire.Demand{Models: []wire.ModelDemand{{Model: m, Running: waiting}, {Model: m, Adapter: adapter, WaitingInteractive: i % 3, OldestDeadline: time.Second}}}, x.now)
}

// benchmarkTick measures ticks, each after the given number of changes of upstreams.
func benchmarkTick(b *testing.B, adapters, replicas, changes int) {
	x := newBench(adapters, replicas)
	writes := 0
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		if changes > 0 {
			x.change(i, changes)
		}
		writes += x.tick()
	}
	b.ReportMetric(float64(writes)/float64(b.N), "writes/op")
}

// TestTickCostFollowsChanges guards against a tick that iterates over all models and upstreams. With the same
// changes, 15 times as many replicas may at most double the allocations. Allocations serve as the measure of
// work because they do not depend on the machine.
func TestTickCostFollowsChanges(t *testing.T) {
	allocs := func(adapters, replicas int) float64 {
		x := newBench(adapters, replicas)
		i := 0
		return testing.AllocsPerRun(300, func() {
			x.change(i, 10)
			x.tick()
			i++
		})
	}
	if small, large := allocs(100, 20), allocs(1000, 300); large > 2*small {
		t.Errorf("a tick allocates %.0f times with 20 replicas and %.0f times with 300, want at most twice as many", small, large)
	}
}
