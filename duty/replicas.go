package duty

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hornbeamtide/hornbeamtide/catalog"
)

const (
	// demandMemory is how long the highest demand counts: steps come every few seconds, and a replica
	// that was given up takes its boot time to come back.
	demandMemory = 15 * time.Second
	// slotShare is the part of the items of one step of each trainer that gets a slot at once. The
	// steps of several trainers overlap only in part; beyond this share, the longest completions and
	// not the slots decide when a step is complete.
	slotShare = 0.5
)

// domainState is what is known of the replicas of a service in one failure domain.
type domainState struct {
	name        string
	price       float64 // of a replica and second
	plain, spot int     // replicas that serve
	unavailable bool    // an order was refused there a moment ago
}

// wantedSpotReplicas returns how many spot replicas to have in each failure domain, for a service to which
// the trainers submit the given number of items with one step each. Load pattern: steps of several trainers
// compete for too few slots, for example after the replicas of a failure domain were lost, so that items
// wait for seconds and a trainer that fell behind never catches up. Completions can be resumed, so
// replicas that may be reclaimed serve them at a fraction of the price. They are spread evenly, since all
// of a domain are reclaimed at once, the cheaper domains first.
func wantedSpotReplicas(items, slots int, scale catalog.Autoscale, domains []domainState) map[string]int {
	wanted := map[string]int{}
	missing := 0
	if slots > 0 && scale.SpotPrice > 0 && scale.SpotPrice < 1 {
		missing = int(math.Ceil(slotShare * float64(items) / float64(slots)))
	}
	for _, d := range domains {
		missing -= d.plain
		wanted[d.name] = 0
	}
	byPrice := append([]domainState(nil), domains...)
	slices.SortFunc(byPrice, func(a, b domainState) int {
		return cmp.Or(cmp.Compare(a.price, b.price), cmp.Compare(a.name, b.name))
	})
	for missing > 0 {
		best := -1
		for i, d := range byPrice {
			if d.unavailable || d.plain+wanted[d.name] >= scale.Max {
				continue
			}
			if best < 0 || wanted[d.name] < wanted[byPrice[best].name] {
				best = i
			}
		}
		if best < 0 {
			break
		}
		wanted[byPrice[best].name]++
		missing--
	}
	for _, d := range domains {
		if d.unavailable {
			wanted[d.name] = d.spot // what is left there stays
		}
		// None is given up without which the domain has fewer replicas than its bound.
		wanted[d.name] = max(wanted[d.name], min(d.spot, scale.Min-d.plain))
	}
	return wanted
}

// demandPeak keeps the highest demand of the last demandMemory.
type demandPeak struct {
	samples []demandSample // of decreasing items, oldest first
}

type demandSample struct {
	at    time.Duration
	items int
}

// add adds a sample and returns the peak.
func (p *demandPeak) add(now time.Duration, items int) int {
	for len(p.samples) > 0 && p.samples[len(p.samples)-1].items <= items {
		p.samples = p.samples[:len(p.samples)-1]
	}
	p.samples = append(p.samples, demandSample{now, items})
	for now-p.samples[0].at > demandMemory {
		p.samples = p.samples[1:]
	}
	return p.samples[0].items
}
