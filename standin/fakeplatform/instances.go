package fakeplatform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/hornbeamtide/hornbeamtide/platform"
)

// instanceList keeps the states of the list, so that an older one can be served.
type instanceList struct {
	current map[string]platform.Instance
	history []listState // ordered by time
}

type listState struct {
	since    time.Time
	snapshot platform.InstanceSnapshot
}

// listHistory is how many states of the list are kept.
const listHistory = 1000

func (l *instanceList) replace(instances []platform.Instance) {
	l.current = map[string]platform.Instance{}
	for _, instance := range instances {
		l.current[instance.ID] = instance
	}
	l.push()
}

// push records the current state as the newest one.
func (l *instanceList) push() {
	state := listState{since: time.Now()}
	state.snapshot.Revision = 1
	if len(l.history) > 0 {
		state.snapshot.Revision = l.history[len(l.history)-1].snapshot.Revision + 1
	}
	state.snapshot.Instances = make([]platform.Instance, 0, len(l.current))
	for _, instance := range l.current {
		state.snapshot.Instances = append(state.snapshot.Instances, instance)
	}
	sort.Slice(state.snapshot.Instances, func(i, j int) bool {
		return state.snapshot.Instances[i].ID < state.snapshot.Instances[j].ID
	})
	l.history = append(l.history, state)
	if len(l.history) > listHistory {
		l.history = l.history[len(l.history)-listHistory:]
	}
}

// at returns the newest state that is at least lag old, else the oldest one.
func (l *instanceList) at(lag time.Duration) platform.InstanceSnapshot {
	limit := time.Now().Add(-lag)
	for i := len(l.history) - 1; i > 0; i-- {
		if !l.history[i].since.After(limit) {
			return l.history[i].snapshot
		}
	}
	return l.history[0].snapshot
}

// SetInstance adds or replaces an instance in the list.
func (s *Server) SetInstance(instance platform.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list.current[instance.ID] = instance
	s.list.push()
}

// RemoveInstance takes an instance out of the list.
func (s *Server) RemoveInstance(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.list.current, id)
	s.list.push()
}

func (s *Server) getInstances(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls.Instances++
	snapshot := s.list.at(time.Duration(s.faults.ListLagMS) * time.Millisecond)
	s.mu.Unlock()
	etag := fmt.Sprintf("\"%d-%d\"", s.started.UnixNano(), snapshot.Revision)
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(w, snapshot)
}

func (s *Server) putInstance(w http.ResponseWriter, r *http.Request) {
	var instance platform.Instance
	if err := json.NewDecoder(r.Body).Decode(&instance); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	instance.ID = chi.URLParam(r, "id")
	if instance.State == "" {
		instance.State = platform.Live
	}
	s.SetInstance(instance)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) deleteInstance(w http.ResponseWriter, r *http.Request) {
	s.RemoveInstance(chi.URLParam(r, "id"))
	w.WriteHeader(http.StatusNoContent)
}
