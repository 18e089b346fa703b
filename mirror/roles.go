package mirror

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

const (
	// fewMembers is the largest fleet that makes do with two collectors, each of which
	// answers half of it; beyond it each failure domain has one.
	fewMembers    = 96
	fewCollectors = 2
)

// order puts the daemons in the order in which they collect: by rendezvous hashing, and
// in larger fleets the first of each failure domain before the second of any.
func order(members []Member) []Member {
	ordered := append([]Member(nil), members...)
	sort.Slice(ordered, func(a, b int) bool {
		wa, wb := weight(ordered[a]), weight(ordered[b])
		return wa > wb || wa == wb && ordered[a].Address < ordered[b].Address
	})
	place := map[string]int{}
	rank := make(map[string]int, len(ordered))
	for _, m := range ordered {
		rank[m.ID] = place[m.FailureDomain]
		place[m.FailureDomain]++
	}
	sort.SliceStable(ordered, func(a, b int) bool { return rank[ordered[a].ID] < rank[ordered[b].ID] })
	return ordered
}

// weight goes by address: seeds are known by their address before they are known by ID,
// and all daemons must agree on the first in order.
func weight(m Member) uint64 { return xxhash.Sum64String("collector\x00" + m.Address) }

// collectors are the daemons that watch the store: the first in order that are not known
// to be bad.
func collectors(ordered []Member, bad func(id string) bool) []Member {
	wanted := fewCollectors
	if len(ordered) > fewMembers {
		domains := map[string]bool{}
		for _, m := range ordered {
			domains[m.FailureDomain] = true
		}
		wanted = max(wanted, len(domains))
	}
	var chosen []Member
	for _, m := range ordered {
		if len(chosen) < wanted && !bad(m.ID) {
			chosen = append(chosen, m)
		}
	}
	return chosen
}

// sources are the daemons to ask for news, best first: the collector of the own failure
// domain, the other collectors, then the next in order. Members of a domain without a
// collector are spread over all.
func sources(self Member, ordered, chosen []Member) []Member {
	var own, others, rest []Member
	collects := map[string]bool{}
	for _, m := range chosen {
		collects[m.ID] = true
	}
	for _, m := range ordered {
		switch {
		case m.ID == self.ID:
		case collects[m.ID] && m.FailureDomain == self.FailureDomain:
			own = append(own, m)
		case collects[m.ID]:
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
