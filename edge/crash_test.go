package edge

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/quarantine"
	"github.com/hornbeamtide/hornbeamtide/standin/fakereplica"
)

// The rule for requests that crash replicas: more than maxCrashRetries may not reach replicas later
// than crashContactTime after the third crash.
const (
	crashContactTime = 3 * time.Second
	maxCrashRetries  = 3
	crashBody        = "crash"
	crashDuration    = 30 * time.Millisecond // from the arrival of the request until the replica ends
	replicaDowntime  = 300 * time.Millisecond
)

// crashLog records when replicas ended.
type crashLog struct {
	restarts sync.WaitGroup // of replicas that ended

	mu      sync.Mutex
	crashes []time.Time
}

func (c *crashLog) add() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes = append(c.crashes, time.Now())
}

// late returns the number of crashes later than crashContactTime after the third one.
func (c *crashLog) late() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for i, at := range c.crashes {
		if i > 2 && at.Sub(c.crashes[2]) > crashContactTime {
			n++
		}
	}
	return n
}

// times returns when replicas ended, since the first did.
func (c *crashLog) times() []time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	var times []time.Duration
	for _, at := range c.crashes {
		times = append(times, at.Sub(c.crashes[0]).Round(time.Millisecond))
	}
	return times
}

func (c *crashLog) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.crashes)
}

// startCrashingReplicas replaces the plain replicas by ones that end when they get a request with
// crashBody. Another incarnation with another ID follows after replicaDowntime.
func (s *testSystem) startCrashingReplicas() *crashLog {
	crashes := &crashLog{}
	s.t.Cleanup(crashes.restarts.Wait)
	for _, replica := range s.plainReplicas {
		s.store.Remove("servers/" + replica.ID)
	}
	s.plainReplicas = nil
	for i := range 3 {
		s.startCrashingReplica(crashes, i, 0)
	}
	for _, d := range s.daemons {
		s.eventually("the daemons know the new replicas", func() bool { return len(d.Tracker.Replicas(plainPool)) == 3 && d.Tracker.Knows("crashing-0-0") })
	}
	return crashes
}

func (s *testSystem) startCrashingReplica(crashes *crashLog, index, incarnation int) {
	id := fmt.Sprintf("crashing-%d-%d", index, incarnation)
	replica := s.startReplica(fakereplica.Config{ID: id, Service: plainPool, FailureDomain: "a", OnCrash: func() {
		crashes.add()
		crashes.restarts.Go(func() {
			time.Sleep(replicaDowntime)
			s.store.Remove("servers/" + id)
			s.startCrashingReplica(crashes, index, incarnation+1)
		})
	}})
	replica.SetFaults(fakereplica.Faults{CrashBody: crashBody, Delay: crashDuration})
}

// clientFrom returns a client whose connections come from the given loopback address.
func clientFrom(address string) *http.Client {
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(address)}}
	return &http.Client{Timeout: testTimeout, Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}}
}

// sendCrashingRequests sends the same request through all daemons in turn for d, each time from another
// address, as a caller with instances in several failure domains does.
func (s *testSystem) sendCrashingRequests(name string, d time.Duration) {
	start := time.Now()
	for i := 0; time.Since(start) < d; i++ {
		daemon := *s.daemons[i%len(s.daemons)]
		daemon.client = clientFrom(fmt.Sprint("127.0.0.", 2+i%5))
		daemon.call("POST", plainPath+"x", fmt.Sprintf("%s-%d", name, i), []byte(crashBody), "Deadline-Ms", "1500")
		time.Sleep(200 * time.Millisecond)
	}
}

// Guards against a request that ends one replica after the other, since each of its attempts is
// treated as a new request.
func TestRequestThatCrashesReplicasIsNotSentAgain(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 3)
	crashes := s.startCrashingReplicas()
	s.sendCrashingRequests("crash", crashContactTime+4*time.Second)
	t.Logf("%d replicas ended, %d of them later than %v after the third", crashes.count(), crashes.late(), crashContactTime)
	if late := crashes.late(); late > maxCrashRetries {
		t.Errorf("the request was sent to replicas %d times more after it had crashed three, allowed %d", late, maxCrashRetries)
	}
	s.eventually("another request is served", func() bool {
		return s.daemons[0].call("POST", plainPath+"x", fmt.Sprint("other-", time.Now().UnixNano()), []byte("body")).status == http.StatusOK
	})
}

// Guards against a quarantine that is forgotten when all daemons restart.
func TestCrashingRequestStaysQuarantinedAfterRestartOfAllDaemons(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 2)
	crashes := s.startCrashingReplicas()
	s.sendCrashingRequests("crash", 4*time.Second) // the third crash comes 3 s after the second
	s.eventually("the record is stored", func() bool { return len(s.store.Objects(quarantine.Kind+"/")) == 1 })
	for _, d := range s.daemons {
		d.kill()
		<-d.done
	}
	before := crashes.count()
	s.daemons, s.seeds = nil, ""
	for _, id := range []string{"d1", "d2"} {
		s.startDaemon(id)
	}
	for _, d := range s.daemons {
		s.eventually("the daemons are ready", d.ready)
	}
	s.sendCrashingRequests("again", 2*time.Second)
	if n := crashes.count() - before; n > 0 {
		t.Errorf("%d replicas ended after the restart, %d before", n, before)
	}
}

// Guards against a quarantine that other callers' requests, or other requests of the caller, get into;
// and against the loss of the last replica of a service.
func TestCrashingRequestLeavesServiceToOtherCallers(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 3)
	crashes := s.startCrashingReplicas()
	var served, refused int
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.sendCrashingRequests("crash", 5*time.Second)
	}()
	for i := 0; ; i++ {
		select {
		case <-done:
			t.Logf("%d other requests served, %d refused, replicas ended at %v", served, refused, crashes.times())
			if refused > served/20 {
				t.Errorf("%d other requests served, %d refused", served, refused)
			}
			return
		default:
		}
		got := s.daemons[i%3].call("POST", plainPath+"x", fmt.Sprint("other-", i), []byte(fmt.Sprint("body ", i)), "Deadline-Ms", "1500")
		if got.status == http.StatusOK {
			served++
		} else {
			refused++
			t.Logf("request %d: status %d: %s %v; crashes %d", i, got.status, got.body, got.err, crashes.count())
		}
		time.Sleep(20 * time.Millisecond)
	}
}
