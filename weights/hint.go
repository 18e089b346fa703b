package weights

import (
	"context"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/weights/weightspb"
)

// hintInterval is the minimum time between two hints for a pool that a daemon forwards
// or acts on.
const hintInterval = 200 * time.Millisecond

// hintLimiter limits the rate of hints per pool.
type hintLimiter struct {
	mu          sync.Mutex
	lastAllowed map[string]time.Time // by pool
}

// allow reports whether a hint may be forwarded or acted on now.
func (h *hintLimiter) allow(pool string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lastAllowed == nil {
		h.lastAllowed = map[string]time.Time{}
	}
	if now.Sub(h.lastAllowed[pool]) < hintInterval {
		return false
	}
	h.lastAllowed[pool] = now
	return true
}

// Hint implements Hinter.
func (m *Manager) Hint(pool string, version int64) {
	if version <= m.Newest(pool) || !m.hints.allow(pool, m.now()) {
		return
	}
	p := m.controllerOf(pool)
	if p == nil {
		return
	}
	if _, left := p.permit(); left > 0 {
		p.requestPoll()
		return
	}
	go m.forwardHint(p, version)
}

// forwardHint sends the hint to the other candidates for the pool's lease.
func (m *Manager) forwardHint(p *poolController, version int64) {
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	for _, member := range p.candidates() {
		if member.ID == m.deps.View.Self().ID {
			continue
		}
		client, err := m.client(ctx, member)
		if err != nil {
			continue
		}
		_, _ = client.Newest(ctx, &weightspb.NewestRequest{Pool: p.pool, Hint: version})
	}
}

// handleHint requests a poll of the weight store if this daemon owns the pool.
func (m *Manager) handleHint(pool string, version int64) {
	p := m.controllerOf(pool)
	if p == nil || version <= m.Newest(pool) {
		return
	}
	if _, left := p.permit(); left > 0 && m.hints.allow(pool, m.now()) {
		p.requestPoll()
	}
}

func (m *Manager) controllerOf(pool string) *poolController {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.pools[pool]
}
