// Package fakeplatform is a small stand-in for the platform: the object API with
// versions, conditional updates and watches, and the lagging instance list, with
// faults that a test or another process injects.
package fakeplatform

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/hornbeamtide/hornbeamtide/platform"
)

// Config configures a Server.
type Config struct {
	Instances        []platform.Instance // listed from the start
	BookmarkInterval time.Duration       // between two bookmarks of a watch, default 1 s
	KeepChanges      int                 // changes kept for watches, default 100,000
}

// Calls counts the calls since the start. Each watch counts once when it opens.
type Calls struct {
	Gets      int64 `json:"gets"`
	Lists     int64 `json:"lists"`
	Writes    int64 `json:"writes"`
	Watches   int64 `json:"watches"`   // opened
	Waiting   int64 `json:"waiting"`   // watches open now
	Instances int64 `json:"instances"` // reads of the instance list
	Refused   int64 `json:"refused"`   // answered with 503 by a fault
}

// Server is the fake. All methods may be called at any time.
type Server struct {
	config  Config
	started time.Time

	mu        sync.Mutex
	revision  int64
	objects   map[string]platform.Object
	changes   []wireChange // ordered by revision
	compacted int64        // changes up to this revision are gone
	changed   chan struct{}
	list      instanceList
	faults    Faults
	epoch     watchEpoch
	calls     Calls
}

// New returns a server without objects.
func New(config Config) *Server {
	if config.BookmarkInterval <= 0 {
		config.BookmarkInterval = time.Second
	}
	if config.KeepChanges <= 0 {
		config.KeepChanges = 100_000
	}
	s := &Server{
		config:  config,
		started: time.Now(),
		objects: map[string]platform.Object{},
		changed: make(chan struct{}),
		epoch:   newWatchEpoch(),
	}
	s.list.replace(config.Instances)
	return s
}

// Handler returns the HTTP interface: the platform's calls, and besides them
// PUT and DELETE of instances, GET and POST of faults, and GET of the call counts.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Group(func(r chi.Router) {
		r.Use(s.injectFaults)
		r.Get("/v1/objects", s.listObjects)
		r.Get("/v1/objects/*", s.getObject)
		r.Put("/v1/objects/*", s.putObject)
		r.Delete("/v1/objects/*", s.deleteObject)
		r.Get("/v1/watch", s.watchObjects)
		r.Get("/v1/instances", s.getInstances)
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

func (s *Server) getCalls(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Calls()) }

func (s *Server) count(add func(*Calls)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	add(&s.calls)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
