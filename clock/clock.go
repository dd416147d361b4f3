// Package clock reads a clock that never jumps and that goes on while the machine
// is suspended.
//
// It owns the choice of clock for leases and freshness: whatever expires by it has
// expired by the time that a suspended process runs again. It keeps no state.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since an arbitrary moment before the process started.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every supported kernel has this clock; without it no lease can be trusted.
		panic("clock: read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
