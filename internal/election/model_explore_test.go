package election

import (
	"math/rand/v2"
	"testing"
)

// allSteps returns each event after each gap.
func allSteps() []modelStep {
	var out []modelStep
	for _, e := range modelEvents {
		for _, gap := range eventGaps {
			out = append(out, modelStep{gap, e})
		}
	}
	return out
}

// Guards against two coordinators, for all orders of two events (issue 40, ONE).
func TestModelOfTwoEvents(t *testing.T) {
	for _, first := range allSteps() {
		for _, second := range allSteps() {
			reportFault(t, []modelStep{first, second})
		}
	}
}

// Guards against two coordinators, for random series of up to five events (issue 40, ONE).
func TestModelOfManyEvents(t *testing.T) {
	r := rand.New(rand.NewPCG(40, 1))
	all := allSteps()
	for range 1000 {
		var steps []modelStep
		for range 3 + r.IntN(3) {
			steps = append(steps, all[r.IntN(len(all))])
		}
		reportFault(t, steps)
	}
}
