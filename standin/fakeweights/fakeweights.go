// Package fakeweights is a fake weight store. Calls for the newest version are
// rate-limited, and only a limited number of weight loads run concurrently, as if they
// shared the store's bandwidth; further loads wait.
package fakeweights

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"golang.org/x/time/rate"

	"github.com/hornbeamtide/hornbeamtide/objectapi"
)

// Config configures a Server.
type Config struct {
	ReadRate  int           // maximum calls of latest per second, 0 for no limit
	LoadTime  time.Duration // duration of one load of weights, without waiting for a slot
	LoadSlots int           // maximum concurrent loads; 0 means 1
}

// Publish is the body of POST /v1/pools/{pool}/publish.
type Publish struct {
	Version int64 `json:"version"`
}

// Faults are the faults in effect.
type Faults struct {
	Outage bool `json:"outage"` // respond to reads with 503
}

// Counts are the counters of the store.
type Counts struct {
	Latest  int64 `json:"latest"`  // calls of latest within the rate limit
	Refused int64 `json:"refused"` // calls of latest over the rate limit
	Loads   int64 `json:"loads"`   // completed loads
}

// Server is a fake weight store.
type Server struct {
	config  Config
	limiter *rate.Limiter
	slots   chan struct{}

	mu     sync.Mutex
	newest map[string]objectapi.WeightVersion
	faults Faults
	counts Counts
}

// New returns a store without weights.
func New(config Config) *Server {
	config.LoadSlots = max(config.LoadSlots, 1)
	s := &Server{config: config, newest: map[string]objectapi.WeightVersion{}, slots: make(chan struct{}, config.LoadSlots)}
	s.limiter = rate.NewLimiter(rate.Inf, 0)
	if config.ReadRate > 0 {
		s.limiter = rate.NewLimiter(rate.Limit(config.ReadRate), config.ReadRate)
	}
	return s
}

// Handler serves the store's HTTP interface and its control endpoints.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/v1/pools/{pool}/latest", s.getLatest)
	r.Get("/v1/pools/{pool}/weights/{version}", s.getWeights)
	r.Post("/v1/pools/{pool}/publish", s.postPublish)
	r.Post("/control/faults", s.postFaults)
	r.Get("/control/counts", s.getCounts)
	return r
}

// Publish makes a version the pool's newest.
func (s *Server) Publish(pool string, version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newest[pool] = objectapi.WeightVersion{Pool: pool, Version: version, Published: time.Now()}
}

func (s *Server) getLatest(w http.ResponseWriter, r *http.Request) {
	if !s.limiter.Allow() {
		s.count(func(c *Counts) { c.Refused++ })
		http.Error(w, "over the rate limit", http.StatusTooManyRequests)
		return
	}
	s.count(func(c *Counts) { c.Latest++ })
	s.mu.Lock()
	newest, ok := s.newest[chi.URLParam(r, "pool")]
	outage := s.faults.Outage
	s.mu.Unlock()
	switch {
	case outage:
		http.Error(w, "outage", http.StatusServiceUnavailable)
	case !ok:
		http.Error(w, "no weights", http.StatusNotFound)
	default:
		_ = json.NewEncoder(w).Encode(newest)
	}
}

// getWeights responds when the load is complete. The response holds no weights.
func (s *Server) getWeights(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseInt(chi.URLParam(r, "version"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	known := version > 0 && version <= s.newest[chi.URLParam(r, "pool")].Version
	outage := s.faults.Outage
	s.mu.Unlock()
	if outage {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	if !known {
		http.Error(w, "no such version", http.StatusNotFound)
		return
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-r.Context().Done():
		return
	}
	select {
	case <-time.After(s.config.LoadTime):
	case <-r.Context().Done():
		return
	}
	s.count(func(c *Counts) { c.Loads++ })
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) postPublish(w http.ResponseWriter, r *http.Request) {
	var publish Publish
	if err := json.NewDecoder(r.Body).Decode(&publish); err != nil || publish.Version < 1 {
		http.Error(w, "version must be at least 1", http.StatusBadRequest)
		return
	}
	s.Publish(chi.URLParam(r, "pool"), publish.Version)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) postFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.faults = faults
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) getCounts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(s.counts)
}

func (s *Server) count(update func(*Counts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	update(&s.counts)
}
