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
