package mirror

import (
	"context"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/clock"
)

const (
	// initialSyncInterval is the time between two requests of the initial sync, and
	// initialSyncTimeout bounds the whole initial sync.
	initialSyncInterval = 100 * time.Millisecond
	initialSyncTimeout  = 3 * time.Second
)

// initialSync asks one daemon after another until the copy is complete, without waiting for
// earlier responses. Load pattern: all instances restart at the same moment. Those that are asked
// first are not up yet, and a connection to an instance that is off fails only after its
// timeout; until then this daemon could not serve any request.
func (m *Mirror) initialSync(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, initialSyncTimeout)
	defer cancel()
	var requests sync.WaitGroup
	defer requests.Wait()
	self := Member{ID: m.cfg.Self, FailureDomain: m.cfg.FailureDomain}
	for attempt := 0; ctx.Err() == nil && !m.isComplete(); attempt++ {
		ordered := collectorOrder(m.members())
		if candidates := sources(self, ordered, collectors(ordered, m.isSkipped)); len(candidates) > 0 {
			source := candidates[attempt%min(len(candidates), initialSources)]
			requests.Go(func() { m.syncFrom(ctx, source, 0) })
		}
		clock.Sleep(ctx, initialSyncInterval)
	}
}

// isComplete reports whether the copy has the full state of all kinds.
func (m *Mirror) isComplete() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isCompleteLocked()
}

// isCompleteLocked is isComplete for a caller that holds the lock.
func (m *Mirror) isCompleteLocked() bool {
	for _, k := range m.kinds {
		if k.revision == 0 {
			return false
		}
	}
	return true
}
