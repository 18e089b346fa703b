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

// cutStore is one daemon's view of a shared store: its own faults, the same objects.
type cutStore struct {
	objectapi.ObjectStore

	faults *memstore.Store // only its faults count
}

func (c cutStore) Create(ctx context.Context, key string, value []byte) (objectapi.Object, error) {
	if _, err := c.faults.Create(ctx, "probe/"+key+time.Now().String(), nil); err != nil {
		if fault.Is(err, fault.Ambiguous) { // the write took effect, the answer was lost
			_, _ = c.ObjectStore.Create(ctx, key, value)
		}
		return objectapi.Object{}, err
	}
	return c.ObjectStore.Create(ctx, key, value)
}

func (c cutStore) Get(ctx context.Context, key string) (objectapi.Object, error) {
	if _, err := c.faults.Get(ctx, key); err != nil && !fault.Is(err, fault.NotFound) {
		return objectapi.Object{}, err
	}
	return c.ObjectStore.Get(ctx, key)
}

func newDaemon(t *testing.T, shared *memstore.Store, peers func() []string) (*Store, *memstore.Store, string) {
	t.Helper()
	own := memstore.New()
	pool := peer.NewPool(peer.Config{}, nil)
	s := New(cutStore{shared, own}, pool, peers, func() string { return "" }, nil)
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
	return s, own, listener.Addr().String()
}

func TestDaemonThatIsTurnedAwayCallsOverAnother(t *testing.T) {
	shared := memstore.New()
	_, otherFaults, other := newDaemon(t, shared, func() []string { return nil })
	s, faults, _ := newDaemon(t, shared, func() []string { return []string{other} })
	table := []struct {
		name        string
		own, others memstore.Faults
		kind        fault.Kind // of the create's error, "" for none
	}{
		{"healthy", memstore.Faults{}, memstore.Faults{}, ""},
		{"turned away alone", memstore.Faults{Outage: true}, memstore.Faults{}, ""},
		{"answer lost, repeated over the other", memstore.Faults{LoseAnswers: 1}, memstore.Faults{}, fault.Conflict},
		{"the store is away for all", memstore.Faults{Outage: true}, memstore.Faults{Outage: true}, fault.Unavailable},
	}
	for _, row := range table {
		key := "k/" + row.name
		s.avoid = time.Time{}
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

func TestMissingObjectIsNoReasonToAskOthers(t *testing.T) {
	shared := memstore.New()
	s, _, _ := newDaemon(t, shared, func() []string { t.Error("a peer is asked"); return nil })
	if _, err := s.Get(t.Context(), "k/none"); !fault.Is(err, fault.NotFound) {
		t.Errorf("error %v", err)
	}
}

// A caller whose own time is over says nothing of the peer that was asked for it.
func TestCallersLimitIsNoFaultOfThePeer(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = silent.Close() })
	peer := silent.Addr().String()
	s, faults, _ := newDaemon(t, memstore.New(), func() []string { return []string{peer} })
	faults.SetFaults(memstore.Faults{Outage: true})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := s.Create(ctx, "k/short", []byte("v")); err == nil {
		t.Fatal("a peer that never answers made the call")
	}
	if len(s.choice.bad) > 0 {
		t.Error("the peer is passed over after a caller's own limit")
	}
	if _, err := s.Create(t.Context(), "k/long", []byte("v")); err == nil || len(s.choice.bad) != 1 {
		t.Errorf("error %v; the silent peer is not passed over after the call's limit", err)
	}
}
