package weights

import (
	"context"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc"

	"github.com/hornbeamtide/hornbeamtide/backend"
	"github.com/hornbeamtide/hornbeamtide/document"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fleet"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
	"github.com/hornbeamtide/hornbeamtide/peer"
	"github.com/hornbeamtide/hornbeamtide/weights/weightspb"
)

// Config configures a Manager.
type Config struct {
	PollInterval       time.Duration // between two reads of the weight store by a keeper
	Lease              time.Duration // validity of a keeper's lease
	StageAtOnce        int           // replicas that load from the weight store at a time
	DisableEarlyStage  bool          // activate each replica once it staged, not all in one wave
	DisableSuspensions bool          // leave replicas with an incomplete swap in sample work
}

// ReplicaGate takes replicas out of sample work and back. routing.Store implements it.
type ReplicaGate interface {
	// Suspend stops sample work on the replica until it reports one whole version,
	// which is at least min.
	Suspend(replicaID string, min int64)
}

// Parts are what a Manager works with.
type Parts struct {
	View     fleet.View
	Docs     fleet.Documents
	Store    objectapi.ObjectStore
	Weights  objectapi.WeightStore
	Backends backend.Dialer
	Gate     ReplicaGate
	Conns    peer.Conns
	Log      *event.Logger
}

// Manager keeps the pools whose lease this daemon holds and implements Versions.
type Manager struct {
	config   Config
	parts    Parts
	now      func() time.Time
	counters counters
	orders   orderLocks
	tickets  tickets
	hints    hints

	mu     sync.Mutex
	newest map[string]news    // by pool
	pools  map[string]*keeper // by pool
}

// news is what a daemon knows of a pool's newest version.
type news struct {
	version int64
	heard   time.Time // when it was last confirmed
}

type counters struct {
	staged, activated, partial, fenced, refused, announced atomic.Int64
}

// NewManager returns a Manager. Register and Run start it.
func NewManager(config Config, parts Parts) *Manager {
	return &Manager{
		config: config,
		parts:  parts,
		now:    time.Now,
		newest: map[string]news{},
		pools:  map[string]*keeper{},
	}
}

// Register adds the package's drpc service to mux.
func (m *Manager) Register(mux drpc.Mux) error {
	return weightspb.DRPCRegisterWeights(mux, &service{m: m})
}

// Newest implements Versions.
func (m *Manager) Newest(pool string) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.newest[pool].version
}

// setNewest records a version of pool and reports whether it is newer than the known one.
func (m *Manager) setNewest(pool string, version int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.newest[pool]
	newer := version > known.version
	if newer {
		known.version = version
	}
	known.heard = m.now()
	m.newest[pool] = known
	return newer
}

func (m *Manager) heardAt(pool string) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.newest[pool].heard
}

// Run follows the documents and keeps the pools until ctx ends, then gives up the leases.
func (m *Manager) Run(ctx context.Context) error {
	var running sync.WaitGroup
	defer running.Wait()
	for {
		changed := m.parts.Docs.Changed()
		m.applyPools(ctx, &running)
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// applyPools starts keepers of new pools and stops those of pools without a document.
func (m *Manager) applyPools(ctx context.Context, running *sync.WaitGroup) {
	wanted := m.wantedPools()
	m.mu.Lock()
	defer m.mu.Unlock()
	for pool, k := range m.pools {
		if _, ok := wanted[pool]; !ok {
			k.stop()
			delete(m.pools, pool)
		}
	}
	for pool, checks := range wanted {
		if k, ok := m.pools[pool]; ok {
			k.checksFencing.Store(checks)
			continue
		}
		k := newKeeper(m, pool)
		k.checksFencing.Store(checks)
		m.pools[pool] = k
		poolCtx, cancel := context.WithCancel(ctx)
		k.stop = cancel
		running.Add(1)
		go func() {
			defer running.Done()
			k.run(poolCtx)
		}()
	}
}

// wantedPools returns the model pools of this region and whether their engines check
// fencing numbers.
func (m *Manager) wantedPools() map[string]bool {
	wanted := map[string]bool{}
	region := m.parts.View.Self().Region
	for _, v := range m.parts.Docs.All() {
		d := v.Document
		if d.Kind != document.Model || d.Region != region {
			continue
		}
		if checks, ok := wanted[d.Pool]; ok {
			wanted[d.Pool] = checks && d.Servers.ChecksFencing
			continue
		}
		wanted[d.Pool] = d.Servers.ChecksFencing
	}
	return wanted
}

// PoolState is one pool in the state dump.
type PoolState struct {
	Pool      string   `json:"pool"`
	Newest    int64    `json:"newest"`
	Keeper    bool     `json:"keeper"` // this daemon holds the lease
	Fence     int64    `json:"fence"`
	Remaining string   `json:"remaining"` // of the lease
	Staging   []string `json:"staging"`   // replicas that load from the weight store
	Partial   []string `json:"partial"`   // replicas out of sample work
}

// Dump returns the state of the pools ordered by name.
func (m *Manager) Dump() any {
	m.mu.Lock()
	keepers := make([]*keeper, 0, len(m.pools))
	for _, k := range m.pools {
		keepers = append(keepers, k)
	}
	m.mu.Unlock()
	states := make([]PoolState, 0, len(keepers))
	for _, k := range keepers {
		states = append(states, k.state())
	}
	sort.Slice(states, func(i, j int) bool { return states[i].Pool < states[j].Pool })
	return states
}

// Counters returns the package's metrics.
func (m *Manager) Counters() map[string]int64 {
	return map[string]int64{
		"staged":    m.counters.staged.Load(),
		"activated": m.counters.activated.Load(),
		"partial":   m.counters.partial.Load(),
		"fenced":    m.counters.fenced.Load(),
		"refused":   m.counters.refused.Load(),
		"announced": m.counters.announced.Load(),
	}
}
