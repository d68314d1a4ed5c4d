package control

import (
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/command"
	"github.com/foxtailpass/foxtailpass/internal/config"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
	"github.com/foxtailpass/foxtailpass/internal/limits"
	"github.com/foxtailpass/foxtailpass/internal/placement"
	"github.com/foxtailpass/foxtailpass/internal/schedule"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

var start = time.Unix(1000, 0)

// fakeHandler counts the claims and dispatches of a request and keeps its last refusals.
type fakeHandler struct {
	claimCount, dispatchCount int
	refusal, canceled         *entity.Refusal
}

func (f *fakeHandler) StartClaim()                             { f.claimCount++ }
func (f *fakeHandler) Dispatch(entity.UpstreamID, string, int) { f.dispatchCount++ }
func (f *fakeHandler) Refuse(r entity.Refusal)                 { f.refusal = &r }
func (f *fakeHandler) CancelAttempt(r entity.Refusal)          { f.canceled = &r }

// newTestCore returns the control state of host "a" with an engine, one plain service and a route to the
// service that needs no key.
func newTestCore(t *testing.T) *Core {
	t.Helper()
	rng := rand.New(rand.NewPCG(1, 2))
	c := NewCore(Options{
		Self:      "a",
		Throttler: limits.New(limits.Options{Self: "a", Incarnation: "a1", Addr: "a", Rand: rng}),
		Placer:    placement.New(placement.Options{Self: "a", Incarnation: "a1", Rand: rng}),
		Scheduler: func(ready func(schedule.PoolID, time.Time) (time.Duration, bool)) *schedule.Scheduler {
			return schedule.New(schedule.Options{Rand: rng, ReadyIn: ready})
		},
	})
	site, err := config.Compile("local", 1, []byte(`{
	  "models": {"m": {"bytes": 1, "cold_start_ms": 1000}},
	  "routes": {"/open/": {"upstream_kind": "plain", "open": true, "idempotent": true}}}`), nil)
	if err != nil {
		t.Fatal(err)
	}
	c.Handle(ViewChanged{Changes: []KeyChange{
		recordChange(config.UpstreamsPrefix+"p", config.UpstreamRecord{Kind: "plain", Addr: "127.0.0.1:1", State: config.UpstreamLive}, 1),
		recordChange(config.UpstreamsPrefix+"e", config.UpstreamRecord{Kind: "engine", Addr: "127.0.0.1:2", MemoryBytes: 10, State: config.UpstreamLive}, 1),
	}}, start)
	c.Handle(SiteChanged{Site: site}, start)
	return c
}

func recordChange(key string, value any, rev int64) KeyChange {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return KeyChange{Key: key, Pair: &kvstore.Pair{Key: key, Value: data, ModRevision: rev}}
}

func arrival(id string, pool schedule.PoolID, key entity.KeyID, handler RequestHandler, needsClaim bool) Arrived {
	return Arrived{RequestHandler: handler, NeedsClaim: needsClaim, Request: &schedule.Request{
		ID: entity.RequestID(id), Pool: pool, Key: key, Arrived: start, Deadline: start.Add(time.Minute), Tokens: 1, Idempotent: true,
	}}
}

var plainPool = schedule.PoolID{Kind: "plain"}

// Guards against a request that continues although its key was withdrawn just after the request was
// authenticated: it must be refused or canceled, whatever its phase is when the withdrawal arrives.
func TestWithdrawnKeyInEveryPhase(t *testing.T) {
	withdrawn := KeysWithdrawn{Keys: map[entity.KeyID]bool{"k": true}}
	t.Run("before arrival", func(t *testing.T) {
		c, f := newTestCore(t), &fakeHandler{}
		c.Handle(withdrawn, start)
		c.Handle(arrival("r", plainPool, "k", f, false), start)
		checkWithdrawn(t, c, f, f.refusal)
	})
	t.Run("while claiming", func(t *testing.T) {
		c, f := newTestCore(t), &fakeHandler{}
		c.Handle(arrival("r", plainPool, "k", f, true), start)
		c.Handle(withdrawn, start)
		c.Handle(Claimed{Request: "r"}, start)
		checkWithdrawn(t, c, f, f.refusal)
	})
	t.Run("queued", func(t *testing.T) {
		c, f := newTestCore(t), &fakeHandler{}
		c.Handle(arrival("r", schedule.PoolID{Model: "m"}, "k", f, false), start)
		c.Handle(withdrawn, start)
		checkWithdrawn(t, c, f, f.refusal)
	})
	t.Run("running", func(t *testing.T) {
		c, f := newTestCore(t), &fakeHandler{}
		c.Handle(arrival("r", plainPool, "k", f, false), start)
		c.Handle(withdrawn, start)
		if f.canceled == nil || f.canceled.Ran != entity.RanUnknown {
			t.Fatalf("canceled with %+v, want a refusal with Ran = RanUnknown", f.canceled)
		}
		c.Handle(AttemptEnded{AttemptResult: schedule.AttemptResult{Request: "r", Outcome: entity.Canceled}}, start)
		if c.RequestCount() != 0 {
			t.Error("the request is still in the table")
		}
	})
}

func checkWithdrawn(t *testing.T, c *Core, f *fakeHandler, r *entity.Refusal) {
	t.Helper()
	if r == nil || r.Code != "key_withdrawn" || r.Ran != entity.NotRun || f.dispatchCount != 0 {
		t.Fatalf("refusal %+v after %d dispatches, want key_withdrawn, not run and no dispatch", r, f.dispatchCount)
	}
	if c.RequestCount() != 0 {
		t.Error("the request is still in the table")
	}
}

// Guards against a slot at an upstream that is never freed. A caller may leave at the moment when its request is
// dispatched; then no AttemptEnded event follows, and RequestClosed must free the slot.
func TestCallerLeavesDuringDispatch(t *testing.T) {
	c, f := newTestCore(t), &fakeHandler{}
	c.Handle(arrival("r", plainPool, "", f, false), start)
	if f.dispatchCount != 1 {
		t.Fatalf("%d dispatches, want 1", f.dispatchCount)
	}
	c.Handle(RequestClosed{Request: "r"}, start)
	if c.RequestCount() != 0 || c.Status(start).Scheduler.Requests != 0 {
		t.Errorf("status %+v, want no requests", c.Status(start).Scheduler)
	}
}

// Guards against demand that is not sent to a new decider at once, and against a decider that cannot reach the
// key-value service while another host can. The test takes the service away from each decider in turn.
func TestDemandFollowsDecider(t *testing.T) {
	c := newTestCore(t)
	var hosts []KeyChange
	for i, id := range []entity.HostID{"a", "b", "c"} {
		hosts = append(hosts, recordChange(config.HostsPrefix+string(id), config.HostRecord{ID: id, Incarnation: entity.Incarnation(id + "1"), PeerAddr: string(id), State: config.HostLive}, int64(i+2)))
	}
	c.Handle(ViewChanged{Changes: hosts}, start)
	for _, id := range []entity.HostID{"b", "c"} {
		c.Handle(PeerLink{Host: id, Incarnation: entity.Incarnation(id + "1"), Up: true}, start)
		sendHeartbeat(c, id, true, start)
	}
	c.Handle(ServiceState{Reachable: true}, start)
	c.Handle(arrival("r", schedule.PoolID{Model: "m"}, "", &fakeHandler{}, false), start)
	now := start
	seen := make(map[entity.HostID]bool)
	for range 3 {
		now = now.Add(10 * time.Millisecond)
		to := demandTarget(c.Handle(Tick{}, now))
		decider := c.placer.Decider()
		if decider != "a" && to != decider {
			t.Fatalf("demand went to %q, want the decider %q", to, decider)
		}
		if seen[decider] {
			t.Fatalf("%q is the decider again although it cannot reach the key-value service", decider)
		}
		seen[decider] = true
		if decider == "a" {
			c.Handle(ServiceState{Reachable: false}, now)
		} else {
			sendHeartbeat(c, decider, false, now)
		}
	}
}

func sendHeartbeat(c *Core, from entity.HostID, reachable bool, now time.Time) {
	c.Handle(HeartbeatReceived{From: from, Incarnation: entity.Incarnation(from + "1"), Heartbeat: &wire.Heartbeat{ServiceReachable: reachable}, Acknowledge: func() {}}, now)
}

// demandTarget returns the host to which the commands send demand, or the empty string if there is none.
// demandTarget returns the host to which the commands send demand, or the empty string if there is none.
// demandTarget returns the host to which the commands send demand, or the empty string if there is none.
func demandTarget(cmds []command.Command) entity.HostID {
	for _, cmd := range cmds {
		if p, ok := cmd.(command.SendPeer); ok && p.Message.Kind() == wire.KindDemand {
			return p.To
		}
	}
	return ""
}
