package mirror

import (
	"context"
	"testing"
	"time"

	"storj.io/drpc"

	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/mirror/mirrorpb"
)

// refusingConns are connections to daemons that are not up yet.
type refusingConns struct{}

// Conn implements peer.ConnProvider.
func (refusingConns) Conn(context.Context, string) (drpc.Conn, error) {
	return nil, fault.New(fault.Unavailable, "connection refused", "", fault.WithOutcome(fault.NotRun))
}

// The load pattern behind startGrace: all instances of a fleet start within some tenths of a second,
// and the seeds refuse the first connections. A daemon must not list all kinds in the store at once
// for that, but it must not wait long if the seeds are gone.
func TestDaemonWaitsForSeedsAtTheStart(t *testing.T) {
	store := &fakeStore{calls: map[string]int{}, available: true}
	seeds := []Member{{ID: "10.0.0.1", Address: "10.0.0.1"}, {ID: "10.0.0.2", Address: "10.0.0.2"}, {ID: "10.0.0.3", Address: "10.0.0.3"}}
	m := New(Config{Self: "d1", Kinds: []Kind{{Name: "config", MaxWatchWait: time.Second}}}, store, refusingConns{}, func() []Member { return seeds }, nil)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = m.Run(ctx) }()
	for m.watchedScope() == watchNothing && time.Since(m.startedAt) < 10*time.Second {
		time.Sleep(5 * time.Millisecond)
	}
	if took := time.Since(m.startedAt); took < startGrace || took > startGrace+2*time.Second {
		t.Errorf("the daemon turned to the store after %v, want soon after %v", took, startGrace)
	}
	for !m.Known("config") && time.Since(m.startedAt) < 10*time.Second {
		time.Sleep(5 * time.Millisecond)
	}
	if !m.Known("config") {
		t.Error("the daemon has no copy although the store responds")
	}
}

func (m *Mirror) watchedScope() scope {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.watching
}

// Guards against 401 for a key that may be new: without a withdrawal time the gate uses the age of
// the copy, and Age counts from the start of this daemon until the copy is confirmed.
func TestAgeOfOutdatedCopyAfterStart(t *testing.T) {
	m := newTestMirror()
	m.startedAt = time.Now().Add(-time.Second)
	m.applyResponse("d2", 0, &mirrorpb.SyncAnswer{AgeMs: 60_000, News: []*mirrorpb.News{{Kind: "servers", Revision: 9, Keys: []string{}}}})
	if age := m.ConfirmedAge(); age < time.Minute {
		t.Errorf("age %v of a copy that is a minute old", age)
	}
	m.applyResponse("d3", 0, &mirrorpb.SyncAnswer{})
	if age := m.ConfirmedAge(); age > time.Second {
		t.Errorf("age %v of a copy that matches the store", age)
	}
}
