package mirror

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

const (
	// smallFleetSize is the largest fleet with only minCollectors collectors, each of which
	// serves half of the fleet. In a larger fleet each failure domain has one.
	smallFleetSize = 96
	minCollectors  = 2
)

// collectorOrder sorts the daemons by their priority as collectors: the first of each failure
// domain, then the second of each, and so on, each in the order of rendezvous hashing.
func collectorOrder(members []Member) []Member {
	ordered := append([]Member(nil), members...)
	sort.Slice(ordered, func(a, b int) bool {
		weightA, weightB := rendezvousWeight(ordered[a]), rendezvousWeight(ordered[b])
		return weightA > weightB || weightA == weightB && ordered[a].Address < ordered[b].Address
	})
	domainCount := map[string]int{}
	rank := make(map[string]int, len(ordered))
	for _, m := range ordered {
		rank[m.ID] = domainCount[m.FailureDomain]
		domainCount[m.FailureDomain]++
	}
	sort.SliceStable(ordered, func(a, b int) bool { return rank[ordered[a].ID] < rank[ordered[b].ID] })
	return ordered
}

// rendezvousWeight hashes the address and not the ID: seeds are known by address before their ID
// is known, and all daemons must agree on the first in the order.
func rendezvousWeight(m Member) uint64 { return xxhash.Sum64String("collector\x00" + m.Address) }

// collectors returns the daemons that should watch the store: the first in the order that are
// not skipped.
func collectors(ordered []Member, skipped func(id string) bool) []Member {
	wanted := minCollectors
	if len(ordered) > smallFleetSize {
		domains := map[string]bool{}
		for _, m := range ordered {
			domains[m.FailureDomain] = true
		}
		wanted = max(wanted, len(domains))
	}
	var chosen []Member
	for _, m := range ordered {
		if len(chosen) < wanted && !skipped(m.ID) {
			chosen = append(chosen, m)
		}
	}
	return chosen
}

// sources returns the daemons to ask for updates, in order of preference: the collectors of the
// own failure domain, the other collectors, then the remaining daemons in collector order. The
// other collectors are rotated by a hash of the own ID, to spread the members of a domain without
// a collector over all of them.
func sources(self Member, ordered, chosen []Member) []Member {
	var own, others, rest []Member
	isCollector := map[string]bool{}
	for _, m := range chosen {
		isCollector[m.ID] = true
	}
	for _, m := range ordered {
		switch {
		case m.ID == self.ID:
		case isCollector[m.ID] && m.FailureDomain == self.FailureDomain:
			own = append(own, m)
		case isCollector[m.ID]:
			others = append(others, m)
		default:
			rest = append(rest, m)
		}
	}
	if n := len(others); n > 0 {
		first := int(xxhash.Sum64String(self.ID) % uint64(n))
		others = append(others[first:], others[:first]...)
	}
	return append(append(own, others...), rest...)
}

// collectorSources returns the sources of a collector, from which it learns of changes that its own
// watches missed: the first collector, which alone watches the kinds that are not urgent, before the
// others.
func collectorSources(usable, chosen []Member) []Member {
	var first, rest []Member
	for _, m := range usable {
		if m.ID == chosen[0].ID {
			first = append(first, m)
		} else {
			rest = append(rest, m)
		}
	}
	return append(first, rest...)
}
