package dispatch

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/hornbeamtide/hornbeamtide/alarm"
	"github.com/hornbeamtide/hornbeamtide/backend"
	"github.com/hornbeamtide/hornbeamtide/claims"
	"github.com/hornbeamtide/hornbeamtide/fault"
)

func TestCompletionIsForwardedUnchanged(t *testing.T) {
	env := newTestEnv(t, "e1")
	env.engine = func(_ string, r backend.GenerateRequest) (backend.Stream, error) {
		return completeStream(r.RequestID), nil
	}
	rec, _ := env.send("POST", "draftpool/generate", generateRequest, "X-Request-Id", "r1")
	want := `data: {"first":0,"tokens":2,"text":"ab","version":7}

data: {"first":2,"tokens":1,"text":"c","version":7,"end":true,"reason":"stop"}

`
	if rec.Code != 200 || rec.Body.String() != want {
		t.Errorf("status %d body %q", rec.Code, rec.Body.String())
	}
	if rec.Header().Get("X-Request-Id") != "r1" || rec.Header().Get("X-Replica") != "e1" || rec.Header().Get("X-Attempts") != "1" {
		t.Errorf("headers %v", rec.Header())
	}
}

func TestSampleReportsItsSegments(t *testing.T) {
	env := newTestEnv(t, "e1")
	env.engine = func(_ string, r backend.GenerateRequest) (backend.Stream, error) {
		return &fakeStream{chunks: []backend.Chunk{
			{RequestID: r.RequestID, FirstToken: 0, Tokens: 2, Text: "ab", Version: 7},
			{RequestID: r.RequestID, FirstToken: 2, Tokens: 3, Text: "cde", Version: 8},
			{RequestID: r.RequestID, FirstToken: 5, Tokens: 1, Text: "f", Version: 8, End: true},
		}}, nil
	}
	var versions []int64
	completion, err := env.manager.Generate(t.Context(), SampleRequest{
		Service: "draftpool", RequestID: "s1", MaxTokens: 6,
		OnVersion: func(v int64) error { versions = append(versions, v); return nil },
	})
	if err != nil {
		t.Fatal(err)
	}
	if completion.Text != "abcdef" || completion.Tokens != 6 || len(completion.Segments) != 2 || completion.Replica != "e1" {
		t.Errorf("completion %+v", completion)
	}
	if completion.Segments[1] != (backend.Segment{Version: 8, FirstToken: 2, Tokens: 4}) || len(versions) != 2 {
		t.Errorf("segments %+v, versions %v", completion.Segments, versions)
	}
}

func attemptError(kind fault.Kind, outcome fault.Outcome) error {
	return fault.New(kind, "attempt failed", "retry", fault.WithOutcome(outcome))
}

// plainResponse returns a plain service's response to r.
func plainResponse(r *http.Request, status int, body string) *http.Response {
	rec := httptest.NewRecorder()
	rec.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	rec.WriteHeader(status)
	_, _ = rec.WriteString(body)
	return rec.Result()
}

func bodyOf(t *testing.T, rec *httptest.ResponseRecorder) (body fault.Body) {
	t.Helper()
	if err := json.Unmarshal(rec.Body.Bytes(), &body); err != nil {
		t.Fatalf("status %d, body %q", rec.Code, rec.Body.String())
	}
	return body
}

