package fleet

import (
	"context"

	"github.com/hornbeamtide/hornbeamtide/fleet/fleetpb"
)

// readDirectPeriodically reads the platform immediately at the start, regardless of this
// daemon's role, and later at a jittered interval while the daemon is neither connected to a
// collector nor a collector itself.
func (m *Manager) readDirectPeriodically(ctx context.Context) {
	for ctx.Err() == nil {
		if !m.firstReadDone.Load() || !m.collectorClient.connected() && !m.collector.running() {
			m.counts.directReads.Add(1)
			m.readPlatform(ctx)
		}
		wait(ctx, jitter(m.config.DirectReadInterval))
	}
}

// readPlatform reads the documents and the instance list. If the daemon has had no collector
// for the member timeout, it clears the flags that the last collector reported.
func (m *Manager) readPlatform(ctx context.Context) {
	_, _ = m.readDocuments(ctx)
	m.firstReadDone.Store(true)
	if m.readList(ctx) == nil && m.collectorClient.disconnected() {
		m.applyFlags(&fleetpb.Flags{})
	}
}

// readList reads and applies the instance list.
func (m *Manager) readList(ctx context.Context) error {
	snapshot, err := m.list.Instances(ctx)
	if err != nil {
		return err
	}
	m.recordContact()
	m.applyList(snapshot)
	return nil
}

// readDocuments reads and applies all documents, and returns their store revision.
func (m *Manager) readDocuments(ctx context.Context) (int64, error) {
	snapshot, err := m.store.List(ctx, documentPrefix)
	if err != nil {
		return 0, err
	}
	m.recordContact()
	now := m.config.Now()
	names := make([]string, 0, len(snapshot.Objects))
	revisions := make([]documentRevision, 0, len(snapshot.Objects))
	for _, object := range snapshot.Objects {
		r := revisionOf(object, now)
		names = append(names, r.Service)
		revisions = append(revisions, r)
	}
	m.documents.applyComplete(names, revisions, snapshot.Revision, now)
	return snapshot.Revision, nil
}
