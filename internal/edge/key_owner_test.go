package edge

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/dispatch"
	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// keyCatalog returns a configuration of the workspaces "poor", with a rate and few tokens, "rich", without a rate, and "w", with a
// rate. The key belongs to an owner, or to none.
func keyCatalog(version int64, owner entity.WorkspaceID) *catalog.Catalog {
	d := catalog.Document{Version: version, Keys: map[string]entity.WorkspaceID{"other-key": "w"},
		Workspaces: []*catalog.Workspace{{ID: "poor", Rate: 1, Burst: 1}, {ID: "rich"}, {ID: "w", Rate: 10000, Burst: 10000}},
		Routes:     []*catalog.Route{{Kind: catalog.Streaming, TargetLatency: 400 * time.Millisecond}}}
	if owner != "" {
		d.Keys["key"] = owner
	}
	return catalog.New(d)
}

// Guards against requests that wait for tokens, or for an upstream, and are refused because their key belongs to another
// workspace now, go on for the former one, or go on although their key was withdrawn (review, case 14).
func TestKeysOfWaitingRequests(t *testing.T) {
	for _, urgency := range []bool{false, true} {
		for _, from := range []entity.WorkspaceID{"poor", "rich"} {
			for _, to := range []entity.WorkspaceID{"", "rich", "w"} {
				t.Run(fmt.Sprintf("%s to %q, by urgency %v", from, to, urgency), func(t *testing.T) {
					c := newSharingTestCore(Sharing{RateUrgency: urgency}, slog.DiscardHandler)
					now := testStart.Add(10 * time.Second)
					c.handle(registrationConfirmed{until: now.Add(time.Minute)}, now)
					c.handle(catalogChanged{catalog: keyCatalog(2, from)}, now)
					// The upstream has no free slot.
					c.scheduler.SetTarget(dispatch.Target{ID: "u", Service: "s", Slots: 1}, now)
					c.scheduler.SetOthers("u", 100, now)
					r := &dispatch.Request{ID: "r", Workspace: from, Key: "key", Tokens: 4000, Arrived: now, Deadline: now.Add(10 * time.Second),
						Route: &catalog.Route{TargetLatency: 10 * time.Second, MaxAttempts: 1, Kind: catalog.Streaming}, Pool: dispatch.Pool{Service: "s"}}
					p := &parkedRequest{request: r, waitUntil: r.Deadline, recheckAt: r.Deadline}
					queue := newStepQueue()
					c.stepQueues[r.ID] = queue
					if from == "poor" {
						c.parked = append(c.parked, p)
					} else {
						c.enqueue(r, now)
					}
					c.handle(catalogChanged{catalog: keyCatalog(3, to)}, now.Add(time.Second))
					refusal := receivedRefusal(queue)
					if to == "" {
						if refusal == nil || refusal.Status != 401 || refusal.Ran != entity.NotRun {
							t.Fatalf("refusal %+v of a request whose key was withdrawn", refusal)
						}
						return
					}
					if refusal != nil {
						t.Fatalf("refusal %+v", refusal)
					}
					if r.Workspace != to {
						t.Errorf("the request waits for workspace %q", r.Workspace)
					}
					if waits := c.scheduler.RequestCount() + len(c.parked); waits != 1 {
						t.Errorf("the request waits %d times", waits)
					}
				})
			}
		}
	}
}
