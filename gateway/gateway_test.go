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

// silentBackend is a backend that never responds to the calls for which it returns true.
type silentBackend func(call upstream.Call) bool

// Send implements upstream.Backend.
func (s silentBackend) Send(ctx context.Context, call upstream.Call) (*upstream.Response, error) {
	if s(call) {
		<-ctx.Done()
		return nil, fault.Wrap(ctx.Err(), fault.Unavailable, "no response", "", fault.WithOutcome(fault.Unknown))
	}
	return &upstream.Response{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("x")), Signed: true}, nil
}

// Events implements upstream.Backend.
func (silentBackend) Events(*upstream.Response) upstream.EventReader { return nil }

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
		Timeout: responseMargin + 10*time.Millisecond, MaxAttempts: 3,
	}
}

func countHealthy(t *placement.Tracker) int {
	return t.Explain(placement.Request{Service: testService, RequireFreeSlot: true}).Healthy
}

func TestShortRouteTimeoutDoesNotMakeReplicasUnhealthy(t *testing.T) {
	tracker := testTracker(3)
	g := New(silentBackend(func(call upstream.Call) bool { return call.Target == "/slow" }), tracker, noGuard{}, nil, nil)
	for n := range 9 {
		if err := g.Forward(t.Context(), httptest.NewRecorder(), testRoute("slow"), Request{ID: fmt.Sprint(n), Target: "/slow"}); !fault.Is(err, fault.Deadline) {
			t.Fatalf("error %v", err)
		}
		if err := g.Forward(t.Context(), httptest.NewRecorder(), testRoute("records"), Request{ID: fmt.Sprint(n), Target: "/x"}); err != nil {
			t.Fatal(err)
		}
	}
	if got := countHealthy(tracker); got < 2 {
		t.Errorf("%d of 3 replicas are healthy", got)
	}
}

func TestUnresponsiveReplicaBecomesUnhealthyAfterTimeouts(t *testing.T) {
	tracker := testTracker(3)
	g := New(silentBackend(func(call upstream.Call) bool { return call.Replica.ID == "r1" }), tracker, noGuard{}, nil, nil)
	for n := range 12 {
		_ = g.Forward(t.Context(), httptest.NewRecorder(), testRoute("records"), Request{ID: fmt.Sprint(n), Target: "/x", AffinityKey: fmt.Sprint(n)}) // some calls fail
	}
	if got := countHealthy(tracker); got != 2 {
		t.Errorf("%d of 3 replicas are healthy", got)
	}
}

// scriptedBackend is a backend that responds to the nth call with the result of the nth
// function.
type scriptedBackend []func() (*upstream.Response, error)

// Send implements upstream.Backend.
func (b *scriptedBackend) Send(context.Context, upstream.Call) (*upstream.Response, error) {
	next := (*b)[0]
	*b = (*b)[1:]
	return next()
}

// Events implements upstream.Backend.
func (*scriptedBackend) Events(*upstream.Response) upstream.EventReader { return nil }

// Guards against usage that is counted twice for a request that ran on two replicas, or not at all if the
// connection broke while it ran.
func TestRequestThatBeganToRunIsCountedOnce(t *testing.T) {
	answer := func() (*upstream.Response, error) {
		return &upstream.Response{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("x")), Signed: true}, nil
	}
	failed := func() (*upstream.Response, error) {
		return &upstream.Response{Status: http.StatusInternalServerError, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(""))}, nil
	}
	full := func() (*upstream.Response, error) {
		return &upstream.Response{Status: http.StatusServiceUnavailable, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("")), NotRun: true}, nil
	}
	brokenAtOnce := func() (*upstream.Response, error) {
		return nil, fault.Wrap(&upstream.BrokenError{Sends: 1, Cause: io.EOF}, fault.Unavailable, "broken", "")
	}
	broken := func() (*upstream.Response, error) {
		time.Sleep(minRunTime) // the replica was running the request
		return brokenAtOnce()
	}
	for name, row := range map[string]struct {
		calls scriptedBackend
		want  int
	}{
		"answered":                     {scriptedBackend{answer}, 1},
		"failed, then answered":        {scriptedBackend{failed, answer}, 1},
		"broken, then answered":        {scriptedBackend{broken, answer}, 1},
		"broken, then full":            {scriptedBackend{broken, full, full}, 1},
		"refused by the connection":    {scriptedBackend{brokenAtOnce, full, full}, 0},
		"refused, then answered":       {scriptedBackend{brokenAtOnce, answer}, 1},
		"full everywhere":              {scriptedBackend{full, full, full}, 0},
		"full, then answered by other": {scriptedBackend{full, answer}, 1},
	} {
		counted := 0
		g := New(&row.calls, testTracker(3), noGuard{}, nil, nil)
		g.OnRun(func(organisation string, _ time.Time) {
			if organisation == "north" {
				counted++
			}
		})
		route := testRoute("records")
		route.Timeout = time.Second
		_ = g.Forward(t.Context(), httptest.NewRecorder(), route, Request{ID: name, Target: "/x", Organisation: "north"}) // some fail
		if counted != row.want {
			t.Errorf("%s: counted %d times, want %d", name, counted, row.want)
		}
	}
}

