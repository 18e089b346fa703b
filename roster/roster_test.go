package roster

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/objectapi"
	"github.com/hornbeamtide/hornbeamtide/standin/memstore"
)

const kind = "members"

// fakeFleet is a store and a set of daemons, some of which are unreachable.
type fakeFleet struct {
	*memstore.Store

	mu          sync.Mutex
	unreachable map[string]bool
}

func (f *fakeFleet) Known(string) bool { return true }

func (f *fakeFleet) Objects(kind string) []objectapi.Object {
	list, err := f.List(context.Background(), kind+"/")
	if err != nil {
		panic(err)
	}
	return list.Objects
}

func (f *fakeFleet) Add(string, objectapi.Object) {}

func (f *fakeFleet) probe(_ context.Context, address string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unreachable[address] {
		return errors.New("no response")
	}
	return nil
}

func (f *fakeFleet) isListed(id string) bool {
	_, err := f.Get(context.Background(), kind+"/"+id)
	return err == nil
}

// startManager runs a manager for d0 in a fleet with others. Probes of the unreachable ones fail.
func startManager(t *testing.T, others []string, unreachable ...string) (*fakeFleet, *Manager) {
	t.Helper()
	f := &fakeFleet{Store: memstore.New(), unreachable: map[string]bool{}}
	for _, id := range others {
		if _, err := f.Create(context.Background(), kind+"/"+id, []byte(id)); err != nil {
			t.Fatal(err)
		}
	}
	for _, id := range unreachable {
		f.unreachable[id] = true
	}
	m := NewManager(Config{
		Kind: kind, Self: "d0", Value: []byte("d0"), AddressOf: func(value []byte) string { return string(value) }, RoundInterval: 5 * time.Millisecond,
	}, Dependencies{Store: f.Store, Mirror: f, Probe: f.probe})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = m.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	for deadline := time.Now().Add(2 * time.Second); !f.isListed("d0"); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("d0 is not announced within 2 s")
		}
	}
	return f, m
}

// observationTime is much longer than an unreachable daemon stays listed.
const observationTime = 40 * 5 * time.Millisecond

func TestRemovalOfSuspects(t *testing.T) {
	t.Parallel()
	for _, row := range []struct {
		name        string
		others      []string
		unreachable []string
		suspect     string
		want        bool // the suspect is removed
	}{
		{"gone", []string{"d1", "d2", "d3"}, []string{"d1"}, "d1", true},
		{"reachable", []string{"d1", "d2", "d3"}, nil, "d1", false},
		{"this daemon is isolated", []string{"d1", "d2", "d3"}, []string{"d1", "d2", "d3"}, "d1", false},
		{"this daemon reaches too few others", []string{"d1", "d2", "d3"}, []string{"d1", "d2"}, "d1", false},
		{"fleet of two", []string{"d1"}, []string{"d1"}, "d1", false},
		{"gone together with another", []string{"d1", "d2", "d3", "d4", "d5"}, []string{"d1", "d2"}, "d1", true},
		{"itself", []string{"d1", "d2", "d3"}, []string{"d0"}, "d0", false},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			f, m := startManager(t, row.others, row.unreachable...)
			m.ReportUnresponsive(row.suspect)
			deadline := time.Now().Add(observationTime)
			if row.want {
				deadline = time.Now().Add(5 * time.Second)
			}
			for f.isListed(row.suspect) && time.Now().Before(deadline) {
				time.Sleep(time.Millisecond)
			}
			if f.isListed(row.suspect) == row.want {
				t.Errorf("suspect is still listed: %t", f.isListed(row.suspect))
			}
		})
	}
}

// A daemon that has announced itself at another address in the meantime stays listed.
func TestReannouncedDaemonIsNotRemoved(t *testing.T) {
	t.Parallel()
	f, m := startManager(t, []string{"d1", "d2", "d3"}, "d1")
	o, err := f.Get(context.Background(), kind+"/d1")
	if err != nil {
		t.Fatal(err)
	}
	m.ReportUnresponsive("d1")
	if _, err := f.Update(context.Background(), o.Key, []byte("elsewhere"), o.Version); err != nil {
		t.Fatal(err)
	}
	time.Sleep(observationTime)
	if !f.isListed("d1") {
		t.Error("d1 is removed although it announced itself again")
	}
}

func TestRemovedDaemonAnnouncesItselfAgain(t *testing.T) {
	t.Parallel()
	f, _ := startManager(t, nil)
	o, err := f.Get(context.Background(), kind+"/d0")
	if err != nil {
		t.Fatal(err)
	}
	if err := f.Delete(context.Background(), o.Key, o.Version); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(2 * reannounceDelay); !f.isListed("d0"); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("d0 is not announced again after its removal")
		}
	}
}
