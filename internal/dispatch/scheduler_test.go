package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
)

var testStart = time.Unix(1000, 0)

func newTestScheduler(readyIn func(Pool, time.Time) (time.Duration, bool)) *Scheduler {
	return New(Options{
		Domain:  "a",
		Rand:    rand.New(rand.NewPCG(1, 2)),
		Budget:  func() *Budget { return &Budget{Ratio: 0.2, Extra: 10, Window: 10 * time.Second} },
		ReadyIn: readyIn,
	})
}

func plainTarget(id string) Target {
	return Target{ID: entity.UpstreamID(id), Service: "s", Addr: id + ":1", Domain: "a", Slots: 4}
}

func engineTarget(id string, models ...entity.ModelID) Target {
	t := plainTarget(id)
	t.LoadedModels = make(map[entity.ModelID][]entity.AdapterID)
	for _, m := range models {
		t.LoadedModels[m] = nil
	}
	return t
}

var requestCount int

func newRequest(kind catalog.RouteKind, p Pool, now time.Time) *Request {
	requestCount++
	return &Request{
		ID:       entity.RequestID(fmt.Sprint("r", requestCount)),
		Route:    &catalog.Route{Kind: kind, MaxAttempts: 2, TargetLatency: 500 * time.Millisecond},
		Pool:     p,
		Arrived:  now,
		Deadline: now.Add(2 * time.Second),
	}
}

func onlyDecision(t *testing.T, ds []Decision) Decision {
	t.Helper()
	if len(ds) != 1 {
		t.Fatalf("%d decisions, want one: %+v", len(ds), ds)
	}
	return ds[0]
}

// Guards against a second run of a request that must run at most once, and against a refusal that wrongly
// states that the request did not run.
func TestNonIdempotentIsNotRepeated(t *testing.T) {
	for outcome, wantStatus := range map[entity.Outcome]int{entity.AttemptUnknown: 502, entity.AttemptFailed: 502} {
		s := newTestScheduler(nil)
		s.SetTarget(plainTarget("u1"), testStart)
		s.SetTarget(plainTarget("u2"), testStart)
		r := newRequest(catalog.NonIdempotent, Pool{Service: "s"}, testStart)
		onlyDecision(t, s.Enqueue(r, testStart))
		d := onlyDecision(t, s.AttemptEnded(AttemptResult{Request: r.ID, Outcome: outcome, Broken: true}, testStart))
		if d.Refusal == nil || d.Refusal.Status != wantStatus || d.Refusal.Ran != entity.RanUnknown {
			t.Errorf("decision after %v: %+v, want a 502 that states that the request may have run", outcome, d)
		}
	}
}

// Guards against a request that is refused although its only attempt is proven not to have run, and against a
// retry at the same upstream.
func TestNotRunIsRetriedElsewhere(t *testing.T) {
	s := newTestScheduler(nil)
	s.SetTarget(plainTarget("u1"), testStart)
	s.SetTarget(plainTarget("u2"), testStart)
	r := newRequest(catalog.NonIdempotent, Pool{Service: "s"}, testStart)
	first := onlyDecision(t, s.Enqueue(r, testStart)).Upstream.ID
	d := onlyDecision(t, s.AttemptEnded(AttemptResult{Request: r.ID, Outcome: entity.AttemptNotRun, NoFreeSlot: true}, testStart))
	if d.Upstream == nil || d.Upstream.ID == first {
		t.Errorf("decision after an attempt at %s: %+v, want an attempt at the other upstream", first, d)
	}
}

// Guards against refusals without a retry time for requests that never ran.
func TestRefusalOfNotRunHasRetryAfter(t *testing.T) {
	s := newTestScheduler(nil)
	r := newRequest(catalog.Idempotent, Pool{Service: "s"}, testStart)
	s.Enqueue(r, testStart)
	d := onlyDecision(t, s.Tick(testStart.Add(3*time.Second)))
	if d.Refusal == nil || d.Refusal.Status != 503 || d.Refusal.RetryAfter <= 0 || d.Refusal.Ran != entity.NotRun {
		t.Errorf("decision %+v, want a 503 with a retry time that states that the request did not run", d)
	}
}

