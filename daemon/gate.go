package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/fault"
)

// State is what a daemon says of itself.
type State string

// The states of a daemon.
const (
	Live     State = "live"     // takes work
	Notice   State = "notice"   // takes work, but its health check fails: a stop is near
	Draining State = "draining" // takes no new work
	Isolated State = "isolated" // takes no new work until the platform or a peer answers
)

// retryElsewhere is how long a caller waits before it tries another daemon.
const retryElsewhere = 100 * time.Millisecond

// gate lets requests in, counts them and refuses them while the daemon drains.
type gate struct {
	isolated func() bool

	mu       sync.Mutex
	state    State // Live, Notice or Draining
	progress int
	refused  int64
	empty    chan struct{} // closed when no request is in progress while draining
}

func newGate(isolated func() bool) *gate {
	return &gate{isolated: isolated, state: Live, empty: make(chan struct{})}
}

// enter admits a request. leave must be called once when it ended.
func (g *gate) enter() (leave func(), err error) {
	isolated := g.isolated()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.state == Draining {
		g.refused++
		return nil, fault.New(fault.Draining, "this daemon is stopping", "send the request to another daemon",
			fault.WithOutcome(fault.NotRun), fault.WithRetryAfter(retryElsewhere))
	}
	if isolated {
		g.refused++
		return nil, fault.New(fault.Isolated, "this daemon reaches neither the platform nor any peer", "send the request to another daemon",
			fault.WithOutcome(fault.NotRun), fault.WithRetryAfter(retryElsewhere))
	}
	g.progress++
	return g.leave, nil
}

func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.progress--
	g.closeIfEmpty()
}

func (g *gate) closeIfEmpty() {
	if g.state != Draining || g.progress > 0 {
		return
	}
	select {
	case <-g.empty:
	default:
		close(g.empty)
	}
}

func (g *gate) set(s State) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state = s
	g.closeIfEmpty()
}

// current returns the state and the requests in progress.
func (g *gate) current() (s State, progress int) {
	isolated := g.isolated()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.state == Live && isolated {
		return Isolated, g.progress
	}
	return g.state, g.progress
}

// refusals returns how many requests were refused.
func (g *gate) refusals() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.refused
}

func (g *gate) draining() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state == Draining
}

// wait blocks until no request is in progress after set(Draining), or ctx ends. It
// returns the requests that are left.
func (g *gate) wait(ctx context.Context) int {
	select {
	case <-g.empty:
		return 0
	case <-ctx.Done():
	}
	_, progress := g.current()
	return progress
}
