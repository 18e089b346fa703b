package waves

import (
	"context"
	"fmt"
	"sort"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/catalog"
	"github.com/hornbeamtide/hornbeamtide/standin/memstore"
)

// testClock is a fake clock that the test advances.
type testClock struct{ elapsed time.Duration }

func (c *testClock) now() time.Duration { return c.elapsed }

func newLeases(fenced bool) (*memstore.Store, *testClock, map[string]*lease) {
	store, clk := memstore.New(), &testClock{elapsed: time.Hour}
	leases := map[string]*lease{}
	for _, id := range []string{"a", "b"} {
		leases[id] = &lease{store: store, self: id, duration: 3 * time.Second, fenced: fenced, clock: clk.now}
	}
	return store, clk, leases
}

func mustHold(t *testing.T, l *lease, want bool, when string) {
	t.Helper()
	if _, held := l.holds(); held != want {
		t.Errorf("%s: %s holds the lease: %t, want %t", when, l.self, held, want)
	}
}

func TestLeaseIsTakenOverOnlyAfterExpiry(t *testing.T) {
	for _, fenced := range []bool{false, true} {
		_, clk, leases := newLeases(fenced)
		a, b := leases["a"], leases["b"]
		ctx := t.Context()
		if !a.acquire(ctx) || b.acquire(ctx) {
			t.Fatal("want a to acquire the free lease and b to be refused")
		}
		first, _ := a.holds()
		clk.elapsed += 2600 * time.Millisecond
		mustHold(t, a, fenced, "shortly before expiry") // replicas that check fencing tokens refuse stale orders themselves
		if b.acquire(ctx) {
			t.Error("lease taken over before it expired")
		}
		clk.elapsed += 800 * time.Millisecond
		if !b.acquire(ctx) {
			t.Fatal("expired lease not taken over")
		}
		mustHold(t, b, fenced, "right after the takeover") // orders of the previous holder may still be in flight
		clk.elapsed += 3 * time.Second
		b.acquire(ctx)
		if token, held := b.holds(); !held || token <= first {
			t.Errorf("token %d after %d, held %t", token, first, held)
		}
	}
}

func TestSuspendedHolderSendsNoOrder(t *testing.T) {
	_, clk, leases := newLeases(false)
	a := leases["a"]
	a.acquire(t.Context())
	mustHold(t, a, true, "after acquire")
	clk.elapsed += time.Minute // the clock counts while the instance is suspended
	mustHold(t, a, false, "after resume")
}

func TestAmbiguousRenewalKeepsToken(t *testing.T) {
	store, clk, leases := newLeases(true)
	a := leases["a"]
	a.acquire(t.Context())
	token, _ := a.holds()
	store.SetFaults(memstore.Faults{Hang: true})
	clk.elapsed += 2 * time.Second
	limited, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	if a.renew(limited, token, 0) {
		t.Fatal("renewal succeeded although the store did not respond")
	}
	if got, held := a.holds(); !held || got != token {
		t.Errorf("token %d, held %t, want %d", got, held, token)
	}
}

func TestReleasedLeaseDelaysNextHoldersOrders(t *testing.T) {
	_, clk, leases := newLeases(true)
	a, b := leases["a"], leases["b"]
	a.acquire(t.Context())
	a.tokenForOrder()
	clk.elapsed += time.Second
	a.release(t.Context())
	mustHold(t, a, false, "after release")
	if !b.acquire(t.Context()) {
		t.Fatal("released lease can not be acquired")
	}
	mustHold(t, b, false, "1 s after the previous holder's last order")
	clk.elapsed += 2100 * time.Millisecond
	mustHold(t, b, true, "3.1 s after the previous holder's last order")
}

// A new holder reads the lease again while it waits for the previous holder's orders to end. It
// must not take its own renewal for permission to send orders, or both order within the lease's
// duration.
func TestRenewalDoesNotEndTheWaitForThePreviousHolder(t *testing.T) {
	_, clk, leases := newLeases(false)
	a, b := leases["a"], leases["b"]
	a.acquire(t.Context())
	b.acquire(t.Context())
	clk.elapsed += 3400 * time.Millisecond
	if !b.acquire(t.Context()) {
		t.Fatal("expired lease not taken over")
	}
	for range 14 {
		clk.elapsed += 200 * time.Millisecond
		b.acquire(t.Context())
		mustHold(t, b, false, "less than the lease's duration after the takeover")
	}
	clk.elapsed += 300 * time.Millisecond
	mustHold(t, b, true, "the lease's duration after the takeover")
}

// A rolling stop passes the lease on before its new holder may send orders. The next holder must
// wait for the orders of the one before.
func TestReleaseWithoutOrdersKeepsTheWaitForThePreviousHolder(t *testing.T) {
	_, clk, leases := newLeases(true)
	a, b := leases["a"], leases["b"]
	a.acquire(t.Context())
	a.tokenForOrder()
	a.release(t.Context())
	clk.elapsed += time.Second
	b.acquire(t.Context())
	b.release(t.Context())
	c := &lease{store: a.store, self: "c", duration: a.duration, fenced: true, clock: a.clock}
	c.acquire(t.Context())
	mustHold(t, c, false, "1 s after the last order")
	clk.elapsed += 3100 * time.Millisecond
	mustHold(t, c, true, "3.1 s after the second hand-over")
}