// Guards against a false not-run error (found with soak seed 306): a replica runs the request
// and does not sign its response, and the next replica is full.
func TestErrorIsNotRunOnlyIfNoReplicaRanTheRequest(t *testing.T) {
	emptyResponse := func(modify func(resp *upstream.Response)) func() (*upstream.Response, error) {
		return func() (*upstream.Response, error) {
			resp := &upstream.Response{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(""))}
			modify(resp)
			return resp, nil
		}
	}
	unsigned := emptyResponse(func(*upstream.Response) {})
	full := emptyResponse(func(resp *upstream.Response) { resp.Status, resp.NotRun = http.StatusServiceUnavailable, true })
	unsent := func() (*upstream.Response, error) {
		return nil, fault.New(fault.Unavailable, "no connection", "", fault.WithOutcome(fault.NotRun))
	}
	table := []struct {
		name  string
		calls scriptedBackend
		want  bool // outcome is not run
	}{
		{"ran, then full", scriptedBackend{unsigned, full, full}, false},
		{"ran, then no connection", scriptedBackend{unsigned, unsent, unsent}, false},
		{"full, then ran", scriptedBackend{full, unsigned, full}, false},
		{"all full", scriptedBackend{full, full, full}, true},
		{"no connections", scriptedBackend{unsent, unsent, unsent}, true},
	}
	for _, row := range table {
		route := testRoute("records")
		route.Timeout = time.Second
		err := New(&row.calls, testTracker(3), noGuard{}, nil, nil).Forward(t.Context(), httptest.NewRecorder(), route, Request{ID: "r"})
		if got := fault.OutcomeOf(err) == fault.NotRun; got != row.want {
			t.Errorf("%s: not run %v, error %v", row.name, got, err)
		}
	}
}

// A replica that ends while it writes an event closes the connection as if a body without a length
// were complete. The caller must not get a complete response.
func TestStreamThatEndsWithinAnEventIsCutOff(t *testing.T) {
	for _, row := range []struct {
		name, body string
		complete   bool
	}{
		{"complete", "id: 1\ndata: x\n\nid: 2\ndata: y\n\n", true},
		{"complete, with CRLF", "id: 1\r\ndata: x\r\n\r\n", true},
		{"no event", "", true},
		{"within a line", "id: 1\ndata: x\n\nid: 2\nda", false},
		{"between two lines", "id: 1\ndata: x\n\nid: 2\n", false},
	} {
		for chunk := range 4 { // how the bytes are split over reads
			body := io.Reader(strings.NewReader(row.body))
			if chunk > 0 {
				body = &splitReader{text: row.body, size: chunk}
			}
			backend := scriptedBackend{func() (*upstream.Response, error) {
				return &upstream.Response{
					Status: http.StatusOK, Header: http.Header{"Content-Type": {"text/event-stream"}}, Body: io.NopCloser(body), Length: -1, Signed: true,
				}, nil
			}}
			route := testRoute("chat")
			route.Kind, route.Timeout = catalog.Streaming, time.Second
			if got := forwardCompletes(New(&backend, testTracker(1), noGuard{}, nil, nil), route); got != row.complete {
				t.Errorf("%s in reads of %d bytes: complete %t", row.name, chunk, got)
			}
		}
	}
}

// forwardCompletes reports whether the caller gets a complete response.
func forwardCompletes(g *Gateway, route *catalog.Route) (complete bool) {
	defer func() {
		if recover() == http.ErrAbortHandler {
			complete = false
		}
	}()
	return g.Forward(context.Background(), httptest.NewRecorder(), route, Request{ID: "r"}) == nil
}

