package gateway

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/catalog"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/upstream"
)

// Replays which requests are sent to a replica while the daemon is stopping.
func TestFitsBeforeStop(t *testing.T) {
	for name, row := range map[string]struct {
		limit, usual time.Duration
		known        bool
		left         time.Duration
		repeatable   bool
		want         bool
	}{
		"usual time fits":                         {30 * time.Second, 2 * time.Second, true, 5 * time.Second, false, true},
		"usual time does not fit":                 {30 * time.Second, 6 * time.Second, true, 5 * time.Second, false, false},
		"usual time does not fit, repeatable":     {30 * time.Second, 6 * time.Second, true, 5 * time.Second, true, false},
		"its deadline comes first":                {4 * time.Second, 6 * time.Second, true, 5 * time.Second, false, true},
		"unknown, its deadline comes first":       {4 * time.Second, 0, false, 5 * time.Second, false, true},
		"unknown, may not be repeated":            {30 * time.Second, 0, false, 5 * time.Second, false, false},
		"unknown, repeatable":                     {30 * time.Second, 0, false, 5 * time.Second, true, true},
		"unknown, repeatable, time over":          {30 * time.Second, 0, false, 0, true, false},
		"usual time is almost zero, time is over": {30 * time.Second, time.Millisecond, true, -time.Second, true, false},
	} {
		if got := fitsBeforeStop(row.limit, row.usual, row.known, row.left, row.repeatable); got != row.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}

// The usual time follows the route's last requests and passes over a few slow ones.
func TestUsualTimeFollowsTheRoute(t *testing.T) {
	u := newUsualTimes()
	if _, known := u.get("r"); known {
		t.Error("the usual time of a route without requests is known")
	}
	u.record("r", 6*time.Second)
	if got, known := u.get("r"); !known || got != 6*time.Second {
		t.Errorf("after one request: %v, known: %v", got, known)
	}
	for n := range 3 * usualTimeSamples {
		d := 100 * time.Millisecond
		if n%20 == 0 {
			d = 10 * time.Second
		}
		u.record("r", d)
	}
	if got, _ := u.get("r"); got != 100*time.Millisecond {
		t.Errorf("with one slow request in twenty: %v", got)
	}
	for range usualTimeSamples {
		u.record("r", 3*time.Second)
	}
	if got, _ := u.get("r"); got != 3*time.Second {
		t.Errorf("after the route became slow: %v", got)
	}
}

// Guards against requests that are cut off without a response at the end of a planned stop: one that would
// not end before is refused as not run, and one that is at a replica gets an unknown outcome.
func TestRequestsDuringPlannedStop(t *testing.T) {
	sent := 0
	g := New(silentBackend(func(call upstream.Call) bool { sent++; return call.Target == "/slow" }), testTracker(3), noGuard{}, nil, nil)
	route := testRoute("bookings")
	route.Kind, route.Timeout = catalog.NonIdempotent, time.Minute
	forward := func(ctx context.Context, target string) error {
		return g.Forward(ctx, httptest.NewRecorder(), route, Request{ID: fmt.Sprint("r", sent), Target: target})
	}
	ctx, endRequests := context.WithCancelCause(t.Context())
	time.AfterFunc(50*time.Millisecond, func() { endRequests(ErrStopTimeOver) })
	if err := forward(ctx, "/slow"); fault.OutcomeOf(err) != fault.Unknown || !fault.Is(err, fault.Ambiguous) {
		t.Errorf("request at a replica when the time ends: %v", err)
	}
	if err := forward(ctx, "/slow"); fault.OutcomeOf(err) != fault.NotRun {
		t.Errorf("request after the end: %v", err)
	}
	g.StopBy(time.Now().Add(10 * time.Second))
	before := sent
	if err := forward(t.Context(), "/x"); fault.OutcomeOf(err) != fault.NotRun || fault.RetryAfterOf(err) <= 0 || sent != before {
		t.Errorf("request whose usual time is unknown: sent %d times, %v", sent-before, err)
	}
	g.usual.record(route.Name, time.Second)
	if err := forward(t.Context(), "/x"); err != nil {
		t.Errorf("request that fits: %v", err)
	}
	for range usualTimeSamples {
		g.usual.record(route.Name, 11*time.Second)
	}
	before = sent
	if err := forward(t.Context(), "/x"); fault.OutcomeOf(err) != fault.NotRun || sent != before {
		t.Errorf("request that does not fit: sent %d times, %v", sent-before, err)
	}
}
