package fleet

import (
	"time"

	"github.com/hornbeamtide/hornbeamtide/event"
)

// leavingTTL is how long an instance counts as leaving after it was last observed so,
// while the instance list still says that it is live.
const leavingTTL = 30 * time.Second

// mark is one observation that an instance is leaving.
type mark struct {
	instance string
	at       time.Time
}

// MarkLeaving records that a backend server said that it takes no new work. The
// other daemons hear of it.
func (m *Manager) MarkLeaving(replicaID string) {
	m.log.Log(event.LeavingReported, event.F("replica", replicaID))
	m.mergeMarks([]mark{{instance: replicaID, at: m.config.Now()}})
}

// mergeMarks adds observations; of two of one instance the later one counts.
func (m *Manager) mergeMarks(marks []mark) {
	m.update(func(r *roster) bool {
		added := false
		for _, one := range marks {
			at, known := r.marks[one.instance]
			if !known || one.at.After(at) {
				r.marks[one.instance] = one.at
			}
			added = added || !known
		}
		return added
	})
}

// expireMarks drops observations that were not repeated. They are kept while the
// instance list can't be read, since nothing newer is known then.
func (m *Manager) expireMarks() {
	now := m.config.Now()
	if m.collector.running() && m.collector.listAge() > leavingTTL/2 {
		return
	}
	m.update(func(r *roster) bool {
		expired := false
		for id, at := range r.marks {
			if now.Sub(at) > m.markTTL(r, id) {
				delete(r.marks, id)
				expired = true
			}
		}
		return expired
	})
}

// markTTL is shorter for daemons, which repeat with each report that they leave.
func (m *Manager) markTTL(r *roster, id string) time.Duration {
	for _, instance := range r.list.Instances {
		if instance.ID == id && instance.PeerAddress != "" {
			return m.config.MemberTimeout
		}
	}
	return leavingTTL
}

// marksNow returns the observations, with Self if it takes no new work.
func (m *Manager) marksNow() []mark {
	m.mu.Lock()
	defer m.mu.Unlock()
	marks := make([]mark, 0, len(m.roster.marks)+1)
	for id, at := range m.roster.marks {
		marks = append(marks, mark{instance: id, at: at})
	}
	if m.roster.drained {
		marks = append(marks, mark{instance: m.roster.self.ID, at: m.config.Now()})
	}
	return marks
}
