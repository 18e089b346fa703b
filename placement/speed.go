package placement

import (
	"math"
	"time"
)

const (
	// slowdownHalfLife is the time after which half of a reported deviation from the usual speed is
	// still expected: replicas share their machines, and their speed changes many times a second.
	slowdownHalfLife = 200 * time.Millisecond
	// maxSlowdown and minSlowdown bound the figure that a replica reports.
	minSlowdown, maxSlowdown = 0.2, 10
	// maxExactDuration is the duration of a request up to which the speed reported at its end is that
	// at which it ran.
	maxExactDuration = 300 * time.Millisecond
)

// expectedSlowdown returns how long work is expected to take relative to usual, given the figure that a
// replica reported and its age. Load pattern: replicas of unlike and changing speed beside bursts of
// short requests. A figure from a moment ago tells which replica is slow now; an old one tells
// nothing, and the replica counts at its usual speed again.
func expectedSlowdown(reported float64, age time.Duration) float64 {
	if reported <= 0 {
		return 1
	}
	deviation := min(max(reported, minSlowdown), maxSlowdown) - 1
	return 1 + deviation*math.Exp2(-float64(age)/float64(slowdownHalfLife))
}

// usualTime returns the time that a request would have taken at the replica's usual speed, given how long
// it took and the figure that the replica reported at its end.
func usualTime(took time.Duration, reported float64) time.Duration {
	if reported <= 0 || took > maxExactDuration {
		return took
	}
	return time.Duration(float64(took) / min(max(reported, minSlowdown), maxSlowdown))
}
