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

// testClock is a clock that a test moves.
type testClock struct{ now time.Duration }

func (c *testClock) read() time.Duration { return c.now }

func newLeases(fenced bool) (*memstore.Store, *testClock, map[string]*lease) {
	store, now := memstore.New(), &testClock{now: time.Hour}
	leases := map[string]*lease{}
	for _, id := range []string{"a", "b"} {
		leases[id] = &lease{store: store, self: id, length: 3 * time.Second, fenced: fenced, clock: now.read}
	}
	return store, now, leases
}

func mustHold(t *testing.T, l *lease, want bool, when string) {
	t.Helper()
	if _, held := l.holds(); held != want {
		t.Errorf("%s: %s holds the lease: %t, want %t", when, l.self, held, want)
	}
}

func TestLeaseGoesOverOnlyAfterItsTime(t *testing.T) {
	for _, fenced := range []bool{false, true} {
		_, now, leases := newLeases(fenced)
		a, b := leases["a"], leases["b"]
		ctx := t.Context()
		if !a.acquire(ctx) || b.acquire(ctx) {
			t.Fatal("two holders")
		}
		first, _ := a.holds()
		now.now += 2600 * time.Millisecond
		mustHold(t, a, fenced, "near its end") // replicas that check fences refuse it themselves
		if b.acquire(ctx) {
			t.Error("taken before its time")
		}
		now.now += 800 * time.Millisecond
		if !b.acquire(ctx) {
			t.Fatal("not taken after its time")
		}
		mustHold(t, b, fenced, "right after it was taken") // orders of the last holder may be on their way
		now.now += 3 * time.Second
		b.acquire(ctx)
		if token, held := b.holds(); !held || token <= first {
			t.Errorf("token %d after %d, held %t", token, first, held)
		}
	}
}

func TestSuspendedHolderGivesNoOrder(t *testing.T) {
	_, now, leases := newLeases(false)
	a := leases["a"]
	a.acquire(t.Context())
	mustHold(t, a, true, "taken")
	now.now += time.Minute // the clock counts while the instance is suspended
	mustHold(t, a, false, "woken")
}

func TestUnsettledRenewalKeepsTheToken(t *testing.T) {
	store, now, leases := newLeases(true)
	a := leases["a"]
	a.acquire(t.Context())
	token, _ := a.holds()
	store.SetFaults(memstore.Faults{Hang: true})
	now.now += 2 * time.Second
	limited, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	if a.renew(limited, token, 0) {
		t.Fatal("renewed without an answer")
	}
	if got, held := a.holds(); !held || got != token {
		t.Errorf("token %d, held %t, want %d", got, held, token)
	}
}

func TestReleasedLeaseIsTakenAfterItsLastOrder(t *testing.T) {
	_, now, leases := newLeases(true)
	a, b := leases["a"], leases["b"]
	a.acquire(t.Context())
	a.use()
	now.now += time.Second
	a.release(t.Context())
	mustHold(t, a, false, "released")
	if !b.acquire(t.Context()) {
		t.Fatal("a released lease is not free")
	}
	mustHold(t, b, false, "one second after the last holder's order")
	now.now += 2100 * time.Millisecond
	mustHold(t, b, true, "three seconds after the last holder's order")
}

func TestRestartedHolderGetsAHigherToken(t *testing.T) {
	_, _, leases := newLeases(true)
	a := leases["a"]
	a.acquire(t.Context())
	old, _ := a.holds()
	again := &lease{store: a.store, self: "a", incarnation: 2, length: a.length, fenced: true, clock: a.clock}
	if !again.acquire(t.Context()) {
		t.Fatal("its own lease is refused")
	}
	if token, _ := again.holds(); token <= old {
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
		{"nothing known", 9, nil, nil, map[string]int{"a": 3, "b": 3, "c": 3}},
		{"by demand", 8, map[string]float64{"a": 504, "b": 1056, "c": 864}, nil, map[string]int{"a": 2, "b": 3, "c": 3}},
		{"none starves", 8, map[string]float64{"a": 1, "b": 1000, "c": 1000}, nil, map[string]int{"a": 1, "b": 4, "c": 3}},
		{"small changes move nothing", 8, map[string]float64{"a": 700, "b": 900, "c": 900}, map[string]int{"a": 2, "b": 3, "c": 3}, map[string]int{"a": 2, "b": 3, "c": 3}},
		{"fewer replicas than models", 2, nil, nil, map[string]int{"a": 1, "b": 1, "c": 0}},
	}
	for _, row := range table {
		got := apportion(row.n, models, row.demand, row.before)
		if fmt.Sprint(got) != fmt.Sprint(row.want) {
			t.Errorf("%s: %v, want %v", row.name, got, row.want)
		}
	}
}

func TestLostReplicaMovesFewOthers(t *testing.T) {
	models := []string{"a", "b", "c"}
	all := replicas(12)
	counts := map[string]int{"a": 4, "b": 4, "c": 4}
	before := shares(all, models, counts)
	after := shares(all[1:], models, apportion(11, models, nil, counts))
	held := map[string]string{}
	for model, part := range before {
		for _, r := range part {
			held[r.ID] = model
		}
	}
	moved, total := 0, 0
	for model, part := range after {
		for _, r := range part {
			total++
			if held[r.ID] != model {
				moved++
			}
		}
	}
	if total != 11 || moved > 2 {
		t.Errorf("%d replicas given, %d changed their model", total, moved)
	}
}

// The load that mayWait answers: steps every few seconds on busy replicas, and two loads at
// a time. A busy pool loads half as often, and at each step half of the replicas can begin.
func TestBusyPoolLoadsEachVersionOnHalfOfItsReplicas(t *testing.T) {
	for _, row := range []struct{ replicas, running, most int }{{8, 8, 4}, {3, 8, 2}, {1, 8, 1}, {8, 0, 8}} {
		versions := make([]int64, row.replicas)
		for newest := int64(1); newest <= 12; newest++ {
			loads, usable := 0, 0
			for _, v := range versions {
				if v >= newest-1 {
					usable++
				}
			}
			if newest > 3 && usable < row.replicas/2 {
				t.Errorf("%+v: %d replicas can begin step %d", row, usable, newest)
			}
			sort.Slice(versions, func(a, b int) bool { return versions[a] < versions[b] }) // as urgency orders them
			for i := range versions {
				has := 0
				for _, v := range versions {
					if v == newest {
						has++
					}
				}
				if !mayWait(newest-versions[i], has >= row.replicas/2, row.running, 8) {
					versions[i], loads = newest, loads+1
				}
			}
			if newest > 3 && loads > row.most {
				t.Errorf("%+v: %d loads of version %d", row, loads, newest)
			}
		}
	}
}

func TestUrgencyTable(t *testing.T) {
	replica := func(id string, version int64) catalog.Replica {
		return catalog.Replica{ID: id, Versions: map[string]int64{"m": version}}
	}
	first := work{replica: replica("a", 1), model: "m", version: 5, usable: 0.5}
	starved := work{replica: replica("b", 3), model: "m", version: 5, usable: 0}
	fresh := work{replica: replica("c", 4), model: "m", version: 5, usable: 0}
	for _, row := range []struct {
		name string
		a, b work
	}{
		{"the model without usable replicas first", starved, first},
		{"too old before one behind", first, fresh},
		{"too old before one behind of a starved model", starved, fresh},
	} {
		if !urgency(row.a, row.b) || urgency(row.b, row.a) {
			t.Error(row.name)
		}
	}
}
