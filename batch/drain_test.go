package batch

import (
	"context"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"storj.io/drpc"

	"github.com/hornbeamtide/hornbeamtide/batch/batchpb"
	"github.com/hornbeamtide/hornbeamtide/catalog"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/mirror"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
	"github.com/hornbeamtide/hornbeamtide/placement"
	"github.com/hornbeamtide/hornbeamtide/standin/memstore"
)

// outageStore is a store that refuses all calls while it is down.
type outageStore struct {
	objectapi.ObjectStore

	down atomic.Bool
	gets atomic.Int64
}

func (s *outageStore) refuse() error {
	if s.down.Load() {
		return fault.New(fault.Unavailable, "down", "", fault.WithOutcome(fault.NotRun))
	}
	return nil
}

// Get implements objectapi.ObjectStore.
func (s *outageStore) Get(ctx context.Context, key string) (objectapi.Object, error) {
	s.gets.Add(1)
	if err := s.refuse(); err != nil {
		return objectapi.Object{}, err
	}
	return s.ObjectStore.Get(ctx, key)
}

// Create implements objectapi.ObjectStore.
func (s *outageStore) Create(ctx context.Context, key string, value []byte) (objectapi.Object, error) {
	if err := s.refuse(); err != nil {
		return objectapi.Object{}, err
	}
	return s.ObjectStore.Create(ctx, key, value)
}

func newDrainManager(store objectapi.ObjectStore) *Manager {
	return NewManager(Dependencies{
		Self: "d", Store: store, Tracker: placement.NewTracker(nil), MemberAddresses: func() map[string]string { return nil },
		Mirror:        mirror.New(mirror.Config{Kinds: []mirror.Kind{{Name: KindBatches}, {Name: KindBatchEnds}}}, store, nil, nil, nil),
		Configuration: func() *catalog.Configuration { return nil },
	})
}

// handedOver returns completions as another daemon receives them.
func handedOver(t *testing.T, completions map[string]*Completion) map[string]*Completion {
	t.Helper()
	value, err := json.Marshal(completions)
	if err != nil {
		t.Fatal(err)
	}
	var received map[string]*Completion
	if err := json.Unmarshal(value, &received); err != nil {
		t.Fatal(err)
	}
	return received
}

// Guards against results that a planned stop throws away because the store does not have them yet, for
// example in an outage: half of a step was generated again after the hand-over. The other daemon lists
// them without a request to a replica or a scoring server.
func TestHandOverKeepsResultsThatAreNotStored(t *testing.T) {
	job := Job{ID: "b", Items: []Item{{ID: "i1", Group: "g", Path: "/x", Scorer: &Scorer{ID: "s"}}, {ID: "i2", Group: "g", Path: "/x"}}}
	from := newDrainManager(memstore.New())
	r := from.start(job, newResultLog("b", from.store, nil), nil, from.itemMemory.Holder(0))
	r.setCompletion("i1", Completion{Events: []string{"a", "b"}, Versions: []int64{3}, Complete: true})
	r.finish(&job.Items[0], Result{ID: "i1", State: Completed, Output: "a\nb", Versions: []int64{3}, Score: "score"})
	r.recordItemFailure("i2")
	completions := handedOver(t, r.stop())
	if got := completions["i2"]; got == nil || got.Failures != 1 {
		t.Errorf("completion %+v of the item that failed once; want its failure counted on", got)
	}

	to := newDrainManager(memstore.New())
	log := newResultLog("b", to.store, nil)
	resumed := to.start(job, log, completions, to.itemMemory.Holder(0))
	defer resumed.stop()
	for end := time.Now().Add(10 * time.Second); log.confirmedCount() == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the result was not listed")
		}
	}
	results, _ := log.page(0)
	if len(results) != 1 || results[0].ID != "i1" || results[0].Output != "a\nb" || results[0].Score != "score" {
		t.Errorf("results %+v", results)
	}
	if got := resumed.recordItemFailure("i2"); got != 2 {
		t.Errorf("failure %d of the item, want the second", got)
	}
}

// Guards against a batch that runs nowhere: a daemon that is stopped during an outage of the store keeps
// running its batches until another daemon can take them over, or until its stop time ends.
func TestBatchRunsOnUntilItCanBeTakenOver(t *testing.T) {
	store := &outageStore{ObjectStore: memstore.New()}
	store.down.Store(true)
	m := newDrainManager(store)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	waited := make(chan time.Duration, 1)
	start := time.Now()
	go func() { m.awaitStore(ctx, "b"); waited <- time.Since(start) }()
	for store.gets.Load() < 3 {
		time.Sleep(5 * time.Millisecond)
	}
	select {
	case <-waited:
		t.Fatal("the batch was handed over during the outage")
	default:
	}
	store.down.Store(false)
	<-waited
	store.down.Store(true)
	shortCtx, cancelShort := context.WithTimeout(t.Context(), handOverReserve+200*time.Millisecond)
	defer cancelShort()
	m.awaitStore(shortCtx, "b")
	if shortCtx.Err() != nil {
		t.Error("no time is left for the hand-over")
	}
}

