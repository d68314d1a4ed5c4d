package kvstore

import (
	"context"
	"time"
)

// Poller reads changes with single calls instead of the stream of a Watch. It suits readers that need to know the age
// of their data, and readers for which one read per interval is sufficient.
type Poller interface {
	// Poll returns the changes that the keys under prefix had after the revision given by after. It returns as
	// soon as there is a change, or without changes when wait has passed. The batch contains every change that was
	// acknowledged before the call began. Its Revision is the value of after for the next call. ErrCompacted means
	// that the service no longer has the history after that revision, so that the caller must use Range.
	Poll(ctx context.Context, prefix string, after int64, wait time.Duration) (WatchBatch, error)
}
