package ratelimit

import (
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// membersMaxAge is how long the list of daemons is used before it is read again.
	membersMaxAge = 500 * time.Millisecond
	// minSuspectTime is how long an owner that did not respond is passed over; it doubles with each
	// further time, up to maxSuspectTime.
	minSuspectTime = time.Second
	maxSuspectTime = 16 * time.Second
)

// owner is a daemon that gives out the permits for a replica.
type owner struct {
	id, address string
	rank        int // in the order of the replica's owners
}

// ownerOrder returns the owners of a replica, best first. All daemons with the same list of
// daemons get the same ones, and when a daemon is added or leaves few replicas get another owner.
func ownerOrder(members map[string]string, replica string) []owner {
	type weighted struct {
		owner
		weight uint64
	}
	all := make([]weighted, 0, len(members))
	for id, address := range members {
		all = append(all, weighted{owner{id: id, address: address}, xxhash.Sum64String("request-limit\x00" + replica + "\x00" + id)})
	}
	sort.Slice(all, func(a, b int) bool {
		return all[a].weight > all[b].weight || all[a].weight == all[b].weight && all[a].id < all[b].id
	})
	owners := make([]owner, 0, len(rankShares))
	for rank := range min(len(all), len(rankShares)) {
		o := all[rank].owner
		o.rank = rank
		owners = append(owners, o)
	}
	return owners
}

// ownerCache remembers the owners of the replicas until the list of daemons is read again, and
// the daemons that did not respond.
type ownerCache struct {
	members func() map[string]string // drpc addresses of all daemons by ID

	mu       sync.Mutex
	readAt   time.Time
	list     map[string]string
	owners   map[string][]owner // by replica ID
	suspects map[string]suspect // by address
}

type suspect struct {
	until    time.Time
	duration time.Duration
}

func newOwnerCache(members func() map[string]string) *ownerCache {
	return &ownerCache{members: members, suspects: map[string]suspect{}}
}

// of returns the owners of a replica that are not suspected, and the number of daemons.
func (c *ownerCache) of(replica string, now time.Time) (usable []owner, daemons int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.list == nil || now.Sub(c.readAt) > membersMaxAge {
		c.list, c.readAt, c.owners = c.members(), now, map[string][]owner{}
	}
	owners, cached := c.owners[replica]
	if !cached {
		owners = ownerOrder(c.list, replica)
		c.owners[replica] = owners
	}
	for _, o := range owners {
		if !now.Before(c.suspects[o.address].until) {
			usable = append(usable, o)
		}
	}
	return usable, max(len(c.list), 1)
}

// recordResult records whether an owner responded.
func (c *ownerCache) recordResult(address string, responded bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if responded {
		delete(c.suspects, address)
		return
	}
	duration := min(max(minSuspectTime, 2*c.suspects[address].duration), maxSuspectTime)
	c.suspects[address] = suspect{until: now.Add(duration), duration: duration}
}

// removeOld deletes the suspects whose time is over for long.
func (c *ownerCache) removeOld(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, s := range c.suspects {
		if now.Sub(s.until) > 2*maxSuspectTime {
			delete(c.suspects, address)
		}
	}
}
