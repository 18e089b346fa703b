package ratelimit

import (
	"sync"
	"time"
)

// turnKey identifies the turns of this daemon at a replica. Requests that can wait have turns of
// their own, since they leave a part of the limit to the others.
type turnKey struct {
	replica    string
	deferrable bool
}

// turn is when this daemon may next ask for a permit.
type turn struct {
	asking sync.Mutex // held while the owner is asked
	at     time.Time  // guarded by asking
}

// turns holds the turns that owners gave to this daemon. Load pattern: a step has many more items
// than a replica's limit allows, and all are placed at once. If each of them asked for a permit,
// each would get a turn after those of the others, and the daemon would stay away until the last.
type turns struct {
	mu    sync.Mutex
	byKey map[turnKey]*turn
}

// lock waits until no other request of this daemon asks for a permit, and returns the turn. The
// caller unlocks asking.
func (t *turns) lock(key turnKey) *turn {
	t.mu.Lock()
	found := t.byKey[key]
	if found == nil {
		found = &turn{}
		t.byKey[key] = found
	}
	t.mu.Unlock()
	found.asking.Lock()
	return found
}

// retain deletes the turns at other replicas than the listed ones.
func (t *turns) retain(listed func(id string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key := range t.byKey {
		if !listed(key.replica) {
			delete(t.byKey, key)
		}
	}
}
