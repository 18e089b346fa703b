package batch

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/objectapi"
	"github.com/hornbeamtide/hornbeamtide/standin/memstore"
)

const testTimeout = 10 * time.Second

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting until " + what)
		}
	}
}

// uniqueIDs checks that no item is listed twice and returns the IDs in order.
func uniqueIDs(t *testing.T, l *resultLog) []string {
	t.Helper()
	results, _ := l.page(0)
	seen := map[string]bool{}
	var ids []string
	for _, r := range results {
		if seen[r.ID] {
			t.Errorf("item %s is listed at two positions", r.ID)
		}
		seen[r.ID] = true
		ids = append(ids, r.ID)
	}
	return ids
}

func TestConcurrentWritersShowSameLog(t *testing.T) {
	for _, faults := range []memstore.Faults{{}, {LoseResponses: 3}, {RefuseWrites: 3}} {
		store := memstore.New()
		ctx, cancel := context.WithCancel(t.Context())
		store.SetFaults(faults)
		logs := []*resultLog{newResultLog("b", store, nil), newResultLog("b", store, nil)}
		var wg sync.WaitGroup
		for w, l := range logs {
			wg.Go(func() { l.write(ctx, func(string, []Result, int, time.Duration) {}) })
			wg.Go(func() {
				for i := range 20 {
					// Both writers have the same items, in different orders and with different outputs.
					l.add(Result{ID: fmt.Sprint((i*7 + w*3) % 20), State: Completed, Output: fmt.Sprint("by ", w)}, true)
					time.Sleep(3 * time.Millisecond)
				}
			})
		}
		for _, l := range logs {
			eventually(t, "all items are listed", func() bool {
				if l.confirmedCount() < 20 {
					_ = l.load(ctx)
				}
				return l.confirmedCount() == 20
			})
		}
		cancel()
		wg.Wait()
		first, second := uniqueIDs(t, logs[0]), uniqueIDs(t, logs[1])
		if strings.Join(first, " ") != strings.Join(second, " ") {
			t.Errorf("%+v: positions differ:\n%v\n%v", faults, first, second)
		}
		a, _ := logs[0].page(0)
		b, _ := logs[1].page(0)
		for i := range a {
			if a[i].Output != b[i].Output {
				t.Errorf("%+v: position %d holds %q and %q", faults, i, a[i].Output, b[i].Output)
			}
		}
	}
}

// A reader that loads the log while the writer waits for the store's response to a chunk must
// not cause that chunk to be listed twice.
func TestChunkIsListedOnceWithConcurrentReader(t *testing.T) {
	store := memstore.New()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	l := newResultLog("b", store, nil)
	go l.write(ctx, func(string, []Result, int, time.Duration) {})
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
				_ = l.load(ctx)
			}
		}
	})
	for i := range 60 {
		l.add(Result{ID: fmt.Sprint(i), State: Completed}, true)
		time.Sleep(5 * time.Millisecond)
	}
	eventually(t, "all items are listed", func() bool { return l.confirmedCount() >= 60 })
	close(stop)
	wg.Wait()
	uniqueIDs(t, l)
}

// The write of a chunk in flight is completed after the end of its batch, because it may have
// taken effect.
func TestInFlightChunkIsConfirmedAfterEndOfBatch(t *testing.T) {
	store := memstore.New()
	store.SetFaults(memstore.Faults{Delay: 100 * time.Millisecond})
	ctx, cancel := context.WithCancel(t.Context())
	l := newResultLog("b", store, nil)
	ended := make(chan struct{})
	go func() { l.write(ctx, func(string, []Result, int, time.Duration) {}); close(ended) }()
	l.add(Result{ID: "a", State: Completed}, true)
	eventually(t, "the chunk is in flight", func() bool { return store.Writes() > 0 || l.confirmedCount() > 0 })
	cancel()
	<-ended
	stored, err := store.List(t.Context(), resultsKind("b")+"/")
	if err != nil || l.confirmedCount() != 1 || len(stored.Objects) != 1 {
		t.Errorf("got %d confirmed results and %d stored chunks, want 1 and 1; error %v", l.confirmedCount(), len(stored.Objects), err)
	}
}

