// Package boottime reads the clock that goes on counting while an instance is
// suspended. Leases are measured by it.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the instance was started.
func Now() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, err
	}
	return time.Duration(ts.Nano()), nil
}
