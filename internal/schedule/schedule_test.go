package schedule

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/foxtailpass/foxtailpass/internal/command"
	"github.com/foxtailpass/foxtailpass/internal/config"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

var (
	start    = time.Unix(1000, 0)
	testPool = PoolID{Model: "m"}
)

func site() *config.Site {
	return &config.Site{Document: config.Document{
		Models:     map[entity.ModelID]config.Model{"m": {Slots: 2}},
		Workspaces: map[entity.WorkspaceID]config.Workspace{"a": {Weight: 1}, "b": {Weight: 1}},
		Limits:     config.Limits{QueueRequests: 100, QueueBytes: 1 << 20, RetryRatio: 0.2, MaxAttempts: 3},
	}}
}

func newScheduler(t testing.TB, o Options) *Scheduler {
	t.Helper()
	o.Rand = rand.New(rand.NewPCG(1, 2))
	s := New(o)
	s.SetSite(site(), start)
	return s
}

func request(id string, ws entity.WorkspaceID, class entity.Class, deadline time.Duration) *Request {
	return &Request{
		ID: entity.RequestID(id), Workspace: ws, Key: entity.KeyID("key-" + ws), Pool: testPool, Class: class,
		Arrived: start, Deadline: start.Add(deadline), Tokens: 10, Bytes: 100, Idempotent: true,
	}
}

func dispatched(cmds []command.Command) []entity.RequestID {
	var out []entity.RequestID
	for _, c := range cmds {
		if d, ok := c.(command.Dispatch); ok {
			out = append(out, d.Request)
		}
	}
	return out
}

func refusals(cmds []command.Command) map[entity.RequestID]entity.Refusal {
	out := make(map[entity.RequestID]entity.Refusal)
	for _, c := range cmds {
		switch c := c.(type) {
		case command.Refuse:
			out[c.Request] = c.Refusal
		case command.CancelAttempt:
			out[c.Request] = c.Refusal
		}
	}
	return out
}

// TestRetryDecision guards against a refusal that states not-run without proof, and against dispatching a
// request that is not idempotent again after an attempt that may have run.
func TestRetryDecision(t *testing.T) {
	cases := []struct {
		name       string
		idempotent bool
		result     AttemptResult
		retried    bool
		code       string
		ran        entity.Ran
	}{
		{"not run is repeated", false, AttemptResult{Outcome: entity.AttemptNotRun, Unreachable: true}, true, "", 0},
		{"unknown is repeated if idempotent", true, AttemptResult{Outcome: entity.AttemptUnknown}, true, "", 0},
		{"failed is repeated if idempotent", true, AttemptResult{Outcome: entity.AttemptFailed}, true, "", 0},
		{"unknown is final if not idempotent", false, AttemptResult{Outcome: entity.AttemptUnknown}, false, "outcome_unknown", entity.RanUnknown},
		{"failed is final if not idempotent", false, AttemptResult{Outcome: entity.AttemptFailed}, false, "outcome_unknown", entity.RanUnknown},
		{"started stream is not repeated", true, AttemptResult{Outcome: entity.AttemptUnknown, AnswerStarted: true}, false, "stream_broken", entity.RanUnknown},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := newScheduler(t, Options{})
			s.SetTargets(testPool, []Target{{"u1", 2}, {"u2", 2}}, start)
			r := request("r", "a", entity.Interactive, time.Minute)
			r.Idempotent = tc.idempotent
			if got := dispatched(s.Enqueue(r, start)); len(got) != 1 {
				t.Fatalf("dispatched %v, want one request", got)
			}
			tc.result.Request = "r"
			cmds := s.AttemptEnded(tc.result, start)
			if got := len(dispatched(cmds)) == 1; got != tc.retried {
				t.Fatalf("retried = %v, want %v; commands %v", got, tc.retried, cmds)
			}
			if ref, ok := refusals(cmds)["r"]; ok == tc.retried || ref.Code != tc.code || ref.Ran != tc.ran {
				t.Fatalf("refusal = %+v, refused = %v; want the code and the Ran of the case, and a refusal only without a retry", ref, ok)
			}
		})
	}
}

// TestRefusalReportsEarlierAttempt guards against a refusal that states not-run although an earlier attempt of
// the request may have run.
func TestRefusalReportsEarlierAttempt(t *testing.T) {
	s := newScheduler(t, Options{})
	s.SetTargets(testPool, []Target{{"u1", 1}}, start)
	s.Enqueue(request("r", "a", entity.Interactive, time.Second), start)
	s.SetTargets(testPool, nil, start)
	s.AttemptEnded(AttemptResult{Request: "r", Outcome: entity.AttemptUnknown}, start)
	ref := refusals(s.Tick(start.Add(2 * time.Second)))["r"]
	if ref.Code != "deadline_exceeded" || ref.Ran != entity.RanUnknown {
		t.Fatalf("refusal = %+v, want deadline_exceeded with Ran = RanUnknown", ref)
	}
}