// A write of the previous runner that may still take effect keeps the log contested.
func TestUnsettledWriteIsKnownAtHandOver(t *testing.T) {
	store := &outageStore{ObjectStore: memstore.New()}
	log := newResultLog("b", store, nil)
	if !log.isSettled() {
		t.Error("a log without writes is not settled")
	}
	store.down.Store(true)
	log.add(Result{ID: "i"}, true)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		log.writeChunk(ctx, func(string, []Result, int, time.Duration) {})
	}()
	for log.isSettled() {
		time.Sleep(time.Millisecond)
	}
	store.down.Store(false)
	<-done
	if !log.isSettled() || log.confirmedCount() != 1 {
		t.Error("the log is not settled after its chunk was confirmed")
	}
}

// Guards against a panic that ends the process at a planned stop: the batch was left to another daemon
// between its choice for the hand-over and the hand-over.
func TestHandOverOfBatchThatNoLongerRuns(t *testing.T) {
	m := newDrainManager(memstore.New())
	m.handOver(t.Context(), &batchState{job: Job{ID: "b"}, log: newResultLog("b", m.store, nil)})
}

// silentSuccessor provides connections to daemons of which the first does not respond to a hand-over.
type silentSuccessor struct{ requests *[]*batchpb.JobRequest }

// Conn implements peer.ConnProvider.
func (s silentSuccessor) Conn(context.Context, string) (drpc.Conn, error) {
	return silentConn{requests: s.requests}, nil
}

type silentConn struct {
	drpc.Conn

	requests *[]*batchpb.JobRequest
}

// Invoke implements drpc.Conn.
func (c silentConn) Invoke(_ context.Context, _ string, _ drpc.Encoding, in, _ drpc.Message) error {
	*c.requests = append(*c.requests, in.(*batchpb.JobRequest))
	if len(*c.requests) == 1 {
		return fault.New(fault.Unavailable, "no response", "")
	}
	return nil
}

// Guards against a daemon that takes its log for the only one while another runs the batch too: the one
// that was asked before it did not respond, but may have taken the batch over.
func TestHandOverAfterMissingResponseIsNotSettled(t *testing.T) {
	m := newDrainManager(memstore.New())
	var requests []*batchpb.JobRequest
	m.conns = silentSuccessor{&requests}
	m.members = func() map[string]string { return map[string]string{"d": "1", "e": "2", "f": "3"} }
	job := Job{ID: "b", Owner: "d", Items: []Item{{ID: "i", Path: "/x"}}}
	b := &batchState{job: job, log: newResultLog("b", m.store, nil)}
	b.run = m.start(job, b.log, nil, m.itemMemory.Holder(0))
	m.handOver(t.Context(), b)
	if len(requests) != 2 || !requests[0].Settled || requests[1].Settled {
		t.Errorf("requests %v; want the first settled and the second not", requests)
	}
}

// Guards against a hand-over that fails as a whole because its texts are over the largest message: the
// longest texts and all failures go over.
func TestLargeHandOverFitsIntoOneMessage(t *testing.T) {
	for name, text := range map[string]string{"plain text": strings.Repeat("x", 1000), "text that grows when it is encoded": strings.Repeat("\x01", 1000)} {
		completions := map[string]*Completion{}
		for n := 1; n <= 100; n++ {
			completions[fmt.Sprint(n)] = &Completion{Events: slices.Repeat([]string{text}, n), Failures: 1}
		}
		value, err := encodeHandOver(completions)
		if err != nil || len(value) > maxMessageBytes {
			t.Fatalf("%s: %d bytes, error %v", name, len(value), err)
		}
		var received map[string]*Completion
		if err := json.Unmarshal(value, &received); err != nil {
			t.Fatal(err)
		}
		if len(received) != 100 || received["1"].Failures != 1 || len(received["100"].Events) != 100 || len(received["1"].Events) != 0 {
			t.Errorf("%s: %d completions, %d events of the longest, %d of the shortest", name, len(received), len(received["100"].Events), len(received["1"].Events))
		}
	}
	small := map[string]*Completion{"a": {Events: []string{"x"}, Complete: true, Score: "1"}}
	if value, err := encodeHandOver(small); err != nil || !reflect.DeepEqual(handedOver(t, small), small) || len(value) > 200 {
		t.Errorf("a small hand-over of %d bytes is changed, error %v", len(value), err)
	}
}
