package dispatch

import (
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// Guards against requests to an upstream that has reported that it is draining, whatever its entry states
// later, and against a new incarnation with the same ID that gets no requests.
func TestDrainingUpstreamStaysExcluded(t *testing.T) {
	s := newTestScheduler(nil)
	row := plainTarget("u")
	row.BornMillis = 5
	s.SetTarget(row, testStart)
	s.RecordStatus("u", 5, StatusReport{Draining: true}, testStart)
	served := func() bool {
		_, ok, _ := s.estimateWait(&Request{Pool: Pool{Service: "s"}}, testStart)
		return ok
	}
	if served() {
		t.Error("the upstream is used although it is draining")
	}
	s.SetTarget(row, testStart)
	if served() {
		t.Error("the draining upstream is used again after an update of its entry")
	}
	s.RemoveTarget("u")
	s.SetTarget(row, testStart)
	if served() {
		t.Error("the draining upstream is used again after its entry was removed and added")
	}
	row.BornMillis = 6
	s.SetTarget(row, testStart)
	if !served() {
		t.Error("the next incarnation of the upstream is not used")
	}
	s.RecordStatus("u", 5, StatusReport{Draining: true}, testStart)
	if !served() {
		t.Error("a status of the former incarnation applies to the next one")
	}
}

// Guards against requests to an upstream during the back-off that it has requested, and against requests that
// wait for a back-off which ends after their deadline.
func TestUpstreamBackOff(t *testing.T) {
	s := newTestScheduler(nil)
	s.SetTarget(plainTarget("u"), testStart)
	s.RecordStatus("u", 0, StatusReport{BackOff: time.Second}, testStart)
	r := newRequest(catalog.Idempotent, Pool{Service: "s"}, testStart)
	if ds := s.Enqueue(r, testStart); len(ds) != 0 {
		t.Fatalf("decisions during the back-off: %+v, want none", ds)
	}
	if ds := s.Tick(testStart.Add(990 * time.Millisecond)); len(ds) != 0 {
		t.Fatalf("decisions during the back-off: %+v, want none", ds)
	}
	if d := onlyDecision(t, s.Tick(testStart.Add(1010*time.Millisecond))); d.Upstream == nil {
		t.Errorf("decision after the back-off: %+v, want an attempt", d)
	}
	s.RecordStatus("u", 0, StatusReport{BackOff: time.Minute}, testStart.Add(1020*time.Millisecond))
	late := newRequest(catalog.Idempotent, Pool{Service: "s"}, testStart.Add(1030*time.Millisecond))
	d := onlyDecision(t, s.Enqueue(late, testStart.Add(1030*time.Millisecond)))
	if d.Refusal == nil || d.Refusal.Ran != entity.NotRun || d.Refusal.RetryAfter < maxRetryAfter {
		t.Errorf("decision %+v although the back-off ends after the deadline, want a refusal that states that the request did not run, with the longest retry time", d)
	}
}

// Guards against a table that grows with every upstream that was ever draining.
func TestOldStatusesAreRemoved(t *testing.T) {
	s := newTestScheduler(nil)
	for i := range 100 {
		s.RecordStatus(entity.UpstreamID(rune('a'+i)), 1, StatusReport{Draining: true}, testStart)
	}
	s.RecordStatus("last", 1, StatusReport{Draining: true}, testStart.Add(2*statusRetention))
	if n := len(s.selfReported); n != 1 {
		t.Errorf("%d statuses are kept, want only the newest", n)
	}
}
