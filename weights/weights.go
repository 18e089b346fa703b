// Package weights stages new weight versions on the replicas of each pool and
// activates them in one wave.
package weights

// Versions tells the newest published weight version of a pool, 0 when none is known.
type Versions interface {
	Newest(pool string) int64
}

// Hinter takes hints that a version may have been published: the pool's keeper then
// reads the weight store at once. A hint proves nothing and changes nothing else.
type Hinter interface {
	Hint(pool string, version int64)
}
