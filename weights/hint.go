package weights

import (
	"context"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/weights/weightspb"
)

// hintInterval is the least time between two hints of a pool that a daemon passes on
// or follows.
const hintInterval = 200 * time.Millisecond

// hints limits the rate of hints by pool.
type hints struct {
	mu   sync.Mutex
	last map[string]time.Time
}

// allow reports whether a hint may be passed on now.
func (h *hints) allow(pool string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.last == nil {
		h.last = map[string]time.Time{}
	}
	if now.Sub(h.last[pool]) < hintInterval {
		return false
	}
	h.last[pool] = now
	return true
}

// Hint implements Hinter.
func (m *Manager) Hint(pool string, version int64) {
	if version <= m.Newest(pool) || !m.hints.allow(pool, m.now()) {
		return
	}
	k := m.keeperOf(pool)
	if k == nil {
		return
	}
	if _, left := k.permit(); left > 0 {
		k.wakeNow()
		return
	}
	go m.passHint(k, version)
}

// passHint tells the other candidates for the pool's lease.
func (m *Manager) passHint(k *keeper, version int64) {
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	for _, member := range k.candidates() {
		if member.ID == m.parts.View.Self().ID {
			continue
		}
		client, err := m.client(ctx, member)
		if err != nil {
			continue
		}
		_, _ = client.Newest(ctx, &weightspb.NewestRequest{Pool: k.pool, Hint: version})
	}
}

// followHint has the keeper of the pool, if it is on this daemon, read the store.
func (m *Manager) followHint(pool string, version int64) {
	k := m.keeperOf(pool)
	if k == nil || version <= m.Newest(pool) {
		return
	}
	if _, left := k.permit(); left > 0 && m.hints.allow(pool, m.now()) {
		k.wakeNow()
	}
}

func (m *Manager) keeperOf(pool string) *keeper {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.pools[pool]
}
