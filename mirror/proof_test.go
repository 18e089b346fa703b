package mirror

import (
	"context"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/mirror/mirrorpb"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
)

// objectStore is a store with one object that a test changes and whose reads may fail or be followed
// by a change.
type objectStore struct {
	objectapi.ObjectStore

	object objectapi.Object
	err    error
	onRead func()
}

// Get implements objectapi.ObjectStore.
func (s *objectStore) Get(context.Context, string) (objectapi.Object, error) {
	o := s.object
	if s.onRead != nil {
		s.onRead()
	}
	return o, s.err
}

// provingMirror returns a mirror with the configuration of version 1 and a clock that the test sets.
func provingMirror(store objectapi.ObjectStore, now *time.Duration) *Mirror {
	m := New(Config{Self: "d1", Kinds: []Kind{{Name: "config", MaxWatchWait: time.Second}}, ProvenKey: "config/main", ProofInterval: time.Second},
		store, nil, func() []Member { return nil }, nil)
	m.proof.now = func() time.Duration { return *now }
	m.replace("config", objectapi.Snapshot{Revision: 5, Objects: []objectapi.Object{{Key: "config/main", Version: 1}}})
	return m
}

func version(m *Mirror) int64 { return m.Objects("config")[0].Version }

// The time of a proof is when the store was asked. Guards against a read whose answer comes late and
// would make the copy look newer than it is known to be.
func TestProofCountsFromTheQuestion(t *testing.T) {
	now := time.Hour
	store := &objectStore{object: objectapi.Object{Key: "config/main", Version: 1}, onRead: func() { now += 3 * time.Second }}
	m := provingMirror(store, &now)
	if m.ProofAge() < unknownAge {
		t.Error("there is a proof before the store was read")
	}
	if !m.prove(t.Context()) || m.ProofAge() != 3*time.Second {
		t.Errorf("age %v, want 3s", m.ProofAge())
	}
	now += time.Minute // the instance was suspended
	if m.ProofAge() != 63*time.Second {
		t.Errorf("age %v after a minute, want 63s", m.ProofAge())
	}
	store.err = fault.New(fault.Unavailable, "down", "")
	if m.prove(t.Context()) || m.ProofAge() < 63*time.Second {
		t.Error("a failed read counts as a proof")
	}
}

// Guards against a proof without the change that it was given for: a watch has not delivered the
// change yet that the read shows.
func TestProofComesWithTheChange(t *testing.T) {
	now := time.Hour
	m := provingMirror(&objectStore{object: objectapi.Object{Key: "config/main", Version: 9}}, &now)
	m.prove(t.Context())
	if version(m) != 9 || m.ProofAge() != 0 {
		t.Errorf("version %d, age %v; want the version that was read", version(m), m.ProofAge())
	}
	if resp, _ := m.updatesFor(&mirrorpb.SyncRequest{Known: []*mirrorpb.Known{{Kind: "config", Revision: 5}}}); resp.ProofAgeMs != 0 || len(resp.News) != 0 {
		t.Errorf("proof %d with %d updates; want no proof until the updates contain the change", resp.ProofAgeMs, len(resp.News))
	}
	m.apply("config", objectapi.Change{Revision: 9, Object: objectapi.Object{Key: "config/main", Version: 9}})
	if resp, _ := m.updatesFor(&mirrorpb.SyncRequest{Known: []*mirrorpb.Known{{Kind: "config", Revision: 5}}}); resp.ProofAgeMs != 1 || len(resp.News) != 1 {
		t.Errorf("proof %d with %d updates, want both", resp.ProofAgeMs, len(resp.News))
	}
}

// Another daemon's proof is never taken for newer than it is: the response may have been on its way
// for long, and a daemon that holds a request says for how long.
func TestProofOfAnotherDaemonAgesOnItsWay(t *testing.T) {
	now := time.Hour
	m := provingMirror(nil, &now)
	asked := now
	now += 2 * time.Second // the response took this long
	m.applyResponse("d2", asked, &mirrorpb.SyncAnswer{ProofAgeMs: 300, HeldMs: 900})
	if got := m.ProofAge(); got != 1400*time.Millisecond {
		t.Errorf("age %v, want 1.4s: asked 2s ago, held for 0.9s, 0.3s old then", got)
	}
	m.applyResponse("d3", asked, &mirrorpb.SyncAnswer{ProofAgeMs: 5000})
	m.applyResponse("d4", asked, &mirrorpb.SyncAnswer{}) // of a daemon without a proof
	if got := m.ProofAge(); got != 1400*time.Millisecond {
		t.Errorf("age %v after older proofs, want 1.4s", got)
	}
}

// The store is asked by the daemons that watch it only, and not while it does not respond.
func TestOnlyDaemonsThatWatchTheStoreProve(t *testing.T) {
	now := time.Hour
	m := provingMirror(nil, &now)
	if wait, _ := m.untilProofDue(); wait <= 0 {
		t.Error("a daemon that does not watch the store reads it")
	}
	m.watching = watchUrgent
	if wait, _ := m.untilProofDue(); wait > 0 {
		t.Error("a collector without a proof does not read the store")
	}
	m.storeFailed("config", fault.New(fault.Unavailable, "down", ""))
	if wait, _ := m.untilProofDue(); wait <= 0 {
		t.Error("a collector reads a store that does not respond")
	}
}

// Guards against a copy that goes back: a read shows a change, then the watch delivers the changes
// before it.
func TestOlderChangeOfWatchDoesNotReplaceWhatWasRead(t *testing.T) {
	for name, older := range map[string]objectapi.Change{
		"update":   {Revision: 7, Object: objectapi.Object{Key: "config/main", Version: 7}},
		"deletion": {Revision: 7, Object: objectapi.Object{Key: "config/main", Version: 7}, Deleted: true},
	} {
		now := time.Hour
		m := provingMirror(&objectStore{object: objectapi.Object{Key: "config/main", Version: 9}}, &now)
		m.prove(t.Context())
		m.apply("config", older)
		if objects := m.Objects("config"); len(objects) != 1 || objects[0].Version != 9 || m.ProofAge() != 0 {
			t.Errorf("%s: copy %v with a proof of age %v; want version 9", name, objects, m.ProofAge())
		}
	}
}

// Guards against a proof for a copy of an object that the store says does not exist.
func TestMissingObjectIsNoProofOfACopy(t *testing.T) {
	now := time.Hour
	m := provingMirror(&objectStore{err: fault.New(fault.NotFound, "none", "")}, &now)
	if m.prove(t.Context()); m.ProofAge() < unknownAge {
		t.Errorf("proof of age %v, but the store has no such object", m.ProofAge())
	}
}
