package relay

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// peersTried is how many peers one call is offered to.
	peersTried = 2
	// badTime is how long a peer is passed over that could not make a call.
	badTime = 3 * time.Second
)

// choice chooses the peers that a call is offered to. Load pattern: a whole part of the fleet is
// cut off from the store; most peers can't make the call either, and each that is asked in vain
// costs the call a second. The one that made the last call comes first, then a daemon that has
// fresh news of the store, then others at random.
type choice struct {
	mu   sync.Mutex
	last string               // made the last call
	bad  map[string]time.Time // until then
}

// of returns the peers to ask, best first. source has fresh news, "" when none is known.
func (c *choice) of(peers []string, source string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	rand.Shuffle(len(peers), func(a, b int) { peers[a], peers[b] = peers[b], peers[a] })
	var good, rest []string
	for _, address := range peers {
		if time.Now().Before(c.bad[address]) {
			rest = append(rest, address)
			continue
		}
		delete(c.bad, address)
		good = append(good, address)
	}
	slices.SortStableFunc(good, func(a, b string) int { return c.rank(a, source) - c.rank(b, source) })
	good = append(good, rest...)
	return good[:min(len(good), peersTried)]
}

func (c *choice) rank(address, source string) int {
	switch address {
	case c.last:
		return 0
	case source:
		return 1
	}
	return 2
}

// note remembers whether a peer could make a call.
func (c *choice) note(address string, made bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if made {
		c.last = address
		delete(c.bad, address)
		return
	}
	if c.last == address {
		c.last = ""
	}
	c.bad[address] = time.Now().Add(badTime)
}
