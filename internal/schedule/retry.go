package schedule

// retryBudget bounds retries to a ratio of first attempts, so that retries cannot multiply the
// load of an upstream that is already failing.
type retryBudget struct {
	tokens float64
}

const (
	// retryBurst is the number of retries that may follow each other without first attempts.
	retryBurst = 10
	// initialRetries lets the first requests after a start be retried.
	initialRetries = 3
)

func newRetryBudget() retryBudget { return retryBudget{tokens: initialRetries} }

func (b *retryBudget) deposit(ratio float64) { b.tokens = min(retryBurst, b.tokens+ratio) }

func (b *retryBudget) available() bool { return b.tokens >= 1 }

func (b *retryBudget) withdraw() { b.tokens-- }
