package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/catalog"
	"github.com/hornbeamtide/hornbeamtide/upstream"
)

func tracker(n int) *Tracker {
	t := NewTracker(nil)
	for i := range n {
		t.Set(catalog.Replica{ID: fmt.Sprint("r", i), Service: "s", Slots: 4, State: catalog.Ready, Versions: map[string]int64{"m": int64(i)}})
	}
	return t
}

func TestRequirementsTable(t *testing.T) {
	table := []struct {
		name    string
		change  func(*Tracker)
		request Request
		want    []string // any of them, none for nobody
	}{
		{"any", func(*Tracker) {}, Request{Service: "s"}, []string{"r0", "r1", "r2"}},
		{"other service", func(*Tracker) {}, Request{Service: "x"}, nil},
		{"tried ones", func(*Tracker) {}, Request{Service: "s", Exclude: map[string]bool{"r0": true, "r1": true}}, []string{"r2"}},
		{"old weights", func(*Tracker) {}, Request{Service: "s", Model: "m", MinVersion: 2}, []string{"r2"}},
		{"too old weights", func(*Tracker) {}, Request{Service: "s", Model: "m", MinVersion: 3}, nil},
		{"gone", func(t *Tracker) { t.Remove("r0"); t.Remove("r1") }, Request{Service: "s"}, []string{"r2"}},
		{"leaving", func(t *Tracker) {
			t.Set(catalog.Replica{ID: "r2", Service: "s", State: catalog.Draining})
		}, Request{Service: "s"}, []string{"r0", "r1"}},
		{"ordered to load", func(t *Tracker) { t.Hold("r0", time.Minute); t.Hold("r1", time.Minute) }, Request{Service: "s"}, []string{"r2"}},
		{"broken, but the only one", func(t *Tracker) {
			t.Remove("r0")
			t.Remove("r1")
			t.Pick(Request{Service: "s"}).Done(Broke, nil, 0)
		}, Request{Service: "s"}, []string{"r2"}},
		{"broken, and the request can wait", func(t *Tracker) {
			t.Remove("r0")
			t.Remove("r1")
			t.Pick(Request{Service: "s"}).Done(Broke, nil, 0)
		}, Request{Service: "s", MustFit: true}, nil},
	}
	for _, row := range table {
		tracked := tracker(3)
		row.change(tracked)
		lease := tracked.Pick(row.request)
		found := lease == nil && len(row.want) == 0
		for _, id := range row.want {
			found = found || lease != nil && lease.ID == id
		}
		if !found {
			t.Errorf("%s: %+v, want one of %v", row.name, lease, row.want)
		}
	}
}

func TestRequestsThatCanWaitFillOnlyFreeSlots(t *testing.T) {
	tracked := tracker(2)
	for i := range 8 {
		if tracked.Pick(Request{Service: "s", MustFit: true}) == nil {
			t.Fatalf("no place for request %d of 8", i)
		}
	}
	if tracked.Pick(Request{Service: "s", MustFit: true}) != nil {
		t.Error("a ninth request at eight slots")
	}
	if tracked.Pick(Request{Service: "s"}) == nil {
		t.Error("a request that can't wait finds no replica")
	}
}

func TestLoadOfOtherDaemonsCounts(t *testing.T) {
	tracked := tracker(2)
	lease := tracked.Pick(Request{Service: "s", Exclude: map[string]bool{"r1": true}})
	lease.Done(Answered, &upstream.Load{Running: 4, Waiting: 3, Slots: 4}, 0)
	for range 3 {
		if got := tracked.Pick(Request{Service: "s"}); got.ID != "r1" {
			t.Errorf("request at %s, which reported to be full", got.ID)
		}
	}
}

// The load that the pace answers: one replica of three is four times slower and answers
// all the same.
func TestSlowReplicaGetsFewRequests(t *testing.T) {
	tracked := tracker(3)
	counts := map[string]int{}
	for range 300 {
		lease := tracked.Pick(Request{Service: "s"})
		counts[lease.ID]++
		pace := 20 * time.Millisecond
		if lease.ID == "r0" {
			pace *= 4
		}
		lease.Done(Answered, nil, pace)
	}
	if counts["r0"] > 30 {
		t.Errorf("the slow replica got %d of 300 requests", counts["r0"])
	}
}

func TestGroupStaysTogetherWhileItsReplicaHasRoom(t *testing.T) {
	tracked := tracker(3)
	first := tracked.Pick(Request{Service: "s", Affinity: "prompt", MustFit: true})
	second := tracked.Pick(Request{Service: "s", Affinity: "prompt", MustFit: true})
	if first.ID != second.ID {
		t.Errorf("a shared prompt at %s and %s", first.ID, second.ID)
	}
	for range 6 {
		tracked.Pick(Request{Service: "s", Affinity: "prompt", MustFit: true})
	}
	if lease := tracked.Pick(Request{Service: "s", Affinity: "prompt", MustFit: true}); lease == nil || lease.ID == first.ID {
		t.Errorf("the ninth request of a prompt at %+v", lease)
	}
}

func TestNewIncarnationStartsWithACleanRecord(t *testing.T) {
	tracked := tracker(1)
	tracked.Pick(Request{Service: "s"}).Done(Broke, nil, 0)
	tracked.Set(catalog.Replica{ID: "r0", Service: "s", State: catalog.Ready, Started: 7})
	if tracked.Pick(Request{Service: "s", MustFit: true}) == nil {
		t.Error("a new incarnation is held responsible for the last one")
	}
}

// The load that Reserve answers: bursts of short requests that can wait, at the servers that
// callers wait for.
func TestRequestsThatCanWaitLeaveSlotsToCallers(t *testing.T) {
	tracked := tracker(1) // four slots
	taken := 0
	for tracked.Pick(Request{Service: "s", MustFit: true, Reserve: 0.34}) != nil {
		taken++
	}
	if taken != 3 {
		t.Errorf("%d of 4 slots taken, want 3", taken)
	}
	if tracked.Pick(Request{Service: "s"}) == nil {
		t.Error("no place left for a caller")
	}
}
