// Package fakeplatform is a fake of the platform's metadata store. It stores objects by kind and
// name, including the entries of instances, and supports revisions, conditional writes and
// watches. Tests and other processes can inject faults.
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
	Instances   []objectapi.Instance // in the instance list from the start
	KeepChanges int                  // number of changes kept for watches, default 100,000
}

// CallCounts counts the calls since the start. Each watch call counts once.
type CallCounts struct {
	Gets            int64 `json:"gets"`
	Lists           int64 `json:"lists"`
	Writes          int64 `json:"writes"`
	Watches         int64 `json:"watches"`   // watch calls, open and ended
	InstanceWatches int64 `json:"instances"` // watch calls for replicas or members
	OpenWatches     int64 `json:"waiting"`   // watch calls open now
	Refused         int64 `json:"refused"`   // calls that a fault failed with status 503
}

// Server is the fake metadata store. Its methods are safe for concurrent use.
type Server struct {
	config            Config
	mu                sync.Mutex
	revision          int64
	objects           map[string]storedObject
	changes           []change      // ordered by revision
	compactedRevision int64         // changes up to this revision are no longer kept
	changedCh         chan struct{} // closed and replaced at each change
	faults            Faults
	laggingChanges    []func() // changes of the instance list that are delayed by ListLagMS
	epoch             watchEpoch
	calls             CallCounts
}

// New returns a server that holds the entries of config.Instances.
func New(config Config) *Server {
	if config.KeepChanges <= 0 {
		config.KeepChanges = 100_000
	}
	s := &Server{
		config:    config,
		objects:   map[string]storedObject{},
		changedCh: make(chan struct{}),
		epoch:     newWatchEpoch(),
	}
	for _, instance := range config.Instances {
		s.SetInstance(instance)
	}
	return s
}

// Handler returns the HTTP interface: the platform's calls, and for tests PUT and DELETE of
// instances, GET and POST of faults, and GET of the call counts.
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
		r.Get("/v1/pools/{pool}/latest", http.NotFound) // acts as a weight store without versions
	})
	r.Put("/v1/instances/{id}", s.putInstance)
	r.Delete("/v1/instances/{id}", s.deleteInstance)
	r.Get("/v1/faults", s.getFaults)
	r.Post("/v1/faults", s.postFaults)
	r.Get("/v1/calls", s.getCalls)
	return r
}

// Calls returns the current call counts.
func (s *Server) Calls() CallCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Server) getCalls(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Calls())
}

func (s *Server) count(add func(*CallCounts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	add(&s.calls)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
