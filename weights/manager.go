package weights

import (
	"time"

	"github.com/hornbeamtide/hornbeamtide/backend"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fleet"
	"github.com/hornbeamtide/hornbeamtide/peer"
	"github.com/hornbeamtide/hornbeamtide/platform"
)

// Config configures a Manager.
type Config struct {
	PollInterval time.Duration // between two reads of the weight store by a keeper
	Lease        time.Duration // validity of a keeper's lease
	StageAtOnce  int           // replicas that load from the weight store at a time
}

// ReplicaGate takes replicas out of sample work and back. routing.Store implements it.
type ReplicaGate interface {
	// Suspend stops sample work on the replica until it reports one whole version,
	// which is at least min.
	Suspend(replicaID string, min int64)
}

// Parts are what a Manager works with.
type Parts struct {
	View     fleet.View
	Docs     fleet.Documents
	Store    platform.ObjectStore
	Weights  platform.WeightStore
	Backends backend.Dialer
	Gate     ReplicaGate
	Conns    peer.Conns
	Log      *event.Logger
}

// Manager keeps the pools whose lease this daemon holds and implements Versions.
type Manager struct {
	config Config
	parts  Parts
}

// NewManager returns a Manager. Register and Run start it.
func NewManager(config Config, parts Parts) *Manager {
	return &Manager{config: config, parts: parts}
}
