package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/catalog"
	"github.com/hornbeamtide/hornbeamtide/upstream"
)

func newTestTracker(n int) *Tracker {
	t := NewTracker(nil)
	for i := range n {
		t.Set(catalog.Replica{ID: fmt.Sprint("r", i), Service: "s", Slots: 4, State: catalog.Ready, Versions: map[string]int64{"m": int64(i)}})
	}
	return t
}

func TestPickFilters(t *testing.T) {
	table := []struct {
		name    string
		change  func(*Tracker)
		request Request
		want    []string // IDs of acceptable replicas; empty if none may be picked
	}{
		{"any replica", func(*Tracker) {}, Request{Service: "s"}, []string{"r0", "r1", "r2"}},
		{"other service", func(*Tracker) {}, Request{Service: "x"}, nil},
		{"excluded replicas", func(*Tracker) {}, Request{Service: "s", Exclude: map[string]bool{"r0": true, "r1": true}}, []string{"r2"}},
		{"minimum version", func(*Tracker) {}, Request{Service: "s", Model: "m", MinVersion: 2}, []string{"r2"}},
		{"all versions too old", func(*Tracker) {}, Request{Service: "s", Model: "m", MinVersion: 3}, nil},
		{"removed", func(t *Tracker) { t.Remove("r0"); t.Remove("r1") }, Request{Service: "s"}, []string{"r2"}},
		{"draining", func(t *Tracker) {
			t.Set(catalog.Replica{ID: "r2", Service: "s", State: catalog.Draining})
		}, Request{Service: "s"}, []string{"r0", "r1"}},
		{"load order in progress", func(t *Tracker) { t.Hold("r0", time.Minute); t.Hold("r1", time.Minute) }, Request{Service: "s"}, []string{"r2"}},
		{"unhealthy, but the only one", func(t *Tracker) {
			t.Remove("r0")
			t.Remove("r1")
			t.Pick(Request{Service: "s"}).Done(Failed, nil, 0)
		}, Request{Service: "s"}, []string{"r2"}},
		{"unhealthy, and the request can wait", func(t *Tracker) {
			t.Remove("r0")
			t.Remove("r1")
			t.Pick(Request{Service: "s"}).Done(Failed, nil, 0)
		}, Request{Service: "s", RequireFreeSlot: true}, nil},
	}
	for _, row := range table {
		tracker := newTestTracker(3)
		row.change(tracker)
		lease := tracker.Pick(row.request)
		found := lease == nil && len(row.want) == 0
		for _, id := range row.want {
			found = found || lease != nil && lease.ID == id
		}
		if !found {
			t.Errorf("%s: %+v, want one of %v", row.name, lease, row.want)
		}
	}
}

func TestRequireFreeSlotUsesOnlyFreeSlots(t *testing.T) {
	tracker := newTestTracker(2)
	for i := range 8 {
		if tracker.Pick(Request{Service: "s", RequireFreeSlot: true}) == nil {
			t.Fatalf("no replica for request %d of 8 on 8 slots", i)
		}
	}
	if tracker.Pick(Request{Service: "s", RequireFreeSlot: true}) != nil {
		t.Error("placed a ninth request on eight slots")
	}
	if tracker.Pick(Request{Service: "s"}) == nil {
		t.Error("no replica for a request that can't wait")
	}
}

func TestLoadOfOtherDaemonsCounts(t *testing.T) {
	tracker := newTestTracker(2)
	now := time.Unix(0, 0)
	tracker.now = func() time.Time { return now }
	lease := tracker.Pick(Request{Service: "s", Exclude: map[string]bool{"r1": true}})
	now = now.Add(100 * time.Millisecond) // duration of the request
	lease.Done(Answered, &upstream.Load{Running: 4, Waiting: 3, Slots: 4}, 0)
	for range 3 {
		if got := tracker.Pick(Request{Service: "s"}); got.ID != "r1" {
			t.Errorf("request placed on %s, which reported that it is full", got.ID)
		}
	}
}

// Two daemons generate at the same model replicas. The other daemon's generations that were
// reported a moment ago must still count, however short most of them are.
func TestLoadOfModelReplicasDoesNotDecay(t *testing.T) {
	tracker := newTestTracker(1)
	now := time.Unix(0, 0)
	tracker.now = func() time.Time { return now }
	lease := tracker.Pick(Request{Service: "s"})
	now = now.Add(100 * time.Millisecond) // a short completion
	lease.Done(Answered, &upstream.Load{Running: 4, Slots: 4}, 0)
	now = now.Add(loadReportMaxAge)
	if tracker.Pick(Request{Service: "s", RequireFreeSlot: true}) != nil {
		t.Error("request placed on a model replica that reported that it is full")
	}
}

