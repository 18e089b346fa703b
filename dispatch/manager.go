package dispatch

import (
	"net/http"

	"github.com/hornbeamtide/hornbeamtide/admission"
	"github.com/hornbeamtide/hornbeamtide/alarm"
	"github.com/hornbeamtide/hornbeamtide/backend"
	"github.com/hornbeamtide/hornbeamtide/claims"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fleet"
	"github.com/hornbeamtide/hornbeamtide/routing"
)

// Parts are what a Manager works with.
type Parts struct {
	View     fleet.View
	Docs     fleet.Documents
	Picker   routing.Picker
	Admitter admission.Admitter
	Claimer  claims.Claimer
	Backends backend.Dialer
	Recorder alarm.Recorder
	Log      *event.Logger
}

// Manager dispatches the requests of callers and implements Generator.
type Manager struct {
	parts Parts
}

// NewManager returns a Manager.
func NewManager(parts Parts) *Manager { return &Manager{parts: parts} }

// ServeHTTP serves /v1/services/{service}/*: the path below the service's root goes
// to a backend server. See docs/API.md for the request headers.
func (m *Manager) ServeHTTP(w http.ResponseWriter, r *http.Request) {}
