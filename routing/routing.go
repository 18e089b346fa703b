// Package routing chooses the backend server for a request by filter, score and
// pick steps over a datastore of replica states.
package routing

import (
	"context"
	"time"

	"github.com/hornbeamtide/hornbeamtide/backend"
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
	Whole     bool      // false after the replica reported a partial swap; true while unknown
	Suspended bool      // takes no sample work until it reports the whole version after a partial swap
	Failing   bool      // recent requests or polls failed on fresh connections
	Leaving   bool      // the list or the server itself says that it takes no new work
	Slowness  float64   // own latency over the pool's median, 1 while unknown
	Busy      bool      // just refused a request because of its load
	Unproven  bool      // its latency is not known yet, that of most others is
	Slow      bool      // several times slower than the pool
}

// Request is what the choice depends on.
type Request struct {
	Service     string
	Pool        string
	Key         string   // prefix or group key, "" for unkeyed work
	Sample      bool     // generates a sample: not on suspended replicas
	Exclude     []string // replica IDs tried before
	MaxInFlight int      // requests in progress a server from one daemon, 0 for no limit
}

// Lease is a chosen replica. Done must be called once when the request ended. The
// other functions may be nil and may be called any number of times before Done.
type Lease struct {
	Replica fleet.Replica
	Done    func(err error, duration time.Duration)
	// Progress reports that so many more tokens took the given time.
	Progress func(tokens int, elapsed time.Duration)
	// Slow tells whether the replica turned out several times slower than its pool.
	// For a probe it says so only after the probe has shown it again.
	Slow func() bool
	// Partial tells whether the server was seen after a partial weight swap since the
	// choice.
	Partial func() bool
	// Load reports the load that came with the server's response.
	Load func(l backend.Load)
}

// Picker chooses replicas. Errors: fault.Unavailable or fault.Overloaded, both not run.
type Picker interface {
	Pick(ctx context.Context, r Request) (Lease, error)
}

// LeavingReporter is told when a server itself says that it takes no new work.
type LeavingReporter interface {
	MarkLeaving(replicaID string)
}
