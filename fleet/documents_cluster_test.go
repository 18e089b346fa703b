package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/document"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/standin/fakeplatform"
)

// recorder records the version in force after each change and any decrease.
type recorder struct {
	mu       sync.Mutex
	last     map[string]int64
	reverted []string
}

// startRecorder records the versions of the daemon's current Manager until ctx ends. After a
// restart the daemon has another Manager.
func startRecorder(ctx context.Context, n *node) *recorder {
	r := &recorder{last: map[string]int64{}}
	manager := n.Manager
	go func() {
		for ctx.Err() == nil {
			changed := manager.Changed()
			r.record(manager.All())
			select {
			case <-changed:
			case <-ctx.Done():
			}
		}
	}()
	return r
}

func (r *recorder) record(all []document.VersionedDocument) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, held := range all {
		service := held.Document.Service
		if held.Version < r.last[service] {
			r.reverted = append(r.reverted, fmt.Sprintf("%s from %d to %d", service, r.last[service], held.Version))
		}
		r.last[service] = held.Version
	}
}

func (r *recorder) check(t *testing.T, id string) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, reverted := range r.reverted {
		t.Errorf("%s: %s", id, reverted)
	}
}

func TestConcurrentApplyConflictNamesBothVersions(t *testing.T) {
	c := newCluster(t)
	nodes := []*node{c.add("d1", "x"), c.add("d2", "y"), c.add("d3", "z")}
	eventually(t, "all ready", func() bool { return allReady(nodes) })
	base := apply(t, nodes[0], "svc base", 0)
	var wg sync.WaitGroup
	results := make([]error, 2)
	for i := range results {
		wg.Go(func() {
			_, results[i] = nodes[i].Apply(context.Background(), []byte(fmt.Sprint("svc operator ", i)), base)
		})
	}
	wg.Wait()
	conflict := results[0]
	if conflict == nil {
		conflict = results[1]
	}
	if (results[0] == nil) == (results[1] == nil) || !fault.Is(conflict, fault.Conflict) {
		t.Fatalf("results %v, want one success and one conflict", results)
	}
	winner, _ := c.fake.Object("documents/svc")
	for _, version := range []int64{base, winner.Version} {
		if !strings.Contains(conflict.Error(), fmt.Sprintf("version %d", version)) {
			t.Errorf("conflict %q does not name version %d", conflict, version)
		}
	}
	eventually(t, "the successful change in force everywhere", func() bool { return inForceOnAll(nodes, "svc", winner.Version) })
}

func TestApplyReadsBackAfterLostResponse(t *testing.T) {
	c := newCluster(t)
	n := c.add("d1", "x")
	for i, version := 0, int64(0); i < 3; i++ {
		c.fake.SetFaults(fakeplatform.Faults{LoseResponses: 1})
		text := fmt.Sprint("svc change ", i)
		version = apply(t, n, text, version)
		if stored, _ := c.fake.Object("documents/svc"); string(stored.Value) != text || stored.Version != version {
			t.Fatalf("stored %q at version %d, want %q at version %d", stored.Value, stored.Version, text, version)
		}
	}
}

func TestApplyDuringOutageIsNotApplied(t *testing.T) {
	c := newCluster(t)
	n := c.add("d1", "x")
	version := apply(t, n, "svc one", 0)
	c.fake.SetFaults(fakeplatform.Faults{Outage: true})
	_, err := n.Apply(context.Background(), []byte("svc two"), version)
	if !fault.Is(err, fault.Unavailable) || fault.OutcomeOf(err) != fault.NotRun || !strings.Contains(err.Error(), "not applied") {
		t.Errorf("error %v with outcome %q", err, fault.OutcomeOf(err))
	}
	if got := n.inForce("svc"); got != version {
		t.Errorf("in force is version %d, want %d", got, version)
	}
	if held, err := n.Get(context.Background(), "svc"); err != nil || held.Version != version {
		t.Errorf("get returned version %d and %v, want %d", held.Version, err, version)
	}
}

func TestRestartedDaemonGetsDocumentsFromPeersDuringOutage(t *testing.T) {
	c := newCluster(t)
	nodes := []*node{c.add("d1", "x"), c.add("d2", "x"), c.add("d3", "x"), c.add("d4", "y")}
	eventually(t, "all ready", func() bool { return allReady(nodes) })
	version := apply(t, nodes[0], "svc one", 0)
	eventually(t, "in force everywhere", func() bool { return inForceOnAll(nodes, "svc", version) })

	for _, restarted := range nodes {
		restarted.stop()
		if restarted == nodes[0] {
			version = apply(t, nodes[1], "svc newer", version)
			eventually(t, "newer in force on the others", func() bool { return inForceOnAll(nodes[1:], "svc", version) })
			c.fake.SetFaults(fakeplatform.Faults{Outage: true})
		}
		restarted.start()
		eventually(t, restarted.self.ID+" has the newer document", func() bool {
			return restarted.Ready() && restarted.inForce("svc") == version
		})
	}
	if got, _ := c.fake.Object("documents/svc"); got.Version != version {
		t.Errorf("platform holds version %d, want %d", got.Version, version)
	}
}

