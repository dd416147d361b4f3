// Package clock reads a monotonic clock that also advances while the machine is
// suspended.
//
// It determines the clock for leases and for the age of data: a lease that expires
// during a suspension has expired when the process resumes. The package has no state.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since a fixed but arbitrary point before the process started.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// All supported kernels have this clock. Without it, leases would be unsafe.
		panic("clock: read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Time returns a moment of the same clock, for arithmetic. It is no time of day: only moments of one VM, from one start to the
// next, compare.
func Time() time.Time { return time.Unix(0, int64(Now())) }
