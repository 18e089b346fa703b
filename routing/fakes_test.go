package routing

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/backend"
	"github.com/hornbeamtide/hornbeamtide/document"
	"github.com/hornbeamtide/hornbeamtide/fleet"
)

// world is a Store with a fake view, clock and network. Methods that it does not
// define are never called.
type world struct {
	fleet.View
	fleet.Documents
	store *Store

	mu      sync.Mutex
	clock   time.Time
	servers []fleet.Replica
	subset  []fleet.Replica // nil: all
	down    map[string]bool // addresses that refuse fresh connections
	dials   int
	status  backend.EngineStatus
	left    []string // reported as leaving
}

func newWorld(policy string, servers int) *world {
	w := &world{clock: time.Unix(1000, 0), down: map[string]bool{}}
	for i := range servers {
		id := fmt.Sprintf("r%03d", i)
		w.servers = append(w.servers, fleet.Replica{ID: id, Pool: "pool", Address: id, FailureDomain: fmt.Sprint("z", i%3)})
	}
	w.store = NewStore(Config{Policy: policy, Seed: 1}, w, w, w, nil)
	w.store.now = w.now
	w.store.dial = w.dial
	w.store.SetLeavingReporter(w)
	return w
}

func (w *world) now() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.clock
}

func (w *world) advance(d time.Duration) {
	w.mu.Lock()
	w.clock = w.clock.Add(d)
	w.mu.Unlock()
}

func (w *world) dial(_ context.Context, address string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dials++
	if w.down[address] {
		return errors.New("connection refused")
	}
	return nil
}

func (w *world) Self() fleet.Member              { return fleet.Member{ID: "d1", FailureDomain: "away"} }
func (w *world) Replicas(string) []fleet.Replica { return w.servers }
func (w *world) Subset(string) []fleet.Replica {
	if w.subset != nil {
		return w.subset
	}
	return w.servers
}

func (w *world) All() []document.Versioned {
	return []document.Versioned{{Document: &document.Document{Kind: document.Model, Pool: "pool"}}}
}
func (w *world) Engine(string) backend.Engine { return fakeEngine{w: w} }
func (w *world) Plain(string) backend.Plain   { return nil }
func (w *world) MarkLeaving(id string) {
	w.mu.Lock()
	w.left = append(w.left, id)
	w.mu.Unlock()
}

type fakeEngine struct {
	backend.Engine
	w *world
}

func (e fakeEngine) Status(context.Context) (backend.EngineStatus, error) {
	e.w.mu.Lock()
	defer e.w.mu.Unlock()
	return e.w.status, nil
}

func (w *world) pick(t testing.TB, r Request) Lease {
	t.Helper()
	r.Pool = "pool"
	lease, err := w.store.Pick(t.Context(), r)
	if err != nil {
		t.Fatal(err)
	}
	return lease
}

func (w *world) state(id string) ReplicaState {
	states := w.store.Dump().Replicas
	return states[slices.IndexFunc(states, func(s ReplicaState) bool { return s.Replica.ID == id })]
}

// eventually waits for a condition that another goroutine brings about.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for range 5000 {
		if holds() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("never: " + what)
}
