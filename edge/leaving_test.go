package edge

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/standin/fakereplica"
)

// placementDelay is how long after a replica's first response requests that were placed before may
// still arrive at it.
const placementDelay = 500 * time.Millisecond

// sendUntilLeaving sends requests to a daemon until it has passed on a response in which a plain
// replica announced that it is leaving. The others refuse requests meanwhile.
func (s *testSystem) sendUntilLeaving(d *testDaemon, leaving *fakereplica.Replica, path string) {
	s.t.Helper()
	n := 0
	for _, r := range s.plainReplicas {
		r.SetFaults(fakereplica.Faults{Full: r != leaving, Leaving: r == leaving})
	}
	s.eventually("a response with an announcement", func() bool {
		n++
		got := d.call("POST", path+"x", fmt.Sprint("before-", n), []byte("body"))
		return got.header.Get("Server-Leaving") == "1"
	})
	for _, r := range s.plainReplicas {
		r.SetFaults(fakereplica.Faults{Leaving: r == leaving})
	}
}

// Guards against requests that reach a replica after it announced that it is leaving, from the daemon
// that passed on the announcement and from others, while the store says that it is ready. Its
// responses are errors, so that requests are also retried.
func TestLeavingReplicaGetsNoMoreRequests(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 2)
	leaving, first, second := s.plainReplicas[0], s.daemons[0], s.daemons[1]
	s.sendUntilLeaving(first, leaving, nonIdempotentPath)
	leaving.SetFaults(fakereplica.Faults{Leaving: true, Status: http.StatusInternalServerError})
	arrived := len(leaving.Arrivals())
	check := func(d *testDaemon, when string) {
		t.Helper()
		for i := range 40 {
			path := []string{plainPath, nonIdempotentPath, scoringPath}[i%3]
			if got := d.call("POST", path+"x", fmt.Sprint(when, "-", i), []byte("body")); got.status != http.StatusOK {
				t.Errorf("%s: %+v", when, got)
			}
		}
		if n := len(leaving.Arrivals()) - arrived; n != 0 {
			t.Errorf("%s: %d requests reached the replica", when, n)
		}
	}
	check(first, "after the announcement")
	s.store.PutSpec("servers/"+leaving.ID, leaving.Entry("ready"))
	s.eventually("the other daemon is told", func() bool { return second.Tracker.LeavingCount() == 1 })
	check(second, "told by the other daemon")
	check(first, "after a new entry")
	for _, r := range s.plainReplicas[1:] {
		r.SetFaults(fakereplica.Faults{Leaving: true})
	}
	s.eventually("all replicas are leaving", func() bool {
		_ = first.call("POST", plainPath+"x", "last", []byte("body"))
		return first.Tracker.LeavingCount() == len(s.plainReplicas)
	})
	total := 0
	for _, r := range s.plainReplicas {
		total -= len(r.Arrivals())
	}
	for i := range 10 {
		if got := first.call("POST", plainPath+"x", fmt.Sprint("none-", i), []byte("body"), "Deadline-Ms", "500"); got.status != http.StatusServiceUnavailable {
			t.Errorf("no replica is left: %+v", got)
		}
	}
	for _, r := range s.plainReplicas {
		total += len(r.Arrivals())
	}
	if total != 0 {
		t.Errorf("%d requests reached replicas though all are leaving", total)
	}
}

// Guards against items and resumed streams that reach a replica after it announced that it is leaving.
// The streams of another replica break, so that items and callers resume them.
func TestLeavingReplicaGetsNoMoreItemsAndStreams(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 2)
	leaving := s.modelReplicas[0]
	const delay = 100 * time.Millisecond // a stream takes longer than placementDelay
	leaving.SetFaults(fakereplica.Faults{Leaving: true, Delay: delay})
	s.modelReplicas[1].SetFaults(fakereplica.Faults{BreakAfter: 3, Delay: delay})
	s.modelReplicas[2].SetFaults(fakereplica.Faults{Delay: delay})
	body, ids := batchBody(40, 1)
	if got := s.daemons[0].call("POST", itemPath+"x", "lot-leaving", body); got.status != http.StatusAccepted {
		t.Fatalf("batch: %+v", got)
	}
	s.checkComplete(s.readAll(s.daemons[1], "lot-leaving"), ids)
	arrivals := leaving.Arrivals()
	if len(arrivals) == 0 {
		t.Fatal("no item reached the replica, so that nothing was tested")
	}
	if last := arrivals[len(arrivals)-1].Sub(arrivals[0]); last > placementDelay {
		t.Errorf("an item reached the replica %v after the first one", last)
	}
	for _, id := range ids {
		for _, after := range leaving.RunStartEvents(id) {
			if after != 0 {
				t.Errorf("item %s was resumed on the replica after event %d", id, after)
			}
		}
	}
	s.eventually("both daemons know", func() bool {
		return s.daemons[0].Tracker.LeavingCount() == 1 && s.daemons[1].Tracker.LeavingCount() == 1
	})
	for _, r := range s.modelReplicas {
		r.SetFaults(fakereplica.Faults{Leaving: r == leaving})
	}
	for _, d := range s.daemons {
		for i := range 20 {
			id := fmt.Sprint("stream-", d.settings.ID, i)
			if got := d.call("GET", streamPath+"x", id, nil, "Last-Event-Id", "2"); got.status != http.StatusOK || got.err != nil {
				t.Errorf("resumed stream: %+v", got)
			}
		}
	}
	if n := len(leaving.Arrivals()) - len(arrivals); n != 0 {
		t.Errorf("%d streams reached the replica", n)
	}
}
