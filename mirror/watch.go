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
	// coalesceDelay is the wait between a response and the next watch call. Changes come in
	// bursts, and each store call costs money.
	coalesceDelay = 500 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the backoff after a failed list or watch.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
)

// watch keeps a watch of one kind open while this daemon should watch it.
func (m *Mirror) watch(ctx context.Context, kind Kind) {
	retryDelay := minRetryDelay
	for ctx.Err() == nil {
		watching, roleChange := m.shouldWatch(kind)
		if !watching {
			select {
			case <-ctx.Done():
			case <-roleChange:
			}
			continue
		}
		responded, err := m.listAndWatch(ctx, kind)
		if ctx.Err() != nil || err == nil {
			continue
		}
		if responded {
			retryDelay = minRetryDelay
		}
		if fault.Is(err, fault.Conflict) {
			m.log.Log(event.MirrorHistoryExpired, event.F("kind", kind.Name))
			m.requireList(kind.Name)
			continue
		}
		m.storeFailed(kind.Name, err)
		clock.Sleep(ctx, retryDelay)
		retryDelay = min(2*retryDelay, maxRetryDelay)
	}
}

// scope determines which kinds a daemon watches in the store.
type scope string

const (
	watchNothing scope = "nothing"
	watchUrgent  scope = "urgent" // urgent kinds only: the daemon is a collector, or found none with a fresh copy
	watchAll     scope = "all"    // all kinds: the daemon is the first collector, from which others get the kinds that are not urgent
)

// shouldWatch reports whether this daemon should watch a kind, and returns a channel that is
// closed when that may have changed. Load pattern: an outage of the store in which no daemon of a
// large fleet finds a source and each watches the store itself. Failed calls cost money too, so
// only the first kind is tried until the store responds.
func (m *Mirror) shouldWatch(kind Kind) (bool, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	inScope := m.watching == watchAll || m.watching == watchUrgent && kind.MaxWatchWait <= urgentWait
	return inScope && (m.storeLostAt.IsZero() || kind.Name == m.cfg.Kinds[0].Name), m.roleChange
}

// notifyRoleChange wakes the watch goroutines that wait for a change of role. The caller holds
// the lock.
func (m *Mirror) notifyRoleChange() {
	close(m.roleChange)
	m.roleChange = make(chan struct{})
}

// setWatching sets the kinds that this daemon watches.
func (m *Mirror) setWatching(s scope) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.watching == s {
		return
	}
	m.watching = s
	m.log.Log(event.MirrorRoleChanged, event.F("watches", string(s)))
	if s == watchNothing {
		m.storeLostAt = time.Time{} // only updates from other daemons count now
	}
	m.notifyRoleChange()
}

// listAndWatch lists the kind if its state is unknown, then watches it until an error or until
// this daemon need not watch it any more. It reports whether the store responded.
func (m *Mirror) listAndWatch(ctx context.Context, kind Kind) (responded bool, err error) {
	after, mustList := m.revision(kind.Name)
	if mustList {
		list, err := m.store.List(ctx, kind.Name+"/")
		if err != nil {
			return false, err
		}
		m.replace(kind.Name, list)
		after, responded = list.Revision, true
	}
	watch, err := m.store.Watch(objectapi.WithMaxWatchWait(ctx, kind.MaxWatchWait), kind.Name+"/", after)
	if err != nil {
		return responded, err
	}
	defer watch.Close()
	for {
		change, err := watch.Next(ctx)
		if err != nil {
			return responded, err
		}
		responded = true
		m.apply(kind.Name, change)
		if change.Bookmark {
			clock.Sleep(ctx, coalesceDelay)
		}
		if watching, _ := m.shouldWatch(kind); change.Bookmark && !watching {
			return true, nil
		}
	}
}

// revision returns the revision of the copy, and whether the kind must be listed before it can be
// watched.
func (m *Mirror) revision(kind string) (revision int64, mustList bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.kinds[kind]
	return k.revision, k.mustList || k.revision == 0
}

// requireList causes the kind to be listed again. The copy and its revision stay until then, so
// that an older copy of another daemon does not replace it.
func (m *Mirror) requireList(kind string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.kinds[kind].mustList = true
}

// storeFailed records the start of a store outage.
func (m *Mirror) storeFailed(kind string, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.storeLostAt.IsZero() {
		m.storeLostAt = time.Now()
		m.notifyWaiters() // daemons that wait here must choose another source
		m.log.Log(event.MirrorStoreLost, event.F("kind", kind), event.Err(err))
	}
}

// storeResponded records a response of the store for a kind. The copy is as fresh as its kind with
// the oldest response. The caller holds the lock.
func (m *Mirror) storeResponded(k *kindCopy) {
	k.respondedAt = time.Now()
	oldest, oldestOfAll := k.respondedAt, k.respondedAt
	for _, other := range m.kinds {
		if other.respondedAt.Before(oldest) && other.MaxWatchWait <= urgentWait {
			oldest = other.respondedAt
		}
		if other.respondedAt.Before(oldestOfAll) {
			oldestOfAll = other.respondedAt
		}
	}
	m.setFreshAt(oldest)
	m.confirmed = m.confirmed || !oldest.IsZero()
	m.allFreshAt = later(m.allFreshAt, oldestOfAll)
	if !m.storeLostAt.IsZero() {
		m.log.Log(event.MirrorStoreRegained, event.F("after", time.Since(m.storeLostAt).Round(time.Millisecond).String()))
		m.storeLostAt = time.Time{}
		m.notifyRoleChange()
	}
}

// expireMissing deletes objects that are still missing after their grace period.
func (m *Mirror) expireMissing() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.expireMissingLocked() {
		m.notifyWaiters()
	}
}

// expireMissingLocked is expireMissing for a caller that holds the lock and wakes the waiters. It
// reports whether any object was deleted.
func (m *Mirror) expireMissingLocked() bool {
	expired := false
	for _, k := range m.kinds {
		if k.expireMissing() {
			expired = true
		}
	}
	return expired
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// urgentWait is the longest Kind.MaxWatchWait of an urgent kind, one that must be fresh.
const urgentWait = 1500 * time.Millisecond

// replace applies a complete list of a kind.
func (m *Mirror) replace(kind string, list objectapi.Snapshot) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k, grace := m.kinds[kind], m.grantsGrace()
	m.storeResponded(k)
	k.mustList = false
	if list.Revision < k.revision {
		return
	}
	k.source = FromStore
	keys := make(map[string]bool, len(list.Objects))
	for _, o := range list.Objects {
		keys[o.Key] = true
	}
	if k.replace(list.Revision, list.Objects, keys, grace) {
		m.notifyWaiters()
	}
}

// apply applies one change from a watch.
func (m *Mirror) apply(kind string, change objectapi.Change) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.kinds[kind]
	if change.Bookmark {
		m.storeResponded(k)
	}
	grace := m.grantsGrace()
	if change.Revision <= k.revision {
		return
	}
	k.revision, k.source = change.Revision, FromStore
	switch {
	case change.Bookmark:
		return
	case change.Revision < k.objects[change.Object.Key].Version:
		return // the copy is newer: this daemon has read or written the object since
	case change.Deleted:
		if !k.remove(change.Object, change.Revision, grace) {
			return
		}
	default:
		k.lastChange = max(k.lastChange, change.Revision)
		k.set(Change{Object: change.Object})
	}
	m.notifyWaiters()
}