// Guards against requests that wait for a model until their deadline although it is known that the model
// cannot be loaded in time.
func TestTooLateIsRefusedAtOnce(t *testing.T) {
	for _, c := range []struct {
		ready   time.Duration
		refused bool
	}{{time.Second, false}, {3 * time.Second, true}} {
		s := newTestScheduler(func(Pool, time.Time) (time.Duration, bool) { return c.ready, true })
		ds := s.Enqueue(newRequest(catalog.Streaming, Pool{Service: "s", Model: "m"}, testStart), testStart)
		if refused := len(ds) == 1 && ds[0].Refusal != nil; refused != c.refused {
			t.Errorf("model ready in %v: decisions %+v, want a refusal only if it is ready too late", c.ready, ds)
		}
	}
}

// Guards against requests to engines that have not loaded the model or the adapter, or that are draining.
func TestOnlyUpstreamsWithModelAreChosen(t *testing.T) {
	s := newTestScheduler(nil)
	s.SetTarget(engineTarget("u1", "m1"), testStart)
	draining := engineTarget("u2", "m2")
	draining.Draining = true
	s.SetTarget(draining, testStart)
	ready := engineTarget("u3", "m2")
	ready.LoadedModels["m2"] = []entity.AdapterID{"a1"}
	s.SetTarget(ready, testStart)
	for _, p := range []Pool{{Service: "s", Model: "m2"}, {Service: "s", Model: "m2", Adapter: "a1"}} {
		if d := onlyDecision(t, s.Enqueue(newRequest(catalog.Streaming, p, testStart), testStart)); d.Upstream.ID != "u3" {
			t.Errorf("a request of pool %+v was sent to %s, want u3", p, d.Upstream.ID)
		}
	}
	if ds := s.Enqueue(newRequest(catalog.Streaming, Pool{Service: "s", Model: "m2", Adapter: "a2"}, testStart), testStart); len(ds) != 0 {
		t.Errorf("decisions for an adapter that no engine has loaded: %+v, want none", ds)
	}
	w := s.Waiting(testStart)
	if len(w) != 1 || w[0].Pool.Adapter != "a2" || w[0].Count != 1 {
		t.Errorf("waiting pools: %+v, want one request for adapter a2", w)
	}
}

// Guards against a waiting request that is not sent when its model has been loaded, and against urgent
// requests that wait behind less urgent ones.
func TestWaitingRequestsRunInOrderOfRank(t *testing.T) {
	s := newTestScheduler(func(Pool, time.Time) (time.Duration, bool) { return time.Second, true })
	p := Pool{Service: "s", Model: "m"}
	for i := range 6 {
		r := newRequest(catalog.Streaming, p, testStart)
		r.Rank = 5 - i
		s.Enqueue(r, testStart)
	}
	ds := s.SetTarget(engineTarget("u1", "m"), testStart)
	if len(ds) != 4 {
		t.Fatalf("%d requests were sent to an upstream with 4 free slots, want 4", len(ds))
	}
	for i, d := range ds {
		if d.Request.Rank != i {
			t.Errorf("decision %d sends a request of rank %d, want the rank equal to the number of the decision", i, d.Request.Rank)
		}
	}
}

// Guards against retries beyond this host's part of the budget that all hosts share, while every attempt
// fails.
func TestRetriesStayWithinBudget(t *testing.T) {
	s := newTestScheduler(nil)
	s.SetTarget(plainTarget("u1"), testStart)
	s.SetTarget(plainTarget("u2"), testStart)
	now := testStart
	retries, requests := 0, 0
	for now.Before(testStart.Add(10 * time.Second)) {
		now = now.Add(50 * time.Millisecond)
		r := newRequest(catalog.Idempotent, Pool{Service: "s"}, now)
		ds := s.Enqueue(r, now)
		requests++
		for len(ds) == 1 && ds[0].Upstream != nil {
			if ds[0].Attempt > 1 {
				retries++
			}
			ds = s.AttemptEnded(AttemptResult{Request: r.ID, Outcome: entity.AttemptNotRun}, now)
		}
	}
	if allowed := 0.2*float64(requests) + 10; float64(retries) > allowed {
		t.Errorf("%d retries of %d requests, want at most %.0f", retries, requests, allowed)
	}
	if retries == 0 {
		t.Error("no request was retried, want retries within the budget")
	}
}

