package fleet

import (
	"context"

	"github.com/hornbeamtide/hornbeamtide/platform"
)

// readPlatform reads the instance list and the documents from the platform.
func (m *Manager) readPlatform(ctx context.Context) {
	_ = m.readList(ctx)
	_, _ = m.readDocuments(ctx)
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

// offerList applies a list unless a newer one is known.
func (m *Manager) offerList(snapshot platform.InstanceSnapshot) {
	m.update(func(r *roster) bool {
		if r.known && snapshot.Revision <= r.list.Revision {
			return false
		}
		r.list = snapshot
		r.known = true
		return true
	})
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
		service := serviceOf(object.Key)
		names = append(names, service)
		revisions = append(revisions, revision{Service: service, Version: object.Version, Source: object.Value, Accepted: now})
	}
	m.documents.offerWhole(names, revisions, snapshot.Revision, now)
	return snapshot.Revision, nil
}
