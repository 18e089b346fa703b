package duty

import (
	"context"
	"encoding/json"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/peer"
	"github.com/hornbeamtide/hornbeamtide/standin/memstore"
)

// countingClient accepts all reports.
type countingClient struct{ reports []UsageReport }

// testBody is the body of a report in tests.
type testBody struct {
	Window int64
	Counts map[string]int64
}

// EncodeUsage implements Client. The real encoding is that of the platform's adapter.
func (*countingClient) EncodeUsage(window int64, counts map[string]int64) ([]byte, error) {
	return json.Marshal(testBody{Window: window, Counts: counts})
}

func (c *countingClient) ReportUsage(_ context.Context, report UsageReport) (Reply, error) {
	c.reports = append(c.reports, report)
	return Accepted, nil
}

// The instance of a holder is suspended right before a call: only the boot-time clock shows it. Where
// the receiver checks no tokens nothing may be sent; elsewhere it refuses an old token itself.
func TestSuspendedHolderSendsNothingWithoutTokenChecks(t *testing.T) {
	for _, fence := range []bool{false, true} {
		client, bootTime := &countingClient{}, time.Hour
		m := newManager(Config{Self: "a", LeaseDuration: testLease, Fenced: fence, Window: testWindow, Due: testDue},
			Dependencies{Store: memstore.New(), Client: client, Now: time.Now}, func() time.Duration { return bootTime })
		if !m.lease.Acquire(t.Context()) {
			t.Fatal("the free lease was not acquired")
		}
		report := storedReport{Window: windowAt(time.Now(), testWindow) - 1, Body: "{}"}
		m.send(t.Context(), report)
		bootTime += 2600 * time.Millisecond
		m.send(t.Context(), report)
		want := 1
		if fence {
			want = 2
		}
		if len(client.reports) != want {
			t.Errorf("fence %t: %d reports sent, want %d", fence, len(client.reports), want)
		}
	}
}

// A report whose write got no answer must not be sent before it is known to be stored.
func TestUnconfirmedReportIsNotSent(t *testing.T) {
	store, client, now := memstore.New(), &countingClient{}, time.Unix(1767225600, 0)
	start := now
	m := newManager(Config{Self: "a", LeaseDuration: testLease, Fenced: true, Window: testWindow, Due: testDue}, Dependencies{
		Store: store, Client: client, Now: func() time.Time { return now },
		Total: func(context.Context, int64) (map[string]int64, error) { return nil, nil },
	}, func() time.Duration { return time.Hour + now.Sub(start) })
	m.startedAt = time.Hour
	m.lease.Acquire(t.Context())
	now = now.Add(8 * time.Second)
	store.SetFaults(memstore.Faults{Hang: true})
	limited, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	m.table.fresh = true
	m.report(limited)
	if len(client.reports) != 0 {
		t.Errorf("%d reports sent that are not stored", len(client.reports))
	}
	store.SetFaults(memstore.Faults{})
	m.storing = attempts{}
	m.report(t.Context())
	if len(client.reports) != 1 {
		t.Errorf("%d reports sent after the store responded, want 1", len(client.reports))
	}
}

// Guards against reports of windows that ended before the fleet started, after a restart of the whole
// fleet too, and against windows whose stored report was removed being composed again.
func TestFirstWindow(t *testing.T) {
	at := time.Unix(1767225600, 0)
	window := windowAt(at, testWindow)
	for _, row := range []struct {
		name       string
		fleetStart time.Time
		stored     []storedReport
		want       int64
	}{
		{"nothing stored, start of the fleet unknown", time.Time{}, nil, window},
		{"nothing stored", at.Add(-20 * time.Second), nil, window - 4},
		{"start of the fleet unknown", time.Time{}, []storedReport{{Window: window - 3}, {Window: window - 2}}, window - 3},
		{"fleet restarted", at, []storedReport{{Window: window - 9}, {Window: window - 8}}, window},
		{"fleet older than what is kept", at.Add(-time.Hour), []storedReport{{Window: window - 12}}, window - 12},
	} {
		m := newManager(Config{Window: testWindow}, Dependencies{Now: func() time.Time { return at }}, func() time.Duration { return 0 })
		m.table.reports = row.stored
		if !row.fleetStart.IsZero() {
			m.FleetStart = func() time.Time { return row.fleetStart }
		}
		if got := m.firstWindow(); got != row.want {
			t.Errorf("%s: %d, want %d", row.name, got, row.want)
		}
	}
}

