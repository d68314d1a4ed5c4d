package speed

// The inputs of a shape: a constant, the length of the prompt, and the load.
const (
	constant = iota
	tokens
	load
	dimensions
)

const (
	// tokenUnit is the number of tokens of one unit of the input.
	tokenUnit = 1000.0
	// priorAnswers is the number of answers that the assumed shape counts for.
	priorAnswers = 10.0
	// shapeDecay is the share of their weight that earlier answers keep with each new one.
	shapeDecay = 0.998
	// answersPerFit is the number of answers after which the shape is computed again.
	answersPerFit = 8
	// maxRelativeTime bounds what one answer counts, in multiples of the expected time at a mean replica.
	maxRelativeTime = 8.0
)

// assumedWeights are the shapes until answers show others: with a prompt of 1,000 tokens and half of the slots in use, a
// first event takes 1.1 times the base, and a gap 1.
var assumedWeights = [kinds][dimensions]float64{First: {0.5, 0.3, 0.6}, Gap: {0.6, 0, 0.8}}

// minWeights bound the shapes below. More load always counts as slower, so that a shape which was learned while all
// replicas had the same load still spreads requests.
var minWeights = [kinds][dimensions]float64{First: {0.05, 0.01, 0.2}, Gap: {0.05, 0, 0.2}}

// shape is a linear model of times, in multiples of the base. It is the least-squares fit to answers that lose weight
// with each new one, and to assumed weights.
type shape struct {
	kind    Kind
	weights [dimensions]float64
	prior   [dimensions]float64
	// products and results are the sums of the products of inputs with inputs and with times.
	products [dimensions][dimensions]float64
	results  [dimensions]float64
	unfitted int
}

func newShape(k Kind) shape {
	return shape{kind: k, weights: assumedWeights[k], prior: assumedWeights[k]}
}

func input(promptTokens, inUse float64) [dimensions]float64 {
	return [dimensions]float64{1, promptTokens / tokenUnit, min(inUse, 2)}
}

// at returns the time at an input.
func (s *shape) at(x [dimensions]float64) float64 {
	sum := 0.0
	for i, v := range x {
		sum += v * s.weights[i]
	}
	return sum
}

// learn adds an answer.
func (s *shape) learn(x [dimensions]float64, relative, count float64) {
	if s.kind == Gap {
		x[tokens] = 0
	}
	relative = min(relative, maxRelativeTime)
	for i := range x {
		for j := range x {
			s.products[i][j] = s.products[i][j]*shapeDecay + x[i]*x[j]*count
		}
		s.results[i] = s.results[i]*shapeDecay + x[i]*relative*count
	}
	if s.unfitted++; s.unfitted >= answersPerFit {
		s.unfitted = 0
		s.fit()
	}
}

// fit solves the normal equations by coordinate descent, which keeps every weight above its bound.
func (s *shape) fit() {
	const rounds = 30
	for range rounds {
		for i := range s.weights {
			rest := s.results[i] + priorAnswers*s.prior[i]
			for j := range s.weights {
				if j != i {
					rest -= s.products[i][j] * s.weights[j]
				}
			}
			s.weights[i] = max(rest/(s.products[i][i]+priorAnswers), minWeights[s.kind][i])
		}
	}
}

// adopt makes given weights the assumed ones and forgets the answers.
func (s *shape) adopt(weights [dimensions]float64) {
	for i := range weights {
		weights[i] = max(weights[i], minWeights[s.kind][i])
	}
	*s = shape{kind: s.kind, weights: weights, prior: weights}
}
