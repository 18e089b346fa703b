package weights

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/clock"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/standin/fakeplatform"
	"github.com/hornbeamtide/hornbeamtide/weights/weightspb"
)

func TestVersionIsStagedEverywhereThenActivatedInOneWave(t *testing.T) {
	cluster := newTestCluster(t, 9, true)
	var staging, maxStaging, activatedEarly atomic.Int64
	for _, e := range cluster.engines {
		e.beforeStage = func() {
			concurrent := staging.Add(1)
			for previous := maxStaging.Load(); concurrent > previous && !maxStaging.CompareAndSwap(previous, concurrent); previous = maxStaging.Load() {
			}
			time.Sleep(5 * time.Millisecond)
			staging.Add(-1)
		}
		e.beforeActivate = func(version int64) {
			for _, other := range cluster.engines {
				if other != e && readLocked(other, func() int64 { return other.staged }) < version {
					activatedEarly.Add(1)
				}
			}
		}
	}
	daemons := []*testDaemon{cluster.addDaemon("d0"), cluster.addDaemon("d1"), cluster.addDaemon("d2")}
	for _, d := range daemons {
		d.start()
	}
	cluster.publish(2)
	waitFor(t, "version 2 on all replicas", func() bool { return cluster.allActive(2) })
	if maxStaging.Load() > 2 {
		t.Errorf("%d replicas loaded concurrently, want at most 2", maxStaging.Load())
	}
	if activatedEarly.Load() > 0 {
		t.Error("a replica was activated before all had staged")
	}
	for _, d := range daemons {
		waitFor(t, "newest version 2 on all daemons", func() bool { return d.manager.Newest(testPool) == 2 })
	}
}

func TestReplicaWithPartialSwapIsSuspendedFromSampleWork(t *testing.T) {
	cluster := newTestCluster(t, 3, true)
	cluster.engines[1].failActivations = 1
	daemons := []*testDaemon{cluster.addDaemon("d0"), cluster.addDaemon("d1")}
	for _, d := range daemons {
		d.start()
	}
	cluster.publish(2)
	for _, d := range daemons {
		waitFor(t, "suspension of e01 on all daemons", func() bool { return d.suspendedBelow("e01") == 2 })
	}
	waitFor(t, "version 2 on all replicas after the swap is repeated", func() bool { return cluster.allActive(2) })
	if daemons[0].suspendedBelow("e00") != 0 {
		t.Error("a replica with a complete version was suspended")
	}
}

func TestRestartedReplicaIsUpdatedToTheNewestVersion(t *testing.T) {
	cluster := newTestCluster(t, 3, true)
	cluster.addDaemon("d0").start()
	cluster.publish(2)
	waitFor(t, "version 2", func() bool { return cluster.allActive(2) })
	e := cluster.engines[2]
	e.update(func() { e.version, e.staged, e.complete, e.fencingToken = 0, 0, false, 0 })
	waitFor(t, "version 2 again", func() bool { return cluster.allActive(2) })
}

func TestAnotherDaemonTakesOverThePoolOfAStoppedOwner(t *testing.T) {
	cluster := newTestCluster(t, 3, false)
	first, second := cluster.addDaemon("d0"), cluster.addDaemon("d1")
	first.start()
	cluster.publish(2)
	waitFor(t, "version 2", func() bool { return cluster.allActive(2) })
	second.start()
	first.stop()
	cluster.publish(3)
	waitFor(t, "version 3", func() bool { return cluster.allActive(3) })
}

// fakeClock is a clock that the test advances.
type fakeClock struct {
	mu  sync.Mutex
	now time.Time
}

func newFakeClock() *fakeClock { return &fakeClock{now: time.Unix(1e9, 0)} }

