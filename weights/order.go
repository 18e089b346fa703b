package weights

import (
	"context"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/backend"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/weights/weightspb"
)

// statusTimeout limits one read of an engine's status.
const statusTimeout = 2 * time.Second

// permitFunc returns the fencing token for orders and for how long they may be sent. If
// the engines check fencing tokens, an expired lease does not stop an order: the engine
// itself refuses it once it has received a newer token.
type permitFunc func() (fencingToken int64, left time.Duration)

// orderLocks allows one order in flight per replica address.
type orderLocks struct {
	mu   sync.Mutex
	busy map[string]bool
}

func (l *orderLocks) acquire(address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.busy == nil {
		l.busy = map[string]bool{}
	}
	if l.busy[address] {
		return false
	}
	l.busy[address] = true
	return true
}

func (l *orderLocks) release(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.busy, address)
}

// orderFunc is one of the order methods of backend.Engine.
type orderFunc func(ctx context.Context, o backend.Order) error

// sendOrder sends one order to the replica at address. It checks the permit immediately
// before it sends the order.
func (m *Manager) sendOrder(ctx context.Context, address string, version int64, permit permitFunc, send orderFunc) error {
	if !m.orders.acquire(address) {
		return fault.New(fault.Overloaded, "an order to "+address+" is in progress", "retry when it has ended", fault.WithOutcome(fault.NotRun))
	}
	defer m.orders.release(address)
	fencingToken, left := permit()
	if left <= 0 {
		m.counters.refused.Add(1)
		return fault.New(fault.Fenced, "the weights lease expired before the order was sent", "the next lease holder sends it", fault.WithOutcome(fault.NotRun))
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	return send(ctx, backend.Order{Version: version, FencingToken: fencingToken})
}

// activateTarget activates version on one replica and then reads the replica's state.
func (m *Manager) activateTarget(ctx context.Context, t *weightspb.Target, version int64, permit permitFunc) *weightspb.ReplicaReport {
	engine := m.deps.Backends.Engine(t.Address)
	orderCtx, cancel := context.WithTimeout(ctx, activateTimeout)
	defer cancel()
	err := m.sendOrder(orderCtx, t.Address, version, permit, engine.Activate)
	report := m.readTarget(ctx, t)
	if err != nil {
		report.Error = err.Error()
	}
	if fault.Is(err, fault.Fenced) && fault.OutcomeOf(err) != fault.NotRun {
		report.Fenced = true
	}
	if report.Reached && report.Whole && report.Version == version {
		m.counters.activated.Add(1)
	}
	return report
}

// readTarget reads the state of one replica.
func (m *Manager) readTarget(ctx context.Context, t *weightspb.Target) *weightspb.ReplicaReport {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status, err := m.deps.Backends.Engine(t.Address).Status(ctx)
	if err != nil {
		return &weightspb.ReplicaReport{Replica: t.Replica, Error: err.Error()}
	}
	return &weightspb.ReplicaReport{
		Replica: t.Replica,
		Reached: true,
		Version: status.Version,
		Staged:  status.StagedVersion,
		Whole:   status.Complete,
		Leaving: status.Leaving,
		Fence:   status.HighestFencingToken,
	}
}

// stageTarget stages version on one replica.
func (m *Manager) stageTarget(ctx context.Context, t *weightspb.Target, version int64, permit permitFunc) error {
	engine := m.deps.Backends.Engine(t.Address)
	err := m.sendOrder(ctx, t.Address, version, permit, engine.Stage)
	if err != nil {
		m.deps.Log.Log(event.WeightsStageFailed, event.F("replica", t.Replica), event.F("version", version), event.Err(err))
		return err
	}
	m.counters.staged.Add(1)
	return nil
}
