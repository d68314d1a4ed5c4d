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
	t.Held = make(map[entity.ModelID][]entity.AdapterID)
	for _, m := range models {
		t.Held[m] = nil
	}
	return t
}

var requestCount int

func newRequest(kind catalog.RouteKind, p Pool, now time.Time) *Request {
	requestCount++
	return &Request{
		ID:       entity.RequestID(fmt.Sprint("r", requestCount)),
		Route:    &catalog.Route{Kind: kind, MaxAttempts: 2, Target: 500 * time.Millisecond},
		Pool:     p,
		Arrived:  now,
		Deadline: now.Add(2 * time.Second),
	}
}

func onlyDecision(t *testing.T, ds []Decision) Decision {
	t.Helper()
	if len(ds) != 1 {
		t.Fatalf("%d decisions: %+v", len(ds), ds)
	}
	return ds[0]
}

// Guards against a second run of a request that must run at most once, and against a refusal that
// wrongly says that it did not run.
func TestNonIdempotentIsNotRepeated(t *testing.T) {
	for outcome, wantStatus := range map[entity.Outcome]int{entity.AttemptUnknown: 502, entity.AttemptFailed: 502} {
		s := newTestScheduler(nil)
		s.SetTarget(plainTarget("u1"), testStart)
		s.SetTarget(plainTarget("u2"), testStart)
		r := newRequest(catalog.NonIdempotent, Pool{Service: "s"}, testStart)
		onlyDecision(t, s.Enqueue(r, testStart))
		d := onlyDecision(t, s.AttemptEnded(Result{Request: r.ID, Outcome: outcome, Broken: true}, testStart))
		if d.Refusal == nil || d.Refusal.Status != wantStatus || d.Refusal.Ran != entity.RanUnknown {
			t.Errorf("after %v: %+v", outcome, d)
		}
	}
}

// Guards against a proven not run attempt that ends the request, or goes back to where it came from.
func TestNotRunGoesElsewhere(t *testing.T) {
	s := newTestScheduler(nil)
	s.SetTarget(plainTarget("u1"), testStart)
	s.SetTarget(plainTarget("u2"), testStart)
	r := newRequest(catalog.NonIdempotent, Pool{Service: "s"}, testStart)
	first := onlyDecision(t, s.Enqueue(r, testStart)).Upstream.ID
	d := onlyDecision(t, s.AttemptEnded(Result{Request: r.ID, Outcome: entity.AttemptNotRun, Full: true}, testStart))
	if d.Upstream == nil || d.Upstream.ID == first {
		t.Errorf("after an attempt at %s: %+v", first, d)
	}
}

// Guards against refusals without a time to come back for requests that never ran.
func TestRefusalThatNeverRanNamesRetryAfter(t *testing.T) {
	s := newTestScheduler(nil)
	r := newRequest(catalog.Idempotent, Pool{Service: "s"}, testStart)
	s.Enqueue(r, testStart)
	d := onlyDecision(t, s.Tick(testStart.Add(3*time.Second)))
	if d.Refusal == nil || d.Refusal.Status != 503 || d.Refusal.RetryAfter <= 0 || d.Refusal.Ran != entity.NotRun {
		t.Errorf("%+v", d)
	}
}

// Guards against requests that wait for a model until their deadline though it is known that the
// model cannot be there in time.
func TestHopelessIsRefusedAtOnce(t *testing.T) {
	for _, c := range []struct {
		ready   time.Duration
		refused bool
	}{{time.Second, false}, {3 * time.Second, true}} {
		s := newTestScheduler(func(Pool, time.Time) (time.Duration, bool) { return c.ready, true })
		ds := s.Enqueue(newRequest(catalog.Streaming, Pool{Service: "s", Model: "m"}, testStart), testStart)
		if refused := len(ds) == 1 && ds[0].Refusal != nil; refused != c.refused {
			t.Errorf("ready in %v: %+v", c.ready, ds)
		}
	}
}

