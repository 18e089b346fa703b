package dispatch

import (
	"maps"
	"time"

	"github.com/hornbeamtide/hornbeamtide/alarm"
	"github.com/hornbeamtide/hornbeamtide/document"
	"github.com/hornbeamtide/hornbeamtide/fault"
)

// leavingRetention is how long the first refusal of a leaving server is kept.
const leavingRetention = 10 * time.Minute

// recordLeavingRefusal records whether an attempt that a leaving server refused was sent
// within the document's leave bound, counted from the server's first refusal. err is the
// result of the attempt.
func (m *Manager) recordLeavingRefusal(d *document.Document, replica string, err error) {
	if !fault.Is(err, fault.Draining) {
		return
	}
	now := m.now()
	m.mu.Lock()
	maps.DeleteFunc(m.leaving, func(_ string, since time.Time) bool { return now.Sub(since) > leavingRetention })
	firstRefusal, known := m.leaving[replica]
	if !known {
		m.leaving[replica] = now
		firstRefusal = now
	}
	m.mu.Unlock()
	if now.Sub(firstRefusal) <= d.Servers.LeaveBound {
		m.deps.Recorder.Kept(alarm.LeavingServers, d.Service)
		return
	}
	m.deps.Recorder.Broken(alarm.LeavingServers, alarm.Evidence{
		Service: d.Service,
		Subject: replica,
		Detail:  "new work was sent to the server " + now.Sub(firstRefusal).Round(time.Millisecond).String() + " after it reported that it is leaving",
		At:      now,
	})
}
