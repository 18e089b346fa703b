// Package objectapi defines the platform services that hornbeamtide depends on: a store of
// versioned objects with conditional writes and watches, the list of instances and the
// versions of model weights. Package platform is the client of the users' platform.
package objectapi

import (
	"context"
	"time"
)

// Object is one value of the object API.
type Object struct {
	Key     string // slash-separated path
	Version int64  // store-wide revision of the last write; increases with each write
	Value   []byte // at most MaxValueBytes
}

// MaxValueBytes is the maximum size of a value in the object API.
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

// Watch is a stream of changes. Next blocks until a change arrives, the progress deadline
// passes (fault.Unavailable) or changes were lost (fault.Conflict; the caller lists again).
type Watch interface {
	Next(ctx context.Context) (Change, error)
	Close()
}

// ObjectStore is the platform's object API.
//
// Errors: fault.NotFound; fault.Conflict if the condition did not hold; fault.Unavailable if
// the call certainly had no effect; fault.Ambiguous if a write may have taken effect;
// fault.Overloaded if the client's own rate limit refused the call.
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

// InstanceState is the state of an instance in the instance list.
type InstanceState string

// The instance states.
const (
	Live    InstanceState = "live"
	Leaving InstanceState = "leaving"
)

// DaemonPool is the pool name of hornbeamtide's own instances in the list.
const DaemonPool = "hornbeamtide"

// Instance is one entry of the instance list.
type Instance struct {
	ID            string        `json:"id"`
	Pool          string        `json:"pool"`         // backend server pool, or DaemonPool
	Address       string        `json:"address"`      // HTTP host:port
	PeerAddress   string        `json:"peer_address"` // drpc host:port, daemons only
	Region        string        `json:"region"`
	FailureDomain string        `json:"failure_domain"`
	State         InstanceState `json:"state"`
}

// InstanceSnapshot is the instance list at one revision.
type InstanceSnapshot struct {
	Revision  int64      `json:"revision"`
	Instances []Instance `json:"instances"`
}

// InstanceList reads the platform's list of instances. The list may be lagging.
type InstanceList interface {
	Instances(ctx context.Context) (InstanceSnapshot, error)
}

// WeightVersion is one published version of a pool's weights. Versions start at 1 and
// increase by 1 or more.
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

type maxWatchWaitKey struct{}

// WithMaxWatchWait returns a context that limits each wait of a watch for changes to d.
func WithMaxWatchWait(ctx context.Context, d time.Duration) context.Context {
	return context.WithValue(ctx, maxWatchWaitKey{}, d)
}

// MaxWatchWait returns the duration set by WithMaxWatchWait, or fallback if there is none.
func MaxWatchWait(ctx context.Context, fallback time.Duration) time.Duration {
	if d, ok := ctx.Value(maxWatchWaitKey{}).(time.Duration); ok && d > 0 {
		return d
	}
	return fallback
}
