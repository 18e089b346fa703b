package ratelimit

import (
	"context"
	"time"

	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/upstream"
)

// Manager is an upstream.Backend that keeps track of the request limits of replicas.
type Manager struct {
	upstream.Backend

	limits *registry
}

// NewManager returns a Manager that sends calls through backend.
func NewManager(backend upstream.Backend, log *event.Logger) *Manager {
	return &Manager{Backend: backend, limits: newRegistry(log)}
}

// Send implements upstream.Backend.
func (m *Manager) Send(ctx context.Context, call upstream.Call) (*upstream.Response, error) {
	m.limits.recordSent(call.Replica.ID)
	sentAt := time.Now()
	resp, err := m.Backend.Send(ctx, call)
	if err == nil && (resp.Signed || resp.RequestLimit > 0) {
		m.limits.recordResponse(call.Replica.ID, call.Replica.StartedMs, resp.RequestLimit, sentAt, time.Now())
	}
	return resp, err
}

// Remove deletes what is known about a replica that is gone.
func (m *Manager) Remove(id string) { m.limits.remove(id) }

// Limited returns the replicas that name a limit, by ID.
func (m *Manager) Limited() map[string]LimitedReplica { return m.limits.snapshot() }
