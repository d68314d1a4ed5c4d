package schedule

import (
	"math/rand/v2"

	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// Candidate is a target that can take a request now.
type Candidate struct {
	Upstream entity.UpstreamID
	// Load is the estimated number of requests there divided by the slots.
	Load float64
	// Prefix says that the upstream probably has the start of the prompt cached.
	Prefix bool
	// Avoid says that the last attempt of the request ended there.
	Avoid bool
}

// Selector chooses one of the candidates. It returns an index into a list that is never empty.
type Selector interface {
	Select(list []Candidate, rng *rand.Rand) int
}

// prefixBonus is the load difference up to which a cached prefix outweighs a shorter queue.
const prefixBonus = 0.5

// avoidPenalty makes a retry prefer any other target.
const avoidPenalty = 1000

func score(c Candidate) float64 {
	s := c.Load
	if c.Prefix {
		s -= prefixBonus
	}
	if c.Avoid {
		s += avoidPenalty
	}
	return s
}

// PowerOfTwo compares two random candidates, and those with the prefix cached. Always taking the
// least loaded target would make all hosts send to the same one while reports lag.
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
		if c.Prefix && score(c) < score(list[best]) {
			best = i
		}
	}
	return best
}

// Random takes any candidate. It exists as a baseline for measurements.
type Random struct{}

// Select implements Selector.
func (Random) Select(list []Candidate, rng *rand.Rand) int { return rng.IntN(len(list)) }
