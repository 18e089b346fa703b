package edge

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/standin/fakeplatform"
	"github.com/hornbeamtide/hornbeamtide/standin/fakereplica"
)

func TestRequestFaultTable(t *testing.T) {
	t.Parallel()
	table := []struct {
		name   string
		path   string
		faults fakereplica.Faults // of all plain servers
		status int
		runs   int // at most, over all servers
	}{
		{"healthy", plainPath, fakereplica.Faults{}, 200, 1},
		{"healthy, not to be repeated", strictPath, fakereplica.Faults{}, 200, 1},
		{"full", plainPath, fakereplica.Faults{Full: true}, 503, 0},
		{"full, not to be repeated", strictPath, fakereplica.Faults{Full: true}, 503, 0},
		{"unsigned", plainPath, fakereplica.Faults{Unsigned: true}, 502, 3},
		{"unsigned, not to be repeated", strictPath, fakereplica.Faults{Unsigned: true}, 502, 1},
		{"answer of another request", strictPath, fakereplica.Faults{OtherID: true}, 502, 1},
		{"broken off", plainPath, fakereplica.Faults{Truncate: true}, 502, 3},
		{"broken off, not to be repeated", strictPath, fakereplica.Faults{Truncate: true}, 502, 1},
		{"failed", plainPath, fakereplica.Faults{Status: 500}, 500, 3},
		{"failed, not to be repeated", strictPath, fakereplica.Faults{Status: 500}, 500, 1},
		{"slower than its deadline", plainPath, fakereplica.Faults{Pause: 2 * time.Second}, 504, 3},
	}
	s := newSite(t, 1)
	for i, row := range table {
		for _, desk := range s.desks {
			desk.SetFaults(row.faults)
		}
		id := fmt.Sprint("request-", i)
		got := s.daemons[0].call("POST", row.path+"x", id, []byte("body"), "Deadline-Ms", "600")
		runs := 0
		for _, desk := range s.desks {
			runs += desk.Runs(id)
		}
		if got.status != row.status || runs > row.runs {
			t.Errorf("%s: status %d, %d runs; want %d, at most %d: %s", row.name, got.status, runs, row.status, row.runs, got.body)
		}
		if got.status == http.StatusServiceUnavailable && got.header.Get("Retry-After") == "" {
			t.Errorf("%s: no time to come back", row.name)
		}
		if got.status == http.StatusOK && string(got.body) != "answer to body" {
			t.Errorf("%s: body %q", row.name, got.body)
		}
	}
}

func TestOneFaultyServerIsPassedOver(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1)
	for _, faults := range []fakereplica.Faults{{Full: true}, {Unsigned: true}, {OtherID: true}, {Truncate: true}, {Status: 500}} {
		s.desks[0].SetFaults(faults)
		for i := range 6 {
			id := fmt.Sprintf("%+v-%d", faults, i)
			if got := s.daemons[0].call("POST", plainPath+"x", id, []byte("b")); got.status != http.StatusOK {
				t.Errorf("%+v: %+v", faults, got)
			}
		}
	}
}

func TestStreamBreaksVisiblyAndIsResumed(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1)
	for _, e := range s.engines {
		e.SetFaults(fakereplica.Faults{BreakAfter: 3})
	}
	got := s.daemons[0].call("POST", streamPath+"x", "s-1", nil)
	if got.err == nil {
		t.Errorf("a part of a stream looks whole: %q", got.body)
	}
	for _, e := range s.engines {
		e.SetFaults(fakereplica.Faults{})
	}
	got = s.daemons[0].call("POST", streamPath+"x", "s-2", nil, "Last-Event-Id", "3")
	if got.err != nil || !strings.HasPrefix(string(got.body), "id: 4\n") {
		t.Errorf("resumed stream %+v", got)
	}
}

