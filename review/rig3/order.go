package main

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// backupsOf returns the indices of the daemons that may run a batch submission after its owner, the first
// one first. Only the choice of the machines that are stopped depends on it, not the check.
func (r *rig) backupsOf(id string, owner int) []int {
	var order []int
	for i := range r.daemons {
		if i != owner {
			order = append(order, i)
		}
	}
	weight := func(i int) uint64 { return xxhash.Sum64String(id + "\x00" + r.daemons[i].id) }
	sort.Slice(order, func(a, b int) bool { return weight(order[a]) > weight(order[b]) })
	return order
}
