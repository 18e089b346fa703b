package dispatch

import (
	"maps"
	"time"

	"github.com/hornbeamtide/hornbeamtide/alarm"
	"github.com/hornbeamtide/hornbeamtide/document"
	"github.com/hornbeamtide/hornbeamtide/fault"
)

// leavingMemory is how long a server's refusal because it leaves is remembered.
const leavingMemory = 10 * time.Minute

// noteLeaving checks that a server which said that it leaves got no further work
// after the document's bound.
func (m *Manager) noteLeaving(d *document.Document, replica string, err error) {
	if !fault.Is(err, fault.Draining) {
		return
	}
	now := m.now()
	m.mu.Lock()
	maps.DeleteFunc(m.leaving, func(_ string, since time.Time) bool { return now.Sub(since) > leavingMemory })
	first, known := m.leaving[replica]
	if !known {
		m.leaving[replica] = now
		first = now
	}
	m.mu.Unlock()
	if now.Sub(first) <= d.Servers.LeaveBound {
		m.parts.Recorder.Kept(alarm.LeavingServers, d.Service)
		return
	}
	m.parts.Recorder.Broken(alarm.LeavingServers, alarm.Evidence{
		Service: d.Service,
		Subject: replica,
		Detail:  "new work reached the server " + now.Sub(first).Round(time.Millisecond).String() + " after it said that it leaves",
		At:      now,
	})
}
