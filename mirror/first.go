package mirror

import (
	"context"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/clock"
)

const (
	// firstAskPause is the wait before the next daemon is asked at the start, firstTime how
	// long that goes on.
	firstAskPause = 100 * time.Millisecond
	firstTime     = 3 * time.Second
)

// hurry asks one daemon after the other until the copy is whole, without waiting for the
// answers of those before. Load pattern: all machines come back at the same moment; those that
// are asked first are not there yet, and a connection to a machine that is off fails only
// after its time limit, in which this daemon could serve nobody.
func (m *Mirror) hurry(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, firstTime)
	defer cancel()
	var asks sync.WaitGroup
	defer asks.Wait()
	self := Member{ID: m.config.Self, FailureDomain: m.config.FailureDomain}
	for next := 0; ctx.Err() == nil && !m.isWhole(); next++ {
		ordered := order(m.members())
		if known := sources(self, ordered, collectors(ordered, m.isBad)); len(known) > 0 {
			other := known[next%min(len(known), triedSources)]
			asks.Go(func() { m.ask(ctx, other, 0) })
		}
		clock.Sleep(ctx, firstAskPause)
	}
}

// isWhole reports whether the whole of all kinds was seen.
func (m *Mirror) isWhole() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.whole()
}

// whole is isWhole for a caller that holds the lock.
func (m *Mirror) whole() bool {
	for _, k := range m.kinds {
		if k.revision == 0 {
			return false
		}
	}
	return true
}
