package fleet

import (
	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// rank returns the n names that rank first for key by rendezvous hashing.
func rank(names []string, key string, n int) []string {
	n = min(n, len(names))
	ranked := make([]string, 0, n)
	left := names
	for len(ranked) < n {
		first := rendezvous.New(left, xxhash.Sum64String).Lookup(key)
		ranked = append(ranked, first)
		left = without(left, first)
	}
	return ranked
}

// without returns a copy of names that lacks name.
func without(names []string, name string) []string {
	left := make([]string, 0, len(names))
	for _, other := range names {
		if other != name {
			left = append(left, other)
		}
	}
	return left
}