// Guards against an outcome that contradicts what the servers may have run, and against
// retries that could run a non-idempotent request twice.
func TestOutcomesMatchWhatWasSent(t *testing.T) {
	idempotent := []string{}
	unkeyed := []string{"X-Idempotency", "non-idempotent"}
	keyed := []string{"X-Idempotency", "non-idempotent", "X-Request-Key", "k1"}
	connectionRefused := attemptError(fault.Unavailable, fault.NotRun)
	brokenAfterFirstByte := attemptError(fault.Unavailable, fault.Unknown)
	notStarted := attemptError(fault.Overloaded, fault.NotRun)
	table := []struct {
		name    string
		prepare func(env *testEnv)
		errs    []error // of the first attempts; later ones succeed
		header  []string
		outcome fault.Outcome // "" for success
		sent    int
	}{
		{"refused by admission", func(env *testEnv) { env.admit = func() error { return notStarted } }, nil, idempotent, fault.NotRun, 0},
		{"isolated daemon", func(env *testEnv) { env.isolated = true }, nil, idempotent, fault.NotRun, 0},
		{"claim store unavailable", func(env *testEnv) { env.claim = func(claims.Claim) error { return connectionRefused } }, nil, keyed, fault.NotRun, 0},
		{"key already claimed", func(env *testEnv) {
			env.claim = func(claims.Claim) error { return attemptError(fault.Claimed, fault.Unknown) }
		}, nil, keyed, fault.Unknown, 0},
		{"no connection", nil, []error{connectionRefused}, idempotent, "", 2},
		{"no connection, unkeyed", nil, []error{connectionRefused}, unkeyed, fault.NotRun, 1},
		{"no connection, keyed", nil, []error{connectionRefused}, keyed, "", 2},
		{"broken after the first byte", nil, []error{brokenAfterFirstByte}, idempotent, "", 2},
		{"broken after the first byte, unkeyed", nil, []error{brokenAfterFirstByte}, unkeyed, fault.Unknown, 1},
		{"broken after the first byte, keyed", nil, []error{brokenAfterFirstByte}, keyed, fault.Unknown, 1},
		{"overloaded before the start", nil, []error{notStarted}, idempotent, "", 2},
		{"overloaded before the start, unkeyed", nil, []error{notStarted}, unkeyed, fault.NotRun, 1},
		{"overloaded everywhere", nil, []error{notStarted, notStarted, notStarted}, idempotent, fault.NotRun, 3},
		{"overloaded after the start", nil, []error{attemptError(fault.Overloaded, fault.Unknown)}, unkeyed, fault.Unknown, 1},
		{"unknown once, then refused", nil, []error{brokenAfterFirstByte, notStarted, notStarted}, idempotent, fault.Unknown, 3},
		{"failed by the server", nil, []error{attemptError(fault.Invalid, fault.Failed)}, idempotent, fault.Failed, 1},
	}
	for _, row := range table {
		env := newTestEnv(t, "s1", "s2", "s3")
		if row.prepare != nil {
			row.prepare(env)
		}
		errs := row.errs
		env.plain = func(_ string, r *http.Request) (*http.Response, error) {
			if len(errs) > 0 {
				err := errs[0]
				errs = errs[1:]
				return nil, err
			}
			return plainResponse(r, 200, "done"), nil
		}
		rec, _ := env.send("POST", "ledgerdesk/lookup", "x", row.header...)
		if len(env.sent) != row.sent {
			t.Errorf("%s: sent %d times, want %d", row.name, len(env.sent), row.sent)
		}
		if row.outcome == "" {
			if rec.Code != 200 || rec.Body.String() != "done" {
				t.Errorf("%s: %d %s", row.name, rec.Code, rec.Body)
			}
			continue
		}
		if body := bodyOf(t, rec); body.Outcome != row.outcome || body.Remedy == "" {
			t.Errorf("%s: %+v, want outcome %s and a remedy", row.name, body, row.outcome)
		}
	}
}

// A path that the document lists as non-idempotent must be sent once, in any spelling and
// whatever the caller's headers claim.
func TestDocumentOverridesIdempotentHeader(t *testing.T) {
	for _, path := range []string{"records", "%72ecords", "records/7", "/records", "x/../records", "./records"} {
		env := newTestEnv(t, "s1", "s2")
		env.plain = func(_ string, r *http.Request) (*http.Response, error) {
			if r.Body == nil || r.GetBody != nil || r.Header.Get("Idempotency-Key") != "" {
				t.Errorf("%s: an HTTP transport may resend the request", path)
			}
			return nil, attemptError(fault.Unavailable, fault.Unknown)
		}
		env.send("POST", "ledgerdesk/"+path, "", "X-Idempotency", "idempotent", "Idempotency-Key", "k")
		if len(env.sent) != 1 {
			t.Errorf("%s: sent %d times", path, len(env.sent))
		}
	}
}

