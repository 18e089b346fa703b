package fleet

import (
	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// rank returns the n highest-ranked names for key by rendezvous hashing.
func rank(names []string, key string, n int) []string {
	n = min(n, len(names))
	ranked := make([]string, 0, n)
	remaining := names
	for len(ranked) < n {
		first := rendezvous.New(remaining, xxhash.Sum64String).Lookup(key)
		ranked = append(ranked, first)
		remaining = without(remaining, first)
	}
	return ranked
}

// without returns a copy of names without name.
func without(names []string, name string) []string {
	remaining := make([]string, 0, len(names))
	for _, other := range names {
		if other != name {
			remaining = append(remaining, other)
		}
	}
	return remaining
}
