package duty

import "time"

const (
	minBackoff = 300 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// backoff returns the delay after the given number of consecutive failures. It answers an API or a
// store that is down or throttles: the load on it stays low, and a report still gets several attempts
// before it is due.
func backoff(failures int) time.Duration {
	if failures <= 0 {
		return 0
	}
	delay := minBackoff
	for i := 1; i < failures && delay < maxBackoff; i++ {
		delay *= 2
	}
	return min(delay, maxBackoff)
}

// attempts schedules the attempts at one kind of call. Times are readings of the boot-time clock.
type attempts struct {
	failures int
	notUntil time.Duration
}

// due reports whether the next attempt may be made.
func (a *attempts) due(now time.Duration) bool { return now >= a.notUntil }

// record records the result of an attempt. The next one follows after spacing at the earliest.
func (a *attempts) record(now time.Duration, failed bool, spacing time.Duration) {
	a.failures++
	if !failed {
		a.failures = 0
	}
	a.notUntil = now + max(spacing, backoff(a.failures))
}
