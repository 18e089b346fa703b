package fleet

import (
	"sort"
	"time"

	"github.com/hornbeamtide/hornbeamtide/objectapi"
)

// defaultSubsetSize is the number of replicas of a pool that one daemon uses for unkeyed
// requests.
const defaultSubsetSize = 24

// view is an immutable snapshot of the fleet as one daemon sees it.
type view struct {
	allMembers []Member // all regions, including Self, leaving and silent daemons
	members    []Member // live members of this region
	byID       map[string]Member
	ids        []string        // IDs of members, in the same order
	silent     map[string]bool // listed daemons that no collector hears from
	replicas   map[string][]Replica
	subsets    map[string][]Replica
}

// roster is the mutable state that views are built from. Manager.mu guards it.
type roster struct {
	self       Member
	subsetSize int

	list         objectapi.InstanceSnapshot
	recentLists  []objectapi.InstanceSnapshot // older lists, ordered by revision
	listKnown    bool                         // whether a list was received
	leavingMarks map[string]time.Time         // time of the last observation of each leaving instance
	leavingFlags map[string]bool              // leaving instances reported by the collector
	silentFlags  map[string]bool              // listed daemons that no collector hears from
	draining     bool                         // Self accepts no new work
}

// isLeaving reports whether a daemon observed the instance leaving.
func (r *roster) isLeaving(id string) bool {
	_, marked := r.leavingMarks[id]
	return marked || r.leavingFlags[id]
}

// build returns a view of the current state of the roster.
func (r *roster) build() *view {
	v := &view{
		byID:     map[string]Member{},
		replicas: map[string][]Replica{},
		subsets:  map[string][]Replica{},
		silent:   r.silentFlags,
	}
	for _, instance := range r.list.Instances {
		r.addInstance(v, instance)
	}
	self := r.self
	self.Leaving = r.draining
	v.allMembers = append(v.allMembers, self)
	sortMembers(v.allMembers)
	for _, member := range v.allMembers {
		if member.Region != r.self.Region || member.Leaving || r.silentFlags[member.ID] {
			continue
		}
		v.members = append(v.members, member)
		v.byID[member.ID] = member
		v.ids = append(v.ids, member.ID)
	}
	for pool, replicas := range v.replicas {
		sort.Slice(replicas, func(i, j int) bool { return replicas[i].ID < replicas[j].ID })
		v.subsets[pool] = r.subset(replicas)
	}
	return v
}

func (r *roster) addInstance(v *view, instance objectapi.Instance) {
	leaving := r.isLeaving(instance.ID) || instance.State == objectapi.Leaving
	if instance.Pool == objectapi.DaemonPool {
		if instance.ID != r.self.ID {
			v.allMembers = append(v.allMembers, memberOf(instance, leaving))
		}
		return
	}
	if instance.Region == r.self.Region {
		v.replicas[instance.Pool] = append(v.replicas[instance.Pool], replicaOf(instance, leaving))
	}
}

// subset selects the replicas for unkeyed requests. It returns all replicas of a small pool.
// From a larger pool it chooses among the replicas that are not leaving by rendezvous hashing,
// and prefers those in the daemon's own failure domain.
func (r *roster) subset(replicas []Replica) []Replica {
	size := r.subsetSize
	if size <= 0 {
		size = defaultSubsetSize
	}
	if len(replicas) <= size {
		return replicas
	}
	byID := map[string]Replica{}
	var sameDomain, otherDomains []string
	for _, replica := range replicas {
		if replica.Leaving {
			continue
		}
		byID[replica.ID] = replica
		if replica.FailureDomain == r.self.FailureDomain {
			sameDomain = append(sameDomain, replica.ID)
		} else {
			otherDomains = append(otherDomains, replica.ID)
		}
	}
	chosen := rank(sameDomain, r.self.ID, size)
	chosen = append(chosen, rank(otherDomains, r.self.ID, size-len(chosen))...)
	sort.Strings(chosen)
	subset := make([]Replica, 0, len(chosen))
	for _, id := range chosen {
		subset = append(subset, byID[id])
	}
	return subset
}

func memberOf(instance objectapi.Instance, leaving bool) Member {
	return Member{
		ID: instance.ID, Address: instance.Address, PeerAddress: instance.PeerAddress,
		Region: instance.Region, FailureDomain: instance.FailureDomain, Leaving: leaving,
	}
}

func replicaOf(instance objectapi.Instance, leaving bool) Replica {
	return Replica{
		ID: instance.ID, Pool: instance.Pool, Address: instance.Address,
		Region: instance.Region, FailureDomain: instance.FailureDomain, Leaving: leaving,
	}
}

func sortMembers(members []Member) {
	sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
}

// owners returns the n highest-ranked members for key.
func (v *view) owners(key string, n int) []Member {
	ids := rank(v.ids, key, n)
	owners := make([]Member, 0, len(ids))
	for _, id := range ids {
		owners = append(owners, v.byID[id])
	}
	return owners
}

// Self implements View.
func (m *Manager) Self() Member {
	self := m.config.Self
	m.mu.Lock()
	defer m.mu.Unlock()
	self.Leaving = m.roster.draining
	return self
}

// Members implements View.
func (m *Manager) Members() []Member { return m.current.Load().members }

// Owners implements View.
func (m *Manager) Owners(key string, n int) []Member { return m.current.Load().owners(key, n) }

// Replicas implements View.
func (m *Manager) Replicas(pool string) []Replica { return m.current.Load().replicas[pool] }

// Subset implements View.
func (m *Manager) Subset(pool string) []Replica { return m.current.Load().subsets[pool] }
