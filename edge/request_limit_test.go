package edge

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/standin/fakereplica"
)

// The rule for replicas that name a request limit: from limitContactTime after they first do, no
// window of limitWindow has more than limitFactor times the limit, and limitSlack requests.
const (
	limitContactTime = 3 * time.Second
	limitWindow      = 4 * time.Second
	limitFactor      = 1.5
	limitSlack       = 5
)

// maxArrivals returns the largest number of arrivals in a window of limitWindow from begin on.
func maxArrivals(arrivals []time.Time, begin time.Time) int {
	most := 0
	for i, first := range arrivals {
		if first.Before(begin) {
			continue
		}
		n := 0
		for _, at := range arrivals[i:] {
			if at.Sub(first) < limitWindow {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// sendRequests sends requests to each daemon at regular intervals for d and returns the number of
// responses by status.
func (s *testSystem) sendRequests(interval, d time.Duration) map[int]int {
	var mu sync.Mutex
	statuses := map[int]int{}
	s.onAllDaemons(func(daemon *testDaemon) {
		var requests sync.WaitGroup
		for i := range int(d / interval) {
			requests.Go(func() {
				got := daemon.call("POST", plainPath+"x", fmt.Sprintf("%s-%d", daemon.settings.ID, i), []byte("body"), "Deadline-Ms", "1500")
				mu.Lock()
				defer mu.Unlock()
				statuses[got.status]++
			})
			time.Sleep(interval)
		}
		requests.Wait()
	})
	return statuses
}

// Guards against replicas that get more requests than the limit that they name, when no single
// daemon exceeds it.
func TestFleetKeepsToRequestLimitOfReplica(t *testing.T) {
	t.Parallel()
	const limit = 4.0
	s := newTestSystem(t, 3)
	for _, replica := range s.plainReplicas {
		replica.SetFaults(fakereplica.Faults{RequestLimit: limit})
	}
	start := time.Now()
	statuses := s.sendRequests(100*time.Millisecond, limitContactTime+limitWindow+500*time.Millisecond) // 10 a second and daemon
	allowed := int(limitFactor*limit*limitWindow.Seconds()) + limitSlack
	for _, replica := range s.plainReplicas {
		if most := maxArrivals(replica.Arrivals(), start.Add(limitContactTime)); most > allowed {
			t.Errorf("replica %s, which names a limit of %g a second, got %d requests in %v, allowed %d", replica.ID, limit, most, limitWindow, allowed)
		}
	}
	t.Logf("responses by status: %v", statuses)
	if statuses[http.StatusOK] == 0 {
		t.Error("no request was served")
	}
}

// Guards against items that fail, or replicas that count as faulty, because requests wait for a limit.
func TestBatchCompletesWhileReplicasNameLimits(t *testing.T) {
	t.Parallel()
	const limit = 3.0
	s := newTestSystem(t, 2)
	for _, replica := range append(s.plainReplicas, s.modelReplicas...) {
		replica.SetFaults(fakereplica.Faults{RequestLimit: limit})
	}
	start := time.Now()
	body, ids := batchBody(15, 1) // 30 items and scores; without permits all of them are sent at once
	if got := s.daemons[0].call("POST", itemPath+"x", "lot-limited", body); got.status != http.StatusAccepted {
		t.Fatalf("batch: %+v", got)
	}
	s.checkComplete(s.readAll(s.daemons[1], "lot-limited"), ids)
	allowed := int(limitFactor*limit*limitWindow.Seconds()) + limitSlack
	for _, replica := range append(s.plainReplicas, s.modelReplicas...) {
		if most := maxArrivals(replica.Arrivals(), start.Add(limitContactTime)); most > allowed {
			t.Errorf("replica %s got %d requests in %v, allowed %d", replica.ID, most, limitWindow, allowed)
		}
	}
}

// Guards against daemons that send without a limit once the owner of a limit has ended. One of three
// daemons ends; the limits of three replicas are spread over them.
func TestFleetKeepsToRequestLimitWhenDaemonEnds(t *testing.T) {
	t.Parallel()
	const limit = 4.0
	s := newTestSystem(t, 3)
	for _, replica := range s.plainReplicas {
		replica.SetFaults(fakereplica.Faults{RequestLimit: limit})
	}
	start := time.Now()
	var restarts sync.WaitGroup
	defer restarts.Wait()
	victim, others := s.daemons[2], s.daemons[:2]
	restarts.Go(func() {
		time.Sleep(limitContactTime + time.Second)
		victim.kill()
		<-victim.done
	})
	s.daemons = others
	statuses := s.sendRequests(100*time.Millisecond, limitContactTime+2*limitWindow)
	allowed := int(limitFactor*limit*limitWindow.Seconds()) + limitSlack
	for _, replica := range s.plainReplicas {
		if most := maxArrivals(replica.Arrivals(), start.Add(limitContactTime)); most > allowed {
			t.Errorf("replica %s got %d requests in %v, allowed %d", replica.ID, most, limitWindow, allowed)
		}
	}
	t.Logf("responses by status: %v", statuses)
	if statuses[http.StatusOK] < 40 {
		t.Errorf("only %d requests were served in %v", statuses[http.StatusOK], limitContactTime+2*limitWindow)
	}
}
