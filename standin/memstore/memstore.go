// Package memstore is an object store in memory with faults, for tests of packages that
// know the neutral interface only.
package memstore

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
)

// Faults is the set of faults in effect.
type Faults struct {
	Outage       bool          // every call is refused and has no effect
	Hang         bool          // calls get no answer until their context ends; writes take no effect
	Pause        time.Duration // before each call takes effect
	LoseAnswers  int           // the next writes take effect and get no answer
	RefuseWrites int           // the next writes are refused
}

// Store implements objectapi.ObjectStore but for Watch.
type Store struct {
	mu       sync.Mutex
	faults   Faults
	revision int64
	objects  map[string]objectapi.Object
	writes   int
}

// New returns an empty store.
func New() *Store { return &Store{objects: map[string]objectapi.Object{}} }

// SetFaults replaces the faults in effect.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Writes returns how many writes began.
func (s *Store) Writes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}

// enter applies the faults that come before a call's effect.
func (s *Store) enter(ctx context.Context, write bool) error {
	s.mu.Lock()
	f := s.faults
	refused := f.Outage
	if write {
		s.writes++
		if f.RefuseWrites > 0 {
			s.faults.RefuseWrites--
			refused = true
		}
	}
	s.mu.Unlock()
	time.Sleep(f.Pause)
	switch {
	case refused:
		return fault.New(fault.Unavailable, "refused", "")
	case f.Hang:
		<-ctx.Done()
		return fault.Wrap(ctx.Err(), fault.Ambiguous, "no answer", "")
	}
	return nil
}

// leave loses the answer of a write if a fault asks for it. The lock is held.
func (s *Store) leave() error {
	if s.faults.LoseAnswers == 0 {
		return nil
	}
	s.faults.LoseAnswers--
	return fault.New(fault.Ambiguous, "the answer was lost", "")
}

// Get implements objectapi.ObjectStore.
func (s *Store) Get(ctx context.Context, key string) (objectapi.Object, error) {
	if err := s.enter(ctx, false); err != nil {
		return objectapi.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key]
	if !ok {
		return objectapi.Object{}, fault.New(fault.NotFound, key, "")
	}
	return o, nil
}

// List implements objectapi.ObjectStore.
func (s *Store) List(ctx context.Context, prefix string) (objectapi.Snapshot, error) {
	if err := s.enter(ctx, false); err != nil {
		return objectapi.Snapshot{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	list := objectapi.Snapshot{Revision: s.revision}
	for key, o := range s.objects {
		if strings.HasPrefix(key, prefix) {
			list.Objects = append(list.Objects, o)
		}
	}
	sort.Slice(list.Objects, func(a, b int) bool { return list.Objects[a].Key < list.Objects[b].Key })
	return list, nil
}

// Create implements objectapi.ObjectStore.
func (s *Store) Create(ctx context.Context, key string, value []byte) (objectapi.Object, error) {
	return s.put(ctx, key, value, 0)
}

// Update implements objectapi.ObjectStore.
func (s *Store) Update(ctx context.Context, key string, value []byte, version int64) (objectapi.Object, error) {
	return s.put(ctx, key, value, version)
}

func (s *Store) put(ctx context.Context, key string, value []byte, version int64) (objectapi.Object, error) {
	if err := s.enter(ctx, true); err != nil {
		return objectapi.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[key].Version != version {
		return objectapi.Object{}, fault.New(fault.Conflict, key, "")
	}
	s.revision++
	o := objectapi.Object{Key: key, Version: s.revision, Value: value}
	s.objects[key] = o
	return o, s.leave()
}

// Delete implements objectapi.ObjectStore.
func (s *Store) Delete(ctx context.Context, key string, version int64) error {
	if err := s.enter(ctx, true); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[key].Version != version {
		return fault.New(fault.Conflict, key, "")
	}
	s.revision++
	delete(s.objects, key)
	return s.leave()
}

// Watch implements objectapi.ObjectStore. It is not supported.
func (s *Store) Watch(context.Context, string, int64) (objectapi.Watch, error) {
	return nil, fault.New(fault.Unsupported, "no watches", "use fakeplatform")
}
