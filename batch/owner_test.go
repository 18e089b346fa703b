package batch

import (
	"fmt"
	"testing"
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
