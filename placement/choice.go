package placement

import (
	"time"

	"github.com/hornbeamtide/hornbeamtide/event"
)

// Choice is what a replica was chosen from, for whoever explains the choice later. A count
// of zero is the filter that left none.
type Choice struct {
	Listed  int // replicas of the service
	Able    int // of them ready, not tried yet, with the weight version, without an order in progress
	Trusted int // of them without a failure a short time ago
	Free    int // of them with room; of the able ones if none is trusted and the request can't wait

	Load    float64       // requests at the chosen replica before this one, of all daemons
	Slots   int           // of the chosen replica
	LoadAge time.Duration // of its load report; negative if it never told one
}

// Fields are the choice as fields of a log entry.
func (c Choice) Fields() []event.Field {
	fields := c.Counts()
	return append(fields, event.F("load", c.Load), event.F("slots", c.Slots), event.F("load_age_ms", c.LoadAge.Milliseconds()))
}

// Counts are the fields of a choice that found none.
func (c Choice) Counts() []event.Field {
	return []event.Field{
		event.F("listed", c.Listed), event.F("able", c.Able), event.F("trusted", c.Trusted), event.F("free", c.Free),
	}
}

// ageOf is the age of a replica's load report. The tracker's lock is held.
func (t *Tracker) ageOf(r *replica) time.Duration {
	if r.loadAt.IsZero() {
		return -time.Millisecond
	}
	return t.now().Sub(r.loadAt)
}
