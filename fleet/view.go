package fleet

import (
	"sort"
	"time"

	"github.com/hornbeamtide/hornbeamtide/objectapi"
)

// defaultSubsetSize is how many servers of a pool one daemon talks to.
const defaultSubsetSize = 24

// view is an immutable state of the region as one daemon sees it.
type view struct {
	everyone []Member // all regions, Self included, leaving and silent ones too
	members  []Member // live members of the own region
	byID     map[string]Member
	ids      []string        // of members
	silent   map[string]bool // daemons that no collector hears
	replicas map[string][]Replica
	subsets  map[string][]Replica
}

// roster holds what the view is built from.
type roster struct {
	self       Member
	subsetSize int

	list    objectapi.InstanceSnapshot
	recent  []objectapi.InstanceSnapshot // lists before that, ordered by revision
	known   bool                         // a list was received
	marks   map[string]time.Time         // leaving instances: when one was last observed
	pushed  map[string]bool              // leaving instances that the collector told
	silent  map[string]bool              // daemons that no collector hears
	drained bool                         // Self takes no new work
}

// isLeaving reports whether an instance was observed leaving.
func (r *roster) isLeaving(id string) bool {
	_, marked := r.marks[id]
	return marked || r.pushed[id]
}

// build returns the view of the roster's state.
func (r *roster) build() *view {
	v := &view{
		byID:     map[string]Member{},
		replicas: map[string][]Replica{},
		subsets:  map[string][]Replica{},
		silent:   r.silent,
	}
	for _, instance := range r.list.Instances {
		r.place(v, instance)
	}
	self := r.self
	self.Leaving = r.drained
	v.everyone = append(v.everyone, self)
	sortMembers(v.everyone)
	for _, member := range v.everyone {
		if member.Region != r.self.Region || member.Leaving || r.silent[member.ID] {
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

func (r *roster) place(v *view, instance objectapi.Instance) {
	leaving := r.isLeaving(instance.ID) || instance.State == objectapi.Leaving
	if instance.Pool == objectapi.DaemonPool {
		if instance.ID != r.self.ID {
			v.everyone = append(v.everyone, memberOf(instance, leaving))
		}
		return
	}
	if instance.Region == r.self.Region {
		v.replicas[instance.Pool] = append(v.replicas[instance.Pool], replicaOf(instance, leaving))
	}
}

// subset chooses the servers for unkeyed work: all of a small pool; of a larger one
// those of the own failure domain first, the rest by rendezvous hashing.
func (r *roster) subset(replicas []Replica) []Replica {
	size := r.subsetSize
	if size <= 0 {
		size = defaultSubsetSize
	}
	if len(replicas) <= size {
		return replicas
	}
	byID := map[string]Replica{}
	var near, far []string
	for _, replica := range replicas {
		if replica.Leaving {
			continue
		}
		byID[replica.ID] = replica
		if replica.FailureDomain == r.self.FailureDomain {
			near = append(near, replica.ID)
		} else {
			far = append(far, replica.ID)
		}
	}
	chosen := rank(near, r.self.ID, size)
	chosen = append(chosen, rank(far, r.self.ID, size-len(chosen))...)
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

// owners returns the n members that rank first for key.
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
	self.Leaving = m.roster.drained
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
