package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/catalog"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/placement"
	"github.com/hornbeamtide/hornbeamtide/upstream"
)

// silent is a backend in which some replicas never answer.
type silent func(call upstream.Call) bool

// Send implements upstream.Backend.
func (s silent) Send(ctx context.Context, call upstream.Call) (*upstream.Answer, error) {
	if s(call) {
		<-ctx.Done()
		return nil, fault.Wrap(ctx.Err(), fault.Unavailable, "no answer", "", fault.WithOutcome(fault.Unknown))
	}
	return &upstream.Answer{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("x")), Signed: true}, nil
}

// Events implements upstream.Backend.
func (silent) Events(*upstream.Answer) upstream.Events { return nil }

const testService = "ledgerdesk"

func testTracker(replicas int) *placement.Tracker {
	t := placement.NewTracker(nil)
	for n := range replicas {
		t.Set(catalog.Replica{ID: fmt.Sprint("r", n), Service: testService, State: catalog.Ready, Slots: 8})
	}
	return t
}

func testRoute(name string) *catalog.Route {
	return &catalog.Route{
		Name: name, Kind: catalog.Idempotent, Split: []catalog.Share{{Service: testService, Weight: 1}},
		Timeout: answerMargin + 10*time.Millisecond, MaxAttempts: 3,
	}
}

func trusted(t *placement.Tracker) int {
	return t.Survey(placement.Request{Service: testService, MustFit: true}).Trusted
}

func TestRouteWithTooLittleTimeTakesNoTrustFromReplicas(t *testing.T) {
	tracker := testTracker(3)
	g := New(silent(func(call upstream.Call) bool { return call.Target == "/slow" }), tracker, nil, nil)
	for n := range 9 {
		if err := g.Forward(t.Context(), httptest.NewRecorder(), testRoute("slow"), Request{ID: fmt.Sprint(n), Target: "/slow"}); !fault.Is(err, fault.Deadline) {
			t.Fatalf("error %v", err)
		}
		if err := g.Forward(t.Context(), httptest.NewRecorder(), testRoute("records"), Request{ID: fmt.Sprint(n), Target: "/x"}); err != nil {
			t.Fatal(err)
		}
	}
	if got := trusted(tracker); got < 2 {
		t.Errorf("%d of 3 replicas are trusted", got)
	}
}

func TestSilentReplicaLosesTrustThoughItsRequestsOnlyRanOutOfTime(t *testing.T) {
	tracker := testTracker(3)
	g := New(silent(func(call upstream.Call) bool { return call.Replica.ID == "r1" }), tracker, nil, nil)
	for n := range 12 {
		_ = g.Forward(t.Context(), httptest.NewRecorder(), testRoute("records"), Request{ID: fmt.Sprint(n), Target: "/x", Affinity: fmt.Sprint(n)}) // some fail
	}
	if got := trusted(tracker); got != 2 {
		t.Errorf("%d of 3 replicas are trusted", got)
	}
}

// answers is a backend whose nth call is answered by the nth function.
type answers []func() (*upstream.Answer, error)

// Send implements upstream.Backend.
func (a *answers) Send(context.Context, upstream.Call) (*upstream.Answer, error) {
	next := (*a)[0]
	*a = (*a)[1:]
	return next()
}

// Events implements upstream.Backend.
func (*answers) Events(*upstream.Answer) upstream.Events { return nil }

