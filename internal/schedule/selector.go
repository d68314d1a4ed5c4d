package schedule

import (
	"math/rand/v2"

	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// Candidate is a target that accepts a request now.
type Candidate struct {
	Upstream entity.UpstreamID
	// Load is the estimated number of requests at the upstream divided by the slots of the target.
	Load float64
	// PrefixCached is set if the upstream probably has the start of the prompt cached.
	PrefixCached bool
	// Avoid is set if the last attempt of the request was at this upstream.
	Avoid bool
}

// Selector chooses one of the candidates. Select returns an index into the list, which is never empty.
type Selector interface {
	Select(list []Candidate, rng *rand.Rand) int
}

// prefixBonus is the difference in Load up to which a target with the prefix cached is preferred to a target with
// less load.
const prefixBonus = 0.5

// avoidPenalty exceeds any load, so that a retry prefers every other target.
const avoidPenalty = 1000

// score rates a candidate; lower is better.
func score(c Candidate) float64 {
	s := c.Load
	if c.PrefixCached {
		s -= prefixBonus
	}
	if c.Avoid {
		s += avoidPenalty
	}
	return s
}

// PowerOfTwo chooses the best among two random candidates and the candidate with the prefix cached. If every host
// always chose the least loaded target, all hosts would send to the same target until the next load reports arrive.
type PowerOfTwo struct{}

// Select implements Selector.
func (PowerOfTwo) Select(list []Candidate, rng *rand.Rand) int {
	best := rng.IntN(len(list))
	if len(list) > 1 {
		other := rng.IntN(len(list) - 1)
		if other >= best {
			other++
		}
		if score(list[other]) < score(list[best]) {
			best = other
		}
	}
	for i, c := range list {
		if c.PrefixCached && score(c) < score(list[best]) {
			best = i
		}
	}
	return best
}

// Random chooses a random candidate. It is a baseline for measurements.
type Random struct{}

// Select implements Selector.
func (Random) Select(list []Candidate, rng *rand.Rand) int { return rng.IntN(len(list)) }
