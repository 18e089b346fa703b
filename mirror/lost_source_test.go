package mirror

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/mirror/mirrorpb"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
)

const (
	// applyBound is the time from the confirmation of a change by the store until it must be in force.
	applyBound = 2 * time.Second
	// storeLatency and peerLatency are the times of a call that does not wait.
	storeLatency = 6 * time.Millisecond
	peerLatency  = 2 * time.Millisecond
	// watchMargin is added to the wait of a watch call for its timeout, as in package platform.
	watchMargin = 600 * time.Millisecond
)

// loss is how a daemon is lost to others.
type loss int

const (
	present    loss = iota
	frozen          // no call to it or from it gets a response
	turnedAway      // the store refuses its calls
	storeCut        // its calls to the store get no response
)

// testStore is a store in memory whose watches wait as the platform's do.
type testStore struct {
	mu       sync.Mutex
	revision int64
	changes  []objectapi.Change
	changed  chan struct{}
	calls    int
}

func (s *testStore) put(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.changes = append(s.changes, objectapi.Change{Revision: s.revision, Object: objectapi.Object{Key: key, Version: s.revision}})
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Now()
}

func (s *testStore) after(revision int64, prefix string) (found []objectapi.Change, newest int64, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.changes {
		if c.Revision > revision && len(c.Object.Key) > len(prefix) && c.Object.Key[:len(prefix)] == prefix {
			found = append(found, c)
		}
	}
	return found, s.revision, s.changed
}

// storeView is the store as one daemon reaches it.
type storeView struct {
	objectapi.ObjectStore

	fleet *testFleetOf
	self  int
}

// call makes one call. It returns an error if the daemon does not reach the store.
func (v storeView) call(ctx context.Context, timeout time.Duration) error {
	v.fleet.store.mu.Lock()
	v.fleet.store.calls++
	v.fleet.store.mu.Unlock()
	switch v.fleet.lossOf(v.self) {
	case turnedAway:
		return fault.New(fault.Unavailable, "turned away", "")
	case frozen, storeCut:
		sleepUntil(ctx, timeout)
		return fault.New(fault.Unavailable, "no response", "")
	}
	sleepUntil(ctx, storeLatency)
	return ctx.Err()
}

func sleepUntil(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// List implements objectapi.ObjectStore.
func (v storeView) List(ctx context.Context, prefix string) (objectapi.Snapshot, error) {
	if err := v.call(ctx, 1500*time.Millisecond); err != nil {
		return objectapi.Snapshot{}, err
	}
	found, newest, _ := v.fleet.store.after(0, prefix)
	snapshot := objectapi.Snapshot{Revision: newest}
	for _, c := range found {
		snapshot.Objects = append(snapshot.Objects, c.Object)
	}
	return snapshot, nil
}

// Watch implements objectapi.ObjectStore.
func (v storeView) Watch(ctx context.Context, prefix string, after int64) (objectapi.Watch, error) {
	return &testWatch{view: v, prefix: prefix, revision: after, wait: objectapi.MaxWatchWait(ctx, time.Second)}, nil
}

// testWatch implements objectapi.Watch by long polling.
type testWatch struct {
	view     storeView
	prefix   string
	revision int64
	wait     time.Duration
	pending  []objectapi.Change
}

// Next implements objectapi.Watch.
func (w *testWatch) Next(ctx context.Context) (objectapi.Change, error) {
	if len(w.pending) == 0 {
		if err := w.poll(ctx); err != nil {
			return objectapi.Change{}, err
		}
	}
	next := w.pending[0]
	w.pending = w.pending[1:]
	return next, nil
}

func (w *testWatch) poll(ctx context.Context) error {
	if err := w.view.call(ctx, w.wait+watchMargin); err != nil {
		return err
	}
	end := time.Now().Add(w.wait)
	for {
		found, newest, changed := w.view.fleet.store.after(w.revision, w.prefix)
		// A daemon that is lost meanwhile gets no response; one that is turned away loses its open watches.
		switch w.view.fleet.lossOf(w.view.self) {
		case frozen, storeCut:
			sleepUntil(ctx, time.Until(end)+watchMargin)
			return fault.New(fault.Unavailable, "no response", "")
		case turnedAway:
			return fault.New(fault.Unavailable, "cut off", "")
		}
		if len(found) > 0 || !time.Now().Before(end) {
			w.revision = newest
			w.pending = append(found, objectapi.Change{Revision: newest, Bookmark: true})
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-w.view.fleet.lossChanged():
		case <-time.After(time.Until(end)):
		}
	}
}

// Close implements objectapi.Watch.
func (*testWatch) Close() {}

// testFleetOf is a fleet of mirrors with their calls in memory.
type testFleetOf struct {
	store   *testStore
	members []Member
	mirrors []*Mirror
	stop    context.CancelFunc

	mu      sync.Mutex
	losses  map[int]loss
	changed chan struct{}
	calls   int // between daemons
}

// startFleet starts a fleet with the kinds that package edge mirrors, and waits until all daemons follow the store.
func startFleet(t *testing.T, members []Member) *testFleetOf {
	t.Helper()
	f := &testFleetOf{store: &testStore{changed: make(chan struct{})}, members: members, losses: map[int]loss{}, changed: make(chan struct{})}
	kinds := []Kind{
		{Name: "config", MaxWatchWait: 750 * time.Millisecond},
		{Name: "servers", MaxWatchWait: 750 * time.Millisecond},
		{Name: "versions", MaxWatchWait: 2500 * time.Millisecond},
		{Name: "batches", MaxWatchWait: 6 * time.Second},
	}
	ctx, cancel := context.WithCancel(t.Context())
	f.stop = cancel
	f.store.put("config/main")
	for i, member := range f.members {
		m := New(Config{Self: member.ID, FailureDomain: member.FailureDomain, Kinds: kinds}, storeView{fleet: f, self: i},
			&fleetConns{f, i}, func() []Member { return f.members }, nil)
		f.mirrors = append(f.mirrors, m)
		go func() { _ = m.Run(ctx) }()
	}
	time.Sleep(8 * time.Second)
	return f
}

func (f *testFleetOf) lossOf(i int) loss {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.losses[i]
}

func (f *testFleetOf) lossChanged() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

func (f *testFleetOf) lose(i int, how loss) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.losses[i] = how
	close(f.changed)
	f.changed = make(chan struct{})
}

