package schedule

// retryBudget bounds the number of retries to a ratio of the number of first attempts. Otherwise retries could
// multiply the load of an upstream that is already failing. One token pays for one retry.
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

// deposit adds the part of a retry that one first attempt allows.
func (b *retryBudget) deposit(ratio float64) { b.tokens = min(retryBurst, b.tokens+ratio) }

func (b *retryBudget) available() bool { return b.tokens >= 1 }

func (b *retryBudget) withdraw() { b.tokens-- }
