package claims

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"storj.io/drpc"

	"github.com/hornbeamtide/hornbeamtide/claims/claimspb"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/fleet"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
)

// memoryStore is an object API in memory. beforeCall runs before each call without the
// lock held; it may block the call or fail it. loseResponse decides whether the response
// of a write is lost.
type memoryStore struct {
	objectapi.ObjectStore
	mu           sync.Mutex
	objects      map[string]objectapi.Object
	revision     int64
	beforeCall   func(call, key string) error
	loseResponse func(key string) bool
}

func newMemoryStore() *memoryStore {
	return &memoryStore{objects: map[string]objectapi.Object{}}
}

func (s *memoryStore) callHook(call, key string) error {
	s.mu.Lock()
	before := s.beforeCall
	s.mu.Unlock()
	if before == nil {
		return nil
	}
	return before(call, key)
}

func (s *memoryStore) setBeforeCall(before func(call, key string) error) {
	s.mu.Lock()
	s.beforeCall = before
	s.mu.Unlock()
}

func (s *memoryStore) Get(_ context.Context, key string) (objectapi.Object, error) {
	if err := s.callHook("get", key); err != nil {
		return objectapi.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.objects[key]
	if !ok {
		return object, fault.New(fault.NotFound, key, "")
	}
	return object, nil
}

func (s *memoryStore) List(_ context.Context, prefix string) (objectapi.Snapshot, error) {
	if err := s.callHook("list", prefix); err != nil {
		return objectapi.Snapshot{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot := objectapi.Snapshot{Revision: s.revision}
	for key, object := range s.objects {
		if strings.HasPrefix(key, prefix) {
			snapshot.Objects = append(snapshot.Objects, object)
		}
	}
	slices.SortFunc(snapshot.Objects, func(a, b objectapi.Object) int { return strings.Compare(a.Key, b.Key) })
	return snapshot, nil
}

func (s *memoryStore) Create(_ context.Context, key string, value []byte) (objectapi.Object, error) {
	return s.write("create", key, value, 0)
}

func (s *memoryStore) Update(_ context.Context, key string, value []byte, version int64) (objectapi.Object, error) {
	return s.write("update", key, value, version)
}

func (s *memoryStore) write(call, key string, value []byte, version int64) (objectapi.Object, error) {
	if err := s.callHook(call, key); err != nil {
		return objectapi.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[key].Version != version {
		return objectapi.Object{}, fault.New(fault.Conflict, key, "")
	}
	s.revision++
	object := objectapi.Object{Key: key, Version: s.revision, Value: value}
	s.objects[key] = object
	if s.loseResponse != nil && s.loseResponse(key) {
		return objectapi.Object{}, fault.New(fault.Ambiguous, "response lost", "")
	}
	return object, nil
}

func (s *memoryStore) Delete(_ context.Context, key string, version int64) error {
	if err := s.callHook("delete", key); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[key].Version == version {
		delete(s.objects, key)
	}
	return nil
}

func (s *memoryStore) count(substring string) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.objects {
		if strings.Contains(key, substring) {
			n++
		}
	}
	return n
}

// cluster is a few Managers with one store. Each daemon has its own view of which daemon
// owns the shards.
type cluster struct {
	store     *memoryStore
	managers  map[string]*Manager
	mu        sync.Mutex
	owners    map[string]string                        // owner of all shards in the view of each daemon
	callFault func(to string, response bool) (e error) // returns the fault of a call or response between daemons
}

type daemonView struct {
	fleet.View
	c  *cluster
	id string
}

func (v daemonView) Self() fleet.Member { return fleet.Member{ID: v.id, PeerAddress: v.id} }
func (v daemonView) Owners(string, int) []fleet.Member {
	v.c.mu.Lock()
	defer v.c.mu.Unlock()
	id := v.c.owners[v.id]
	return []fleet.Member{{ID: id, PeerAddress: id}}
}

func newCluster(t *testing.T, ids ...string) *cluster {
	c := &cluster{store: newMemoryStore(), managers: map[string]*Manager{}, owners: map[string]string{}}
	for _, id := range ids {
		config := Config{Shards: 1, BatchInterval: time.Microsecond, Retention: time.Hour}
		c.managers[id] = NewManager(config, daemonView{c: c, id: id}, c.store, c, nil)
		c.managers[id].maxBusyWait = 0
		c.owners[id] = ids[0]
		t.Cleanup(c.managers[id].cancelShards)
	}
	return c
}

func (c *cluster) setOwner(daemon, owner string) {
	c.mu.Lock()
	c.owners[daemon] = owner
	c.mu.Unlock()
}

func (c *cluster) claim(t *testing.T, daemon, key string) error {
	return c.managers[daemon].Claim(t.Context(), Claim{Service: "orders", Key: key, Fingerprint: 1})
}

// Conn implements peer.ConnProvider. The connection calls the other Manager directly.
func (c *cluster) Conn(_ context.Context, address string) (drpc.Conn, error) {
	return directConn{c: c, to: address}, nil
}

type directConn struct {
	drpc.Conn
	c  *cluster
	to string
}

func (d directConn) Invoke(ctx context.Context, _ string, _ drpc.Encoding, in, _ drpc.Message) error {
	if d.c.callFault != nil {
		if err := d.c.callFault(d.to, false); err != nil {
			return err
		}
	}
	_, err := server{d.c.managers[d.to]}.Claim(ctx, in.(*claimspb.ClaimRequest))
	if err == nil && d.c.callFault != nil {
		return d.c.callFault(d.to, true)
	}
	return err
}

// failRandomly makes calls fail at random, before they take effect or by losing the response.
func (s *memoryStore) failRandomly(seed uint64, percent int) {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, seed))
	fails := func() bool { mu.Lock(); defer mu.Unlock(); return random.IntN(100) < percent }
	s.beforeCall = func(call, key string) error {
		if fails() {
			return fault.New(fault.Unavailable, call+" "+key, "")
		}
		return nil
	}
	s.loseResponse = func(string) bool { return fails() }
}

// addressedView is a view whose members have network addresses.
type addressedView struct {
	daemonView
	addresses *sync.Map // by member ID
}

func (v addressedView) Owners(key string, n int) []fleet.Member {
	owners := v.daemonView.Owners(key, n)
	address, _ := v.addresses.Load(owners[0].ID)
	owners[0].PeerAddress = address.(string)
	return owners
}
