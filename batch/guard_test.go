package batch

import (
	"context"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/catalog"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
	"github.com/hornbeamtide/hornbeamtide/placement"
	"github.com/hornbeamtide/hornbeamtide/standin/memstore"
	"github.com/hornbeamtide/hornbeamtide/upstream"
)

// panickingBackend panics at each call for an item whose ID is in the set.
type panickingBackend struct {
	upstream.Backend

	items map[string]bool
}

// Send implements upstream.Backend.
func (b panickingBackend) Send(ctx context.Context, call upstream.Call) (*upstream.Response, error) {
	if b.items[call.RequestID] {
		panic("defect met by " + call.RequestID)
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

func runManager(backend upstream.Backend, replicas int) *Manager {
	m := newDrainManager(memstore.New())
	addReplicas(m.tracker, "large", replicas, 4)
	route := catalog.Route{
		Name: "drafts", Host: "h", PathPrefix: "/", Kind: catalog.Rollout, MaxAttempts: 3, Split: []catalog.Share{{Service: "large", Weight: 1}},
	}
	configuration := catalog.NewConfiguration(1, []catalog.Route{route}, nil, catalog.Limits{})
	m.configuration = func() *catalog.Configuration { return configuration }
	m.backend = backend
	return m
}

// Guards against an item that ends the process of each daemon that runs it (the class of case 2 of the
// review): its goroutine panics and nothing recovers. The item fails after the attempts of its route,
// others go on, and no place at a replica is lost.
func TestPanicOfOneItemFailsOnlyThatItem(t *testing.T) {
	m := runManager(panickingBackend{items: map[string]bool{"bad": true}}, 1)
	job := Job{ID: "b", Host: "h", Items: []Item{{ID: "bad", Group: "1", Path: "/x"}, {ID: "good", Group: "2", Path: "/x"}}}
	r := m.start(job, newResultLog("b", m.store, nil), nil, m.itemMemory.Holder(0))
	defer r.stop()
	deadline := time.Now().Add(10 * time.Second)
	for !r.results.hasResult("bad") && time.Now().Before(deadline) {
		time.Sleep(5 * time.Millisecond)
	}
	if !r.results.hasResult("bad") || r.results.hasResult("good") {
		t.Fatalf("results of the items: bad %v, good %v; want only the first", r.results.hasResult("bad"), r.results.hasResult("good"))
	}
	free := m.tracker.Explain(placement.Request{Service: "large", RequireFreeSlot: true, ReservedFraction: 0.5}).Free
	if free != 1 {
		t.Error("places of panicked attempts are still taken")
	}
}

// panickingStore panics when a list is read, as by a defect that an odd object meets.
type panickingStore struct{ objectapi.ObjectStore }

// List implements objectapi.ObjectStore.
func (panickingStore) List(context.Context, string) (objectapi.Snapshot, error) { panic("odd object") }

// Guards against a batch that counts as run by a daemon whose attempt to take it over panicked: no
// other daemon would ever run it.
func TestPanicOfTakeoverLeavesBatchToOthers(t *testing.T) {
	m := newDrainManager(panickingStore{memstore.New()})
	m.mu.Lock()
	b := m.addBatch(Job{ID: "b", Owner: "d", Items: []Item{{ID: "i", Path: "/x"}}})
	m.mu.Unlock()
	if !m.log.Guard("takeover", func() { m.takeOver(t.Context(), b, nil, false) }) {
		t.Fatal("the takeover did not panic")
	}
	if m.IsRunning("b") {
		t.Error("the batch counts as run")
	}
}
