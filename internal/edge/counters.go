package edge

import (
	"sync/atomic"
	"time"
)

// counters holds the figures of one host.
type counters struct {
	left     atomic.Int64
	attempts [8]atomic.Int64
	answers  atomic.Int64
	refusals atomic.Int64
}

func newCounters() *counters { return &counters{} }

func (c *counters) refused(string)              { c.refusals.Add(1) }
func (c *counters) answered(int, time.Duration) { c.answers.Add(1) }
func (c *counters) firstEvent(time.Duration)    {}
