package caller

import (
	"sync"
	"time"
)

// downTime is how long a daemon that refused a connection is left out.
const downTime = time.Second

// balancer gives out daemons in turn.
type balancer struct {
	mu      sync.Mutex
	daemons []string
	down    map[string]time.Time // daemon left out, until
	turn    int
}

// next returns the next daemon that is not left out. last says that all are.
func (b *balancer) next() (daemon string, last bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	for range b.daemons {
		daemon = b.daemons[b.turn%len(b.daemons)]
		b.turn++
		if now.After(b.down[daemon]) {
			return daemon, false
		}
	}
	return daemon, true
}

func (b *balancer) markDown(daemon string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.down[daemon] = time.Now().Add(downTime)
}
