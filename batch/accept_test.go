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

// scripted is a store whose nth write fails as the nth entry says; the last one goes on.
type scripted struct {
	objectapi.ObjectStore

	errors []error
}

// Create implements objectapi.ObjectStore.
func (s *scripted) Create(context.Context, string, []byte) (objectapi.Object, error) {
	err := s.errors[0]
	if len(s.errors) > 1 {
		s.errors = s.errors[1:]
	}
	return objectapi.Object{}, err
}

// A batch is refused as not run only if no try may have stored it, whatever the last met.
func TestUnsettledBatchIsNotRefusedAsNotRun(t *testing.T) {
	lost := fault.New(fault.Ambiguous, "answer lost", "")
	refused := fault.New(fault.Unavailable, "refused", "", fault.WithOutcome(fault.NotRun))
	table := []struct {
		name      string
		errors    []error
		unsettled bool // a host did not answer before
		notRun    bool
	}{
		{"always refused", []error{refused}, false, true},
		{"answer lost", []error{lost}, false, false},
		{"answer lost, then refused", []error{lost, refused}, false, false},
		{"host silent, then refused", []error{refused}, true, false},
	}
	for _, row := range table {
		store := &scripted{errors: row.errors}
		m := NewManager(Parts{
			Self: "d", Store: store, Tracker: placement.NewTracker(nil), Members: func() map[string]string { return nil },
			Mirror: mirror.New(mirror.Config{Kinds: []mirror.Kind{{Name: KindJobs}, {Name: KindEnds}}}, store, nil, nil, nil),
		})
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		err := m.acceptHere(ctx, Job{ID: "b", Items: []Item{{ID: "i", Path: "/x"}}}, row.unsettled)
		cancel()
		if got := fault.OutcomeOf(err) == fault.NotRun; err == nil || got != row.notRun {
			t.Errorf("%s: not run %v, error %v", row.name, got, err)
		}
	}
}