// Guards against a status that other daemons can't query.
func TestStatusOverDRPC(t *testing.T) {
	m := newManager(Config{Self: "a", LeaseDuration: testLease}, Dependencies{Store: memstore.New()}, func() time.Duration { return time.Hour })
	server := peer.NewServer(nil)
	if err := m.Register(server.Mux()); err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = server.Serve(ctx, listener)
	}()
	defer func() {
		cancel()
		<-stopped
	}()
	pool := peer.NewPool(peer.Config{}, nil)
	caller := newManager(Config{Self: "b"}, Dependencies{Conns: pool}, func() time.Duration { return time.Hour })
	for _, want := range []bool{false, true} {
		holds, err := caller.query(t.Context(), listener.Addr().String())
		if err != nil || holds != want {
			t.Errorf("holds %t, %v, want %t", holds, err, want)
		}
		m.lease.Acquire(t.Context())
	}
}

// Guards against a first window that depends on the wall clock of a daemon that started with a wrong one:
// true time is known only a moment after the start.
func TestFirstWindowAfterStartWithWrongClock(t *testing.T) {
	at, bootTime := time.Unix(1767225600, 0), time.Hour
	wrong := 30 * time.Second
	m := newManager(Config{Self: "a", Window: testWindow, LeaseDuration: testLease},
		Dependencies{Store: memstore.New(), Now: func() time.Time { return at.Add(wrong) }, Order: func() []string { return nil }}, func() time.Duration { return bootTime })
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	_ = m.Run(ended)
	wrong, bootTime, at = 0, bootTime+10*time.Second, at.Add(10*time.Second)
	if got, want := m.firstWindow(), windowAt(at.Add(-10*time.Second), testWindow); got != want {
		t.Errorf("first window %d, want %d", got, want)
	}
}

// Guards against orders for replicas above the rate of calls that the platform accepts: the usage reports
// share it.
func TestOrdersKeepToTheRateOfCalls(t *testing.T) {
	items := 432
	var bootTime atomic.Int64 // also read by renewals in the background
	bootTime.Store(int64(time.Hour))
	client := &fakeScaleClient{reply: Accepted, counts: map[string]int{}}
	deps := testScaler(client, &items).Scaling
	m := newManager(Config{Self: "a", LeaseDuration: testLease, Fenced: true, Window: testWindow, Due: testDue, CallsPerSecond: 2},
		Dependencies{Store: memstore.New(), Client: &countingClient{}, Now: time.Now, Scaling: &deps}, func() time.Duration { return time.Duration(bootTime.Load()) })
	m.lease.Acquire(t.Context())
	for range 30 {
		before := len(client.orders)
		m.scale(t.Context())
		if n := len(client.orders) - before; n > 1 {
			t.Fatalf("%d orders at once, want 500 ms between two calls", n)
		}
		bootTime.Add(int64(100 * time.Millisecond))
	}
	if len(client.orders) != 3 {
		t.Errorf("%d orders, want one for each domain", len(client.orders))
	}
}

// Guards against a fleet of two daemons, one of which is down, that never reports: the roster removes no
// daemon from so small a fleet, so that no other daemon responds with its counts.
func TestReportIsComposedWithoutOtherDaemonsBeforeItIsDue(t *testing.T) {
	start := time.Unix(1767225600, 0)
	client, now := &countingClient{}, start
	m := newManager(Config{Self: "a", LeaseDuration: testLease, Fenced: true, Window: testWindow, Due: testDue}, Dependencies{
		Store: memstore.New(), Client: client, Now: func() time.Time { return now }, FleetStart: func() time.Time { return start },
		Total: func(context.Context, int64) (map[string]int64, error) {
			return map[string]int64{"hule930": 7}, fault.New(fault.Unavailable, "no other daemon responded", "ask again later")
		},
	}, func() time.Duration { return time.Hour })
	m.lease.Acquire(t.Context())
	now = start.Add(testWindow + 5*time.Second)
	m.report(t.Context())
	if len(client.reports) != 0 {
		t.Error("a report was composed although another daemon may still respond in time")
	}
	m.storing = attempts{}
	now = start.Add(testWindow + testDue - 2*time.Second)
	m.report(t.Context())
	if want := `{"Window":353445120,"Counts":{"hule930":7}}`; len(client.reports) != 1 || string(client.reports[0].Body) != want {
		t.Errorf("reports %+v, want one with the body %s", client.reports, want)
	}
}
