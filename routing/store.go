package routing

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/backend"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/fleet"
)

// Config configures a Store.
type Config struct {
	Policy       string        // "affinity" (default), "random", "round_robin", "least_load"
	PollInterval time.Duration // between two status polls of an engine
	LoadBound    float64       // busiest replica over the mean before a key spills over
	Seed         uint64        // of the random choices
}

// Store keeps the states of the replicas that this daemon talks to and implements Picker.
type Store struct {
	config   Config
	view     fleet.View
	docs     fleet.Documents
	backends backend.Dialer
	log      *event.Logger

	mu       sync.Mutex
	replicas map[string]*replica // by replica ID
	random   *rand.Rand
}

// replica is the mutable state of one backend server, guarded by Store.mu.
type replica struct {
	state  ReplicaState
	resume int64 // version that ends the suspension
}

// NewStore returns a Store that follows the replicas of view for the pools of docs.
func NewStore(config Config, view fleet.View, docs fleet.Documents, backends backend.Dialer, log *event.Logger) *Store {
	return &Store{
		config:   config,
		view:     view,
		docs:     docs,
		backends: backends,
		log:      log,
		replicas: make(map[string]*replica),
		random:   rand.New(rand.NewPCG(config.Seed, config.Seed)),
	}
}

// Pick implements Picker.
func (s *Store) Pick(_ context.Context, r Request) (Lease, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var best *replica
	for _, server := range s.view.Replicas(r.Pool) {
		candidate := s.ensure(server)
		if !usable(candidate.state, r) {
			continue
		}
		if best == nil || candidate.state.InFlight < best.state.InFlight {
			best = candidate
		}
	}
	if best == nil {
		return Lease{}, fault.New(fault.Unavailable, "no backend server of pool "+r.Pool+" takes work",
			"retry later", fault.WithOutcome(fault.NotRun), fault.WithRetryAfter(time.Second))
	}
	best.state.InFlight++
	return Lease{Replica: best.state.Replica, Done: s.done(best)}, nil
}

func usable(state ReplicaState, r Request) bool {
	for _, id := range r.Exclude {
		if id == state.Replica.ID {
			return false
		}
	}
	full := r.MaxInFlight > 0 && state.InFlight >= r.MaxInFlight
	return !state.Replica.Leaving && !full && !(r.Sample && state.Suspended)
}

func (s *Store) done(rep *replica) func(error, time.Duration) {
	return func(error, time.Duration) {
		s.mu.Lock()
		rep.state.InFlight--
		s.mu.Unlock()
	}
}

func (s *Store) ensure(server fleet.Replica) *replica {
	rep := s.replicas[server.ID]
	if rep == nil {
		rep = &replica{state: ReplicaState{Whole: true}}
		s.replicas[server.ID] = rep
	}
	rep.state.Replica = server
	return rep
}

// Suspend stops sample work on the replica until it reports one whole version,
// which is at least min.
func (s *Store) Suspend(replicaID string, min int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rep := s.replicas[replicaID]
	if rep == nil {
		rep = &replica{state: ReplicaState{Whole: true}}
		s.replicas[replicaID] = rep
	}
	rep.state.Suspended = true
	rep.resume = max(rep.resume, min)
}
