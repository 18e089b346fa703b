package weights

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/standin/fakeplatform"
	"github.com/hornbeamtide/hornbeamtide/weights/weightspb"
)

func TestVersionIsStagedEverywhereThenActivatedInOneWave(t *testing.T) {
	w := newWorld(t, 9, true)
	var staging, most, early atomic.Int64
	for _, e := range w.engines {
		e.hold = func() {
			now := staging.Add(1)
			for was := most.Load(); now > was && !most.CompareAndSwap(was, now); was = most.Load() {
			}
			time.Sleep(5 * time.Millisecond)
			staging.Add(-1)
		}
		e.onActivate = func(version int64) {
			for _, other := range w.engines {
				if other != e && get(other, func() int64 { return other.staged }) < version {
					early.Add(1)
				}
			}
		}
	}
	daemons := []*daemon{w.add("d0"), w.add("d1"), w.add("d2")}
	for _, d := range daemons {
		d.run()
	}
	w.publish(2)
	waitFor(t, "version 2 on all replicas", func() bool { return w.allActive(2) })
	if most.Load() > 2 {
		t.Errorf("%d replicas loaded at a time", most.Load())
	}
	if early.Load() > 0 {
		t.Error("a replica was activated before all had staged")
	}
	for _, d := range daemons {
		waitFor(t, "newest version known", func() bool { return d.manager.Newest(testPool) == 2 })
	}
}

func TestReplicaWithIncompleteSwapTakesNoSampleWork(t *testing.T) {
	w := newWorld(t, 3, true)
	w.engines[1].failSwaps = 1
	daemons := []*daemon{w.add("d0"), w.add("d1")}
	for _, d := range daemons {
		d.run()
	}
	w.publish(2)
	for _, d := range daemons {
		waitFor(t, "suspension known", func() bool { return d.suspendedUntil("e01") == 2 })
	}
	waitFor(t, "swap repeated", func() bool { return w.allActive(2) })
	if daemons[0].suspendedUntil("e00") != 0 {
		t.Error("a whole replica was suspended")
	}
}

func TestRestartedReplicaIsBroughtToTheNewestVersion(t *testing.T) {
	w := newWorld(t, 3, true)
	w.add("d0").run()
	w.publish(2)
	waitFor(t, "version 2", func() bool { return w.allActive(2) })
	e := w.engines[2]
	e.set(func() { e.version, e.staged, e.whole, e.fence = 0, 0, false, 0 })
	waitFor(t, "version 2 again", func() bool { return w.allActive(2) })
}

func TestAnotherDaemonTakesThePoolOverFromADeadKeeper(t *testing.T) {
	w := newWorld(t, 3, false)
	first, second := w.add("d0"), w.add("d1")
	first.run()
	w.publish(2)
	waitFor(t, "version 2", func() bool { return w.allActive(2) })
	second.run()
	first.stop()
	w.publish(3)
	waitFor(t, "version 3", func() bool { return w.allActive(3) })
}

// clock is a clock that a test sets.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func newClock() *clock { return &clock{now: time.Unix(1e9, 0)} }

func (c *clock) read() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// holder returns a keeper of the daemon that holds the lease on a clock of the test.
func holder(t *testing.T, d *daemon, c *clock) *keeper {
	t.Helper()
	d.manager.now = c.read
	k := newKeeper(d.manager, testPool)
	k.checksFencing.Store(d.w.checks)
	k.stop = func() {}
	if err := k.lease.tick(context.Background(), 0); err != nil {
		t.Fatal(err)
	}
	return k
}

// takeOver makes the keeper of another daemon the holder after the lease ran out.
func takeOver(t *testing.T, d *daemon, c *clock) *keeper {
	t.Helper()
	k := holder(t, d, c)
	c.advance(d.manager.config.Lease + time.Millisecond)
	if err := k.lease.tick(context.Background(), 0); err != nil {
		t.Fatal(err)
	}
	if _, left := k.lease.remaining(); left <= 0 {
		t.Fatal("the lease was not taken over")
	}
	return k
}

func TestWokenHolderIsRefusedByEnginesThatCheckFencing(t *testing.T) {
	w := newWorld(t, 1, true)
	c := newClock()
	first := holder(t, w.add("d0"), c)
	second := takeOver(t, w.add("d1"), c)
	e := w.engines[0]
	e.set(func() { e.staged = 3 })
	second.m.activateAll(context.Background(), second, targetsOf(w.daemonReplicas()), 3)
	reports := first.m.activateAll(context.Background(), first, targetsOf(w.daemonReplicas()), 2)
	first.takeReports(context.Background(), 2, reports)
	if version := get(e, func() int64 { return e.version }); version != 3 {
		t.Errorf("the woken holder activated version %d", version)
	}
	if refused := get(e, func() int { return e.refused }); refused != 1 {
		t.Errorf("the engine refused %d orders", refused)
	}
	if _, left := first.permit(); left > 0 {
		t.Error("the woken holder did not step down")
	}
}