func TestResultIsReturnedOnlyOnceStored(t *testing.T) {
	store := memstore.New()
	store.SetFaults(memstore.Faults{Outage: true})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	l := newResultLog("b", store, nil)
	go l.write(ctx, func(string, []Result, int, time.Duration) {})
	l.add(Result{ID: "a", State: Completed}, true)
	time.Sleep(300 * time.Millisecond)
	if l.confirmedCount() != 0 {
		t.Error("a result that is not stored is returned")
	}
	store.SetFaults(memstore.Faults{})
	eventually(t, "the result is returned", func() bool { return l.confirmedCount() == 1 })
}

func TestLargeBatchIsSplit(t *testing.T) {
	job := Job{ID: "b"}
	for i := range 3000 {
		job.Items = append(job.Items, Item{ID: fmt.Sprint(i), Path: "/x", Body: make([]byte, 1000)})
	}
	var parts [][]byte
	for _, part := range job.parts() {
		parts = append(parts, part)
	}
	if len(parts) < 2 {
		t.Fatalf("got %d parts, want at least 2", len(parts))
	}
	job.Parts = len(parts)
	head, _ := job.encodeHead()
	decoded, err := decodeJob(head)
	if err != nil || decoded.Parts != len(parts) || decoded.Total != 3000 || len(decoded.Items) != 0 {
		t.Fatalf("decoded head %+v, error %v", decoded, err)
	}
	total := 0
	for _, part := range append(parts, head) {
		if objectapi.EncodedSize(part) > objectapi.MaxValueBytes {
			t.Errorf("an object has %d bytes, more than the store allows", len(part))
		}
	}
	var reader itemReader
	count := func(*Item) bool { total++; return true }
	for _, part := range parts {
		if _, err := reader.read(part, count); err != nil {
			t.Fatal(err)
		}
	}
	reader.end(count)
	if total != 3000 {
		t.Errorf("parts hold %d items, want 3000", total)
	}
}

// Guards against a log that ends before a chunk which the store refuses for its size: characters that JSON
// escapes take six bytes each, and one output may be too large by itself.
func TestChunksFitIntoValuesWhateverTheirContent(t *testing.T) {
	log := newResultLog("b", memstore.New(), nil)
	for i := range 12 {
		log.add(Result{ID: fmt.Sprint("escaped-", i), State: Completed, Output: strings.Repeat("\x01", 40<<10)}, true)
	}
	log.add(Result{ID: "large", State: Completed, Output: strings.Repeat("\x01", 400<<10)}, true)
	log.add(Result{ID: "last", State: Completed, Output: "x"}, true)
	for log.pendingCount() > 0 {
		before := log.pendingCount()
		if _, _, value := log.nextChunk(); objectapi.EncodedSize(value) > objectapi.MaxValueBytes {
			t.Fatalf("chunk of %d bytes", len(value))
		}
		log.writeChunk(t.Context(), func(string, []Result, int, time.Duration) {})
		if log.pendingCount() >= before {
			t.Fatal("no result was stored")
		}
	}
	states := map[string]State{}
	for after := 0; after < log.confirmedCount(); {
		results, _ := log.page(after)
		for _, r := range results {
			states[r.ID] = r.State
		}
		after += len(results)
	}
	if len(states) != 14 || states["large"] != Errored || states["escaped-3"] != Completed || states["last"] != Completed {
		t.Errorf("states %v", states)
	}
}

// Guards against a batch whose results end at a stored chunk that can't be decoded. Its position is passed
// over by each daemon, so that the items of later chunks keep the same positions everywhere.
func TestUnreadableChunkIsPassedOver(t *testing.T) {
	store := memstore.New()
	for n, value := range []string{`[{"id":"a","state":"completed"}]`, `{"not":"a chunk"}`} {
		if _, err := store.Create(t.Context(), chunkKey("b", n), []byte(value)); err != nil {
			t.Fatal(err)
		}
	}
	writer, reader := newResultLog("b", store, nil), newResultLog("b", store, nil)
	if err := writer.load(t.Context()); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go writer.write(ctx, func(string, []Result, int, time.Duration) {})
	writer.add(Result{ID: "c", State: Completed}, true)
	eventually(t, "the next result is listed", func() bool { return writer.confirmedCount() == 2 })
	if err := reader.load(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got := strings.Join(uniqueIDs(t, reader), " "); got != "a c" {
		t.Errorf("a reader lists %q, want a and c", got)
	}
}
