package edge

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/platform"
	"github.com/hornbeamtide/hornbeamtide/standin/fakeplatform"
	"github.com/hornbeamtide/hornbeamtide/standin/fakereplica"
)

func TestRequestOutcomesUnderReplicaFaults(t *testing.T) {
	t.Parallel()
	table := []struct {
		name   string
		path   string
		faults fakereplica.Faults // of all plain replicas
		status int
		runs   int // maximum, over all replicas
	}{
		{"healthy", plainPath, fakereplica.Faults{}, 200, 1},
		{"healthy, non-idempotent", nonIdempotentPath, fakereplica.Faults{}, 200, 1},
		{"full", plainPath, fakereplica.Faults{Full: true}, 503, 0},
		{"full, non-idempotent", nonIdempotentPath, fakereplica.Faults{Full: true}, 503, 0},
		{"unsigned", plainPath, fakereplica.Faults{Unsigned: true}, 502, 3},
		{"unsigned, non-idempotent", nonIdempotentPath, fakereplica.Faults{Unsigned: true}, 502, 1},
		{"response to another request", nonIdempotentPath, fakereplica.Faults{WrongRequestID: true}, 502, 1},
		{"truncated", plainPath, fakereplica.Faults{Truncate: true}, 502, 3},
		{"truncated, non-idempotent", nonIdempotentPath, fakereplica.Faults{Truncate: true}, 502, 1},
		{"failed", plainPath, fakereplica.Faults{Status: 500}, 500, 3},
		{"failed, non-idempotent", nonIdempotentPath, fakereplica.Faults{Status: 500}, 500, 1},
		{"slower than its deadline", plainPath, fakereplica.Faults{Delay: 2 * time.Second}, 504, 3},
	}
	s := newTestSystem(t, 1)
	for i, row := range table {
		for _, replica := range s.plainReplicas {
			replica.SetFaults(row.faults)
		}
		id := fmt.Sprint("request-", i)
		got := s.daemons[0].call("POST", row.path+"x", id, []byte("body"), "Deadline-Ms", "600")
		runs := 0
		for _, replica := range s.plainReplicas {
			runs += replica.Runs(id)
		}
		if got.status != row.status || runs > row.runs {
			t.Errorf("%s: status %d, %d runs; want %d, at most %d: %s", row.name, got.status, runs, row.status, row.runs, got.body)
		}
		if got.status == http.StatusServiceUnavailable && got.header.Get("Retry-After") == "" {
			t.Errorf("%s: no Retry-After header", row.name)
		}
		if got.status == http.StatusOK && string(got.body) != "answer to body" {
			t.Errorf("%s: body %q", row.name, got.body)
		}
	}
}

func TestRequestsSucceedDespiteOneFaultyReplica(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 1)
	for _, faults := range []fakereplica.Faults{{Full: true}, {Unsigned: true}, {WrongRequestID: true}, {Truncate: true}, {Status: 500}} {
		s.plainReplicas[0].SetFaults(faults)
		for i := range 6 {
			id := fmt.Sprintf("%+v-%d", faults, i)
			if got := s.daemons[0].call("POST", plainPath+"x", id, []byte("b")); got.status != http.StatusOK {
				t.Errorf("%+v: %+v", faults, got)
			}
		}
	}
}

func TestBrokenStreamIsDetectableAndResumable(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 1)
	for _, replica := range s.modelReplicas {
		replica.SetFaults(fakereplica.Faults{BreakAfter: 3})
	}
	got := s.daemons[0].call("POST", streamPath+"x", "s-1", nil)
	if got.err == nil {
		t.Errorf("partial stream ended without an error: %q", got.body)
	}
	for _, replica := range s.modelReplicas {
		replica.SetFaults(fakereplica.Faults{})
	}
	got = s.daemons[0].call("POST", streamPath+"x", "s-2", nil, "Last-Event-Id", "3")
	if got.err != nil || !strings.HasPrefix(string(got.body), "id: 4\n") {
		t.Errorf("resumed stream %+v", got)
	}
}

// Guards against requests to a replica whose entry was replaced by something unreadable: it names no replica
// to use any more.
func TestReplicaWithUnreadableEntryIsNotUsed(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 1)
	s.store.PutSpec("servers/desk-0", json.RawMessage(`{"Backend":7}`))
	s.eventually("the replica is not used", func() bool { return len(s.daemons[0].Tracker.Replicas(plainPool)) == 2 })
	for i := range 10 {
		if got := s.daemons[0].call("POST", plainPath+"x", fmt.Sprint("r-", i), nil); got.status != http.StatusOK {
			t.Errorf("status %d", got.status)
		}
	}
	if n := s.plainReplicas[0].TotalRuns(); n > 0 {
		t.Errorf("%d requests sent to the replica", n)
	}
}

func TestLeavingReplicaGetsNoNewRequests(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 3)
	s.store.PutSpec("servers/desk-0", s.plainReplicas[0].Entry("draining"))
	s.eventually("all daemons see the replica as draining", func() bool {
		for _, d := range s.daemons {
			for _, r := range d.Tracker.Replicas(plainPool) {
				if r.ID == "desk-0" && r.State == "ready" {
					return false
				}
			}
		}
		return true
	})
	before := s.plainReplicas[0].TotalRuns()
	s.onAllDaemons(func(d *testDaemon) {
		for i := range 10 {
			d.call("POST", plainPath+"x", fmt.Sprintf("%s-%d", d.settings.ID, i), nil)
		}
	})
	if after := s.plainReplicas[0].TotalRuns(); after != before {
		t.Errorf("%d requests sent to a leaving replica", after-before)
	}
}

