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
	testPool    = "draftpool"
	testTimeout = 20 * time.Second // longest wait for a condition
)

// testCluster is a fake platform, fake engines and a few daemons in one process. It
// implements fleet.Documents, objectapi.WeightStore and backend.Dialer.
type testCluster struct {
	t             *testing.T
	platform      *fakeplatform.Server
	store         *platform.Client
	engines       []*fakeEngine
	checksFencing bool // the pool's document states that the engines check fencing tokens

	mu      sync.Mutex
	members []fleet.Member
	latest  int64
}

func newTestCluster(t *testing.T, engines int, checksFencing bool) *testCluster {
	c := &testCluster{t: t, platform: fakeplatform.New(fakeplatform.Config{}), checksFencing: checksFencing}
	server := httptest.NewServer(c.platform.Handler())
	t.Cleanup(server.Close)
	c.store = platform.NewClient(platform.Config{
		Address: strings.TrimPrefix(server.URL, "http://"), CallTimeout: time.Second, WatchWait: time.Second,
	}, nil)
	t.Cleanup(c.store.Close)
	for i := range engines {
		c.engines = append(c.engines, &fakeEngine{id: fmt.Sprintf("e%02d", i), checksFencing: checksFencing, complete: true, version: 1, staged: 1})
	}
	return c
}

// testDaemon is one Manager of a testCluster. It implements fleet.View and ReplicaGate.
type testDaemon struct {
	cluster *testCluster
	member  fleet.Member
	manager *Manager
	stop    func()

	mu        sync.Mutex
	suspended map[string]int64
}

func (c *testCluster) addDaemon(id string) *testDaemon {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	d := &testDaemon{cluster: c, suspended: map[string]int64{}}
	d.member = fleet.Member{ID: id, PeerAddress: listener.Addr().String(), Region: "r"}
	pool := peer.NewPool(peer.Config{}, nil)
	config := Config{PollInterval: 10 * time.Millisecond, LeaseDuration: 400 * time.Millisecond, MaxConcurrentStages: 2}
	d.manager = NewManager(config, Dependencies{View: d, Documents: c, ObjectStore: c.store, WeightStore: c, Backends: c, Gate: d, Conns: pool})
	server := peer.NewServer(nil)
	if err := d.manager.Register(server.Mux()); err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = server.Serve(ctx, listener) })
	d.stop = func() {
		cancel()
		pool.Close()
		wg.Wait()
	}
	c.mu.Lock()
	c.members = append(c.members, d.member)
	c.mu.Unlock()
	c.t.Cleanup(d.stop)
	return d
}

// start starts Manager.Run. Without it the daemon only serves requests of its peers.
func (d *testDaemon) start() {
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
	d.cluster.t.Cleanup(d.stop)
}

func (d *testDaemon) Self() fleet.Member          { return d.member }
func (d *testDaemon) Isolated() (time.Time, bool) { return time.Time{}, false }

func (d *testDaemon) Members() []fleet.Member {
	d.cluster.mu.Lock()
	defer d.cluster.mu.Unlock()
	return append([]fleet.Member(nil), d.cluster.members...)
}

func (d *testDaemon) Owners(_ string, n int) []fleet.Member {
	members := d.Members()
	sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
	return members[:min(n, len(members))]
}

func (d *testDaemon) Replicas(string) []fleet.Replica {
	var replicas []fleet.Replica
	for _, e := range d.cluster.engines {
		replicas = append(replicas, fleet.Replica{ID: e.id, Pool: testPool, Address: e.id})
	}
	return replicas
}

func (d *testDaemon) Subset(pool string) []fleet.Replica { return d.Replicas(pool) }

func (d *testDaemon) Suspend(replica string, minVersion int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.suspended[replica] = minVersion
}

func (d *testDaemon) suspendedBelow(replica string) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.suspended[replica]
}

func (c *testCluster) Changed() <-chan struct{} { return nil }

