package routing

import (
	"cmp"
	"slices"

	"github.com/hornbeamtide/hornbeamtide/event"
)

// Counters holds totals since the daemon started.
type Counters struct {
	Picks    int64 `json:"picks"`    // calls of Pick
	Refused  int64 `json:"refused"`  // calls of Pick that found no replica
	Keyed    int64 `json:"keyed"`    // requests with a key
	Affine   int64 `json:"affine"`   // keyed requests placed on one of the key's two replicas
	Local    int64 `json:"local"`    // requests placed in the daemon's failure domain
	Probes   int64 `json:"probes"`   // trial requests
	Failures int64 `json:"failures"` // requests that failed because of their server
	Polls    int64 `json:"polls"`    // status polls
}

func (s *Store) countChoice(r Request, c *Candidate) {
	if r.Key != "" {
		s.counters.Keyed++
		if c.Rank > 0 {
			s.counters.Affine++
		}
	}
	if c.Local {
		s.counters.Local++
	}
	if c.ProbeDue {
		s.counters.Probes++
	}
}

func (s *Store) logSlownessChanges(changed []*replica) {
	for _, r := range changed {
		e := event.ReplicaNotSlow
		if r.state.Slow {
			e = event.ReplicaSlow
		}
		s.log.Log(e, event.F("replica", r.state.Replica.ID), event.F("slowness", r.state.Slowness))
	}
}

// Counters returns a copy of the current totals.
func (s *Store) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// State is the package's state dump.
type State struct {
	Policy   string         `json:"policy"`
	Counters Counters       `json:"counters"`
	Replicas []ReplicaState `json:"replicas"` // ordered by ID
}

// Dump returns a snapshot of the package's state.
func (s *Store) Dump() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	state := State{Policy: s.config.Policy, Counters: s.counters}
	for _, r := range s.replicas {
		state.Replicas = append(state.Replicas, r.snapshot(now))
	}
	slices.SortFunc(state.Replicas, func(a, b ReplicaState) int { return cmp.Compare(a.Replica.ID, b.Replica.ID) })
	return state
}
