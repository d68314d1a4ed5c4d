package placement

import (
	"encoding/json"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/command"
	"github.com/foxtailpass/foxtailpass/internal/config"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

// script drives one Placer that is the decider with records and reports that the test provides.
type script struct {
	t         *testing.T
	p         *Placer
	now       time.Time
	rev       int64
	placement UpstreamPlacement
}

func newScript(t *testing.T, site *config.Site, engines ...config.UpstreamRecord) *script {
	x := &script{t: t, now: time.Unix(1_700_000_000, 0)}
	x.p = New(Options{Self: "h", Incarnation: "i", Rand: rand.New(rand.NewPCG(1, 1))})
	x.p.HandleSite(site, x.now)
	x.hosts(config.HostRecord{ID: "other", Incarnation: "o1", PeerAddr: "other:1", State: "live"})
	x.p.HandleUpstreams(engines, nil, x.now)
	return x
}

// hosts registers the decider and other hosts that it cannot reach.
func (x *script) hosts(others ...config.HostRecord) {
	self := config.HostRecord{ID: "h", Incarnation: "i", PeerAddr: "h:1", State: "live"}
	x.p.HandleHosts(append(others, self), func(id entity.HostID) bool { return id == "h" }, x.now)
}

// record passes a record to the Placer as an update of the view.
func (x *script) record(key string, v any) {
	x.rev++
	x.p.HandleRecord(key, &kvstore.Pair{Key: key, Value: encode(v), ModRevision: x.rev}, x.now)
}

// runFor runs ticks for the duration. It confirms every write, also through the view, and accepts every order.
func (x *script) runFor(d time.Duration) {
	for end := x.now.Add(d); x.now.Before(end); {
		x.now = x.now.Add(100 * time.Millisecond)
		x.p.HandleDemand("h", wire.Demand{}, x.now)
		x.execute(x.p.Tick(x.now))
	}
}

// execute executes the commands of the Placer.
func (x *script) execute(cmds []command.Command) {
	for _, c := range cmds {
		switch c := c.(type) {
		case command.SendOrder:
			x.execute(x.p.HandleOrderResult(c.Order.OrderID, command.OrderAccepted, x.now))
		case command.WriteRecords:
			x.confirm(c)
		}
	}
}

// confirm reports a write as successful and keeps the placement of e0.
func (x *script) confirm(w command.WriteRecords) {
	x.rev++
	cmds := x.p.HandleWriteResult(w.ID, kvstore.TxnResult{Succeeded: true, Revision: x.rev}, nil, x.now)
	for _, op := range w.Txn.Success {
		pair := kvstore.Pair{Key: op.Key, Value: op.Value, ModRevision: x.rev}
		x.p.HandleRecord(op.Key, &pair, x.now)
		if op.Key == config.PlacementUpstreamsPrefix+"e0" {
			x.placement = UpstreamPlacement{}
			if err := json.Unmarshal(op.Value, &x.placement); err != nil {
				x.t.Fatal(err)
			}
		}
	}
	x.execute(cmds)
}

// report passes a report of e0 with the given entries and applied orders to the Placer.
func (x *script) report(boot string, seq uint64, applied []string, entries ...wire.ReportedEntry) {
	x.p.HandleReport(wire.UpstreamReport{Upstream: "e0", Boot: boot, Seq: seq, MemoryBytes: 40, AppliedOrders: applied, Entries: entries}, x.now)
}

// demand reports waiting interactive requests for the model.
func (x *script) demand(model entity.ModelID, interactive int) {
	x.p.HandleDemand("h", wire.Demand{Models: []wire.ModelDemand{{Model: model, WaitingInteractive: interactive, OldestDeadline: time.Minute}}}, x.now)
}

// hasOrder reports whether the order is recorded in the placement of e0.
func (x *script) hasOrder(id string) bool {
	for i := range x.placement.Entries {
		for _, o := range x.placement.Entries[i].Orders {
			if o.ID == id {
				return true
			}
		}
	}
	return false
}

// TestFencesForgottenAtRestart uses an engine that forgets its fencing tokens when it restarts and is
// therefore declared as not checking them. It guards against freeing an entry while an older load order can
// still reach the engine, and against never freeing it.
func TestFencesForgottenAtRestart(t *testing.T) {
	site := testSite(1, 2000)
	site.Placement.HoldMillis, site.Placement.IdleMillis = 1000, 1000
	x := newScript(t, site, engineRecord(0, 40, false))
	load := func(id string, fence int64, host entity.HostID, inc entity.Incarnation) RecordedOrder {
		return RecordedOrder{ID: id, Action: command.LoadModel, Fence: fence, Host: host, Incarnation: inc, Addr: string(host) + ":1"}
	}
	x.record(config.PlacementModelsPrefix+"m0", ModelRecord{Decided: 1, Fence: 2, Replicas: []entity.UpstreamID{"e0"}})
	x.record(config.PlacementUpstreamsPrefix+"e0", UpstreamPlacement{MemoryBytes: 40, Fence: 2, Entries: []Entry{{
		ID: "x", Model: "m0", Bytes: 10, State: StateLoading, OrderCount: 2,
		Orders: []RecordedOrder{load("x-1", 1, "other", "o1"), load("x-2", 2, "h", "i")},
	}}})
	x.demand("m0", 1)
	x.report("b1", 3, []string{"x-2"}, wire.ReportedEntry{Model: "m0", State: StateReady, OrderID: "x-2", Fence: 2, Bytes: 10})
	x.runFor(time.Second)
	if len(x.placement.Entries) != 1 || x.placement.Entries[0].State != StateReady {
		t.Fatalf("the entry is not ready: %+v", x.placement)
	}
	if !x.hasOrder("x-1") {
		t.Fatalf("the order x-1, which can arrive after a restart, is no longer recorded: %+v", x.placement)
	}
	x.demand("m0", 0)
	x.report("b2", 1, nil)
	x.runFor(10 * time.Second)
	if len(x.placement.Entries) != 1 {
		t.Fatal("the entry was freed although the new boot has received no order of the entry")
	}
	last := x.placement.Entries[0].last()
	x.report("b2", 2, []string{last.ID})
	x.runFor(10 * time.Second)
	if len(x.placement.Entries) != 1 {
		t.Fatal("the entry was freed although x-1 can still arrive at a later boot")
	}
	x.hosts(config.HostRecord{ID: "other", Incarnation: "o2", PeerAddr: "other:1", State: "live"})
	applied := []string{last.ID}
	for seq := uint64(3); seq < 6 && len(x.placement.Entries) == 1; seq++ {
		x.runFor(maxOrderFlight)
		applied = append(applied, x.placement.Entries[0].last().ID)
		x.report("b2", seq, applied)
		x.runFor(time.Second)
	}
	if len(x.placement.Entries) != 0 {
		t.Errorf("the entry is still reserved although no order can arrive: %+v", x.placement)
	}
}

// TestSenderGone guards against memory that stays reserved for the orders of a process that no longer exists.
// It also guards against taking a running process for one that has ended because an older registration at its
// address has not expired.
func TestSenderGone(t *testing.T) {
	registration := func(id, inc, addr string) config.HostRecord {
		return config.HostRecord{ID: entity.HostID(id), Incarnation: entity.Incarnation(inc), PeerAddr: addr, State: "live"}
	}
	sender := registration("sender", "s1", "a:1")
	for _, c := range []struct {
		name string
		// hosts are the successive lists of registered hosts; confirmed is the process, as host/incarnation,
		// whose end an operator confirms; freed is whether the entry must be freed.
		hosts     [][]config.HostRecord
		confirmed string
		freed     bool
	}{
		{"sender is registered", [][]config.HostRecord{{sender}}, "", false},
		{"lease of the sender has expired", [][]config.HostRecord{{sender}, {}}, "", false},
		{"operator confirmed", [][]config.HostRecord{{sender}, {}}, "sender/s1", true},
		{"operator confirmed another incarnation", [][]config.HostRecord{{sender}, {}}, "sender/s0", false},
		{"newer incarnation at the same address", [][]config.HostRecord{{sender}, {registration("sender", "s2", "a:1")}}, "", true},
		{"newer incarnation at another address", [][]config.HostRecord{{sender}, {registration("sender", "s2", "b:1")}}, "", false},
		{"newer host at the address", [][]config.HostRecord{{sender}, {registration("x", "x1", "a:1")}}, "", true},
		{"newer host at the address before the lease expired", [][]config.HostRecord{{sender}, {sender, registration("x", "x1", "a:1")}}, "", true},
		{"newer host listed first", [][]config.HostRecord{{sender}, {registration("x", "x1", "a:1"), sender}}, "", true},
		{"newer host at another address", [][]config.HostRecord{{sender}, {registration("x", "x1", "c:1")}}, "", false},
		{"older host at the address", [][]config.HostRecord{{registration("x", "x1", "a:1")}, {registration("x", "x1", "a:1"), sender}}, "", false},
		{"older host listed last", [][]config.HostRecord{{registration("x", "x1", "a:1")}, {sender, registration("x", "x1", "a:1")}}, "", false},
		{"older host outlives the registration", [][]config.HostRecord{{registration("x", "x1", "a:1")}, {sender, registration("x", "x1", "a:1")}, {registration("x", "x1", "a:1")}}, "", false},
		{"order of registration unknown", [][]config.HostRecord{{sender, registration("x", "x1", "a:1")}}, "", false},
		{"order of registration unknown, listed last", [][]config.HostRecord{{registration("x", "x1", "a:1"), sender}}, "", false},
		{"sender never registered", [][]config.HostRecord{{registration("x", "x1", "a:1")}}, "", true},
	} {
		x := newScript(t, testSite(1, 2000), engineRecord(0, 40, false))
		for _, list := range c.hosts {
			x.hosts(list...)
		}
		if host, inc, ok := strings.Cut(c.confirmed, "/"); ok {
			x.p.ConfirmProcessEnded(entity.HostID(host), entity.Incarnation(inc), x.now)
		}
		load := RecordedOrder{ID: "x-1", Action: command.LoadModel, Fence: 1, Host: "sender", Incarnation: "s1", Addr: "a:1"}
		unload := RecordedOrder{ID: "x-2", Action: command.UnloadModel, Fence: 2, Host: "h", Incarnation: "i", Addr: "h:1", Done: true}
		x.placement = UpstreamPlacement{MemoryBytes: 40, Fence: 2, Entries: []Entry{{ID: "x", Model: "m0", Bytes: 10, State: StateUnloading, OrderCount: 2, Orders: []RecordedOrder{load, unload}}}}
		x.record(config.PlacementModelsPrefix+"m0", ModelRecord{Decided: 1, Fence: 2, Replicas: []entity.UpstreamID{"e0"}})
		x.record(config.PlacementUpstreamsPrefix+"e0", x.placement)
		applied := []string{"x-2"}
		for seq := range uint64(3) {
			x.report("b1", seq+1, applied)
			x.runFor(maxOrderFlight + time.Second)
			if len(x.placement.Entries) == 1 {
				applied = append(applied, x.placement.Entries[0].last().ID)
			}
		}
		if freed := len(x.placement.Entries) == 0; freed != c.freed {
			t.Errorf("%s: entry freed: %v, want %v; placement: %+v", c.name, freed, c.freed, x.placement)
		}
	}
}
