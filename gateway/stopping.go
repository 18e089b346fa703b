package gateway

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/fault"
)

// ErrStopTimeOver is the cause with which the context of a request ends when the time of the daemon's
// planned stop is over. The request then gets an error response instead of a closed connection.
var ErrStopTimeOver = fault.New(fault.Draining, "the daemon stopped before the request ended", "send it again to another daemon if it may be repeated")

// stopTimeOver reports whether a context ended with the time of a planned stop.
func stopTimeOver(ctx context.Context) bool { return errors.Is(context.Cause(ctx), ErrStopTimeOver) }

// StopBy sets the time at which the requests that are still in flight end. From then on requests that
// would not end before are refused as not run.
func (g *Gateway) StopBy(t time.Time) { g.stopBy.Store(&t) }

// stopRetryDelay is the retry delay for a request that another daemon can take at once.
const stopRetryDelay = 20 * time.Millisecond

// checkStop returns an error if the daemon is stopping and the request would not end before.
func (p *pendingRequest) checkStop() error {
	stopBy := p.stopBy.Load()
	if stopBy == nil {
		return nil
	}
	usual, known := p.usual.get(p.route.Name)
	if fitsBeforeStop(time.Until(p.deadline), usual, known, time.Until(*stopBy), isRetryable(p.route)) {
		return nil
	}
	return fault.New(fault.Draining, "the daemon stops before the request would end", "send it again to another daemon",
		fault.WithOutcome(fault.NotRun), fault.WithRetryAfter(stopRetryDelay))
}

// fitsBeforeStop decides whether a request is sent to a replica while the daemon is stopping. limit is the
// time until the request's deadline, usual how long requests of its route take, left the time until
// requests in flight end. Load pattern: callers send on open connections until these are closed; what is
// cut off may have run, and a caller that may not repeat it never learns that. Another daemon takes what is
// refused. While the usual time is unknown, only requests that may be repeated are sent: their route's
// timeout, the only other bound, is many times longer than they take.
func fitsBeforeStop(limit, usual time.Duration, known bool, left time.Duration, repeatable bool) bool {
	switch {
	case limit <= left:
		return true // it has a response by then in any case
	case known:
		return usual <= left
	}
	return repeatable && left > 0
}

const (
	// usualTimeSamples is the number of durations that are kept for a route, and usualTimeRank which of
	// them counts, from the longest: a tenth of the requests may take longer.
	usualTimeSamples = 64
	usualTimeRank    = usualTimeSamples / 10
)

// usualTimes holds how long the last requests of each route took until their response was forwarded.
type usualTimes struct {
	mu     sync.Mutex
	routes map[string]*durations
}

// durations is a ring of the last durations of a route.
type durations struct {
	values []time.Duration
	next   int
}

func newUsualTimes() *usualTimes { return &usualTimes{routes: map[string]*durations{}} }

func (u *usualTimes) record(route string, d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	r := u.routes[route]
	if r == nil {
		r = &durations{}
		u.routes[route] = r
	}
	if len(r.values) < usualTimeSamples {
		r.values = append(r.values, d)
		return
	}
	r.values[r.next] = d
	r.next = (r.next + 1) % usualTimeSamples
}

// get returns the usual time of a route, and whether it is known. It is called during a stop only.
func (u *usualTimes) get(route string) (time.Duration, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	r := u.routes[route]
	if r == nil {
		return 0, false
	}
	sorted := slices.Sorted(slices.Values(r.values))
	return sorted[len(sorted)-1-usualTimeRank*len(sorted)/usualTimeSamples], true
}
