package batch

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/connlimit"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
	"github.com/hornbeamtide/hornbeamtide/standin/memstore"
)

// strictStore refuses values that are too large once they are encoded, as the platform's store does.
type strictStore struct{ objectapi.ObjectStore }

// Create implements objectapi.ObjectStore.
func (s strictStore) Create(ctx context.Context, key string, value []byte) (objectapi.Object, error) {
	if size := objectapi.EncodedSize(value); size > objectapi.MaxValueBytes {
		return objectapi.Object{}, fault.New(fault.Invalid, fmt.Sprintf("%s has %d bytes", key, size), "", fault.WithOutcome(fault.NotRun))
	}
	return s.ObjectStore.Create(ctx, key, value)
}

func randomBody(size int) []byte {
	body := make([]byte, size)
	r := rand.New(rand.NewPCG(1, uint64(size)))
	for i := range body {
		body[i] = byte(r.Uint32())
	}
	return body
}

// Guards against submissions within the limits that are refused for the size of their parts (found in a review,
// case 13): whatever an item consists of, and however large it is, it must be stored and come back as it was.
func TestItemsOfAnyContentAreStored(t *testing.T) {
	header := func(value string) map[string][]string {
		return map[string][]string{"Model": {"m0"}, "X-Note": {value}}
	}
	scorer := func(size int) *Scorer {
		return &Scorer{ID: "s", Host: "h", Path: "/s", Body: randomBody(size)}
	}
	table := []struct {
		name  string
		count int
		item  Item
	}{
		{"scoring requests of 3.6 KB", 320, Item{Body: randomBody(600), Scorer: scorer(3600)}},
		{"scoring requests of 60 KB", 160, Item{Body: randomBody(600), Scorer: scorer(60_000)}},
		{"scoring requests of 700 KB", 20, Item{Body: randomBody(600), Scorer: scorer(700_000)}},
		{"scoring requests of 900 KB", 3, Item{Body: randomBody(600), Scorer: scorer(900_000)}},
		{"header values of markup", 160, Item{Header: header(strings.Repeat("<", 3000)), Body: randomBody(600)}},
		{"header values of quotes", 160, Item{Header: header(strings.Repeat(`"`, 3000)), Body: randomBody(600)}},
		{"header values of control characters", 40, Item{Header: header(strings.Repeat("\x01", 100_000)), Body: randomBody(600)}},
		{"header values beside large bodies", 4, Item{Header: header(strings.Repeat("\x01", 100_000)), Body: randomBody(1 << 20), Scorer: scorer(1 << 20)}},
		{"header values that are not ASCII", 40, Item{Header: header(strings.Repeat("猫", 30_000)), Body: randomBody(600)}},
		{"bodies over one object", 5, Item{Body: randomBody(3 << 20)}},
		{"a body as large as a submission", 1, Item{Body: randomBody(24 << 20)}},
		{"bodies of one piece exactly", 30, Item{Body: randomBody(maxPieceBytes), Scorer: scorer(maxPieceBytes)}},
		{"no bodies", 1000, Item{Scorer: &Scorer{ID: "s", Host: "h", Path: "/s"}}},
	}
	for _, row := range table {
		store := strictStore{memstore.New()}
		m := newDrainManager(store)
		job := Job{ID: "b1"}
		for i := range row.count {
			item := row.item
			item.ID, item.Path = fmt.Sprint("i", i), "/x"
			job.Items = append(job.Items, item)
		}
		if err := job.Validate(); err != nil {
			t.Errorf("%s: %v", row.name, err)
			continue
		}
		if err := m.acceptLocally(t.Context(), job, m.itemMemory.Holder(0), false); err != nil {
			t.Errorf("%s: %v", row.name, err)
			continue
		}
		reader := newDrainManager(store)
		b, err := reader.find(t.Context(), "b1")
		if err != nil {
			t.Fatal(err)
		}
		got, err := reader.loadItems(t.Context(), reader.jobOf(b), reader.itemMemory.Holder(0))
		if err != nil || len(got) != len(job.Items) {
			t.Errorf("%s: read %d of %d items, %v", row.name, len(got), len(job.Items), err)
			continue
		}
		for i := range got {
			if !sameItem(got[i], job.Items[i]) {
				t.Errorf("%s: item %d differs from the submitted one", row.name, i)
				break
			}
		}
		last := job.Items[len(job.Items)-1]
		if body, err := reader.Body(t.Context(), "b1", last.ID); err != nil || !bytes.Equal(body, last.Body) {
			t.Errorf("%s: the body of the last item has %d bytes, want %d; %v", row.name, len(body), len(last.Body), err)
		}
	}
}

// sameItem compares items; an empty body and none are the same.
func sameItem(a, b Item) bool {
	if !bytes.Equal(a.Body, b.Body) || (a.Scorer == nil) != (b.Scorer == nil) {
		return false
	}
	a.Body, b.Body = nil, nil
	if a.Scorer != nil {
		scorerA, scorerB := *a.Scorer, *b.Scorer
		if !bytes.Equal(scorerA.Body, scorerB.Body) {
			return false
		}
		scorerA.Body, scorerB.Body, a.Scorer, b.Scorer = nil, nil, nil, nil
		if !reflect.DeepEqual(scorerA, scorerB) {
			return false
		}
	}
	return reflect.DeepEqual(a, b)
}

