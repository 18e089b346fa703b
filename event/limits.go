package event

import (
	"sync"
	"sync/atomic"

	"golang.org/x/time/rate"
)

// Rate limit of one event. A daemon serves some tens of requests per second and logs a few
// entries for each, so that further entries only repeat what the log already contains.
const (
	maxEntriesPerSecond = 200
	maxEntryBurst       = 400
)

// rateLimits bounds the volume of the log. Each event has a limit of its own, so that a
// frequent event does not suppress the others.
type rateLimits struct {
	skippedTotal atomic.Int64 // skipped entries of all events

	mu     sync.Mutex
	events map[int]*eventLimit
}

type eventLimit struct {
	limiter *rate.Limiter
	skipped int64 // entries skipped since the last written one
}

func newRateLimits() *rateLimits { return &rateLimits{events: map[int]*eventLimit{}} }

// allow reports whether an entry of the event may be written, and how many of its entries
// were skipped since the last written one.
func (l *rateLimits) allow(eventNumber int) (bool, int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.events[eventNumber]
	if e == nil {
		e = &eventLimit{limiter: rate.NewLimiter(maxEntriesPerSecond, maxEntryBurst)}
		l.events[eventNumber] = e
	}
	if !e.limiter.Allow() {
		e.skipped++
		l.skippedTotal.Add(1)
		return false, 0
	}
	skipped := e.skipped
	e.skipped = 0
	return true, skipped
}
