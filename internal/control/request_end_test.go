package control

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/config"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
	"github.com/foxtailpass/foxtailpass/internal/limits"
	"github.com/foxtailpass/foxtailpass/internal/placement"
	"github.com/foxtailpass/foxtailpass/internal/schedule"
)

// recordingHandler counts the dispatches of one request and keeps all of its refusals.
type recordingHandler struct {
	dispatched int
	refused    []entity.Refusal
	canceled   []entity.Refusal
}

func (r *recordingHandler) StartClaim()                             {}
func (r *recordingHandler) Dispatch(entity.UpstreamID, string, int) { r.dispatched++ }
func (r *recordingHandler) Refuse(x entity.Refusal)                 { r.refused = append(r.refused, x) }
func (r *recordingHandler) CancelAttempt(x entity.Refusal)          { r.canceled = append(r.canceled, x) }
func at(ms int) time.Time                                           { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
func plainRequest(id entity.RequestID, key entity.KeyID) *schedule.Request {
	return &schedule.Request{ID: id, Key: key, Pool: schedule.PoolID{Kind: "orders"}, Arrived: at(0), Deadline: at(1000), Idempotent: true}
}

// newPlainCore returns a core with one plain service and a route to it.
func newPlainCore(t *testing.T) *Core {
	t.Helper()
	rng := rand.New(rand.NewPCG(1, 0))
	c := NewCore(Options{
		Self:      "host-1",
		Throttler: limits.New(limits.Options{Self: "host-1", Incarnation: "i", Rand: rng}),
		Scheduler: func(readyIn func(schedule.PoolID, time.Time) (time.Duration, bool)) *schedule.Scheduler {
			return schedule.New(schedule.Options{Rand: rng, ReadyIn: readyIn})
		},
		Placer: placement.New(placement.Options{Self: "host-1", Incarnation: "i", Rand: rng}),
	})
	site, err := config.Compile("local", 1, []byte(`{"routes":{"/orders/":{"upstream_kind":"orders"}}}`), []byte("{}"))
	if err != nil {
		t.Fatal(err)
	}
	c.Handle(SiteChanged{Site: site}, at(0))
	record := []byte(`{"kind":"orders","addr":"127.0.0.1:1","state":"live"}`)
	c.Handle(ViewChanged{Changes: []KeyChange{{Key: config.UpstreamsPrefix + "orders-1", Pair: &kvstore.Pair{Value: record}}}}, at(0))
	return c
}

// Guards against a request that stays in the table permanently, and whose tokens are never settled, because its
// attempt failed at the moment when its deadline passed.
func TestCanceledRequestIsFinished(t *testing.T) {
	for _, outcome := range []entity.Outcome{entity.AttemptFailed, entity.AttemptUnknown, entity.AttemptNotRun, entity.Completed, entity.Canceled} {
		c := newPlainCore(t)
		handler := &recordingHandler{}
		c.Handle(Arrived{Request: plainRequest("r", ""), RequestHandler: handler}, at(1))
		c.Handle(Tick{}, at(1001))
		if handler.dispatched != 1 || len(handler.canceled) != 1 {
			t.Fatalf("dispatched %d times, canceled with %v, want one dispatch and one cancellation", handler.dispatched, handler.canceled)
		}
		c.Handle(AttemptEnded{AttemptResult: schedule.AttemptResult{Request: "r", Outcome: outcome}}, at(1002))
		if c.RequestCount() != 0 || len(handler.refused) != 0 {
			t.Errorf("outcome %v: %d requests in the table, refused with %v, want no request and no refusal", outcome, c.RequestCount(), handler.refused)
		}
	}
}

// Guards against a host with a stale view that continues requests whose key may have been withdrawn, or that
// ends requests on routes without keys.
func TestStaleViewEndsKeyedRequests(t *testing.T) {
	c := newPlainCore(t)
	keyed, open := &recordingHandler{}, &recordingHandler{}
	c.Handle(Arrived{Request: plainRequest("k", "key"), RequestHandler: keyed}, at(1))
	c.Handle(Arrived{Request: plainRequest("o", ""), RequestHandler: open}, at(1))
	c.Handle(ViewStale{}, at(2))
	c.Handle(ViewStale{}, at(3))
	if len(keyed.canceled) != 1 || keyed.canceled[0].Code != "stale_configuration" || keyed.canceled[0].Ran != entity.RanUnknown {
		t.Errorf("request with a key: %+v, want one cancellation with stale_configuration and Ran = RanUnknown", keyed)
	}
	if len(open.canceled)+len(open.refused) != 0 {
		t.Errorf("request on a route without keys: %+v, want no cancellation and no refusal", open)
	}
}