func TestConfigurationTakesEffectDespiteSilentWatches(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 3)
	more := map[string]any{"Name": "more", "Hostname": testHost, "PathPrefix": "/more/", "Kind": "idempotent", "Backend": plainPool, "TimeoutMs": 1000}
	// The open watches never report the change.
	s.store.SetFaults(fakeplatform.Faults{SilenceWatches: true})
	s.configure(5, more)
	begin := time.Now()
	for _, d := range s.daemons {
		s.eventually("the new route serves", func() bool { return d.call("POST", "/more/x", "m", nil).status == http.StatusOK })
	}
	if elapsed := time.Since(begin); elapsed > 2*time.Second {
		t.Errorf("configuration in force after %v", elapsed)
	}
}

func TestDaemonWithoutConfigurationReportsNotRun(t *testing.T) {
	t.Parallel()
	s := &testSystem{t: t, store: fakeplatform.New(fakeplatform.Config{}), storeAddress: unreachableAddress}
	d := s.startDaemon("alone")
	s.eventually("the daemon responds", func() bool { return d.call("POST", plainPath+"x", "r", nil).err == nil })
	got := d.call("POST", plainPath+"x", "r", nil)
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("response %+v", got)
	}
}

func TestPlannedStopCutsNoRequests(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 2)
	for _, replica := range s.plainReplicas {
		replica.SetFaults(fakereplica.Faults{Delay: 700 * time.Millisecond})
	}
	responses := make(chan response, 1)
	go func() { responses <- s.daemons[0].call("POST", plainPath+"x", "r", nil) }()
	s.eventually("the request runs", func() bool {
		return s.plainReplicas[0].TotalRuns()+s.plainReplicas[1].TotalRuns()+s.plainReplicas[2].TotalRuns() > 0
	})
	s.daemons[0].stop()
	if got := <-responses; got.status != http.StatusOK {
		t.Errorf("request cut by a planned stop: %+v", got)
	}
	if s.daemons[0].ready() {
		t.Error("a stopping daemon reports itself as ready")
	}
}

// A daemon that stops hands its batches over, to a member that does not respond. Meanwhile callers
// keep sending; none of the requests that the daemon accepts may be cut off, and the stop may not
// take longer than its time.
func TestStopWithUnresponsivePeerCutsNoRequests(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 1)
	d := s.daemons[0]
	silent := listenSilently(t)
	entry, err := json.Marshal(platform.Member{ID: "silent", Address: silent, PeerAddress: silent, Region: "r", FailureDomain: "a"})
	if err != nil {
		t.Fatal(err)
	}
	s.store.PutSpec("members/silent", entry)
	s.eventually("the silent member is known", func() bool { return len(d.members()) == 2 })
	for _, replica := range s.modelReplicas {
		replica.SetFaults(fakereplica.Faults{Delay: time.Minute}) // the batches stay open
	}
	for i := range 4 {
		body, _ := batchBody(1, 1)
		if got := d.call("POST", itemPath+"x", fmt.Sprint("lot-", i), body); got.status != http.StatusAccepted {
			t.Fatalf("submission: %+v", got)
		}
	}
	for _, replica := range s.plainReplicas {
		replica.SetFaults(fakereplica.Faults{Delay: 100 * time.Millisecond})
	}
	started := time.Now()
	d.stop()
	var callers sync.WaitGroup
	for caller := range 6 {
		callers.Go(func() {
			for n := 0; ; n++ {
				got := d.call("POST", plainPath+"x", fmt.Sprintf("r-%d-%d", caller, n), nil)
				if errors.Is(got.err, syscall.ECONNREFUSED) {
					return
				}
				if got.status != http.StatusOK {
					t.Errorf("request cut off %v after the stop began: %+v", time.Since(started), got)
					return
				}
			}
		})
	}
	callers.Wait()
	<-d.done
	if took := time.Since(started); took > d.settings.StopTime {
		t.Errorf("the stop took %v, more than %v", took, d.settings.StopTime)
	}
}

// listenSilently returns an address that accepts connections and never responds.
func listenSilently(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String() // the kernel accepts connections
}

func TestBodyOverTheLimitIsRefused(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 1)
	got := s.daemons[0].call("POST", plainPath+"x", "r", make([]byte, 100_001))
	if got.status != http.StatusRequestEntityTooLarge {
		t.Errorf("status %d", got.status)
	}
	if got := s.daemons[0].call("POST", "/none/x", "r", nil); got.status != http.StatusNotFound {
		t.Errorf("no matching route: status %d", got.status)
	}
}

func TestRetirementIsReportedAsCompleted(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 2)
	s.store.PutSpec("retirements/storage-1", []byte(`{"DurationS":10}`))
	s.eventually("the retirement is reported as completed", func() bool {
		return strings.Contains(string(s.store.Status("retirements/storage-1")), "completed")
	})
}

// A starting daemon asks several seeds concurrently, because the first one may be an instance
// that has not restarted yet.
func TestUnresponsiveSeedsDoNotDelayTheStart(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 1)
	for range 2 {
		silent, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = silent.Close() })
		s.seeds = silent.Addr().String() + "," + s.seeds
	}
	start := time.Now()
	joined := s.startDaemon("d2")
	s.eventually("the daemon is ready", joined.ready)
	if elapsed := time.Since(start); elapsed > time.Second {
		t.Errorf("daemon ready after %v", elapsed)
	}
}
