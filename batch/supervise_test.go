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
