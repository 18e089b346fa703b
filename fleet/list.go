package fleet

import (
	"github.com/hornbeamtide/hornbeamtide/fleet/fleetpb"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
)

// recentLists is how many older instance lists are kept, so that a daemon that has
// one of them is sent the difference only.
const recentLists = 16

// offerList applies a list unless it is older than the known one.
func (m *Manager) offerList(snapshot objectapi.InstanceSnapshot) {
	m.update(func(r *roster) bool {
		if r.known && snapshot.Revision <= r.list.Revision {
			return false
		}
		if r.known {
			r.recent = append(r.recent, r.list)
		}
		if len(r.recent) > recentLists {
			r.recent = r.recent[1:]
		}
		r.list = snapshot
		r.known = true
		return true
	})
}

// listSnapshot returns the known list and whether there is one.
func (m *Manager) listSnapshot() (objectapi.InstanceSnapshot, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.list, m.roster.known
}

// listAt returns the known list of a revision and whether it is still kept.
func (m *Manager) listAt(revision int64) (objectapi.InstanceSnapshot, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.roster.known && m.roster.list.Revision == revision {
		return m.roster.list, true
	}
	for _, list := range m.roster.recent {
		if list.Revision == revision {
			return list, true
		}
	}
	return objectapi.InstanceSnapshot{}, false
}

// listSince returns what turns the list of a revision into the known one; nil if that
// is not newer.
func (m *Manager) listSince(revision int64) *fleetpb.ListChange {
	list, known := m.listSnapshot()
	if !known || list.Revision <= revision {
		return nil
	}
	if base, kept := m.listAt(revision); kept {
		return listChange(base, list)
	}
	return wholeList(list)
}
