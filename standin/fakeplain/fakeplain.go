// Package fakeplain is a fake plain service. It responds to any request and counts how
// often it ran each request key.
package fakeplain

import (
	"encoding/json"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/hornbeamtide/hornbeamtide/backend"
)

// HeaderRequestKey is the header that identifies a non-idempotent request.
const HeaderRequestKey = "X-Request-Key"

const maxBodyBytes = 1 << 20

// Config configures a Server.
type Config struct {
	ID          string
	ServiceTime time.Duration // mean service time of a request; exponentially distributed
	Concurrency int           // maximum concurrent requests, 0 for no limit
	QueueLimit  int           // maximum waiting requests; further ones are refused
	Seed        uint64        // of the service times
}

// Faults are the faults in effect. The zero value is a healthy server.
type Faults struct {
	SlowFactor    float64 `json:"slow"`         // factor for the service time; 0 means 1
	Leaving       bool    `json:"leaving"`      // refuse new requests and report that the server is leaving
	NotStarted    int     `json:"not_started"`  // number of next requests that are refused
	DropResponses int     `json:"lose_answers"` // number of next requests that run and get no response
	FailAfterRun  int     `json:"fail_after"`   // number of next requests that run and get status 500
}

// Counts are the counters of a server.
type Counts struct {
	Runs      int64            `json:"runs"`        // requests run
	Refused   int64            `json:"refused"`     // requests not started
	RunsByKey map[string]int64 `json:"runs_by_key"` // runs by request key, or by request id if there is no key
}

// Response is the body of every successful response.
type Response struct {
	Server    string `json:"server"`
	RequestID string `json:"request_id"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Bytes     int    `json:"bytes"` // size of the request body
	Checksum  uint64 `json:"sum"`   // FNV-1a of the request body
}

// Server is a fake plain service.
type Server struct {
	config Config
	slots  chan struct{}

	mu      sync.Mutex
	random  *rand.Rand
	waiting int
	faults  Faults
	counts  Counts
}

// New returns a healthy server.
func New(config Config) *Server {
	s := &Server{config: config, random: rand.New(rand.NewPCG(config.Seed, 1))}
	if config.Concurrency > 0 {
		s.slots = make(chan struct{}, config.Concurrency)
	}
	s.counts.RunsByKey = map[string]int64{}
	return s
}

// Handler serves requests on all paths, except for the control endpoints below /control.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/control/faults", s.postFaults)
	r.Get("/control/counts", s.getCounts)
	r.HandleFunc("/*", s.serve)
	return r
}

// SetFaults replaces the faults in effect.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Counts returns a copy of the counters.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.counts
	counts.RunsByKey = make(map[string]int64, len(s.counts.RunsByKey))
	for key, n := range s.counts.RunsByKey {
		counts.RunsByKey[key] = n
	}
	return counts
}

// Checksum returns the checksum that Response.Checksum holds for a request body.
func Checksum(body []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(body)
	return h.Sum64()
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(backend.HeaderRequestID)
	w.Header().Set(backend.HeaderRequestID, id)
	if s.refuseIfFaulty(w) {
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	if !s.acquireSlot(r) {
		s.writeNotStarted(w, false)
		return
	}
	defer s.releaseSlot()
	dropResponse, fail := s.recordRun(r)
	time.Sleep(s.serviceTime())
	if dropResponse {
		panic(http.ErrAbortHandler)
	}
	if fail {
		http.Error(w, "failed after the run", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Response{
		Server: s.config.ID, RequestID: id, Method: r.Method, Path: r.URL.Path, Bytes: len(body), Checksum: Checksum(body),
	})
}

// refuseIfFaulty responds with 503 if a fault requires it, and reports whether it did.
func (s *Server) refuseIfFaulty(w http.ResponseWriter) bool {
	s.mu.Lock()
	leaving := s.faults.Leaving
	refused := leaving || s.faults.NotStarted > 0
	if !leaving && refused {
		s.faults.NotStarted--
	}
	s.mu.Unlock()
	if refused {
		s.writeNotStarted(w, leaving)
	}
	return refused
}

func (s *Server) writeNotStarted(w http.ResponseWriter, leaving bool) {
	s.mu.Lock()
	s.counts.Refused++
	s.mu.Unlock()
	w.Header().Set(backend.HeaderNotStarted, "true")
	if leaving {
		w.Header().Set(backend.HeaderLeaving, "true")
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// acquireSlot waits for a slot. It returns false if the queue is full or the caller
// disconnects.
func (s *Server) acquireSlot(r *http.Request) bool {
	if s.slots == nil {
		return true
	}
	s.mu.Lock()
	full := s.waiting >= s.config.QueueLimit && len(s.slots) == cap(s.slots)
	s.waiting++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
	}()
	if full {
		return false
	}
	select {
	case s.slots <- struct{}{}:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (s *Server) releaseSlot() {
	if s.slots != nil {
		<-s.slots
	}
}

// recordRun counts one run of the request and returns which fault applies to its response.
func (s *Server) recordRun(r *http.Request) (dropResponse, fail bool) {
	key := r.Header.Get(HeaderRequestKey)
	if key == "" {
		key = r.Header.Get(backend.HeaderRequestID)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Runs++
	s.counts.RunsByKey[key]++
	if s.faults.DropResponses > 0 {
		s.faults.DropResponses--
		return true, false
	}
	if s.faults.FailAfterRun > 0 {
		s.faults.FailAfterRun--
		return false, true
	}
	return false, false
}

func (s *Server) serviceTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	factor := s.random.ExpFloat64()
	if s.faults.SlowFactor > 0 {
		factor *= s.faults.SlowFactor
	}
	return time.Duration(factor * float64(s.config.ServiceTime))
}

func (s *Server) postFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) getCounts(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.Counts())
}
