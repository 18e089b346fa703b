package caller

import (
	"sync"
	"time"
)

// unhealthyDuration is how long a daemon that refused a connection is skipped.
const unhealthyDuration = time.Second

// balancer selects daemons in round-robin order.
type balancer struct {
	mu             sync.Mutex
	daemons        []string
	unhealthyUntil map[string]time.Time // by daemon
	nextIndex      int
}

// next returns the next healthy daemon. If all daemons are unhealthy, it returns one of
// them and true.
func (b *balancer) next() (daemon string, allUnhealthy bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	for range b.daemons {
		daemon = b.daemons[b.nextIndex%len(b.daemons)]
		b.nextIndex++
		if now.After(b.unhealthyUntil[daemon]) {
			return daemon, false
		}
	}
	return daemon, true
}

func (b *balancer) markUnhealthy(daemon string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unhealthyUntil[daemon] = time.Now().Add(unhealthyDuration)
}
