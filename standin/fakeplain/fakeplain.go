// Package fakeplain is a stand-in for a plain service: it answers any request and
// counts how often each request key was run.
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

// HeaderRequestKey names a non-idempotent request.
const HeaderRequestKey = "X-Request-Key"

const maxBodyBytes = 1 << 20

// Config configures a Server.
type Config struct {
	ID          string
	ServiceTime time.Duration // mean time of one request
	Concurrency int           // requests at a time, 0 for no limit
	QueueLimit  int           // requests waiting before the others are refused
	Seed        uint64
}

// Faults are the faults in effect. The zero value is a healthy server.
type Faults struct {
	Slow        float64 `json:"slow"`         // factor on the service time, 0 is 1
	Leaving     bool    `json:"leaving"`      // new requests are refused
	NotStarted  int     `json:"not_started"`  // the next requests are refused
	LoseAnswers int     `json:"lose_answers"` // the next requests run and get no answer
	FailAfter   int     `json:"fail_after"`   // the next requests run and are answered 500
}

// Counts are what the server counts.
type Counts struct {
	Runs      int64            `json:"runs"`        // requests run
	Refused   int64            `json:"refused"`     // requests not started
	RunsByKey map[string]int64 `json:"runs_by_key"` // runs by request key, else by request id
}

// Answer is the body of every answer.
type Answer struct {
	Server    string `json:"server"`
	RequestID string `json:"request_id"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Bytes     int    `json:"bytes"` // size of the request body
	Sum       uint64 `json:"sum"`   // FNV-1a of the request body
}

// Server is the plain service.
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

// Handler serves requests on all paths but those below /control.
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

// Counts returns a copy of the counts.
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

// Sum returns the sum that an Answer carries for a request body.
func Sum(body []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(body)
	return h.Sum64()
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(backend.HeaderRequestID)
	w.Header().Set(backend.HeaderRequestID, id)
	if s.refuse(w) {
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	if !s.enter(r) {
		s.notStarted(w, false)
		return
	}
	defer s.leave()
	lose, fail := s.run(r)
	time.Sleep(s.serviceTime())
	if lose {
		panic(http.ErrAbortHandler)
	}
	if fail {
		http.Error(w, "failed after the run", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Answer{
		Server: s.config.ID, RequestID: id, Method: r.Method, Path: r.URL.Path, Bytes: len(body), Sum: Sum(body),
	})
}

// refuse answers 503 if a fault asks for it.
func (s *Server) refuse(w http.ResponseWriter) bool {
	s.mu.Lock()
	leaving := s.faults.Leaving
	refused := leaving || s.faults.NotStarted > 0
	if !leaving && refused {
		s.faults.NotStarted--
	}
	s.mu.Unlock()
	if refused {
		s.notStarted(w, leaving)
	}
	return refused
}

func (s *Server) notStarted(w http.ResponseWriter, leaving bool) {
	s.mu.Lock()
	s.counts.Refused++
	s.mu.Unlock()
	w.Header().Set(backend.HeaderNotStarted, "true")
	if leaving {
		w.Header().Set(backend.HeaderLeaving, "true")
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// enter waits for a slot; false when the queue is full or the caller went away.
func (s *Server) enter(r *http.Request) bool {
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

func (s *Server) leave() {
	if s.slots != nil {
		<-s.slots
	}
}

// run counts one run of the request.
func (s *Server) run(r *http.Request) (lose, fail bool) {
	key := r.Header.Get(HeaderRequestKey)
	if key == "" {
		key = r.Header.Get(backend.HeaderRequestID)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Runs++
	s.counts.RunsByKey[key]++
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return true, false
	}
	if s.faults.FailAfter > 0 {
		s.faults.FailAfter--
		return false, true
	}
	return false, false
}

func (s *Server) serviceTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	factor := s.random.ExpFloat64()
	if s.faults.Slow > 0 {
		factor *= s.faults.Slow
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
