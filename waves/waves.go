// Package waves distributes new weight versions to the replicas. A wave is the rolling load of
// one version over the replicas of a model. One daemon at a time, the holder of a lease in the
// platform's store, orders a few replicas at a time to load the version.
package waves

import (
	"context"

	"github.com/hornbeamtide/hornbeamtide/catalog"
)

// Strategy determines what a replica does with its running requests when it loads a version.
type Strategy string

// Values of Strategy.
const (
	Wait   Strategy = "wait"   // running requests finish before the load
	Retain Strategy = "retain" // running requests continue under the new version
)

// Order is a request to a replica to load a version of a model.
type Order struct {
	Model    string
	Version  int64
	Strategy Strategy
	Holder   string // daemon that holds the lease
	Token    int64  // fencing token: the lease's revision
	Expected int64  // number of orders that the replica had accepted before this one
}

// Reply is a replica's response to an order.
type Reply string

// Values of Reply.
const (
	Accepted      Reply = "accepted" // the replica carries the order out
	AlreadyLoaded Reply = "holds"    // the version is already loaded
	Busy          Reply = "busy"     // another order is in progress, or more were accepted than expected
	Fenced        Reply = "fenced"   // a newer lease holder has sent an order
	Refused       Reply = "refused"  // unknown version, or another replica has this address
)

// Report is the state that a replica reports.
type Report struct {
	Versions map[string]int64 // by model
	Busy     bool             // an order is in progress
	Orders   int64            // number of orders accepted so far
	Running  int              // requests that are running
}

// ReplicaClient calls the replicas. After an error of Order, the replica may or may not have
// accepted the order.
type ReplicaClient interface {
	Report(ctx context.Context, replica catalog.Replica) (Report, error)
	Order(ctx context.Context, replica catalog.Replica, order Order) (Reply, error)
}
