// Package routing chooses the backend server for a request by filter, score and
// pick steps over a datastore of replica states.
package routing

import (
	"context"
	"time"

	"github.com/hornbeamtide/hornbeamtide/fleet"
)

// ReplicaState is what this daemon knows of one backend server.
type ReplicaState struct {
	Replica   fleet.Replica
	InFlight  int       // requests of this daemon in progress
	Running   int       // reported, lagging
	Waiting   int       // reported, lagging
	Reported  time.Time // when the load was reported
	Version   int64     // reported weight version, 0 unknown
	Whole     bool      // reports one whole version; always true for plain services
	Suspended bool      // takes no sample work, a weight swap is in progress or failed
	Failing   bool      // recent requests or polls failed on fresh connections
}

// Request is what the choice depends on.
type Request struct {
	Service     string
	Pool        string
	Key         string   // prefix or group key, "" for unkeyed work
	Sample      bool     // generates a sample: needs a whole version
	Exclude     []string // replica IDs tried before
	MaxInFlight int      // requests in progress a server from one daemon
}

// Lease is a chosen replica. Done must be called once when the request ended.
type Lease struct {
	Replica fleet.Replica
	Done    func(err error, duration time.Duration)
}

// Picker chooses replicas. Errors: fault.Unavailable or fault.Overloaded, both not run.
type Picker interface {
	Pick(ctx context.Context, r Request) (Lease, error)
}
