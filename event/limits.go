package event

import (
	"sync"
	"sync/atomic"

	"golang.org/x/time/rate"
)

// Lines of one event a second, and in a burst. A daemon serves some tens of requests a
// second with a few lines each; an event beyond it repeats what the log says already.
const (
	lineRate  = 200
	lineBurst = 400
)

// limits keeps the volume of the log bounded, an event at a time: one that comes often
// does not crowd out the others.
type limits struct {
	total atomic.Int64 // lines left out

	mu     sync.Mutex
	events map[int]*limit
}

type limit struct {
	rate    *rate.Limiter
	skipped int64 // since the last line that was written
}

func newLimits() *limits { return &limits{events: map[int]*limit{}} }

// allow reports whether a line of the event may be written, and how many of its lines were
// left out before it.
func (l *limits) allow(number int) (bool, int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.events[number]
	if e == nil {
		e = &limit{rate: rate.NewLimiter(lineRate, lineBurst)}
		l.events[number] = e
	}
	if !e.rate.Allow() {
		e.skipped++
		l.total.Add(1)
		return false, 0
	}
	skipped := e.skipped
	e.skipped = 0
	return true, skipped
}
