package fleet

import (
	"github.com/hornbeamtide/hornbeamtide/fleet/fleetpb"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
)

// maxRecentLists is the number of older instance lists to keep. A daemon that has one of
// them receives only the difference to the current list.
const maxRecentLists = 16

// applyList replaces the current list if snapshot has a higher revision.
func (m *Manager) applyList(snapshot objectapi.InstanceSnapshot) {
	m.update(func(r *roster) bool {
		if r.listKnown && snapshot.Revision <= r.list.Revision {
			return false
		}
		if r.listKnown {
			r.recentLists = append(r.recentLists, r.list)
		}
		if len(r.recentLists) > maxRecentLists {
			r.recentLists = r.recentLists[1:]
		}
		r.list = snapshot
		r.listKnown = true
		return true
	})
}

// listSnapshot returns the current list and whether one was received.
func (m *Manager) listSnapshot() (objectapi.InstanceSnapshot, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.list, m.roster.listKnown
}

// listAt returns the list at a revision and whether it is still available.
func (m *Manager) listAt(revision int64) (objectapi.InstanceSnapshot, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.roster.listKnown && m.roster.list.Revision == revision {
		return m.roster.list, true
	}
	for _, list := range m.roster.recentLists {
		if list.Revision == revision {
			return list, true
		}
	}
	return objectapi.InstanceSnapshot{}, false
}

// listChangeSince returns the change from the list at a revision to the current list, or nil
// if the current list is not newer. If the older list is not available, the change contains
// the complete list.
func (m *Manager) listChangeSince(revision int64) *fleetpb.ListChange {
	list, known := m.listSnapshot()
	if !known || list.Revision <= revision {
		return nil
	}
	if base, kept := m.listAt(revision); kept {
		return diffLists(base, list)
	}
	return completeListChange(list)
}
