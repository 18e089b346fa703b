package waves

import (
	"math"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamtide/hornbeamtide/catalog"
)

// shares parts the replicas of a service among its models. Load pattern: several trainers
// name versions faster than all replicas can load all of them; a replica that follows one
// model only is at work most of the time. counts says how many each model gets; a replica
// that comes or goes moves few others.
func shares(replicas []catalog.Replica, models []string, counts map[string]int) map[string][]catalog.Replica {
	type bid struct {
		replica int
		model   string
		weight  uint64
	}
	var bids []bid
	for r := range replicas {
		for _, model := range models {
			bids = append(bids, bid{r, model, xxhash.Sum64String(replicas[r].ID + "\x00" + model)})
		}
	}
	sort.Slice(bids, func(a, b int) bool { return bids[a].weight > bids[b].weight })
	parts := map[string][]catalog.Replica{}
	given := make([]bool, len(replicas))
	for _, b := range bids {
		if given[b.replica] || len(parts[b.model]) >= counts[b.model] {
			continue
		}
		given[b.replica] = true
		parts[b.model] = append(parts[b.model], replicas[b.replica])
	}
	return parts
}

// keepWithin is how far a model's due part of the replicas may be from the number that it
// has, in replicas, before replicas change their model: each change costs a load.
const keepWithin = 0.8

// apportion decides how many of n replicas each model gets: in proportion to the demand,
// at least one each while there are enough, so that trainers of unequal steps wait alike
// and none starves. before is the last decision.
func apportion(n int, models []string, demand map[string]float64, before map[string]int) map[string]int {
	due := dueParts(n, models, demand)
	if fits(n, models, due, before) {
		return before
	}
	counts := map[string]int{}
	left := n
	for _, model := range models {
		counts[model] = int(math.Floor(due[model]))
		left -= counts[model]
	}
	order := append([]string(nil), models...)
	sort.SliceStable(order, func(a, b int) bool {
		ra, rb := due[order[a]]-float64(counts[order[a]]), due[order[b]]-float64(counts[order[b]])
		return ra > rb
	})
	for i := 0; left > 0 && len(order) > 0; i++ {
		counts[order[i%len(order)]]++
		left--
	}
	return counts
}

// dueParts are the exact parts of the replicas, at least one for each model while there
// are enough.
func dueParts(n int, models []string, demand map[string]float64) map[string]float64 {
	var total float64
	for _, model := range models {
		total += demand[model]
	}
	due := map[string]float64{}
	for _, model := range models {
		due[model] = float64(n) / float64(len(models))
		if total > 0 {
			due[model] = float64(n) * demand[model] / total
		}
	}
	if n < len(models) {
		return due
	}
	// Models below one get one; the others share what is left in proportion.
	var small, large float64
	for _, model := range models {
		if due[model] < 1 {
			small += 1
		} else {
			large += due[model]
		}
	}
	for _, model := range models {
		if due[model] < 1 {
			due[model] = 1
		} else {
			due[model] *= (float64(n) - small) / large
		}
	}
	return due
}

func fits(n int, models []string, due map[string]float64, before map[string]int) bool {
	sum := 0
	for _, model := range models {
		sum += before[model]
		if math.Abs(due[model]-float64(before[model])) > keepWithin {
			return false
		}
	}
	return sum == n && len(before) == len(models)
}

// mayWait reports whether a replica need not load the newest version yet. Load pattern:
// steps that keep the replicas busy. A step takes the version before the newest one, so a
// replica that is one behind still serves it, and a load stops its running texts for about
// a second. Half of a model's replicas load each version, so that never all are too old for
// the next one at once; of the others, those with most of their slots at work wait until
// they are two behind. An idle replica loads at once, which keeps samples fresh.
func mayWait(lag int64, halfHasIt bool, running, slots int) bool {
	return lag <= 1 && halfHasIt && 2*running > slots
}

// urgency orders loads: replicas that are too old for the current step first, and of these
// those of the model that has the smallest part of its replicas at work. The others get
// ready for the next step, those of the model with the fewest that are ready first.
func urgency(a, b work) bool {
	oldA, oldB := a.lag() > 1, b.lag() > 1
	switch {
	case oldA != oldB:
		return oldA
	case oldA && a.usable != b.usable:
		return a.usable < b.usable
	case a.lag() != b.lag():
		return a.lag() > b.lag()
	case a.fresh != b.fresh:
		return a.fresh < b.fresh
	}
	return a.replica.ID < b.replica.ID
}

// atOnce is how many replicas of a service load at the same time: a few load quickly,
// many slow each other down and leave too few at work.
func atOnce(replicas int) int { return max(2, (2*replicas+5)/10) }
