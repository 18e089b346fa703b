package mirror

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
)

// counted is a store that is down until it is opened and counts calls by kind.
type counted struct {
	objectapi.ObjectStore

	mu    sync.Mutex
	open  bool
	calls map[string]int
}

func (c *counted) enter(key string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[key]++
	if !c.open {
		return fault.New(fault.Unavailable, "down", "")
	}
	return nil
}

// List implements objectapi.ObjectStore.
func (c *counted) List(_ context.Context, prefix string) (objectapi.Snapshot, error) {
	return objectapi.Snapshot{Revision: 1}, c.enter(prefix)
}

// Watch implements objectapi.ObjectStore.
func (c *counted) Watch(ctx context.Context, prefix string, _ int64) (objectapi.Watch, error) {
	return &idle{}, c.enter(prefix)
}

// idle is a watch without changes.
type idle struct{}

// Next implements objectapi.Watch.
func (*idle) Next(ctx context.Context) (objectapi.Change, error) {
	select {
	case <-ctx.Done():
		return objectapi.Change{}, ctx.Err()
	case <-time.After(20 * time.Millisecond):
		return objectapi.Change{Revision: 1, Bookmark: true}, nil
	}
}

// Close implements objectapi.Watch.
func (*idle) Close() {}

// The load of an outage in a large fleet: each daemon finds no news and looks for itself.
func TestOnlyOneKindIsTriedWhileTheStoreIsLost(t *testing.T) {
	store := &counted{calls: map[string]int{}}
	var kinds []Kind
	for _, name := range []string{"config", "servers", "versions", "batches", "ends"} {
		kinds = append(kinds, Kind{Name: name, Wait: time.Second})
	}
	m := New(Config{Self: "d1", Kinds: kinds}, store, nil, func() []Member { return []Member{{ID: "d1", Address: "a"}} }, nil)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = m.Run(ctx) }()
	time.Sleep(2 * time.Second)
	store.mu.Lock()
	for _, kind := range kinds[1:] {
		if n := store.calls[kind.Name+"/"]; n > 1 {
			t.Errorf("%d calls for %s in an outage", n, kind.Name)
		}
	}
	if n := store.calls["config/"]; n < 3 || n > 8 {
		t.Errorf("%d calls for the kind that is tried", n)
	}
	store.open = true
	store.mu.Unlock()
	limit := time.Now().Add(3 * time.Second)
	for _, kind := range kinds {
		for !m.Known(kind.Name) {
			if time.Now().After(limit) {
				t.Fatalf("%s is not known after the outage", kind.Name)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}