// sourcesInOrder returns the indexes of the daemons in the order of collectors.
func (f *testFleetOf) sourcesInOrder() []int {
	index := map[string]int{}
	for i, m := range f.members {
		index[m.ID] = i
	}
	var order []int
	for _, m := range collectorOrder(f.members) {
		order = append(order, index[m.ID])
	}
	return order
}

// fleetConns implements peer.ConnProvider for one daemon.
type fleetConns struct {
	fleet *testFleetOf
	self  int
}

// Conn implements peer.ConnProvider.
func (c *fleetConns) Conn(_ context.Context, address string) (drpc.Conn, error) {
	for i, m := range c.fleet.members {
		if m.Address == address {
			return &fleetConn{fleet: c.fleet, from: c.self, to: i}, nil
		}
	}
	return nil, fault.New(fault.Unavailable, "no such daemon", "")
}

type fleetConn struct {
	drpc.Conn

	fleet    *testFleetOf
	from, to int
}

// Invoke implements drpc.Conn. The response is lost if one of the daemons is lost by then.
func (c *fleetConn) Invoke(ctx context.Context, _ string, _ drpc.Encoding, in, out drpc.Message) error {
	c.fleet.mu.Lock()
	c.fleet.calls++
	c.fleet.mu.Unlock()
	type answer struct {
		resp *mirrorpb.SyncAnswer
		err  error
	}
	answers := make(chan answer, 1)
	if c.isWhole() {
		go func() {
			sleepUntil(ctx, peerLatency)
			resp, err := service{c.fleet.mirrors[c.to]}.Sync(ctx, in.(*mirrorpb.SyncRequest))
			answers <- answer{resp, err}
		}()
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case a := <-answers:
		if !c.isWhole() {
			<-ctx.Done()
			return ctx.Err()
		}
		if a.err != nil {
			return a.err
		}
		proto.Merge(out.(proto.Message), a.resp)
		return nil
	}
}

func (c *fleetConn) isWhole() bool {
	return c.fleet.lossOf(c.from) != frozen && c.fleet.lossOf(c.to) != frozen
}