func TestKeyIsClaimedBeforeDispatch(t *testing.T) {
	env := newTestEnv(t, "s1", "s2", "s3")
	env.plain = func(_ string, r *http.Request) (*http.Response, error) {
		if len(env.claims) == 0 {
			t.Error("request sent without a claim")
		}
		return nil, attemptError(fault.Overloaded, fault.NotRun)
	}
	rec, _ := env.send("POST", "ledgerdesk/records", "x", "X-Request-Key", "k1")
	if body := bodyOf(t, rec); body.Outcome != fault.NotRun || !strings.Contains(body.Remedy, "new key") {
		t.Errorf("body %+v", body)
	}
	env.send("POST", "ledgerdesk/records", "y", "X-Request-Key", "k1")
	if len(env.claims) != 2 || env.claims[0].Fingerprint == env.claims[1].Fingerprint {
		t.Errorf("claims %+v", env.claims)
	}
}

func TestPartialStreamsAreNeverForwardedAsComplete(t *testing.T) {
	chunk := func(id string, first, tokens int, end bool) backend.Chunk {
		return backend.Chunk{RequestID: id, FirstToken: first, Tokens: tokens, Text: "x", Version: 7, End: end}
	}
	table := []struct {
		name string
		rest func(id string) *fakeStream // what follows a valid chunk of two tokens
	}{
		{"truncated", func(string) *fakeStream { return &fakeStream{err: attemptError(fault.Truncated, fault.Unknown)} }},
		{"end marker missing", func(string) *fakeStream { return &fakeStream{} }},
		{"chunk of another request", func(string) *fakeStream {
			return &fakeStream{chunks: []backend.Chunk{chunk("other", 2, 1, true)}}
		}},
		{"chunk of an earlier attempt", func(id string) *fakeStream {
			return &fakeStream{chunks: []backend.Chunk{chunk(strings.TrimSuffix(id, "1")+"0", 2, 1, true)}}
		}},
		{"tokens lost", func(id string) *fakeStream {
			return &fakeStream{chunks: []backend.Chunk{chunk(id, 3, 1, true)}}
		}},
		{"tokens repeated", func(id string) *fakeStream {
			return &fakeStream{chunks: []backend.Chunk{chunk(id, 1, 1, true)}}
		}},
		{"engine unavailable", func(string) *fakeStream { return &fakeStream{err: attemptError(fault.Unavailable, fault.NotRun)} }},
	}
	for _, row := range table {
		for _, forwardedFirst := range []bool{true, false} { // whether a valid chunk was forwarded before
			env := newTestEnv(t, "e1", "e2")
			env.engine = func(address string, r backend.GenerateRequest) (backend.Stream, error) {
				if address != "e1:1" {
					return completeStream(r.RequestID), nil
				}
				stream := row.rest(r.RequestID)
				if forwardedFirst {
					stream.chunks = append([]backend.Chunk{chunk(r.RequestID, 0, 2, false)}, stream.chunks...)
				}
				return stream, nil
			}
			rec, _ := env.send("POST", "draftpool/generate", generateRequest)
			body := rec.Body.String()
			switch {
			case !forwardedFirst && row.name == "tokens repeated":
				continue // without the valid chunk, tokens are missing, not repeated
			case !forwardedFirst && (!strings.Contains(body, `"text":"c"`) || rec.Header().Get("X-Attempts") != "2"):
				t.Errorf("%s before the first byte: not retried: %s", row.name, body)
			case forwardedFirst && (strings.Contains(body, `"end":true`) || !strings.Contains(body, "event: error") || !strings.Contains(body, `"outcome":"unknown"`)):
				t.Errorf("%s: %s", row.name, body)
			case forwardedFirst && env.broken[alarm.CompleteResponses] != 1:
				t.Errorf("%s: broken promise not recorded", row.name)
			}
		}
	}
}

