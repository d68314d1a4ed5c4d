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

// script drives one deciding Placer with records and reports that the test writes itself.
type script struct {
	t     *testing.T
	p     *Placer
	now   time.Time
	rev   int64
	place UpstreamPlacement
}

func newScript(t *testing.T, site *config.Site, engines ...config.UpstreamRecord) *script {
	x := &script{t: t, now: time.Unix(1_700_000_000, 0)}
	x.p = New(Options{Self: "h", Incarnation: "i", Rand: rand.New(rand.NewPCG(1, 1))})
	x.p.HandleSite(site, x.now)
	x.hosts(config.HostRecord{ID: "other", Incarnation: "o1", PeerAddr: "other:1", State: "live"})
	x.p.HandleUpstreams(engines, nil, x.now)
	return x
}

// hosts registers the deciding host and others that it cannot reach.
func (x *script) hosts(others ...config.HostRecord) {
	self := config.HostRecord{ID: "h", Incarnation: "i", PeerAddr: "h:1", State: "live"}
	x.p.HandleHosts(append(others, self), func(id entity.HostID) bool { return id == "h" }, x.now)
}

func (x *script) record(key string, v any) {
	x.rev++
	x.p.HandleRecord(key, &kvstore.Pair{Key: key, Value: encode(v), ModRevision: x.rev}, x.now)
}

// pass ticks for the duration, confirms every write through the view and accepts every order.
func (x *script) pass(d time.Duration) {
	for end := x.now.Add(d); x.now.Before(end); {
		x.now = x.now.Add(100 * time.Millisecond)
		x.p.HandleDemand("h", wire.Demand{}, x.now)
		x.run(x.p.Tick(x.now))
	}
}

func (x *script) run(cmds []command.Command) {
	for _, c := range cmds {
		switch c := c.(type) {
		case command.SendOrder:
			x.run(x.p.HandleOrderResult(c.Order.OrderID, command.OrderAccepted, x.now))
		case command.WriteRecords:
			x.confirm(c)
		}
	}
}

func (x *script) confirm(w command.WriteRecords) {
	x.rev++
	cmds := x.p.HandleWriteResult(w.ID, kvstore.TxnResult{Succeeded: true, Revision: x.rev}, nil, x.now)
	for _, op := range w.Txn.Success {
		pair := kvstore.Pair{Key: op.Key, Value: op.Value, ModRevision: x.rev}
		x.p.HandleRecord(op.Key, &pair, x.now)
		if op.Key == config.PlaceUpstreams+"e0" {
			x.place = UpstreamPlacement{}
			if err := json.Unmarshal(op.Value, &x.place); err != nil {
				x.t.Fatal(err)
			}
		}
	}
	x.run(cmds)
}

// report passes on a report of e0 with the given entries and applied orders.
func (x *script) report(boot string, seq uint64, applied []string, entries ...wire.ReportedEntry) {
	x.p.HandleReport(wire.UpstreamReport{Upstream: "e0", Boot: boot, Seq: seq, MemoryBytes: 40, AppliedOrders: applied, Entries: entries}, x.now)
}

func (x *script) demand(model entity.ModelID, interactive int) {
	x.p.HandleDemand("h", wire.Demand{Models: []wire.ModelDemand{{Model: model, WaitingInteractive: interactive, OldestDeadline: time.Minute}}}, x.now)
}

func (x *script) lists(id string) bool {
	for i := range x.place.Entries {
		for _, o := range x.place.Entries[i].Orders {
			if o.ID == id {
				return true
			}
		}
	}
	return false
}

