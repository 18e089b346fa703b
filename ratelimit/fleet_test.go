package ratelimit

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/catalog"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/ratelimit/ratelimitpb"
	"github.com/hornbeamtide/hornbeamtide/upstream"
)

// The rule for replicas that name a limit: from contactTime after they first do, no window has more
// than windowFactor times the limit, and windowSlack requests.
const (
	contactTime  = 3 * time.Second
	window       = 4 * time.Second
	windowFactor = 1.5
	windowSlack  = 5
)

var testReplica = catalog.Replica{ID: "r", StartedMs: 1}

// testFleet is a fleet of daemons on a simulated clock that send requests to one replica. Facts
// reach all daemons at once, except across a partition.
type testFleet struct {
	t        *testing.T
	now      time.Time
	limit    float64 // that the replica names; 0 for none
	daemons  []*testDaemon
	arrivals []time.Time
	random   *rand.Rand
	// separated reports whether two daemons can't reach each other.
	separated func(a, b int) bool
}

// testDaemon is one daemon. It implements Tracker.
type testDaemon struct {
	*Manager

	fleet         *testFleet
	index         int
	deferredUntil time.Time
}

func newTestFleet(t *testing.T, daemons int, limit float64) *testFleet {
	f := &testFleet{
		t: t, now: time.Unix(1000, 0), limit: limit, random: rand.New(rand.NewPCG(1, 2)),
		separated: func(a, b int) bool { return false },
	}
	for i := range daemons {
		d := &testDaemon{fleet: f, index: i}
		f.daemons = append(f.daemons, d)
		d.start()
	}
	return f
}

func address(index int) string { return fmt.Sprint("d", index) }

// start gives the daemon the state of a process that has just started.
func (d *testDaemon) start() {
	f := d.fleet
	d.deferredUntil = time.Time{}
	d.Manager = NewManager(Dependencies{Self: address(d.index), Members: f.members, Backend: path{d}, Tracker: d})
	d.now = func() time.Time { return f.now }
	d.limits.now = d.now
	d.ask = func(ctx context.Context, to string, request *ratelimitpb.PermitRequest) (*ratelimitpb.PermitAnswer, error) {
		for _, other := range f.daemons {
			if address(other.index) == to && !f.separated(d.index, other.index) {
				return service{other.Manager}.Permit(ctx, request)
			}
		}
		return nil, fault.New(fault.Unavailable, "cut off", "")
	}
	d.OnChange(func() {
		for _, other := range f.daemons {
			if !f.separated(d.index, other.index) {
				other.limits.Merge(d.limits.Facts())
			}
		}
	})
}

func (f *testFleet) members() map[string]string {
	members := map[string]string{}
	for i := range f.daemons {
		members[address(i)] = address(i)
	}
	return members
}

// path is the path from a daemon to the replica.
type path struct{ *testDaemon }

// Send implements upstream.Backend.
func (p path) Send(context.Context, upstream.Call) (*upstream.Response, error) {
	f := p.fleet
	f.arrivals = append(f.arrivals, f.now)
	return &upstream.Response{Status: 200, Signed: true, RequestLimit: f.limit}, nil
}

// Events implements upstream.Backend.
func (p path) Events(*upstream.Response) upstream.EventReader { return nil }

// Defer implements Tracker.
func (d *testDaemon) Defer(_ string, wait time.Duration, _ bool) {
	d.deferredUntil = d.fleet.now.Add(wait)
}

// Knows implements Tracker.
func (d *testDaemon) Knows(string) bool { return true }

// owner returns the index of the owner of the given rank.
func (f *testFleet) owner(rank int) int {
	id := ownerOrder(f.members(), testReplica.ID)[rank].id
	for i := range f.daemons {
		if address(i) == id {
			return i
		}
	}
	panic("the owner is no daemon")
}

