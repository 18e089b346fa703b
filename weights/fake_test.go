package weights

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/backend"
	"github.com/hornbeamtide/hornbeamtide/document"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/fleet"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
	"github.com/hornbeamtide/hornbeamtide/peer"
	"github.com/hornbeamtide/hornbeamtide/platform"
	"github.com/hornbeamtide/hornbeamtide/standin/fakeplatform"
)

const (
	testPool  = "draftpool"
	testLimit = 20 * time.Second // longest wait for a condition
)

// world is a platform, engines and some daemons in one process.
type world struct {
	t        *testing.T
	platform *fakeplatform.Server
	store    *platform.Client
	engines  []*fakeEngine
	checks   bool // the document says that the engines check fencing numbers

	mu      sync.Mutex
	members []fleet.Member
	latest  int64
}

func newWorld(t *testing.T, engines int, checks bool) *world {
	w := &world{t: t, platform: fakeplatform.New(fakeplatform.Config{}), checks: checks}
	server := httptest.NewServer(w.platform.Handler())
	t.Cleanup(server.Close)
	w.store = platform.NewClient(platform.Config{
		Address: strings.TrimPrefix(server.URL, "http://"), CallTimeout: time.Second, Progress: time.Second,
	}, nil)
	t.Cleanup(w.store.Close)
	for i := range engines {
		w.engines = append(w.engines, &fakeEngine{id: fmt.Sprintf("e%02d", i), checks: checks, whole: true, version: 1, staged: 1})
	}
	return w
}

// daemon is one Manager of the world. It implements fleet.View and the gate.
type daemon struct {
	w       *world
	member  fleet.Member
	manager *Manager
	stop    func()

	mu        sync.Mutex
	suspended map[string]int64
}

func (w *world) add(id string) *daemon {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.t.Fatal(err)
	}
	d := &daemon{w: w, suspended: map[string]int64{}}
	d.member = fleet.Member{ID: id, PeerAddress: listener.Addr().String(), Region: "r"}
	pool := peer.NewPool(peer.Config{}, nil)
	config := Config{PollInterval: 10 * time.Millisecond, Lease: 400 * time.Millisecond, StageAtOnce: 2}
	d.manager = NewManager(config, Parts{View: d, Docs: w, Store: w.store, Weights: w, Backends: w, Gate: d, Conns: pool})
	server := peer.NewServer(nil)
	if err := d.manager.Register(server.Mux()); err != nil {
		w.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var served sync.WaitGroup
	served.Go(func() { _ = server.Serve(ctx, listener) })
	d.stop = func() {
		cancel()
		pool.Close()
		served.Wait()
	}
	w.mu.Lock()
	w.members = append(w.members, d.member)
	w.mu.Unlock()
	w.t.Cleanup(d.stop)
	return d
}

// run starts the manager's own work.
func (d *daemon) run() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = d.manager.Run(ctx)
	}()
	stop := d.stop
	d.stop = sync.OnceFunc(func() {
		cancel()
		<-done
		stop()
	})
	d.w.t.Cleanup(d.stop)
}

func (d *daemon) Self() fleet.Member          { return d.member }
func (d *daemon) Isolated() (time.Time, bool) { return time.Time{}, false }

func (d *daemon) Members() []fleet.Member {
	d.w.mu.Lock()
	defer d.w.mu.Unlock()
	return append([]fleet.Member(nil), d.w.members...)
}

func (d *daemon) Owners(_ string, n int) []fleet.Member {
	members := d.Members()
	sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
	return members[:min(n, len(members))]
}

func (d *daemon) Replicas(string) []fleet.Replica {
	var replicas []fleet.Replica
	for _, e := range d.w.engines {
		replicas = append(replicas, fleet.Replica{ID: e.id, Pool: testPool, Address: e.id})
	}
	return replicas
}

func (d *daemon) Subset(pool string) []fleet.Replica { return d.Replicas(pool) }

