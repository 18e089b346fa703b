package routing

import (
	"time"

	"github.com/hornbeamtide/hornbeamtide/backend"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fleet"
)

// Config configures a Store.
type Config struct {
	Policy       string        // "affinity" (default), "random", "round_robin", "least_load"
	PollInterval time.Duration // between two status polls of an engine
	LoadBound    float64       // busiest replica over the mean before a key spills over
	Seed         uint64        // of the random choices
}

// Store keeps the states of the replicas that this daemon talks to and implements Picker.
type Store struct {
	config   Config
	view     fleet.View
	docs     fleet.Documents
	backends backend.Dialer
	log      *event.Logger
}

// NewStore returns a Store that follows the replicas of view for the pools of docs.
func NewStore(config Config, view fleet.View, docs fleet.Documents, backends backend.Dialer, log *event.Logger) *Store {
	return &Store{config: config, view: view, docs: docs, backends: backends, log: log}
}