// The load pattern behind the time per unit of work: one replica of three is four times slower
// but still responds.
func TestSlowReplicaGetsFewRequests(t *testing.T) {
	tracker := newTestTracker(3)
	counts := map[string]int{}
	for range 300 {
		lease := tracker.Pick(Request{Service: "s"})
		counts[lease.ID]++
		timePerUnit := 20 * time.Millisecond
		if lease.ID == "r0" {
			timePerUnit *= 4
		}
		lease.Done(Answered, nil, timePerUnit)
	}
	if counts["r0"] > 30 {
		t.Errorf("the slow replica got %d of 300 requests", counts["r0"])
	}
}

func TestAffinityWhileReplicaHasCapacity(t *testing.T) {
	tracker := newTestTracker(3)
	first := tracker.Pick(Request{Service: "s", AffinityKey: "prompt", RequireFreeSlot: true})
	second := tracker.Pick(Request{Service: "s", AffinityKey: "prompt", RequireFreeSlot: true})
	if first.ID != second.ID {
		t.Errorf("requests with the same affinity key placed on %s and %s", first.ID, second.ID)
	}
	for range 6 {
		tracker.Pick(Request{Service: "s", AffinityKey: "prompt", RequireFreeSlot: true})
	}
	if lease := tracker.Pick(Request{Service: "s", AffinityKey: "prompt", RequireFreeSlot: true}); lease == nil || lease.ID == first.ID {
		t.Errorf("ninth request with the same affinity key: got %+v, want another replica", lease)
	}
}

func TestNewIncarnationStartsHealthy(t *testing.T) {
	tracker := newTestTracker(1)
	tracker.Pick(Request{Service: "s"}).Done(Failed, nil, 0)
	tracker.Set(catalog.Replica{ID: "r0", Service: "s", State: catalog.Ready, StartedMs: 7})
	if tracker.Pick(Request{Service: "s", RequireFreeSlot: true}) == nil {
		t.Error("new incarnation counts as unhealthy after a failure of the previous one")
	}
}

// The load pattern behind ReservedFraction: bursts of short requests that can wait, at servers
// that also respond to callers.
func TestReservedFractionLeavesSlotsToCallers(t *testing.T) {
	tracker := newTestTracker(1) // four slots
	taken := 0
	for tracker.Pick(Request{Service: "s", RequireFreeSlot: true, ReservedFraction: 0.34}) != nil {
		taken++
	}
	if taken != 3 {
		t.Errorf("%d of 4 slots taken, want 3", taken)
	}
	if tracker.Pick(Request{Service: "s"}) == nil {
		t.Error("no slot left for a caller")
	}
}

// TestBurstsOfSeveralDaemonsKeepServersBusy replays the load pattern behind remainingLoad: three
// daemons score bursts at servers of six slots that report their load only with responses. Without
// the estimate, a daemon with a report of full servers waits until the report no longer counts.
func TestBurstsOfSeveralDaemonsKeepServersBusy(t *testing.T) {
	const (
		daemons, servers, slots = 3, 2, 6
		burst                   = 40
		serviceTime             = 80 * time.Millisecond
	)
	now := time.Unix(0, 0)
	var trackers []*Tracker
	for range daemons {
		tracker := NewTracker(nil)
		tracker.now = func() time.Time { return now }
		for i := range servers {
			tracker.Set(catalog.Replica{ID: fmt.Sprint("r", i), Service: "s", Slots: slots, State: catalog.Ready})
		}
		trackers = append(trackers, tracker)
	}
	type request struct {
		daemon int
		lease  *Lease
		ends   time.Time
	}
	var running []request
	runningAt := map[string]int{}
	remaining := []int{burst, burst, burst}
	maxRunning := 0
	for done := 0; done < daemons*burst; now = now.Add(5 * time.Millisecond) {
		var stillRunning []request
		for _, r := range running {
			if now.Before(r.ends) {
				stillRunning = append(stillRunning, r)
				continue
			}
			runningAt[r.lease.ID]--
			done++
			r.lease.Done(Answered, &upstream.Load{Running: runningAt[r.lease.ID], Slots: slots}, serviceTime)
		}
		running = stillRunning
		for d, tracker := range trackers {
			for remaining[d] > 0 {
				lease := tracker.Pick(Request{Service: "s", RequireFreeSlot: true, ReservedFraction: 0.34})
				if lease == nil {
					break
				}
				remaining[d]--
				runningAt[lease.ID]++
				maxRunning = max(maxRunning, runningAt[lease.ID])
				running = append(running, request{d, lease, now.Add(serviceTime)})
			}
		}
		if now.Sub(time.Unix(0, 0)) > time.Minute {
			t.Fatalf("%d of %d requests done after 1 min", done, daemons*burst)
		}
	}
	ideal := daemons * burst * serviceTime / (servers * 4) // ReservedFraction leaves them four slots of each server
	if took := now.Sub(time.Unix(0, 0)); took > ideal*3/2 {
		t.Errorf("%d bursts of %d requests took %v, ideal %v; at most %d requests at a server of %d slots", daemons, burst, took, ideal, maxRunning, slots)
	}
}
