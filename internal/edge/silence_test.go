package edge

import (
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/election"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

// Guards against a fleet that refuses its callers while the coordinator stands still: the kernel of a
// frozen process accepts connections, and hosts took each one for a session and asked it for tokens
// instead of using their own parts (RECOVER and SHORT on the sites of 63 and 68 hosts).
func TestFrozenProcessIsNoCoordinator(t *testing.T) {
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
		holder: &holder, relay: func(relayed) bool { return true }}
	c := newTestCore()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		d.serve(t.Context(), holder)
	}()
	for now := testStart; ; now = now.Add(time.Millisecond) {
		select {
		case e := <-events:
			c.handle(e, now)
			if c.coordinated() || !searching.Load() {
				t.Fatalf("after %T the host counts on a process that has said nothing", e)
			}
		case <-ended:
			return
		}
	}
}

// Guards against a host and the coordinator that both count on the same part of a rate: the host goes on
// by itself until it has heard from the coordinator, which its second report shows.
func TestPartsCountUntilTheHostHasHeard(t *testing.T) {
	c := newTestCore()
	s, received := newTestSession(t)
	c.handle(rightChanged{right: &election.Right{Token: 3, From: testStart}}, testStart)
	parts := map[entity.WorkspaceID]float64{"w": 0.3}
	ids := []entity.WorkspaceID{"w"}
	c.handle(reportReceived{report: &wire.HostReport{Host: "other", First: true, Parts: parts}, session: s}, testStart)
	if got := c.lead.shares.Withheld(ids, testStart)["w"]; got < 0.3 {
		t.Errorf("%.2f is withheld for a host that may use 0.30", got)
	}
	select {
	case <-received:
	case <-time.After(2 * time.Second):
		t.Fatal("the first report is not answered")
	}
	c.handle(reportReceived{report: &wire.HostReport{Host: "other", Parts: nil}, session: s}, testStart.Add(time.Millisecond))
	if got := c.lead.shares.Withheld(ids, testStart.Add(time.Millisecond))["w"]; got != 0 {
		t.Errorf("%.2f is withheld though the host has a session", got)
	}
}
