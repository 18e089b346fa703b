package fleet

import (
	"context"
	"time"
)

// handOverPoll is how often Drain looks whether the roles are handed over.
const handOverPoll = 20 * time.Millisecond

// Drain marks this daemon as leaving and hands its roles over: the other daemons no
// longer choose it as an owner and its members attend other collectors. It returns
// when that is done, at the latest after the member timeout or when ctx ends.
func (m *Manager) Drain(ctx context.Context) {
	m.update(func(r *roster) bool {
		changed := !r.drained
		r.drained = true
		return changed
	})
	ctx, cancel := context.WithTimeout(ctx, m.config.MemberTimeout)
	defer cancel()
	wait(ctx, m.config.ReportInterval)
	for ctx.Err() == nil && m.collector.attended() {
		wait(ctx, handOverPoll)
	}
}
