package fleet

import (
	"time"

	"github.com/hornbeamtide/hornbeamtide/event"
)

// leavingTTL is how long an instance counts as leaving after the last observation while
// the instance list still shows it as live.
const leavingTTL = 30 * time.Second

// leavingMark records an observation that an instance is leaving.
type leavingMark struct {
	instance string
	at       time.Time
}

// MarkLeaving records that a backend server reported that it accepts no new work. The
// mark is sent to the other daemons.
func (m *Manager) MarkLeaving(replicaID string) {
	m.log.Log(event.LeavingReported, event.F("replica", replicaID))
	m.mergeLeavingMarks([]leavingMark{{instance: replicaID, at: m.config.Now()}})
}

// mergeLeavingMarks adds marks and keeps the latest one of each instance.
func (m *Manager) mergeLeavingMarks(marks []leavingMark) {
	m.update(func(r *roster) bool {
		added := false
		for _, mark := range marks {
			at, known := r.leavingMarks[mark.instance]
			if !known || mark.at.After(at) {
				r.leavingMarks[mark.instance] = mark.at
			}
			added = added || !known
		}
		return added
	})
}

// expireLeavingMarks removes marks that were not renewed within their TTL. A collector keeps
// them while the instance list can't be read, because no newer state is available.
func (m *Manager) expireLeavingMarks() {
	now := m.config.Now()
	if m.collector.running() && m.collector.listAge() > leavingTTL/2 {
		return
	}
	m.update(func(r *roster) bool {
		expired := false
		for id, at := range r.leavingMarks {
			if now.Sub(at) > m.leavingMarkTTL(r, id) {
				delete(r.leavingMarks, id)
				expired = true
			}
		}
		return expired
	})
}

// leavingMarkTTL returns the TTL of an instance's mark. It is shorter for daemons, because
// they repeat in each report that they are leaving.
func (m *Manager) leavingMarkTTL(r *roster, id string) time.Duration {
	for _, instance := range r.list.Instances {
		if instance.ID == id && instance.PeerAddress != "" {
			return m.config.MemberTimeout
		}
	}
	return leavingTTL
}

// currentLeavingMarks returns all leaving marks, including Self while it is draining.
func (m *Manager) currentLeavingMarks() []leavingMark {
	m.mu.Lock()
	defer m.mu.Unlock()
	marks := make([]leavingMark, 0, len(m.roster.leavingMarks)+1)
	for id, at := range m.roster.leavingMarks {
		marks = append(marks, leavingMark{instance: id, at: at})
	}
	if m.roster.draining {
		marks = append(marks, leavingMark{instance: m.roster.self.ID, at: m.config.Now()})
	}
	return marks
}
