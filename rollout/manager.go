package rollout

import (
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/hornbeamtide/hornbeamtide/alarm"
	"github.com/hornbeamtide/hornbeamtide/dispatch"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fleet"
	"github.com/hornbeamtide/hornbeamtide/peer"
	"github.com/hornbeamtide/hornbeamtide/platform"
	"github.com/hornbeamtide/hornbeamtide/weights"
)

// Config configures a Manager.
type Config struct {
	GroupsInProgress int           // groups that this daemon runs at a time
	StepRetention    time.Duration // an idle step is forgotten after this
	TokenInterval    time.Duration // between two stores of a trainer's newest token
}

// Parts are what a Manager works with.
type Parts struct {
	View      fleet.View
	Docs      fleet.Documents
	Generator dispatch.Generator
	Versions  weights.Versions
	Store     platform.ObjectStore
	Conns     peer.Conns
	Recorder  alarm.Recorder
	Log       *event.Logger
}

// Manager serves the trainers' interface, owns steps and runs groups.
type Manager struct {
	config Config
	parts  Parts
}

// NewManager returns a Manager. Register and Run start it.
func NewManager(config Config, parts Parts) *Manager {
	return &Manager{config: config, parts: parts}
}

// Routes adds the trainers' interface below /v1/trainers to r.
func (m *Manager) Routes(r chi.Router) {}
