package kvstore

import (
	"context"
	"time"
)

// Poller reads changes in single calls. It suits readers that need to know how old their
// knowledge is, and those for which a pause between two reads is enough.
type Poller interface {
	// Poll returns the changes of the keys under prefix after a revision, as soon as there are any
	// and no later than wait. The batch may be empty; its revision is where to go on, and nothing
	// that was acknowledged before the call began is missing from it. ErrCompacted means that the
	// history is no longer there and a Range is needed.
	Poll(ctx context.Context, prefix string, after int64, wait time.Duration) (WatchBatch, error)
}
