package batch

import (
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/hornbeamtide/hornbeamtide/batch/batchpb"
	"github.com/hornbeamtide/hornbeamtide/connlimit"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/standin/memstore"
)

// Guards against a budget that is charged with less than is held: the process would go over its memory although
// the budget isn't used up.
func TestItemMemoryIsNoUnderestimate(t *testing.T) {
	headers := map[string][]string{}
	for i := range 40 {
		headers[fmt.Sprint("X-Long-Header-Name-", i)] = []string{"a"}
	}
	usual := map[string][]string{"Model": {"m0"}, "Token-Usage": {"276,20"}, "Prompt-Prefix": {"9c2e41:300,5d07b8:240"}}
	table := []struct {
		name  string
		items int
		item  Item
	}{
		{"without a body", 20_000, Item{Path: "/x"}},
		{"usual", 5_000, Item{Group: "g1002a", Path: "/pule252/3/91c4", Header: usual, Body: make([]byte, 600)}},
		{"scored", 2_000, Item{Path: "/x", Header: usual, Body: make([]byte, 600), Scorer: &Scorer{ID: "40c8f1a7b3e9265d", Host: "ficu95.example", Path: "/pufi791", Body: make([]byte, 3600)}}},
		{"many headers", 500, Item{Path: "/x", Header: headers}},
		{"large", 20, Item{Path: "/x", Header: usual, Body: make([]byte, 700_000)}},
		{"long path", 500, Item{Path: "/" + strings.Repeat("x", 8000)}},
	}
	for _, row := range table {
		text := encodeJSON(row.item)
		before := liveHeap()
		job := Job{Items: make([]Item, row.items)}
		for i := range job.Items {
			if err := json.Unmarshal(text, &job.Items[i]); err != nil {
				t.Fatal(err)
			}
			job.Items[i].ID = fmt.Sprintf("%016x", i)
		}
		held := liveHeap() - before
		if charged := job.itemMemory(); charged < held {
			t.Errorf("%s: %d bytes are charged, %d held", row.name, charged, held)
		}
		runtime.KeepAlive(job)
	}
}

func liveHeap() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// Guards against an accepted batch that is lost, or a process that goes over its memory, when the daemon that takes
// it over has no room for its items: it waits for room, and gets it before new batches do.
func TestTakeoverWaitsForMemory(t *testing.T) {
	store := memstore.New()
	owner := newDrainManager(store)
	job := Job{ID: "b1"}
	for i := range 100 {
		job.Items = append(job.Items, Item{ID: fmt.Sprint("i", i), Path: "/x", Body: make([]byte, 10_000)})
	}
	if err := owner.acceptLocally(t.Context(), job, owner.itemMemory.Holder(0), false); err != nil {
		t.Fatal(err)
	}
	backup := newDrainManager(store)
	const limit = 16 << 20
	backup.itemMemory = connlimit.NewBudget(limit)
	other := backup.itemMemory.Holder(0)
	if !other.Take(limit * 3 / 4) {
		t.Fatal("no room for another batch")
	}
	b, err := backup.find(t.Context(), "b1")
	if err != nil {
		t.Fatal(err)
	}
	backup.takeOver(t.Context(), b, nil, false)
	if backup.IsRunning("b1") {
		t.Fatal("the batch runs without room for its items")
	}
	other.Release()
	if backup.itemMemory.Holder(0).Take(limit * 3 / 4) {
		t.Error("a new batch got the room that the accepted one waits for")
	}
	backup.takeOver(t.Context(), b, nil, false)
	if !backup.IsRunning("b1") {
		t.Fatal("the batch does not run although there is room")
	}
	if used, want := backup.itemMemory.Used(), job.itemMemory(); used != want {
		t.Errorf("%d bytes are charged for the batch, want %d", used, want)
	}
	backup.yield("b1")
	eventually(t, "the memory is given back", func() bool { return backup.itemMemory.Used() == 0 })
	if items := backup.jobOf(b).Items; len(items) > 0 {
		t.Errorf("%d items stay in memory", len(items))
	}
}

