package rollout

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc"

	"github.com/hornbeamtide/hornbeamtide/alarm"
	"github.com/hornbeamtide/hornbeamtide/dispatch"
	"github.com/hornbeamtide/hornbeamtide/document"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/fleet"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
	"github.com/hornbeamtide/hornbeamtide/peer"
	"github.com/hornbeamtide/hornbeamtide/rollout/rolloutpb"
	"github.com/hornbeamtide/hornbeamtide/weights"
)

// Config configures a Manager.
type Config struct {
	MaxConcurrentGroups int           // groups that this daemon runs concurrently
	StepRetention       time.Duration // steps, copies and payloads idle for longer are removed
	TokenStoreInterval  time.Duration // shortest interval between stores of a trainer's newest token

	DisableHedging             bool // stragglers are neither hedged nor restarted on another replica
	DisableStaleCancel         bool // samples that exceed the staleness bound are not canceled
	DisableStalenessPreference bool // the staleness preference neither limits runs nor restarts samples
}

// Dependencies are the dependencies of a Manager.
type Dependencies struct {
	View        fleet.View
	Documents   fleet.Documents
	Generator   dispatch.Generator
	Versions    weights.Versions
	ObjectStore objectapi.ObjectStore
	Conns       peer.ConnProvider
	Recorder    alarm.Recorder
	Log         *event.Logger
}

// Manager serves the trainer API, owns steps and runs groups.
type Manager struct {
	config   Config
	deps     Dependencies
	now      func() time.Time
	counters counters
	draining atomic.Bool
	sessions *sessions
	suspects *suspects
	runner   *runner

	baseCtx context.Context // parent of all step and sample work, canceled when Run returns
	cancel  context.CancelFunc

	mu          sync.Mutex
	steps       map[stepKey]*step           // owned by this daemon
	copies      map[stepKey]*definitionCopy // step definitions held for other owners
	newestInUse map[string]int64            // newest weight version observed in samples, by pool
}

// definitionCopy is a copy of a step's definition, held for another owner.
type definitionCopy struct {
	definition *rolloutpb.Definition
	lastUsed   time.Time
}

// counters holds the metrics that Manager.Counters returns. staleCanceled counts
// attempts, staleDropped finished samples, moved stragglers restarted on another replica,
// discarded samples that a runner lost or that lack version tags, rebuilt steps rebuilt
// from their definition, and fenced calls of superseded sessions.
type counters struct {
	delivered, generated, failed, staleDropped, staleCanceled, moved, hedged, hedgeWins, discarded, rebuilt, fenced, runsRefused atomic.Int64
}

// NewManager returns a Manager. Call Register and Run to start it.
func NewManager(config Config, deps Dependencies) *Manager {
	if config.MaxConcurrentGroups <= 0 {
		config.MaxConcurrentGroups = defaultGroups
	}
	if config.StepRetention <= 0 {
		config.StepRetention = defaultRetention
	}
	baseCtx, cancel := context.WithCancel(context.Background())
	m := &Manager{
		config:      config,
		deps:        deps,
		now:         time.Now,
		baseCtx:     baseCtx,
		cancel:      cancel,
		steps:       map[stepKey]*step{},
		copies:      map[stepKey]*definitionCopy{},
		newestInUse: map[string]int64{},
	}
	m.sessions = newSessions(m)
	m.suspects = newSuspects(m)
	m.runner = newRunner(m)
	return m
}

const (
	defaultGroups    = 32
	defaultRetention = 10 * time.Minute
	sweepInterval    = time.Second
)

// Register adds the package's drpc service to mux.
func (m *Manager) Register(mux drpc.Mux) error {
	return rolloutpb.DRPCRegisterRollout(mux, &service{m: m})
}

// Run removes idle steps, definition copies and payloads until ctx ends, then stops all
// work.
func (m *Manager) Run(ctx context.Context) error {
	defer m.cancel()
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			m.sweep()
		}
	}
}

// sweep removes the steps, copies and payloads not used within StepRetention.
func (m *Manager) sweep() {
	cutoff := m.now().Add(-m.config.StepRetention)
	for _, s := range m.ownedSteps() {
		if s.idleSince().Before(cutoff) {
			m.removeStep(s)
		}
	}
	m.evictCopies(cutoff)
	m.runner.sweep(cutoff)
}

func (m *Manager) ownedSteps() []*step {
	m.mu.Lock()
	defer m.mu.Unlock()
	steps := make([]*step, 0, len(m.steps))
	for _, s := range m.steps {
		steps = append(steps, s)
	}
	return steps
}

func (m *Manager) removeStep(s *step) {
	m.mu.Lock()
	delete(m.steps, s.key)
	m.mu.Unlock()
	s.stop()
}

func (m *Manager) evictCopies(cutoff time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for key, c := range m.copies {
		if c.lastUsed.Before(cutoff) {
			delete(m.copies, key)
		}
	}
}

// document returns the service's active document, or an error with outcome not run.
func (m *Manager) document(service string) (*document.Document, error) {
	v, ok := m.deps.Documents.Document(service)
	if !ok {
		return nil, fault.New(fault.NotFound, "service "+service+" has no active document on this daemon", "apply its document, or retry in a few seconds", fault.WithOutcome(fault.NotRun))
	}
	if v.Document.Kind != document.KindModel {
		return nil, fault.New(fault.Unsupported, "service "+service+" is not a model service", "open the step on a model service", fault.WithOutcome(fault.NotRun))
	}
	return v.Document, nil
}

// hintVersion forwards a trainer's weight version to the version source as a hint. The
// version itself applies only to the trainer's own pull: a wrong number must not make
// all samples of the pool stale.
func (m *Manager) hintVersion(pool string, version int64) {
	if h, ok := m.deps.Versions.(weights.Hinter); ok && version > 0 {
		h.Hint(pool, version)
	}
}

// observeVersion records a weight version observed in a sample.
func (m *Manager) observeVersion(pool string, version int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if version > m.newestInUse[pool] {
		m.newestInUse[pool] = version
	}
}

// newestVersion returns the newest weight version of the pool known to this daemon.
func (m *Manager) newestVersion(pool string) int64 {
	published := m.deps.Versions.Newest(pool)
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(published, m.newestInUse[pool])
}

// isSelf reports whether a drpc address belongs to this daemon.
func (m *Manager) isSelf(address string) bool {
	return address == m.deps.View.Self().PeerAddress
}

func (m *Manager) client(ctx context.Context, address string) (rolloutpb.DRPCRolloutClient, error) {
	conn, err := m.deps.Conns.Conn(ctx, address)
	if err != nil {
		return nil, err
	}
	return rolloutpb.NewDRPCRolloutClient(conn), nil
}

// Counters returns the package's metrics.
func (m *Manager) Counters() map[string]int64 {
	c := &m.counters
	return map[string]int64{
		"delivered":   c.delivered.Load(),
		"generated":   c.generated.Load(),
		"failed":      c.failed.Load(),
		"stale":       c.staleDropped.Load(),
		"cut":         c.staleCanceled.Load(),
		"moved":       c.moved.Load(),
		"hedged":      c.hedged.Load(),
		"hedge_wins":  c.hedgeWins.Load(),
		"discarded":   c.discarded.Load(),
		"rebuilt":     c.rebuilt.Load(),
		"fenced":      c.fenced.Load(),
		"busy":        c.runsRefused.Load(),
		"thrown_away": m.runner.stats.totalWasted(),
		"steps":       int64(m.stepCount()),
		"payloads":    int64(m.runner.heldSamples()),
		"groups":      int64(m.runner.groupsInProgress()),
	}
}

func (m *Manager) stepCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.steps)
}
