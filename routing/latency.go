package routing

import (
	"slices"
	"time"
)

// Limits of the latency comparison.
const (
	latencyWeight   = 0.2 // weight of a new observation
	probeWeight     = 0.5 // the same for a slow replica, which is observed seldom
	minObservations = 3   // before a replica is compared with its pool
	minCompared     = 2   // replicas with enough observations before any is compared
	slowRatio       = 4.0 // slowness from which a replica counts as slow
	normalRatio     = 2.0 // slowness below which it no longer does
)

// meter is a moving average of observed latencies, seconds.
type meter struct {
	mean  float64
	count int
}

func (m *meter) observe(seconds, weight float64) {
	m.count++
	if m.count == 1 {
		m.mean = seconds
		return
	}
	m.mean += max(weight, 1/float64(m.count)) * (seconds - m.mean)
}

// latency is what this daemon observed of one replica. Streams are compared by time
// a token, since their lengths differ; other requests by their duration.
type latency struct {
	token   meter
	request meter
}

func (r *replica) observeTokens(tokens int, elapsed time.Duration) {
	if tokens > 0 && elapsed > 0 {
		r.latency.token.observe(elapsed.Seconds()/float64(tokens), r.weight())
	}
}

func (r *replica) observeRequest(duration time.Duration) {
	r.latency.request.observe(duration.Seconds(), r.weight())
}

func (r *replica) weight() float64 {
	if r.state.Slow {
		return probeWeight
	}
	return latencyWeight
}

// compareLatencies sets the slowness of the replicas against their median. It
// returns those that became slow or normal.
func compareLatencies(replicas []*replica) (changed []*replica) {
	streams := slices.ContainsFunc(replicas, func(r *replica) bool { return r.latency.token.count > 0 })
	meterOf := func(r *replica) meter {
		if streams {
			return r.latency.token
		}
		return r.latency.request
	}
	var means []float64
	for _, r := range replicas {
		if m := meterOf(r); m.count >= minObservations {
			means = append(means, m.mean)
		}
	}
	if len(means) < minCompared {
		return nil
	}
	most := 2*len(means) > len(replicas)
	slices.Sort(means)
	median := means[(len(means)-1)/2]
	for _, r := range replicas {
		m := meterOf(r)
		r.state.Unproven = most && m.count < minObservations
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
