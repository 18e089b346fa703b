// Package objectapi defines what hornbeamtide needs of the platform below it: a store of
// versioned objects with conditional writes and watches, the list of instances and the
// versions of model weights. Package platform speaks to the one that our users run.
package objectapi

import (
	"context"
	"time"
)

// Object is one value of the object API.
type Object struct {
	Key     string // slash-separated path
	Version int64  // store-wide revision of the last write; grows on each write
	Value   []byte // at most MaxValueBytes
}

// MaxValueBytes is the largest value that the object API takes.
const MaxValueBytes = 1 << 20

// Snapshot is the state of a key prefix at one revision.
type Snapshot struct {
	Revision int64
	Objects  []Object // ordered by key
}

// Change is one entry of a watch. A bookmark has no key and only advances Revision.
type Change struct {
	Revision int64
	Object   Object
	Deleted  bool
	Bookmark bool
}

// Watch is a stream of changes. Next blocks until a change arrives, the progress
// deadline passes (fault.Unavailable) or changes were lost (fault.Conflict: list again).
type Watch interface {
	Next(ctx context.Context) (Change, error)
	Close()
}

// ObjectStore is the platform's object API.
//
// Errors: fault.NotFound; fault.Conflict when the condition did not hold;
// fault.Unavailable when the call certainly had no effect; fault.Ambiguous when a
// write may have taken effect; fault.Overloaded when the client's own rate limit
// refuses the call.
type ObjectStore interface {
	Get(ctx context.Context, key string) (Object, error)
	List(ctx context.Context, prefix string) (Snapshot, error)
	// Create writes key only if it does not exist.
	Create(ctx context.Context, key string, value []byte) (Object, error)
	// Update writes key only if its version is the given one.
	Update(ctx context.Context, key string, value []byte, version int64) (Object, error)
	// Delete removes key only if its version is the given one.
	Delete(ctx context.Context, key string, version int64) error
	// Watch streams the changes of prefix after the given revision.
	Watch(ctx context.Context, prefix string, after int64) (Watch, error)
}

// InstanceState is what the instance list says of an instance.
type InstanceState string

// The instance states.
const (
	Live    InstanceState = "live"
	Leaving InstanceState = "leaving"
)

// DaemonPool is the pool name under which the list keeps hornbeamtide's own instances.
const DaemonPool = "hornbeamtide"

// Instance is one entry of the instance list.
type Instance struct {
	ID            string        `json:"id"`
	Pool          string        `json:"pool"`           // backend server pool, or DaemonPool
	Address       string        `json:"address"`        // HTTP host:port
	PeerAddress   string        `json:"peer_address"`   // drpc host:port, daemons only
	Region        string        `json:"region"`         //
	FailureDomain string        `json:"failure_domain"` //
	State         InstanceState `json:"state"`
}

// InstanceSnapshot is the instance list at one revision.
type InstanceSnapshot struct {
	Revision  int64      `json:"revision"`
	Instances []Instance `json:"instances"`
}

// InstanceList reads the platform's lagging list of instances.
type InstanceList interface {
	Instances(ctx context.Context) (InstanceSnapshot, error)
}

// WeightVersion is one published version of a pool's weights. Versions start at 1
// and grow by 1 or more.
type WeightVersion struct {
	Pool      string    `json:"pool"`
	Version   int64     `json:"version"`
	Published time.Time `json:"published"`
}

// WeightStore reads the rate-limited weight store.
type WeightStore interface {
	// Latest returns the newest version of the pool, or fault.NotFound.
	Latest(ctx context.Context, pool string) (WeightVersion, error)
}

type waitKey struct{}

// WithWait returns a context whose watches wait for changes no longer than d at a time.
func WithWait(ctx context.Context, d time.Duration) context.Context {
	return context.WithValue(ctx, waitKey{}, d)
}

// WaitOf returns the wait of WithWait, or otherwise.
func WaitOf(ctx context.Context, otherwise time.Duration) time.Duration {
	if d, ok := ctx.Value(waitKey{}).(time.Duration); ok && d > 0 {
		return d
	}
	return otherwise
}
