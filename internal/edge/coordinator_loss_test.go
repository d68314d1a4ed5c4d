package edge

import (
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/dispatch"
	"github.com/foxtailpass/foxtailpass/internal/election"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

// sendUncoveredRequest handles the arrival of a request that the tokens of a test core do not cover.
func sendUncoveredRequest(c *core, at time.Time) *stepQueue {
	queue := newStepQueue()
	r := &dispatch.Request{ID: "r", Workspace: "w", Tokens: 5000, Arrived: at, Deadline: at.Add(10 * time.Second),
		Route: &catalog.Route{TargetLatency: 500 * time.Millisecond, MaxAttempts: 1}, Pool: dispatch.Pool{Service: "s"}}
	c.handle(requestArrived{request: r, stepQueue: queue}, at)
	return queue
}

// receivedRefusal returns the refusal in the next step of a request, nil if there is none.
func receivedRefusal(queue *stepQueue) *entity.Refusal {
	select {
	case st := <-queue.steps:
		return st.refusal
	default:
		return nil
	}
}

// Guards against a fleet that refuses its callers while the process of the coordinator is frozen: the kernel
// accepts connections for a frozen process, and hosts took each connection for a session and sent token
// requests on it instead of using their own fallback shares. The fault occurred at sites of 63 and 68 hosts.
func TestFrozenCoordinatorIsNotUsed(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	holder := election.Holder{Host: "other", Addr: ln.Addr().String()}
	events := make(chan event, 16)
	searching := &atomic.Bool{}
	searching.Store(true)
	d := &dialer{log: slog.New(slog.DiscardHandler), send: func(e event) { events <- e }, searching: searching,
		holder: &holder, enqueueRelayed: func(relayed) bool { return true }}
	c := newTestCore()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		d.runSession(t.Context(), holder)
	}()
	for now := testStart; ; now = now.Add(time.Millisecond) {
		select {
		case e := <-events:
			c.handle(e, now)
			if c.hasCoordinator() || !searching.Load() {
				t.Fatalf("after %T the host relies on a process that has sent nothing", e)
			}
		case <-ended:
			return
		}
	}
}

// Guards against requests that are refused because a coordinator that has stopped sending does not answer:
// the host may use its own fallback shares a second later, long before the deadline of the requests.
func TestUnansweredRequestsWaitForFallbackShares(t *testing.T) {
	c := newTestCore()
	c.handle(registrationConfirmed{until: testStart.Add(time.Minute)}, testStart)
	s, _ := newTestSession(t)
	c.handle(coordinatorLinkChanged{session: s, up: true}, testStart)
	c.handle(hostStateReceived{state: &wire.HostState{FallbackShares: map[entity.RateKey]float64{"w": 0.8}, SharesVersion: 1}}, testStart)
	queue := sendUncoveredRequest(c, testStart)
	for now := testStart; now.Before(testStart.Add(time.Second)); now = now.Add(15 * time.Millisecond) {
		c.tick(now)
		if r := receivedRefusal(queue); r != nil {
			t.Fatalf("refused with status %d after %s, want the request to wait for the fallback shares", r.Status, now.Sub(testStart))
		}
	}
	lost := testStart.Add(1100 * time.Millisecond)
	c.handle(coordinatorLinkChanged{session: s}, lost)
	for now := lost; now.Before(lost.Add(700 * time.Millisecond)); now = now.Add(15 * time.Millisecond) {
		c.tick(now)
	}
	if len(c.parked) != 0 {
		t.Error("the request still waits for tokens although the fallback shares of the host cover it")
	}
	if r := receivedRefusal(queue); r != nil && r.Status == 429 {
		t.Errorf("refused for lack of tokens, retry after %s; want the request admitted with the fallback shares", r.RetryAfter)
	}
}

// Guards against requests that are held forever because a coordinator sends messages but does not answer
// token requests.
func TestUnansweredRequestsAreHeldOnce(t *testing.T) {
	c := newTestCore()
	s, _ := newTestSession(t)
	c.handle(coordinatorLinkChanged{session: s, up: true}, testStart)
	queue := sendUncoveredRequest(c, testStart)
	for now := testStart; now.Before(testStart.Add(2500 * time.Millisecond)); now = now.Add(15 * time.Millisecond) {
		c.handle(hostStateReceived{state: &wire.HostState{}}, now)
		c.tick(now)
	}
	if r := receivedRefusal(queue); r == nil || r.Status != 429 || r.RetryAfter != unansweredRetryAfter {
		t.Errorf("refusal %+v, want status 429 and a Retry-After of unansweredRetryAfter", r)
	}
}