func TestStartedStreamIsNeverReportedAsNotRun(t *testing.T) {
	env := newTestEnv(t, "e1", "e2")
	env.engine = func(string, backend.GenerateRequest) (backend.Stream, error) {
		return &fakeStream{err: attemptError(fault.Unavailable, fault.NotRun)}, nil
	}
	rec, _ := env.send("POST", "draftpool/generate", generateRequest, "X-Idempotency", "non-idempotent")
	if body := bodyOf(t, rec); body.Outcome != fault.Unknown || len(env.sent) != 1 {
		t.Errorf("%+v, sent %d times", body, len(env.sent))
	}
}

func TestPartialPlainResponsesAreNeverForwardedAsComplete(t *testing.T) {
	longBody := strings.Repeat("x", maxBufferedResponse+10)
	table := []struct {
		name    string
		change  func(response *http.Response)
		body    string
		aborted bool
	}{
		{"response to another request", func(response *http.Response) { response.Header.Set("X-Request-Id", "other") }, "done", false},
		{"truncated", func(response *http.Response) { response.Body = http.MaxBytesReader(nil, response.Body, 2) }, "done", false},
		{"truncated, long", func(response *http.Response) {
			response.Body = http.MaxBytesReader(nil, response.Body, maxBufferedResponse+5)
		}, longBody, true},
	}
	for _, row := range table {
		env := newTestEnv(t, "s1")
		env.plain = func(_ string, r *http.Request) (*http.Response, error) {
			response := plainResponse(r, 200, row.body)
			row.change(response)
			return response, nil
		}
		rec, aborted := env.send("POST", "ledgerdesk/records", "x")
		if aborted != row.aborted {
			t.Errorf("%s: aborted %v", row.name, aborted)
		}
		if !row.aborted && bodyOf(t, rec).Outcome != fault.Unknown {
			t.Errorf("%s: %s", row.name, rec.Body)
		}
	}
}

func TestCallerCancellationClosesTheStream(t *testing.T) {
	env := newTestEnv(t, "e1", "e2")
	stream := &fakeStream{err: context.Canceled}
	env.engine = func(_ string, r backend.GenerateRequest) (backend.Stream, error) {
		stream.chunks = []backend.Chunk{{RequestID: r.RequestID, Tokens: 1, Text: "a", Version: 7}}
		return stream, nil
	}
	env.send("POST", "draftpool/generate", generateRequest)
	if !stream.closed || len(env.sent) != 1 || env.broken[alarm.CompleteResponses] != 0 {
		t.Errorf("closed %v, sent %d, broken %v", stream.closed, len(env.sent), env.broken)
	}
}

func TestSamplesWithUnconfirmedVersionFail(t *testing.T) {
	errStale := attemptError(fault.Stale, fault.Unknown)
	table := []struct {
		name      string
		version   int64
		status    backend.EngineStatus
		onVersion error
		kind      fault.Kind
	}{
		{"no version", 0, backend.EngineStatus{Version: 8, Complete: true}, nil, fault.Untagged},
		{"partial swap", 7, backend.EngineStatus{Version: 8}, nil, fault.Untagged},
		{"engine reports an older version", 9, backend.EngineStatus{Version: 8, Complete: true}, nil, fault.Untagged},
		{"staleness bound exceeded", 7, backend.EngineStatus{Version: 8, Complete: true}, errStale, fault.Stale},
		{"confirmed", 8, backend.EngineStatus{Version: 8, Complete: true}, nil, ""},
	}
	for _, row := range table {
		env := newTestEnv(t, "e1")
		env.status = row.status
		stream := completeStream("s1")
		for i := range stream.chunks {
			stream.chunks[i].Version = row.version
		}
		env.engine = func(string, backend.GenerateRequest) (backend.Stream, error) { return stream, nil }
		_, err := env.manager.Generate(t.Context(), SampleRequest{
			Service: "draftpool", RequestID: "s1", MaxTokens: 3, OnVersion: func(int64) error { return row.onVersion },
		})
		if fault.KindOf(err) != row.kind || !stream.closed {
			t.Errorf("%s: %v, closed %v", row.name, err, stream.closed)
		}
	}
}

