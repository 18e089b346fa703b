package placement

import (
	"math"
	"time"
)

// defaultSlots is assumed for a replica that never reported its number of slots.
const defaultSlots = 4

func slotCount(r *replica) int {
	switch {
	case r.Slots > 0:
		return r.Slots
	case r.load.Slots > 0:
		return r.load.Slots
	}
	return defaultSlots
}

// currentLoad estimates how many requests a replica has: those of this daemon, and those of other
// daemons in its last load report that are still there. The caller holds the tracker's lock.
func (t *Tracker) currentLoad(r *replica) float64 {
	others := float64(r.load.Running + r.load.Waiting - r.inFlightAtReport)
	duration := r.meanDuration
	if r.servesModels() {
		duration = 0
	}
	return float64(r.inFlight) + remainingLoad(others, t.now().Sub(r.loadReportedAt), duration)
}

// servesModels reports whether the replica runs models. Lengths of completions differ by a
// factor of a hundred; those still running are the long ones, which the mean duration does not
// describe.
func (r *replica) servesModels() bool { return len(r.Versions) > 0 }

// remainingLoad estimates how many of the other daemons' requests are still at a replica that
// reported them at the given age; duration is the mean duration of its requests, 0 if unknown.
// Load pattern: several daemons send bursts of short requests that can wait, such as scoring.
// Each daemon receives load reports only with the responses to its own requests. If it took a
// report of full replicas at face value, it would send nothing until the report is too old to
// count, long after the replicas have become idle. The estimate halves per mean duration, so
// that the next request is sent soon and returns a new report.
func remainingLoad(reported float64, age, duration time.Duration) float64 {
	switch {
	case reported <= 0 || age > loadReportMaxAge:
		return 0
	case duration <= 0:
		return reported
	}
	return reported * math.Exp2(-float64(age)/float64(duration))
}

// observeDuration adds the duration of a request with a response to the replica's moving average.
func (r *replica) observeDuration(duration time.Duration) {
	if r.meanDuration == 0 {
		r.meanDuration = duration
	}
	r.meanDuration += time.Duration(smoothingFactor * float64(duration-r.meanDuration))
}
