// Package boottime reads a clock that, unlike the runtime's monotonic one, also counts
// while the instance is suspended.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the instance started.
func Now() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Duration(time.Now().UnixNano()) // no such clock: the time of day
	}
	return time.Duration(now.Nano())
}
