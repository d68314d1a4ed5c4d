package dispatch

import (
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// testLimits is a RequestLimits with the granted requests of each limited upstream.
type testLimits struct {
	granted map[entity.UpstreamID]int
	// coordinated reports whether requests can be asked for; spares allows spare asks.
	coordinated, spares bool
}

func (l *testLimits) Active() bool { return len(l.granted) > 0 }

func (l *testLimits) Ready(id entity.UpstreamID, _ int64, _ time.Time) bool {
	n, limited := l.granted[id]
	return !limited || n > 0
}

func (l *testLimits) Take(id entity.UpstreamID, _ int64, _ time.Time) uint64 {
	if _, limited := l.granted[id]; !limited {
		return 0
	}
	l.granted[id]--
	return 1
}

func (l *testLimits) Wait(entity.UpstreamID, int64, time.Time) (time.Duration, bool) {
	return 0, l.coordinated
}

func (l *testLimits) CanAsk(id entity.UpstreamID, _ int64, spare bool, _ time.Time) bool {
	_, limited := l.granted[id]
	return limited && l.coordinated && (l.spares || !spare)
}

func newLimitedScheduler(limits *testLimits, ids ...string) *Scheduler {
	s := newTestScheduler(nil)
	s.opts.Limits = limits
	for _, id := range ids {
		s.SetTarget(plainTarget(id), testStart)
	}
	return s
}

// Guards against requests that wait for a limited upstream while another one has free slots, and against a limited
// upstream that is not used once the others are full.
func TestLimitedUpstreamIsUsedLast(t *testing.T) {
	limits := &testLimits{granted: map[entity.UpstreamID]int{"limited": 0}, coordinated: true}
	s := newLimitedScheduler(limits, "limited", "other")
	for range 4 {
		if d := onlyDecision(t, s.Enqueue(newRequest(catalog.Idempotent, Pool{Service: "s"}, testStart), testStart)); d.Upstream == nil || d.Upstream.ID != "other" {
			t.Fatalf("decision %+v, want an attempt at the upstream without a limit", d)
		}
	}
	if asks := s.TakeLimitAsks(); len(asks) != 0 {
		t.Errorf("asks %+v while the other upstream had free slots, want none", asks)
	}
	r := newRequest(catalog.Idempotent, Pool{Service: "s"}, testStart)
	if ds := s.Enqueue(r, testStart); len(ds) != 0 {
		t.Fatalf("decisions %+v, want the request to wait", ds)
	}
	asks := s.TakeLimitAsks()
	if len(asks) != 1 || asks[0].Request != r.ID || asks[0].Upstream != "limited" || asks[0].MaxWait != time.Second {
		t.Fatalf("asks %+v, want one for the waiting request that leaves half of its time", asks)
	}
	s.Tick(testStart)
	if asks := s.TakeLimitAsks(); len(asks) != 0 {
		t.Errorf("asks %+v while the first is not answered, want none", asks)
	}
	limits.granted["limited"] = 1
	if d := onlyDecision(t, s.HandleLimitAnswer(r.ID, "limited", true, 0, testStart)); d.Upstream == nil || d.Upstream.ID != "limited" || d.LimitStamp == 0 {
		t.Errorf("decision %+v, want an attempt at the limited upstream", d)
	}
}

// Guards against a request that waits until its deadline although the limit of the only upstream allows none in time,
// and against one that asks at once again after it was refused.
func TestRequestBeyondLimitIsRefusedAtOnce(t *testing.T) {
	limits := &testLimits{granted: map[entity.UpstreamID]int{"limited": 0}, coordinated: true}
	s := newLimitedScheduler(limits, "limited")
	late := newRequest(catalog.Idempotent, Pool{Service: "s"}, testStart)
	s.Enqueue(late, testStart)
	s.TakeLimitAsks()
	d := onlyDecision(t, s.HandleLimitAnswer(late.ID, "limited", false, 5*time.Second, testStart))
	if d.Refusal == nil || d.Reason != ReasonRequestLimit || d.Refusal.Ran != entity.NotRun || d.Refusal.RetryAfter < 5*time.Second || d.Refusal.RetryAfter > 6*time.Second {
		t.Errorf("decision %+v, want a refusal for the request limit with a retry after 5 to 6 s", d)
	}
	soon := newRequest(catalog.Idempotent, Pool{Service: "s"}, testStart)
	s.Enqueue(soon, testStart)
	s.TakeLimitAsks()
	if ds := s.HandleLimitAnswer(soon.ID, "limited", false, 300*time.Millisecond, testStart); len(ds) != 0 {
		t.Fatalf("decisions %+v, want the request to wait for the next ask", ds)
	}
	s.Tick(testStart.Add(290 * time.Millisecond))
	if asks := s.TakeLimitAsks(); len(asks) != 0 {
		t.Errorf("asks %+v before the stated time, want none", asks)
	}
	s.Tick(testStart.Add(310 * time.Millisecond))
	if asks := s.TakeLimitAsks(); len(asks) != 1 {
		t.Errorf("asks %+v after the stated time, want one", asks)
	}
}

// Guards against requests that wait for the coordinator of a limited upstream when there is none: they are refused
// unless the upstream can be used in another way.
func TestLimitedUpstreamWithoutCoordinator(t *testing.T) {
	s := newLimitedScheduler(&testLimits{granted: map[entity.UpstreamID]int{"limited": 0}}, "limited")
	r := newRequest(catalog.Idempotent, Pool{Service: "s"}, testStart)
	if ds := s.Enqueue(r, testStart); len(ds) != 0 {
		t.Fatalf("decisions %+v, want none before half of the target latency", ds)
	}
	if asks := s.TakeLimitAsks(); len(asks) != 0 {
		t.Errorf("asks %+v without a coordinator, want none", asks)
	}
	d := onlyDecision(t, s.Tick(testStart.Add(260*time.Millisecond)))
	if d.Refusal == nil || d.Reason != ReasonRequestLimit {
		t.Errorf("decision %+v, want a refusal for the request limit", d)
	}
}

// Guards against a limit that is never found to have ended, because all requests go elsewhere: a request that the
// limited upstream could have served asks for a spare one, which a later request uses.
func TestSpareRequestsKeepLimitedUpstreamInUse(t *testing.T) {
	limits := &testLimits{granted: map[entity.UpstreamID]int{"limited": 0}, coordinated: true, spares: true}
	s := newLimitedScheduler(limits, "limited", "other")
	onlyDecision(t, s.Enqueue(newRequest(catalog.Idempotent, Pool{Service: "s"}, testStart), testStart))
	asks := s.TakeLimitAsks()
	if len(asks) != 1 || asks[0].Request != "" || asks[0].Upstream != "limited" {
		t.Fatalf("asks %+v, want a spare one", asks)
	}
	limits.granted["limited"] = 1
	s.HandleLimitAnswer("", "limited", true, 0, testStart)
	if d := onlyDecision(t, s.Enqueue(newRequest(catalog.Idempotent, Pool{Service: "s"}, testStart), testStart)); d.Upstream == nil || d.Upstream.ID != "limited" {
		t.Errorf("decision %+v, want the next request at the limited upstream", d)
	}
}
