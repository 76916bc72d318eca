// Package boottime reads the boot-time clock of the instance, which continues to advance
// while the instance is suspended. Leases are measured by this clock.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the instance booted, including suspended time.
func Now() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, err
	}
	return time.Duration(ts.Nano()), nil
}
