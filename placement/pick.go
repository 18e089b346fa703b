package placement

import (
	"math/rand/v2"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamtide/hornbeamtide/catalog"
)

// Request describes what a request requires of its replica.
type Request struct {
	Service          string
	Exclude          map[string]bool // IDs of replicas that were already tried
	Model            string          // "" for any
	MinVersion       int64           // oldest acceptable weight version of Model
	AffinityKey      string          // key of requests that share a prompt prefix; "" for none
	ReservedFraction float64         // fraction of the slots that a request with RequireFreeSlot leaves free for others
	RequireFreeSlot  bool            // the request can wait: pick only a replica with a free slot and no recent failure
}

// hasFreeSlot reports whether a replica has a free slot outside the reserved fraction.
func (r Request) hasFreeSlot(c candidate) bool {
	return c.load < (1-r.ReservedFraction)*float64(c.slots)
}

// candidate is a replica with its load at the time of a choice.
type candidate struct {
	*replica

	load     float64 // estimated requests of all daemons
	slots    int
	slowdown float64 // expected time of work now, relative to usual
}

// Pick chooses a replica and counts the request there. It returns nil if no replica can take
// the request now.
func (t *Tracker) Pick(request Request) *Lease {
	t.mu.Lock()
	defer t.mu.Unlock()
	result := t.filter(request)
	chosen := choose(result.candidates, request.AffinityKey, medianTimePerUnit(result.candidates))
	if chosen == nil {
		return nil
	}
	lease := &Lease{Replica: chosen.Replica, Choice: result.choice, tracker: t, acquiredAt: t.now()}
	lease.Choice.Load, lease.Choice.Slots, lease.Choice.LoadAge = t.currentLoad(chosen), slotCount(chosen), t.loadAge(chosen)
	chosen.inFlight++
	return lease
}

// Explain returns the filter counts that Pick would see for the request, without picking.
func (t *Tracker) Explain(request Request) Choice {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.filter(request).choice
}

// Healthy returns the replicas that may run the request and had no recent failure, and the number of
// replicas of its service.
func (t *Tracker) Healthy(request Request) (healthy []catalog.Replica, listed int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range filterCandidates(t.eligibleReplicas(request), t.isHealthy) {
		healthy = append(healthy, c.Replica)
	}
	for _, r := range t.replicas {
		if r.Service == request.Service {
			listed++
		}
	}
	return healthy, listed
}

// filterResult is the outcome of the filters for one request.
type filterResult struct {
	candidates []candidate // left after the last filter
	choice     Choice
}

// filter applies the filters for a request. If the request can't wait, filters that would leave
// no replica are ignored, except for eligibility.
func (t *Tracker) filter(request Request) filterResult {
	eligible := t.eligibleReplicas(request)
	healthy := filterCandidates(eligible, t.isHealthy)
	result := filterResult{choice: Choice{Eligible: len(eligible), Healthy: len(healthy)}}
	for _, r := range t.replicas {
		if r.Service == request.Service {
			result.choice.Listed++
		}
	}
	if request.RequireFreeSlot {
		result.candidates = filterCandidates(healthy, request.hasFreeSlot)
		result.choice.Free = len(result.candidates)
		return result
	}
	if len(healthy) == 0 {
		healthy = eligible
	}
	withCapacity := filterCandidates(healthy, hasCapacity)
	result.choice.Free = len(withCapacity)
	result.candidates = withCapacity
	if len(withCapacity) == 0 {
		result.candidates = healthy
	}
	return result
}

// eligibleReplicas returns the replicas that may run the request at all, ordered by ID.
func (t *Tracker) eligibleReplicas(request Request) []candidate {
	var found []candidate
	for _, r := range t.replicas {
		switch {
		case r.Service != request.Service, r.State != catalog.Ready, r.isLeaving, request.Exclude[r.ID]:
		case request.Model != "" && r.Versions[request.Model] < request.MinVersion:
		case t.now().Before(r.heldUntil), r.isDeferred(request, t.now()):
		default:
			found = append(found, candidate{
				replica: r, load: t.currentLoad(r), slots: slotCount(r),
				slowdown: expectedSlowdown(r.load.Slowdown, t.now().Sub(r.loadReportedAt)),
			})
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].ID < found[j].ID })
	return found
}

// isHealthy reports whether a replica had no recent failure.
func (t *Tracker) isHealthy(c candidate) bool { return !t.now().Before(c.unhealthyUntil) }

func hasCapacity(c candidate) bool { return c.load < float64(c.slots) }

func filterCandidates(candidates []candidate, accept func(candidate) bool) []candidate {
	var kept []candidate
	for _, c := range candidates {
		if accept(c) {
			kept = append(kept, c)
		}
	}
	return kept
}

func medianTimePerUnit(candidates []candidate) float64 {
	var times []float64
	for _, c := range candidates {
		if c.timePerUnit > 0 {
			times = append(times, c.timePerUnit)
		}
	}
	if len(times) == 0 {
		return 0
	}
	sort.Float64s(times)
	return times[len(times)/2]
}

// affinityLoadLimit is the load, as a fraction of the slots, below which a replica receives
// requests by affinity. Above it, the slower batch costs more than processing the prompt again.
const affinityLoadLimit = 0.75

// choose returns the replica with affinity to the key unless it is loaded or slow, otherwise the
// replica that is expected to finish first.
func choose(candidates []candidate, key string, median float64) *replica {
	if key != "" {
		if c := rendezvousCandidate(candidates, key); c != nil && c.load < affinityLoadLimit*float64(c.slots) && slowness(*c, median) < slowReplicaFactor {
			return c.replica
		}
	}
	var best *candidate
	var bestCost float64
	for i, c := range candidates {
		cost := cost(c, median) * (1 + tieBreakJitter*rand.Float64())
		if best == nil || cost < bestCost {
			best, bestCost = &candidates[i], cost
		}
	}
	if best == nil {
		return nil
	}
	return best.replica
}

// tieBreakJitter is the random fraction that is added to costs to spread requests over equal
// candidates.
const tieBreakJitter = 0.05

// slowReplicaFactor is the slowness, relative to the median, from which a replica counts as slow
// and gets no requests by affinity.
const slowReplicaFactor = 1.5

// slowness returns the candidate's expected time per unit of work relative to the median of the usual
// times, at least 0.5. Its usual time counts as the median if it is unknown.
func slowness(c candidate, median float64) float64 {
	usual := 1.0
	if c.timePerUnit > 0 && median > 0 {
		usual = c.timePerUnit / median
	}
	return max(usual*c.slowdown, 0.5)
}

// cost increases with the requests that share the replica's batch and with its slowness.
func cost(c candidate, median float64) float64 {
	occupancy := (c.load + 1) / float64(c.slots)
	return (0.5 + occupancy) * slowness(c, median) * slowness(c, median)
}

// rendezvousCandidate returns the candidate that rendezvous hashing assigns to the key.
func rendezvousCandidate(candidates []candidate, key string) *candidate {
	var best *candidate
	var bestWeight uint64
	for i, c := range candidates {
		if weight := xxhash.Sum64String(key + "\x00" + c.ID); best == nil || weight > bestWeight {
			best, bestWeight = &candidates[i], weight
		}
	}
	return best
}
