// Package memstore is an in-memory object store with faults. It is for tests of packages that
// use only the interface objectapi.ObjectStore, not the platform's protocol.
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
	Outage        bool          // every call fails without effect
	Hang          bool          // calls block until their context ends; writes have no effect
	Delay         time.Duration // delay before each call takes effect
	LoseResponses int           // this many next writes take effect but return an ambiguous error
	RefuseWrites  int           // this many next writes fail without effect
}

// Store implements objectapi.ObjectStore except Watch, which returns an error. Its methods are
// safe for concurrent use.
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

// Writes returns how many writes were called, failed ones included.
func (s *Store) Writes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}

// applyFaults counts writes and applies the faults that act before a call takes effect.
func (s *Store) applyFaults(ctx context.Context, write bool) error {
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
	time.Sleep(f.Delay)
	switch {
	case refused:
		return fault.New(fault.Unavailable, "store refused the call", "")
	case f.Hang:
		<-ctx.Done()
		return fault.Wrap(ctx.Err(), fault.Ambiguous, "store did not respond", "")
	}
	return nil
}

// loseResponse returns an ambiguous error if LoseResponses is set, and counts LoseResponses down.
// The caller holds s.mu.
func (s *Store) loseResponse() error {
	if s.faults.LoseResponses == 0 {
		return nil
	}
	s.faults.LoseResponses--
	return fault.New(fault.Ambiguous, "the response of the store was lost", "")
}

// Get implements objectapi.ObjectStore.
func (s *Store) Get(ctx context.Context, key string) (objectapi.Object, error) {
	if err := s.applyFaults(ctx, false); err != nil {
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
	if err := s.applyFaults(ctx, false); err != nil {
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
	if err := s.applyFaults(ctx, true); err != nil {
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
	return o, s.loseResponse()
}

// Delete implements objectapi.ObjectStore.
func (s *Store) Delete(ctx context.Context, key string, version int64) error {
	if err := s.applyFaults(ctx, true); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[key].Version != version {
		return fault.New(fault.Conflict, key, "")
	}
	s.revision++
	delete(s.objects, key)
	return s.loseResponse()
}

// Watch implements objectapi.ObjectStore. It is not supported.
func (s *Store) Watch(context.Context, string, int64) (objectapi.Watch, error) {
	return nil, fault.New(fault.Unsupported, "memstore does not support watches", "use fakeplatform")
}
