// Package ratelimit handles the request rates that replicas in need accept from all daemons
// together.
package ratelimit

import (
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/event"
)

// observation is what a replica's responses last said about its request limit.
type observation struct {
	startedMs int64     // incarnation of the replica
	perSecond float64   // 0 if the replica names no limit
	at        time.Time // of the response
	sent      int64     // requests of this daemon since the limit was learned
}

// registry holds the request limits that this daemon knows, by replica ID.
type registry struct {
	log *event.Logger

	mu     sync.Mutex
	limits map[string]*observation
}

func newRegistry(log *event.Logger) *registry {
	return &registry{log: log, limits: map[string]*observation{}}
}

// recordResponse records the limit that a response names, 0 for none. sentAt is when the request
// was sent: a response without a limit ends a limit only if the request was sent after the limit
// was last named, since responses may overtake each other.
func (r *registry) recordResponse(id string, startedMs int64, perSecond float64, sentAt, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.limits[id]
	switch {
	case known != nil && known.startedMs == startedMs:
	case perSecond <= 0:
		delete(r.limits, id) // a limit of an earlier incarnation does not count any more
		return
	default:
		known = &observation{startedMs: startedMs}
		r.limits[id] = known
	}
	switch {
	case perSecond > 0 && perSecond != known.perSecond:
		r.log.Log(event.RateLimitNamed, event.F("replica", id), event.F("per_second", perSecond), event.F("sent", known.sent))
		known.perSecond, known.at, known.sent = perSecond, now, 0
	case perSecond > 0:
		known.at = now
	case sentAt.After(known.at):
		r.log.Log(event.RateLimitEnded, event.F("replica", id), event.F("sent", known.sent))
		delete(r.limits, id)
	}
}

// recordSent counts a request to a replica that names a limit.
func (r *registry) recordSent(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known := r.limits[id]; known != nil {
		known.sent++
	}
}

// remove deletes what is known about a replica that is gone.
func (r *registry) remove(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.limits, id)
}

// LimitedReplica is a replica's request limit, for the metrics.
type LimitedReplica struct {
	PerSecond float64 `json:"per_second"` // from all daemons together
	Sent      int64   `json:"sent"`       // requests of this daemon since the limit was learned
}

func (r *registry) snapshot() map[string]LimitedReplica {
	r.mu.Lock()
	defer r.mu.Unlock()
	limited := make(map[string]LimitedReplica, len(r.limits))
	for id, known := range r.limits {
		limited[id] = LimitedReplica{PerSecond: known.perSecond, Sent: known.sent}
	}
	return limited
}