// Guards against daemons that learn of a change too late since they wait for one source after the other that is gone
// (found in a review, case 7): whoever else is lost, a daemon whose own way to the store is whole has a change within
// the bound. Replayed at many phases of the watches and requests.
func TestChangeIsInForceInTimeWhateverSourcesAreLost(t *testing.T) {
	const small, large = 8, 100 // in a large fleet each failure domain has a collector
	table := []struct {
		name        string
		size, draws int
		losses      []loss // of the daemons in the order of collectors
	}{
		{"the first collector is frozen", small, 200, []loss{frozen}},
		{"the second collector is frozen", small, 200, []loss{present, frozen}},
		{"both collectors are frozen", small, 200, []loss{frozen, frozen}},
		{"both collectors and the next daemon are frozen", small, 200, []loss{frozen, frozen, frozen}},
		{"the store turns the first collector away", small, 200, []loss{turnedAway}},
		{"the store turns both collectors away", small, 200, []loss{turnedAway, turnedAway}},
		{"the store turns both collectors away, the next daemon is frozen", small, 200, []loss{turnedAway, turnedAway, frozen}},
		{"one collector is turned away, the other one frozen", small, 200, []loss{turnedAway, frozen}},
		{"both collectors are cut off from the store", small, 200, []loss{storeCut, storeCut}},
		{"one collector is cut off from the store, the other one frozen", small, 200, []loss{storeCut, frozen}},
		{"two of three collectors are frozen", large, 10, []loss{frozen, frozen}},
		{"all collectors are frozen", large, 10, []loss{frozen, frozen, frozen}},
		{"all collectors and the daemons after them are frozen", large, 10, []loss{frozen, frozen, frozen, frozen, frozen, frozen}},
		{"all collectors are turned away or cut off from the store", large, 10, []loss{turnedAway, storeCut, storeCut}},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			worst := time.Duration(0)
			for n := range row.draws {
				draw := rand.New(rand.NewPCG(7, uint64(n)))
				synctest.Test(t, func(t *testing.T) { worst = max(worst, playLoss(t, drawFleet(draw, row.size), row.losses, draw)) })
			}
			t.Logf("in force at the latest after %v", worst)
		})
	}
}

// drawFleet returns daemons in three domains, with drawn addresses, which decide who collects.
func drawFleet(draw *rand.Rand, size int) []Member {
	members := testFleet(size, 3)
	for i := range members {
		members[i].Address += fmt.Sprint(":", draw.IntN(60_000))
	}
	return members
}

// playLoss loses daemons at a drawn phase, changes an object at the same moment, and returns how long it took until
// all daemons that are left had the change.
func playLoss(t *testing.T, members []Member, losses []loss, draw *rand.Rand) time.Duration {
	f := startFleet(t, members)
	defer func() {
		f.stop()
		synctest.Wait()
	}()
	order := f.sourcesInOrder()
	for n := range 3 { // so that the watches of the two kinds end at different moments
		time.Sleep(time.Duration(draw.IntN(1300)) * time.Millisecond)
		f.store.put(fmt.Sprint("servers/", n))
	}
	time.Sleep(time.Duration(draw.IntN(600)) * time.Millisecond)
	f.store.put("config/main") // all have just heard of a change, and wait for the next one
	time.Sleep(time.Duration(20+draw.IntN(3)*300) * time.Millisecond)
	spread := time.Duration(draw.IntN(2)) * 300 * time.Millisecond // at once, or one after the other
	for i, how := range losses {
		f.lose(order[i], how)
		if i < len(losses)-1 {
			time.Sleep(spread)
		}
	}
	lost := time.Now()
	time.Sleep(time.Duration(draw.IntN(2)) * 400 * time.Millisecond)
	confirmed := f.store.put("config/next")
	f.store.put("servers/next")
	worst := time.Duration(0)
	for _, i := range order {
		if f.lossOf(i) != present {
			continue
		}
		for f.mirrors[i].version("config/next")*f.mirrors[i].version("servers/next") == 0 && time.Since(confirmed) < 2*applyBound {
			time.Sleep(5 * time.Millisecond)
		}
		worst = max(worst, time.Since(confirmed))
	}
	if worst > applyBound {
		t.Errorf("a change %v after the loss was in force after %v, bound %v", confirmed.Sub(lost), worst, applyBound)
	}
	return worst
}

// version returns the version of an object in the copy, 0 for none.
func (m *Mirror) version(key string) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, k := range m.kinds {
		if o, found := k.objects[key]; found {
			return o.Version
		}
	}
	return 0
}