// Guards against an unreachable upstream that keeps getting requests.
func TestUnreachableUpstreamIsEjected(t *testing.T) {
	s := newTestScheduler(nil)
	s.SetTarget(plainTarget("u1"), testStart)
	s.SetTarget(plainTarget("u2"), testStart)
	toUnreachable := 0
	now := testStart
	for range 100 {
		now = now.Add(20 * time.Millisecond)
		r := newRequest(catalog.Idempotent, Pool{Service: "s"}, now)
		ds := s.Enqueue(r, now)
		for len(ds) == 1 && ds[0].Upstream != nil {
			res := AttemptResult{Request: r.ID, Outcome: entity.Completed}
			if ds[0].Upstream.ID == "u1" {
				toUnreachable++
				res = AttemptResult{Request: r.ID, Outcome: entity.AttemptNotRun, Unreachable: true}
			}
			ds = s.AttemptEnded(res, now)
		}
	}
	if toUnreachable > 6 {
		t.Errorf("%d of 100 requests were sent to the unreachable upstream, want at most 6", toUnreachable)
	}
}

// Guards against an upstream whose answers are errors and that keeps its share of the requests, because its
// list entry and its health checks are good.
func TestFailingUpstreamGetsFewerRequests(t *testing.T) {
	s := newTestScheduler(nil)
	for _, id := range []string{"u1", "u2", "u3", "u4"} {
		s.SetTarget(plainTarget(id), testStart)
	}
	toFailing := 0
	now := testStart
	for i := range 400 {
		now = now.Add(20 * time.Millisecond)
		r := newRequest(catalog.NonIdempotent, Pool{Service: "s"}, now)
		d := onlyDecision(t, s.Enqueue(r, now))
		res := AttemptResult{Request: r.ID, Outcome: entity.Completed, Status: 200}
		if d.Upstream.ID == "u1" {
			toFailing++
			if i%2 == 0 {
				res = AttemptResult{Request: r.ID, Outcome: entity.AttemptUnknown, Broken: true}
			}
		}
		s.AttemptEnded(res, now)
	}
	if toFailing > 40 {
		t.Errorf("%d of 400 requests were sent to the failing upstream, want at most 40", toFailing)
	}
}

// Guards against a request that keeps its slot after its caller has disconnected.
func TestCancelFreesTheSlot(t *testing.T) {
	s := newTestScheduler(nil)
	target := plainTarget("u1")
	target.Slots = 1
	s.SetTarget(target, testStart)
	first := newRequest(catalog.Idempotent, Pool{Service: "s"}, testStart)
	s.Enqueue(first, testStart)
	second := newRequest(catalog.Idempotent, Pool{Service: "s"}, testStart)
	if ds := s.Enqueue(second, testStart); len(ds) != 0 {
		t.Fatalf("a full upstream got another request: %+v", ds)
	}
	if d := onlyDecision(t, s.Cancel(first.ID, testStart)); d.Request != second {
		t.Errorf("decision %+v, want an attempt for the second request", d)
	}
}

// Guards against hosts that all choose the same upstream because they do not count the requests of the other
// hosts.
func TestLoadOfOtherHostsCounts(t *testing.T) {
	s := newTestScheduler(nil)
	s.SetTarget(plainTarget("u1"), testStart)
	s.SetTarget(plainTarget("u2"), testStart)
	s.SetOthers("u1", 3, testStart)
	if d := onlyDecision(t, s.Enqueue(newRequest(catalog.Idempotent, Pool{Service: "s"}, testStart), testStart)); d.Upstream.ID != "u2" {
		t.Errorf("the request was sent to %s, want u2", d.Upstream.ID)
	}
}