// TestUnservableRequestIsRefusedImmediately guards against a request that cannot be served in time but waits until
// its deadline before it is refused.
func TestUnservableRequestIsRefusedImmediately(t *testing.T) {
	ready := 5 * time.Second
	s := newScheduler(t, Options{ReadyIn: func(PoolID, time.Time) (time.Duration, bool) { return ready, true }})
	ref := refusals(s.Enqueue(request("late", "a", entity.Interactive, time.Second), start))["late"]
	if ref.Code != "not_ready_in_time" || ref.Ran != entity.NotRun || ref.RetryAfter != ready {
		t.Fatalf("refusal = %+v, want not_ready_in_time, NotRun and RetryAfter = 5s, the estimate", ref)
	}
	if cmds := s.Enqueue(request("ok", "a", entity.Interactive, 10*time.Second), start); len(cmds) != 0 {
		t.Fatalf("commands = %v, want the request queued", cmds)
	}
	ready = time.Minute
	if ref := refusals(s.Tick(start.Add(time.Second)))["ok"]; ref.Code != "not_ready_in_time" {
		t.Fatalf("refusal = %+v, want not_ready_in_time once the estimate has grown", ref)
	}
}

// TestFairQueueing guards against a workspace with a long queue that delays another one with few requests. FIFOQueue
// must show this delay; otherwise the test would prove nothing about FairQueue.
func TestFairQueueing(t *testing.T) {
	for _, policy := range []QueuePolicy{FairQueue, FIFOQueue} {
		s := newScheduler(t, Options{Queue: policy})
		for i := range 50 {
			r := request(fmt.Sprintf("a%02d", i), "a", entity.Interactive, time.Minute)
			r.Arrived = start.Add(time.Duration(i))
			s.Enqueue(r, start)
		}
		r := request("b", "b", entity.Interactive, time.Minute)
		r.Arrived = start.Add(time.Second)
		s.Enqueue(r, start)
		order := dispatched(s.SetTargets(testPool, []Target{{"u", 1}}, start))
		for len(order) < 51 {
			order = append(order, dispatched(s.AttemptEnded(AttemptResult{Request: order[len(order)-1], Outcome: entity.Completed}, start))...)
			if len(order) > 1 && len(order) < 51 {
				order = append(order, dispatched(s.AttemptEnded(AttemptResult{Request: order[len(order)-2], Outcome: entity.Completed}, start))...)
			}
		}
		at := 0
		for i, id := range order {
			if id == "b" {
				at = i
			}
		}
		if fair := at <= 3; fair != (policy == FairQueue) {
			t.Errorf("%s: the request of workspace b ran at position %d, want at most 3 under fair and more under fifo", policy, at)
		}
	}
}

// TestPatientRequestsYieldButDoNotStarve guards against patient requests that delay interactive ones, and
// against interactive load that starves patient requests.
func TestPatientRequestsYieldButDoNotStarve(t *testing.T) {
	s := newScheduler(t, Options{})
	s.Enqueue(request("patient", "a", entity.Patient, time.Minute), start)
	s.Enqueue(request("i1", "a", entity.Interactive, 2*time.Minute), start)
	s.Enqueue(request("i2", "b", entity.Interactive, 2*time.Minute), start)
	s.Enqueue(request("i3", "b", entity.Interactive, 2*time.Minute), start)
	got := dispatched(s.SetTargets(testPool, []Target{{"u", 2}}, start))
	for _, id := range got {
		if id == "patient" {
			t.Fatalf("dispatched %v, want no patient request before the interactive ones", got)
		}
	}
	s.Enqueue(request("i4", "b", entity.Interactive, 2*time.Minute), start)
	s.Enqueue(request("i5", "b", entity.Interactive, 2*time.Minute), start)
	late := start.Add(40 * time.Second)
	var next []entity.RequestID
	for _, id := range got {
		next = append(next, dispatched(s.AttemptEnded(AttemptResult{Request: id, Outcome: entity.Completed}, late))...)
	}
	for _, id := range next {
		if id == "patient" {
			return
		}
	}
	t.Fatalf("dispatched %v, want the urgent patient request among them", next)
}