func (d *daemon) Suspend(replica string, least int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.suspended[replica] = least
}

func (d *daemon) suspendedUntil(replica string) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.suspended[replica]
}

func (w *world) Changed() <-chan struct{} { return nil }

func (w *world) All() []document.Versioned {
	return []document.Versioned{{Document: &document.Document{
		Service: "drafts", Region: "r", Kind: document.Model, Pool: testPool, Servers: document.Servers{ChecksFencing: w.checks},
	}}}
}

func (w *world) Document(string) (document.Versioned, bool) { return w.All()[0], true }

func (w *world) publish(version int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.latest = version
}

// Latest implements objectapi.WeightStore.
func (w *world) Latest(context.Context, string) (objectapi.WeightVersion, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.latest == 0 {
		return objectapi.WeightVersion{}, fault.New(fault.NotFound, "no version", "")
	}
	return objectapi.WeightVersion{Pool: testPool, Version: w.latest}, nil
}

func (w *world) Plain(string) backend.Plain { return nil }

// Engine implements backend.Dialer.
func (w *world) Engine(address string) backend.Engine {
	for _, e := range w.engines {
		if e.id == address {
			return e
		}
	}
	return nil
}

func (w *world) allActive(version int64) bool {
	for _, e := range w.engines {
		if s, _ := e.Status(context.Background()); s.Version != version || !s.Whole {
			return false
		}
	}
	return true
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(testLimit)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("not in time: %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

// fakeEngine takes orders and keeps what it was ordered.
type fakeEngine struct {
	id     string
	checks bool

	mu              sync.Mutex
	version, staged int64
	fence           int64
	whole           bool
	failSwaps       int         // activations that fail partway
	hold            func()      // called in Stage before it takes effect
	onActivate      func(int64) // called with each version that is activated
	orders          int         // that took effect
	refused         int         // by fencing number
	inFlight, most  int         // orders at a time
}

func (e *fakeEngine) Generate(context.Context, backend.GenerateRequest) (backend.Stream, error) {
	return nil, fault.New(fault.Unavailable, "no completions here", "")
}

func (e *fakeEngine) Status(context.Context) (backend.EngineStatus, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return backend.EngineStatus{Version: e.version, Staged: e.staged, Whole: e.whole, Fence: e.fence}, nil
}

// accept checks the fencing number. The caller holds mu.
func (e *fakeEngine) accept(o backend.Order) error {
	if e.checks && o.Fence < e.fence {
		e.refused++
		return fault.New(fault.Fenced, "old fencing number", "", fault.WithOutcome(fault.Failed))
	}
	e.fence = o.Fence
	e.orders++
	return nil
}

func (e *fakeEngine) Stage(_ context.Context, o backend.Order) error {
	e.mu.Lock()
	e.inFlight++
	e.most = max(e.most, e.inFlight)
	hold := e.hold
	e.mu.Unlock()
	if hold != nil {
		hold()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight--
	if err := e.accept(o); err != nil {
		return err
	}
	e.staged = o.Version
	return nil
}

func (e *fakeEngine) Activate(_ context.Context, o backend.Order) error {
	if e.onActivate != nil {
		e.onActivate(o.Version)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.accept(o); err != nil {
		return err
	}
	if e.failSwaps > 0 {
		e.failSwaps--
		e.whole = false
		return fault.New(fault.Internal, "swap failed partway", "", fault.WithOutcome(fault.Failed))
	}
	e.version, e.whole = o.Version, true
	return nil
}

func (e *fakeEngine) set(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
}

// get returns a value of the engine read under its lock.
func get[T any](e *fakeEngine, read func() T) T {
	e.mu.Lock()
	defer e.mu.Unlock()
	return read()
}

// daemonReplicas returns the replicas as every daemon sees them.
func (w *world) daemonReplicas() []fleet.Replica { return (&daemon{w: w}).Replicas(testPool) }
