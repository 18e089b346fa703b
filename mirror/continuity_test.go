package mirror

import (
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/mirror/mirrorpb"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
)

// cutOffMirror returns the mirror of a daemon in a fleet that heard nothing for a minute. It holds
// the replicas left and stays.
func cutOffMirror() *Mirror {
	m := newTestMirror()
	m.others = 3
	m.replace("servers", objectapi.Snapshot{Revision: 2, Objects: []objectapi.Object{testObject("left", 1), testObject("stays", 2)}})
	m.freshAt = time.Now().Add(-time.Minute)
	return m
}

// peerUpdate returns the response of a daemon that has only the replica stays.
func peerUpdate(age, unbroken time.Duration) *mirrorpb.SyncAnswer {
	return &mirrorpb.SyncAnswer{AgeMs: age.Milliseconds(), UnbrokenMs: unbroken.Milliseconds(), News: []*mirrorpb.News{
		{Kind: "servers", Revision: 9, Keys: []string{"servers/stays"}},
	}}
}

// Guards against requests to a replica that left while this daemon alone was cut off (found in a
// review, case 5). A grace period would reach past the time after which the daemon counts as being
// in contact again.
func TestReplicasThatLeftDuringIsolationAreRemovedAtOnce(t *testing.T) {
	afterCut := objectapi.Snapshot{Revision: 9, Objects: []objectapi.Object{testObject("stays", 2)}}
	for name, contact := range map[string]func(m *Mirror){
		"list of the store": func(m *Mirror) { m.replace("servers", afterCut) },
		"watch of the store": func(m *Mirror) {
			m.apply("servers", objectapi.Change{Revision: 9, Object: testObject("left", 9), Deleted: true})
		},
		"daemon that was not cut off": func(m *Mirror) { m.applyResponse("d2", 0, peerUpdate(0, 2*time.Minute)) },
		"list of the store, beside another daemon that was cut off too": func(m *Mirror) {
			m.applyResponse("d2", 0, &mirrorpb.SyncAnswer{AgeMs: time.Minute.Milliseconds()})
			m.replace("servers", afterCut)
		},
		"two that were cut off too, then one that was not": func(m *Mirror) {
			m.applyResponse("d2", 0, &mirrorpb.SyncAnswer{AgeMs: time.Minute.Milliseconds()})
			m.applyResponse("d4", 0, &mirrorpb.SyncAnswer{AgeMs: time.Minute.Milliseconds()})
			m.replace("servers", afterCut)
			m.applyResponse("d3", 0, &mirrorpb.SyncAnswer{UnbrokenMs: (2 * time.Minute).Milliseconds()})
		},
	} {
		m := cutOffMirror()
		contact(m)
		if hasObject(m, "left") || !hasObject(m, "stays") {
			t.Errorf("%s: left %t, stays %t; want only stays", name, hasObject(m, "left"), hasObject(m, "stays"))
		}
	}
}

// Guards against the loss of all replicas after an outage of the store, in which entries of live
// replicas expire. All daemons were without a fresh copy, whoever is heard first.
func TestReplicasMissingAfterSharedOutageHaveGracePeriod(t *testing.T) {
	stale := &mirrorpb.SyncAnswer{AgeMs: time.Minute.Milliseconds()}
	for name, contact := range map[string]func(m *Mirror){
		"list of the store": func(m *Mirror) { m.replace("servers", objectapi.Snapshot{Revision: 9}) },
		"daemon that has regained the store": func(m *Mirror) {
			m.applyResponse("d3", 0, peerUpdate(0, time.Second))
		},
	} {
		m := cutOffMirror()
		m.applyResponse("d2", 0, stale)
		m.applyResponse("d4", 0, stale)
		contact(m)
		if !hasObject(m, "left") {
			t.Errorf("%s: the missing replica was removed at once", name)
		}
	}
}

// Guards against a daemon that, back from a cut, asks no other daemon for up to a minute because none
// responded during the cut.
func TestDaemonsAreAskedAgainAfterIsolation(t *testing.T) {
	m := cutOffMirror()
	m.skip("d2", time.Minute)
	m.replace("servers", objectapi.Snapshot{Revision: 9})
	if m.isSkipped("d2") {
		t.Error("a daemon that did not respond during the cut is still skipped")
	}
}

func TestContinuityOfCopy(t *testing.T) {
	start := time.Now()
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	var c continuity
	c.fresh(at(1), at(1), at(0))
	c.fresh(at(2), at(2), at(1))
	if got := c.unbroken(at(4), at(2)); got != 3*time.Second {
		t.Errorf("unbroken for %v, want 3s", got)
	}
	if got := c.unbroken(at(6), at(2)); got != 0 {
		t.Errorf("unbroken for %v during an outage, want 0", got)
	}
	if c.fresh(at(7), at(3), at(2)) || !c.fresh(at(7), at(7), at(2)) || c.unbroken(at(9), at(7)) != 2*time.Second {
		t.Errorf("unbroken for %v after an outage, want 2s", c.unbroken(at(9), at(7)))
	}
	if c.peerResponded("d2", at(8), at(7), 0, 5*time.Second) || !c.peerResponded("d2", at(8), at(7), 0, 7*time.Second) {
		t.Error("want only the daemon that followed the store for the whole outage to end grace periods")
	}
}

// Guards against the loss of all replicas after an outage of the store of three to five seconds: the
// other daemons were asked when their copies were outdated but this daemon's was not yet so for
// outageAge, and are then skipped for longer than the outage lasts.
func TestSharedOutageIsKnownFromItsBegin(t *testing.T) {
	m := cutOffMirror()
	m.freshAt = time.Now().Add(-staleAge - 200*time.Millisecond)
	stale := &mirrorpb.SyncAnswer{AgeMs: (staleAge + 200*time.Millisecond).Milliseconds()}
	m.applyResponse("d2", 0, stale)
	m.applyResponse("d3", 0, stale)
	m.freshAt = m.freshAt.Add(-2 * time.Second) // both are skipped meanwhile
	m.replace("servers", objectapi.Snapshot{Revision: 9})
	if !hasObject(m, "left") || !hasObject(m, "stays") {
		t.Error("the replicas were removed at once after an outage of all daemons")
	}
}

// Guards against requests to a replica that left while several daemons were cut off: the response that
// shows that the store was available all the time must remove the replica itself.
func TestResponseThatShowsACutRemovesReplicas(t *testing.T) {
	m := cutOffMirror()
	stale := &mirrorpb.SyncAnswer{AgeMs: time.Minute.Milliseconds()}
	m.applyResponse("d2", 0, stale)
	m.applyResponse("d4", 0, stale)
	m.applyResponse("d3", 0, peerUpdate(0, 2*time.Minute))
	if hasObject(m, "left") {
		t.Error("a replica that left during the cut is still listed")
	}
}
