// Package fleet keeps a daemon's view of the others: the members, the backend
// servers of each pool, the documents in force and where each document is in force.
// Domain collectors watch the platform and pass on to their members what changes.
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

// View is a daemon's view of its region. Results are copies or never changed.
type View interface {
	Self() Member
	// Members returns the live members of the region ordered by ID, Self included
	// unless it is leaving.
	Members() []Member
	// Owners returns the n members that rank first for key by rendezvous hashing.
	Owners(key string, n int) []Member
	// Replicas returns the pool's servers ordered by ID, leaving ones included.
	Replicas(pool string) []Replica
	// Subset returns this daemon's servers of the pool for unkeyed work.
	Subset(pool string) []Replica
	// Isolated reports since when neither the platform nor any peer was reachable,
	// and whether that is longer than the limit.
	Isolated() (since time.Time, isolated bool)
}

// Documents are the documents in force on this daemon.
type Documents interface {
	Document(service string) (document.Versioned, bool)
	// All returns the documents ordered by service.
	All() []document.Versioned
	// Changed returns a channel that is closed at the next change of any document.
	Changed() <-chan struct{}
}

// Behind is a daemon that does not yet have a document version in force.
type Behind struct {
	Member  string    `json:"member"`
	Version int64     `json:"version"` // version that it has in force, 0 for none
	Since   time.Time `json:"since"`   // when the newer version was accepted
}

// ServiceStatus says where a document is in force.
type ServiceStatus struct {
	Service string   `json:"service"`
	Version int64    `json:"version"` // newest accepted version
	InForce []string `json:"in_force"`
	Behind  []Behind `json:"behind"`
}

// Admin reads and changes documents.
type Admin interface {
	// Apply parses source and writes it as the service's document if the current
	// object version is the given one (0: none yet). A conflict error says both
	// versions. A lost answer is settled by reading back.
	Apply(ctx context.Context, source []byte, version int64) (document.Versioned, error)
	// Get returns the newest accepted document.
	Get(ctx context.Context, service string) (document.Versioned, error)
	// Status returns where each document is in force, ordered by service.
	Status(ctx context.Context) ([]ServiceStatus, error)
}
