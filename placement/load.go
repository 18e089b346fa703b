package placement

import (
	"math"
	"time"
)

// defaultSlots is assumed of a replica that never told its slots.
const defaultSlots = 4

func slotsOf(r *replica) int {
	switch {
	case r.Slots > 0:
		return r.Slots
	case r.load.Slots > 0:
		return r.load.Slots
	}
	return defaultSlots
}

// loadOf is how many requests a replica has: this daemon's, and what is left of the others'
// that it reported last. The tracker's lock is held.
func (t *Tracker) loadOf(r *replica) float64 {
	others := float64(r.load.Running + r.load.Waiting - r.ownAtLoad)
	lasting := r.lasting
	if r.generates() {
		lasting = 0
	}
	return float64(r.inProgress) + othersLeft(others, t.now().Sub(r.loadAt), lasting)
}

// generates reports whether the replica runs models. Texts differ in length a hundredfold: those
// that are left are the long ones, and the mean says nothing of them.
func (r *replica) generates() bool { return len(r.Versions) > 0 }

// othersLeft estimates how many of the requests of other daemons are still at a replica that
// reported them some time ago; lasting is how long its requests take, 0 when unknown. Load
// pattern: several daemons send bursts of short requests that may wait, as scoring does. Each
// hears from a replica only in answers to its own requests; one that took a report of full
// replicas as it stood would send nothing until the report is too old to count, while the
// replicas were done long ago. Half of the requests are taken to have ended after the time
// that one takes, so that the next one goes there soon and brings a new report.
func othersLeft(reported float64, age, lasting time.Duration) float64 {
	switch {
	case reported <= 0 || age > reportAge:
		return 0
	case lasting <= 0:
		return reported
	}
	return reported * math.Exp2(-float64(age)/float64(lasting))
}

// observeLasting adds the time that an answered request took to the replica's mean.
func (r *replica) observeLasting(took time.Duration) {
	if r.lasting == 0 {
		r.lasting = took
	}
	r.lasting += time.Duration(speedWeight * float64(took-r.lasting))
}
