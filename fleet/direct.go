package fleet

import (
	"context"

	"github.com/hornbeamtide/hornbeamtide/fleet/fleetpb"
)

// readDirect reads the platform at once at the start, whatever role this daemon has by
// then, and later at a jittered interval while it neither attends a collector nor is one.
func (m *Manager) readDirect(ctx context.Context) {
	for ctx.Err() == nil {
		if !m.asked.Load() || !m.member.attached() && !m.collector.running() {
			m.counts.directReads.Add(1)
			m.readPlatform(ctx)
		}
		wait(ctx, jitter(m.config.DirectInterval))
	}
}

// readPlatform reads documents and list. What the last collector told of instances is
// dropped once it is old.
func (m *Manager) readPlatform(ctx context.Context) {
	_, _ = m.readDocuments(ctx)
	m.asked.Store(true)
	if m.readList(ctx) == nil && m.member.lost() {
		m.applyFlags(&fleetpb.Flags{})
	}
}

// readList reads the instance list and applies it.
func (m *Manager) readList(ctx context.Context) error {
	snapshot, err := m.list.Instances(ctx)
	if err != nil {
		return err
	}
	m.touch()
	m.offerList(snapshot)
	return nil
}

// readDocuments reads all documents and returns the store revision they are of.
func (m *Manager) readDocuments(ctx context.Context) (int64, error) {
	snapshot, err := m.store.List(ctx, documentPrefix)
	if err != nil {
		return 0, err
	}
	m.touch()
	now := m.config.Now()
	names := make([]string, 0, len(snapshot.Objects))
	revisions := make([]revision, 0, len(snapshot.Objects))
	for _, object := range snapshot.Objects {
		r := revisionOf(object, now)
		names = append(names, r.Service)
		revisions = append(revisions, r)
	}
	m.documents.offerWhole(names, revisions, snapshot.Revision, now)
	return snapshot.Revision, nil
}
