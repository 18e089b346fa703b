package batch

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"storj.io/drpc"

	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/mirror"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
	"github.com/hornbeamtide/hornbeamtide/placement"
	"github.com/hornbeamtide/hornbeamtide/standin/memstore"
)

// scriptedStore is a store whose nth create fails with the nth error; the last error repeats.
type scriptedStore struct {
	objectapi.ObjectStore

	errors []error
}

// Create implements objectapi.ObjectStore.
func (s *scriptedStore) Create(context.Context, string, []byte) (objectapi.Object, error) {
	err := s.errors[0]
	if len(s.errors) > 1 {
		s.errors = s.errors[1:]
	}
	return objectapi.Object{}, err
}

// A failed batch is reported as not run only if no attempt may have stored it, regardless of the
// outcome of the last attempt.
func TestPossiblyStoredBatchIsNotReportedAsNotRun(t *testing.T) {
	ambiguous := fault.New(fault.Ambiguous, "response lost", "")
	refused := fault.New(fault.Unavailable, "refused", "", fault.WithOutcome(fault.NotRun))
	table := []struct {
		name        string
		errors      []error
		mayBeStored bool // an owner did not respond before
		notRun      bool
	}{
		{"always refused", []error{refused}, false, true},
		{"response lost", []error{ambiguous}, false, false},
		{"response lost, then refused", []error{ambiguous, refused}, false, false},
		{"owner not responding, then refused", []error{refused}, true, false},
	}
	for _, row := range table {
		store := &scriptedStore{errors: row.errors}
		m := NewManager(Dependencies{
			Self: "d", Store: store, Tracker: placement.NewTracker(nil), MemberAddresses: func() map[string]string { return nil },
			Mirror: mirror.New(mirror.Config{Kinds: []mirror.Kind{{Name: KindBatches}, {Name: KindBatchEnds}}}, store, nil, nil, nil),
		})
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		err := m.acceptLocally(ctx, Job{ID: "b", Items: []Item{{ID: "i", Path: "/x"}}}, m.itemMemory.Holder(0), row.mayBeStored)
		cancel()
		if got := fault.OutcomeOf(err) == fault.NotRun; err == nil || got != row.notRun {
			t.Errorf("%s: got outcome not run = %v, error %v", row.name, got, err)
		}
	}
}

// Guards against the end of the process when the client of a submission has left, or the forwarding
// daemon has given up, before the first attempt to store the batch (found in a review, case 2): no
// attempt means no error to wrap.
func TestSubmissionWhoseClientHasLeftIsRefused(t *testing.T) {
	table := []struct {
		name        string
		mayBeStored bool
		want        fault.Outcome
	}{
		{"nothing was sent", false, fault.NotRun},
		{"an owner did not respond before", true, fault.Unknown},
	}
	for _, row := range table {
		m := NewManager(Dependencies{
			Self: "d", Store: &scriptedStore{}, Tracker: placement.NewTracker(nil), MemberAddresses: func() map[string]string { return nil },
			Mirror: mirror.New(mirror.Config{Kinds: []mirror.Kind{{Name: KindBatches}, {Name: KindBatchEnds}}}, &scriptedStore{}, nil, nil, nil),
		})
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		err := m.acceptLocally(ctx, Job{ID: "b", Items: []Item{{ID: "i", Path: "/x"}}}, m.itemMemory.Holder(0), row.mayBeStored)
		if err == nil || fault.OutcomeOf(err) != row.want {
			t.Errorf("%s: got outcome %v, want %v: %v", row.name, fault.OutcomeOf(err), row.want, err)
		}
	}
}

// headlessStore refuses heads of batches, as at the deadline of a submission whose parts are stored.
type headlessStore struct{ objectapi.ObjectStore }

// Create implements objectapi.ObjectStore.
func (s headlessStore) Create(ctx context.Context, key string, value []byte) (objectapi.Object, error) {
	if key == jobKey("b1") {
		return objectapi.Object{}, fault.New(fault.Unavailable, "down", "", fault.WithOutcome(fault.NotRun))
	}
	return s.ObjectStore.Create(ctx, key, value)
}

