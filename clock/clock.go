// Package clock holds what the standard library's clock lacks: time that also counts while
// the instance is suspended, and a sleep that ends with a context.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the time since the instance started. Unlike the runtime's monotonic
// clock it goes on while the instance is suspended.
func BootTime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Duration(time.Now().UnixNano()) // no such clock: the time of day
	}
	return time.Duration(now.Nano())
}

// Sleep waits for d or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
