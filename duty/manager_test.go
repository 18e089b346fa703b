package duty

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/peer"
	"github.com/hornbeamtide/hornbeamtide/standin/memstore"
)

// countingClient accepts all reports.
type countingClient struct{ reports []UsageReport }

func (c *countingClient) ReportUsage(_ context.Context, report UsageReport) (Reply, error) {
	c.reports = append(c.reports, report)
	return Accepted, nil
}

// The instance of a holder is suspended right before a call: only the boot-time clock shows it. Where
// the receiver checks no tokens nothing may be sent; elsewhere it refuses an old token itself.
func TestSuspendedHolderSendsNothingWithoutTokenChecks(t *testing.T) {
	for _, fence := range []bool{false, true} {
		client, bootTime := &countingClient{}, time.Hour
		m := newManager(Config{Self: "a", LeaseDuration: testLease, RequireFence: fence, Window: testWindow, Due: testDue},
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
	m := newManager(Config{Self: "a", LeaseDuration: testLease, RequireFence: true, Window: testWindow, Due: testDue}, Dependencies{
		Store: store, Client: client, Now: func() time.Time { return now },
		Total: func(context.Context, int64) (map[string]int64, error) { return nil, nil },
	}, func() time.Duration { return time.Hour })
	m.startedAt = now
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
		m := newManager(Config{Window: testWindow}, Dependencies{}, func() time.Duration { return 0 })
		m.startedAt, m.table.reports = at, row.stored
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