// splitReader returns text in reads of size bytes.
type splitReader struct {
	text string
	size int
}

// Read implements io.Reader.
func (r *splitReader) Read(p []byte) (int, error) {
	if r.text == "" {
		return 0, io.EOF
	}
	n := copy(p, r.text[:min(r.size, len(r.text))])
	r.text = r.text[n:]
	return n, nil
}

// Guards against a caller that spends all its time on a dead kept-alive connection or a replica
// that hangs.
func TestIdempotentRequestIsRetriedAfterAttemptTimeout(t *testing.T) {
	table := []struct {
		name string
		kind catalog.RequestKind
		want bool // gets a response
	}{
		{"idempotent", catalog.Idempotent, true},
		{"non-idempotent", catalog.NonIdempotent, false},
	}
	for _, row := range table {
		tracker := testTracker(3)
		route := testRoute("records")
		route.Kind, route.Timeout = row.kind, time.Second
		callsUntilStuck := 0
		g := New(silentBackend(func(upstream.Call) bool { callsUntilStuck--; return callsUntilStuck == 0 }), tracker, noGuard{}, nil, nil)
		for n := range 30 { // makes the usual duration known
			if err := g.Forward(t.Context(), httptest.NewRecorder(), route, Request{ID: fmt.Sprint(n)}); err != nil {
				t.Fatal(err)
			}
		}
		callsUntilStuck = 1 // the next call gets no response
		started := time.Now()
		err := g.Forward(t.Context(), httptest.NewRecorder(), route, Request{ID: "late"})
		if duration := time.Since(started); row.want != (err == nil) || row.want && duration > 500*time.Millisecond {
			t.Errorf("%s: %v after %v", row.name, err, duration)
		}
	}
}

func TestAttemptTimeout(t *testing.T) {
	for _, row := range []struct{ usual, remaining, want time.Duration }{
		{0, time.Second, 0},
		{10 * time.Millisecond, time.Second, minAttemptTimeout},
		{50 * time.Millisecond, time.Second, 400 * time.Millisecond},
		{100 * time.Millisecond, time.Second, 0}, // too late for another attempt
		{10 * time.Millisecond, 300 * time.Millisecond, 0},
	} {
		if got := attemptTimeout(row.usual, row.remaining); got != row.want {
			t.Errorf("usual %v, remaining %v: %v, want %v", row.usual, row.remaining, got, row.want)
		}
	}
}

func TestRetryBudgetLimitsAttemptTimeouts(t *testing.T) {
	b := newRetryBudget()
	withdrawn := 0
	for range 1000 {
		b.deposit()
		if b.withdraw() {
			withdrawn++
		}
	}
	if limit := retryBudgetBurst + int(1000*retryBudgetRatio); withdrawn > limit {
		t.Errorf("%d of 1000 requests left their replica, want at most %d", withdrawn, limit)
	}
}

// Guards against a data race if a response arrives just as the attempt timeout fires: the timer
// must not read the set of tried replicas while the next attempt changes it. Only the race
// detector shows the fault.
func TestAttemptTimeoutDoesNotRaceWithNextAttempt(t *testing.T) {
	route := testRoute("records")
	route.Timeout = time.Second
	tracker := testTracker(3)
	for range 3 {
		p := &pendingRequest{
			Gateway: New(silentBackend(nil), tracker, noGuard{}, nil, nil), route: route,
			deadline: time.Now().Add(time.Second), tried: map[string]bool{},
		}
		tracker.Pick(p.placementRequest()).Done(placement.Answered, nil, time.Millisecond)
		_, _, stop := p.withAttemptTimeout(t.Context())
		for until := time.Now().Add(minAttemptTimeout + 20*time.Millisecond); time.Now().Before(until); time.Sleep(100 * time.Microsecond) {
			p.tried["r0"] = !p.tried["r0"]
		}
		stop()
	}
}

// noGuard allows all requests.
type noGuard struct{}

func (noGuard) IsIdle() bool                               { return true }
func (noGuard) Check(string, []catalog.Replica, int) error { return nil }
func (noGuard) IsSuspected(string) bool                    { return false }
func (noGuard) RecordBreak(string, catalog.Replica)        {}
func (noGuard) RecordResponse(string)                      {}
