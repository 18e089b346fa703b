// Package weights stages new weight versions on the replicas of each pool and
// activates them in one wave.
package weights

// Versions tells the newest published weight version of a pool, 0 when none is known.
type Versions interface {
	Newest(pool string) int64
}
