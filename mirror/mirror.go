// Package mirror keeps a copy of some kinds of objects of the platform's store on every
// daemon. A few daemons, the collectors, watch the store; the others wait at a collector
// for news, so that the store's calls don't grow with the fleet. A daemon that finds no
// collector with fresh news watches the store itself.
package mirror

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
	"github.com/hornbeamtide/hornbeamtide/peer"
)

const (
	// blindAge is the age of the copy from which on objects that the next answer leaves
	// out are doubted: they may have lapsed while the store was away.
	blindAge = 3 * time.Second
	// doubtTime is how long a doubted object stays: its writer, if it lives, writes it
	// again within two seconds.
	doubtTime = 2500 * time.Millisecond
)

// Kind is a kind of objects to keep.
type Kind struct {
	Name string
	// Wait is how long one watch call waits for changes. A watch may go silent without
	// a sign: a change is then seen after that time only.
	Wait time.Duration
}

// Member is another daemon.
type Member struct {
	ID            string
	Address       string // drpc host:port
	FailureDomain string
}

// Config configures a Mirror.
type Config struct {
	Self          string // ID of this daemon
	FailureDomain string
	Kinds         []Kind
}

// Change is one object that is new, changed or gone.
type Change struct {
	objectapi.Object

	Deleted bool
	From    string // the daemon that told it, FromStore, or FromSelf
}

// Where a change came from, if not from another daemon.
const (
	FromStore = "store"
	FromSelf  = "self"
)

// Mirror is the copy. Its observers are called in the order of changes, one at a time.
type Mirror struct {
	config  Config
	store   objectapi.ObjectStore
	conns   peer.Conns
	members func() []Member // this daemon may be among them
	log     *event.Logger

	mu       sync.Mutex
	kinds    map[string]*kindCopy
	lost     time.Time          // since when the store does not answer, zero while it does
	fresh    time.Time          // when the urgent kinds were last known to be the store's state
	freshAll time.Time          // the same for all kinds
	bad      map[string]passing // daemons that gave no fresh news
	watching scope              // what this daemon watches in the store
	source   string             // address of the daemon that gave fresh news last
	sourceAt time.Time          // when it did
	heard    time.Time          // when another daemon asked or answered last
	changed  chan struct{}      // closed when a kind changed
	role     chan struct{}      // closed when watching changed
}

// kindCopy is the copy of one kind: complete up to a revision of the store.
type kindCopy struct {
	Kind

	revision int64 // 0 while nothing is known
	changed  int64 // revision of the last change
	objects  map[string]objectapi.Object
	observe  []func(Change)
	answered time.Time            // when a watch call of this daemon was answered last
	doubted  map[string]time.Time // keys of objects that are deleted then
	source   string               // of the last change
}

// New returns an empty mirror. Observe must be called before Run.
func New(config Config, store objectapi.ObjectStore, conns peer.Conns, members func() []Member, log *event.Logger) *Mirror {
	m := &Mirror{
		config: config, store: store, conns: conns, members: members, log: log,
		kinds: map[string]*kindCopy{}, bad: map[string]passing{},
		changed: make(chan struct{}), role: make(chan struct{}), fresh: time.Now(), freshAll: time.Now(), heard: time.Now(), watching: nothing,
	}
	for _, kind := range config.Kinds {
		m.kinds[kind.Name] = &kindCopy{Kind: kind, objects: map[string]objectapi.Object{}, doubted: map[string]time.Time{}}
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

// Add puts an object into the copy that this daemon has just written.
func (m *Mirror) Add(kind string, o objectapi.Object) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if k := m.kinds[kind]; k.objects[o.Key].Version < o.Version {
		k.source = FromSelf
		k.set(Change{Object: o})
	}
}

// Run keeps the copy until ctx ends.
func (m *Mirror) Run(ctx context.Context) error {
	var group sync.WaitGroup
	for _, kind := range m.config.Kinds {
		group.Go(func() { m.watch(ctx, kind) })
	}
	group.Go(func() { m.attend(ctx) })
	group.Go(func() { m.hurry(ctx) })
	group.Wait()
	return nil
}

// Age returns how long ago the copy was last known to be the store's state.
func (m *Mirror) Age() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.age()
}

// ageAll returns how long ago all kinds were last known to be the store's state.
func (m *Mirror) ageAll() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.freshAll)
}

// age is Age for a caller that holds the lock.
func (m *Mirror) age() time.Duration { return time.Since(m.fresh) }

// HeardAge returns how long ago another daemon asked this one or answered it.
func (m *Mirror) HeardAge() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.heard)
}

// Source returns the address of another daemon that has just given fresh news, and so is in
// touch with the store or with one that is; "" when there is none.
func (m *Mirror) Source() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if time.Since(m.sourceAt) > staleAge {
		return ""
	}
	return m.source
}

// offeredAge is the age of the copy for others: a copy that was never whole is no source.
func (m *Mirror) offeredAge() time.Duration {
	if m.watching != nothing && !m.lost.IsZero() {
		return max(m.age(), staleAge) // the store turns this daemon away: others should not wait
	}
	if !m.whole() {
		return noAge
	}
	return m.age()
}

// noAge is the age of a copy that knows nothing.
const noAge = time.Hour

// tell wakes those who wait for news. The caller holds the lock.
func (m *Mirror) tell() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// replace brings the copy to a newer state: objects that are new or changed, and the
// keys of all. Objects that are missing after the daemon was blind are doubted first. It
// reports whether anything changed.
func (k *kindCopy) replace(revision int64, changed []objectapi.Object, keys map[string]bool, blind bool) bool {
	news := false
	for _, o := range changed {
		if k.objects[o.Key].Version < o.Version {
			k.set(Change{Object: o})
			k.changed = max(k.changed, o.Version)
			news = true
		}
	}
	for key, o := range k.objects {
		if keys[key] || o.Version > revision {
			continue
		}
		if k.remove(o, revision, blind) {
			news = true
		}
	}
	k.revision = revision
	return news
}

// remove deletes an object, or only doubts it after the daemon was blind. It reports
// whether the object is gone.
func (k *kindCopy) remove(o objectapi.Object, revision int64, blind bool) bool {
	if due, doubted := k.doubted[o.Key]; blind || doubted && time.Now().Before(due) {
		if !doubted {
			k.doubted[o.Key] = time.Now().Add(doubtTime)
		}
		return false
	}
	k.changed = max(k.changed, revision)
	k.set(Change{Object: o, Deleted: true})
	return true
}

// settleDoubts deletes the doubted objects whose time is over. It reports whether there
// were any.
func (k *kindCopy) settleDoubts() bool {
	news := false
	for key, due := range k.doubted {
		if time.Now().Before(due) {
			continue
		}
		o, held := k.objects[key]
		delete(k.doubted, key)
		if held {
			// Others learn of it with the next revision of the store.
			k.remove(o, k.revision+1, false)
			news = true
		}
	}
	return news
}

func (k *kindCopy) set(change Change) {
	change.From = k.source
	delete(k.doubted, change.Key)
	if change.Deleted {
		delete(k.objects, change.Key)
	} else {
		k.objects[change.Key] = change.Object
	}
	for _, f := range k.observe {
		f(change)
	}
}
