package experiment

import (
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/config"
)

// Guards against regressions that only a whole site shows: several hosts each load the same cold model, two
// hosts spend the same tokens, and requests get no answer.
func TestShortBurst(t *testing.T) {
	r, err := Run(t.Context(), Config{Experiment: "short", Site: "reykjavik", Policy: "default", Seed: 1, Examples: "../../examples"})
	if err != nil {
		t.Fatal(err)
	}
	if r.ColdModels != coldModels || r.MaxLoadsPerColdModel != 1 {
		t.Errorf("%d cold models, up to %d loads for one of them", r.ColdModels, r.MaxLoadsPerColdModel)
	}
	if r.ExcessTokens > 0 || r.MemoryViolations > 0 {
		t.Errorf("%f tokens over the limit, %d memory violations", r.ExcessTokens, r.MemoryViolations)
	}
	if r.Unanswered > 0 || r.Requests < coldRequests {
		t.Errorf("%d of %d requests got no answer: %v", r.Unanswered, r.Requests, r.Results)
	}
}

// Guards against an ideal weight store that is slower than possible: cold starts are compared with it, so
// that it would hide delays of the real site.
func TestIdealStore(t *testing.T) {
	s := newIdealWeightStore(config.WeightStore{LoadsPerSecond: 10, Parallel: 2})
	now := time.Now()
	want := []time.Duration{time.Second, time.Second, 2 * time.Second, 2 * time.Second, 3 * time.Second}
	for i, w := range want {
		if got := s.load(now, time.Second).Sub(now); got < w || got > w+200*time.Millisecond {
			t.Errorf("load %d ends after %v, want %v", i, got, w)
		}
	}
}
