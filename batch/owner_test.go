package batch

import (
	"fmt"
	"testing"

	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/standin/memstore"
)

// Guards against steps that are delayed because their trainer's batches are owned by a small instance of
// an uneven fleet.
func TestBatchesAreOwnedByLargerInstances(t *testing.T) {
	members, cores := map[string]string{}, map[string]float64{}
	for i := range 60 {
		id := fmt.Sprint("d", i)
		members[id] = "address"
		switch {
		case i < 6:
			cores[id] = 0.8
		case i < 20:
			cores[id] = 0.48
		default:
			cores[id] = 0.144
		}
	}
	if got := largeEnough(members, cores); len(got) != 20 || got["d0"] == "" || got["d19"] == "" || got["d20"] != "" {
		t.Errorf("%d owners, want the 20 larger instances", len(got))
	}
	delete(cores, "d30") // of a daemon that does not tell it
	if got := largeEnough(members, cores); len(got) != 21 || got["d30"] == "" {
		t.Errorf("%d owners, want 21", len(got))
	}
	if got := largeEnough(members, nil); len(got) != len(members) {
		t.Errorf("%d owners of an even fleet, want all", len(got))
	}
	if got := largeEnough(map[string]string{"d40": "a", "d41": "b"}, cores); len(got) != 2 {
		t.Errorf("%d owners if only small instances are left, want both", len(got))
	}
}

// Guards against an owner that is suspected and skipped because a batch does not fit into one message.
func TestBatchTooLargeToForwardIsNoFailureOfItsOwner(t *testing.T) {
	m := newDrainManager(memstore.New())
	m.members = func() map[string]string { return map[string]string{"d": "1", "owner": "2"} }
	m.conns = refusingOwner{err: fault.New(fault.Unavailable, "message too large", "")}
	m.reportUnresponsive = func(id string) { t.Errorf("%s is reported as not responding", id) }
	job := Job{ID: "b", Items: []Item{{ID: "i", Path: "/x", Body: make([]byte, maxMessageBytes)}}}
	if err := m.forward(t.Context(), "owner", job); fault.OutcomeOf(err) != fault.NotRun {
		t.Errorf("error %v, want one with outcome not run", err)
	}
	if len(m.ownerBackoffs) > 0 {
		t.Error("the owner is skipped")
	}
}
