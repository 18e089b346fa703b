package lease

import (
	"context"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
	"github.com/hornbeamtide/hornbeamtide/standin/memstore"
)

// testClock is a fake clock that the test advances.
type testClock struct{ elapsed time.Duration }

func (c *testClock) now() time.Duration { return c.elapsed }

func newLeases(fenced bool) (*memstore.Store, *testClock, map[string]*Lease) {
	store, clk := memstore.New(), &testClock{elapsed: time.Hour}
	leases := map[string]*Lease{}
	for _, id := range []string{"a", "b"} {
		leases[id] = New(Config{Key: "leases/test", Self: id, Duration: 3 * time.Second, Fenced: fenced, Clock: clk.now}, store, nil)
	}
	return store, clk, leases
}

func mustHold(t *testing.T, l *Lease, want bool, when string) {
	t.Helper()
	if _, held := l.Holds(); held != want {
		t.Errorf("%s: %s holds the lease: %t, want %t", when, l.cfg.Self, held, want)
	}
}

func TestLeaseIsTakenOverOnlyAfterExpiry(t *testing.T) {
	for _, fenced := range []bool{false, true} {
		_, clk, leases := newLeases(fenced)
		a, b := leases["a"], leases["b"]
		ctx := t.Context()
		if !a.Acquire(ctx) || b.Acquire(ctx) {
			t.Fatal("want a to acquire the free lease and b to be refused")
		}
		first, _ := a.Holds()
		clk.elapsed += 2600 * time.Millisecond
		mustHold(t, a, fenced, "shortly before expiry") // replicas that check fencing tokens refuse stale orders themselves
		if b.Acquire(ctx) {
			t.Error("lease taken over before it expired")
		}
		clk.elapsed += 800 * time.Millisecond
		if !b.Acquire(ctx) {
			t.Fatal("expired lease not taken over")
		}
		mustHold(t, b, fenced, "right after the takeover") // orders of the previous holder may still be in flight
		clk.elapsed += 3 * time.Second
		b.Acquire(ctx)
		if token, held := b.Holds(); !held || token <= first {
			t.Errorf("token %d after %d, held %t", token, first, held)
		}
	}
}

func TestSuspendedHolderSendsNoOrder(t *testing.T) {
	_, clk, leases := newLeases(false)
	a := leases["a"]
	a.Acquire(t.Context())
	mustHold(t, a, true, "after acquire")
	clk.elapsed += time.Minute // the clock counts while the instance is suspended
	mustHold(t, a, false, "after resume")
}

func TestAmbiguousRenewalKeepsToken(t *testing.T) {
	store, clk, leases := newLeases(true)
	a := leases["a"]
	a.Acquire(t.Context())
	token, _ := a.Holds()
	store.SetFaults(memstore.Faults{Hang: true})
	clk.elapsed += 2 * time.Second
	limited, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	if a.renew(limited, token, 0) {
		t.Fatal("renewal succeeded although the store did not respond")
	}
	if got, held := a.Holds(); !held || got != token {
		t.Errorf("token %d, held %t, want %d", got, held, token)
	}
}

