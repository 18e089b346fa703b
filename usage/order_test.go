package usage

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func testIDs(n int) []string {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprint("daemon-", i)
	}
	return ids
}

// Guards against daemons that disagree on the order because they list the members differently.
func TestDutyOrderDoesNotDependOnTheInput(t *testing.T) {
	ids := testIDs(50)
	want := DutyOrder(ids)
	if !slices.Equal(ids, testIDs(50)) {
		t.Error("the input was changed")
	}
	slices.Reverse(ids)
	if got := DutyOrder(ids); !slices.Equal(got, want) {
		t.Errorf("order %v, want %v", got, want)
	}
}

// Guards against a reshuffle when one daemon is lost: the receivers of counts would change for all.
func TestDutyOrderOfTheOthersStays(t *testing.T) {
	all := DutyOrder(testIDs(50))
	for lost := range all {
		others := slices.Delete(slices.Clone(all), lost, lost+1)
		if got := DutyOrder(others); !slices.Equal(got, others) {
			t.Errorf("without %s: order %v, want %v", all[lost], got, others)
		}
	}
}

// Guards against a change of the hash: daemons of two program versions would hold the duty at once.
func TestDutyOrderIsFixed(t *testing.T) {
	want := []string{"daemon-2", "daemon-4", "daemon-3", "daemon-0", "daemon-1"}
	if got := DutyOrder(testIDs(5)); !slices.Equal(got, want) {
		t.Errorf("order %v, want %v", got, want)
	}
	if got := DutyOrder(nil); len(got) != 0 {
		t.Errorf("order of no daemons: %v", got)
	}
}

// At 360 daemons each receiver gets at most 200 messages a second, and all counts are in before the report
// of a window is composed 2.5 s after its end.
func TestMessagesStayBoundedInLargeFleets(t *testing.T) {
	for n, want := range map[int]time.Duration{3: 300 * time.Millisecond, 60: 300 * time.Millisecond, 360: 1800 * time.Millisecond} {
		if got := delayFor(n); got != want {
			t.Errorf("%d daemons: delay %v, want %v", n, got, want)
		}
	}
}
