package claims

import (
	"context"
	"encoding/json"
	"path"

	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
)

const layoutName = "layout"

// layout says how the keys of a service are spread. It never changes: with another
// number of shards a key would be looked up where it was not granted.
type layout struct {
	Shards int    `json:"shards"`
	Writer string `json:"writer"` // member ID
}

// shardCount returns the number of shards of the service, which the first claim of
// the service fixed for all daemons.
func (m *Manager) shardCount(ctx context.Context, service string) (int, error) {
	m.mu.Lock()
	count := m.counts[service]
	m.mu.Unlock()
	if count > 0 {
		return count, nil
	}
	l, err := m.readLayout(ctx, path.Join(journalRoot, service, layoutName))
	if err != nil {
		return 0, unavailable(err)
	}
	m.mu.Lock()
	m.counts[service] = l.Shards
	m.mu.Unlock()
	return l.Shards, nil
}

func (m *Manager) readLayout(ctx context.Context, key string) (layout, error) {
	object, err := m.store.Get(ctx, key)
	if fault.Is(err, fault.NotFound) {
		object, err = m.createLayout(ctx, key)
	}
	if err != nil {
		return layout{}, err
	}
	var l layout
	if err := decode(object, &l); err != nil {
		return layout{}, err
	}
	if l.Shards <= 0 {
		return layout{}, fault.New(fault.Internal, key+" names no shards", "restore it from a backup of the object API")
	}
	return l, nil
}

// createLayout returns the layout that exists afterwards, whoever wrote it.
func (m *Manager) createLayout(ctx context.Context, key string) (objectapi.Object, error) {
	value, err := json.Marshal(layout{Shards: m.config.Shards, Writer: m.view.Self().ID})
	if err != nil {
		return objectapi.Object{}, err
	}
	if _, err := m.store.Create(ctx, key, value); err != nil && !fault.Is(err, fault.Conflict) && !fault.Is(err, fault.Ambiguous) {
		return objectapi.Object{}, err
	}
	return m.store.Get(ctx, key)
}
