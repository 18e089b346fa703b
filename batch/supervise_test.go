package batch

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"

	"storj.io/drpc"

	"github.com/hornbeamtide/hornbeamtide/catalog"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/mirror"
	"github.com/hornbeamtide/hornbeamtide/peer"
	"github.com/hornbeamtide/hornbeamtide/placement"
	"github.com/hornbeamtide/hornbeamtide/standin/memstore"
)

// Lets the race detector check a hand-over of a batch concurrent with its supervision.
func TestHandOverDuringSupervision(t *testing.T) {
	store := memstore.New()
	for range 50 {
		m := NewManager(Dependencies{
			Self: "d", Store: store, Tracker: placement.NewTracker(nil), MemberAddresses: func() map[string]string { return nil },
			Conns:         peer.NewPool(peer.Config{}, nil),
			Mirror:        mirror.New(mirror.Config{Kinds: []mirror.Kind{{Name: KindBatches}, {Name: KindBatchEnds}}}, store, nil, nil, nil),
			Configuration: func() *catalog.Configuration { return nil },
		})
		m.mu.Lock()
		b := m.addBatch(Job{ID: "b", Owner: "other", Items: []Item{{ID: "i", Path: "/x"}}})
		m.mu.Unlock()
		var wg sync.WaitGroup
		wg.Go(func() { m.superviseBatch(t.Context(), b, []string{"other"}, map[string]string{}) })
		wg.Go(func() { m.takeOver(t.Context(), b, map[string]*Completion{}, false) })
		wg.Wait()
		if !m.IsRunning("b") {
			t.Fatal("the batch was not taken over")
		}
		m.stop()
	}
}

// noConns provides no connection, as if all other daemons were lost.
type noConns struct{}

// Conn implements peer.ConnProvider.
func (noConns) Conn(context.Context, string) (drpc.Conn, error) {
	return nil, fault.New(fault.Unavailable, "connection refused", "")
}

// Guards against a batch that nobody runs (the class of case 3 of the review): its owner and all of its
// backups are lost together, and the other daemons do not supervise it. A daemon that reads its results
// has the lost ones checked, so that they leave the list and others become the backups.
func TestBatchWhoseOwnerAndBackupsAreLostIsTakenOver(t *testing.T) {
	m := newDrainManager(memstore.New())
	m.conns = noConns{}
	members := map[string]string{"d": "self", "owner": "0"}
	for n := 0; slices.Index(m.candidates(Job{ID: "b", Owner: "owner"}, members), "d") <= maxBackups; n++ {
		members[fmt.Sprint("other-", n)] = fmt.Sprint(n)
	}
	m.members = func() map[string]string { return members }
	lost := map[string]bool{}
	m.reportUnresponsive = func(id string) { lost[id] = true }
	m.mu.Lock()
	b := m.addBatch(Job{ID: "b", Owner: "owner", Items: []Item{{ID: "i", Path: "/x"}}})
	m.mu.Unlock()
	if _, err := m.Results(t.Context(), "b", 0, 0); err != nil {
		t.Fatal(err)
	}
	if lost["d"] || !lost["owner"] || len(lost) != maxBackups+1 {
		t.Fatalf("reported as unresponsive: %v, want the owner and its %d backups", lost, maxBackups)
	}
	for id := range lost { // package roster removes those that respond to no probe
		delete(members, id)
	}
	ahead := m.candidates(m.jobOf(b), members)
	rank := slices.Index(ahead, "d")
	if rank > maxBackups {
		t.Fatalf("this daemon has rank %d and does not supervise the batch", rank)
	}
	for range takeoverRounds * rank {
		m.superviseBatch(t.Context(), b, ahead[:rank], members)
	}
	if !m.IsRunning("b") {
		t.Error("the batch was not taken over")
	}
	m.stop()
}
