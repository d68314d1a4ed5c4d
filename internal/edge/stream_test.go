package edge

import (
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
)

// Guards against slow but sound streams that are cut: one whose upstream paused for a second was given up
// and begun again at the same upstream, and then given up for good (scale-1 of Reykjavik grown, request
// 5dfd1e398268300b).
func TestSilentStreamIsGivenUpOnlyForAnother(t *testing.T) {
	route := &catalog.Route{Resumable: true, MaxAttempts: 2, Patience: 10 * time.Second}
	for _, c := range []struct {
		name    string
		route   *catalog.Route
		step    step
		limited bool
		least   time.Duration
	}{
		{"another upstream", route, step{alternatives: 2}, true, eventLimit},
		{"no other upstream", route, step{}, true, 5 * time.Second},
		{"last attempt", route, step{last: true, alternatives: 2}, false, 0},
		{"not resumable", &catalog.Route{MaxAttempts: 2}, step{alternatives: 2}, false, 0},
	} {
		limit, limited := silenceLimit(c.route, c.step, true)
		if limited != c.limited || limit < c.least || limit >= route.Patience {
			t.Errorf("%s: limit %v, %v", c.name, limit, limited)
		}
	}
}
