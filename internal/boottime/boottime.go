// Package boottime reads the clock that goes on while a host is suspended. The monotonic clock
// of the runtime stops during a suspension, so a lease or a proof of freshness that it
// measures would seem younger than it is.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot as a time without a monotonic reading. Only differences
// between two results are meaningful.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The call fails only for an unknown clock or a bad pointer.
		panic("boottime: " + err.Error())
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
