// Package mirror keeps a copy of some kinds of objects of the platform's store. A daemon
// watches the store and asks one peer a second for what it missed, so that one which the
// store turns away or forgets still learns of changes.
package mirror

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
	"github.com/hornbeamtide/hornbeamtide/peer"
)

const (
	// firstPause and maxPause bound the wait before a failed watch is opened again.
	firstPause = 100 * time.Millisecond
	maxPause   = time.Second
	// outageGrace is how long after an outage of the store a vanished object may be one
	// whose writer has not reached the store yet.
	outageGrace = 4 * time.Second
)

// Config configures a Mirror.
type Config struct {
	Self         string        // ID of this daemon
	Kinds        []string      // kinds of objects to keep
	SyncInterval time.Duration // between two questions to peers
}

// Peers tells the addresses of other daemons by ID.
type Peers func() map[string]string

// Change is one object that is new, changed or gone.
type Change struct {
	objectapi.Object

	Deleted bool
	// Lapsed says of a deletion that the store was away shortly before: the object's
	// writer may write it again.
	Lapsed bool
}

// Mirror is the copy. Its observers are called in the order of changes, one at a time.
type Mirror struct {
	config Config
	store  objectapi.ObjectStore
	conns  peer.Conns
	peers  Peers
	log    *event.Logger

	mu        sync.Mutex
	kinds     map[string]*kindCopy
	heard     map[string]time.Time // by daemon: its last call or answer
	lost      time.Time            // since when the store does not answer, zero while it does
	regained  time.Time            // end of its last outage
	storeNews time.Time            // when the store answered last
}

// kindCopy is the copy of one kind: complete up to a revision of the store.
type kindCopy struct {
	revision int64 // 0 while nothing is known
	objects  map[string]objectapi.Object
	observe  []func(Change)
}

// New returns an empty mirror. Observe must be called before Run.
func New(config Config, store objectapi.ObjectStore, conns peer.Conns, peers Peers, log *event.Logger) *Mirror {
	m := &Mirror{
		config: config, store: store, conns: conns, peers: peers, log: log,
		kinds: map[string]*kindCopy{}, heard: map[string]time.Time{},
	}
	for _, kind := range config.Kinds {
		m.kinds[kind] = &kindCopy{objects: map[string]objectapi.Object{}}
	}
	return m
}

// Observe calls f for each later change of the kind. f must not block or call the mirror.
func (m *Mirror) Observe(kind string, f func(Change)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.kinds[kind].observe = append(m.kinds[kind].observe, f)
}

// Known reports whether the whole of a kind was ever seen.
func (m *Mirror) Known(kind string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.kinds[kind].revision > 0
}

// Objects returns the objects of a kind, ordered by key.
func (m *Mirror) Objects(kind string) []objectapi.Object {
	m.mu.Lock()
	defer m.mu.Unlock()
	objects := m.kinds[kind].objects
	found := make([]objectapi.Object, 0, len(objects))
	for _, key := range slices.Sorted(maps.Keys(objects)) {
		found = append(found, objects[key])
	}
	return found
}

// Object returns one object.
func (m *Mirror) Object(kind, key string) (objectapi.Object, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.kinds[kind].objects[key]
	return o, ok
}

// Add puts an object into the copy that this daemon has just written.
func (m *Mirror) Add(kind string, o objectapi.Object) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.kinds[kind]
	if k.objects[o.Key].Version >= o.Version {
		return
	}
	k.set(Change{Object: o})
}

// Heard returns when a daemon was last heard, zero if never.
func (m *Mirror) Heard(id string) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.heard[id]
}

// StoreAnswers reports whether the last call of the store was answered.
func (m *Mirror) StoreAnswers() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lost.IsZero() && !m.storeNews.IsZero()
}

// Run keeps the copy until ctx ends.
func (m *Mirror) Run(ctx context.Context) error {
	var group sync.WaitGroup
	for _, kind := range m.config.Kinds {
		group.Go(func() { m.watch(ctx, kind) })
	}
	group.Go(func() { m.syncWithPeers(ctx) })
	group.Wait()
	return nil
}

// watch follows one kind in the store.
func (m *Mirror) watch(ctx context.Context, kind string) {
	pause := firstPause
	for ctx.Err() == nil {
		progressed, err := m.follow(ctx, kind)
		if ctx.Err() != nil {
			return
		}
		if progressed {
			pause = firstPause
		}
		if fault.Is(err, fault.Conflict) {
			m.log.Log(event.MirrorHistoryGone, event.F("kind", kind))
			m.forgetRevision(kind)
			continue
		}
		m.storeFailed(kind, err)
		sleep(ctx, pause)
		pause = min(2*pause, maxPause)
	}
}

// follow lists the kind if nothing is known of it, then watches it until an error. It
// reports whether the store answered at all.
func (m *Mirror) follow(ctx context.Context, kind string) (progressed bool, err error) {
	after := m.listed(kind)
	if after == 0 {
		list, err := m.store.List(ctx, kind+"/")
		if err != nil {
			return false, err
		}
		m.replace(kind, list.Revision, list.Objects)
		after, progressed = list.Revision, true
	}
	watch, err := m.store.Watch(ctx, kind+"/", after)
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
		m.apply(kind, change)
	}
}

func (m *Mirror) listed(kind string) int64 {
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
		m.log.Log(event.MirrorStoreLost, event.F("kind", kind), event.Err(err))
	}
}

// storeAnswered notes an answer of the store. The caller holds the lock.
func (m *Mirror) storeAnswered() {
	m.storeNews = time.Now()
	if !m.lost.IsZero() {
		m.log.Log(event.MirrorStoreRegained, event.F("after", time.Since(m.lost).Round(time.Millisecond)))
		m.lost, m.regained = time.Time{}, time.Now()
	}
}

// disturbed reports whether the store is away or was a short time ago. The caller holds
// the lock.
func (m *Mirror) disturbed() bool {
	return !m.lost.IsZero() || time.Since(m.regained) < outageGrace
}

// replace takes a whole list of a kind.
func (m *Mirror) replace(kind string, revision int64, objects []objectapi.Object) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.storeAnswered()
	k := m.kinds[kind]
	if revision < k.revision {
		return
	}
	keys := map[string]bool{}
	for _, o := range objects {
		keys[o.Key] = true
	}
	k.replace(revision, objects, keys, m.disturbed())
}

// apply takes one change of a watch.
func (m *Mirror) apply(kind string, change objectapi.Change) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.storeAnswered()
	k := m.kinds[kind]
	if change.Revision <= k.revision {
		return
	}
	k.revision = change.Revision
	if !change.Bookmark {
		k.set(Change{Object: change.Object, Deleted: change.Deleted, Lapsed: m.disturbed()})
	}
}

// replace brings the copy to a newer state: objects that are new or changed, and the
// keys of all.
func (k *kindCopy) replace(revision int64, changed []objectapi.Object, keys map[string]bool, lapsed bool) {
	for _, o := range changed {
		if k.objects[o.Key].Version < o.Version {
			k.set(Change{Object: o})
		}
	}
	for key, o := range k.objects {
		if !keys[key] && o.Version <= revision {
			k.set(Change{Object: o, Deleted: true, Lapsed: lapsed})
		}
	}
	k.revision = revision
}

func (k *kindCopy) set(change Change) {
	if change.Deleted {
		delete(k.objects, change.Key)
	} else {
		k.objects[change.Key] = change.Object
	}
	for _, f := range k.observe {
		f(change)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