// Guards against work for engines that lack the model or the adapter, or that drain.
func TestOnlyHoldersAreChosen(t *testing.T) {
	s := newTestScheduler(nil)
	s.SetTarget(engineTarget("u1", "m1"), testStart)
	draining := engineTarget("u2", "m2")
	draining.Draining = true
	s.SetTarget(draining, testStart)
	holder := engineTarget("u3", "m2")
	holder.Held["m2"] = []entity.AdapterID{"a1"}
	s.SetTarget(holder, testStart)
	for _, p := range []Pool{{Service: "s", Model: "m2"}, {Service: "s", Model: "m2", Adapter: "a1"}} {
		if d := onlyDecision(t, s.Enqueue(newRequest(catalog.Streaming, p, testStart), testStart)); d.Upstream.ID != "u3" {
			t.Errorf("%+v went to %s", p, d.Upstream.ID)
		}
	}
	if ds := s.Enqueue(newRequest(catalog.Streaming, Pool{Service: "s", Model: "m2", Adapter: "a2"}, testStart), testStart); len(ds) != 0 {
		t.Errorf("an absent adapter: %+v", ds)
	}
	w := s.Waiting(testStart)
	if len(w) != 1 || w[0].Pool.Adapter != "a2" || w[0].Count != 1 {
		t.Errorf("waiting: %+v", w)
	}
}

// Guards against a waiting request that is not sent when its model arrives, and against urgent
// requests behind less urgent ones.
func TestWaitingGoInOrderOfRank(t *testing.T) {
	s := newTestScheduler(func(Pool, time.Time) (time.Duration, bool) { return time.Second, true })
	p := Pool{Service: "s", Model: "m"}
	for i := range 6 {
		r := newRequest(catalog.Streaming, p, testStart)
		r.Rank = 5 - i
		s.Enqueue(r, testStart)
	}
	ds := s.SetTarget(engineTarget("u1", "m"), testStart)
	if len(ds) != 4 {
		t.Fatalf("%d of 4 slots were filled", len(ds))
	}
	for i, d := range ds {
		if d.Request.Rank != i {
			t.Errorf("place %d has rank %d", i, d.Request.Rank)
		}
	}
}

// Guards against retries beyond the budget that all hosts share: the sum over a window stays within
// this host's part, whatever fails.
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
			ds = s.AttemptEnded(Result{Request: r.ID, Outcome: entity.AttemptNotRun}, now)
		}
	}
	if allowed := 0.2*float64(requests) + 10; float64(retries) > allowed {
		t.Errorf("%d retries of %d requests, allowed %.0f", retries, requests, allowed)
	}
	if retries == 0 {
		t.Error("nothing was retried")
	}
}

// Guards against a dark upstream that gets requests again and again.
func TestUnreachableIsLeftOut(t *testing.T) {
	s := newTestScheduler(nil)
	s.SetTarget(plainTarget("u1"), testStart)
	s.SetTarget(plainTarget("u2"), testStart)
	toDark := 0
	now := testStart
	for range 100 {
		now = now.Add(20 * time.Millisecond)
		r := newRequest(catalog.Idempotent, Pool{Service: "s"}, now)
		ds := s.Enqueue(r, now)
		for len(ds) == 1 && ds[0].Upstream != nil {
			res := Result{Request: r.ID, Outcome: entity.Completed}
			if ds[0].Upstream.ID == "u1" {
				toDark++
				res = Result{Request: r.ID, Outcome: entity.AttemptNotRun, Unreachable: true}
			}
			ds = s.AttemptEnded(res, now)
		}
	}
	if toDark > 6 {
		t.Errorf("%d of 100 requests were tried at the dark upstream", toDark)
	}
}

// Guards against one upstream that answers with errors and keeps its share of the requests, though
// its list entry and its health are good.
func TestFailingUpstreamGetsLess(t *testing.T) {
	s := newTestScheduler(nil)
	for _, id := range []string{"u1", "u2", "u3", "u4"} {
		s.SetTarget(plainTarget(id), testStart)
	}
	toGrey := 0
	now := testStart
	for i := range 400 {
		now = now.Add(20 * time.Millisecond)
		r := newRequest(catalog.NonIdempotent, Pool{Service: "s"}, now)
		d := onlyDecision(t, s.Enqueue(r, now))
		res := Result{Request: r.ID, Outcome: entity.Completed, Status: 200}
		if d.Upstream.ID == "u1" {
			toGrey++
			if i%2 == 0 {
				res = Result{Request: r.ID, Outcome: entity.AttemptUnknown, Broken: true}
			}
		}
		s.AttemptEnded(res, now)
	}
	if toGrey > 40 {
		t.Errorf("%d of 400 requests went to the failing upstream", toGrey)
	}
}

