package claims

import (
	"context"
	"encoding/json"
	"path"

	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
)

const layoutName = "layout"

// layout is the number of shards that the keys of a service are spread over. It never
// changes: with another number, a granted key would be looked up in the wrong shard.
type layout struct {
	Shards int    `json:"shards"`
	Writer string `json:"writer"` // member ID
}

// shardCount returns the number of shards of the service. The first claim of the service
// fixes it for all daemons.
func (m *Manager) shardCount(ctx context.Context, service string) (int, error) {
	m.mu.Lock()
	count := m.shardCounts[service]
	m.mu.Unlock()
	if count > 0 {
		return count, nil
	}
	l, err := m.readLayout(ctx, path.Join(journalRoot, service, layoutName))
	if err != nil {
		return 0, journalUnavailable(err)
	}
	m.mu.Lock()
	m.shardCounts[service] = l.Shards
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
		return layout{}, fault.New(fault.Internal, key+" has no shards", "restore it from a backup of the object API")
	}
	return l, nil
}

// createLayout creates the layout and returns the stored one, which another daemon may
// have written.
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
