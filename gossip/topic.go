package gossip

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Fact is something that a daemon observed and that all daemons should know.
type Fact struct {
	Key   string
	Value []byte
	Age   time.Duration // since it was observed; clocks of daemons are not compared
}

// Topic holds the facts of one kind on this daemon. It bounds their number, merges the facts of
// others and forgets facts that do not matter any more. Its methods must be safe for concurrent
// use and must not block.
type Topic interface {
	// Name is unique and the same on all daemons.
	Name() string
	// Facts returns all facts.
	Facts() []Fact
	// Digest is equal on daemons whose facts need no exchange. It is 0 if there are none.
	Digest() uint64
	// Merge adds facts of another daemon and reports whether any of them was new.
	Merge(facts []Fact) bool
}

// Digest combines the texts that describe the facts of a topic, in any order. It is 0 for none.
func Digest(texts []string) uint64 {
	var sum uint64
	for _, text := range texts {
		sum += xxhash.Sum64String(text)
	}
	if sum == 0 && len(texts) > 0 {
		return 1
	}
	return sum
}
