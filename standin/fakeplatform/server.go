// Package fakeplatform is a small stand-in for the platform's metadata store: objects by
// kind and name with revisions, conditional writes and watches, among them the entries
// of instances, with faults that a test or another process injects.
package fakeplatform

import (
	"encoding/json"
	"net/http"
	"sync"

	"github.com/go-chi/chi/v5"

	"github.com/hornbeamtide/hornbeamtide/objectapi"
)

// Config configures a Server.
type Config struct {
	Instances   []objectapi.Instance // listed from the start
	KeepChanges int                  // changes kept for watches, default 100,000
}

// Calls counts the calls since the start. Each wait for changes counts once.
type Calls struct {
	Gets      int64 `json:"gets"`
	Lists     int64 `json:"lists"`
	Writes    int64 `json:"writes"`
	Watches   int64 `json:"watches"`   // opened
	Instances int64 `json:"instances"` // of the watches, those of instances
	Waiting   int64 `json:"waiting"`   // watches open now
	Refused   int64 `json:"refused"`   // answered with 503 by a fault
}

// Server is the fake. All methods may be called at any time.
type Server struct {
	config    Config
	mu        sync.Mutex
	revision  int64
	objects   map[string]stored
	changes   []change // ordered by revision
	compacted int64    // changes up to this revision are gone
	changed   chan struct{}
	faults    Faults
	lagging   []func() // changes of the list that are not seen yet
	epoch     watchEpoch
	calls     Calls
}

// New returns a server without objects.
func New(config Config) *Server {
	if config.KeepChanges <= 0 {
		config.KeepChanges = 100_000
	}
	s := &Server{
		config:  config,
		objects: map[string]stored{},
		changed: make(chan struct{}),
		epoch:   newWatchEpoch(),
	}
	for _, instance := range config.Instances {
		s.SetInstance(instance)
	}
	return s
}

// Handler returns the HTTP interface: the platform's calls, and besides them
// PUT and DELETE of instances, GET and POST of faults, and GET of the call counts.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Group(func(r chi.Router) {
		r.Use(s.injectFaults)
		r.Route("/hornbeamtide/objects/{kind}", func(r chi.Router) {
			r.Get("/", s.getKind)
			r.Post("/", s.createObject)
			r.Get("/{name}", s.getObject)
			r.Put("/{name}", s.replaceObject)
			r.Put("/{name}/status", s.replaceStatus)
			r.Delete("/{name}", s.deleteObject)
		})
		r.Get("/v1/pools/{pool}/latest", http.NotFound) // a weight store without versions
	})
	r.Put("/v1/instances/{id}", s.putInstance)
	r.Delete("/v1/instances/{id}", s.deleteInstance)
	r.Get("/v1/faults", s.getFaults)
	r.Post("/v1/faults", s.postFaults)
	r.Get("/v1/calls", s.getCalls)
	return r
}

// Calls returns the counts so far.
func (s *Server) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Server) getCalls(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Calls())
}

func (s *Server) count(add func(*Calls)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	add(&s.calls)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
