package kvstore

import (
	"context"
	"time"
)

// Poller reads changes with single calls instead of a stream. It suits readers that need to know the age of
// their data, and readers for which one read per interval is sufficient.
type Poller interface {
	// Poll returns the changes of the keys under prefix after the revision after. It returns as soon as there
	// is a change, or without one after wait. The revision of the returned batch is the value of after for the
	// next call. The batch contains every change that was acknowledged before the call began. ErrCompacted
	// means that the history after the revision has been compacted, and that a Range is needed.
	Poll(ctx context.Context, prefix string, after int64, wait time.Duration) (WatchBatch, error)
}
