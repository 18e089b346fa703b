package usage

import (
	"slices"
	"time"
)

const (
	// maxSamples is the number of peers whose wall clocks are taken into account, maxSampleAge the age
	// after which a sample is dropped. Quartz clocks drift by less than 10 ms in that time.
	maxSamples   = 15
	maxSampleAge = time.Minute
)

// sample is the wall clock of a peer: its difference from this daemon's boot-time clock.
type sample struct {
	peer    string
	offset  time.Duration
	takenAt time.Duration // on the boot-time clock
}

// addSample adds a sample and drops the oldest ones beyond maxSamples and those that are too old. A
// sample replaces the previous one of the same peer: in a fleet of a few daemons, 15 samples of one
// peer would otherwise outvote all other clocks, and the estimate would follow a jump of that one.
func addSample(samples []sample, added sample) []sample {
	kept := slices.DeleteFunc(slices.Clone(samples), func(s sample) bool {
		return s.peer == added.peer || added.takenAt-s.takenAt > maxSampleAge
	})
	kept = append(kept, added)
	return kept[max(len(kept)-maxSamples, 0):]
}

// medianOffset returns the difference of true time from the boot-time clock: the median of this
// daemon's own difference and those of the samples that are not too old. It answers a wall clock that
// jumps by seconds, forward or back, and back again: one clock of three or more does not move the
// median by more than the usual spread of the others. Between the two middle values of an even number,
// the previous estimate is kept as far as possible, so that one of two clocks that jumps moves nothing
// either. previous is nil for the first estimate.
func medianOffset(own time.Duration, samples []sample, now time.Duration, previous *time.Duration) time.Duration {
	offsets := []time.Duration{own}
	for _, s := range samples {
		if now-s.takenAt <= maxSampleAge {
			offsets = append(offsets, s.offset)
		}
	}
	slices.Sort(offsets)
	low, high := offsets[(len(offsets)-1)/2], offsets[len(offsets)/2]
	if previous == nil {
		return low + (high-low)/2
	}
	return min(max(*previous, low), high)
}
