// Package mirror keeps a mirror, a local copy of some kinds of objects of the platform's store,
// on every daemon. A few daemons, the collectors, watch the store. The others long-poll a
// collector for updates, so that the number of store calls does not grow with the fleet. A
// daemon that finds no collector with a fresh copy watches the store itself.
package mirror

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/clock"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
	"github.com/hornbeamtide/hornbeamtide/peer"
)

const (
	// missingGracePeriod is how long such a missing object stays. A writer that is alive writes
	// its object again within 2 s.
	missingGracePeriod = 2500 * time.Millisecond
	// staleFallbackDelay is how long after its start a daemon rejects outdated copies of other
	// daemons. Several are asked in that time; in an outage of the store all of them are outdated.
	staleFallbackDelay = 600 * time.Millisecond
)

// Kind is a kind of objects to mirror.
type Kind struct {
	Name string
	// MaxWatchWait is how long one watch call waits for changes. A watch may stop delivering
	// changes without an error; a change is then seen only after this time.
	MaxWatchWait time.Duration
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
	// ProvenKey is an object of one of the kinds, and ProofInterval the time between two reads by
	// which daemons prove that their copy of it is the newest; 0 for no proofs.
	ProvenKey     string
	ProofInterval time.Duration
}

// Change is an object that was created, updated or deleted.
type Change struct {
	objectapi.Object

	Deleted bool
	From    string // ID of the daemon that sent the change, FromStore or FromSelf
}

// Values of Change.From for changes that did not come from another daemon.
const (
	FromStore = "store"
	FromSelf  = "self"
)

// Mirror is the local copy. Its observers are called one at a time, in the order of changes.
type Mirror struct {
	cfg     Config
	store   objectapi.ObjectStore
	conns   peer.ConnProvider
	members func() []Member // this daemon may be among them
	log     *event.Logger

	mu           sync.Mutex
	kinds        map[string]*kindCopy
	startedAt    time.Time  // when this daemon started
	confirmed    bool       // the copy once matched the store since the start
	storeLostAt  time.Time  // when the store stopped responding to this daemon; zero while it responds
	freshAt      time.Time  // when the urgent kinds last matched the store
	continuity   continuity // since when they have followed it
	proof        proof
	allFreshAt   time.Time             // when all kinds last matched the store
	skipped      map[string]skipPeriod // daemons without a fresh copy, by ID
	watching     scope                 // what this daemon watches in the store
	others       int                   // number of other daemons known
	lastSource   string                // address of the last daemon that responded with a fresh copy
	lastSourceAt time.Time             // when lastSource responded
	lastContact  time.Time             // when another daemon last sent a request or a response
	changed      chan struct{}         // closed and replaced when a kind changes
	roleChange   chan struct{}         // closed and replaced when the result of shouldWatch may change
}

// kindCopy is the copy of one kind, complete up to a revision of the store.
type kindCopy struct {
	Kind

	revision    int64 // 0 until the full state was received; never decreases
	mustList    bool  // the store no longer holds the changes after revision
	lastChange  int64 // revision of the last change
	objects     map[string]objectapi.Object
	observers   []func(Change)
	respondedAt time.Time            // when the store last responded to a list or watch call of this daemon
	missing     map[string]time.Time // when to delete an object that is missing after an outage, by key
	source      string               // Change.From of the changes being applied
	log         *event.Logger
}

// New returns an empty mirror. Observe must be called before Run.
func New(cfg Config, store objectapi.ObjectStore, conns peer.ConnProvider, members func() []Member, log *event.Logger) *Mirror {
	m := &Mirror{
		cfg: cfg, store: store, conns: conns, members: members, log: log,
		kinds: map[string]*kindCopy{}, skipped: map[string]skipPeriod{},
		startedAt: time.Now(), changed: make(chan struct{}), roleChange: make(chan struct{}), freshAt: time.Now(), allFreshAt: time.Now(), lastContact: time.Now(), watching: watchNothing,
		continuity: continuity{staleDaemons: map[string]bool{}}, proof: proof{now: clock.BootTime},
	}
	for _, kind := range cfg.Kinds {
		m.kinds[kind.Name] = &kindCopy{Kind: kind, objects: map[string]objectapi.Object{}, missing: map[string]time.Time{}, log: log}
	}
	return m
}

// Observe calls f for each later change of the kind. f must not block or call the mirror.
func (m *Mirror) Observe(kind string, f func(Change)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.kinds[kind].observers = append(m.kinds[kind].observers, f)
}

// Known reports whether the mirror has received the full state of a kind.
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

// Add adds an object that this daemon has just written to the copy.
func (m *Mirror) Add(kind string, o objectapi.Object) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if k := m.kinds[kind]; k.objects[o.Key].Version < o.Version {
		k.source = FromSelf
		k.set(Change{Object: o})
	}
}

