package edge

import (
	"fmt"
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/dispatch"
	"github.com/foxtailpass/foxtailpass/internal/election"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/fleet"
	"github.com/foxtailpass/foxtailpass/internal/swap"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

// newCoreWithUpstreams returns a test core that knows plain upstreams of one service.
func newCoreWithUpstreams(ids ...entity.UpstreamID) *core {
	c := newTestCore()
	var put []*fleet.Upstream
	for _, id := range ids {
		put = append(put, &fleet.Upstream{Incarnation: fleet.Incarnation{ID: id, BornMillis: 5}, Service: "s", Addr: string(id), Domain: "a", Slots: 8})
	}
	c.handle(upstreamsChanged{put: put}, testStart)
	return c
}

// sendPlainRequest handles the arrival of a request of an unlimited workspace and returns its next step, if any.
func sendPlainRequest(c *core, at time.Time) (step, bool) {
	requestCount++
	queue := newStepQueue()
	r := &dispatch.Request{ID: entity.RequestID(fmt.Sprint("plain-", requestCount)), Arrived: at, Deadline: at.Add(2 * time.Second),
		Route: &catalog.Route{Kind: catalog.Idempotent, TargetLatency: 500 * time.Millisecond, MaxAttempts: 2}, Pool: dispatch.Pool{Service: "s"}}
	c.handle(requestArrived{request: r, stepQueue: queue}, at)
	select {
	case st := <-queue.steps:
		return st, true
	default:
		return step{}, false
	}
}

var requestCount int

func namedLimit(perSecond float64) upstreamStatusReceived {
	return upstreamStatusReceived{upstream: "u", bornMillis: 5, final: true,
		status: dispatch.StatusReport{Limit: dispatch.RequestLimit{Named: true, PerSecond: perSecond}}}
}

// Guards against a host that goes on sending after it has received an answer with a request limit, until others agree:
// it holds back at once, with and without a coordinator. A coordinator of an older build keeps no limits.
func TestHostHoldsBackAtOnce(t *testing.T) {
	for _, coordinator := range []string{"none", "older build"} {
		c := newCoreWithUpstreams("u")
		if coordinator == "older build" {
			s, _ := newTestSession(t)
			c.handle(coordinatorLinkChanged{session: s, up: true}, testStart)
			c.handle(hostStateReceived{state: &wire.HostState{}}, testStart)
		}
		if st, ok := sendPlainRequest(c, testStart); !ok || st.target == nil {
			t.Fatalf("coordinator %s: the request before the limit was not sent", coordinator)
		}
		c.handle(namedLimit(1.1), testStart)
		for range 5 {
			if st, ok := sendPlainRequest(c, testStart); ok && st.target != nil {
				t.Errorf("coordinator %s: a request was sent after the limit was named and before any was granted", coordinator)
			}
		}
	}
}

// Guards against a limit that stays with the host that has received it: the coordinator passes it on, and a host that
// has received nothing from the upstream holds back too.
func TestRequestLimitIsPassedOn(t *testing.T) {
	c := newCoreWithUpstreams("u")
	s, received := newTestSession(t)
	c.handle(leaseChanged{lease: &election.CoordinatorLease{Token: 3, From: testStart}}, testStart)
	c.handle(reportReceived{report: &wire.HostReport{Host: "other", First: true, KeepsRequestLimits: true}, session: s}, testStart)
	limit := wire.RequestLimit{Upstream: "u", BornMillis: 5, PerSecond: 1.1}
	c.handle(reportReceived{report: &wire.HostReport{Host: "other", KeepsRequestLimits: true, RequestLimits: []wire.RequestLimit{limit}}, session: s}, testStart)
	c.tick(testStart.Add(time.Second))
	if !c.requestLimits.Limited("u", 5) {
		t.Error("the host of the coordinator does not know the limit that another host has reported")
	}
	for {
		select {
		case m := <-received:
			if n, ok := m.(*wire.UpstreamNotices); ok && len(n.Limits) == 1 && n.Limits[0].PerSecond == 1.1 {
				return
			}
		case <-time.After(2 * time.Second):
			t.Fatal("the limit was not sent to the other host")
		}
	}
}

// Guards against orders to an engine beyond its request limit, and against orders during a back-off that it has
// requested of this host.
func TestOrdersRespectStatusOfEngine(t *testing.T) {
	c := newCoreWithUpstreams("u", "v")
	c.handle(leaseChanged{lease: &election.CoordinatorLease{Token: 3, From: testStart}}, testStart)
	c.handle(namedLimit(1), testStart)
	c.tick(testStart.Add(10 * time.Millisecond))
	if c.mayContact("u", 5, testStart.Add(20*time.Millisecond)) {
		t.Error("the coordinator contacts an upstream whose limit has just been named and allows no request yet")
	}
	c.handle(upstreamStatusReceived{upstream: "v", bornMillis: 5, status: dispatch.StatusReport{BackOff: time.Second}}, testStart)
	if c.mayContact("v", 5, testStart.Add(900*time.Millisecond)) {
		t.Error("the coordinator contacts an upstream during its back-off")
	}
	if !c.mayContact("v", 5, testStart.Add(1100*time.Millisecond)) || c.mayContact("v", 6, testStart.Add(900*time.Millisecond)) != true {
		t.Error("the back-off outlasts its end, or applies to another incarnation")
	}
}

// orderRecorder records the orders that are sent, and the number of reports that are read and not answered.
type orderRecorder struct {
	noEffects
	orders []swap.Order
	reads  int
}

func (r *orderRecorder) order(o swap.Order, _ int64)      { r.orders = append(r.orders, o) }
func (r *orderRecorder) readEngineReport(*fleet.Upstream) { r.reads++ }

// Guards against an order that is neither sent nor reported as not sent, because it was deferred while others were
// answered: the coordinator would wait for its answer for good and give the engine no orders any more.
func TestDeferredOrdersAreAnswered(t *testing.T) {
	c := newTestCore()
	recorder := &orderRecorder{}
	c.effects = recorder
	c.handle(catalogChanged{catalog: catalog.New(catalog.Document{Version: 2, Services: []*catalog.Service{{ID: "s", Engine: &catalog.Engine{
		Slots: 8, WeightsMB: 1000, Models: map[entity.ModelID]*catalog.Model{"m": {ID: "m", SizeMB: 100, DiskLoad: 100 * time.Millisecond, StoreLoad: time.Second}}}}}})}, testStart)
	engine := &fleet.Upstream{Incarnation: fleet.Incarnation{ID: "u", BornMillis: 5}, Service: "s", Addr: "u", Domain: "a", Slots: 8, OnDisk: []entity.ModelID{"m"}}
	c.handle(upstreamsChanged{put: []*fleet.Upstream{engine}}, testStart)
	c.handle(leaseChanged{lease: &election.CoordinatorLease{Token: 3, From: testStart}}, testStart)
	answerReads := func(now time.Time) {
		for ; recorder.reads > 0; recorder.reads-- {
			c.handle(engineReportRead{upstream: engine.Incarnation, report: swap.Report{OnDisk: []entity.ModelID{"m"}}}, now)
		}
	}
	answerReads(testStart)
	c.handle(upstreamStatusReceived{upstream: "u", bornMillis: 5, status: dispatch.StatusReport{BackOff: 2 * time.Second}}, testStart)
	s, _ := newTestSession(t)
	demand := wire.PoolDemand{Service: "s", Model: "m", Waiting: 1, TimeToTarget: 10 * time.Second}
	first := true
	for now := testStart.Add(time.Millisecond); now.Before(testStart.Add(6 * time.Second)); now = now.Add(10 * time.Millisecond) {
		c.handle(reportReceived{report: &wire.HostReport{Host: "other", First: first, KeepsRequestLimits: true, PoolDemands: []wire.PoolDemand{demand}}, session: s}, now)
		first = false
		c.tick(now)
		answerReads(now)
		if now.Before(testStart.Add(2*time.Second)) && len(recorder.orders) > 0 {
			t.Fatalf("an order was sent %v after the engine had requested a back-off of 2 s", now.Sub(testStart))
		}
	}
	if len(recorder.orders) == 0 {
		t.Error("no order was sent after the back-off of the engine")
	}
}

// Guards against an upstream that leaves and is still preferred by the hosts that it has not told, and loaded by the
// coordinator: only its entry in the list and what a host has received itself exclude it.
func TestDrainingUpstreamIsAvoidedElsewhere(t *testing.T) {
	c := newCoreWithUpstreams("u", "v")
	s, _ := newTestSession(t)
	c.handle(leaseChanged{lease: &election.CoordinatorLease{Token: 3, From: testStart}}, testStart)
	status := wire.UpstreamStatus{UpstreamRef: wire.UpstreamRef{Upstream: "u", BornMillis: 5}, Draining: true}
	report := func(first bool) {
		c.handle(reportReceived{report: &wire.HostReport{Host: "other", First: first, KeepsRequestLimits: true, Statuses: []wire.UpstreamStatus{status}}, session: s}, testStart)
	}
	report(true)
	now := testStart.Add(time.Second)
	c.tick(now)
	for range 6 {
		if st, ok := sendPlainRequest(c, now); !ok || st.target == nil || st.target.ID != "v" {
			t.Fatalf("step %+v, want an attempt at the upstream that stays", st)
		}
	}
	if !c.coordinator.statuses.avoided(2, now)["u"] {
		t.Error("the coordinator may still load models at the upstream that leaves")
	}
	if c.scheduler.IsDraining("u") {
		t.Error("the word of another host excludes an upstream, want only that others are preferred")
	}
}

// Guards against loads at an engine that wants no requests of several hosts, and against one host that keeps the
// coordinator from using an engine.
func TestBackingOffEngineIsAvoided(t *testing.T) {
	table := newStatusTable()
	statuses := []wire.UpstreamStatus{{UpstreamRef: wire.UpstreamRef{Upstream: "u", BornMillis: 5}, BackOff: 3 * time.Second}}
	table.record("a", statuses, testStart)
	if table.avoided(3, testStart)["u"] {
		t.Error("an engine is avoided because of one host of three")
	}
	table.record("b", statuses, testStart)
	if !table.avoided(3, testStart)["u"] {
		t.Error("an engine that backs off two hosts is not avoided")
	}
	table.record("b", nil, testStart)
	if table.avoided(3, testStart)["u"] {
		t.Error("a back-off outlasts the report that no longer lists it")
	}
}
