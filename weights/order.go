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

// statusTimeout bounds one read of an engine's status.
const statusTimeout = 2 * time.Second

// permit says until when orders may be sent and with which fencing number. On engines
// that check fencing numbers an expired lease does not stop an order, because the
// engine itself refuses it once a newer holder was heard.
type permit func() (fence int64, left time.Duration)

// orderLocks allows one order in flight a server.
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

// engineOrder is one of backend.Engine's order methods.
type engineOrder func(ctx context.Context, o backend.Order) error

// sendOrder sends one order to the server at address. The permit is checked as the
// last step before the send.
func (m *Manager) sendOrder(ctx context.Context, address string, version int64, remaining permit, send engineOrder) error {
	if !m.orders.acquire(address) {
		return fault.New(fault.Overloaded, "an order to "+address+" is in progress", "retry after it ended", fault.WithOutcome(fault.NotRun))
	}
	defer m.orders.release(address)
	fence, left := remaining()
	if left <= 0 {
		m.counters.refused.Add(1)
		return fault.New(fault.Fenced, "the weights lease ran out before the order was sent", "the next lease holder sends it", fault.WithOutcome(fault.NotRun))
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	return send(ctx, backend.Order{Version: version, Fence: fence})
}

// activateTarget activates version on one replica and reads it back.
func (m *Manager) activateTarget(ctx context.Context, t *weightspb.Target, version int64, remaining permit) *weightspb.ReplicaReport {
	engine := m.parts.Backends.Engine(t.Address)
	orderCtx, cancel := context.WithTimeout(ctx, activateTimeout)
	defer cancel()
	err := m.sendOrder(orderCtx, t.Address, version, remaining, engine.Activate)
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
	status, err := m.parts.Backends.Engine(t.Address).Status(ctx)
	if err != nil {
		return &weightspb.ReplicaReport{Replica: t.Replica, Error: err.Error()}
	}
	return &weightspb.ReplicaReport{
		Replica: t.Replica,
		Reached: true,
		Version: status.Version,
		Staged:  status.Staged,
		Whole:   status.Whole,
		Leaving: status.Leaving,
		Fence:   status.Fence,
	}
}

// stageTarget stages version on one replica.
func (m *Manager) stageTarget(ctx context.Context, t *weightspb.Target, version int64, remaining permit) error {
	engine := m.parts.Backends.Engine(t.Address)
	err := m.sendOrder(ctx, t.Address, version, remaining, engine.Stage)
	if err != nil {
		m.parts.Log.Log(event.WeightsStageFailed, event.F("replica", t.Replica), event.F("version", version), event.Err(err))
		return err
	}
	m.counters.staged.Add(1)
	return nil
}
