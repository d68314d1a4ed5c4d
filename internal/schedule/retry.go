package schedule

// retryBudget bounds retries to a ratio of first attempts, so that retries cannot multiply the
// load of an upstream that is already failing.
type retryBudget struct {
	tokens float64
}

const (
	// retryBurst is the maximum number of consecutive retries without first attempts in between.
	retryBurst = 10
	// initialRetries is the initial budget, so that the first requests after a start can be retried.
	initialRetries = 3
)

func newRetryBudget() retryBudget { return retryBudget{tokens: initialRetries} }

func (b *retryBudget) deposit(ratio float64) { b.tokens = min(retryBurst, b.tokens+ratio) }

func (b *retryBudget) available() bool { return b.tokens >= 1 }

func (b *retryBudget) withdraw() { b.tokens-- }
