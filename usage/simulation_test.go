package usage

import (
	"context"
	"errors"
	"maps"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hornbeamtide/hornbeamtide/usage/usagepb"
)

// testFleet is a fleet of daemons on simulated time. Calls go through memory.
type testFleet struct {
	t       *testing.T
	start   time.Time
	daemons map[string]*testDaemon
	order   []string // duty order

	mu sync.Mutex // guards the following fields and those of the daemons
	// afterUpdate is called with each update that was delivered, if it is set.
	afterUpdate func(to *Manager, request *usagepb.UpdateRequest)
	attempted   callCounts
}

// callCounts are numbers of calls, successful or not.
type callCounts struct{ updates, reads, samples int }

type testDaemon struct {
	*Manager

	fleet   *testFleet
	id      string
	jump    atomic.Int64 // of the wall clock, ns
	stop    context.CancelFunc
	ended   chan struct{}
	hanging bool // does not respond to calls
	removed bool // from the member list
	up      bool
}

// runFleet runs a test with a fleet of daemons.
func runFleet(t *testing.T, daemons int, test func(f *testFleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &testFleet{t: t, start: time.Now(), daemons: map[string]*testDaemon{}}
		f.order = DutyOrder(testIDs(daemons))
		for _, id := range f.order {
			f.daemons[id] = &testDaemon{fleet: f, id: id}
		}
		for i := range f.order {
			f.at(i).begin()
		}
		defer func() {
			for _, d := range f.daemons {
				d.end() // also ends one that a test has ended
			}
		}()
		f.sleep(10 * time.Second)
		test(f)
	})
}

// at returns the daemon of the given rank in the duty order.
func (f *testFleet) at(rank int) *testDaemon { return f.daemons[f.order[rank]] }

// sleep lets time pass until all daemons wait for something.
func (f *testFleet) sleep(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// toWindowStart waits until a window has just begun, and returns its index.
func (f *testFleet) toWindowStart() int64 {
	f.sleep(testWindow - time.Duration(time.Now().UnixNano()%int64(testWindow)) + 10*time.Millisecond)
	return WindowIndex(time.Now(), testWindow)
}

func (f *testFleet) members() map[string]string {
	members := map[string]string{}
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, d := range f.daemons {
		if !d.removed {
			members[id] = id
		}
	}
	return members
}

// begin gives the daemon the state of a process that has just started.
func (d *testDaemon) begin() {
	f := d.fleet
	c := NewClock(nil, f.members, d.id, nil)
	c.boot = func() time.Duration { return time.Since(f.start) + time.Hour }
	c.wall = func() time.Time { return time.Now().Add(time.Duration(d.jump.Load())) }
	c.ask = func(ctx context.Context, address string) (time.Time, error) {
		to, err := f.reach(ctx, address, &f.attempted.samples)
		if err != nil {
			return time.Time{}, err
		}
		answer, err := service{to}.WallClock(ctx, nil)
		return time.Unix(0, answer.GetUnixNs()), err
	}
	m := NewManager(Dependencies{
		Self: d.id, Incarnation: time.Now().UnixNano(), Members: f.members, Clock: c, Recorder: NewRecorder(c, testWindow, nil),
	})
	m.remote = testCalls{f, d}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	f.mu.Lock()
	d.Manager, d.stop, d.ended, d.up = m, stop, ended, true
	f.mu.Unlock()
	go func() {
		_ = m.Run(ctx)
		close(ended)
	}()
}

func (d *testDaemon) end() {
	d.fleet.mu.Lock()
	d.up = false
	d.fleet.mu.Unlock()
	d.stop()
	<-d.ended
}

// setHanging sets whether the daemon does not respond to calls.
func (d *testDaemon) setHanging(hanging bool) {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	d.hanging = hanging
}

// setRemoved sets whether the daemon is missing from the member list.
func (d *testDaemon) setRemoved(removed bool) {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	d.removed = removed
}

// hasReceived reports whether the daemon has counts of others.
func (d *testDaemon) hasReceived() bool { return d.State().Received > 0 }

// reach returns the daemon at an address once a call has arrived there, and counts the call.
func (f *testFleet) reach(ctx context.Context, address string, counter *int) (*Manager, error) {
	f.mu.Lock()
	to := f.daemons[address]
	m, hanging, up := to.Manager, to.hanging, to.up
	*counter++
	f.mu.Unlock()
	if hanging {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if !up {
		return nil, errors.New("the daemon is down")
	}
	return m, nil
}

// calls returns the calls that were attempted.
func (f *testFleet) calls() callCounts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.attempted
}

// testCalls implements calls.
type testCalls struct {
	fleet *testFleet
	from  *testDaemon
}

func (c testCalls) update(ctx context.Context, address string, request *usagepb.UpdateRequest) (*usagepb.UpdateAnswer, error) {
	f := c.fleet
	f.mu.Lock()
	killed := !c.from.up
	f.mu.Unlock()
	if killed {
		return nil, errors.New("the caller was killed")
	}
	to, err := f.reach(ctx, address, &f.attempted.updates)
	if err != nil {
		return nil, err
	}
	answer, err := service{to}.Update(ctx, request)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.afterUpdate != nil {
		f.afterUpdate(to, request)
	}
	return answer, err
}

func (c testCalls) read(ctx context.Context, address string, request *usagepb.ReadRequest) (*usagepb.ReadAnswer, error) {
	to, err := c.fleet.reach(ctx, address, &c.fleet.attempted.reads)
	if err != nil {
		return nil, err
	}
	return service{to}.Read(ctx, request)
}

// record counts a number of requests.
func (d *testDaemon) record(organisation string, n int) {
	for range n {
		d.Recorder.Record(organisation, time.Now())
	}
}

// checkTotal fails the test if a daemon's total differs.
func (f *testFleet) checkTotal(d *testDaemon, window int64, want map[string]int64) {
	f.t.Helper()
	got, err := d.Total(context.Background(), window)
	if err != nil || !maps.Equal(got, want) {
		f.t.Errorf("total of window %d at %s: %v, %v, want %v", window, d.id, got, err, want)
	}
}
