package edge

import (
	"errors"
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// Guards against a Retry-After that ends when this host knows the release of a stream and the host that is asked next does
// not, and against one where waiting is of no use.
func TestRefusalOfUnknownRelease(t *testing.T) {
	for _, c := range []struct {
		name     string
		err      error
		min, max time.Duration
		failed   bool
	}{
		{"never known", errReleaseUnknown, 0, 0, false},
		{"known soon", releaseUndecidedError{retryAfter: time.Second}, 1400 * time.Millisecond, 2 * time.Second, false},
		{"read failed", errors.New("store is away"), 100 * time.Millisecond, time.Second, true},
	} {
		r, failed := refuseUnknownRelease(c.err)
		if r.RetryAfter < c.min || r.RetryAfter > c.max || failed != c.failed || r.Status != 503 || r.Ran != entity.NotRun {
			t.Errorf("%s: %+v, failed %v", c.name, r, failed)
		}
	}
}