func (c *testCluster) All() []document.VersionedDocument {
	return []document.VersionedDocument{{Document: &document.Document{
		Service: "drafts", Region: "r", Kind: document.KindModel, Pool: testPool, Servers: document.Servers{ChecksFencing: c.checksFencing},
	}}}
}

func (c *testCluster) Document(string) (document.VersionedDocument, bool) { return c.All()[0], true }

func (c *testCluster) publish(version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.latest = version
}

// Latest implements objectapi.WeightStore.
func (c *testCluster) Latest(context.Context, string) (objectapi.WeightVersion, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.latest == 0 {
		return objectapi.WeightVersion{}, fault.New(fault.NotFound, "no version", "")
	}
	return objectapi.WeightVersion{Pool: testPool, Version: c.latest}, nil
}

func (c *testCluster) Plain(string) backend.PlainService { return nil }

// Engine implements backend.Dialer.
func (c *testCluster) Engine(address string) backend.Engine {
	for _, e := range c.engines {
		if e.id == address {
			return e
		}
	}
	return nil
}

func (c *testCluster) allActive(version int64) bool {
	for _, e := range c.engines {
		if s, _ := e.Status(context.Background()); s.Version != version || !s.Complete {
			return false
		}
	}
	return true
}

func waitFor(t *testing.T, description string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for: %s", description)
		}
		time.Sleep(time.Millisecond)
	}
}

// fakeEngine executes orders and records what they did.
type fakeEngine struct {
	id            string
	checksFencing bool

	mu                    sync.Mutex
	version, staged       int64
	fencingToken          int64
	complete              bool
	failActivations       int         // activations that fail partway
	beforeStage           func()      // called by Stage before the order takes effect
	beforeActivate        func(int64) // called by Activate before the order takes effect
	accepted              int         // orders with a valid fencing token
	refused               int         // orders with an older fencing token
	inFlight, maxInFlight int         // concurrent stage orders
}

func (e *fakeEngine) Generate(context.Context, backend.GenerateRequest) (backend.Stream, error) {
	return nil, fault.New(fault.Unavailable, "no completions here", "")
}

func (e *fakeEngine) Status(context.Context) (backend.EngineStatus, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return backend.EngineStatus{Version: e.version, StagedVersion: e.staged, Complete: e.complete, HighestFencingToken: e.fencingToken}, nil
}

// acceptOrder checks the fencing token. The caller holds mu.
func (e *fakeEngine) acceptOrder(o backend.Order) error {
	if e.checksFencing && o.FencingToken < e.fencingToken {
		e.refused++
		return fault.New(fault.Fenced, "older fencing token", "", fault.WithOutcome(fault.Failed))
	}
	e.fencingToken = o.FencingToken
	e.accepted++
	return nil
}

func (e *fakeEngine) Stage(_ context.Context, o backend.Order) error {
	e.mu.Lock()
	e.inFlight++
	e.maxInFlight = max(e.maxInFlight, e.inFlight)
	beforeStage := e.beforeStage
	e.mu.Unlock()
	if beforeStage != nil {
		beforeStage()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight--
	if err := e.acceptOrder(o); err != nil {
		return err
	}
	e.staged = o.Version
	return nil
}

func (e *fakeEngine) Activate(_ context.Context, o backend.Order) error {
	if e.beforeActivate != nil {
		e.beforeActivate(o.Version)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.acceptOrder(o); err != nil {
		return err
	}
	if e.failActivations > 0 {
		e.failActivations--
		e.complete = false
		return fault.New(fault.Internal, "swap failed partway", "", fault.WithOutcome(fault.Failed))
	}
	e.version, e.complete = o.Version, true
	return nil
}

func (e *fakeEngine) update(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
}

// readLocked calls read while it holds the engine's lock.
func readLocked[T any](e *fakeEngine, read func() T) T {
	e.mu.Lock()
	defer e.mu.Unlock()
	return read()
}

// replicas returns the replicas, which are the same for every daemon.
func (c *testCluster) replicas() []fleet.Replica { return (&testDaemon{cluster: c}).Replicas(testPool) }
