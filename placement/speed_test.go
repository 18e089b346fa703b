package placement

import (
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/upstream"
)

func TestExpectedSlowdown(t *testing.T) {
	for _, row := range []struct {
		reported float64
		age      time.Duration
		low      float64
		high     float64
	}{
		{0, 0, 1, 1},              // not reported
		{1, time.Second, 1, 1},    // as usual
		{3, 0, 3, 3},              // now
		{3, 200e6, 1.99, 2.01},    // half of the deviation is left
		{3, 600e6, 1.2, 1.3},      // an eighth
		{3, time.Minute, 1, 1.01}, // long ago
		{0.5, 0, 0.5, 0.5},        // faster than usual
		{1e9, 0, 10, 10},          // bounded
	} {
		if got := expectedSlowdown(row.reported, row.age); got < row.low || got > row.high {
			t.Errorf("%v after %v: got %v, want %v to %v", row.reported, row.age, got, row.low, row.high)
		}
	}
}

// speedReplay replays the requests of a caller beside scoring requests to replicas whose speed changes
// every 250 ms, as that of machines that are shared with others, and returns the mean time of the
// caller's requests. Each response reports the speed, unless report is false, as for replicas that
// do not.
func speedReplay(report bool) time.Duration {
	const work, interval, steps = 25 * time.Millisecond, 80 * time.Millisecond, 4000
	now := time.Unix(1000, 0)
	tracker := newTestTracker(3)
	tracker.now = func() time.Time { return now }
	// A replica is three times slower for 250 ms of each second, one after the other.
	slowdown := func(id string) float64 {
		if phase := now.UnixMilli() / 250 % 4; id == []string{"r0", "r1", "r2", ""}[phase] {
			return 3
		}
		return 1
	}
	finish := func(lease *Lease) time.Duration {
		factor := slowdown(lease.ID)
		load := &upstream.Load{Slots: 4}
		if report {
			load.Slowdown = factor
		}
		took := time.Duration(factor * float64(work))
		lease.Done(Answered, load, took)
		return took
	}
	var total time.Duration
	for range steps {
		scoring := []*Lease{}
		for range 3 {
			scoring = append(scoring, tracker.Pick(Request{Service: "s", RequireFreeSlot: true}))
		}
		for _, lease := range scoring {
			finish(lease)
		}
		now = now.Add(interval / 2)
		total += finish(tracker.Pick(Request{Service: "s"}))
		now = now.Add(interval / 2)
	}
	return total / steps
}

// Guards against a caller's requests that go to a replica which was just reported as slow.
func TestRequestsAvoidReplicaThatIsSlowNow(t *testing.T) {
	without, with := speedReplay(false), speedReplay(true)
	t.Logf("mean time %v without the reported speed, %v with it", without, with)
	if with > without*9/10 {
		t.Errorf("mean time %v with the reported speed, want at most nine tenths of %v", with, without)
	}
}

// A replica that was slow for a moment must not count as slow for good, since no request would go there
// to find out.
func TestReplicaCountsAtUsualSpeedAfterSlowMoment(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := newTestTracker(2)
	tracker.now = func() time.Time { return now }
	for range 20 {
		for _, id := range []string{"r0", "r1"} {
			lease := tracker.Pick(Request{Service: "s", Exclude: map[string]bool{map[string]string{"r0": "r1", "r1": "r0"}[id]: true}})
			load := &upstream.Load{Slots: 4, Slowdown: 1}
			took := 25 * time.Millisecond
			if id == "r0" {
				load.Slowdown, took = 4, 100*time.Millisecond
			}
			lease.Done(Answered, load, took)
		}
	}
	now = now.Add(2 * time.Second)
	chosen := map[string]int{}
	for range 200 {
		lease := tracker.Pick(Request{Service: "s"})
		chosen[lease.ID]++
		lease.Done(Inconclusive, nil, 0)
	}
	if chosen["r0"] < 50 {
		t.Errorf("choices %v, want both replicas about as often", chosen)
	}
}