// Guards against callers of streams that wait for the first event until they give up, although it is known
// that the event cannot be sent before then. They disconnect after 2 s, long before their deadline; because of
// this, 113 callers of one site and 168 of another got no refusal with a retry time.
func TestMaxWaitOfCallersIsRespected(t *testing.T) {
	for _, c := range []struct {
		ready   time.Duration
		refused bool
	}{{time.Second, false}, {2500 * time.Millisecond, true}} {
		s := newTestScheduler(func(Pool, time.Time) (time.Duration, bool) { return c.ready, true })
		r := newRequest(catalog.Streaming, Pool{Service: "s", Model: "m"}, testStart)
		r.Route.MaxFirstEventWait = 2 * time.Second
		r.Deadline = testStart.Add(12 * time.Second)
		ds := s.Enqueue(r, testStart)
		if refused := len(ds) == 1 && ds[0].Refusal != nil; refused != c.refused {
			t.Errorf("model ready in %v: decisions %+v, want a refusal only if it is ready too late", c.ready, ds)
		}
		if c.refused {
			continue
		}
		d := onlyDecision(t, s.Tick(testStart.Add(1900*time.Millisecond)))
		if d.Refusal == nil || d.Refusal.Status != 503 || d.Refusal.RetryAfter <= 0 {
			t.Errorf("decision shortly before the caller gives up: %+v, want a 503 with a retry time", d)
		}
	}
}

// Guards against a stopping host that keeps a request which waits for a model until the process ends, so that
// the caller gets no answer.
func TestStopRefusesWaitingRequests(t *testing.T) {
	ready := map[entity.ModelID]time.Duration{"slow": 8 * time.Second, "soon": time.Second}
	s := newTestScheduler(func(p Pool, _ time.Time) (time.Duration, bool) { return ready[p.Model], true })
	waiting := make(map[entity.RequestID]entity.ModelID)
	for m := range ready {
		r := newRequest(catalog.Streaming, Pool{Service: "s", Model: m}, testStart)
		r.Deadline = testStart.Add(20 * time.Second)
		waiting[r.ID] = m
		if ds := s.Enqueue(r, testStart); len(ds) != 0 {
			t.Fatalf("model %s: decisions %+v before the stop, want none", m, ds)
		}
	}
	d := onlyDecision(t, s.StopBy(testStart.Add(4*time.Second), testStart.Add(8*time.Second), testStart))
	if waiting[d.Request.ID] != "slow" || d.Refusal == nil || d.Reason != ReasonStopping {
		t.Fatalf("decision of the stop: %+v, want a refusal of the request for the slow model", d)
	}
	if d.Refusal.Ran != entity.NotRun || d.Refusal.RetryAfter > time.Second {
		t.Errorf("refusal %+v, want one that states that the request did not run, with a retry time of at most 1 s", d.Refusal)
	}
	if ds := s.Tick(testStart.Add(2900 * time.Millisecond)); len(ds) != 0 {
		t.Errorf("decisions while the model may still be ready before the end of the stop: %+v, want none", ds)
	}
	if d := onlyDecision(t, s.Tick(testStart.Add(3*time.Second))); waiting[d.Request.ID] != "soon" || d.Reason != ReasonStopping {
		t.Errorf("decision when the model can no longer be ready in time: %+v, want a refusal because of the stop", d)
	}
	late := newRequest(catalog.Streaming, Pool{Service: "s", Model: "slow"}, testStart.Add(time.Second))
	late.Deadline = testStart.Add(20 * time.Second)
	if d := onlyDecision(t, s.Enqueue(late, testStart.Add(time.Second))); d.Reason != ReasonStopping {
		t.Errorf("decision for a request that arrived during the stop: %+v, want a refusal because of the stop", d)
	}
}

