package fleet

import (
	"context"
	"time"
)

// handoverPollInterval is the interval at which Drain checks for connected members.
const handoverPollInterval = 20 * time.Millisecond

// Drain marks this daemon as leaving and hands its roles over: other daemons stop choosing
// it as an owner, and its members connect to other collectors. It returns when no member
// is connected, at the latest after the member timeout or when ctx ends.
func (m *Manager) Drain(ctx context.Context) {
	m.update(func(r *roster) bool {
		changed := !r.draining
		r.draining = true
		return changed
	})
	ctx, cancel := context.WithTimeout(ctx, m.config.MemberTimeout)
	defer cancel()
	wait(ctx, m.config.ReportInterval)
	for ctx.Err() == nil && m.collector.hasMembers() {
		wait(ctx, handoverPollInterval)
	}
}
