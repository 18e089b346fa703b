package fleet

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"testing"
	"time"

	"storj.io/drpc"

	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
	"github.com/hornbeamtide/hornbeamtide/peer"
	"github.com/hornbeamtide/hornbeamtide/platform"
	"github.com/hornbeamtide/hornbeamtide/standin/fakeplatform"
)

// Short intervals for the daemons in tests.
const (
	testInterval       = 50 * time.Millisecond
	testDirectInterval = 400 * time.Millisecond
	testMemberTimeout  = 600 * time.Millisecond
	testIsolationLimit = 1500 * time.Millisecond
)

// cluster runs daemons' Managers against one fake platform.
type cluster struct {
	t       *testing.T
	fake    *fakeplatform.Server
	address string
	region  string // region of the daemons added next

	mu          sync.Mutex
	regions     map[string]string // region by peer address
	partitioned bool              // calls between regions fail
}

// regionConns refuses connections to other regions while the regions are partitioned.
type regionConns struct {
	peer.ConnProvider
	cluster *cluster
	region  string
}

// Conn implements peer.ConnProvider.
func (r regionConns) Conn(ctx context.Context, address string) (drpc.Conn, error) {
	r.cluster.mu.Lock()
	refused := r.cluster.partitioned && r.cluster.regions[address] != r.region
	r.cluster.mu.Unlock()
	if refused {
		return nil, fault.New(fault.Unavailable, "regions are partitioned", "")
	}
	return r.ConnProvider.Conn(ctx, address)
}

func (c *cluster) setPartitioned(partitioned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitioned = partitioned
}

func newCluster(t *testing.T) *cluster {
	fake := fakeplatform.New(fakeplatform.Config{})
	return &cluster{t: t, fake: fake, address: servePlatform(t, fake), region: "r", regions: map[string]string{}}
}

// node is one daemon. It can be stopped and restarted on the same address.
type node struct {
	*Manager
	cluster *cluster
	self    Member
	client  *platform.Client
	pool    *peer.Pool
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

// add starts a daemon in a failure domain and adds it to the instance list.
func (c *cluster) add(id, domain string) *node {
	c.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	n := &node{cluster: c, self: Member{ID: id, Address: id, PeerAddress: listener.Addr().String(), Region: c.region, FailureDomain: domain}}
	c.mu.Lock()
	c.regions[n.self.PeerAddress] = n.self.Region
	c.mu.Unlock()
	n.setListed(objectapi.Live)
	n.serve(listener)
	c.t.Cleanup(n.stop)
	c.t.Cleanup(n.logStateIfFailed)
	return n
}

// logStateIfFailed logs the daemon's state if the test failed.
func (n *node) logStateIfFailed() {
	if !n.cluster.t.Failed() {
		return
	}
	dump, err := json.Marshal(n.Dump())
	n.cluster.t.Logf("%s: ready %v, first read done %v, list received %v, documents %v, %s %v",
		n.self.ID, n.Ready(), n.firstReadDone.Load(), n.listReceived(), n.documents.ready(), dump, err)
}

func (n *node) setListed(state objectapi.InstanceState) {
	n.cluster.fake.SetInstance(objectapi.Instance{
		ID: n.self.ID, Pool: objectapi.DaemonPool, Address: n.self.Address, PeerAddress: n.self.PeerAddress,
		Region: n.self.Region, FailureDomain: n.self.FailureDomain, State: state,
	})
}

// start restarts a stopped daemon on its address with empty state.
func (n *node) start() {
	n.cluster.t.Helper()
	listener, err := net.Listen("tcp", n.self.PeerAddress)
	if err != nil {
		n.cluster.t.Fatal(err)
	}
	n.serve(listener)
}

func (n *node) serve(listener net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.client = platform.NewClient(platform.Config{
		Address: n.cluster.address, CallTimeout: testMemberTimeout, WatchWait: testMemberTimeout,
	}, nil)
	n.pool = peer.NewPool(peer.Config{ConnectTimeout: testMemberTimeout, ProgressTimeout: testMemberTimeout}, nil)
	n.Manager = NewManager(Config{
		Self: n.self, ReportInterval: testInterval, ListInterval: testInterval, DirectReadInterval: testDirectInterval,
		MemberTimeout: testMemberTimeout, IsolationLimit: testIsolationLimit, Parse: testParse,
	}, n.client, n.client, regionConns{ConnProvider: n.pool, cluster: n.cluster, region: n.self.Region}, nil)
	server := peer.NewServer(nil)
	if err := n.Register(server.Mux()); err != nil {
		n.cluster.t.Error(err)
	}
	n.wg.Go(func() { _ = server.Serve(ctx, listener) })
	manager := n.Manager
	n.wg.Go(func() { _ = manager.Run(ctx) })
}

// stop ends the daemon immediately, like a crash.
func (n *node) stop() {
	n.cancel()
	n.pool.Close()
	n.wg.Wait()
	n.client.Close()
}

// inForce returns the version of a service's document in force on the daemon.
func (n *node) inForce(service string) int64 {
	held, _ := n.Document(service)
	return held.Version
}

// collectors returns the daemons that currently act as collectors.
func collectors(nodes []*node) []*node {
	var found []*node
	for _, n := range nodes {
		if n.collector.running() {
			found = append(found, n)
		}
	}
	return found
}

// inForceOnAll reports whether a version is in force on all daemons.
func inForceOnAll(nodes []*node, service string, version int64) bool {
	for _, n := range nodes {
		if n.inForce(service) != version {
			return false
		}
	}
	return true
}

func allReady(nodes []*node) bool {
	for _, n := range nodes {
		if !n.Ready() || len(n.Members()) != len(nodes) {
			return false
		}
	}
	return true
}

// apply writes a document through a daemon and returns its version.
func apply(t *testing.T, n *node, text string, version int64) int64 {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	applied, err := n.Apply(ctx, []byte(text), version)
	if err != nil {
		t.Fatal(err)
	}
	return applied.Version
}

func TestDocumentsReachMembersThroughCollectorsOnly(t *testing.T) {
	c := newCluster(t)
	nodes := []*node{c.add("d1", "x"), c.add("d2", "x"), c.add("d3", "x"), c.add("d4", "x"), c.add("d5", "y"), c.add("d6", "y")}
	eventually(t, "all ready", func() bool { return allReady(nodes) })
	eventually(t, "two collectors per domain", func() bool { return len(collectors(nodes)) == 4 && c.fake.Calls().OpenWatches == 4 })

	version := apply(t, nodes[0], "svc one", 0)
	version = apply(t, nodes[5], "svc two", version)
	eventually(t, "in force everywhere", func() bool { return inForceOnAll(nodes, "svc", version) })
	for _, n := range nodes {
		eventually(t, "status of "+n.self.ID+" shows all six", func() bool {
			status, err := n.Status(context.Background())
			return err == nil && len(status) == 1 && status[0].Version == version && len(status[0].InForce) == 6
		})
		if !n.collector.running() && !n.collectorClient.connected() {
			t.Errorf("%s is neither a collector nor connected to one", n.self.ID)
		}
	}
}

// restart stops the daemon and starts it again.
func (n *node) restart() {
	n.stop()
	n.start()
}
