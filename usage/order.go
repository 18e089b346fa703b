package usage

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// DutyOrder returns the IDs ordered by rendezvous hashing, the daemon that is to hold the duty first.
// It answers the loss of daemons: all daemons with the same member list get the same order, and when
// a daemon joins or leaves, the relative order of the others stays.
func DutyOrder(memberIDs []string) []string {
	type weighted struct {
		id     string
		weight uint64
	}
	all := make([]weighted, len(memberIDs))
	for i, id := range memberIDs {
		all[i] = weighted{id: id, weight: xxhash.Sum64String("duties\x00" + id)}
	}
	sort.Slice(all, func(a, b int) bool {
		return all[a].weight > all[b].weight || all[a].weight == all[b].weight && all[a].id < all[b].id
	})
	ordered := make([]string, len(all))
	for i, w := range all {
		ordered[i] = w.id
	}
	return ordered
}
