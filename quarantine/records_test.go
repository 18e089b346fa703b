package quarantine

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/catalog"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
	"github.com/hornbeamtide/hornbeamtide/standin/memstore"
)

const testFingerprint = "f"

var threeReplicas = []catalog.Replica{{ID: "a"}, {ID: "b"}, {ID: "c"}}

// testFleet is a set of registries on a simulated clock.
type testFleet struct {
	now   time.Time
	nodes []*registry
}

func newTestFleet(n int) *testFleet {
	f := &testFleet{now: time.Unix(1000, 0)}
	for range n {
		f.nodes = append(f.nodes, newRegistry(func() time.Time { return f.now }))
	}
	return f
}

// exchange tells each registry what all others know.
func (f *testFleet) exchange() {
	for _, from := range f.nodes {
		for _, to := range f.nodes {
			to.Merge(from.Facts())
		}
	}
}

func (f *testFleet) checkCrashes(t *testing.T, want int) {
	t.Helper()
	for i, node := range f.nodes {
		if got, _, _ := node.crashes(testFingerprint, nil); got != want {
			t.Errorf("registry %d knows %d crashes, want %d", i, got, want)
		}
		if node.Digest() != f.nodes[0].Digest() {
			t.Errorf("the digests of registries 0 and %d differ", i)
		}
	}
}

func TestJudge(t *testing.T) {
	const soon, later = suspectDelay - time.Millisecond, suspectDelay
	table := []struct {
		crashes         int
		sinceLast       time.Duration
		healthy, listed int
		want            Verdict
	}{
		{0, 0, 0, 3, Allowed},
		{1, soon, 1, 3, Allowed},
		{2, later, 2, 3, Allowed},
		{2, soon, 2, 3, Postponed},  // other daemons may not know yet that replicas are back
		{2, later, 1, 3, Postponed}, // the last healthy replica is left to the other callers
		{2, later, 0, 3, Postponed},
		{2, soon, 1, 1, Allowed}, // there is no other replica
		{3, later, 3, 3, Quarantined},
		{3, later, 1, 1, Quarantined},
		{7, later, 30, 33, Quarantined},
	}
	for _, row := range table {
		if got := Judge(row.crashes, row.sinceLast, row.healthy, row.listed); got != row.want {
			t.Errorf("%d crashes, the last %v ago, %d of %d replicas healthy: verdict %d, want %d", row.crashes, row.sinceLast, row.healthy, row.listed, got, row.want)
		}
	}
}

// A daemon that has not heard of the crashes by itself takes the replicas for healthy.
func TestCrashedReplicasAreNotHealthy(t *testing.T) {
	f := newTestFleet(2)
	f.nodes[0].addCrash(testFingerprint, incarnation{"r0", 1})
	f.nodes[0].addCrash(testFingerprint, incarnation{"r1", 1})
	f.exchange()
	healthy := []catalog.Replica{{ID: "r0", StartedMs: 1}, {ID: "r1", StartedMs: 2}, {ID: "r2", StartedMs: 1}}
	if _, _, spared := f.nodes[1].crashes(testFingerprint, healthy); spared != 2 {
		t.Errorf("%d healthy replicas, want r2 and the next incarnation of r1", spared)
	}
}

// The request comes again at other daemons: the crashes that each of them saw count together, and a
// replica that several of them saw counts once.
func TestCrashesSeenByDifferentDaemonsAddUp(t *testing.T) {
	f := newTestFleet(4)
	for i, node := range f.nodes[:3] {
		node.addCrash(testFingerprint, incarnation{fmt.Sprint("r", i), 1})
		node.addCrash(testFingerprint, incarnation{"seen by all", 1})
		f.now = f.now.Add(time.Second)
	}
	f.exchange()
	f.checkCrashes(t, 4)
	f.nodes = append(f.nodes, newRegistry(f.nodes[0].now)) // a daemon that restarted
	f.exchange()
	f.checkCrashes(t, 4)
}

