// Package clock reads the suspend-aware clock that leases are counted with.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the machine booted, suspended time included (CLOCK_BOOTTIME).
// It never steps when the wall clock is set.
func Boot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
