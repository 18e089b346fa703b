package relay

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// maxPeersPerCall is the maximum number of peers to which one call is sent.
	maxPeersPerCall = 2
	// failedPeerPeriod is how long other peers are preferred after a peer failed to make a call.
	failedPeerPeriod = 3 * time.Second
)

// peerSelector chooses the peers to which a call is sent. Load pattern: a large part of the fleet
// cannot reach the store; most peers cannot make the call either, and each failed attempt costs
// the call a second. The peer that made the last successful call comes first, then a daemon that
// recently got updates from the store, then others in random order.
type peerSelector struct {
	mu          sync.Mutex
	lastSuccess string               // address of the peer that made the last successful call
	failedUntil map[string]time.Time // by address: end of the period after a failed call
}

// candidates returns the peers to try, best first. freshSource is the address of a daemon that
// recently got updates from the store, "" if none is known.
func (s *peerSelector) candidates(peers []string, freshSource string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	rand.Shuffle(len(peers), func(a, b int) { peers[a], peers[b] = peers[b], peers[a] })
	var preferred, failed []string
	for _, address := range peers {
		if time.Now().Before(s.failedUntil[address]) {
			failed = append(failed, address)
			continue
		}
		delete(s.failedUntil, address)
		preferred = append(preferred, address)
	}
	slices.SortStableFunc(preferred, func(a, b string) int { return s.rank(a, freshSource) - s.rank(b, freshSource) })
	preferred = append(preferred, failed...)
	return preferred[:min(len(preferred), maxPeersPerCall)]
}

func (s *peerSelector) rank(address, freshSource string) int {
	switch address {
	case s.lastSuccess:
		return 0
	case freshSource:
		return 1
	}
	return 2
}

// record records whether a peer could make a call.
func (s *peerSelector) record(address string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ok {
		s.lastSuccess = address
		delete(s.failedUntil, address)
		return
	}
	if s.lastSuccess == address {
		s.lastSuccess = ""
	}
	s.failedUntil[address] = time.Now().Add(failedPeerPeriod)
}