// Guards against requests that are sent to an upstream so late in the stop of a host that the end of its process cuts them,
// because an upstream accepts them at once: new ones and retries (issue 40, LOST).
func TestStopRefusesLateRequests(t *testing.T) {
	for _, c := range []struct {
		name     string
		at       time.Duration
		deadline time.Duration
		reason   Reason
	}{
		{"in time", 3900 * time.Millisecond, 20 * time.Second, ""},
		{"late", 4 * time.Second, 20 * time.Second, ReasonStopping},
		{"late, but answered before the end", 4 * time.Second, 8 * time.Second, ""},
		{"late, answered just after the end", 4 * time.Second, 8*time.Second + time.Millisecond, ReasonStopping},
	} {
		s := newTestScheduler(nil)
		s.SetTarget(plainTarget("u"), testStart)
		s.StopBy(testStart.Add(4*time.Second), testStart.Add(8*time.Second), testStart)
		r := newRequest(catalog.NonIdempotent, Pool{Service: "s"}, testStart.Add(c.at))
		r.Deadline = testStart.Add(c.deadline)
		d := onlyDecision(t, s.Enqueue(r, testStart.Add(c.at)))
		if d.Reason != c.reason || (d.Refusal != nil) != (c.reason != "") {
			t.Errorf("%s: decision %+v, want the reason %q", c.name, d, c.reason)
		}
	}
}

// Guards against an interrupted stream being held until its caller has no time left to take it up again, and against it
// being broken off before the coordinator has been asked for an estimate.
func TestInterruptedStreamWaitsShortly(t *testing.T) {
	now := time.Unix(1000, 0)
	ready, known := 5*time.Second, false
	s := New(Options{Rand: rand.New(rand.NewPCG(1, 1)), Budget: func() *Budget { return &Budget{Ratio: 1, Extra: 10, Window: 10 * time.Second} },
		ReadyIn: func(Pool, time.Time) (time.Duration, bool) { return ready, known }})
	pool := Pool{Service: "engines", Model: "m"}
	route := &catalog.Route{Kind: catalog.Streaming, Resumable: true, MaxAttempts: 3, TargetLatency: 2 * time.Second}
	s.SetTarget(Target{ID: "e", Service: "engines", Release: "v1", Slots: 8, LoadedModels: map[entity.ModelID][]entity.AdapterID{"m": nil}}, now)
	for _, c := range []struct {
		name        string
		after       time.Duration
		ready       time.Duration
		known       bool
		wantRefused bool
	}{
		{"no estimate yet", 500 * time.Millisecond, 0, false, false},
		{"ready soon", 500 * time.Millisecond, time.Second, true, false},
		{"ready too late", 500 * time.Millisecond, 5 * time.Second, true, true},
		{"waited for long", maxInterruption, time.Second, true, true},
	} {
		r := &Request{ID: entity.RequestID(c.name), Route: route, Pool: pool, Arrived: now.Add(-8 * time.Second), Deadline: now.Add(20 * time.Second)}
		s.SetTarget(Target{ID: "e", Service: "engines", Release: "v1", Slots: 8, LoadedModels: map[entity.ModelID][]entity.AdapterID{"m": nil}}, now)
		ready, known = 0, false
		s.Enqueue(r, now)
		s.RemoveTarget("e")
		s.AttemptEnded(AttemptResult{Request: r.ID, Outcome: entity.AttemptUnknown, Broken: true, Release: "v1"}, now)
		if r.Pool.Release != "v1" {
			t.Errorf("%s: the stream may go on at any release", c.name)
		}
		ready, known = c.ready, c.known
		refused := false
		for _, d := range s.Tick(now.Add(c.after)) {
			refused = refused || d.Request == r && d.Refusal != nil
		}
		if refused != c.wantRefused {
			t.Errorf("%s: refused %v, want %v", c.name, refused, c.wantRefused)
		}
		s.Cancel(r.ID, now)
	}
}
