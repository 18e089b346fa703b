package routing

import (
	"slices"
	"time"
)

// Limits of the latency comparison.
const (
	latencyWeight   = 0.2 // weight of a new observation
	probeWeight     = 0.5 // the same for a slow replica, which has few observations
	minObservations = 3   // observations required before a replica is compared with its pool
	minCompared     = 2   // replicas with enough observations required for a comparison
	slowRatio       = 4.0 // slowness at which a replica becomes slow
	normalRatio     = 2.0 // slowness below which a slow replica becomes normal again
)

// movingAverage is a moving average of observed latencies in seconds.
type movingAverage struct {
	mean  float64
	count int
}

func (m *movingAverage) observe(seconds, observationWeight float64) {
	m.count++
	if m.count == 1 {
		m.mean = seconds
		return
	}
	m.mean += max(observationWeight, 1/float64(m.count)) * (seconds - m.mean)
}

// latency holds the latencies that this daemon observed on one replica. Streams are
// compared by time per token, since their lengths differ, other requests by their
// duration.
type latency struct {
	token   movingAverage
	request movingAverage
}

func (r *replica) observeTokens(tokens int, elapsed time.Duration) {
	if tokens > 0 && elapsed > 0 {
		r.latency.token.observe(elapsed.Seconds()/float64(tokens), r.observationWeight())
	}
}

func (r *replica) observeRequest(duration time.Duration) {
	r.latency.request.observe(duration.Seconds(), r.observationWeight())
}

func (r *replica) observationWeight() float64 {
	if r.state.Slow {
		return probeWeight
	}
	return latencyWeight
}

// compareLatencies sets the slowness of each replica: its latency divided by the median. It
// returns the replicas that became slow or normal.
func compareLatencies(replicas []*replica) (changed []*replica) {
	hasStreams := slices.ContainsFunc(replicas, func(r *replica) bool { return r.latency.token.count > 0 })
	averageOf := func(r *replica) movingAverage {
		if hasStreams {
			return r.latency.token
		}
		return r.latency.request
	}
	var means []float64
	for _, r := range replicas {
		if m := averageOf(r); m.count >= minObservations {
			means = append(means, m.mean)
		}
	}
	if len(means) < minCompared {
		return nil
	}
	majorityMeasured := 2*len(means) > len(replicas)
	slices.Sort(means)
	median := means[(len(means)-1)/2]
	for _, r := range replicas {
		m := averageOf(r)
		r.state.Unproven = majorityMeasured && m.count < minObservations
		if m.count < minObservations || median <= 0 {
			continue
		}
		r.state.Slowness = m.mean / median
		slow := r.state.Slowness >= slowRatio || (r.state.Slow && r.state.Slowness >= normalRatio)
		if slow != r.state.Slow {
			r.state.Slow = slow
			changed = append(changed, r)
		}
	}
	return changed
}