// Guards against calls in calm that grow with what is done for lost sources: the store's and those between daemons.
func TestCallsInCalm(t *testing.T) {
	for _, row := range []struct {
		size, domains     int
		maxStore, maxPeer float64 // calls a second
	}{{8, 3, 4.2, 10.5}, {360, 6, 11, 420}} {
		synctest.Test(t, func(t *testing.T) {
			f := startFleet(t, testFleet(row.size, row.domains))
			defer func() {
				f.stop()
				synctest.Wait()
			}()
			const calm = 30 * time.Second
			storeBefore, peerBefore := f.store.calls, f.calls
			time.Sleep(calm)
			storeRate, peerRate := float64(f.store.calls-storeBefore)/calm.Seconds(), float64(f.calls-peerBefore)/calm.Seconds()
			t.Logf("%d daemons: %.2f calls to the store a second, %.2f between daemons", row.size, storeRate, peerRate)
			if storeRate > row.maxStore || peerRate > row.maxPeer {
				t.Errorf("%d daemons: want at most %.2f and %.2f", row.size, row.maxStore, row.maxPeer)
			}
		})
	}
}

// Guards against daemons that ask each other as fast as they can while the store turns all of them away or none of
// them gets a response from it: in a large fleet that takes all of their processor time.
func TestCallsInOutage(t *testing.T) {
	const outage, maxPeerRate = 10 * time.Second, 5.0 // calls a second of one daemon
	for _, how := range []loss{turnedAway, storeCut} {
		synctest.Test(t, func(t *testing.T) {
			f := startFleet(t, testFleet(100, 4))
			defer func() {
				f.stop()
				synctest.Wait()
			}()
			for i := range f.members {
				f.lose(i, how)
			}
			before := f.calls
			time.Sleep(outage)
			rate := float64(f.calls-before) / outage.Seconds() / float64(len(f.members))
			t.Logf("%.1f calls a second of each daemon to others", rate)
			if rate > maxPeerRate {
				t.Errorf("want at most %.1f", maxPeerRate)
			}
		})
	}
}

// Guards against daemons that follow each other after losses one after the other: which daemons collect is each
// daemon's own view, and those that were lost are skipped for longer each time, so that the views differ.
func TestChangeIsInForceInTimeAfterRepeatedLosses(t *testing.T) {
	const seeds, rounds = 60, 9
	worst := time.Duration(0)
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			draw := rand.New(rand.NewPCG(11, seed))
			f := startFleet(t, drawFleet(draw, 8))
			defer func() {
				f.stop()
				synctest.Wait()
			}()
			for round := range rounds {
				time.Sleep(time.Duration(3000+draw.IntN(1300)) * time.Millisecond)
				f.store.put("config/main")
				time.Sleep(60 * time.Millisecond)
				lost := draw.Perm(len(f.members))[:2+draw.IntN(2)]
				if draw.IntN(2) == 0 { // those that watch the store now
					lost = f.watching()
				}
				for _, i := range lost {
					f.lose(i, frozen)
				}
				key := fmt.Sprint("config/", round)
				worst = max(worst, f.timeUntilInForce(t, key, f.store.put(key)))
				time.Sleep(2500 * time.Millisecond)
				for _, i := range lost {
					f.lose(i, present)
				}
			}
		})
	}
	t.Logf("in force at the latest after %v", worst)
}

// watching returns up to three daemons that watch the store.
func (f *testFleetOf) watching() (found []int) {
	for i, m := range f.mirrors {
		m.mu.Lock()
		if m.watching != watchNothing && len(found) < 3 {
			found = append(found, i)
		}
		m.mu.Unlock()
	}
	return found
}

// timeUntilInForce returns how long it takes until all daemons that are not lost have an object.
func (f *testFleetOf) timeUntilInForce(t *testing.T, key string, confirmed time.Time) time.Duration {
	t.Helper()
	worst := time.Duration(0)
	for i := range f.members {
		if f.lossOf(i) != present {
			continue
		}
		for f.mirrors[i].version(key) == 0 && time.Since(confirmed) < 2*applyBound {
			time.Sleep(5 * time.Millisecond)
		}
		worst = max(worst, time.Since(confirmed))
	}
	if worst > applyBound {
		t.Errorf("%s was in force after %v, bound %v", key, worst, applyBound)
	}
	return worst
}