// Guards against an owner without room for a forwarded batch: the batch runs where it arrived, and the owner does
// not count as a daemon that does not respond.
func TestOwnerWithoutRoomRefusesForwardedBatch(t *testing.T) {
	owner := newDrainManager(memstore.New())
	owner.itemMemory = connlimit.NewBudget(1 << 10)
	job := Job{ID: "b1", Items: []Item{{ID: "i", Path: "/x", Body: make([]byte, 100_000)}}}
	_, err := service{owner}.Host(t.Context(), &batchpb.JobRequest{Id: job.ID, Json: encodeJSON(job)})
	if !fault.Is(err, fault.Overloaded) || fault.OutcomeOf(err) != fault.NotRun {
		t.Errorf("error %v with outcome %v", err, fault.OutcomeOf(err))
	}
	if used := owner.itemMemory.Used(); used != 0 {
		t.Errorf("%d bytes stay charged", used)
	}
}

// Guards against items that stay in memory, counted or not, when a batch has ended before its submission was stored.
func TestItemsOfBatchThatEndedBeforeItRanAreReleased(t *testing.T) {
	m := newDrainManager(memstore.New())
	job := Job{ID: "b1", Items: []Item{{ID: "i", Path: "/x", Body: make([]byte, 100_000)}}}
	m.mu.Lock()
	m.markEnded("b1")
	m.mu.Unlock()
	memory := m.itemMemory.Holder(0)
	memory.Take(job.itemMemory())
	if err := m.acceptLocally(t.Context(), job, memory, false); err != nil {
		t.Fatal(err)
	}
	memory.Release()
	b, err := m.find(t.Context(), "b1")
	if err != nil || len(m.jobOf(b).Items) > 0 || m.jobOf(b).total() != 1 || m.itemMemory.Used() != 0 {
		t.Errorf("%d items of %d are held, %d bytes are charged, %v", len(m.jobOf(b).Items), m.jobOf(b).total(), m.itemMemory.Used(), err)
	}
}

// Guards against a read of all parts of a batch for each request for an item that it doesn't have, by the daemon that
// holds the items.
func TestUnknownItemIsNotLookedForInTheStore(t *testing.T) {
	store := &outageStore{ObjectStore: memstore.New()}
	m := newDrainManager(store)
	job := Job{ID: "b1", Items: []Item{{ID: "i", Path: "/x", Body: make([]byte, 100_000)}}}
	if err := m.acceptLocally(t.Context(), job, m.itemMemory.Holder(0), false); err != nil {
		t.Fatal(err)
	}
	if body, err := m.Body(t.Context(), "b1", "i"); err != nil || len(body) != 100_000 {
		t.Errorf("a body of %d bytes, %v", len(body), err)
	}
	if _, err := m.Body(t.Context(), "b1", "other"); !fault.Is(err, fault.NotFound) || store.gets.Load() > 0 {
		t.Errorf("error %v after %d reads of the store", err, store.gets.Load())
	}
}

// Guards against bytes that stay counted for batches whose items are all listed and whose clients never end them,
// whether their items are in parts or in the head: no submission would find room any more.
func TestItemsOfListedBatchAreReleased(t *testing.T) {
	for _, bodyBytes := range []int{10, 100_000} {
		m := newDrainManager(memstore.New())
		job := Job{ID: "b1", Items: []Item{{ID: "i", Path: "/x", Body: make([]byte, bodyBytes)}}}
		memory := m.itemMemory.Holder(0)
		memory.Take(job.itemMemory())
		if err := m.acceptLocally(t.Context(), job, memory, false); err != nil {
			t.Fatal(err)
		}
		b, err := m.find(t.Context(), "b1")
		if err != nil || m.itemMemory.Used() == 0 {
			t.Fatalf("%d bytes are charged, %v", m.itemMemory.Used(), err)
		}
		m.releaseListed()
		if m.itemMemory.Used() == 0 {
			t.Errorf("body of %d bytes: the items are released before they are listed", bodyBytes)
		}
		b.log.confirm(chunkKey("b1", 0), []Result{{ID: "i", State: Completed}})
		m.releaseListed()
		if used := m.itemMemory.Used(); used != 0 {
			t.Errorf("body of %d bytes: %d bytes are charged for a listed batch", bodyBytes, used)
		}
	}
}
