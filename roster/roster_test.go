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

// fleet is a store, and the daemons that answer.
type fleet struct {
	*memstore.Store

	mu   sync.Mutex
	dead map[string]bool
}

func (f *fleet) Known(string) bool { return true }

func (f *fleet) Objects(kind string) []objectapi.Object {
	list, err := f.List(context.Background(), kind+"/")
	if err != nil {
		panic(err)
	}
	return list.Objects
}

func (f *fleet) Add(string, objectapi.Object) {}

func (f *fleet) reach(_ context.Context, address string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dead[address] {
		return errors.New("no answer")
	}
	return nil
}

func (f *fleet) has(id string) bool {
	_, err := f.Get(context.Background(), kind+"/"+id)
	return err == nil
}

// start runs a manager for d0 in a fleet with others; dead ones don't answer.
func start(t *testing.T, others []string, dead ...string) (*fleet, *Manager) {
	t.Helper()
	f := &fleet{Store: memstore.New(), dead: map[string]bool{}}
	for _, id := range others {
		if _, err := f.Create(context.Background(), kind+"/"+id, []byte(id)); err != nil {
			t.Fatal(err)
		}
	}
	for _, id := range dead {
		f.dead[id] = true
	}
	m := NewManager(Config{
		Kind: kind, Self: "d0", Value: []byte("d0"), AddressOf: func(value []byte) string { return string(value) }, Round: 5 * time.Millisecond,
	}, Parts{Store: f.Store, Copy: f, Reach: f.reach})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = m.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	for end := time.Now().Add(2 * time.Second); !f.has("d0"); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("d0 is not announced")
		}
	}
	return f, m
}

// enough is much longer than a daemon that is gone stays listed.
const enough = 40 * 5 * time.Millisecond

func TestWhoIsTakenOutTable(t *testing.T) {
	t.Parallel()
	for _, row := range []struct {
		name    string
		others  []string
		dead    []string
		suspect string
		want    bool // taken out
	}{
		{"gone", []string{"d1", "d2", "d3"}, []string{"d1"}, "d1", true},
		{"answers again", []string{"d1", "d2", "d3"}, nil, "d1", false},
		{"this daemon is cut off", []string{"d1", "d2", "d3"}, []string{"d1", "d2", "d3"}, "d1", false},
		{"it reaches too few", []string{"d1", "d2", "d3"}, []string{"d1", "d2"}, "d1", false},
		{"two daemons can't tell", []string{"d1"}, []string{"d1"}, "d1", false},
		{"gone beside others that are gone", []string{"d1", "d2", "d3", "d4", "d5"}, []string{"d1", "d2"}, "d1", true},
		{"itself", []string{"d1", "d2", "d3"}, []string{"d0"}, "d0", false},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			f, m := start(t, row.others, row.dead...)
			m.Suspect(row.suspect)
			end := time.Now().Add(enough)
			if row.want {
				end = time.Now().Add(5 * time.Second)
			}
			for f.has(row.suspect) && time.Now().Before(end) {
				time.Sleep(time.Millisecond)
			}
			if f.has(row.suspect) == row.want {
				t.Errorf("listed: %t", f.has(row.suspect))
			}
		})
	}
}

// A daemon that announced itself at another address meanwhile stays.
func TestNewAnnouncementIsNotTakenOut(t *testing.T) {
	t.Parallel()
	f, m := start(t, []string{"d1", "d2", "d3"}, "d1")
	o, err := f.Get(context.Background(), kind+"/d1")
	if err != nil {
		t.Fatal(err)
	}
	m.Suspect("d1")
	if _, err := f.Update(context.Background(), o.Key, []byte("elsewhere"), o.Version); err != nil {
		t.Fatal(err)
	}
	time.Sleep(enough)
	if !f.has("d1") {
		t.Error("d1 is taken out")
	}
}

func TestDaemonAnnouncesItselfAgain(t *testing.T) {
	t.Parallel()
	f, _ := start(t, nil)
	o, err := f.Get(context.Background(), kind+"/d0")
	if err != nil {
		t.Fatal(err)
	}
	if err := f.Delete(context.Background(), o.Key, o.Version); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(2 * announceAgain); !f.has("d0"); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("it stays out of the list")
		}
	}
}
