package edge

import (
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/dispatch"
	"github.com/foxtailpass/foxtailpass/internal/election"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/fleet"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
	"github.com/foxtailpass/foxtailpass/internal/peer"
	"github.com/foxtailpass/foxtailpass/internal/quarantine"
	"github.com/foxtailpass/foxtailpass/internal/relay"
	"github.com/foxtailpass/foxtailpass/internal/releases"
	"github.com/foxtailpass/foxtailpass/internal/swap"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

// noEffects ignores all decisions.
type noEffects struct{}

func (noEffects) order(swap.Order, int64)                                      {}
func (noEffects) readEngineReport(*fleet.Upstream)                             {}
func (noEffects) connect(*election.Holder)                                     {}
func (noEffects) announce(map[entity.HostID]string, election.CoordinatorLease) {}
func (noEffects) holdsLease() bool                                             { return true }
func (noEffects) checkReplica(quarantine.Instance, string)                     {}
func (noEffects) writeQuarantine(quarantine.Write)                             {}
func (noEffects) writeRelease(kvstore.Txn)                                     {}
func (noEffects) setReleases(map[catalog.ServiceID]releases.Service)           {}
func (noEffects) viewProvesReleases() bool                                     { return true }
func (noEffects) setListing(releases.Listing)                                  {}
func (noEffects) setHosts(map[entity.HostID]string)                            {}
func (noEffects) claimProbe(entity.RequestID, []quarantine.Trait, kvstore.Txn) {}

var testStart = time.Unix(1000, 0)

func newTestCore() *core { return newSharingTestCore(Sharing{}, slog.DiscardHandler) }

func newSharingTestCore(sharing Sharing, log slog.Handler) *core {
	c := newCore("self", "a", "p/", new(quarantine.RecentTraits), Bounds{QuotaTolerance: 17000, QuotaOvershoot: 0.1, QuotaWindowSeconds: 8, RetryExtra: 10, RetryWindowSeconds: 10}, sharing, slog.New(log), noEffects{})
	c.handle(catalogChanged{catalog: catalog.New(catalog.Document{Version: 1, Workspaces: []*catalog.Workspace{{ID: "w", Rate: 10000, Burst: 10000}},
		Routes: []*catalog.Route{{Kind: catalog.Streaming, TargetLatency: 400 * time.Millisecond}, {Kind: catalog.Streaming, TargetLatency: 6 * time.Second}}})}, testStart)
	c.handle(membersChanged{hosts: []entity.HostID{"self", "other"}}, testStart)
	return c
}

// newTestSession returns a session with a host, and the messages that the host receives.
func newTestSession(t *testing.T) (*peer.Session, <-chan wire.Message) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	received := make(chan wire.Message, 16)
	go func() {
		_ = peer.Accept(ln, func(s *peer.Session) { _ = s.Run(func(m wire.Message) { received <- m }) })
	}()
	s, err := peer.Dial(t.Context(), ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	go func() { _ = s.Run(func(wire.Message) {}) }()
	return s, received
}

// Guards against a host whose first report arrives before this host is the coordinator, as after a restart of
// the coordinator at the same address: the host counted as unknown permanently, and the reserve was empty
// from then on.
func TestFirstReportBeforeLeaseIsKept(t *testing.T) {
	c := newTestCore()
	s, _ := newTestSession(t)
	c.handle(reportReceived{report: &wire.HostReport{Host: "other", First: true}, session: s}, testStart)
	c.handle(leaseChanged{lease: &election.CoordinatorLease{Token: 3, From: testStart}}, testStart)
	if c.coordinator.hosts["other"] == nil {
		t.Fatal("the early report was not kept")
	}
	if got := c.coordinator.shares.Withheld([]entity.RateKey{"w"}, testStart)["w"]; got != 0 {
		t.Errorf("%.2f of the rate is withheld although all hosts have reported", got)
	}
}

// Guards against a host that reports on a session whose first report this coordinator has not received: the
// host must start a new session, because the shares that it may use are unknown.
func TestReportOnUnknownSessionClosesIt(t *testing.T) {
	c := newTestCore()
	s, _ := newTestSession(t)
	c.handle(leaseChanged{lease: &election.CoordinatorLease{Token: 3, From: testStart}}, testStart)
	c.handle(reportReceived{report: &wire.HostReport{Host: "other"}, session: s}, testStart)
	select {
	case <-s.Done():
	case <-time.After(2 * time.Second):
		t.Error("the session stays open")
	}
}

// Guards against a confirmation of freshness that covers too much: a read that began before a report arrived
// proves nothing for that report, whatever the clocks of the hosts show.
func TestConfirmationsCoverOnlyReportsBeforeTheRead(t *testing.T) {
	c := newTestCore()
	s, received := newTestSession(t)
	c.handle(leaseChanged{lease: &election.CoordinatorLease{Token: 3, From: testStart}}, testStart)
	c.handle(revisionAdvanced{revision: 10, began: testStart}, testStart)
	report := func(at time.Time, sent int64, first bool) {
		c.handle(reportReceived{report: &wire.HostReport{Host: "other", First: first, SentAt: sent, Revision: 10}, session: s}, at)
	}
	report(testStart.Add(100*time.Millisecond), 111, true)
	began := testStart.Add(200 * time.Millisecond)
	report(testStart.Add(250*time.Millisecond), 222, false)
	change := kvstore.Event{Pair: kvstore.Pair{Key: "up/1", Value: []byte("x"), ModRevision: 12}}
	c.handle(revisionAdvanced{changes: []kvstore.Event{change}, revision: 13, began: began}, testStart.Add(300*time.Millisecond))
	updated := false
	for {
		select {
		case m := <-received:
			switch m := m.(type) {
			case *wire.ListUpdate:
				updated = m.From == 10 && m.To == 13
			case *wire.HostState:
				if m.ConfirmedSentAt == 0 {
					continue
				}
				if m.ConfirmedSentAt != 111 || m.Revision != 13 || !updated {
					t.Errorf("confirmed %d at revision %d, changes sent before: %v; want 111 at 13, true", m.ConfirmedSentAt, m.Revision, updated)
				}
				return
			}
		case <-time.After(2 * time.Second):
			t.Fatal("nothing was confirmed")
		}
	}
}

// Guards against requests that wait for an answer of a coordinator whose session has ended.
func TestParkedRequestsAreRetriedWithoutCoordinator(t *testing.T) {
	c := newTestCore()
	s, _ := newTestSession(t)
	c.handle(coordinatorLinkChanged{session: s, up: true}, testStart)
	queue := newStepQueue()
	request := &dispatch.Request{ID: "r", Workspace: "w", Tokens: 5000, Arrived: testStart, Deadline: testStart.Add(10 * time.Second),
		Route: &catalog.Route{TargetLatency: 600 * time.Millisecond, MaxAttempts: 1}}
	c.handle(requestArrived{request: request, stepQueue: queue}, testStart)
	if len(c.parked) != 1 {
		t.Fatalf("%d requests wait for tokens, want 1", len(c.parked))
	}
	c.handle(coordinatorLinkChanged{session: s}, testStart.Add(20*time.Millisecond))
	select {
	case st := <-queue.steps:
		if st.refusal == nil || st.refusal.Status != 429 || st.refusal.RetryAfter <= 0 {
			t.Errorf("step %+v, want a refusal with status 429 and a Retry-After", st)
		}
	default:
		t.Error("the request still waits although its tokens cannot be available in time")
	}
}

// Guards against changes of the list that a host applies twice, misses or reverts, whether it reads them
// itself or receives them from the coordinator.
func TestUpdatesAreAppliedOnceAndInOrder(t *testing.T) {
	s := &testStore{items: make(map[string]kvstore.Pair), revision: 1}
	state := &recordedState{upstreams: make(map[entity.UpstreamID]bool)}
	w := newTestWatcher(s, state)
	s.put("up/1", "x")
	if err := w.read(t.Context()); err != nil {
		t.Fatal(err)
	}
	base := w.revision
	s.put("up/2", "x")
	s.remove("up/1")
	if err := w.read(t.Context()); err != nil {
		t.Fatal(err)
	}
	old := &wire.ListUpdate{From: base, To: base + 1, Changes: mustEncode(t, kvstore.Event{Pair: kvstore.Pair{Key: "up/1", Value: []byte("x"), ModRevision: base + 1}})}
	w.applyRelayed(relayed{update: old})
	if state.upstreams["1"] || !state.upstreams["2"] {
		t.Errorf("upstreams after an old update: %v, want only 2", state.upstreams)
	}
	gap := &wire.ListUpdate{From: w.revision + 5, To: w.revision + 9, Changes: mustEncode(t)}
	w.applyRelayed(relayed{update: gap})
	if w.revision != s.revision {
		t.Errorf("an update after a gap changed the revision to %d, want that of the store", w.revision)
	}
	next := &wire.ListUpdate{From: base, To: s.revision + 2, Changes: mustEncode(t, kvstore.Event{Deleted: true, Pair: kvstore.Pair{Key: "up/2", ModRevision: s.revision + 1}})}
	w.applyRelayed(relayed{update: next})
	if state.upstreams["2"] || w.revision != s.revision+2 {
		t.Errorf("upstreams after the next update: %v at revision %d, want none at the end of the update", state.upstreams, w.revision)
	}
}

func mustEncode(t *testing.T, changes ...kvstore.Event) []byte {
	t.Helper()
	b, err := relay.Encode(changes)
	if err != nil {
		t.Fatal(err)
	}
	return b
}
