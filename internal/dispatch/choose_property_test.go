package dispatch

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a choice among candidates that finds none, or one that takes no request, however high the costs are
// (review, case 15).
func TestPickReturnsCandidate(t *testing.T) {
	anyCost := rapid.OneOf(rapid.Float64Range(0, math.MaxFloat64), rapid.Float64Range(0, 10), rapid.SampledFrom([]float64{-1, 0, 1e16, math.MaxFloat64, math.Inf(1), math.NaN()}))
	rapid.Check(t, func(t *rapid.T) {
		candidates := make([]candidate, rapid.IntRange(1, 8).Draw(t, "candidates"))
		for i := range candidates {
			c := candidate{cost: anyCost.Draw(t, "cost"), slope: anyCost.Draw(t, "slope"), free: rapid.Float64Range(0, 64).Draw(t, "free")}
			candidates[i] = c.bounded()
		}
		requests := rapid.Float64Range(0.5, 1000).Draw(t, "requests")
		i := pick(candidates, requests, rapid.Float64Range(0, 1-1e-9).Draw(t, "random"))
		if i < 0 || i >= len(candidates) {
			t.Fatalf("candidate %d of %d", i, len(candidates))
		}
		if level := fillLevel(candidates, requests); candidates[i].takes(level) <= 0 {
			t.Fatalf("the chosen candidate takes no request up to level %v: %+v", level, candidates)
		}
	})
}

// Guards against a request whose stated size ends the process that chooses its upstream (review, case 15).
func TestHugePromptIsSent(t *testing.T) {
	for _, tokens := range []int{1_000_000_000, 1 << 62, math.MaxInt} {
		for _, budget := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d tokens, budget %v", tokens, budget), func(t *testing.T) {
				h := newSpeedHost(1, 4, []float64{1, 3, 1, 3})
				h.opts.PrefillBudget = budget
				r := streamRequest(h, testStart)
				r.PromptTokens, r.Tokens = tokens, float64(tokens)
				if got := len(h.Enqueue(r, testStart)); got != 1 {
					t.Errorf("%d decisions, want the attempt", got)
				}
			})
		}
	}
}

// Guards against an upstream that gets no more prompts for long, because a prompt that it could never read counts as if it
// were read to its end.
func TestHugePromptIsNotCountedBeyondItsDeadline(t *testing.T) {
	h := newSpeedHost(1, 4, []float64{1, 3})
	h.opts.PrefillBudget = true
	r := streamRequest(h, testStart)
	r.PromptTokens = 1_000_000_000
	sent := h.Enqueue(r, testStart)
	if len(sent) != 1 {
		t.Fatalf("%d decisions, want the attempt", len(sent))
	}
	pending := h.targets[sent[0].Upstream.ID].ledger.Pending(r.Deadline)
	if pending > 0 {
		t.Errorf("%v s of the prompt are still to be read at its deadline", pending)
	}
}
