// Package routing chooses the backend server for a request. A policy filters, scores and
// picks among the replica states that the Store holds.
package routing

import (
	"context"
	"time"

	"github.com/hornbeamtide/hornbeamtide/backend"
	"github.com/hornbeamtide/hornbeamtide/fleet"
)

// ReplicaState is the state of one backend server as this daemon sees it.
type ReplicaState struct {
	Replica   fleet.Replica
	InFlight  int       // requests of this daemon in flight
	Running   int       // running requests as last reported, may be out of date
	Waiting   int       // waiting requests as last reported, may be out of date
	Reported  time.Time // when the load was reported
	Version   int64     // reported weight version, 0 if unknown
	Whole     bool      // false after the replica reported a partial swap; true while unknown
	Suspended bool      // gets no sample requests until it reports a complete version after a partial swap
	Failing   bool      // marked failing after failed requests or polls, see Store.markSuspect
	Leaving   bool      // the replica list or the server itself reports that it accepts no new work
	Slowness  float64   // latency divided by the pool's median, 1 while unknown
	Busy      bool      // recently refused a request because of its load
	Unproven  bool      // latency not known yet, while that of most others is
	Slow      bool      // several times slower than its pool
}

// Request describes the request that a replica is chosen for.
type Request struct {
	Service     string
	Pool        string
	Key         string   // prefix or group key, "" for unkeyed requests
	Sample      bool     // generates a sample; not sent to suspended replicas
	Exclude     []string // IDs of replicas already tried
	MaxInFlight int      // limit of in-flight requests per server from this daemon, 0 for no limit
}

// Lease is a chosen replica. Done must be called once when the request ends. The other
// functions may be nil and may be called any number of times before Done.
type Lease struct {
	Replica fleet.Replica
	Done    func(err error, duration time.Duration)
	// ReportProgress reports that the next tokens took the given time.
	ReportProgress func(tokens int, elapsed time.Duration)
	// Slow reports whether the replica is several times slower than its pool. For a
	// probe of a slow replica it is false until the probe itself has enough
	// observations.
	Slow func() bool
	// PartiallySwapped reports whether a partial swap of the server's weights was observed
	// since the replica was chosen.
	PartiallySwapped func() bool
	// ReportLoad records the load that the server's response reported.
	ReportLoad func(l backend.Load)
}

// Picker chooses replicas. Errors: fault.Unavailable or fault.Overloaded, both with
// outcome fault.NotRun.
type Picker interface {
	Pick(ctx context.Context, r Request) (Lease, error)
}

// LeavingReporter is notified when a server itself reports that it accepts no new work.
type LeavingReporter interface {
	MarkLeaving(replicaID string)
}