func TestLeavingServerGetsNoNewRequests(t *testing.T) {
	t.Parallel()
	s := newSite(t, 3)
	s.store.PutSpec("servers/desk-0", s.desks[0].Entry("draining"))
	s.eventually("all daemons know", func() bool {
		for _, d := range s.daemons {
			for _, r := range d.Tracker.Replicas(plainPool) {
				if r.ID == "desk-0" && r.State == "ready" {
					return false
				}
			}
		}
		return true
	})
	before := s.desks[0].Total()
	s.everywhere(func(p *process) {
		for i := range 10 {
			p.call("POST", plainPath+"x", fmt.Sprintf("%s-%d", p.settings.ID, i), nil)
		}
	})
	if after := s.desks[0].Total(); after != before {
		t.Errorf("%d requests at a leaving server", after-before)
	}
}

func TestConfigurationIsInForceEverywhereAlsoWhereTheStoreIsSilent(t *testing.T) {
	t.Parallel()
	s := newSite(t, 3)
	more := map[string]any{"Name": "more", "Hostname": testHost, "PathPrefix": "/more/", "Kind": "idempotent", "Backend": plainPool, "TimeoutMs": 1000}
	// Watches that wait now never hear of the change.
	s.store.SetFaults(fakeplatform.Faults{SilenceWatches: true})
	s.configure(5, more)
	begin := time.Now()
	for _, d := range s.daemons {
		s.eventually("the new route serves", func() bool { return d.call("POST", "/more/x", "m", nil).status == http.StatusOK })
	}
	if took := time.Since(begin); took > 2*time.Second {
		t.Errorf("in force after %v", took)
	}
}

func TestDaemonWithoutConfigurationPromisesThatNothingRan(t *testing.T) {
	t.Parallel()
	s := &site{t: t, store: fakeplatform.New(fakeplatform.Config{}), address: noServer}
	d := s.start("alone")
	s.eventually("it answers", func() bool { return d.call("POST", plainPath+"x", "r", nil).err == nil })
	got := d.call("POST", plainPath+"x", "r", nil)
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("answer %+v", got)
	}
}

func TestPlannedStopCutsNothing(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2)
	for _, desk := range s.desks {
		desk.SetFaults(fakereplica.Faults{Pause: 700 * time.Millisecond})
	}
	answers := make(chan reply, 1)
	go func() { answers <- s.daemons[0].call("POST", plainPath+"x", "r", nil) }()
	s.eventually("the request runs", func() bool {
		return s.desks[0].Total()+s.desks[1].Total()+s.desks[2].Total() > 0
	})
	s.daemons[0].stop()
	if got := <-answers; got.status != http.StatusOK {
		t.Errorf("cut by a planned stop: %+v", got)
	}
	if s.daemons[0].ready() {
		t.Error("a daemon that stops counts as ready")
	}
}

func TestBodyOverTheLimitIsRefused(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1)
	got := s.daemons[0].call("POST", plainPath+"x", "r", make([]byte, 100_001))
	if got.status != http.StatusRequestEntityTooLarge {
		t.Errorf("status %d", got.status)
	}
	if got := s.daemons[0].call("POST", "/none/x", "r", nil); got.status != http.StatusNotFound {
		t.Errorf("no route: status %d", got.status)
	}
}

func TestEmptiedInstanceIsReported(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2)
	s.store.PutSpec("retirements/storage-1", []byte(`{"DurationS":10}`))
	s.eventually("the instance counts as emptied", func() bool {
		return strings.Contains(string(s.store.Status("retirements/storage-1")), "completed")
	})
}

// A daemon that starts with others asks more than one of them at once: the first may be a
// machine that is not back yet.
func TestSilentSeedsDoNotDelayTheStart(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1)
	for range 2 {
		silent, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = silent.Close() })
		s.seeds = silent.Addr().String() + "," + s.seeds
	}
	begun := time.Now()
	late := s.start("d2")
	s.eventually("the daemon is ready", late.ready)
	if took := time.Since(begun); took > time.Second {
		t.Errorf("ready after %v", took)
	}
}
