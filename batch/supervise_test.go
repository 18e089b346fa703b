package batch

import (
	"sync"
	"testing"

	"github.com/hornbeamtide/hornbeamtide/catalog"
	"github.com/hornbeamtide/hornbeamtide/mirror"
	"github.com/hornbeamtide/hornbeamtide/peer"
	"github.com/hornbeamtide/hornbeamtide/placement"
	"github.com/hornbeamtide/hornbeamtide/standin/memstore"
)

// TestHandOverBesideSupervision is for the race detector: a batch is handed over at the moment
// in which this daemon looks after it.
func TestHandOverBesideSupervision(t *testing.T) {
	store := memstore.New()
	for range 50 {
		m := NewManager(Parts{
			Self: "d", Store: store, Tracker: placement.NewTracker(nil), Members: func() map[string]string { return nil },
			Conns:         peer.NewPool(peer.Config{}, nil),
			Mirror:        mirror.New(mirror.Config{Kinds: []mirror.Kind{{Name: KindJobs}, {Name: KindEnds}}}, store, nil, nil, nil),
			Configuration: func() *catalog.Configuration { return nil },
		})
		m.mu.Lock()
		k := m.learn(Job{ID: "b", Owner: "other", Items: []Item{{ID: "i", Path: "/x"}}})
		m.mu.Unlock()
		var group sync.WaitGroup
		group.Go(func() { m.superviseOne(t.Context(), k, []string{"other"}, map[string]string{}) })
		group.Go(func() { m.takeOver(t.Context(), k, map[string]*Text{}) })
		group.Wait()
		if !m.Runs("b") {
			t.Fatal("the batch is not taken over")
		}
		m.stop()
	}
}