func TestReleasedLeaseDelaysNextHoldersOrders(t *testing.T) {
	_, clk, leases := newLeases(true)
	a, b := leases["a"], leases["b"]
	a.Acquire(t.Context())
	a.TokenForCall()
	clk.elapsed += time.Second
	a.Release(t.Context())
	mustHold(t, a, false, "after release")
	if !b.Acquire(t.Context()) {
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
	a.Acquire(t.Context())
	b.Acquire(t.Context())
	clk.elapsed += 3400 * time.Millisecond
	if !b.Acquire(t.Context()) {
		t.Fatal("expired lease not taken over")
	}
	for range 14 {
		clk.elapsed += 200 * time.Millisecond
		b.Acquire(t.Context())
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
	a.Acquire(t.Context())
	a.TokenForCall()
	a.Release(t.Context())
	clk.elapsed += time.Second
	b.Acquire(t.Context())
	b.Release(t.Context())
	cfg := a.cfg
	cfg.Self = "c"
	c := New(cfg, a.store, nil)
	c.Acquire(t.Context())
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
	restart := func(l *Lease) *Lease {
		cfg := l.cfg
		cfg.Incarnation++
		return New(cfg, l.store, nil)
	}
	a.Acquire(t.Context())
	a.TokenForCall()
	a = restart(a)
	a.Acquire(t.Context())
	a.Release(t.Context())
	b.Acquire(t.Context())
	mustHold(t, b, false, "right after the previous holder's restart and release")
	clk.elapsed += time.Second
	b = restart(b)
	b.Acquire(t.Context())
	mustHold(t, b, false, "restarted in its wait")
	clk.elapsed += 3100 * time.Millisecond
	b.Acquire(t.Context())
	mustHold(t, b, true, "3.1 s after its restart")
}

func TestRestartedHolderGetsHigherToken(t *testing.T) {
	_, _, leases := newLeases(true)
	a := leases["a"]
	a.Acquire(t.Context())
	old, _ := a.Holds()
	cfg := a.cfg
	cfg.Incarnation = 2
	restarted := New(cfg, a.store, nil)
	if !restarted.Acquire(t.Context()) {
		t.Fatal("restarted daemon can not acquire its own lease")
	}
	if token, _ := restarted.Holds(); token <= old {
		t.Errorf("token %d after %d", token, old)
	}
}

// Daemons of an older version read the lease during a rolling update, so that its stored form must
// not change.
func TestStoredFormIsUnchanged(t *testing.T) {
	store, clk, leases := newLeases(false)
	a, b := leases["a"], leases["b"]
	check := func(want string) {
		t.Helper()
		if o, err := store.Get(t.Context(), "leases/test"); err != nil || string(o.Value) != want {
			t.Errorf("stored %s, %v, want %s", o.Value, err, want)
		}
	}
	a.Acquire(t.Context())
	check(`{"holder":"a","incarnation":0,"renewal":1}`)
	a.TokenForCall()
	clk.elapsed += time.Second
	a.Release(t.Context())
	check(`{"holder":"a","incarnation":0,"renewal":2,"released":true,"quiet_ms":1000}`)
	b.Acquire(t.Context())
	check(`{"holder":"b","incarnation":0,"renewal":1,"wait_ms":2000}`)
}

// A call whose answer was lost can be executed after later calls of the same holder. With a token
// that grew with each renewal, the receiver would see a lower one after a higher one.
func TestConstantTokenSurvivesRenewals(t *testing.T) {
	_, clk, leases := newLeases(false)
	a, b := leases["a"], leases["b"]
	a.cfg.ConstantToken, b.cfg.ConstantToken = true, true
	a.Acquire(t.Context())
	first, _ := a.Holds()
	for range 3 {
		clk.elapsed += 5 * time.Second
		if !a.renew(t.Context(), a.version, 0) {
			t.Fatal("expired lease that nobody took was not renewed")
		}
		if token, held := a.Holds(); !held || token != first {
			t.Fatalf("token %d, held %t after a renewal, want %d", token, held, first)
		}
	}
	last := a.version
	b.Observe(t.Context())
	clk.elapsed += 3400 * time.Millisecond
	b.Acquire(t.Context())
	clk.elapsed += 3 * time.Second
	if a.renew(t.Context(), last, 0) || a.IsHolder() {
		t.Error("the lease was renewed over that of a newer holder")
	}
	b.Acquire(t.Context())
	if token, held := b.Holds(); !held || token <= last {
		t.Errorf("next holder's token %d, held %t, want one above %d", token, held, last)
	}
}

// A holder that lost its place in the chain of its own renewals, or was restarted, calls with a
// higher token than before. Where nobody refuses its earlier calls, it must wait for them.
func TestNewTokenWaitsForOwnEarlierCalls(t *testing.T) {
	for _, restart := range []bool{false, true} {
		_, clk, leases := newLeases(false)
		a := leases["a"]
		a.cfg.ConstantToken = true
		a.Acquire(t.Context())
		old, _ := a.TokenForCall()
		if restart {
			cfg := a.cfg
			cfg.Incarnation++
			a = New(cfg, a.store, nil)
		} else {
			a.Invalidate()
		}
		a.Acquire(t.Context())
		mustHold(t, a, false, "right after the token changed")
		clk.elapsed += 2900 * time.Millisecond
		a.Acquire(t.Context())
		mustHold(t, a, false, "2.9 s after the last call")
		clk.elapsed += 200 * time.Millisecond
		a.Acquire(t.Context())
		if token, held := a.Holds(); !held || token <= old {
			t.Errorf("restart %t: token %d after %d, held %t", restart, token, old, held)
		}
	}
}

// Guards against a lost wait: the write of a takeover takes effect, its answer is lost, and the next
// attempt finds the own write in the store. Calls of the previous holder may still be in flight.
func TestUnconfirmedTakeoverKeepsWait(t *testing.T) {
	store, clk, leases := newLeases(false)
	a, b := leases["a"], leases["b"]
	a.Acquire(t.Context())
	a.TokenForCall()
	a.Release(t.Context())
	limited, cancel := context.WithCancel(t.Context())
	b.store = cancelAfterUpdate{store, cancel}
	if b.Acquire(limited) {
		t.Fatal("the answer was not lost")
	}
	b.store = store
	clk.elapsed += 500 * time.Millisecond
	if !b.Acquire(t.Context()) {
		t.Fatal("the own lease was not found")
	}
	mustHold(t, b, false, "500 ms after the last call of a")
	clk.elapsed += 3 * time.Second
	b.Acquire(t.Context())
	mustHold(t, b, true, "after the wait")
}

// cancelAfterUpdate is a store whose updates take effect and whose answers are lost.
type cancelAfterUpdate struct {
	*memstore.Store
	cancel func()
}

func (s cancelAfterUpdate) Update(ctx context.Context, key string, value []byte, version int64) (objectapi.Object, error) {
	_, err := s.Store.Update(ctx, key, value, version)
	s.cancel()
	if err != nil {
		return objectapi.Object{}, err
	}
	return objectapi.Object{}, fault.New(fault.Ambiguous, "the answer was lost", "")
}

// Guards against a planned stop during a renewal, whose write takes effect although it was canceled: the
// lease stayed unreleased, and the successor had to wait until it expired.
func TestReleaseAfterCanceledRenewal(t *testing.T) {
	store, clk, leases := newLeases(true)
	a, b := leases["a"], leases["b"]
	a.Acquire(t.Context())
	limited, cancel := context.WithCancel(t.Context())
	a.store = cancelAfterUpdate{store, cancel}
	if a.renew(limited, a.version, 0) {
		t.Fatal("the renewal was not canceled")
	}
	a.store = store
	a.Release(t.Context())
	clk.elapsed += 10 * time.Millisecond
	if !b.Acquire(t.Context()) {
		t.Error("the lease was not released")
	}
}

// Guards against a lease that nobody can use any more because its object has absurd times or is no
// lease at all.
func TestOddLeaseObjectIsTakenOver(t *testing.T) {
	for _, value := range []string{
		`{"holder":"x","released":true,"quiet_ms":-9223372036854775808}`, `{"holder":"x","released":true,"quiet_ms":9223372036854775807}`, `{"holder":"x","released":true,"quiet_ms":-86400000}`,
		`{"holder":"d1","incarnation":7,"wait_ms":9223372036854775807}`, `{"holder":"d1","incarnation":7,"wait_ms":86400000}`, `{"holder":7}`, `[]`, ``,
	} {
		store, now := memstore.New(), time.Hour
		if _, err := store.Create(t.Context(), "leases/test", []byte(value)); err != nil {
			t.Fatal(err)
		}
		l := New(Config{Key: "leases/test", Self: "d1", Incarnation: 8, Duration: time.Second, Clock: func() time.Duration { return now }}, store, nil)
		for range 50 {
			l.Acquire(t.Context())
			now += 100 * time.Millisecond
		}
		if _, held := l.Holds(); !held {
			t.Errorf("%s: the lease is not held after 5 s", value)
		}
	}
}