func TestSampleIsAbortedOnSlowReplica(t *testing.T) {
	for _, row := range []struct {
		maxTokens int
		moved     bool
	}{{100, true}, {2, false}} { // the first chunk has two tokens
		env := newTestEnv(t, "e1")
		env.slow = true
		stream := completeStream("s1")
		env.engine = func(string, backend.GenerateRequest) (backend.Stream, error) { return stream, nil }
		_, err := env.manager.Generate(t.Context(), SampleRequest{Service: "draftpool", RequestID: "s1", MaxTokens: row.maxTokens})
		if fault.Is(err, fault.Overloaded) != row.moved || !stream.closed {
			t.Errorf("max_tokens %d: %v, closed %v", row.maxTokens, err, stream.closed)
		}
	}
}

func TestRetriesStayWithinBudget(t *testing.T) {
	property := func(requests int) bool {
		env := newTestEnv(t, "s1", "s2", "s3")
		env.plain = func(string, *http.Request) (*http.Response, error) {
			return nil, attemptError(fault.Overloaded, fault.NotRun)
		}
		for range requests {
			env.send("GET", "ledgerdesk/lookup", "")
		}
		return float64(len(env.sent)) <= 1.1*float64(requests)+retryBurst
	}
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 20
	properties := gopter.NewProperties(parameters)
	properties.Property("at most the budget", prop.ForAll(property, gen.IntRange(1, 600)))
	properties.TestingRun(t)
}

func TestWorkSentToLeavingServerAfterBoundIsRecorded(t *testing.T) {
	env := newTestEnv(t, "s1")
	clock := time.Unix(1000, 0)
	env.manager.now = func() time.Time { return clock }
	env.plain = func(string, *http.Request) (*http.Response, error) {
		return nil, attemptError(fault.Draining, fault.NotRun)
	}
	for _, wait := range []time.Duration{0, plainDocument().Servers.LeaveBound, time.Millisecond} {
		clock = clock.Add(wait)
		env.send("GET", "ledgerdesk/lookup", "")
	}
	if env.kept[alarm.LeavingServers] != 2 || env.broken[alarm.LeavingServers] != 1 {
		t.Errorf("kept %v, broken %v", env.kept, env.broken)
	}
}

// FuzzHeaders sends arbitrary header values: every request must be refused with outcome
// fault.NotRun and a remedy, or accepted with values in range.
func FuzzHeaders(f *testing.F) {
	f.Add("r1", "1000", "non-idempotent", "key-1", "team", "interactive", "prefix")
	f.Add("", "-1", "maybe", strings.Repeat("k", 300), "t\x00", "urgent", "\xff")
	f.Add("", "99999999999999999999", "", "\u00fc", "", "", "")
	f.Fuzz(func(t *testing.T, id, deadline, idempotency, key, team, priority, prefix string) {
		r := httptest.NewRequest("POST", "/v1/services/ledgerdesk/lookup", nil)
		names := []string{headerRequestID, headerDeadline, headerIdempotency, headerRequestKey, headerTeam, headerPriority, headerPrefixKey}
		for i, value := range []string{id, deadline, idempotency, key, team, priority, prefix} {
			r.Header[names[i]] = []string{value}
		}
		c, err := newCall(r, plainDocument(), "/lookup")
		if err != nil {
			if !fault.Is(err, fault.Invalid) || fault.OutcomeOf(err) != fault.NotRun || fault.RemedyOf(err) == "" {
				t.Errorf("refusal %v", err)
			}
			return
		}
		if c.deadline <= 0 || c.deadline > maxDeadline || c.requestID == "" || len(c.key) > maxHeaderChars {
			t.Errorf("accepted %+v", c)
		}
		if idempotency == "non-idempotent" && c.idempotent {
			t.Error("non-idempotent request accepted as idempotent")
		}
	})
}