// TestNotReadyBeforePlatformReadWhenPeersAreStale restarts a collector whose peers missed a
// change and respond before the platform does. The collector must not become ready with the
// older version.
func TestNotReadyBeforePlatformReadWhenPeersAreStale(t *testing.T) {
	c := newCluster(t)
	nodes := []*node{c.add("d1", "x"), c.add("d2", "x"), c.add("d3", "x")}
	eventually(t, "all ready with two collectors", func() bool { return allReady(nodes) && len(collectors(nodes)) == 2 })
	version := apply(t, nodes[0], "svc one", 0)
	eventually(t, "in force everywhere", func() bool { return inForceOnAll(nodes, "svc", version) })
	started := collectors(nodes)[0]
	for range 3 {
		started.stop()
		c.fake.SetFaults(fakeplatform.Faults{SilenceWatches: true, SlowMS: testMemberTimeout.Milliseconds() / 2})
		version = c.fake.Put("documents/svc", []byte("svc newer")).Version
		started.start()
		eventually(t, "ready", started.Ready)
		if got := started.inForce("svc"); got != version {
			t.Fatalf("ready with version %d, want %d", got, version)
		}
		c.fake.SetFaults(fakeplatform.Faults{})
		eventually(t, "all ready", func() bool { return allReady(nodes) && len(collectors(nodes)) == 2 })
	}
}

func TestDocumentAcceptedBeforeOutageReachesAllDaemons(t *testing.T) {
	c := newCluster(t)
	nodes := []*node{c.add("d1", "x"), c.add("d2", "x"), c.add("d3", "x"), c.add("d4", "y"), c.add("d5", "z")}
	eventually(t, "all ready", func() bool { return allReady(nodes) })
	version := apply(t, nodes[0], "svc one", 0)
	eventually(t, "in force everywhere", func() bool { return inForceOnAll(nodes, "svc", version) })
	for _, accepting := range nodes {
		// The write takes effect, but no watch delivers it.
		c.fake.SetFaults(fakeplatform.Faults{SilenceWatches: true})
		version = apply(t, accepting, fmt.Sprint("svc by ", accepting.self.ID), version)
		c.fake.SetFaults(fakeplatform.Faults{Outage: true})
		eventually(t, "change by "+accepting.self.ID+" in force everywhere", func() bool { return inForceOnAll(nodes, "svc", version) })
		eventually(t, "status shows it in force everywhere", func() bool {
			status, err := nodes[0].Status(context.Background())
			return err == nil && len(status[0].InForce) == len(nodes)
		})
		c.fake.SetFaults(fakeplatform.Faults{})
	}
}

func TestSilentWatchIsReopened(t *testing.T) {
	c := newCluster(t)
	nodes := []*node{c.add("d1", "x"), c.add("d2", "y")}
	eventually(t, "watching", func() bool { return c.fake.Calls().OpenWatches == 2 })
	c.fake.SetFaults(fakeplatform.Faults{SilenceWatches: true})
	object := c.fake.Put("documents/svc", []byte("svc one"))
	eventually(t, "in force everywhere", func() bool { return inForceOnAll(nodes, "svc", object.Version) })
}

func TestDocumentDeletionAndRecreationReachAllDaemons(t *testing.T) {
	c := newCluster(t)
	nodes := []*node{c.add("d1", "x"), c.add("d2", "x"), c.add("d3", "x")}
	eventually(t, "all ready", func() bool { return allReady(nodes) })
	version := apply(t, nodes[0], "svc one", 0)
	eventually(t, "in force everywhere", func() bool { return inForceOnAll(nodes, "svc", version) })
	if err := nodes[0].client.Delete(context.Background(), "documents/svc", version); err != nil {
		t.Fatal(err)
	}
	eventually(t, "removed everywhere", func() bool { return inForceOnAll(nodes, "svc", 0) })
	version = apply(t, nodes[1], "svc again", 0)
	eventually(t, "in force again everywhere", func() bool { return inForceOnAll(nodes, "svc", version) })
}

// TestDocumentChangesUnderFaultsArriveInTimeAndNeverRevert makes 3,200 changes while
// a daemon restarts and watches are cut, lose changes or stop delivering. All daemons must
// have the last versions within 10 s of the last change, and no version may decrease.
func TestDocumentChangesUnderFaultsArriveInTimeAndNeverRevert(t *testing.T) {
	const (
		changes  = 3200
		services = 40
		limit    = 10 * time.Second
	)
	random := rand.New(rand.NewPCG(11, 7))
	c := newCluster(t)
	var nodes []*node
	for i := range 7 {
		nodes = append(nodes, c.add(fmt.Sprint("d", i), string("xyz"[i%3])))
	}
	eventually(t, "all ready", func() bool { return allReady(nodes) })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var recorders []*recorder
	for _, n := range nodes {
		recorders = append(recorders, startRecorder(ctx, n))
	}
	newest := map[string]int64{}
	for i := range changes {
		service := fmt.Sprint("svc", random.IntN(services))
		newest[service] = c.fake.Put("documents/"+service, []byte(fmt.Sprint(service, " change ", i))).Version
		time.Sleep(time.Millisecond)
		switch i {
		case 500, 2500:
			c.fake.SetFaults(fakeplatform.Faults{SilenceWatches: true})
		case 1000:
			c.fake.SetFaults(fakeplatform.Faults{DropChanges: true})
		case 1500:
			nodes[random.IntN(len(nodes))].restart()
		case 2000:
			c.fake.SetFaults(fakeplatform.Faults{CutWatches: true})
		}
	}
	done := time.Now()
	for service, version := range newest {
		eventually(t, service+" in force everywhere", func() bool { return inForceOnAll(nodes, service, version) })
	}
	if took := time.Since(done); took > limit {
		t.Errorf("in force %v after the last change, want at most %v", took, limit)
	}
	cancel()
	for i, r := range recorders {
		r.check(t, nodes[i].self.ID)
	}
}
