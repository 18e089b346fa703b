package fakeplatform

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/hornbeamtide/hornbeamtide/objectapi"
	"github.com/hornbeamtide/hornbeamtide/platform"
)

// replicaEntry is the store entry that a replica writes about itself.
type replicaEntry struct {
	Backend string
	Address string
	Zone    string
	Region  string
	State   string
	Slots   int
	Seq     int64
}

// SetInstance adds an instance to the list or replaces it, after the delay Faults.ListLagMS.
func (s *Server) SetInstance(instance objectapi.Instance) {
	key, spec := entryFor(instance)
	s.applyAfterLag(func() { s.PutSpec(key, spec) })
}

// RemoveInstance removes an instance from the list, after the delay Faults.ListLagMS.
func (s *Server) RemoveInstance(id string) {
	s.applyAfterLag(func() {
		s.remove(platform.ReplicaKind+"/"+id, nil)
		s.remove(platform.MemberKind+"/"+id, nil)
	})
}

// applyAfterLag applies a change of the list after the delay Faults.ListLagMS, or when that fault
// ends if this is earlier.
func (s *Server) applyAfterLag(apply func()) {
	lag := time.Duration(s.Faults().ListLagMS) * time.Millisecond
	if lag <= 0 {
		apply()
		return
	}
	once := sync.OnceFunc(apply)
	s.mu.Lock()
	s.laggingChanges = append(s.laggingChanges, once)
	s.mu.Unlock()
	time.AfterFunc(lag, once)
}

// applyLaggingChanges applies the delayed changes of the list.
func (s *Server) applyLaggingChanges() {
	s.mu.Lock()
	lagging := s.laggingChanges
	s.laggingChanges = nil
	s.mu.Unlock()
	for _, apply := range lagging {
		apply()
	}
}

// entryFor returns the key and the entry of an instance: a member if it is a daemon, otherwise a
// replica.
func entryFor(i objectapi.Instance) (key string, spec json.RawMessage) {
	var entry any = platform.Member{
		ID: i.ID, Address: i.Address, PeerAddress: i.PeerAddress, Region: i.Region,
		FailureDomain: i.FailureDomain, Leaving: i.State == objectapi.Leaving,
	}
	key = platform.MemberKind + "/" + i.ID
	if i.Pool != objectapi.DaemonPool {
		key = platform.ReplicaKind + "/" + i.ID
		state := "ready"
		if i.State == objectapi.Leaving {
			state = "draining"
		}
		entry = replicaEntry{Backend: i.Pool, Address: i.Address, Zone: i.FailureDomain, Region: i.Region, State: state}
	}
	spec, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	return key, spec
}

func (s *Server) putInstance(w http.ResponseWriter, r *http.Request) {
	var instance objectapi.Instance
	if err := json.NewDecoder(r.Body).Decode(&instance); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	instance.ID = chi.URLParam(r, "id")
	if instance.State == "" {
		instance.State = objectapi.Live
	}
	s.SetInstance(instance)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) deleteInstance(w http.ResponseWriter, r *http.Request) {
	s.RemoveInstance(chi.URLParam(r, "id"))
	w.WriteHeader(http.StatusNoContent)
}