// Run keeps the copy up to date until ctx ends.
func (m *Mirror) Run(ctx context.Context) error {
	var group sync.WaitGroup
	for _, kind := range m.cfg.Kinds {
		group.Go(func() { m.watch(ctx, kind) })
	}
	group.Go(func() { m.syncLoop(ctx) })
	group.Go(func() { m.initialSync(ctx) })
	if m.cfg.ProofInterval > 0 {
		group.Go(func() { m.keepProof(ctx) })
	}
	group.Wait()
	return nil
}

// Age returns how long ago the urgent kinds last matched the store.
func (m *Mirror) Age() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.age()
}

// ConfirmedAge returns how long ago the urgent kinds last matched the store, unknownAge if they did not
// since the start: Age then counts from the start, and the copy may be much older.
func (m *Mirror) ConfirmedAge() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.confirmed {
		return unknownAge
	}
	return m.age()
}

// ageAll returns how long ago all kinds last matched the store.
func (m *Mirror) ageAll() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.allFreshAt)
}

// age is Age for a caller that holds the lock.
func (m *Mirror) age() time.Duration { return time.Since(m.freshAt) }

// SinceLastContact returns how long ago another daemon last sent this one a request or a response.
func (m *Mirror) SinceLastContact() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.lastContact)
}

// Source returns the address of another daemon that recently responded with a fresh copy, and so
// reaches the store directly or through a collector; "" if there is none.
func (m *Mirror) Source() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if time.Since(m.lastSourceAt) > staleAge {
		return ""
	}
	return m.lastSource
}

// advertisedAge returns the age of the copy that is sent to other daemons. An incomplete copy has
// unknownAge, so that no daemon uses it as a source. The caller holds the lock.
func (m *Mirror) advertisedAge() time.Duration {
	if m.watching != watchNothing && !m.storeLostAt.IsZero() {
		return max(m.age(), staleAge) // the store does not respond to this daemon: others should not wait here
	}
	if !m.isCompleteLocked() {
		return unknownAge
	}
	if !m.confirmed {
		return max(m.age(), staleAge) // freshAt is the start of this daemon, the copy may be much older
	}
	return m.age()
}

// unknownAge is the age of an incomplete copy.
const unknownAge = time.Hour

// notifyWaiters wakes the requests that wait for updates. The caller holds the lock.
func (m *Mirror) notifyWaiters() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// replace updates the copy to a newer revision, given the objects that are new or changed and
// the keys of all objects. With grace, missing objects are kept for a grace period before they are
// deleted. It reports whether anything changed.
func (k *kindCopy) replace(revision int64, changed []objectapi.Object, keys map[string]bool, grace bool) bool {
	updated := false
	for _, o := range changed {
		if k.objects[o.Key].Version < o.Version {
			k.set(Change{Object: o})
			k.lastChange = max(k.lastChange, o.Version)
			updated = true
		}
	}
	for key, o := range k.objects {
		if keys[key] || o.Version > revision {
			continue
		}
		if k.remove(o, revision, grace) {
			updated = true
		}
	}
	k.revision = revision
	return updated
}

// remove deletes an object; with grace it only starts the object's grace period. It reports whether
// the object was deleted.
func (k *kindCopy) remove(o objectapi.Object, revision int64, grace bool) bool {
	if deleteAt, isMissing := k.missing[o.Key]; grace || isMissing && time.Now().Before(deleteAt) {
		if !isMissing {
			k.missing[o.Key] = time.Now().Add(missingGracePeriod)
		}
		return false
	}
	k.lastChange = max(k.lastChange, revision)
	k.set(Change{Object: o, Deleted: true})
	return true
}

// endGrace ends the grace periods of all missing objects.
func (k *kindCopy) endGrace() {
	for key := range k.missing {
		k.missing[key] = time.Time{}
	}
}

// expireMissing deletes the missing objects whose grace period is over. It reports whether there
// were any.
func (k *kindCopy) expireMissing() bool {
	expired := false
	for key, deleteAt := range k.missing {
		if time.Now().Before(deleteAt) {
			continue
		}
		o, exists := k.objects[key]
		delete(k.missing, key)
		if exists {
			// Other daemons receive the deletion with the next revision of the store.
			k.remove(o, k.revision+1, false)
			expired = true
		}
	}
	return expired
}

// owns reports whether an object with the key is of this kind and has a name.
func (k *kindCopy) owns(key string) bool {
	name, found := strings.CutPrefix(key, k.Name+"/")
	return found && name != ""
}

// set applies a change and calls the observers. An object without a name is ignored. An observer that
// panics ends nothing else: the object that it can't bear comes again at each daemon and each restart.
func (k *kindCopy) set(change Change) {
	if !k.owns(change.Key) {
		return
	}
	change.From = k.source
	delete(k.missing, change.Key)
	if change.Deleted {
		delete(k.objects, change.Key)
	} else {
		k.objects[change.Key] = change.Object
	}
	for _, f := range k.observers {
		k.log.Guard("observer of "+change.Key, func() { f(change) })
	}
}
