package edge

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/dispatch"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/metrics"
)

// Guards against a refusal that states that a request has not run although its first attempt had run: its key
// could no longer be proven valid before the second attempt.
func TestRefusalAfterAttemptReportsUnknownOutcome(t *testing.T) {
	m, err := metrics.New()
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name     string
		outcomes []entity.Outcome
		status   int
	}{
		{"ran before", []entity.Outcome{entity.AttemptFailed, entity.AttemptNotRun}, 502},
		{"may have run before", []entity.Outcome{entity.AttemptUnknown, entity.AttemptNotRun}, 502},
		{"never ran", []entity.Outcome{entity.AttemptNotRun}, 503},
	} {
		f := newFrontend(&frontend{metrics: m, send: func(event) {}, log: slog.New(slog.DiscardHandler)})
		fresh := true
		f.fresh = func() (bool, bool) { return fresh, true }
		f.viewAge = func(time.Time) time.Duration { return 0 }
		f.catalog.Store(catalog.New(catalog.Document{Workspaces: []*catalog.Workspace{{ID: "w"}}, Keys: map[string]entity.WorkspaceID{"k": "w"}}))
		s := &requestSession{frontend: f, ctx: &fasthttp.RequestCtx{}, needsKey: true, alive: context.Background(), cancel: func() {}, stopWatch: func() {},
			route: &catalog.Route{}, request: &dispatch.Request{ID: "r", Key: "k", Workspace: "w"}}
		f.active.Add(1)
		st := step{target: &dispatch.Target{}}
		for i, outcome := range c.outcomes {
			fresh = i < len(c.outcomes)-1
			s.attemptFailed(st, dispatch.AttemptResult{Outcome: outcome}, nil, s.arrived)
		}
		if got := s.ctx.Response.StatusCode(); got != c.status {
			t.Errorf("%s: status %d, want %d", c.name, got, c.status)
		}
		if after := s.ctx.Response.Header.Peek("Retry-After"); (len(after) > 0) != (c.status == 503) {
			t.Errorf("%s: Retry-After %q, want one only with status 503", c.name, after)
		}
	}
}
