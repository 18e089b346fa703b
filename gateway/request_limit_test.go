package gateway

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/placement"
	"github.com/hornbeamtide/hornbeamtide/upstream"
)

func deferAll(tracker *placement.Tracker, wait time.Duration) {
	for _, r := range tracker.Replicas(testService) {
		tracker.Defer(r.ID, wait, false)
	}
}

func TestShouldAwaitLimit(t *testing.T) {
	const target = 200 * time.Millisecond
	table := []struct {
		elapsed, wait time.Duration
		want          bool
	}{
		{0, 20 * time.Millisecond, true},
		{80 * time.Millisecond, 20 * time.Millisecond, true},
		{90 * time.Millisecond, 20 * time.Millisecond, false},
		{0, time.Second, false},
	}
	for _, row := range table {
		if got := shouldAwaitLimit(row.elapsed, row.wait, target); got != row.want {
			t.Errorf("after %v with a wait of %v: %t", row.elapsed, row.wait, got)
		}
	}
	if shouldAwaitLimit(0, time.Millisecond, 0) {
		t.Error("a route without a target latency waits")
	}
}

// Guards against a request that waits for its deadline although it is known that no replica will
// take it, and against one that is told to come back before its turn.
func TestRequestOverLimitsIsRefusedAtOnceWithTimeOfItsTurn(t *testing.T) {
	tracker := testTracker(3)
	g := New(silentBackend(func(upstream.Call) bool { return false }), tracker, noGuard{}, nil, nil)
	deferAll(tracker, 2*time.Second)
	route := testRoute("r")
	route.Timeout, route.TargetLatency = 5*time.Second, 200*time.Millisecond
	start := time.Now()
	err := g.Forward(t.Context(), httptest.NewRecorder(), route, Request{ID: "a"})
	if fault.OutcomeOf(err) != fault.NotRun || time.Since(start) > time.Second {
		t.Errorf("after %v: %v, want a refusal at once", time.Since(start), err)
	}
	if retryAfter := fault.RetryAfterOf(err); retryAfter < 1900*time.Millisecond || retryAfter > 2*time.Second {
		t.Errorf("retry after %v, want the time of the turn, 2 s", retryAfter)
	}
}

func TestRequestWaitsForTurnThatIsNear(t *testing.T) {
	tracker := testTracker(3)
	g := New(silentBackend(func(upstream.Call) bool { return false }), tracker, noGuard{}, nil, nil)
	deferAll(tracker, 30*time.Millisecond)
	route := testRoute("r")
	route.Timeout, route.TargetLatency = 5*time.Second, 300*time.Millisecond
	if err := g.Forward(t.Context(), httptest.NewRecorder(), route, Request{ID: "a"}); err != nil {
		t.Error(err)
	}
}
