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
	now := time.Unix(0, 0)
	tracked.now = func() time.Time { return now }
	lease := tracked.Pick(Request{Service: "s", Exclude: map[string]bool{"r1": true}})
	now = now.Add(100 * time.Millisecond) // how long its requests last
	lease.Done(Answered, &upstream.Load{Running: 4, Waiting: 3, Slots: 4}, 0)
	for range 3 {
		if got := tracked.Pick(Request{Service: "s"}); got.ID != "r1" {
			t.Errorf("request at %s, which reported to be full", got.ID)
		}
	}
}

// Two daemons place steps at the same engines: what others' texts were there a moment ago is
// there still, however short most of them are.
func TestLoadOfEnginesDoesNotFade(t *testing.T) {
	tracked := tracker(1)
	now := time.Unix(0, 0)
	tracked.now = func() time.Time { return now }
	lease := tracked.Pick(Request{Service: "s"})
	now = now.Add(100 * time.Millisecond) // a short text
	lease.Done(Answered, &upstream.Load{Running: 4, Slots: 4}, 0)
	now = now.Add(reportAge)
	if tracked.Pick(Request{Service: "s", MustFit: true}) != nil {
		t.Error("a place at an engine that reported to be full")
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

// TestBurstsOfSeveralDaemonsKeepServersBusy replays the load that othersLeft answers: three
// daemons score bursts at servers of six slots that tell their load in answers only. Before
// it, a daemon that had heard of full servers waited until the report no longer counted.
func TestBurstsOfSeveralDaemonsKeepServersBusy(t *testing.T) {
	const (
		daemons, servers, slots = 3, 2, 6
		burst                   = 40
		work                    = 80 * time.Millisecond
	)
	now := time.Unix(0, 0)
	var trackers []*Tracker
	for range daemons {
		tracked := NewTracker(nil)
		tracked.now = func() time.Time { return now }
		for i := range servers {
			tracked.Set(catalog.Replica{ID: fmt.Sprint("r", i), Service: "s", Slots: slots, State: catalog.Ready})
		}
		trackers = append(trackers, tracked)
	}
	type request struct {
		daemon int
		lease  *Lease
		ends   time.Time
	}
	var running []request
	at := map[string]int{}
	left := []int{burst, burst, burst}
	most := 0
	for done := 0; done < daemons*burst; now = now.Add(5 * time.Millisecond) {
		var still []request
		for _, r := range running {
			if now.Before(r.ends) {
				still = append(still, r)
				continue
			}
			at[r.lease.ID]--
			done++
			r.lease.Done(Answered, &upstream.Load{Running: at[r.lease.ID], Slots: slots}, work)
		}
		running = still
		for d, tracked := range trackers {
			for left[d] > 0 {
				lease := tracked.Pick(Request{Service: "s", MustFit: true, Reserve: 0.34})
				if lease == nil {
					break
				}
				left[d]--
				at[lease.ID]++
				most = max(most, at[lease.ID])
				running = append(running, request{d, lease, now.Add(work)})
			}
		}
		if now.Sub(time.Unix(0, 0)) > time.Minute {
			t.Fatalf("%d of %d done after a minute", done, daemons*burst)
		}
	}
	best := daemons * burst * work / (servers * 4) // four slots of each are theirs
	if took := now.Sub(time.Unix(0, 0)); took > best*3/2 {
		t.Errorf("%d bursts of %d took %v, at best %v; %d requests at a server of %d slots", daemons, burst, took, best, most, slots)
	}
}