// A request beside one that crashes replicas is counted too; a response must clear it everywhere, and
// facts on their way must not bring the crashes back.
func TestResponseClearsCrashesEverywhere(t *testing.T) {
	f := newTestFleet(3)
	f.nodes[0].addCrash(testFingerprint, incarnation{"r0", 1})
	f.nodes[1].addCrash(testFingerprint, incarnation{"r1", 1})
	f.exchange()
	late := f.nodes[1].Facts()
	f.now = f.now.Add(100 * time.Millisecond)
	if !f.nodes[2].clear(testFingerprint) {
		t.Fatal("nothing to clear")
	}
	f.exchange()
	f.checkCrashes(t, 0)
	for i := range late {
		late[i].Age = 100 * time.Millisecond
	}
	f.nodes[0].Merge(late)
	f.checkCrashes(t, 0)
	f.now = f.now.Add(time.Second)
	f.nodes[0].addCrash(testFingerprint, incarnation{"r2", 1})
	f.exchange()
	f.checkCrashes(t, 1)
}

func TestRecordsExpire(t *testing.T) {
	f := newTestFleet(1)
	f.nodes[0].addCrash(testFingerprint, incarnation{"r", 1})
	f.now = f.now.Add(recordLifetime - time.Second)
	f.nodes[0].removeExpired()
	f.checkCrashes(t, 1)
	f.now = f.now.Add(2 * time.Second)
	f.nodes[0].removeExpired()
	f.checkCrashes(t, 0)
}

func TestMemoryIsBounded(t *testing.T) {
	f := newTestFleet(1)
	node := f.nodes[0]
	for i := range maxCrashes {
		node.addCrash(testFingerprint, incarnation{fmt.Sprint("r", i), 1})
	}
	for i := range 5 * maxRecords {
		f.now = f.now.Add(time.Millisecond)
		node.addCrash(fmt.Sprint("other-", i), incarnation{"r", 1})
	}
	for i := range 5 * maxCrashesKept {
		node.addCrash(testFingerprint, incarnation{fmt.Sprint("late", i), 1})
	}
	if len(node.records) > maxRecords || len(node.records[testFingerprint].crashes) > maxCrashesKept {
		t.Errorf("%d records, %d crashes of one of them", len(node.records), len(node.records[testFingerprint].crashes))
	}
	if n, _, _ := node.crashes(testFingerprint, nil); n < maxCrashes {
		t.Error("the quarantined request was forgotten before those with one crash")
	}
}

// noObjects is the mirror of a store without records.
type noObjects struct{}

func (noObjects) Objects(string) []objectapi.Object { return nil }

func newTestManager(t *testing.T, store objectapi.ObjectStore, accepts bool) *Manager {
	t.Helper()
	m := NewManager(Dependencies{
		Store: store, Mirror: noObjects{}, Members: func() map[string]string { return map[string]string{"d": "a"} },
		Accepts: func(context.Context, catalog.Replica) bool { return accepts },
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = m.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return m
}

func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting until " + what)
		}
	}
}

func breakThreeConnections(m *Manager) {
	for i := range maxCrashes {
		m.RecordBreak(testFingerprint, catalog.Replica{ID: fmt.Sprint("r", i)})
	}
}

// Guards against a quarantine that a restart of all daemons forgets, also if the store was away when it
// began.
func TestQuarantineSurvivesInStore(t *testing.T) {
	store := memstore.New()
	store.SetFaults(memstore.Faults{Outage: true})
	m := newTestManager(t, store, false)
	breakThreeConnections(m)
	waitUntil(t, "the request is quarantined", func() bool { return m.Check(testFingerprint, threeReplicas, 3) != nil })
	store.SetFaults(memstore.Faults{})
	var stored objectapi.Object
	waitUntil(t, "the record is stored", func() bool {
		var err error
		stored, err = store.Get(t.Context(), Kind+"/"+testFingerprint)
		return err == nil
	})
	restarted := newTestManager(t, store, false)
	restarted.ApplyStored(stored)
	err := restarted.Check(testFingerprint, threeReplicas, 3)
	if fault.OutcomeOf(err) != fault.NotRun {
		t.Fatalf("error %v, want a refusal as not run", err)
	}
	if retryAfter := fault.RetryAfterOf(err); retryAfter < recordLifetime-time.Minute || retryAfter > recordLifetime {
		t.Errorf("retry after %v, want the end of the quarantine", retryAfter)
	}
}

func TestBreakOfReplicaThatAcceptsConnectionsIsNoCrash(t *testing.T) {
	m := newTestManager(t, memstore.New(), true)
	breakThreeConnections(m)
	waitUntil(t, "the probes have ended", func() bool {
		if !m.probes.TryAcquire(maxProbes) {
			return false
		}
		m.probes.Release(maxProbes)
		return true
	})
	if err := m.Check(testFingerprint, nil, 3); err != nil || !m.IsIdle() {
		t.Errorf("error %v", err)
	}
}