// TestFenceIsLostAtRestart guards against freeing memory while an older load order can still reach an
// engine that forgets its fencing numbers when it restarts, and against never freeing it. Such an
// engine is declared as not checking them.
func TestFenceIsLostAtRestart(t *testing.T) {
	site := testSite(1, 2000)
	site.Placement.HoldMillis, site.Placement.IdleMillis = 1000, 1000
	x := newScript(t, site, engineRecord(0, 40, false))
	load := func(id string, fence int64, host entity.HostID, inc entity.Incarnation) SentOrder {
		return SentOrder{ID: id, Action: command.LoadModel, Fence: fence, Host: host, Incarnation: inc, Addr: string(host) + ":1"}
	}
	x.record(config.PlaceModels+"m0", ModelRecord{Decided: 1, Fence: 2, Replicas: []entity.UpstreamID{"e0"}})
	x.record(config.PlaceUpstreams+"e0", UpstreamPlacement{MemoryBytes: 40, Fence: 2, Entries: []Entry{{
		ID: "x", Model: "m0", Bytes: 10, State: StateLoading, Sends: 2,
		Orders: []SentOrder{load("x-1", 1, "other", "o1"), load("x-2", 2, "h", "i")},
	}}})
	x.demand("m0", 1)
	x.report("b1", 3, []string{"x-2"}, wire.ReportedEntry{Model: "m0", State: StateReady, OrderID: "x-2", Fence: 2, Bytes: 10})
	x.pass(time.Second)
	if len(x.place.Entries) != 1 || x.place.Entries[0].State != StateReady {
		t.Fatalf("the entry is not ready: %+v", x.place)
	}
	if !x.lists("x-1") {
		t.Fatalf("the order x-1, which can arrive after a restart, is no longer listed: %+v", x.place)
	}
	x.demand("m0", 0)
	x.report("b2", 1, nil)
	x.pass(10 * time.Second)
	if len(x.place.Entries) != 1 {
		t.Fatal("the entry is free although the new boot has seen no fence")
	}
	last := x.place.Entries[0].last()
	x.report("b2", 2, []string{last.ID})
	x.pass(10 * time.Second)
	if len(x.place.Entries) != 1 {
		t.Fatal("the entry is free although x-1 can still arrive at a later boot")
	}
	x.hosts(config.HostRecord{ID: "other", Incarnation: "o2", PeerAddr: "other:1", State: "live"})
	applied := []string{last.ID}
	for seq := uint64(3); seq < 6 && len(x.place.Entries) == 1; seq++ {
		x.pass(orderFlight)
		applied = append(applied, x.place.Entries[0].last().ID)
		x.report("b2", seq, applied)
		x.pass(time.Second)
	}
	if len(x.place.Entries) != 0 {
		t.Errorf("the entry is still reserved although no order can arrive: %+v", x.place)
	}
}

// TestSenderGone guards against memory that stays reserved for the orders of a dead process, and
// against taking a live process for dead because a former registration at its address has not expired.
func TestSenderGone(t *testing.T) {
	registration := func(id, inc, addr string) config.HostRecord {
		return config.HostRecord{ID: entity.HostID(id), Incarnation: entity.Incarnation(inc), PeerAddr: addr, State: "live"}
	}
	sender := registration("sender", "s1", "a:1")
	for _, c := range []struct {
		name string
		// hosts are the successive lists of registrations.
		hosts [][]config.HostRecord
		gone  string
		free  bool
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
		{"sender never seen", [][]config.HostRecord{{registration("x", "x1", "a:1")}}, "", true},
	} {
		x := newScript(t, testSite(1, 2000), engineRecord(0, 40, false))
		for _, list := range c.hosts {
			x.hosts(list...)
		}
		if host, inc, ok := strings.Cut(c.gone, "/"); ok {
			x.p.HandleGone(entity.HostID(host), entity.Incarnation(inc), x.now)
		}
		load := SentOrder{ID: "x-1", Action: command.LoadModel, Fence: 1, Host: "sender", Incarnation: "s1", Addr: "a:1"}
		unload := SentOrder{ID: "x-2", Action: command.UnloadModel, Fence: 2, Host: "h", Incarnation: "i", Addr: "h:1", Done: true}
		x.place = UpstreamPlacement{MemoryBytes: 40, Fence: 2, Entries: []Entry{{ID: "x", Model: "m0", Bytes: 10, State: StateUnloading, Sends: 2, Orders: []SentOrder{load, unload}}}}
		x.record(config.PlaceModels+"m0", ModelRecord{Decided: 1, Fence: 2, Replicas: []entity.UpstreamID{"e0"}})
		x.record(config.PlaceUpstreams+"e0", x.place)
		applied := []string{"x-2"}
		for seq := range uint64(3) {
			x.report("b1", seq+1, applied)
			x.pass(orderFlight + time.Second)
			if len(x.place.Entries) == 1 {
				applied = append(applied, x.place.Entries[0].last().ID)
			}
		}
		if free := len(x.place.Entries) == 0; free != c.free {
			t.Errorf("%s: memory is free: %v, want %v; %+v", c.name, free, c.free, x.place)
		}
	}
}
