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

// fixture is a Store with a fake view, clock and network. Methods of the embedded
// interfaces that it does not define are not called.
type fixture struct {
	fleet.View
	fleet.Documents
	store *Store

	mu             sync.Mutex
	clock          time.Time
	servers        []fleet.Replica
	subset         []fleet.Replica // nil for all servers
	unreachable    map[string]bool // addresses that refuse new connections
	dials          int
	status         backend.EngineStatus
	leavingReports []string // IDs of replicas reported as leaving
}

func newFixture(policy string, servers int) *fixture {
	f := &fixture{clock: time.Unix(1000, 0), unreachable: map[string]bool{}}
	for i := range servers {
		id := fmt.Sprintf("r%03d", i)
		f.servers = append(f.servers, fleet.Replica{ID: id, Pool: "pool", Address: id, FailureDomain: fmt.Sprint("z", i%3)})
	}
	f.store = NewStore(Config{Policy: policy, Seed: 1}, f, f, f, nil)
	f.store.now = f.now
	f.store.dial = f.dial
	f.store.SetLeavingReporter(f)
	return f
}

func (f *fixture) now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.clock
}

func (f *fixture) advance(d time.Duration) {
	f.mu.Lock()
	f.clock = f.clock.Add(d)
	f.mu.Unlock()
}

func (f *fixture) dial(_ context.Context, address string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dials++
	if f.unreachable[address] {
		return errors.New("connection refused")
	}
	return nil
}

func (f *fixture) Self() fleet.Member              { return fleet.Member{ID: "d1", FailureDomain: "away"} }
func (f *fixture) Replicas(string) []fleet.Replica { return f.servers }
func (f *fixture) Subset(string) []fleet.Replica {
	if f.subset != nil {
		return f.subset
	}
	return f.servers
}

func (f *fixture) All() []document.VersionedDocument {
	return []document.VersionedDocument{{Document: &document.Document{Kind: document.KindModel, Pool: "pool"}}}
}
func (f *fixture) Engine(string) backend.Engine      { return fakeEngine{f: f} }
func (f *fixture) Plain(string) backend.PlainService { return nil }
func (f *fixture) MarkLeaving(id string) {
	f.mu.Lock()
	f.leavingReports = append(f.leavingReports, id)
	f.mu.Unlock()
}

type fakeEngine struct {
	backend.Engine
	f *fixture
}

func (e fakeEngine) Status(context.Context) (backend.EngineStatus, error) {
	e.f.mu.Lock()
	defer e.f.mu.Unlock()
	return e.f.status, nil
}

func (f *fixture) pick(t testing.TB, r Request) Lease {
	t.Helper()
	r.Pool = "pool"
	lease, err := f.store.Pick(t.Context(), r)
	if err != nil {
		t.Fatal(err)
	}
	return lease
}

func (f *fixture) state(id string) ReplicaState {
	states := f.store.Dump().Replicas
	return states[slices.IndexFunc(states, func(s ReplicaState) bool { return s.Replica.ID == id })]
}

// waitUntil waits for a condition that another goroutine makes true.
func waitUntil(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for range 5000 {
		if holds() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("timeout waiting for: " + what)
}