// Guards against a batch that runs the items of another organisation, which submitted the same id and
// stored parts without a head.
func TestPartsOfAnotherOrganisationAreNotRun(t *testing.T) {
	job := func(organisation string) Job {
		j := Job{ID: "b1", Organisation: organisation}
		for i := range 12 {
			j.Items = append(j.Items, Item{ID: fmt.Sprint("i", i), Path: "/x", Body: bytes.Repeat([]byte(organisation[:1]), 2000)})
		}
		return j
	}
	store := memstore.New()
	south := newDrainManager(headlessStore{store})
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	if err := south.acceptLocally(ctx, job("south"), south.itemMemory.Holder(0), false); fault.OutcomeOf(err) != fault.NotRun {
		t.Fatalf("submission without a head: %v", err)
	}
	north := newDrainManager(store)
	northCtx, cancelNorth := context.WithTimeout(t.Context(), time.Second)
	defer cancelNorth()
	if err := north.acceptLocally(northCtx, job("north"), north.itemMemory.Holder(0), false); err != nil {
		return // refused
	}
	reader := newDrainManager(store)
	b, err := reader.find(t.Context(), "b1")
	if err != nil {
		t.Fatal(err)
	}
	head := reader.jobOf(b)
	items, err := reader.loadItems(t.Context(), head, reader.itemMemory.Holder(0))
	if err != nil || head.Organisation != "north" || items[0].Body[0] != 'n' {
		t.Errorf("the batch of %s has the items of %c, error %v", head.Organisation, items[0].Body[0], err)
	}
}

// refusingOwner provides connections to an owner that responds to each call with an error.
type refusingOwner struct{ err error }

// refusingConn implements drpc.Conn.
type refusingConn struct {
	drpc.Conn

	err error
}

// Conn implements peer.ConnProvider.
func (o refusingOwner) Conn(context.Context, string) (drpc.Conn, error) {
	return refusingConn{err: o.err}, nil
}

// Invoke implements drpc.Conn.
func (c refusingConn) Invoke(context.Context, string, drpc.Encoding, drpc.Message, drpc.Message) error {
	return c.err
}

// Guards against an owner that is suspected and skipped because callers submit batches with the IDs of
// another organisation's.
func TestRefusalByOwnerIsNoFailureOfIt(t *testing.T) {
	m := newDrainManager(memstore.New())
	m.members = func() map[string]string { return map[string]string{"d": "1", "owner": "2"} }
	m.conns = refusingOwner{err: fault.New(fault.Forbidden, "another organisation's", "", fault.WithOutcome(fault.NotRun))}
	m.reportUnresponsive = func(id string) { t.Errorf("%s is reported as not responding", id) }
	if err := m.forward(t.Context(), "owner", Job{ID: "b1", Organisation: "south"}); !fault.Is(err, fault.Forbidden) {
		t.Errorf("error %v, want the refusal", err)
	}
	if len(m.ownerBackoffs) > 0 {
		t.Error("the owner is skipped")
	}
}

// Guards against a daemon that takes a batch over from itself, since the mirror delivers the batch while its submission
// is being stored: the items were read once more, found no room beside those of the submission, and new submissions
// were refused for two seconds.
func TestBatchIsNotTakenOverWhileItIsAccepted(t *testing.T) {
	m := newDrainManager(memstore.New())
	end := m.beginAccepting("b1")
	endAgain := m.beginAccepting("b1")
	m.mu.Lock()
	m.addBatch(Job{ID: "b1", Parts: 1, Total: 1})
	m.mu.Unlock()
	end()
	if unserved := m.unservedBatches(); len(unserved) > 0 {
		t.Error("the batch would be taken over")
	}
	endAgain()
	if unserved := m.unservedBatches(); len(unserved) != 1 {
		t.Errorf("%d batches would be taken over after the submission failed, want 1", len(unserved))
	}
}
