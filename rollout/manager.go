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
	GroupsInProgress int           // groups that this daemon runs at a time
	StepRetention    time.Duration // an idle step is forgotten after this
	TokenInterval    time.Duration // between two stores of a trainer's newest token

	DisableHedging   bool // no second attempts of stragglers
	DisableCutStale  bool // samples that are over the bound already run to their end
	DisableFreshness bool // the staleness preference runs work as early as the idle time one
}

// Parts are what a Manager works with.
type Parts struct {
	View      fleet.View
	Docs      fleet.Documents
	Generator dispatch.Generator
	Versions  weights.Versions
	Store     objectapi.ObjectStore
	Conns     peer.Conns
	Recorder  alarm.Recorder
	Log       *event.Logger
}

// Manager serves the trainers' interface, owns steps and runs groups.
type Manager struct {
	config   Config
	parts    Parts
	now      func() time.Time
	counters counters
	draining atomic.Bool
	sessions *sessions
	suspects *suspects
	runner   *runner

	life context.Context // ends with Close; parent of all step and sample work
	end  context.CancelFunc

	mu    sync.Mutex
	steps map[stepKey]*step           // owned here
	kept  map[stepKey]*keptDefinition // copies for other owners
	seen  map[string]int64            // newest version seen, by pool
}

// keptDefinition is a copy of a step's definition.
type keptDefinition struct {
	definition *rolloutpb.Definition
	used       time.Time
}

type counters struct {
	delivered, generated, failed, stale, cut, moved, hedged, hedgeWins, discarded, rebuilt, fenced, busy atomic.Int64
}

// NewManager returns a Manager. Register and Run start it.
func NewManager(config Config, parts Parts) *Manager {
	if config.GroupsInProgress <= 0 {
		config.GroupsInProgress = defaultGroups
	}
	if config.StepRetention <= 0 {
		config.StepRetention = defaultRetention
	}
	life, end := context.WithCancel(context.Background())
	m := &Manager{
		config: config,
		parts:  parts,
		now:    time.Now,
		life:   life,
		end:    end,
		steps:  map[stepKey]*step{},
		kept:   map[stepKey]*keptDefinition{},
		seen:   map[string]int64{},
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

// Run forgets idle steps and payloads until ctx ends, then stops all work.
func (m *Manager) Run(ctx context.Context) error {
	defer m.end()
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

// sweep forgets what nobody asked for during the retention time.
func (m *Manager) sweep() {
	oldest := m.now().Add(-m.config.StepRetention)
	for _, s := range m.ownedSteps() {
		if s.idleSince().Before(oldest) {
			m.forgetStep(s)
		}
	}
	m.forgetCopies(oldest)
	m.runner.sweep(oldest)
}

// ownedSteps returns the steps that this daemon owns now.
func (m *Manager) ownedSteps() []*step {
	m.mu.Lock()
	defer m.mu.Unlock()
	steps := make([]*step, 0, len(m.steps))
	for _, s := range m.steps {
		steps = append(steps, s)
	}
	return steps
}

func (m *Manager) forgetStep(s *step) {
	m.mu.Lock()
	delete(m.steps, s.key)
	m.mu.Unlock()
	s.forget()
}

func (m *Manager) forgetCopies(oldest time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for key, k := range m.kept {
		if k.used.Before(oldest) {
			delete(m.kept, key)
		}
	}
}

// document returns the service's document or an error with outcome not run.
func (m *Manager) document(service string) (*document.Document, error) {
	v, ok := m.parts.Docs.Document(service)
	if !ok {
		return nil, fault.New(fault.NotFound, "service "+service+" has no document in force here", "apply its document, or retry in a few seconds", fault.WithOutcome(fault.NotRun))
	}
	if v.Document.Kind != document.Model {
		return nil, fault.New(fault.Unsupported, "service "+service+" is not a model service", "open the step on a model service", fault.WithOutcome(fault.NotRun))
	}
	return v.Document, nil
}

// hint passes on that a trainer named a version. Its word counts for its own pull only.
func (m *Manager) hint(pool string, version int64) {
	if h, ok := m.parts.Versions.(weights.Hinter); ok && version > 0 {
		h.Hint(pool, version)
	}
}

// observe records a weight version that was seen in use.
func (m *Manager) observe(pool string, version int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if version > m.seen[pool] {
		m.seen[pool] = version
	}
}

// newest returns the newest weight version of the pool that this daemon has heard of.
func (m *Manager) newest(pool string) int64 {
	published := m.parts.Versions.Newest(pool)
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(published, m.seen[pool])
}

// isSelf reports whether a drpc address is this daemon's.
func (m *Manager) isSelf(address string) bool {
	return address == m.parts.View.Self().PeerAddress
}

func (m *Manager) client(ctx context.Context, address string) (rolloutpb.DRPCRolloutClient, error) {
	conn, err := m.parts.Conns.Conn(ctx, address)
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
		"stale":       c.stale.Load(),
		"cut":         c.cut.Load(),
		"moved":       c.moved.Load(),
		"hedged":      c.hedged.Load(),
		"hedge_wins":  c.hedgeWins.Load(),
		"discarded":   c.discarded.Load(),
		"rebuilt":     c.rebuilt.Load(),
		"fenced":      c.fenced.Load(),
		"busy":        c.busy.Load(),
		"thrown_away": m.runner.speeds.thrownAway(),
		"steps":       int64(m.stepCount()),
		"payloads":    int64(m.runner.held()),
		"groups":      int64(m.runner.groupsInProgress()),
	}
}

func (m *Manager) stepCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.steps)
}