func TestWokenHolderSendsNothingToEnginesWithoutFencing(t *testing.T) {
	w := newWorld(t, 1, false)
	c := newClock()
	first := holder(t, w.add("d0"), c)
	second := takeOver(t, w.add("d1"), c)
	e := w.engines[0]
	second.m.activateAll(context.Background(), second, targetsOf(w.daemonReplicas()), 3)
	first.m.activateAll(context.Background(), first, targetsOf(w.daemonReplicas()), 2)
	_ = first.m.stageTarget(context.Background(), targetsOf(w.daemonReplicas())[0], 2, first.permit)
	if version := get(e, func() int64 { return e.version }); version != 3 {
		t.Errorf("the woken holder activated version %d", version)
	}
	if orders := get(e, func() int { return e.orders }); orders != 1 {
		t.Errorf("the engine took %d orders", orders)
	}
}

func TestDelayedActivateMessageDoesNotOutliveTheLease(t *testing.T) {
	w := newWorld(t, 1, false)
	c := newClock()
	k := holder(t, w.add("d0"), c)
	s := &service{m: w.add("d1").manager}
	s.m.now = c.read
	prepared, _ := s.Prepare(context.Background(), nil)
	fence, left := k.permit()
	c.advance(left)
	reply, err := s.Activate(context.Background(), &weightspb.ActivateRequest{
		Ticket: prepared.Ticket, Pool: testPool, Version: 2, Fence: fence, RemainingMs: left.Milliseconds(), Targets: targetsOf(w.daemonReplicas()),
	})
	if err != nil || reply.Reports[0].Error == "" {
		t.Errorf("the delayed order was not refused: %v %v", reply, err)
	}
	if orders := get(w.engines[0], func() int { return w.engines[0].orders }); orders != 0 {
		t.Errorf("the engine took %d orders", orders)
	}
	if _, err := s.Activate(context.Background(), &weightspb.ActivateRequest{Ticket: prepared.Ticket}); !fault.Is(err, fault.Fenced) {
		t.Errorf("the ticket was taken twice: %v", err)
	}
}

func TestObjectAPIOutageStopsOrdersOnlyWhereEnginesDoNotCheck(t *testing.T) {
	for _, checks := range []bool{true, false} {
		w := newWorld(t, 1, checks)
		c := newClock()
		k := holder(t, w.add("d0"), c)
		w.platform.SetFaults(fakeplatform.Faults{Outage: true})
		c.advance(2 * k.m.config.Lease)
		_ = k.lease.tick(context.Background(), 0)
		k.m.activateAll(context.Background(), k, targetsOf(w.daemonReplicas()), 2)
		if active := w.allActive(2); active != checks {
			t.Errorf("engines that check fencing: %v, order taken: %v", checks, active)
		}
	}
}

func TestLeaseRenewalWithLostAnswerKeepsTheLease(t *testing.T) {
	w := newWorld(t, 1, false)
	c := newClock()
	k := holder(t, w.add("d0"), c)
	before, _ := k.lease.remaining()
	c.advance(k.m.config.Lease / 2)
	w.platform.SetFaults(fakeplatform.Faults{LoseAnswers: 1})
	if err := k.lease.tick(context.Background(), 0); err != nil {
		t.Fatal(err)
	}
	after, left := k.lease.remaining()
	if after <= before || left < k.m.config.Lease {
		t.Errorf("fence %d after %d, %s left", after, before, left)
	}
}

func TestOneOrderIsInFlightAServer(t *testing.T) {
	w := newWorld(t, 1, true)
	k := holder(t, w.add("d0"), newClock())
	entered, release := make(chan struct{}), make(chan struct{})
	w.engines[0].hold = func() { close(entered); <-release }
	target := targetsOf(w.daemonReplicas())[0]
	done := make(chan error)
	go func() { done <- k.m.stageTarget(context.Background(), target, 2, k.permit) }()
	<-entered
	if err := k.m.stageTarget(context.Background(), target, 2, k.permit); !fault.Is(err, fault.Overloaded) || fault.OutcomeOf(err) != fault.NotRun {
		t.Errorf("second order: %v", err)
	}
	close(release)
	if err := <-done; err != nil {
		t.Error(err)
	}
}
