package placement

import (
	"time"

	"github.com/hornbeamtide/hornbeamtide/event"
)

// Choice records how a replica was chosen, for the log. The counts are the replicas left after
// each filter; the first count of 0 shows the filter that left none.
type Choice struct {
	Listed   int // replicas of the service
	Eligible int // of Listed: ready, not leaving, not tried yet, with the weight version, without a load order in progress, request limit not used up
	Healthy  int // of Eligible: without a recent failure
	Free     int // of Healthy: with a free slot; of Eligible if Healthy is 0 and the request can't wait

	Load    float64       // estimated requests of all daemons at the chosen replica, without this one
	Slots   int           // of the chosen replica
	LoadAge time.Duration // age of its load report; negative if it never sent one
}

// Fields returns the choice as fields of a log entry.
func (c Choice) Fields() []event.Field {
	fields := c.FilterCounts()
	return append(fields, event.F("load", c.Load), event.F("slots", c.Slots), event.F("load_age_ms", c.LoadAge.Milliseconds()))
}

// FilterCounts returns only the filter counts, for a log entry about a request without a replica.
func (c Choice) FilterCounts() []event.Field {
	return []event.Field{
		event.F("listed", c.Listed), event.F("able", c.Eligible), event.F("trusted", c.Healthy), event.F("free", c.Free),
	}
}

// loadAge returns the age of a replica's load report, or -1 ms if there is none. The caller
// holds the tracker's lock.
func (t *Tracker) loadAge(r *replica) time.Duration {
	if r.loadReportedAt.IsZero() {
		return -time.Millisecond
	}
	return t.now().Sub(r.loadReportedAt)
}
