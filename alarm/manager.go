package alarm

import (
	"time"

	"github.com/hornbeamtide/hornbeamtide/event"
)

// Config configures a Manager.
type Config struct {
	ClearAfter time.Duration // without a new break before an alarm clears
}

// Manager implements Recorder and keeps the raised alarms.
type Manager struct {
	config Config
	log    *event.Logger
}

// NewManager returns a Manager without alarms.
func NewManager(config Config, log *event.Logger) *Manager {
	return &Manager{config: config, log: log}
}
