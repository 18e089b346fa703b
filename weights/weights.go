// Package weights rolls out new weight versions to the replicas of each pool. One
// daemon, the pool's owner, holds the pool's lease. It stages a version on all replicas
// and then activates it on all of them at once; this joint activation is called a wave.
//
// An order is a stage or activate request to an engine and carries the owner's fencing
// token. If an activation fails partway (a partial swap), the replica gets no sample
// requests until it reports a complete version.
package weights

// Versions returns the newest published weight version of a pool, or 0 if none is known.
type Versions interface {
	Newest(pool string) int64
}

// Hinter accepts hints that a version may have been published. On a hint the pool's
// owner reads the weight store at once instead of at its next poll. The hinted version
// is not trusted: a hint has no other effect.
type Hinter interface {
	Hint(pool string, version int64)
}