// Guards against a request that keeps its slot after its caller has left.
func TestCancelFreesTheSlot(t *testing.T) {
	s := newTestScheduler(nil)
	target := plainTarget("u1")
	target.Slots = 1
	s.SetTarget(target, testStart)
	first := newRequest(catalog.Idempotent, Pool{Service: "s"}, testStart)
	s.Enqueue(first, testStart)
	second := newRequest(catalog.Idempotent, Pool{Service: "s"}, testStart)
	if ds := s.Enqueue(second, testStart); len(ds) != 0 {
		t.Fatalf("a full upstream took another request: %+v", ds)
	}
	if d := onlyDecision(t, s.Cancel(first.ID, testStart)); d.Request != second {
		t.Errorf("%+v", d)
	}
}

// Guards against hosts that all choose the same upstream because they do not count each other.
func TestLoadOfOtherHostsCounts(t *testing.T) {
	s := newTestScheduler(nil)
	s.SetTarget(plainTarget("u1"), testStart)
	s.SetTarget(plainTarget("u2"), testStart)
	s.SetOthers("u1", 3, testStart)
	if d := onlyDecision(t, s.Enqueue(newRequest(catalog.Idempotent, Pool{Service: "s"}, testStart), testStart)); d.Upstream.ID != "u2" {
		t.Errorf("went to %s", d.Upstream.ID)
	}
}

// Guards against callers of streams who wait for a first event until they give up, while it is known
// that it cannot come before: they leave after 2 s, long before their deadline, and were never told
// when to come back (trouble-2 of both sites: 113 and 168 requests).
func TestPatienceOfCallersCounts(t *testing.T) {
	for _, c := range []struct {
		ready   time.Duration
		refused bool
	}{{time.Second, false}, {2500 * time.Millisecond, true}} {
		s := newTestScheduler(func(Pool, time.Time) (time.Duration, bool) { return c.ready, true })
		r := newRequest(catalog.Streaming, Pool{Service: "s", Model: "m"}, testStart)
		r.Route.Patience = 2 * time.Second
		r.Deadline = testStart.Add(12 * time.Second)
		ds := s.Enqueue(r, testStart)
		if refused := len(ds) == 1 && ds[0].Refusal != nil; refused != c.refused {
			t.Errorf("ready in %v: %+v", c.ready, ds)
		}
		if c.refused {
			continue
		}
		d := onlyDecision(t, s.Tick(testStart.Add(1900*time.Millisecond)))
		if d.Refusal == nil || d.Refusal.Status != 503 || d.Refusal.RetryAfter <= 0 {
			t.Errorf("shortly before the caller gives up: %+v", d)
		}
	}
}

// Guards against a host that stops while a request waits there for a model: it kept the request until
// the process ended, and the caller got no answer (fresh-8146 of Reykjavik, request 057a25738c4e927e).
func TestStopGivesUpWaits(t *testing.T) {
	ready := map[entity.ModelID]time.Duration{"slow": 8 * time.Second, "soon": time.Second}
	s := newTestScheduler(func(p Pool, _ time.Time) (time.Duration, bool) { return ready[p.Model], true })
	waiting := make(map[entity.RequestID]entity.ModelID)
	for m := range ready {
		r := newRequest(catalog.Streaming, Pool{Service: "s", Model: m}, testStart)
		r.Deadline = testStart.Add(20 * time.Second)
		waiting[r.ID] = m
		if ds := s.Enqueue(r, testStart); len(ds) != 0 {
			t.Fatalf("%s: %+v", m, ds)
		}
	}
	d := onlyDecision(t, s.StopBy(testStart.Add(4*time.Second), testStart))
	if waiting[d.Request.ID] != "slow" || d.Refusal == nil || d.Reason != ReasonStopping {
		t.Fatalf("the stop decided %+v", d)
	}
	if d.Refusal.Ran != entity.NotRun || d.Refusal.RetryAfter > time.Second {
		t.Errorf("refusal %+v, want a promise that it did not run and a short time to come back", d.Refusal)
	}
	if ds := s.Tick(testStart.Add(2900 * time.Millisecond)); len(ds) != 0 {
		t.Errorf("while the model may still be ready before the end of the stop: %+v", ds)
	}
	if d := onlyDecision(t, s.Tick(testStart.Add(3*time.Second))); waiting[d.Request.ID] != "soon" || d.Reason != ReasonStopping {
		t.Errorf("when the model can no longer be ready: %+v", d)
	}
	late := newRequest(catalog.Streaming, Pool{Service: "s", Model: "slow"}, testStart.Add(time.Second))
	late.Deadline = testStart.Add(20 * time.Second)
	if d := onlyDecision(t, s.Enqueue(late, testStart.Add(time.Second))); d.Reason != ReasonStopping {
		t.Errorf("a request that came during the stop: %+v", d)
	}
}
