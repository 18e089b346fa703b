package waves

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamtide/hornbeamtide/catalog"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/lease"
	"github.com/hornbeamtide/hornbeamtide/measure"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
	"github.com/hornbeamtide/hornbeamtide/placement"
)

const (
	// leaseKey is the store key of the lease object.
	leaseKey = "leases/weights"
	// activeInterval is the time between two passes while replicas lag.
	activeInterval = 100 * time.Millisecond
	// takeoverDelay is how long replicas must lag without progress before the daemon of the
	// next takeover rank tries to acquire the lease.
	takeoverDelay = 2500 * time.Millisecond
	// Daemons up to takeover rank maxObserverRank read the lease after observeDelay without
	// progress, so that it has expired on their clocks when their turn comes.
	maxObserverRank = 2
	observeDelay    = 1600 * time.Millisecond
	// callTimeout bounds one call to a replica.
	callTimeout = 700 * time.Millisecond
	// minLoadTime is the shortest time that a load takes; the replica is first polled after it.
	minLoadTime = 900 * time.Millisecond
	// pollInterval is the time between two polls of a replica that loads a version.
	pollInterval = 120 * time.Millisecond
	// busyRetryDelay is how long the load of a busy replica is deferred at a time.
	busyRetryDelay = 600 * time.Millisecond
	// unresponsiveRetryDelay is the retry delay for a replica that did not respond.
	unresponsiveRetryDelay = 500 * time.Millisecond
	// orderTimeout is how long an order may have no effect before it is sent again.
	orderTimeout = 2500 * time.Millisecond
)

// Config configures a Manager.
type Config struct {
	Self                string        // ID of this daemon
	Incarnation         int64         // ms since the Unix epoch at its start
	LeaseDuration       time.Duration // duration of the lease
	ReplicasCheckTokens bool          // replicas refuse orders with an older fencing token
}

// Dependencies are the dependencies of a Manager.
type Dependencies struct {
	Store         objectapi.ObjectStore
	ReplicaClient ReplicaClient
	Tracker       *placement.Tracker
	Configuration func() *catalog.Configuration
	Demand        func() map[string]float64 // recent demand in expected output tokens by model
	Members       func() map[string]string  // addresses of all daemons by ID
	Measures      *measure.Set
	Log           *event.Logger
}

// Manager tracks the published versions of models and sends load orders to replicas while it
// holds the lease.
type Manager struct {
	Dependencies

	cfg   Config
	lease *lease.Lease
	wake  chan struct{}
	calls sync.WaitGroup // calls to replicas

	mu                sync.Mutex
	versions          map[string]int64 // newest published version by model
	orders            map[string]*orderProgress
	replicaCounts     map[string]map[string]int // number of replicas assigned to each model, by service
	deferredUntil     map[string]time.Time      // by ID of a busy replica whose load can wait
	unresponsiveUntil map[string]time.Time      // by ID of a replica that did not respond
	lagging           int                       // number of lagging replicas
	progressAt        time.Time                 // when the number of lagging replicas last changed or was 0
	observedAt        time.Time                 // when another holder's lease was last read; used by Run only
}

// orderProgress is the state of an order that this daemon sent.
type orderProgress struct {
	model        string
	version      int64
	orderedAt    time.Time
	polledAt     time.Time
	polling      bool // a poll is in flight; guarded by the manager's lock
	stillLoading bool // the last poll found the replica still loading; guarded by the manager's lock
}

// isLoading reports whether the replica is probably loading now. The caller holds the
// manager's lock.
func (p *orderProgress) isLoading() bool {
	return p.stillLoading || time.Since(p.orderedAt) < minLoadTime
}

// NewManager returns a Manager that sends no orders before Run.
func NewManager(cfg Config, deps Dependencies) *Manager {
	return &Manager{
		Dependencies: deps, cfg: cfg, wake: make(chan struct{}, 1),
		lease: lease.New(lease.Config{
			Key: leaseKey, Self: cfg.Self, Incarnation: cfg.Incarnation,
			Duration: cfg.LeaseDuration, Fenced: cfg.ReplicasCheckTokens,
		}, deps.Store, deps.Log),
		versions: map[string]int64{}, orders: map[string]*orderProgress{}, replicaCounts: map[string]map[string]int{}, deferredUntil: map[string]time.Time{}, unresponsiveUntil: map[string]time.Time{},
	}
}

// RecordVersion records a version that a trainer published.
func (m *Manager) RecordVersion(update catalog.ModelVersion) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if update.Version <= m.versions[update.Model] {
		return
	}
	m.versions[update.Model] = update.Version
	m.Log.Log(event.WaveVersionAnnounced, event.F("model", update.Model), event.F("version", update.Version))
	m.triggerReconcile()
}

// Run sends orders until ctx ends, then waits for calls in flight and releases the lease.
func (m *Manager) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := m.reconcile(ctx)
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-m.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
	m.calls.Wait()
	releaseCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	m.lease.Release(releaseCtx)
	return nil
}

// idleInterval is the time between two passes while no replica lags.
const idleInterval = time.Second

// workItem is a load that is due: a replica and the version that it should load.
type workItem struct {
	replica  catalog.Replica
	model    string
	version  int64
	maxLoads int // concurrent loads allowed in the replica's service

	halfUpdated  bool    // half of the model's replicas, rounded down, have the version or are loading it
	usableShare  float64 // fraction of the model's replicas that may run its current step
	updatedShare float64 // fraction of the model's replicas that have the version or are loading it
}

// reconcile makes one pass: it finds the lagging replicas and sends orders, or tries to take
// over the lease if its holder makes no progress. It returns the time until the next pass.
func (m *Manager) reconcile(ctx context.Context) time.Duration {
	items := m.workItems()
	m.recordProgress(len(items))
	if len(items) == 0 {
		return idleInterval
	}
	if _, held := m.lease.Holds(); held {
		m.lease.RenewInBackground(ctx)
		m.sendOrders(ctx, items)
		return activeInterval
	}
	rank, stalled := m.takeoverRank()
	switch {
	case m.lease.IsWaiting():
		m.lease.RenewInBackground(ctx)
	case stalled >= time.Duration(rank)*takeoverDelay:
		m.lease.Acquire(ctx)
	case rank <= maxObserverRank && stalled > observeDelay && time.Since(m.observedAt) > observeDelay:
		m.observedAt = time.Now()
		m.lease.Observe(ctx)
	}
	return 2 * activeInterval
}

// recordProgress records the time if the number of lagging replicas changed or is 0.
func (m *Manager) recordProgress(lagging int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if lagging != m.lagging || lagging == 0 {
		m.lagging, m.progressAt = lagging, time.Now()
	}
}

// takeoverRank returns this daemon's rank in the takeover order, 0 for the first, and for how
// long there was no progress.
func (m *Manager) takeoverRank() (rank int, stalled time.Duration) {
	own := xxhash.Sum64String(m.cfg.Self)
	for id := range m.Members() {
		if id != m.cfg.Self && xxhash.Sum64String(id) > own {
			rank++
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return rank, time.Since(m.progressAt)
}
