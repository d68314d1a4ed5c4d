package experiment

import (
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/config"
)

// Guards against regressions that only show with a whole site: a cold model loaded once per host,
// tokens spent twice by two hosts, and requests that get no answer.
func TestShortBurst(t *testing.T) {
	r, err := Run(t.Context(), Config{Experiment: "short", Site: "reykjavik", Policy: "default", Seed: 1, Examples: "../../examples"})
	if err != nil {
		t.Fatal(err)
	}
	if r.ColdModels != coldModels || r.MaxLoadsPerCold != 1 {
		t.Errorf("%d cold models, at most %d loads for one", r.ColdModels, r.MaxLoadsPerCold)
	}
	if r.ExcessTokens > 0 || r.MemoryViolations > 0 {
		t.Errorf("%f tokens over the limit, %d memory violations", r.ExcessTokens, r.MemoryViolations)
	}
	if r.Unanswered > 0 || r.Requests < coldRequests {
		t.Errorf("%d of %d requests without an answer: %v", r.Unanswered, r.Requests, r.Results)
	}
}

// Guards against a reference for cold starts that is worse than what is possible, which would
// hide losses.
func TestIdealStore(t *testing.T) {
	s := newIdealStore(config.WeightStore{LoadsPerSecond: 10, Parallel: 2})
	now := time.Now()
	want := []time.Duration{time.Second, time.Second, 2 * time.Second, 2 * time.Second, 3 * time.Second}
	for i, w := range want {
		if got := s.load(now, time.Second).Sub(now); got < w || got > w+200*time.Millisecond {
			t.Errorf("load %d ends after %v, want %v", i, got, w)
		}
	}
}