// Soak seed 306: a replica ran the request and did not sign its answer, the next one was
// full; the caller was told that nothing ran.
func TestRefusalAfterAnAttemptThatRanIsNoPromise(t *testing.T) {
	empty := func(change func(a *upstream.Answer)) func() (*upstream.Answer, error) {
		return func() (*upstream.Answer, error) {
			a := &upstream.Answer{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(""))}
			change(a)
			return a, nil
		}
	}
	unsigned := empty(func(*upstream.Answer) {})
	full := empty(func(a *upstream.Answer) { a.Status, a.NotRun = http.StatusServiceUnavailable, true })
	unsent := func() (*upstream.Answer, error) {
		return nil, fault.New(fault.Unavailable, "no connection", "", fault.WithOutcome(fault.NotRun))
	}
	table := []struct {
		name  string
		calls answers
		want  bool // nothing ran
	}{
		{"ran, then full", answers{unsigned, full, full}, false},
		{"ran, then no connection", answers{unsigned, unsent, unsent}, false},
		{"full, then ran", answers{full, unsigned, full}, false},
		{"all full", answers{full, full, full}, true},
		{"no connections", answers{unsent, unsent, unsent}, true},
	}
	for _, row := range table {
		route := testRoute("records")
		route.Timeout = time.Second
		err := New(&row.calls, testTracker(3), nil, nil).Forward(t.Context(), httptest.NewRecorder(), route, Request{ID: "r"})
		if got := fault.OutcomeOf(err) == fault.NotRun; got != row.want {
			t.Errorf("%s: not run %v, error %v", row.name, got, err)
		}
	}
}

// A kept connection that carries nothing more, or a replica that stands still, costs a caller
// a part of its time, not all of it.
func TestRequestLeavesASilentReplica(t *testing.T) {
	table := []struct {
		name string
		kind catalog.RequestKind
		want bool // answered
	}{
		{"idempotent", catalog.Idempotent, true},
		{"non-idempotent", catalog.NonIdempotent, false},
	}
	for _, row := range table {
		tracker := testTracker(3)
		route := testRoute("records")
		route.Kind, route.Timeout = row.kind, time.Second
		stuck := 0
		g := New(silent(func(upstream.Call) bool { stuck--; return stuck == 0 }), tracker, nil, nil)
		for n := range 30 { // the usual time becomes known
			if err := g.Forward(t.Context(), httptest.NewRecorder(), route, Request{ID: fmt.Sprint(n)}); err != nil {
				t.Fatal(err)
			}
		}
		stuck = 1 // the next call is not answered
		begun := time.Now()
		err := g.Forward(t.Context(), httptest.NewRecorder(), route, Request{ID: "late"})
		if took := time.Since(begun); row.want != (err == nil) || row.want && took > 500*time.Millisecond {
			t.Errorf("%s: %v after %v", row.name, err, took)
		}
	}
}

func TestPatienceTable(t *testing.T) {
	for _, row := range []struct{ usual, left, want time.Duration }{
		{0, time.Second, 0},
		{10 * time.Millisecond, time.Second, leastPatience},
		{50 * time.Millisecond, time.Second, 400 * time.Millisecond},
		{100 * time.Millisecond, time.Second, 0}, // too late for another try
		{10 * time.Millisecond, 300 * time.Millisecond, 0},
	} {
		if got := patienceFor(row.usual, row.left); got != row.want {
			t.Errorf("usual %v, left %v: %v, want %v", row.usual, row.left, got, row.want)
		}
	}
}

func TestFewRequestsLeaveTheirReplica(t *testing.T) {
	b := newBudget()
	left := 0
	for range 1000 {
		b.earn()
		if b.spend() {
			left++
		}
	}
	if most := patienceBurst + int(1000*patienceBudget); left > most {
		t.Errorf("%d of 1000 requests left their replica, want %d at the most", left, most)
	}
}

// An answer that comes in the moment in which its replica would be left: the look at the other
// replicas must not meet the choice of the next one. For the race detector.
func TestPatienceBesideTheNextAttempt(t *testing.T) {
	route := testRoute("records")
	route.Timeout = time.Second
	tracker := testTracker(3)
	for range 3 {
		a := &attempt{
			Gateway: New(silent(nil), tracker, nil, nil), route: route,
			deadline: time.Now().Add(time.Second), tried: map[string]bool{},
		}
		tracker.Pick(a.needs()).Done(placement.Answered, nil, time.Millisecond)
		_, _, end := a.watch(t.Context())
		for until := time.Now().Add(leastPatience + 20*time.Millisecond); time.Now().Before(until); time.Sleep(100 * time.Microsecond) {
			a.tried["r0"] = !a.tried["r0"]
		}
		end()
	}
}