// Guards against a refusal that doesn't say what is allowed.
func TestRefusedItemNamesTheLimit(t *testing.T) {
	job := Job{ID: "b1", Items: []Item{{ID: "i", Path: "/" + strings.Repeat("x", maxItemHeadBytes)}}}
	err := job.Validate()
	if !fault.Is(err, fault.Invalid) || !strings.Contains(err.Error(), fmt.Sprint(maxItemHeadBytes)) {
		t.Errorf("error %v", err)
	}
}

// Guards against batches of a daemon of the version before that can't be read: its parts are lists of items, under
// another kind and without a format in the head. Parts that it stored of a submission without a head must not become
// part of the batch.
func TestPartsOfTheVersionBeforeAreRead(t *testing.T) {
	store := memstore.New()
	create := func(key, value string) {
		if _, err := store.Create(t.Context(), key, []byte(value)); err != nil {
			t.Fatal(err)
		}
	}
	create("parts-old/000000", `[{"id":"i0","group":"","path":"/x","header":null,"body":"aGk=","tokens":0,"length":0},{"id":"i1","group":"","path":"/x","header":null,"body":"aG8=","tokens":0,"length":0}]`)
	create("parts-old/000001", `[{"id":"i2","group":"","path":"/x","header":{"X":["\u003c"]},"body":"","tokens":0,"length":0}]`)
	create("batches/old", `{"id":"old","host":"","path":"","owner":"d","accepted":"2026-12-07T00:00:00Z","step":0,"model":"","min_version":0,"group_count":0,"parts":2,"total":3}`)
	m := newDrainManager(store)
	b, err := m.find(t.Context(), "old")
	if err != nil {
		t.Fatal(err)
	}
	items, err := m.loadItems(t.Context(), m.jobOf(b), m.itemMemory.Holder(0))
	if err != nil || len(items) != 3 || string(items[1].Body) != "ho" || items[2].Header["X"][0] != "<" {
		t.Fatalf("read %+v, %v", items, err)
	}
	m.remove(t.Context(), m.jobOf(b))
	if left, _ := store.List(t.Context(), "parts-old/"); len(left.Objects) > 0 {
		t.Errorf("%d parts stay in the store", len(left.Objects))
	}

	create("parts-new/000000", `[{"id":"other","group":"","path":"/x","header":null,"body":"","tokens":0,"length":0}]`)
	job := Job{ID: "new", Items: []Item{{ID: "a", Path: "/x", Body: randomBody(20_000)}}}
	if err := m.acceptLocally(t.Context(), job, m.itemMemory.Holder(0), false); err != nil {
		t.Fatal(err)
	}
	reader := newDrainManager(store)
	if b, err = reader.find(t.Context(), "new"); err != nil {
		t.Fatal(err)
	}
	if items, err = reader.loadItems(t.Context(), reader.jobOf(b), reader.itemMemory.Holder(0)); err != nil || len(items) != 1 || items[0].ID != "a" {
		t.Errorf("read %d items, %v", len(items), err)
	}
}

// Guards against entries of another writer that end a process or take its memory.
func TestOddEntriesOfPartsAreRefused(t *testing.T) {
	for _, text := range []string{
		`[{"continued":true,"body":"aGk="}]`,
		`[{"id":"a"},{"continued":true,"scorer":{"body":"aGk="}}]`,
		`[{"id":"a","body_bytes":1000000000000}]`,
		`[{"id":"a","body_bytes":-1}]`,
		`{"id":"a"}`, `[1]`, ``,
	} {
		var reader itemReader
		if _, err := reader.read([]byte(text), func(*Item) bool { return true }); err == nil {
			t.Errorf("%s: no error", text)
		}
	}
}

// Guards against results and saved completions that the store refuses for the size of their encoding, again and again.
func TestResultsFitIntoObjectsOnceEncoded(t *testing.T) {
	store := strictStore{memstore.New()}
	log := newResultLog("b", store, nil)
	texts := []string{strings.Repeat(`"`, 200<<10), strings.Repeat("<", 500<<10), strings.Repeat("猫", 100<<10), strings.Repeat("\x01", 100<<10)}
	for i, text := range texts {
		log.add(Result{ID: fmt.Sprint("i", i), State: Completed, Output: text}, true)
	}
	for range texts {
		if log.pendingCount() > 0 {
			log.writeChunk(t.Context(), func(string, []Result, int, time.Duration) {})
		}
	}
	if log.pendingCount() > 0 {
		t.Fatalf("%d results were not stored", log.pendingCount())
	}
	for after := 0; after < len(texts); {
		results, _ := log.page(after)
		for _, result := range results {
			if result.State != Completed || result.Output != texts[after] {
				t.Errorf("result %d is %s with %d bytes", after, result.State, len(result.Output))
			}
			after++
		}
	}

	r := newDrainManager(store).start(Job{ID: "b"}, log, nil, connlimit.NewBudget(0).Holder(0))
	defer r.stop()
	saver := &completionSaver{run: r}
	completions := map[string]Completion{}
	for i := range 20 {
		completions[fmt.Sprint("i", i)] = Completion{Events: []string{strings.Repeat("\x01", 12<<10)}}
	}
	if err := saver.save(completions); err != nil {
		t.Error(err)
	}
	o, err := store.Get(t.Context(), completionsKey("b"))
	var saved map[string]Completion
	if err != nil || json.Unmarshal(o.Value, &saved) != nil || len(saved) == 0 {
		t.Errorf("%d completions are saved, %v", len(saved), err)
	}
}
