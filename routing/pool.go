package routing

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/hornbeamtide/hornbeamtide/fleet"
)

const (
	refreshInterval = 50 * time.Millisecond // minimum time between two reads of the view
	secondSalt      = "\x00second"          // appended to a key to look up its second replica
)

// pool is the routing state of one pool, guarded by Store.mu.
type pool struct {
	refreshed   time.Time
	allReplicas []*replica // ordered by ID
	subset      []*replica // subset of replicas for unkeyed requests
	hasherIDs   []string   // IDs of the replicas that accept new work, ordered
	hasher      *rendezvous.Rendezvous
	picks       int64
	lastSample  time.Time
}

// refresh returns the pool's state. It reads the view again if the last read found no
// replicas or is older than refreshInterval.
func (s *Store) refresh(name string, now time.Time) *pool {
	p := s.pools[name]
	if p == nil {
		p = &pool{}
		s.pools[name] = p
	}
	if !p.refreshed.IsZero() && len(p.allReplicas) > 0 && now.Sub(p.refreshed) < refreshInterval {
		return p
	}
	p.refreshed = now
	s.updateReplicas(p, s.view.Replicas(name))
	s.updateSubset(p, s.view.Subset(name))
	p.updateHasher(now)
	s.logSlownessChanges(compareLatencies(p.allReplicas))
	return p
}

func (s *Store) updateReplicas(p *pool, servers []fleet.Replica) {
	for _, r := range p.allReplicas {
		r.listed = false
	}
	p.allReplicas = p.allReplicas[:0]
	for _, server := range servers {
		r := s.ensureReplica(server)
		r.listed = true
		p.allReplicas = append(p.allReplicas, r)
	}
	s.removeUnlisted()
}

// ensureReplica returns the replica's state and creates it if needed. A changed address
// means a new server, whose state starts empty.
func (s *Store) ensureReplica(server fleet.Replica) *replica {
	r := s.replicas[server.ID]
	if r == nil || (r.state.Replica.Address != "" && r.state.Replica.Address != server.Address) {
		r = newReplica(server)
		s.replicas[server.ID] = r
	}
	r.state.Replica = server
	return r
}

// removeUnlisted removes replicas that are no longer in any list, have no request in
// flight and were not considered for leavingPeriod.
func (s *Store) removeUnlisted() {
	for id, r := range s.replicas {
		unlisted := !r.listed && r.state.Replica.Address != "" && r.state.InFlight == 0
		if unlisted && s.now().Sub(r.lastConsidered) > leavingPeriod {
			delete(s.replicas, id)
		}
	}
}

func (s *Store) updateSubset(p *pool, servers []fleet.Replica) {
	for _, r := range p.allReplicas {
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

// updateHasher rebuilds the rendezvous hash if the replicas that accept work changed.
func (p *pool) updateHasher(now time.Time) {
	ids := make([]string, 0, len(p.allReplicas))
	for _, r := range p.allReplicas {
		if !r.leaving(now) {
			ids = append(ids, r.state.Replica.ID)
		}
	}
	if p.hasher != nil && slices.Equal(ids, p.hasherIDs) {
		return
	}
	p.hasherIDs = ids
	p.hasher = rendezvous.New(ids, xxhash.Sum64String)
}

// keyCandidates returns the IDs of the key's two replicas in the entire pool. They are
// the same on all daemons that have the same list.
func (p *pool) keyCandidates(key string) (first, second string) {
	if key == "" || len(p.hasherIDs) == 0 {
		return "", ""
	}
	return p.hasher.Lookup(key), p.hasher.Lookup(key + secondSalt)
}
