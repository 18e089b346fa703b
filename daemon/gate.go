package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/fault"
)

// State is the state that a daemon reports.
type State string

// The states of a daemon.
const (
	StateLive        State = "live"     // accepts work
	StateDrainNotice State = "notice"   // accepts work, but its health check fails because it is about to drain
	StateDraining    State = "draining" // refuses new work
	StateIsolated    State = "isolated" // refuses new work until the platform or a peer responds
)

// otherDaemonRetryDelay is the delay after which a refused caller may try another daemon.
const otherDaemonRetryDelay = 100 * time.Millisecond

// gate counts the requests in flight and refuses new ones while the daemon is draining
// or isolated.
type gate struct {
	isolated func() bool

	mu       sync.Mutex
	state    State // StateLive, StateDrainNotice or StateDraining
	inFlight int
	refused  int64
	drained  chan struct{} // closed when no request is in flight while draining
}

func newGate(isolated func() bool) *gate {
	return &gate{isolated: isolated, state: StateLive, drained: make(chan struct{})}
}

// enter admits a request. The caller must call leave once when the request has ended.
func (g *gate) enter() (leave func(), err error) {
	isolated := g.isolated()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.state == StateDraining {
		g.refused++
		return nil, fault.New(fault.Draining, "this daemon is stopping", "send the request to another daemon",
			fault.WithOutcome(fault.NotRun), fault.WithRetryAfter(otherDaemonRetryDelay))
	}
	if isolated {
		g.refused++
		return nil, fault.New(fault.Isolated, "this daemon can reach neither the platform nor any peer", "send the request to another daemon",
			fault.WithOutcome(fault.NotRun), fault.WithRetryAfter(otherDaemonRetryDelay))
	}
	g.inFlight++
	return g.leave, nil
}

func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	g.closeIfDrained()
}

func (g *gate) closeIfDrained() {
	if g.state != StateDraining || g.inFlight > 0 {
		return
	}
	select {
	case <-g.drained:
	default:
		close(g.drained)
	}
}

func (g *gate) set(s State) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state = s
	g.closeIfDrained()
}

// current returns the state and the number of requests in flight.
func (g *gate) current() (s State, inFlight int) {
	isolated := g.isolated()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.state == StateLive && isolated {
		return StateIsolated, g.inFlight
	}
	return g.state, g.inFlight
}

// refusedCount returns the number of requests that were refused.
func (g *gate) refusedCount() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.refused
}

func (g *gate) draining() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state == StateDraining
}

// wait blocks until no request is in flight after set(StateDraining), or until ctx ends. It
// returns the number of requests that are left.
func (g *gate) wait(ctx context.Context) int {
	select {
	case <-g.drained:
		return 0
	case <-ctx.Done():
	}
	_, inFlight := g.current()
	return inFlight
}
