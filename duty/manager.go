package duty

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hornbeamtide/hornbeamtide/clock"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/lease"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
	"github.com/hornbeamtide/hornbeamtide/peer"
)

const (
	// leaseKey is the store key of the lease object.
	leaseKey = "leases/duties"
	// holderInterval is the time between two passes of the holder while reports wait, maxHolderInterval
	// at rest.
	holderInterval    = 100 * time.Millisecond
	maxHolderInterval = time.Second
	// queryInterval is the time between two rounds of status queries of a candidate.
	queryInterval = 500 * time.Millisecond
	// queryTimeout bounds one status query.
	queryTimeout = 400 * time.Millisecond
	// totalTimeout bounds the collection of one window's counts.
	totalTimeout = 2 * time.Second
	// releaseTimeout bounds the release of the lease at a planned stop.
	releaseTimeout = 700 * time.Millisecond
)

// Config configures a Manager.
type Config struct {
	Self           string        // ID of this daemon
	Incarnation    int64         // ms since the Unix epoch at its start
	LeaseDuration  time.Duration // duration of the lease
	Fenced         bool          // the platform refuses calls with an older fencing token
	Window         time.Duration // length of a window
	Due            time.Duration // time from a window's end until its report is due
	CallsPerSecond float64       // calls that the platform accepts from all daemons together, 0 for no limit
}

// Dependencies are the dependencies of a Manager.
type Dependencies struct {
	Store  objectapi.ObjectStore
	Client Client
	// Total returns the number of requests in a window by organisation, from all daemons.
	Total func(ctx context.Context, window int64) (map[string]int64, error)
	// Now returns the true time.
	Now func() time.Time
	// FleetStart returns the true time at which the first daemon of the fleet started. If it is nil,
	// reports start with the window in which the daemon started that stores the first report.
	FleetStart func() time.Time
	Order      func() []string          // IDs of the members in duty order
	Members    func() map[string]string // drpc addresses of all daemons by ID, including this one
	Conns      peer.ConnProvider
	Scaling    *Scaling // nil if no replicas are ordered
	Log        *event.Logger
}

// Manager composes, stores and sends the usage reports while this daemon holds the lease, and takes
// the lease when its holder does not respond.
type Manager struct {
	Dependencies

	cfg   Config
	clock func() time.Duration // boot time
	lease *lease.Lease
	query func(ctx context.Context, address string) (holds bool, err error)

	// The following are used by Run only.
	scaler       *scaler       // nil if no replicas are ordered
	startedAt    time.Duration // on the boot-time clock: true time is known only a moment later
	silentRounds int           // rounds without a response from a candidate ahead or the holder
	wasHolder    bool
	storing      attempts // composing and storing
	sending      attempts
	givenUp      int64 // newest window that was logged as given up

	ended  atomic.Bool // Run gives the lease up; this daemon does not take it again
	mu     sync.Mutex
	table  table // written by Run only, with the lock
	delays map[int64]time.Duration
	last   int64 // newest accepted window
	counts Counts
}

// NewManager returns a Manager that calls nobody before Run.
func NewManager(cfg Config, deps Dependencies) *Manager { return newManager(cfg, deps, clock.BootTime) }

func newManager(cfg Config, deps Dependencies, bootTime func() time.Duration) *Manager {
	m := &Manager{
		Dependencies: deps, cfg: cfg, clock: bootTime,
		lease: lease.New(lease.Config{
			Key: leaseKey, Self: cfg.Self, Incarnation: cfg.Incarnation, Duration: cfg.LeaseDuration,
			Fenced: cfg.Fenced, ConstantToken: true, Clock: bootTime,
		}, deps.Store, deps.Log),
		table:  table{store: deps.Store, writer: writerName(cfg.Self, cfg.Incarnation)},
		delays: map[int64]time.Duration{},
	}
	m.query = m.queryStatus
	if deps.Scaling != nil {
		m.scaler = newScaler(*deps.Scaling)
	}
	return m
}

// Run does the duty of this daemon until ctx ends, then releases the lease.
func (m *Manager) Run(ctx context.Context) error {
	m.startedAt = m.clock()
	for ctx.Err() == nil {
		clock.Sleep(ctx, m.pass(ctx))
	}
	m.ended.Store(true)
	releaseCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	m.lease.Release(releaseCtx)
	return nil
}

// pass makes one pass and returns the time until the next one.
func (m *Manager) pass(ctx context.Context) time.Duration {
	if !m.lease.IsHolder() {
		m.wasHolder = false
		m.watchHolder(ctx)
		if !m.lease.IsHolder() {
			return queryInterval
		}
	}
	if !m.wasHolder {
		m.wasHolder = true
		m.markTableStale()
		if m.scaler != nil {
			m.scaler.forget()
		}
	}
	m.report(ctx)
	m.scale(ctx)
	return m.untilNextPass()
}

// watchHolder makes one round of status queries and takes the lease if nobody else has it.
func (m *Manager) watchHolder(ctx context.Context) {
	ahead, candidate := daemonsAhead(m.cfg.Self, m.Order())
	if !candidate {
		m.silentRounds = 0
		return
	}
	holder := m.lease.Holder()
	var next action
	next, m.silentRounds = nextAction(ahead, holder, m.queryAll(ctx, ahead, holder), m.silentRounds)
	if ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	switch next {
	case observe:
		m.lease.Observe(ctx)
	case acquire:
		m.lease.Acquire(ctx)
	case stay:
	}
}

// queryAll queries the candidates ahead and the known holder.
func (m *Manager) queryAll(ctx context.Context, ahead []string, holder string) map[string]answer {
	members := m.Members()
	addresses := map[string]string{}
	for _, id := range append([]string{holder}, ahead...) {
		if address := members[id]; address != "" && id != m.cfg.Self {
			addresses[id] = address
		}
	}
	var mu sync.Mutex
	var queries sync.WaitGroup
	answers := map[string]answer{}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	for id, address := range addresses {
		queries.Go(func() {
			holds, err := m.query(ctx, address)
			mu.Lock()
			defer mu.Unlock()
			answers[id] = answer{responded: err == nil, holds: err == nil && holds}
		})
	}
	queries.Wait()
	return answers
}
