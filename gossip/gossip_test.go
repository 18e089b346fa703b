package gossip

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"storj.io/drpc"

	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/peer"
)

const (
	testTimeout = 10 * time.Second
	fleetSize   = 60
)

// keySet is a topic whose facts are keys without values.
type keySet struct {
	mu   sync.Mutex
	keys map[string]bool
}

func (s *keySet) Name() string { return "keys" }

func (s *keySet) Facts() []Fact {
	s.mu.Lock()
	defer s.mu.Unlock()
	var facts []Fact
	for key := range s.keys {
		facts = append(facts, Fact{Key: key})
	}
	return facts
}

func (s *keySet) Digest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var texts []string
	for key := range s.keys {
		texts = append(texts, key)
	}
	return Digest(texts)
}

func (s *keySet) Merge(facts []Fact) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := false
	for _, f := range facts {
		changed = changed || !s.keys[f.Key]
		s.keys[f.Key] = true
	}
	return changed
}

func (s *keySet) has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys[key]
}

// partition holds the addresses that are cut off from all others.
type partition struct {
	mu       sync.Mutex
	isolated map[string]bool
}

func (p *partition) set(address string, isolated bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isolated[address] = isolated
}

func (p *partition) separates(from, to string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isolated[from] || p.isolated[to]
}

// partitionedConns refuses connections across the partition.
type partitionedConns struct {
	peer.ConnProvider

	self      string
	partition *partition
}

func (c partitionedConns) Conn(ctx context.Context, address string) (drpc.Conn, error) {
	if c.partition.separates(c.self, address) {
		return nil, fault.New(fault.Unavailable, "cut off", "")
	}
	return c.ConnProvider.Conn(ctx, address)
}

// node is a daemon with nothing but gossip.
type node struct {
	*Manager

	keys    *keySet
	address string
}

func startNode(t *testing.T, peers func(self string) []string, p *partition) *node {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	pool := peer.NewPool(peer.Config{}, nil)
	n := &node{keys: &keySet{keys: map[string]bool{}}, address: listener.Addr().String()}
	n.Manager = NewManager(partitionedConns{pool, n.address, p}, func() []string { return peers(n.address) }, n.keys)
	server := peer.NewServer(nil)
	if err := n.Register(server.Mux()); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = server.Serve(ctx, listener) })
	running.Go(func() { _ = n.Run(ctx) })
	t.Cleanup(func() { cancel(); running.Wait(); pool.Close() })
	return n
}

// fleet is a set of nodes that know each other.
type fleet struct {
	partition

	mu    sync.Mutex
	nodes []*node
}

func newFleet(t *testing.T, size int) *fleet {
	t.Helper()
	f := &fleet{partition: partition{isolated: map[string]bool{}}}
	for range size {
		f.add(t)
	}
	return f
}

func (f *fleet) peersOf(self string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var addresses []string
	for _, n := range f.nodes {
		if n.address != self {
			addresses = append(addresses, n.address)
		}
	}
	return addresses
}

func (f *fleet) add(t *testing.T) *node {
	t.Helper()
	n := startNode(t, f.peersOf, &f.partition)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes = append(f.nodes, n)
	return n
}

// learn adds a fact to a node as if it had observed it.
func (n *node) learn(key string) {
	n.keys.Merge([]Fact{{Key: key}})
	n.Notify()
}

func (f *fleet) waitUntilKnown(t *testing.T, key string, nodes ...*node) time.Duration {
	t.Helper()
	start := time.Now()
	for {
		missing := 0
		for _, n := range nodes {
			if !n.keys.has(key) {
				missing++
			}
		}
		if missing == 0 {
			return time.Since(start)
		}
		if time.Since(start) > testTimeout {
			t.Fatalf("%d of %d nodes do not know %s after %v", missing, len(nodes), key, testTimeout)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func TestFactReachesFleet(t *testing.T) {
	f := newFleet(t, fleetSize)
	for i := range 3 {
		key := fmt.Sprint("fact-", i)
		f.nodes[i].learn(key)
		t.Logf("%s reached %d nodes after %v", key, fleetSize, f.waitUntilKnown(t, key, f.nodes...))
	}
}

func TestNodeThatStartsLearnsEarlierFacts(t *testing.T) {
	f := newFleet(t, 5)
	f.nodes[0].learn("earlier")
	f.waitUntilKnown(t, "earlier", f.nodes...)
	f.waitUntilKnown(t, "earlier", f.add(t))
}

func TestNodeCatchesUpAfterPartition(t *testing.T) {
	f := newFleet(t, 5)
	isolated := f.nodes[4]
	f.partition.set(isolated.address, true)
	f.nodes[0].learn("outside")
	f.waitUntilKnown(t, "outside", f.nodes[:4]...)
	isolated.learn("inside")
	time.Sleep(100 * time.Millisecond) // pushes cross the partition in this time if they can
	if isolated.keys.has("outside") || f.nodes[0].keys.has("inside") {
		t.Fatal("a fact crossed the partition")
	}
	f.partition.set(isolated.address, false)
	f.waitUntilKnown(t, "outside", isolated)
	f.waitUntilKnown(t, "inside", f.nodes...)
}
