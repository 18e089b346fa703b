// Package waves brings new weight versions to the replicas: one daemon at a time, which
// holds a lease in the platform's store, orders them a few replicas at once.
package waves

import (
	"context"

	"github.com/hornbeamtide/hornbeamtide/catalog"
)

// Strategy is what a replica does with its running requests when it loads a version.
type Strategy string

// The strategies.
const (
	Wait   Strategy = "wait"   // they finish first
	Retain Strategy = "retain" // they go on under the new version
)

// Order has a replica load a version of a model.
type Order struct {
	Model    string
	Version  int64
	Strategy Strategy
	Holder   string // of the lease
	Token    int64  // fencing token: the lease's revision
	Expected int64  // orders that the replica has accepted so far
}

// Reply is a replica's answer to an order.
type Reply string

// The replies.
const (
	Accepted Reply = "accepted" // it is being carried out
	Holds    Reply = "holds"    // the version is loaded already
	Busy     Reply = "busy"     // another order is in progress, or more were accepted than expected
	Fenced   Reply = "fenced"   // a newer holder gave an order
	Refused  Reply = "refused"  // no such version, or another replica at the address
)

// Report is what a replica says of its orders.
type Report struct {
	Versions map[string]int64 // by model
	Busy     bool             // an order is in progress
	Orders   int64            // accepted so far
	Running  int              // requests in its batch
}

// Engines calls replicas. Their errors leave open whether an order was accepted.
type Engines interface {
	Report(ctx context.Context, replica catalog.Replica) (Report, error)
	Order(ctx context.Context, replica catalog.Replica, order Order) (Reply, error)
}
