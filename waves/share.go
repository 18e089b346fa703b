package waves

import (
	"math"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamtide/hornbeamtide/catalog"
)

// assignReplicas assigns each replica of a service to one of its models. Load pattern: several
// trainers publish versions faster than all replicas can load all of them; a replica that loads
// only one model's versions spends most of its time serving requests. counts is the number of
// replicas for each model. The assignment uses rendezvous hashing, so that a replica that
// joins or leaves changes the model of few others.
func assignReplicas(replicas []catalog.Replica, models []string, counts map[string]int) map[string][]catalog.Replica {
	type candidate struct {
		replica int
		model   string
		weight  uint64
	}
	var candidates []candidate
	for r := range replicas {
		for _, model := range models {
			candidates = append(candidates, candidate{r, model, xxhash.Sum64String(replicas[r].ID + "\x00" + model)})
		}
	}
	sort.Slice(candidates, func(a, b int) bool { return candidates[a].weight > candidates[b].weight })
	assigned := map[string][]catalog.Replica{}
	taken := make([]bool, len(replicas))
	for _, c := range candidates {
		if taken[c.replica] || len(assigned[c.model]) >= counts[c.model] {
			continue
		}
		taken[c.replica] = true
		assigned[c.model] = append(assigned[c.model], replicas[c.replica])
	}
	return assigned
}

// reassignThreshold is the difference, in replicas, between a model's fair share and its
// current number above which replicas change their model. Each change costs a load.
const reassignThreshold = 0.8

// apportion returns how many of n replicas each model gets: in proportion to demand, so that
// trainers with steps of different size wait equally long, and at least one each while there
// are enough, so that none is starved. previous is the last result; it is kept while every
// model is within reassignThreshold.
func apportion(n int, models []string, demand map[string]float64, previous map[string]int) map[string]int {
	fair := fairShares(n, models, demand)
	if withinThreshold(n, models, fair, previous) {
		return previous
	}
	counts := map[string]int{}
	left := n
	for _, model := range models {
		counts[model] = int(math.Floor(fair[model]))
		left -= counts[model]
	}
	order := append([]string(nil), models...)
	sort.SliceStable(order, func(a, b int) bool {
		remainderA, remainderB := fair[order[a]]-float64(counts[order[a]]), fair[order[b]]-float64(counts[order[b]])
		return remainderA > remainderB
	})
	for i := 0; left > 0 && len(order) > 0; i++ {
		counts[order[i%len(order)]]++
		left--
	}
	return counts
}

// fairShares returns the exact share of the n replicas for each model, at least 1 while there
// are enough replicas.
func fairShares(n int, models []string, demand map[string]float64) map[string]float64 {
	var total float64
	for _, model := range models {
		total += demand[model]
	}
	fair := map[string]float64{}
	for _, model := range models {
		fair[model] = float64(n) / float64(len(models))
		if total > 0 {
			fair[model] = float64(n) * demand[model] / total
		}
	}
	if n < len(models) {
		return fair
	}
	// Models below 1 get 1; the others share the rest in proportion.
	var small, large float64
	for _, model := range models {
		if fair[model] < 1 {
			small += 1
		} else {
			large += fair[model]
		}
	}
	for _, model := range models {
		if fair[model] < 1 {
			fair[model] = 1
		} else {
			fair[model] *= (float64(n) - small) / large
		}
	}
	return fair
}

// withinThreshold reports whether the previous counts still add up to n and are close enough
// to the fair shares.
func withinThreshold(n int, models []string, fair map[string]float64, previous map[string]int) bool {
	sum := 0
	for _, model := range models {
		sum += previous[model]
		if math.Abs(fair[model]-float64(previous[model])) > reassignThreshold {
			return false
		}
	}
	return sum == n && len(previous) == len(models)
}

// canDeferLoad reports whether a replica need not load the newest version yet. Load pattern:
// steps that keep the replicas busy. A step accepts the version before the newest one, so a
// replica that lags by one version still serves it, and a load stops the replica's running
// generations for about a second. Half of a model's replicas load each version, so that they
// are never all too old for the next step at the same time; of the others, those with more
// than half of their slots in use wait until they lag by two versions. An idle replica loads
// at once, which keeps samples fresh.
func canDeferLoad(lag int64, halfUpdated bool, running, slots int) bool {
	return lag <= 1 && halfUpdated && 2*running > slots
}

// moreUrgent orders loads by urgency. Replicas that are too old for the current step come
// first, ordered by the fraction of their model's replicas that are usable, smallest first.
// The others load for the next step, ordered by the fraction of their model's replicas that
// are up to date, smallest first.
func moreUrgent(a, b workItem) bool {
	tooOldA, tooOldB := a.lag() > 1, b.lag() > 1
	switch {
	case tooOldA != tooOldB:
		return tooOldA
	case tooOldA && a.usableShare != b.usableShare:
		return a.usableShare < b.usableShare
	case a.lag() != b.lag():
		return a.lag() > b.lag()
	case a.updatedShare != b.updatedShare:
		return a.updatedShare < b.updatedShare
	}
	return a.replica.ID < b.replica.ID
}

// maxConcurrentLoads returns how many replicas of a service may load at the same time. A few
// load quickly; many slow each other down and leave too few that serve requests.
func maxConcurrentLoads(replicas int) int { return max(2, (2*replicas+5)/10) }