// TestRefuseKeys guards against queued or running requests that continue after their key was withdrawn, and
// against ending requests with other keys.
func TestRefuseKeys(t *testing.T) {
	s := newScheduler(t, Options{})
	s.SetTargets(testPool, []Target{{"u", 1}}, start)
	for _, ws := range []entity.WorkspaceID{"a", "b"} {
		for i := range 3 {
			s.Enqueue(request(fmt.Sprintf("%s%d", ws, i), ws, entity.Interactive, time.Minute), start)
		}
	}
	got := refusals(s.RefuseKeys(map[entity.KeyID]bool{"key-a": true}))
	if len(got) != 3 {
		t.Fatalf("refused %v, want the three requests of the key", got)
	}
	for id, ref := range got {
		running := id == "a0" || id == "a1"
		if ref.Status != 401 || (ref.Ran == entity.RanUnknown) != running {
			t.Errorf("%s: refusal %+v, want status 401, and Ran = RanUnknown only for a0 and a1, which were running", id, ref)
		}
	}
}

// TestDemandListsWholeModels guards against a change of one adapter's queue that hides the other queues of the
// model: the receiver replaces all rows of a listed model.
func TestDemandListsWholeModels(t *testing.T) {
	s := newScheduler(t, Options{})
	s.site.Models["m"] = config.Model{Slots: 2, Adapters: map[entity.AdapterID]config.Adapter{"x": {}}}
	s.Enqueue(request("plain", "a", entity.Interactive, time.Minute), start)
	s.Demand(false, start)
	r := request("adapted", "a", entity.Interactive, time.Minute)
	r.Pool.Adapter = "x"
	s.Enqueue(r, start)
	if d := s.Demand(false, start); len(d) != 2 {
		t.Fatalf("demand %+v, want both queues of the model", d)
	}
	s.Cancel("plain")
	s.Cancel("adapted")
	if d := s.Demand(false, start); len(d) != 1 || d[0].WaitingInteractive != 0 {
		t.Fatalf("demand %+v, want one row without requests", d)
	}
}

// TestReportedLoadDecays guards against a host that continues to count the load of other hosts from an old report,
// and so sends nothing to an upstream that has become free.
func TestReportedLoadDecays(t *testing.T) {
	s := newScheduler(t, Options{})
	s.SetTargets(testPool, []Target{{"u", 2}}, start)
	s.HandleReportedLoad(wire.UpstreamLoad{Upstream: "u", Requests: 8}, start)
	if got := dispatched(s.Enqueue(request("r", "a", entity.Interactive, time.Minute), start)); len(got) != 0 {
		t.Fatalf("dispatched %v to a full upstream, want no request", got)
	}
	if got := dispatched(s.Tick(start.Add(2 * time.Second))); len(got) != 1 {
		t.Fatal("not dispatched 2 s after the report, when its load must have decayed")
	}
}

// TestEveryRequestEndsOnce guards against requests that end twice or never, slots that leak, and requests that
// are not idempotent but are dispatched again after an attempt that may have run.
func TestEveryRequestEndsOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newSchedulerModel(rt)
		steps := rapid.IntRange(1, 150).Draw(rt, "steps")
		for range steps {
			m.step()
		}
		m.finish()
	})
}

// schedulerModel drives a Scheduler with random steps and checks the commands that it returns.
type schedulerModel struct {
	t    *rapid.T
	s    *Scheduler
	now  time.Time
	next int
	// open holds the requests that have not ended. notRepeatable holds the requests that may have run and
	// are not idempotent.
	open          map[entity.RequestID]*Request
	running       map[entity.RequestID]bool
	notRepeatable map[entity.RequestID]bool
}

func newSchedulerModel(t *rapid.T) *schedulerModel {
	s := New(Options{Rand: rand.New(rand.NewPCG(3, 4))})
	s.SetSite(site(), start)
	return &schedulerModel{t: t, s: s, now: start, open: map[entity.RequestID]*Request{}, running: map[entity.RequestID]bool{}, notRepeatable: map[entity.RequestID]bool{}}
}

func (m *schedulerModel) step() {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 500).Draw(m.t, "ms")) * time.Millisecond)
	switch rapid.IntRange(0, 6).Draw(m.t, "action") {
	case 0, 1:
		m.enqueueRequest()
	case 2, 3:
		m.endAttempt()
	case 4:
		var targets []Target
		for i := range rapid.IntRange(0, 3).Draw(m.t, "targets") {
			targets = append(targets, Target{entity.UpstreamID(fmt.Sprint("u", i)), 2})
		}
		m.applyCommands(m.s.SetTargets(testPool, targets, m.now))
	case 5:
		m.applyCommands(m.s.RefuseKeys(map[entity.KeyID]bool{"key-a": true}))
	case 6:
		m.applyCommands(m.s.Tick(m.now))
	}
}