// A holder crashes after an order and restarts. It does not know when it sent the last order, so
// the next holder must wait for the whole duration from the restart; and a wait that the crash
// interrupted goes on.
func TestRestartedHolderKeepsTheWaitsOfItsPreviousIncarnation(t *testing.T) {
	_, clk, leases := newLeases(false)
	a, b := leases["a"], leases["b"]
	restart := func(l *lease) *lease {
		return &lease{store: l.store, self: l.self, incarnation: l.incarnation + 1, duration: l.duration, fenced: l.fenced, clock: l.clock}
	}
	a.acquire(t.Context())
	a.tokenForOrder()
	a = restart(a)
	a.acquire(t.Context())
	a.release(t.Context())
	b.acquire(t.Context())
	mustHold(t, b, false, "right after the previous holder's restart and release")
	clk.elapsed += time.Second
	b = restart(b)
	b.acquire(t.Context())
	mustHold(t, b, false, "restarted in its wait")
	clk.elapsed += 3100 * time.Millisecond
	b.acquire(t.Context())
	mustHold(t, b, true, "3.1 s after its restart")
}

func TestRestartedHolderGetsHigherToken(t *testing.T) {
	_, _, leases := newLeases(true)
	a := leases["a"]
	a.acquire(t.Context())
	old, _ := a.holds()
	restarted := &lease{store: a.store, self: "a", incarnation: 2, duration: a.duration, fenced: true, clock: a.clock}
	if !restarted.acquire(t.Context()) {
		t.Fatal("restarted daemon can not acquire its own lease")
	}
	if token, _ := restarted.holds(); token <= old {
		t.Errorf("token %d after %d", token, old)
	}
}

func replicas(n int) []catalog.Replica {
	var all []catalog.Replica
	for i := range n {
		all = append(all, catalog.Replica{ID: fmt.Sprint("r", i)})
	}
	return all
}

func TestApportionment(t *testing.T) {
	models := []string{"a", "b", "c"}
	table := []struct {
		name   string
		n      int
		demand map[string]float64
		before map[string]int
		want   map[string]int
	}{
		{"unknown demand", 9, nil, nil, map[string]int{"a": 3, "b": 3, "c": 3}},
		{"by demand", 8, map[string]float64{"a": 504, "b": 1056, "c": 864}, nil, map[string]int{"a": 2, "b": 3, "c": 3}},
		{"no model is starved", 8, map[string]float64{"a": 1, "b": 1000, "c": 1000}, nil, map[string]int{"a": 1, "b": 4, "c": 3}},
		{"small changes keep the previous counts", 8, map[string]float64{"a": 700, "b": 900, "c": 900}, map[string]int{"a": 2, "b": 3, "c": 3}, map[string]int{"a": 2, "b": 3, "c": 3}},
		{"fewer replicas than models", 2, nil, nil, map[string]int{"a": 1, "b": 1, "c": 0}},
	}
	for _, row := range table {
		got := apportion(row.n, models, row.demand, row.before)
		if fmt.Sprint(got) != fmt.Sprint(row.want) {
			t.Errorf("%s: %v, want %v", row.name, got, row.want)
		}
	}
}

func TestRemovedReplicaReassignsFewOthers(t *testing.T) {
	models := []string{"a", "b", "c"}
	all := replicas(12)
	counts := map[string]int{"a": 4, "b": 4, "c": 4}
	before := assignReplicas(all, models, counts)
	after := assignReplicas(all[1:], models, apportion(11, models, nil, counts))
	modelOf := map[string]string{}
	for model, part := range before {
		for _, r := range part {
			modelOf[r.ID] = model
		}
	}
	moved, total := 0, 0
	for model, part := range after {
		for _, r := range part {
			total++
			if modelOf[r.ID] != model {
				moved++
			}
		}
	}
	if total != 11 || moved > 2 {
		t.Errorf("%d replicas assigned, want 11; %d changed their model, want at most 2", total, moved)
	}
}

// The load pattern behind canDeferLoad: steps every few seconds on busy replicas, and two loads
// at a time. Replicas of a busy service load half as often, and half of them can start each step.
func TestBusyPoolLoadsEachVersionOnHalfOfItsReplicas(t *testing.T) {
	for _, row := range []struct{ replicas, running, maxLoads int }{{8, 8, 4}, {3, 8, 2}, {1, 8, 1}, {8, 0, 8}} {
		versions := make([]int64, row.replicas)
		for newest := int64(1); newest <= 12; newest++ {
			loads, usable := 0, 0
			for _, v := range versions {
				if v >= newest-1 {
					usable++
				}
			}
			if newest > 3 && usable < row.replicas/2 {
				t.Errorf("%+v: only %d replicas can start step %d", row, usable, newest)
			}
			sort.Slice(versions, func(a, b int) bool { return versions[a] < versions[b] }) // the order of moreUrgent
			for i := range versions {
				has := 0
				for _, v := range versions {
					if v == newest {
						has++
					}
				}
				if !canDeferLoad(newest-versions[i], has >= row.replicas/2, row.running, 8) {
					versions[i], loads = newest, loads+1
				}
			}
			if newest > 3 && loads > row.maxLoads {
				t.Errorf("%+v: %d loads of version %d", row, loads, newest)
			}
		}
	}
}

func TestMoreUrgent(t *testing.T) {
	replica := func(id string, version int64) catalog.Replica {
		return catalog.Replica{ID: id, Versions: map[string]int64{"m": version}}
	}
	first := workItem{replica: replica("a", 1), model: "m", version: 5, usableShare: 0.5}
	starved := workItem{replica: replica("b", 3), model: "m", version: 5, usableShare: 0}
	fresh := workItem{replica: replica("c", 4), model: "m", version: 5, usableShare: 0}
	for _, row := range []struct {
		name string
		a, b workItem
	}{
		{"model without usable replicas before one with some", starved, first},
		{"too old before lagging by one", first, fresh},
		{"too old before lagging by one in a starved model", starved, fresh},
	} {
		if !moreUrgent(row.a, row.b) || moreUrgent(row.b, row.a) {
			t.Error(row.name)
		}
	}
}
