package dispatch

import (
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// Guards against work for an upstream that has said that it leaves, whatever the list says since, and
// against a new start under the same ID that gets none.
func TestLeavingUpstreamStaysLeft(t *testing.T) {
	s := newTestScheduler(nil)
	row := plainTarget("u")
	row.BornMillis = 5
	s.SetTarget(row, testStart)
	s.Heard("u", 5, Statement{Leaving: true}, testStart)
	served := func() bool {
		_, ok := s.servedIn(Pool{Service: "s"}, testStart)
		return ok
	}
	if served() {
		t.Error("the upstream is used though it leaves")
	}
	s.SetTarget(row, testStart)
	if served() {
		t.Error("the upstream is used again because it is listed")
	}
	s.RemoveTarget("u")
	s.SetTarget(row, testStart)
	if served() {
		t.Error("the upstream is used again because its entry came back")
	}
	row.BornMillis = 6
	s.SetTarget(row, testStart)
	if !served() {
		t.Error("the next start of the upstream is not used")
	}
	s.Heard("u", 5, Statement{Leaving: true}, testStart)
	if !served() {
		t.Error("an answer of the former start counts against the next one")
	}
}

// Guards against requests for an upstream in the pause that it wants, and against waiting for a pause that
// outlasts the request.
func TestPausedUpstream(t *testing.T) {
	s := newTestScheduler(nil)
	s.SetTarget(plainTarget("u"), testStart)
	s.Heard("u", 0, Statement{Pause: time.Second}, testStart)
	r := newRequest(catalog.Idempotent, Pool{Service: "s"}, testStart)
	if ds := s.Enqueue(r, testStart); len(ds) != 0 {
		t.Fatalf("decided %+v in the pause", ds)
	}
	if ds := s.Tick(testStart.Add(990 * time.Millisecond)); len(ds) != 0 {
		t.Fatalf("decided %+v in the pause", ds)
	}
	if d := onlyDecision(t, s.Tick(testStart.Add(1010*time.Millisecond))); d.Upstream == nil {
		t.Errorf("decided %+v after the pause", d)
	}
	s.Heard("u", 0, Statement{Pause: time.Minute}, testStart.Add(1020*time.Millisecond))
	late := newRequest(catalog.Idempotent, Pool{Service: "s"}, testStart.Add(1030*time.Millisecond))
	d := onlyDecision(t, s.Enqueue(late, testStart.Add(1030*time.Millisecond)))
	if d.Refusal == nil || d.Refusal.Ran != entity.NotRun || d.Refusal.RetryAfter < longestRetryAfter {
		t.Errorf("decided %+v though the pause outlasts the request", d)
	}
}

// Guards against a table that grows with every upstream that ever left.
func TestStatementsAreForgotten(t *testing.T) {
	s := newTestScheduler(nil)
	for i := range 100 {
		s.Heard(entity.UpstreamID(rune('a'+i)), 1, Statement{Leaving: true}, testStart)
	}
	s.Heard("last", 1, Statement{Leaving: true}, testStart.Add(2*statementMemory))
	if n := len(s.said); n != 1 {
		t.Errorf("%d statements are kept", n)
	}
}
