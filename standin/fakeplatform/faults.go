package fakeplatform

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/hornbeamtide/hornbeamtide/platform"
)

// Faults is the set of faults in effect. The zero value is a healthy platform.
type Faults struct {
	Outage        bool  `json:"outage"`        // every call fails with status 503; setting it also ends open watches
	Hang          bool  `json:"hang"`          // calls are accepted and get no response; setting it also silences open watches
	Status        int   `json:"status"`        // every call fails with this HTTP status; 0 for none
	SlowMS        int64 `json:"slow_ms"`       // delay before each call
	LoseResponses int   `json:"lose_answers"`  // this many next writes take effect but get no response
	RefuseWrites  int   `json:"refuse_writes"` // this many next writes fail with status 503
	ListLagMS     int64 `json:"list_lag_ms"`   // changes of the instance list take effect after this delay
	ListDown      bool  `json:"list_down"`     // reads of the instance list fail with status 503

	// The following faults act once, when they are set.

	SilenceWatches bool `json:"silence_watches"` // open watches stay open and get no response
	CutWatches     bool `json:"cut_watches"`     // open watches end without a response
	DropChanges    bool `json:"drop_changes"`    // past changes are removed and open watches end without a response
}

// SetFaults replaces the faults in effect.
func (s *Server) SetFaults(faults Faults) {
	if faults.ListLagMS == 0 {
		defer s.applyLaggingChanges()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if faults.DropChanges {
		s.changes = nil
		s.compactedRevision = s.revision
	}
	if faults.Outage || faults.CutWatches || faults.DropChanges {
		close(s.epoch.cut)
		s.epoch.cut = make(chan struct{})
	}
	if faults.SilenceWatches || faults.Hang {
		close(s.epoch.silence)
		s.epoch.silence = make(chan struct{})
	}
	faults.SilenceWatches, faults.CutWatches, faults.DropChanges = false, false, false
	s.faults = faults
}

// Faults returns the faults in effect.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *Server) getFaults(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Faults())
}

func (s *Server) postFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

// injectFaults applies the faults that affect a call before it takes effect.
func (s *Server) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		faults := s.Faults()
		if faults.SlowMS > 0 {
			time.Sleep(time.Duration(faults.SlowMS) * time.Millisecond)
		}
		if faults.Hang {
			// net/http detects a closed connection only after the body has been read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			return
		}
		if s.shouldRefuse(r) {
			s.count(func(c *CallCounts) { c.Refused++ })
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if faults.Status != 0 {
			w.WriteHeader(faults.Status)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func isInstanceKind(path string) bool {
	for _, kind := range []string{platform.ReplicaKind, platform.MemberKind} {
		if path == "/hornbeamtide/objects/"+kind {
			return true
		}
	}
	return false
}

// shouldRefuse reports whether a fault refuses a call, and counts down RefuseWrites.
func (s *Server) shouldRefuse(r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Outage || s.faults.ListDown && isInstanceKind(r.URL.Path) {
		return true
	}
	if r.Method == http.MethodGet || s.faults.RefuseWrites == 0 {
		return false
	}
	s.faults.RefuseWrites--
	return true
}

// loseResponse closes the connection without a response if the write took effect and
// LoseResponses is set, and counts LoseResponses down.
func (s *Server) loseResponse(written bool) {
	s.mu.Lock()
	lose := written && s.faults.LoseResponses > 0
	if lose {
		s.faults.LoseResponses--
	}
	s.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
}
