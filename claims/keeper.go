package claims

import (
	"time"

	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fleet"
	"github.com/hornbeamtide/hornbeamtide/peer"
	"github.com/hornbeamtide/hornbeamtide/platform"
)

// Config configures a Manager.
type Config struct {
	Shards        int           // shards a service
	BatchInterval time.Duration // longest wait of a claim for its batch
	Retention     time.Duration // a key is remembered for this long
}

// Manager implements Claimer: it sends a claim to the keeper of its shard and keeps
// the shards that this daemon owns.
type Manager struct {
	config Config
	view   fleet.View
	store  platform.ObjectStore
	conns  peer.Conns
	log    *event.Logger
}

// NewManager returns a Manager. Register and Run start it.
func NewManager(config Config, view fleet.View, store platform.ObjectStore, conns peer.Conns, log *event.Logger) *Manager {
	return &Manager{config: config, view: view, store: store, conns: conns, log: log}
}
