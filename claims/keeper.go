package claims

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/url"
	"time"

	"storj.io/drpc"

	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fault"
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

// Register adds the package's drpc services to mux.
func (m *Manager) Register(drpc.Mux) error { return nil }

// Run keeps the shards of this daemon until ctx ends.
func (m *Manager) Run(ctx context.Context) error { <-ctx.Done(); return nil }

// entry is the value of a claim object.
type entry struct {
	Fingerprint uint64 `json:"fingerprint"`
	Nonce       uint64 `json:"nonce"` // of the writer
}

// Claim implements Claimer.
func (m *Manager) Claim(ctx context.Context, c Claim) error {
	key := fmt.Sprintf("claims/%s/%s", c.Service, url.PathEscape(c.Key))
	mine := entry{Fingerprint: c.Fingerprint, Nonce: rand.Uint64()}
	value, err := json.Marshal(mine)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "encode claim", "", fault.WithOutcome(fault.NotRun))
	}
	_, err = m.store.Create(ctx, key, value)
	if err == nil {
		return nil
	}
	if !fault.Is(err, fault.Conflict) && !fault.Is(err, fault.Ambiguous) {
		return unavailable(err)
	}
	object, err := m.store.Get(ctx, key)
	if err != nil {
		return unavailable(err)
	}
	return compare(object.Value, mine)
}

func compare(value []byte, mine entry) error {
	var found entry
	if err := json.Unmarshal(value, &found); err != nil {
		return unavailable(err)
	}
	switch {
	case found == mine:
		return nil
	case found.Fingerprint != mine.Fingerprint:
		return fault.New(fault.Conflict, "the request key was used for another request",
			"use a new key for each intended effect", fault.WithOutcome(fault.NotRun))
	}
	return fault.New(fault.Claimed, "a request with this key was sent before",
		"look up whether its effect took place", fault.WithOutcome(fault.Unknown))
}

func unavailable(cause error) error {
	return fault.Wrap(cause, fault.Unavailable, "the claim journal can't be written",
		"retry with the same key", fault.WithOutcome(fault.NotRun), fault.WithRetryAfter(time.Second))
}
