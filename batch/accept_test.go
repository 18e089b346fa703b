package batch

import (
	"context"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/mirror"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
	"github.com/hornbeamtide/hornbeamtide/placement"
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
		err := m.acceptLocally(ctx, Job{ID: "b", Items: []Item{{ID: "i", Path: "/x"}}}, row.mayBeStored)
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
		err := m.acceptLocally(ctx, Job{ID: "b", Items: []Item{{ID: "i", Path: "/x"}}}, row.mayBeStored)
		if err == nil || fault.OutcomeOf(err) != row.want {
			t.Errorf("%s: got outcome %v, want %v: %v", row.name, fault.OutcomeOf(err), row.want, err)
		}
	}
}