// run lets each daemon send at the given mean rate per second for a time. Requests whose replica is
// deferred go elsewhere.
func (f *testFleet) run(duration time.Duration, rate float64, each func()) {
	const step = 10 * time.Millisecond
	for end := f.now.Add(duration); f.now.Before(end); f.now = f.now.Add(step) {
		each()
		for _, d := range f.daemons {
			if f.random.Float64() > rate*step.Seconds() || f.now.Before(d.deferredUntil) {
				continue
			}
			_, err := d.Manager.Send(context.Background(), upstream.Call{Replica: testReplica, Deferrable: f.random.IntN(2) == 0})
			if err != nil && !errors.Is(err, upstream.ErrRateLimited) {
				f.t.Fatal(err)
			}
		}
	}
}

func (f *testFleet) arrivalsIn(from, to time.Time) int {
	n := 0
	for _, at := range f.arrivals {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// checkLimit fails the test if a window from begin on has more arrivals than the rule allows.
func (f *testFleet) checkLimit(begin time.Time) {
	f.t.Helper()
	allowed := int(windowFactor*f.limit*window.Seconds()) + windowSlack
	for _, first := range f.arrivals {
		if n := f.arrivalsIn(first, first.Add(window)); !first.Before(begin) && n > allowed {
			f.t.Errorf("%d requests in the %v from %v on, allowed %d", n, window, first.Sub(time.Unix(1000, 0)), allowed)
			return
		}
	}
}

// Replays the load behind the permits: the demand of the fleet is many times the limit, and at most
// sizes no daemon exceeds the limit by itself.
func TestFleetKeepsToLimit(t *testing.T) {
	for _, daemons := range []int{1, 2, 8, 70, 250} {
		for _, limit := range []float64{0.5, 4, 14.3} {
			t.Run(fmt.Sprint(daemons, " daemons, limit ", limit), func(t *testing.T) {
				f := newTestFleet(t, daemons, limit)
				begin := f.now.Add(contactTime)
				f.run(20*time.Second, 100/float64(daemons), func() {})
				f.checkLimit(begin)
				if served := f.arrivalsIn(begin, f.now); float64(served) < 0.8*limit*f.now.Sub(begin).Seconds() {
					t.Errorf("only %d requests in %v were sent at a limit of %g a second", served, f.now.Sub(begin), limit)
				}
			})
		}
	}
}

func TestFleetKeepsToLimitUnderFaults(t *testing.T) {
	table := []struct {
		name  string
		fault func(f *testFleet, elapsed time.Duration)
	}{
		{"owners restart in turn", func(f *testFleet, elapsed time.Duration) {
			if elapsed%time.Second == 0 {
				f.daemons[f.owner(int(elapsed/time.Second)%2)].start()
			}
		}},
		{"owner isolated", func(f *testFleet, elapsed time.Duration) {
			first := f.owner(0)
			f.separated = func(a, b int) bool { return a != b && (a == first || b == first) }
		}},
		{"half of the fleet does not reach the owner", func(f *testFleet, elapsed time.Duration) {
			first := f.owner(0)
			f.separated = func(a, b int) bool { return a%2 == 1 && b == first && a != first }
		}},
		{"two halves for some seconds", func(f *testFleet, elapsed time.Duration) {
			f.separated = func(a, b int) bool { return a%2 != b%2 && elapsed > 5*time.Second && elapsed < 11*time.Second }
		}},
		{"each daemon by itself", func(f *testFleet, elapsed time.Duration) {
			f.separated = func(a, b int) bool { return a != b && elapsed > 2*time.Second }
		}},
	}
	for _, row := range table {
		for _, daemons := range []int{8, 250} {
			t.Run(fmt.Sprint(row.name, ", ", daemons, " daemons"), func(t *testing.T) {
				f := newTestFleet(t, daemons, 6)
				start := f.now
				f.run(20*time.Second, 60/float64(daemons), func() { row.fault(f, f.now.Sub(start)) })
				f.checkLimit(start.Add(contactTime))
				if served := f.arrivalsIn(start.Add(contactTime), f.now); served < 10 {
					t.Errorf("only %d requests in %v were sent", served, f.now.Sub(start)-contactTime)
				}
			})
		}
	}
}

// Guards against a limit that lasts: only responses show that it has ended or changed.
func TestEndOfLimitReachesFleet(t *testing.T) {
	f := newTestFleet(t, 250, 0.1)
	f.run(10*time.Second, 0.2, func() {})
	f.limit = 0
	limitedDaemons := func() int {
		n := 0
		for _, d := range f.daemons {
			n += len(d.Limited())
		}
		return n
	}
	for end := f.now.Add(10 * time.Second); limitedDaemons() > 0; f.run(10*time.Millisecond, 0.2, func() {}) {
		if f.now.After(end) {
			t.Fatalf("%d daemons still know the limit", limitedDaemons())
		}
	}
	for _, d := range f.daemons {
		if wait := d.deferredUntil.Sub(f.now); wait > 0 {
			t.Fatalf("daemon %d leaves the replica alone for %v after its limit has ended", d.index, wait)
		}
	}
}

// A replica that starts again knows nothing of its earlier limit.
func TestLimitEndsWithIncarnation(t *testing.T) {
	f := newTestFleet(t, 3, 1)
	f.run(time.Second, 5, func() {})
	d := f.daemons[0]
	if _, limited := d.limits.get(testReplica.ID, testReplica.StartedMs); !limited {
		t.Fatal("no limit known")
	}
	if _, limited := d.limits.get(testReplica.ID, testReplica.StartedMs+1); limited {
		t.Error("the limit applies to the next incarnation")
	}
}

// Responses may overtake each other: one without a limit to a request sent before the limit was
// named does not end it.
func TestOvertakenResponseDoesNotEndLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newRegistry(func() time.Time { return now }, func(string) {}, nil)
	sentAt := now.Add(-time.Second)
	r.recordResponse("r", 1, 5, sentAt)
	now = now.Add(time.Millisecond)
	if r.recordResponse("r", 1, 0, sentAt) {
		t.Error("the limit ended")
	}
	if !r.recordResponse("r", 1, 0, now.Add(time.Millisecond)) {
		t.Error("the limit did not end with a later response")
	}
}

func TestMemoryForGoneReplicasIsFreed(t *testing.T) {
	now := time.Unix(1000, 0)
	m := NewManager(Dependencies{Self: "d", Members: func() map[string]string { return nil }})
	m.limits.now = func() time.Time { return now }
	for i := range 100 {
		id := fmt.Sprint("r", i)
		m.limits.recordResponse(id, 1, 5, now)
		m.turns.lock(turnKey{id, false}).asking.Unlock()
		m.buckets.take(bucketKey{id, 1, 0}, now, 5, false)
		m.owners.recordResult(id, false, now)
	}
	now = now.Add(time.Hour)
	m.limits.retain(func(id string) bool { return id == "r1" })
	m.turns.retain(func(id string) bool { return id == "r1" })
	m.buckets.removeIdle(now)
	m.owners.removeOld(now)
	if len(m.limits.limits) != 1 || len(m.turns.byKey) != 1 || len(m.buckets.byKey) != 0 || len(m.owners.suspects) != 0 {
		t.Errorf("%d limits, %d turns, %d buckets and %d suspects are left", len(m.limits.limits), len(m.turns.byKey), len(m.buckets.byKey), len(m.owners.suspects))
	}
}

// Another replica that got the address of one that is gone responds with status 421 and its own limit.
func TestLimitOfOtherReplicaAtSameAddressIsIgnored(t *testing.T) {
	if showsLimit(&upstream.Response{Status: http.StatusMisdirectedRequest, NotRun: true, RequestLimit: 5}) {
		t.Error("the limit of a misdirected response counts")
	}
	if !showsLimit(&upstream.Response{Status: http.StatusServiceUnavailable, NotRun: true, RequestLimit: 5}) {
		t.Error("the limit of a full replica does not count")
	}
	if showsLimit(&upstream.Response{Status: http.StatusOK}) {
		t.Error("an unsigned response without a limit ends the limit")
	}
}