func (c *fakeClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *fakeClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// newHolder sets the daemon's clock and returns a controller that has tried once to
// acquire the lease. The controller holds the lease unless another daemon does.
func newHolder(t *testing.T, d *testDaemon, c *fakeClock) *poolController {
	t.Helper()
	d.manager.now = c.Now
	p := newPoolController(d.manager, testPool)
	p.checksFencing.Store(d.cluster.checksFencing)
	p.stop = func() {}
	if err := p.lease.renewOrAcquire(context.Background(), 0); err != nil {
		t.Fatal(err)
	}
	return p
}

// newHolderAfterExpiry advances the clock until the present lease has expired and returns
// a controller of daemon d that has acquired it.
func newHolderAfterExpiry(t *testing.T, d *testDaemon, c *fakeClock) *poolController {
	t.Helper()
	p := newHolder(t, d, c)
	c.advance(d.manager.config.LeaseDuration + time.Millisecond)
	if err := p.lease.renewOrAcquire(context.Background(), 0); err != nil {
		t.Fatal(err)
	}
	if _, left := p.lease.remaining(); left <= 0 {
		t.Fatal("the lease was not taken over")
	}
	return p
}

// A lease holder that was paused does not know that another daemon has taken over. Its
// orders carry an older fencing token, which the engines refuse.
func TestResumedOldHolderIsRefusedByEnginesThatCheckFencing(t *testing.T) {
	cluster := newTestCluster(t, 1, true)
	c := newFakeClock()
	first := newHolder(t, cluster.addDaemon("d0"), c)
	second := newHolderAfterExpiry(t, cluster.addDaemon("d1"), c)
	e := cluster.engines[0]
	e.update(func() { e.staged = 3 })
	second.manager.activateAll(context.Background(), second, targetsOf(cluster.replicas()), 3)
	reports := first.manager.activateAll(context.Background(), first, targetsOf(cluster.replicas()), 2)
	first.handleReports(context.Background(), 2, reports)
	if version := readLocked(e, func() int64 { return e.version }); version != 3 {
		t.Errorf("the old holder activated version %d, want 3 active", version)
	}
	if refused := readLocked(e, func() int { return e.refused }); refused != 1 {
		t.Errorf("the engine refused %d orders, want 1", refused)
	}
	if _, left := first.permit(); left > 0 {
		t.Error("the old holder did not step down")
	}
}

// Engines that do not check fencing tokens would execute an order of an old holder, so it
// must not send orders after its lease has expired.
func TestResumedOldHolderSendsNothingToEnginesThatDoNotCheckFencing(t *testing.T) {
	cluster := newTestCluster(t, 1, false)
	c := newFakeClock()
	first := newHolder(t, cluster.addDaemon("d0"), c)
	second := newHolderAfterExpiry(t, cluster.addDaemon("d1"), c)
	e := cluster.engines[0]
	second.manager.activateAll(context.Background(), second, targetsOf(cluster.replicas()), 3)
	first.manager.activateAll(context.Background(), first, targetsOf(cluster.replicas()), 2)
	_ = first.manager.stageTarget(context.Background(), targetsOf(cluster.replicas())[0], 2, first.permit)
	if version := readLocked(e, func() int64 { return e.version }); version != 3 {
		t.Errorf("the old holder activated version %d, want 3 active", version)
	}
	if orders := readLocked(e, func() int { return e.accepted }); orders != 1 {
		t.Errorf("the engine executed %d orders", orders)
	}
}

// An Activate request may be delayed between two daemons until the sender's lease has
// expired.
func TestDelayedActivateRequestIsRefusedAfterTheLeaseExpires(t *testing.T) {
	cluster := newTestCluster(t, 1, false)
	c := newFakeClock()
	p := newHolder(t, cluster.addDaemon("d0"), c)
	s := &service{manager: cluster.addDaemon("d1").manager}
	s.manager.now = c.Now
	prepared, _ := s.Prepare(context.Background(), nil)
	fencingToken, left := p.permit()
	c.advance(left)
	reply, err := s.Activate(context.Background(), &weightspb.ActivateRequest{
		Ticket: prepared.Ticket, Pool: testPool, Version: 2, Fence: fencingToken, RemainingMs: left.Milliseconds(), Targets: targetsOf(cluster.replicas()),
	})
	if err != nil || reply.Reports[0].Error == "" {
		t.Errorf("the delayed order was not refused: %v %v", reply, err)
	}
	if orders := readLocked(cluster.engines[0], func() int { return cluster.engines[0].accepted }); orders != 0 {
		t.Errorf("the engine executed %d orders", orders)
	}
	if _, err := s.Activate(context.Background(), &weightspb.ActivateRequest{Ticket: prepared.Ticket}); !fault.Is(err, fault.Fenced) {
		t.Errorf("second use of the ticket: got %v, want fenced", err)
	}
}

func TestObjectAPIOutageStopsOrdersOnlyToEnginesThatDoNotCheckFencing(t *testing.T) {
	for _, checksFencing := range []bool{true, false} {
		cluster := newTestCluster(t, 1, checksFencing)
		c := newFakeClock()
		p := newHolder(t, cluster.addDaemon("d0"), c)
		cluster.platform.SetFaults(fakeplatform.Faults{Outage: true})
		c.advance(2 * p.manager.config.LeaseDuration)
		_ = p.lease.renewOrAcquire(context.Background(), 0)
		p.manager.activateAll(context.Background(), p, targetsOf(cluster.replicas()), 2)
		if active := cluster.allActive(2); active != checksFencing {
			t.Errorf("engines check fencing tokens: %v, order executed: %v", checksFencing, active)
		}
	}
}

func TestLeaseRenewalWithLostResponseKeepsTheLease(t *testing.T) {
	cluster := newTestCluster(t, 1, false)
	c := newFakeClock()
	p := newHolder(t, cluster.addDaemon("d0"), c)
	before, _ := p.lease.remaining()
	c.advance(p.manager.config.LeaseDuration / 2)
	cluster.platform.SetFaults(fakeplatform.Faults{LoseResponses: 1})
	if err := p.lease.renewOrAcquire(context.Background(), 0); err != nil {
		t.Fatal(err)
	}
	after, left := p.lease.remaining()
	if after <= before || left < p.manager.config.LeaseDuration {
		t.Errorf("fencing token %d after %d, %s left", after, before, left)
	}
}

func TestOneOrderInFlightPerReplica(t *testing.T) {
	cluster := newTestCluster(t, 1, true)
	p := newHolder(t, cluster.addDaemon("d0"), newFakeClock())
	entered, release := make(chan struct{}), make(chan struct{})
	cluster.engines[0].beforeStage = func() { close(entered); <-release }
	target := targetsOf(cluster.replicas())[0]
	done := make(chan error)
	go func() { done <- p.manager.stageTarget(context.Background(), target, 2, p.permit) }()
	<-entered
	if err := p.manager.stageTarget(context.Background(), target, 2, p.permit); !fault.Is(err, fault.Overloaded) || fault.OutcomeOf(err) != fault.NotRun {
		t.Errorf("second order: got %v, want overloaded and not run", err)
	}
	close(release)
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// An instance is suspended while it holds a pool's lease, and another daemon takes the lease over.
// The runtime's monotonic clock, which time.Now carries, stands still in a suspension: by it the
// lease would still be valid after the resume, and both would send orders.
func TestLeaseClockCountsSuspensions(t *testing.T) {
	m := NewManager(Config{}, Dependencies{})
	before := clock.BootTime()
	now := m.now().Sub(time.Unix(0, 0))
	after := clock.BootTime()
	if now < before || now > after {
		t.Errorf("the clock of the lease is at %v, want the time since boot, %v to %v", now, before, after)
	}
}
