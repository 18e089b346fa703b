package weights

import (
	"context"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc"

	"github.com/hornbeamtide/hornbeamtide/backend"
	"github.com/hornbeamtide/hornbeamtide/clock"
	"github.com/hornbeamtide/hornbeamtide/document"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fleet"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
	"github.com/hornbeamtide/hornbeamtide/peer"
	"github.com/hornbeamtide/hornbeamtide/weights/weightspb"
)

// Config configures a Manager.
type Config struct {
	PollInterval        time.Duration // between two reads of the weight store by a pool's owner
	LeaseDuration       time.Duration // duration of a pool's lease
	MaxConcurrentStages int           // replicas of a pool that load from the weight store concurrently
	DisableWave         bool          // activate each replica once it has staged, not all in one wave
	DisableSuspensions  bool          // do not suspend replicas with a partial swap from sample requests
}

// ReplicaGate suspends replicas from sample requests. routing.Store implements it.
type ReplicaGate interface {
	// Suspend stops sample requests to the replica until it reports a complete version
	// of at least min.
	Suspend(replicaID string, min int64)
}

// Dependencies are the dependencies of a Manager.
type Dependencies struct {
	View        fleet.View
	Documents   fleet.Documents
	ObjectStore objectapi.ObjectStore
	WeightStore objectapi.WeightStore
	Backends    backend.Dialer
	Gate        ReplicaGate
	Conns       peer.ConnProvider
	Log         *event.Logger
}

// Manager rolls out weight versions to the pools whose lease this daemon holds. It
// implements Versions and Hinter.
type Manager struct {
	config   Config
	deps     Dependencies
	now      func() time.Time // counts suspensions of the instance: the lease expires in them
	counters counters
	orders   orderLocks
	tickets  tickets
	hints    hintLimiter

	mu     sync.Mutex
	newest map[string]newestVersion   // by pool
	pools  map[string]*poolController // by pool
}

// newestVersion is the newest version of a pool that this daemon knows.
type newestVersion struct {
	version     int64
	confirmedAt time.Time // when it was last confirmed
}

type counters struct {
	staged, activated, partial, fenced, refused, announced atomic.Int64
}

// NewManager returns a Manager. Register and Run start it.
func NewManager(config Config, deps Dependencies) *Manager {
	return &Manager{
		config: config,
		deps:   deps,
		now:    clock.BootNow,
		newest: map[string]newestVersion{},
		pools:  map[string]*poolController{},
	}
}

// Register adds the package's drpc service to mux.
func (m *Manager) Register(mux drpc.Mux) error {
	return weightspb.DRPCRegisterWeights(mux, &service{manager: m})
}

// Newest implements Versions.
func (m *Manager) Newest(pool string) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.newest[pool].version
}

// setNewest records a confirmed version of pool and reports whether it is newer than the
// known one.
func (m *Manager) setNewest(pool string, version int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.newest[pool]
	newer := version > known.version
	if newer {
		known.version = version
	}
	known.confirmedAt = m.now()
	m.newest[pool] = known
	return newer
}

func (m *Manager) newestConfirmedAt(pool string) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.newest[pool].confirmedAt
}

// Run watches the documents and controls the pools until ctx ends, then releases the
// leases.
func (m *Manager) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		changed := m.deps.Documents.Changed()
		m.syncPools(ctx, &wg)
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// syncPools starts controllers for new pools and stops those of pools that no document
// names any more.
func (m *Manager) syncPools(ctx context.Context, wg *sync.WaitGroup) {
	wanted := m.wantedPools()
	m.mu.Lock()
	defer m.mu.Unlock()
	for pool, p := range m.pools {
		if _, ok := wanted[pool]; !ok {
			p.stop()
			delete(m.pools, pool)
		}
	}
	for pool, checksFencing := range wanted {
		if p, ok := m.pools[pool]; ok {
			p.checksFencing.Store(checksFencing)
			continue
		}
		p := newPoolController(m, pool)
		p.checksFencing.Store(checksFencing)
		m.pools[pool] = p
		poolCtx, cancel := context.WithCancel(ctx)
		p.stop = cancel
		wg.Add(1)
		go func() {
			defer wg.Done()
			p.run(poolCtx)
		}()
	}
}

// wantedPools returns the model pools of this region and whether all their engines check
// fencing tokens.
func (m *Manager) wantedPools() map[string]bool {
	wanted := map[string]bool{}
	region := m.deps.View.Self().Region
	for _, v := range m.deps.Documents.All() {
		d := v.Document
		if d.Kind != document.KindModel || d.Region != region {
			continue
		}
		if checksFencing, ok := wanted[d.Pool]; ok {
			wanted[d.Pool] = checksFencing && d.Servers.ChecksFencing
			continue
		}
		wanted[d.Pool] = d.Servers.ChecksFencing
	}
	return wanted
}

// PoolState is one pool in the state dump.
type PoolState struct {
	Pool         string   `json:"pool"`
	Newest       int64    `json:"newest"`
	IsOwner      bool     `json:"keeper"` // this daemon holds the lease
	FencingToken int64    `json:"fence"`
	Remaining    string   `json:"remaining"` // of the lease
	Staging      []string `json:"staging"`   // replicas that are loading from the weight store
	Partial      []string `json:"partial"`   // replicas with a partial swap, suspended from sample requests
}

// Dump returns the states of the pools, sorted by name.
func (m *Manager) Dump() any {
	m.mu.Lock()
	controllers := make([]*poolController, 0, len(m.pools))
	for _, p := range m.pools {
		controllers = append(controllers, p)
	}
	m.mu.Unlock()
	states := make([]PoolState, 0, len(controllers))
	for _, p := range controllers {
		states = append(states, p.state())
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
