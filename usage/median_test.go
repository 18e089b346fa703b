package usage

import (
	"fmt"
	"testing"
	"time"
)

func samplesOf(offsets ...time.Duration) []sample {
	var samples []sample
	for i, offset := range offsets {
		samples = addSample(samples, sample{peer: fmt.Sprint(i), offset: offset, takenAt: time.Second})
	}
	return samples
}

// Guards against a jump of one wall clock, the own one or that of a peer, in fleets of all sizes.
func TestJumpOfOneClockDoesNotMoveTheMedian(t *testing.T) {
	const hour = time.Hour
	for peers := 1; peers <= maxSamples; peers++ {
		offsets := make([]time.Duration, peers)
		for i := range offsets {
			offsets[i] = hour + time.Duration(i%3)*time.Millisecond
		}
		before := medianOffset(hour, samplesOf(offsets...), time.Second, nil)
		for _, jump := range []time.Duration{-40 * time.Second, -2 * time.Second, 7 * time.Second, hour} {
			estimate := before
			for _, now := range []time.Duration{jump, 0} {
				estimate = medianOffset(hour+now, samplesOf(offsets...), time.Second, &estimate)
				if moved := (estimate - before).Abs(); moved > 2*time.Millisecond {
					t.Errorf("%d peers: the own clock at %v moved the estimate by %v", peers, now, moved)
				}
				jumped := append([]time.Duration{}, offsets...)
				jumped[0] += now
				estimate = medianOffset(hour, samplesOf(jumped...), time.Second, &estimate)
				if moved := (estimate - before).Abs(); moved > 2*time.Millisecond {
					t.Errorf("%d peers: a peer's clock at %v moved the estimate by %v", peers, now, moved)
				}
			}
		}
	}
}

// Guards against a daemon that keeps a wrong start value although most clocks agree on another.
func TestMedianFollowsTheMajority(t *testing.T) {
	wrong := time.Hour
	estimate := medianOffset(wrong, samplesOf(0, 0), time.Second, &wrong)
	if estimate != 0 {
		t.Errorf("estimate %v", estimate)
	}
}

func TestOldSamplesAreIgnored(t *testing.T) {
	samples := samplesOf(0, 0, 0)
	if got := medianOffset(time.Hour, samples, time.Second+maxSampleAge, nil); got != 0 {
		t.Errorf("offset %v at the maximum age", got)
	}
	if got := medianOffset(time.Hour, samples, 2*time.Second+maxSampleAge, nil); got != time.Hour {
		t.Errorf("offset %v after the maximum age", got)
	}
	if kept := addSample(samples, sample{peer: "new", takenAt: 2*time.Second + maxSampleAge}); len(kept) != 1 {
		t.Errorf("%d samples are kept", len(kept))
	}
}

// Guards against one peer that outvotes all others because it was sampled more often, and against
// unbounded samples.
func TestSamplesAreOnePerPeerAndBounded(t *testing.T) {
	samples := samplesOf(0, 0)
	for i := range 100 {
		samples = addSample(samples, sample{peer: "0", offset: time.Hour, takenAt: time.Second + time.Duration(i)})
	}
	if len(samples) != 2 {
		t.Errorf("%d samples of 2 peers", len(samples))
	}
	if got := medianOffset(0, samples, time.Second, nil); got != 0 {
		t.Errorf("offset %v", got)
	}
	for i := range 100 {
		samples = addSample(samples, sample{peer: fmt.Sprint(i), takenAt: 2 * time.Second})
	}
	if len(samples) != maxSamples || samples[maxSamples-1].peer != "99" {
		t.Errorf("%d samples, the last of %s", len(samples), samples[len(samples)-1].peer)
	}
}
