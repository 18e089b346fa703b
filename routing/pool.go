package routing

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/hornbeamtide/hornbeamtide/fleet"
)

const (
	refreshInterval = 50 * time.Millisecond // between two reads of the view
	secondSalt      = "\x00second"          // makes the key of the second candidate
)

// pool is what the choice needs of one pool, guarded by Store.mu.
type pool struct {
	refreshed  time.Time
	whole      []*replica // ordered by ID
	subset     []*replica // of whole
	ringIDs    []string   // replicas that take new work, ordered
	ring       *rendezvous.Rendezvous
	picks      int64
	lastSample time.Time
}

// refresh reads the pool from the view when the last read is old.
func (s *Store) refresh(name string, now time.Time) *pool {
	p := s.pools[name]
	if p == nil {
		p = &pool{}
		s.pools[name] = p
	}
	if !p.refreshed.IsZero() && len(p.whole) > 0 && now.Sub(p.refreshed) < refreshInterval {
		return p
	}
	p.refreshed = now
	s.updateReplicas(p, s.view.Replicas(name))
	s.updateSubset(p, s.view.Subset(name))
	p.updateRing(now)
	s.logSlow(compareLatencies(p.whole))
	return p
}

func (s *Store) updateReplicas(p *pool, servers []fleet.Replica) {
	for _, r := range p.whole {
		r.listed = false
	}
	p.whole = p.whole[:0]
	for _, server := range servers {
		r := s.ensure(server)
		r.listed = true
		p.whole = append(p.whole, r)
	}
	s.forget()
}

// ensure returns the replica's state. An address change means a new server, which
// starts without history.
func (s *Store) ensure(server fleet.Replica) *replica {
	r := s.replicas[server.ID]
	if r == nil || (r.state.Replica.Address != "" && r.state.Replica.Address != server.Address) {
		r = newReplica(server)
		s.replicas[server.ID] = r
	}
	r.state.Replica = server
	return r
}

// forget drops the replicas that are in no list any more and have no requests.
func (s *Store) forget() {
	for id, r := range s.replicas {
		unlisted := !r.listed && r.state.Replica.Address != "" && r.state.InFlight == 0
		if unlisted && s.now().Sub(r.wanted) > leavingHold {
			delete(s.replicas, id)
		}
	}
}

func (s *Store) updateSubset(p *pool, servers []fleet.Replica) {
	for _, r := range p.whole {
		r.inSubset = false
	}
	p.subset = p.subset[:0]
	for _, server := range servers {
		r := s.replicas[server.ID]
		if r == nil || !r.listed {
			continue
		}
		r.inSubset = true
		p.subset = append(p.subset, r)
	}
}

// updateRing rebuilds the rendezvous ring when the replicas that take work changed.
func (p *pool) updateRing(now time.Time) {
	ids := make([]string, 0, len(p.whole))
	for _, r := range p.whole {
		if !r.leaving(now) {
			ids = append(ids, r.state.Replica.ID)
		}
	}
	if p.ring != nil && slices.Equal(ids, p.ringIDs) {
		return
	}
	p.ringIDs = ids
	p.ring = rendezvous.New(ids, xxhash.Sum64String)
}

// keyCandidates returns the IDs of the key's two replicas over the whole pool, the
// same on all daemons with the same list.
func (p *pool) keyCandidates(key string) (first, second string) {
	if key == "" || len(p.ringIDs) == 0 {
		return "", ""
	}
	return p.ring.Lookup(key), p.ring.Lookup(key + secondSalt)
}
