// Package fleet maintains each daemon's view of the fleet: the live members, the backend
// servers of each pool, the documents in force and the daemons on which they are in force.
//
// Some daemons of each failure domain are collectors. A collector watches the platform,
// sends changes to the members connected to it and exchanges summaries with the other
// collectors. A row lists the document versions in force on one daemon; a summary contains
// the rows of a collector and of its members. A silent daemon is one from which no collector
// has received anything within the member timeout.
package fleet

import (
	"context"
	"time"

	"github.com/hornbeamtide/hornbeamtide/document"
)

// Member is one daemon.
type Member struct {
	ID            string
	Address       string // HTTP host:port
	PeerAddress   string // drpc host:port
	Region        string
	FailureDomain string
	Leaving       bool
}

// Replica is one backend server of a pool.
type Replica struct {
	ID            string
	Pool          string
	Address       string // HTTP host:port
	Region        string
	FailureDomain string
	Leaving       bool
}

// View is a daemon's view of its region. Returned slices are copies or immutable.
type View interface {
	Self() Member
	// Members returns the live members of the region ordered by ID, including Self
	// unless it is leaving.
	Members() []Member
	// Owners returns the n highest-ranked members for key by rendezvous hashing.
	Owners(key string, n int) []Member
	// Replicas returns the pool's replicas ordered by ID, including leaving ones.
	Replicas(pool string) []Replica
	// Subset returns the replicas of the pool that this daemon uses for unkeyed requests,
	// which have neither a prefix key nor a group key.
	Subset(pool string) []Replica
	// Isolated returns the time of the last contact with the platform or a peer, and
	// whether it is longer ago than Config.IsolationLimit.
	Isolated() (since time.Time, isolated bool)
}

// Documents provides the documents in force on this daemon.
type Documents interface {
	Document(service string) (document.VersionedDocument, bool)
	// All returns the documents ordered by service.
	All() []document.VersionedDocument
	// Changed returns a channel that is closed at the next change of any document.
	Changed() <-chan struct{}
}

// LaggingMember is a daemon on which the newest version of a document is not yet in force.
type LaggingMember struct {
	Member  string    `json:"member"`
	Version int64     `json:"version"` // version in force on the daemon, 0 for none
	Since   time.Time `json:"since"`   // when the newer version was accepted
}

// ServiceStatus lists the daemons on which a document is in force.
type ServiceStatus struct {
	Service string          `json:"service"`
	Version int64           `json:"version"` // newest accepted version
	InForce []string        `json:"in_force"`
	Lagging []LaggingMember `json:"behind"`
}

// DocumentAdmin reads and changes documents.
type DocumentAdmin interface {
	// Apply parses source and writes it as the service's document if version is the
	// current object version (0: no document yet). A conflict error names both
	// versions. If the response to the write is lost, Apply reads the document back to
	// determine the result.
	Apply(ctx context.Context, source []byte, version int64) (document.VersionedDocument, error)
	// Get returns the newest accepted version of the document.
	Get(ctx context.Context, service string) (document.VersionedDocument, error)
	// Status returns the status of each document, ordered by service.
	Status(ctx context.Context) ([]ServiceStatus, error)
}
