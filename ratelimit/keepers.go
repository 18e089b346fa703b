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
	// minSuspectTime is how long a keeper that did not respond is passed over; it doubles with each
	// further time, up to maxSuspectTime.
	minSuspectTime = time.Second
	maxSuspectTime = 16 * time.Second
)

// keeper is a daemon that gives out the permits for a replica.
type keeper struct {
	id, address string
	rank        int // in the order of the replica's keepers
}

// keeperOrder returns the keepers of a replica, best first. All daemons with the same list of
// daemons get the same ones, and when a daemon is added or leaves few replicas get another keeper.
func keeperOrder(members map[string]string, replica string) []keeper {
	type weighted struct {
		keeper
		weight uint64
	}
	all := make([]weighted, 0, len(members))
	for id, address := range members {
		all = append(all, weighted{keeper{id: id, address: address}, xxhash.Sum64String("keeper\x00" + replica + "\x00" + id)})
	}
	sort.Slice(all, func(a, b int) bool {
		return all[a].weight > all[b].weight || all[a].weight == all[b].weight && all[a].id < all[b].id
	})
	keepers := make([]keeper, 0, len(rankShares))
	for rank := range min(len(all), len(rankShares)) {
		k := all[rank].keeper
		k.rank = rank
		keepers = append(keepers, k)
	}
	return keepers
}

// keeperCache remembers the keepers of the replicas until the list of daemons is read again, and
// the daemons that did not respond.
type keeperCache struct {
	members func() map[string]string // drpc addresses of all daemons by ID

	mu       sync.Mutex
	readAt   time.Time
	list     map[string]string
	keepers  map[string][]keeper // by replica ID
	suspects map[string]suspect  // by address
}

type suspect struct {
	until    time.Time
	duration time.Duration
}

func newKeeperCache(members func() map[string]string) *keeperCache {
	return &keeperCache{members: members, suspects: map[string]suspect{}}
}

// of returns the keepers of a replica that are not suspected, and the number of daemons.
func (c *keeperCache) of(replica string, now time.Time) (usable []keeper, daemons int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.list == nil || now.Sub(c.readAt) > membersMaxAge {
		c.list, c.readAt, c.keepers = c.members(), now, map[string][]keeper{}
	}
	keepers, cached := c.keepers[replica]
	if !cached {
		keepers = keeperOrder(c.list, replica)
		c.keepers[replica] = keepers
	}
	for _, k := range keepers {
		if !now.Before(c.suspects[k.address].until) {
			usable = append(usable, k)
		}
	}
	return usable, max(len(c.list), 1)
}

// recordResult records whether a keeper responded.
func (c *keeperCache) recordResult(address string, responded bool, now time.Time) {
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
func (c *keeperCache) removeOld(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, s := range c.suspects {
		if now.Sub(s.until) > 2*maxSuspectTime {
			delete(c.suspects, address)
		}
	}
}
