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

// world is a Manager with fakes at all interfaces.
type world struct {
	manager  *Manager
	servers  []fleet.Replica
	isolated bool
	slow     bool // all replicas
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
	done   []error // ends reported to routing
}

func newWorld(t *testing.T, servers ...string) *world {
	t.Helper()
	w := &world{status: backend.EngineStatus{Version: 8, Whole: true}, kept: map[alarm.Promise]int{}, broken: map[alarm.Promise]int{}}
	for _, id := range servers {
		w.servers = append(w.servers, fleet.Replica{ID: id, Pool: "pool", Address: id + ":1"})
	}
	w.manager = NewManager(Parts{View: w, Docs: w, Picker: w, Admitter: w, Claimer: w, Backends: w, Recorder: w})
	return w
}

func modelDocument() *document.Document {
	return &document.Document{
		Service: "draftpool", Team: "captions", Kind: document.Model, Pool: "pool",
		Requests: document.Requests{Deadline: 5 * time.Second},
		Retry:    document.Retry{Attempts: 3, Budget: 10},
	}
}

func plainDocument() *document.Document {
	d := modelDocument()
	d.Service, d.Kind = "ledgerdesk", document.Plain
	d.Servers.LeaveBound = time.Second
	d.Requests.NonIdempotent = []document.Match{{Method: "POST", Path: "/records"}}
	return d
}

func (w *world) Document(service string) (document.Versioned, bool) {
	for _, d := range []*document.Document{modelDocument(), plainDocument()} {
		if d.Service == service {
			return document.Versioned{Document: d, Version: 1}, true
		}
	}
	return document.Versioned{}, false
}
func (w *world) All() []document.Versioned         { return nil }
func (w *world) Changed() <-chan struct{}          { return nil }
func (w *world) Self() fleet.Member                { return fleet.Member{ID: "d1"} }
func (w *world) Members() []fleet.Member           { return nil }
func (w *world) Owners(string, int) []fleet.Member { return nil }
func (w *world) Replicas(string) []fleet.Replica   { return w.servers }
func (w *world) Subset(string) []fleet.Replica     { return w.servers }
func (w *world) Isolated() (time.Time, bool)       { return time.Time{}, w.isolated }

func (w *world) Pick(_ context.Context, r routing.Request) (routing.Lease, error) {
next:
	for _, server := range w.servers {
		for _, id := range r.Exclude {
			if id == server.ID {
				continue next
			}
		}
		return routing.Lease{Replica: server, Done: w.ended, Slow: func() bool { return w.slow }}, nil
	}
	return routing.Lease{}, fault.New(fault.Unavailable, "no server", "retry", fault.WithOutcome(fault.NotRun))
}

func (w *world) ended(err error, _ time.Duration) {
	w.mu.Lock()
	w.done = append(w.done, err)
	w.mu.Unlock()
}

func (w *world) Admit(context.Context, admission.Ticket) (func(), error) {
	if w.admit != nil {
		return nil, w.admit()
	}
	return func() {}, nil
}

func (w *world) Claim(_ context.Context, c claims.Claim) error {
	w.claims = append(w.claims, c)
	if w.claim != nil {
		return w.claim(c)
	}
	return nil
}

func (w *world) Engine(address string) backend.Engine { return fakeServer{w, address} }
func (w *world) Plain(address string) backend.Plain   { return fakeServer{w, address} }

func (w *world) Kept(p alarm.Promise, _ string) {
	w.mu.Lock()
	w.kept[p]++
	w.mu.Unlock()
}

func (w *world) Broken(p alarm.Promise, _ alarm.Evidence) {
	w.mu.Lock()
	w.broken[p]++
	w.mu.Unlock()
}

type fakeServer struct {
	*world
	address string
}

func (s fakeServer) note() {
	s.mu.Lock()
	s.sent = append(s.sent, s.address)
	s.mu.Unlock()
}

func (s fakeServer) Generate(_ context.Context, r backend.GenerateRequest) (backend.Stream, error) {
	s.note()
	return s.engine(s.address, r)
}

func (s fakeServer) Do(_ context.Context, r *http.Request) (*http.Response, error) {
	s.note()
	return s.plain(s.address, r)
}

func (s fakeServer) Status(context.Context) (backend.EngineStatus, error) {
	return s.status, nil
}
func (s fakeServer) Stage(context.Context, backend.Order) error    { return nil }
func (s fakeServer) Activate(context.Context, backend.Order) error { return nil }

// fakeStream yields chunks, then err (io.EOF when nil).
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

// wholeStream is a completion of two chunks by weight version 7.
func wholeStream(id string) *fakeStream {
	return &fakeStream{chunks: []backend.Chunk{
		{RequestID: id, First: 0, Tokens: 2, Text: "ab", Version: 7},
		{RequestID: id, First: 2, Tokens: 1, Text: "c", Version: 7, End: true, Reason: "stop"},
	}}
}

// send sends one caller's request and returns the response; aborted reports that the
// connection was cut.
func (w *world) send(method, path, body string, header ...string) (rec *httptest.ResponseRecorder, aborted bool) {
	r := httptest.NewRequest(method, "/v1/services/"+path, strings.NewReader(body))
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	rec = httptest.NewRecorder()
	defer func() { aborted = recover() != nil }()
	w.manager.ServeHTTP(rec, r)
	return rec, false
}

const prompt = `{"prompt":"draw","max_tokens":3,"seed":1}`
