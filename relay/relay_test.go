package relay

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
	"github.com/hornbeamtide/hornbeamtide/peer"
	"github.com/hornbeamtide/hornbeamtide/standin/memstore"
)

// faultyStore is one daemon's access to a shared store: the objects are shared, the faults are
// its own.
type faultyStore struct {
	objectapi.ObjectStore

	faults *memstore.Store // injects the faults; its objects are not used
}

func (s faultyStore) Create(ctx context.Context, key string, value []byte) (objectapi.Object, error) {
	if _, err := s.faults.Create(ctx, "probe/"+key+time.Now().String(), nil); err != nil {
		if fault.Is(err, fault.Ambiguous) { // the write took effect, the response was lost
			_, _ = s.ObjectStore.Create(ctx, key, value)
		}
		return objectapi.Object{}, err
	}
	return s.ObjectStore.Create(ctx, key, value)
}

func (s faultyStore) Get(ctx context.Context, key string) (objectapi.Object, error) {
	if _, err := s.faults.Get(ctx, key); err != nil && !fault.Is(err, fault.NotFound) {
		return objectapi.Object{}, err
	}
	return s.ObjectStore.Get(ctx, key)
}

func newDaemon(t *testing.T, shared *memstore.Store, peers func() []string) (*Store, *memstore.Store, string) {
	t.Helper()
	ownFaults := memstore.New()
	pool := peer.NewPool(peer.Config{}, nil)
	s := New(faultyStore{shared, ownFaults}, pool, peers, func() string { return "" }, nil)
	server := peer.NewServer(nil)
	if err := s.Register(server.Mux()); err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { _ = server.Serve(ctx, listener); close(ended) }()
	t.Cleanup(func() { cancel(); pool.Close(); <-ended })
	return s, ownFaults, listener.Addr().String()
}

func TestCallsAreRelayedWhenStoreIsUnreachable(t *testing.T) {
	shared := memstore.New()
	_, otherFaults, other := newDaemon(t, shared, func() []string { return nil })
	s, faults, _ := newDaemon(t, shared, func() []string { return []string{other} })
	table := []struct {
		name        string
		own, others memstore.Faults
		kind        fault.Kind // kind of the error of Create, "" for none
	}{
		{"healthy", memstore.Faults{}, memstore.Faults{}, ""},
		{"store unreachable for one daemon", memstore.Faults{Outage: true}, memstore.Faults{}, ""},
		{"response lost, repeated through a peer", memstore.Faults{LoseResponses: 1}, memstore.Faults{}, fault.Conflict},
		{"store unreachable for all daemons", memstore.Faults{Outage: true}, memstore.Faults{Outage: true}, fault.Unavailable},
	}
	for _, row := range table {
		key := "k/" + row.name
		s.avoidUntil = time.Time{}
		faults.SetFaults(row.own)
		otherFaults.SetFaults(row.others)
		_, err := s.Create(t.Context(), key, []byte("v"))
		if row.kind == "" && err != nil || row.kind != "" && !fault.Is(err, row.kind) {
			t.Errorf("%s: %v, want %q", row.name, err, row.kind)
		}
		faults.SetFaults(memstore.Faults{})
		otherFaults.SetFaults(memstore.Faults{})
		if _, err := shared.Get(t.Context(), key); (err == nil) != (row.kind != fault.Unavailable) {
			t.Errorf("%s: stored: %v", row.name, err)
		}
	}
}

func TestNotFoundIsNotRelayed(t *testing.T) {
	shared := memstore.New()
	s, _, _ := newDaemon(t, shared, func() []string { t.Error("a peer was called"); return nil })
	if _, err := s.Get(t.Context(), "k/none"); !fault.Is(err, fault.NotFound) {
		t.Errorf("error %v", err)
	}
}

// Guards against a peer that is avoided because a caller's deadline passed during its call.
func TestCallerDeadlineDoesNotMarkPeerFailed(t *testing.T) {
	silentListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = silentListener.Close() })
	peerAddress := silentListener.Addr().String()
	s, faults, _ := newDaemon(t, memstore.New(), func() []string { return []string{peerAddress} })
	faults.SetFaults(memstore.Faults{Outage: true})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := s.Create(ctx, "k/short", []byte("v")); err == nil {
		t.Fatal("call succeeded through a peer that never responds")
	}
	if len(s.selector.failedUntil) > 0 {
		t.Error("the peer is avoided after the caller's deadline passed")
	}
	if _, err := s.Create(t.Context(), "k/long", []byte("v")); err == nil || len(s.selector.failedUntil) != 1 {
		t.Errorf("error %v; the unresponsive peer is not avoided after the peer call timeout", err)
	}
}

// Guards against a process that ends because a call, whose time was over before anything was tried,
// returned neither a response nor an error (hunt-5844-39 of vergara-badges, sweep of the large site).
func TestCallWithoutTimeLeftInOutageFails(t *testing.T) {
	s, faults, _ := newDaemon(t, memstore.New(), func() []string { return nil })
	faults.SetFaults(memstore.Faults{Outage: true})
	if _, err := s.Get(t.Context(), "a/b"); !fault.Is(err, fault.Unavailable) {
		t.Fatalf("error %v, want the outage", err)
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	calls := map[string]func() error{
		"get":    func() error { _, err := s.Get(ended, "a/b"); return err },
		"list":   func() error { _, err := s.List(ended, "a/"); return err },
		"create": func() error { _, err := s.Create(ended, "a/b", nil); return err },
		"update": func() error { _, err := s.Update(ended, "a/b", nil, 1); return err },
		"delete": func() error { return s.Delete(ended, "a/b", 1) },
	}
	for name, call := range calls {
		if err := call(); !fault.Is(err, fault.Unavailable) {
			t.Errorf("%s: error %v, want one that says that the call had no effect", name, err)
		}
	}
}
