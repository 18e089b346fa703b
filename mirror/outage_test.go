package mirror

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
)

// fakeStore is a store that fails until it is available and counts calls by prefix.
type fakeStore struct {
	objectapi.ObjectStore

	mu        sync.Mutex
	available bool
	calls     map[string]int
}

func (s *fakeStore) countCall(key string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[key]++
	if !s.available {
		return fault.New(fault.Unavailable, "down", "")
	}
	return nil
}

// List implements objectapi.ObjectStore.
func (s *fakeStore) List(_ context.Context, prefix string) (objectapi.Snapshot, error) {
	return objectapi.Snapshot{Revision: 1}, s.countCall(prefix)
}

// Watch implements objectapi.ObjectStore.
func (s *fakeStore) Watch(ctx context.Context, prefix string, _ int64) (objectapi.Watch, error) {
	return &idleWatch{}, s.countCall(prefix)
}

// idleWatch is a watch without changes.
type idleWatch struct{}

// Next implements objectapi.Watch.
func (*idleWatch) Next(ctx context.Context) (objectapi.Change, error) {
	select {
	case <-ctx.Done():
		return objectapi.Change{}, ctx.Err()
	case <-time.After(20 * time.Millisecond):
		return objectapi.Change{Revision: 1, Bookmark: true}, nil
	}
}

// Close implements objectapi.Watch.
func (*idleWatch) Close() {}

// The load pattern behind shouldWatch: a store outage in which each daemon of a large fleet finds
// no source and watches the store itself.
func TestOnlyOneKindIsTriedDuringStoreOutage(t *testing.T) {
	store := &fakeStore{calls: map[string]int{}}
	var kinds []Kind
	for _, name := range []string{"config", "servers", "versions", "batches", "ends"} {
		kinds = append(kinds, Kind{Name: name, MaxWatchWait: time.Second})
	}
	m := New(Config{Self: "d1", Kinds: kinds}, store, nil, func() []Member { return []Member{{ID: "d1", Address: "a"}} }, nil)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = m.Run(ctx) }()
	time.Sleep(2 * time.Second)
	store.mu.Lock()
	for _, kind := range kinds[1:] {
		if n := store.calls[kind.Name+"/"]; n > 1 {
			t.Errorf("%d calls for %s during the outage, want at most 1", n, kind.Name)
		}
	}
	if n := store.calls["config/"]; n < 3 || n > 8 {
		t.Errorf("%d calls for the first kind during the outage, want 3 to 8", n)
	}
	store.available = true
	store.mu.Unlock()
	deadline := time.Now().Add(3 * time.Second)
	for _, kind := range kinds {
		for !m.Known(kind.Name) {
			if time.Now().After(deadline) {
				t.Fatalf("kind %s is not complete after the outage", kind.Name)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}
