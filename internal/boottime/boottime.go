// Package boottime reads the clock that continues to run while a host is suspended. The monotonic clock of
// the Go runtime stops during a suspension: with it, the measured age of a lease, or of the last confirmation
// that a view is fresh, would be too small.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot, added to the Unix epoch, as a time without a monotonic reading. Only
// differences between two results are meaningful.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The call fails only for an unknown clock or an invalid pointer.
		panic("boottime: " + err.Error())
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
