package dispatch

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/admission"
	"github.com/hornbeamtide/hornbeamtide/alarm"
	"github.com/hornbeamtide/hornbeamtide/backend"
	"github.com/hornbeamtide/hornbeamtide/claims"
	"github.com/hornbeamtide/hornbeamtide/document"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/fleet"
	"github.com/hornbeamtide/hornbeamtide/routing"
)

// testEnv is a Manager and the fake of all its dependencies.
type testEnv struct {
	manager  *Manager
	servers  []fleet.Replica
	isolated bool
	slow     bool // of all replicas
	admit    func() error
	claims   []claims.Claim
	claim    func(claims.Claim) error
	status   backend.EngineStatus
	engine   func(address string, r backend.GenerateRequest) (backend.Stream, error)
	plain    func(address string, r *http.Request) (*http.Response, error)

	mu     sync.Mutex
	sent   []string // replica address of each attempt
	kept   map[alarm.Promise]int
	broken map[alarm.Promise]int
	done   []error // results reported to routing
}

func newTestEnv(t *testing.T, servers ...string) *testEnv {
	t.Helper()
	env := &testEnv{status: backend.EngineStatus{Version: 8, Complete: true}, kept: map[alarm.Promise]int{}, broken: map[alarm.Promise]int{}}
	for _, id := range servers {
		env.servers = append(env.servers, fleet.Replica{ID: id, Pool: "pool", Address: id + ":1"})
	}
	env.manager = NewManager(Dependencies{View: env, Documents: env, Picker: env, Admitter: env, Claimer: env, Backends: env, Recorder: env})
	return env
}

func modelDocument() *document.Document {
	return &document.Document{
		Service: "draftpool", Team: "captions", Kind: document.KindModel, Pool: "pool",
		Requests: document.Requests{Deadline: 5 * time.Second},
		Retry:    document.Retry{Attempts: 3, Budget: 10},
	}
}

func plainDocument() *document.Document {
	d := modelDocument()
	d.Service, d.Kind = "ledgerdesk", document.KindPlain
	d.Servers.LeaveBound = time.Second
	d.Requests.NonIdempotent = []document.Match{{Method: "POST", Path: "/records"}}
	return d
}

func (env *testEnv) Document(service string) (document.VersionedDocument, bool) {
	for _, d := range []*document.Document{modelDocument(), plainDocument()} {
		if d.Service == service {
			return document.VersionedDocument{Document: d, Version: 1}, true
		}
	}
	return document.VersionedDocument{}, false
}
func (env *testEnv) All() []document.VersionedDocument { return nil }
func (env *testEnv) Changed() <-chan struct{}          { return nil }
func (env *testEnv) Self() fleet.Member                { return fleet.Member{ID: "d1"} }
func (env *testEnv) Members() []fleet.Member           { return nil }
func (env *testEnv) Owners(string, int) []fleet.Member { return nil }
func (env *testEnv) Replicas(string) []fleet.Replica   { return env.servers }
func (env *testEnv) Subset(string) []fleet.Replica     { return env.servers }
func (env *testEnv) Isolated() (time.Time, bool)       { return time.Time{}, env.isolated }

func (env *testEnv) Pick(_ context.Context, r routing.Request) (routing.Lease, error) {
next:
	for _, server := range env.servers {
		for _, id := range r.Exclude {
			if id == server.ID {
				continue next
			}
		}
		return routing.Lease{Replica: server, Done: env.recordDone, Slow: func() bool { return env.slow }}, nil
	}
	return routing.Lease{}, fault.New(fault.Unavailable, "no server", "retry", fault.WithOutcome(fault.NotRun))
}

func (env *testEnv) recordDone(err error, _ time.Duration) {
	env.mu.Lock()
	env.done = append(env.done, err)
	env.mu.Unlock()
}

func (env *testEnv) Admit(context.Context, admission.Request) (func(), error) {
	if env.admit != nil {
		return nil, env.admit()
	}
	return func() {}, nil
}

func (env *testEnv) Claim(_ context.Context, c claims.Claim) error {
	env.claims = append(env.claims, c)
	if env.claim != nil {
		return env.claim(c)
	}
	return nil
}

func (env *testEnv) Engine(address string) backend.Engine      { return fakeServer{env, address} }
func (env *testEnv) Plain(address string) backend.PlainService { return fakeServer{env, address} }

func (env *testEnv) Kept(p alarm.Promise, _ string) {
	env.mu.Lock()
	env.kept[p]++
	env.mu.Unlock()
}

func (env *testEnv) Broken(p alarm.Promise, _ alarm.Evidence) {
	env.mu.Lock()
	env.broken[p]++
	env.mu.Unlock()
}

type fakeServer struct {
	*testEnv
	address string
}

func (s fakeServer) recordSent() {
	s.mu.Lock()
	s.sent = append(s.sent, s.address)
	s.mu.Unlock()
}

func (s fakeServer) Generate(_ context.Context, r backend.GenerateRequest) (backend.Stream, error) {
	s.recordSent()
	return s.engine(s.address, r)
}

func (s fakeServer) Do(_ context.Context, r *http.Request) (*http.Response, error) {
	s.recordSent()
	return s.plain(s.address, r)
}

func (s fakeServer) Status(context.Context) (backend.EngineStatus, error) {
	return s.status, nil
}
func (s fakeServer) Stage(context.Context, backend.Order) error    { return nil }
func (s fakeServer) Activate(context.Context, backend.Order) error { return nil }

// fakeStream returns chunks, then err (io.EOF if err is nil).
type fakeStream struct {
	chunks []backend.Chunk
	err    error
	closed bool
}

func (s *fakeStream) Next(context.Context) (backend.Chunk, error) {
	if len(s.chunks) == 0 {
		if s.err != nil {
			return backend.Chunk{}, s.err
		}
		return backend.Chunk{}, io.EOF
	}
	chunk := s.chunks[0]
	s.chunks = s.chunks[1:]
	return chunk, nil
}
func (s *fakeStream) Load() (backend.Load, bool) { return backend.Load{}, false }
func (s *fakeStream) Close()                     { s.closed = true }

// completeStream returns a completion of two chunks by weight version 7.
func completeStream(id string) *fakeStream {
	return &fakeStream{chunks: []backend.Chunk{
		{RequestID: id, FirstToken: 0, Tokens: 2, Text: "ab", Version: 7},
		{RequestID: id, FirstToken: 2, Tokens: 1, Text: "c", Version: 7, End: true, FinishReason: "stop"},
	}}
}

// send serves one caller request. aborted reports whether the handler aborted the
// connection.
func (env *testEnv) send(method, path, body string, header ...string) (rec *httptest.ResponseRecorder, aborted bool) {
	r := httptest.NewRequest(method, "/v1/services/"+path, strings.NewReader(body))
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	rec = httptest.NewRecorder()
	defer func() { aborted = recover() != nil }()
	env.manager.ServeHTTP(rec, r)
	return rec, false
}

const generateRequest = `{"prompt":"draw","max_tokens":3,"seed":1}`
