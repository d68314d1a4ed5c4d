package experiment

import (
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/config"
)

// Guards against faults that only a whole site shows: several hosts each load the same cold model, two hosts spend
// the same tokens, an engine gets a load order for which it lacks memory, or requests get no answer.
func TestShortBurst(t *testing.T) {
	r, err := Run(t.Context(), Config{Experiment: "short", Site: "reykjavik", Policy: "default", Seed: 1, Examples: "../../examples"})
	if err != nil {
		t.Fatal(err)
	}
	if r.ColdModels != coldModels || r.MaxLoadsPerColdModel != 1 {
		t.Errorf("%d cold models, up to %d loads for one of them; want coldModels models with one load each", r.ColdModels, r.MaxLoadsPerColdModel)
	}
	if r.ExcessTokens > 0 || r.MemoryViolations > 0 {
		t.Errorf("%f tokens over the limit, %d memory violations; want none", r.ExcessTokens, r.MemoryViolations)
	}
	if r.Unanswered > 0 || r.Requests < coldRequests {
		t.Errorf("%d of %d requests got no answer, want none of at least coldRequests: %v", r.Unanswered, r.Requests, r.Results)
	}
}

// Guards against an ideal weight store that is slower than necessary. Cold starts are compared with its times, so a
// slow one would hide delays of the hosts.
func TestIdealStore(t *testing.T) {
	s := newIdealWeightStore(config.WeightStore{LoadsPerSecond: 10, Parallel: 2})
	now := time.Now()
	want := []time.Duration{time.Second, time.Second, 2 * time.Second, 2 * time.Second, 3 * time.Second}
	for i, w := range want {
		if got := s.load(now, time.Second).Sub(now); got < w || got > w+200*time.Millisecond {
			t.Errorf("load %d ends after %v, want %v or up to 200 ms more", i, got, w)
		}
	}
}
