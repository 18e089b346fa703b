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
