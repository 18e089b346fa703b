package waves

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamtide/hornbeamtide/catalog"
	"github.com/hornbeamtide/hornbeamtide/clock"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/measure"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
	"github.com/hornbeamtide/hornbeamtide/placement"
)

const (
	// lookInterval is the pause between two looks while replicas are behind.
	lookInterval = 100 * time.Millisecond
	// rankDelay is how long replicas must be behind without progress before the next
	// daemon in line steps in.
	rankDelay = 2500 * time.Millisecond
	// observers is how many daemons in line read the lease once there was no progress
	// for observeAfter, so that its time has run when their turn comes.
	observers    = 2
	observeAfter = 1600 * time.Millisecond
	// orderLimit bounds one call of a replica.
	orderLimit = 700 * time.Millisecond
	// loadTime is how long a load takes at least; a replica is asked about it after that.
	loadTime = 900 * time.Millisecond
	// askInterval is the pause between two questions to a replica that loads.
	askInterval = 120 * time.Millisecond
	// busyPause is how long a replica is left alone whose load can wait.
	busyPause = 600 * time.Millisecond
	// silentPause is how long a replica is left alone that did not answer.
	silentPause = 500 * time.Millisecond
	// orderPatience is how long an order may show no effect before it is given again.
	orderPatience = 2500 * time.Millisecond
)

// Config configures a Manager.
type Config struct {
	Self        string        // ID of this daemon
	Incarnation int64         // ms since the Unix epoch at its start
	Lease       time.Duration // time of the lease
	Fenced      bool          // replicas refuse orders with an old fencing token
}

// Parts are what a Manager works with.
type Parts struct {
	Store         objectapi.ObjectStore
	Engines       Engines
	Tracker       *placement.Tracker
	Configuration func() *catalog.Configuration
	Demand        func() map[string]float64 // recent work by model
	Members       func() map[string]string  // addresses of all daemons by ID
	Measures      *measure.Set
	Log           *event.Logger
}

// Manager follows named versions and gives orders while it holds the lease.
type Manager struct {
	Parts

	config Config
	lease  *lease
	wake   chan struct{}
	calls  sync.WaitGroup // of replicas

	mu       sync.Mutex
	versions map[string]int64 // newest named version by model
	orders   map[string]*progress
	counts   map[string]map[string]int // replicas of each model, by service
	waiting  map[string]time.Time      // replicas whose load can wait until then
	silent   map[string]time.Time      // replicas that did not answer, left alone until then
	behind   int                       // replicas that are behind
	since    time.Time                 // of the last progress while replicas are behind
	observed time.Time                 // when another holder's lease was read last; used by Run only
}

// progress is an order that this daemon gave.
type progress struct {
	model   string
	version int64
	given   time.Time
	asked   time.Time
	asking  bool // a question about it is on its way; guarded by the manager's lock
	slow    bool // the replica was still at it after loadTime; guarded by the manager's lock
}

// loads reports whether the replica probably loads now. The manager's lock is held.
func (p *progress) loads() bool { return p.slow || time.Since(p.given) < loadTime }

// NewManager returns a Manager.
func NewManager(config Config, parts Parts) *Manager {
	return &Manager{
		Parts: parts, config: config, wake: make(chan struct{}, 1),
		lease: &lease{
			store: parts.Store, log: parts.Log, self: config.Self, incarnation: config.Incarnation,
			length: config.Lease, fenced: config.Fenced, clock: clock.BootTime,
		},
		versions: map[string]int64{}, orders: map[string]*progress{}, counts: map[string]map[string]int{}, waiting: map[string]time.Time{}, silent: map[string]time.Time{},
	}
}

// Named notes a version that a trainer named.
func (m *Manager) Named(v catalog.ModelVersion) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if v.Version <= m.versions[v.Model] {
		return
	}
	m.versions[v.Model] = v.Version
	m.Log.Log(event.WaveNamed, event.F("model", v.Model), event.F("version", v.Version))
	m.wakeUp()
}

// Run gives orders until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := m.round(ctx)
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-m.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
	m.calls.Wait()
	released, cancel := context.WithTimeout(context.WithoutCancel(ctx), orderLimit)
	defer cancel()
	m.lease.release(released)
	return nil
}

// idleInterval is the pause between two looks while no replica is behind.
const idleInterval = time.Second

// work is a replica that should load a version.
type work struct {
	replica catalog.Replica
	model   string
	version int64
	limit   int // loads of its service at once

	halfHasIt bool    // half of the model's replicas have the version or load it
	usable    float64 // part of the model's replicas that may run its current step
	fresh     float64 // part of the model's replicas that have the version or load it
}

// round looks once at what is behind and orders what it may. It returns the pause until
// the next look.
func (m *Manager) round(ctx context.Context) time.Duration {
	todo := m.todo()
	m.note(len(todo))
	if len(todo) == 0 {
		return idleInterval
	}
	if _, held := m.lease.holds(); held {
		m.lease.keep(ctx)
		m.giveOrders(ctx, todo)
		return lookInterval
	}
	rank, still := m.place()
	switch {
	case still >= time.Duration(rank)*rankDelay:
		m.lease.acquire(ctx)
	case rank <= observers && still > observeAfter && time.Since(m.observed) > observeAfter:
		m.observed = time.Now()
		m.lease.observe(ctx)
	}
	return 2 * lookInterval
}

// note remembers when there was progress last.
func (m *Manager) note(behind int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if behind != m.behind || behind == 0 {
		m.behind, m.since = behind, time.Now()
	}
}

// place returns this daemon's place in line and for how long there was no progress.
func (m *Manager) place() (rank int, still time.Duration) {
	own := xxhash.Sum64String(m.config.Self)
	for id := range m.Members() {
		if id != m.config.Self && xxhash.Sum64String(id) > own {
			rank++
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return rank, time.Since(m.since)
}