// Guards against processes that refuse requests at once after a mass restart, with a Retry-After of up to a
// minute, although a coordinator is available within a second.
func TestNewProcessWaitsForCoordinator(t *testing.T) {
	c := newTestCore()
	queue := sendUncoveredRequest(c, testStart.Add(200*time.Millisecond))
	c.tick(testStart.Add(600 * time.Millisecond))
	if r := receivedRefusal(queue); r != nil {
		t.Fatalf("refused within 400 ms, retry after %s; want the request to wait for the first coordinator", r.RetryAfter)
	}
	s, received := newTestSession(t)
	c.handle(coordinatorLinkChanged{session: s, up: true}, testStart.Add(800*time.Millisecond))
	for {
		select {
		case m := <-received:
			if req, ok := m.(*wire.TokenRequest); ok {
				if len(req.Deficits) != 1 || req.Deficits[0].MaxWait <= 0 {
					t.Errorf("deficits %+v, want one with a positive maximum wait", req.Deficits)
				}
				return
			}
		case <-time.After(2 * time.Second):
			t.Fatal("no token request is sent to the coordinator")
		}
	}
}

// Guards against a process without a coordinator that refuses callers with a Retry-After of a minute.
func TestRetryAfterWithoutCoordinatorIsShort(t *testing.T) {
	c := newTestCore()
	queue := sendUncoveredRequest(c, testStart.Add(5*time.Second))
	r := receivedRefusal(queue)
	if r == nil || r.Status != 429 {
		t.Fatalf("refusal %+v, want status 429", r)
	}
	if r.RetryAfter > maxRetryAfter || r.RetryAfter < minRetryAfter {
		t.Errorf("Retry-After %s, want minRetryAfter to maxRetryAfter", r.RetryAfter)
	}
}

// Guards against a host and the coordinator that both use the same share of a rate: the host works without the
// coordinator until it has received a message of the coordinator. Its second report shows that it has.
func TestFallbackSharesAreWithheldUntilSecondReport(t *testing.T) {
	c := newTestCore()
	s, received := newTestSession(t)
	c.handle(leaseChanged{lease: &election.CoordinatorLease{Token: 3, From: testStart}}, testStart)
	fallbackShares := map[entity.RateKey]float64{"w": 0.3}
	ids := []entity.RateKey{"w"}
	c.handle(reportReceived{report: &wire.HostReport{Host: "other", First: true, FallbackShares: fallbackShares}, session: s}, testStart)
	if got := c.coordinator.shares.Withheld(ids, testStart)["w"]; got < 0.3 {
		t.Errorf("%.2f is withheld for a host that may use 0.30, want at least that", got)
	}
	select {
	case <-received:
	case <-time.After(2 * time.Second):
		t.Fatal("the first report is not answered")
	}
	c.handle(reportReceived{report: &wire.HostReport{Host: "other", FallbackShares: nil}, session: s}, testStart.Add(time.Millisecond))
	if got := c.coordinator.shares.Withheld(ids, testStart.Add(time.Millisecond))["w"]; got != 0 {
		t.Errorf("%.2f is withheld, want 0 because the host has received an answer", got)
	}
}

// Guards against a request that is held although the coordinator has answered it: another request had used
// the tokens of the grant, the grant arrived after the maximum wait of the request, and no other tokens were
// expected.
func TestAnsweredRequestIsNotHeld(t *testing.T) {
	c := newTestCore()
	s, _ := newTestSession(t)
	c.handle(coordinatorLinkChanged{session: s, up: true}, testStart)
	queue := sendUncoveredRequest(c, testStart)
	late := testStart.Add(260 * time.Millisecond)
	grant := wire.TokenGrant{ID: c.parked[0].tokenRequestID, Workspace: "w", Tokens: 10}
	c.handle(tokensAnswered{answer: &wire.TokenResponse{Grants: []wire.TokenGrant{grant}}}, late)
	if r := receivedRefusal(queue); r == nil || r.Status != 429 {
		t.Errorf("refusal %+v, %d requests wait; want status 429 and none", r, len(c.parked))
	}
}
