// Package clock provides a monotonic clock that also counts the time for which the
// instance is suspended, and a sleep that ends with a context.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the time since the instance booted. Unlike the runtime's monotonic
// clock, it includes the time for which the instance was suspended.
func BootTime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Duration(time.Now().UnixNano()) // CLOCK_BOOTTIME is not available; use wall-clock time
	}
	return time.Duration(now.Nano())
}

// BootNow returns BootTime as a time, for code that keeps times. Only the difference of two such
// times has a meaning.
func BootNow() time.Time { return time.Unix(0, 0).Add(BootTime()) }

// Sleep waits for d or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
