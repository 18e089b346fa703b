package mirror

import (
	"context"
	"time"

	"github.com/hornbeamtide/hornbeamtide/clock"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
)

const (
	// gatherPause is the wait after an answer before the next call: changes come in
	// bursts, and each call is priced.
	gatherPause = 500 * time.Millisecond
	// firstPause and maxPause bound the wait before a failed watch is opened again.
	firstPause = 100 * time.Millisecond
	maxPause   = time.Second
)

// watch follows one kind in the store while this daemon should.
func (m *Mirror) watch(ctx context.Context, kind Kind) {
	pause := firstPause
	for ctx.Err() == nil {
		on, role := m.watches(kind)
		if !on {
			select {
			case <-ctx.Done():
			case <-role:
			}
			continue
		}
		progressed, err := m.follow(ctx, kind)
		if ctx.Err() != nil || err == nil {
			continue
		}
		if progressed {
			pause = firstPause
		}
		if fault.Is(err, fault.Conflict) {
			m.log.Log(event.MirrorHistoryGone, event.F("kind", kind.Name))
			m.forgetRevision(kind.Name)
			continue
		}
		m.storeFailed(kind.Name, err)
		clock.Sleep(ctx, pause)
		pause = min(2*pause, maxPause)
	}
}

// scope is what a daemon watches in the store.
type scope string

const (
	nothing  scope = "nothing"
	urgent   scope = "urgent" // kinds that must be fresh: it is a collector, or found none
	allKinds scope = "all"    // it is the first collector, from which the others hear the rest
)

// watches reports whether this daemon watches a kind, and a channel that is closed when
// that may have changed. Load pattern: an outage of the store, in which every daemon of a
// large fleet finds no news and looks for itself; calls that fail are priced too, so that
// only one kind is tried until the store answers.
func (m *Mirror) watches(kind Kind) (bool, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	on := m.watching == allKinds || m.watching == urgent && kind.Wait <= urgentWait
	return on && (m.lost.IsZero() || kind.Name == m.config.Kinds[0].Name), m.role
}

// roleChanged has the watches look at what they should do. The caller holds the lock.
func (m *Mirror) roleChanged() {
	close(m.role)
	m.role = make(chan struct{})
}

// setWatching starts or stops watches.
func (m *Mirror) setWatching(s scope) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.watching == s {
		return
	}
	m.watching = s
	m.log.Log(event.MirrorRole, event.F("watches", string(s)))
	if s == nothing {
		m.lost = time.Time{} // what it hears from others counts now
	}
	m.roleChanged()
}

// follow lists the kind if nothing is known of it, then watches it until an error, or
// until this daemon need not watch any more. It reports whether the store answered.
func (m *Mirror) follow(ctx context.Context, kind Kind) (progressed bool, err error) {
	after := m.revision(kind.Name)
	if after == 0 {
		list, err := m.store.List(ctx, kind.Name+"/")
		if err != nil {
			return false, err
		}
		m.replace(kind.Name, list)
		after, progressed = list.Revision, true
	}
	watch, err := m.store.Watch(objectapi.WithWait(ctx, kind.Wait), kind.Name+"/", after)
	if err != nil {
		return progressed, err
	}
	defer watch.Close()
	for {
		change, err := watch.Next(ctx)
		if err != nil {
			return progressed, err
		}
		progressed = true
		m.apply(kind.Name, change)
		if change.Bookmark {
			clock.Sleep(ctx, gatherPause)
		}
		if on, _ := m.watches(kind); change.Bookmark && !on {
			return true, nil
		}
	}
}

func (m *Mirror) revision(kind string) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.kinds[kind].revision
}

// forgetRevision has the kind listed anew; the objects stay until then.
func (m *Mirror) forgetRevision(kind string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.kinds[kind].revision = 0
}

func (m *Mirror) storeFailed(kind string, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lost.IsZero() {
		m.lost = time.Now()
		m.tell() // those who wait for news here must look elsewhere
		m.log.Log(event.MirrorStoreLost, event.F("kind", kind), event.Err(err))
	}
}

// storeAnswered notes an answer about a kind. The copy is as fresh as the kind that was
// answered least recently. The caller holds the lock.
func (m *Mirror) storeAnswered(k *kindCopy) {
	k.answered = time.Now()
	oldest, oldestOfAll := k.answered, k.answered
	for _, other := range m.kinds {
		if other.answered.Before(oldest) && other.Wait <= urgentWait {
			oldest = other.answered
		}
		if other.answered.Before(oldestOfAll) {
			oldestOfAll = other.answered
		}
	}
	m.fresh = later(m.fresh, oldest)
	m.freshAll = later(m.freshAll, oldestOfAll)
	if !m.lost.IsZero() {
		m.log.Log(event.MirrorStoreRegained, event.F("after", time.Since(m.lost).Round(time.Millisecond).String()))
		m.lost = time.Time{}
		m.roleChanged()
	}
}

// settleDoubts deletes what stayed missing after an outage.
func (m *Mirror) settleDoubts() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, k := range m.kinds {
		if k.settleDoubts() {
			m.tell()
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// urgentWait parts the kinds that must be fresh from the others.
const urgentWait = 1500 * time.Millisecond

// replace takes a whole list of a kind.
func (m *Mirror) replace(kind string, list objectapi.Snapshot) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k, blind := m.kinds[kind], m.age() > blindAge
	m.storeAnswered(k)
	if list.Revision < k.revision {
		return
	}
	k.source = FromStore
	keys := make(map[string]bool, len(list.Objects))
	for _, o := range list.Objects {
		keys[o.Key] = true
	}
	if k.replace(list.Revision, list.Objects, keys, blind) {
		m.tell()
	}
}

// apply takes one change of a watch.
func (m *Mirror) apply(kind string, change objectapi.Change) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.kinds[kind]
	if change.Bookmark {
		m.storeAnswered(k)
	}
	blind := m.age() > blindAge
	if change.Revision <= k.revision {
		return
	}
	k.revision, k.source = change.Revision, FromStore
	switch {
	case change.Bookmark:
		return
	case change.Deleted:
		if !k.remove(change.Object, change.Revision, blind) {
			return
		}
	default:
		k.changed = change.Revision
		k.set(Change{Object: change.Object})
	}
	m.tell()
}
