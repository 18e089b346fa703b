package waves

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamtide/hornbeamtide/catalog"
)

// shares parts the replicas of a service among its models. Load pattern: several trainers
// name versions faster than all replicas can load all of them; a replica that follows one
// model only is at work most of the time. Shares are alike, and a replica that comes or
// goes moves few others.
func shares(replicas []catalog.Replica, models []string) map[string][]catalog.Replica {
	parts := map[string][]catalog.Replica{}
	if len(models) == 0 {
		return parts
	}
	type bid struct {
		replica, model int
		weight         uint64
	}
	var bids []bid
	for r := range replicas {
		for m := range models {
			bids = append(bids, bid{r, m, xxhash.Sum64String(replicas[r].ID + "\x00" + models[m])})
		}
	}
	sort.Slice(bids, func(a, b int) bool { return bids[a].weight > bids[b].weight })
	// Each model gets the whole part first, then the rest goes one by one.
	floor := len(replicas) / len(models)
	rest := len(replicas) % len(models)
	given := make([]bool, len(replicas))
	counts := make([]int, len(models))
	for _, b := range bids {
		switch {
		case given[b.replica] || counts[b.model] > floor || counts[b.model] == floor && rest == 0:
			continue
		case counts[b.model] == floor:
			rest--
		}
		given[b.replica] = true
		counts[b.model]++
		parts[models[b.model]] = append(parts[models[b.model]], replicas[b.replica])
	}
	return parts
}

// atOnce is how many replicas of a service load at the same time: a few load quickly,
// many slow each other down and leave too few at work.
func atOnce(replicas int) int { return max(2, replicas/5) }