func (m *schedulerModel) enqueueRequest() {
	m.next++
	ws := entity.WorkspaceID(rapid.SampledFrom([]string{"a", "b"}).Draw(m.t, "ws"))
	r := request(fmt.Sprint("r", m.next), ws, entity.Class(rapid.IntRange(0, 1).Draw(m.t, "class")), 0)
	r.Arrived = m.now
	r.Deadline = m.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(m.t, "deadline")) * time.Millisecond)
	r.Idempotent = rapid.Bool().Draw(m.t, "idempotent")
	m.open[r.ID] = r
	m.applyCommands(m.s.Enqueue(r, m.now))
}

func (m *schedulerModel) endAttempt() {
	for id := range m.running {
		res := AttemptResult{Request: id, Outcome: entity.Outcome(rapid.IntRange(0, 4).Draw(m.t, "outcome"))}
		m.endAttemptAs(res)
		return
	}
}

func (m *schedulerModel) endAttemptAs(res AttemptResult) {
	r := m.open[res.Request]
	delete(m.running, res.Request)
	switch res.Outcome {
	case entity.Completed, entity.Canceled:
		delete(m.open, res.Request)
	case entity.AttemptFailed, entity.AttemptUnknown:
		m.notRepeatable[res.Request] = r != nil && !r.Idempotent
	}
	m.applyCommands(m.s.AttemptEnded(res, m.now))
}

func (m *schedulerModel) applyCommands(cmds []command.Command) {
	for _, c := range cmds {
		switch c := c.(type) {
		case command.Dispatch:
			if m.notRepeatable[c.Request] {
				m.t.Fatalf("request %s was dispatched again after it may have run", c.Request)
			}
			if m.open[c.Request] == nil || m.running[c.Request] {
				m.t.Fatalf("request %s was dispatched after its end or twice", c.Request)
			}
			m.running[c.Request] = true
		case command.Refuse:
			if m.open[c.Request] == nil || m.running[c.Request] {
				m.t.Fatalf("request %s was refused after its end or while running", c.Request)
			}
			delete(m.open, c.Request)
		case command.CancelAttempt:
			if !m.running[c.Request] {
				m.t.Fatalf("request %s was canceled but is not running", c.Request)
			}
			delete(m.running, c.Request)
			delete(m.open, c.Request)
			defer m.applyCommands(m.s.AttemptEnded(AttemptResult{Request: c.Request, Outcome: entity.Canceled}, m.now))
		}
	}
}

func (m *schedulerModel) finish() {
	for len(m.running) > 0 {
		for id := range m.running {
			m.endAttemptAs(AttemptResult{Request: id, Outcome: entity.Completed})
			break
		}
	}
	m.now = m.now.Add(time.Hour)
	m.applyCommands(m.s.Tick(m.now))
	for len(m.running) > 0 {
		for id := range m.running {
			m.endAttemptAs(AttemptResult{Request: id, Outcome: entity.Completed})
			break
		}
	}
	if len(m.open) != 0 || m.s.RequestCount() != 0 || m.s.queuedCount != 0 || m.s.queuedBytes != 0 {
		m.t.Fatalf("%d open requests, %d in the table, %d queued with %d bytes at the end, want none", len(m.open), m.s.RequestCount(), m.s.queuedCount, m.s.queuedBytes)
	}
	for _, u := range m.s.upstreams {
		if u.inflight != 0 {
			m.t.Fatalf("upstream %s has %d requests in flight at the end", u.id, u.inflight)
		}
	}
}

// TestBrokenUpstreamDoesNotDrainQueue guards against dispatching the whole queue to an upstream that breaks
// every connection, so that all requests are refused within moments. They must wait until it recovers.
func TestBrokenUpstreamDoesNotDrainQueue(t *testing.T) {
	s := newScheduler(t, Options{})
	s.SetTargets(testPool, []Target{{Upstream: "u", Slots: 4}}, start)
	const requests = 50
	refused, completed := 0, 0
	var pending []command.Command
	for i := range requests {
		pending = append(pending, s.Enqueue(request(fmt.Sprint("r", i), "a", entity.Interactive, 10*time.Second), start)...)
	}
	for ms := 0; ms < 5000; ms += 10 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		outcome := entity.AttemptUnknown
		if ms >= 1000 {
			outcome = entity.Completed
		}
		next := s.Tick(now)
		for _, id := range dispatched(pending) {
			if outcome == entity.Completed {
				completed++
			}
			next = append(next, s.AttemptEnded(AttemptResult{Request: id, Outcome: outcome, Reason: "read"}, now)...)
		}
		refused += len(refusals(pending))
		pending = next
	}
	// Only the five requests that run at first, and one probe at a time while the upstream is broken, may be
	// refused.
	if refused > 15 || refused+completed != requests {
		t.Errorf("%d of %d requests refused, %d completed; want at most 15 refused and the others completed", refused, requests, completed)
	}
}
