package gateway

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/catalog"
	"github.com/hornbeamtide/hornbeamtide/fault"
)

const (
	// patienceFactor is how many times the usual time of a request its replica may be
	// silent, leastPatience the least such time.
	patienceFactor = 8
	leastPatience  = 200 * time.Millisecond
	// patienceBudget is the part of the requests that may leave a silent replica, and
	// patienceBurst how many may do so in a row.
	patienceBudget = 0.1
	patienceBurst  = 10
)

// errSilent says that a replica was silent for much longer than requests usually take.
var errSilent = fault.New(fault.Unavailable, "the replica is silent for much longer than usual", "try another replica")

// patienceFor decides how long a request that may be repeated waits for one replica before it
// goes to another one, 0 for as long as it has. Load pattern: a replica that stands still, or a
// kept connection that carries nothing more, while others answer as usual; without a limit the
// request waits there until its caller has left.
func patienceFor(usual, left time.Duration) time.Duration {
	limit := max(leastPatience, patienceFactor*usual)
	if usual <= 0 || limit > left/2 {
		return 0 // nothing to compare with, or too late for another try
	}
	return limit
}

// budget bounds how many requests leave a replica. Load pattern: all replicas turn slow
// because they have too much to do; requests that ran twice would slow them further.
type budget struct {
	mu    sync.Mutex
	saved float64
}

func newBudget() *budget { return &budget{saved: patienceBurst} }

// earn notes a request.
func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.saved+patienceBudget, patienceBurst)
}

// spend reports whether a request may leave its replica.
func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

// watch returns the context of an attempt, which ends with errSilent as its cause when the
// replica should be left: if it may be repeated and another replica has a place. headCame is
// called once the replica has answered, end when the attempt is over.
func (a *attempt) watch(ctx context.Context) (bounded context.Context, headCame, end func()) {
	bounded, cancel := context.WithCancelCause(ctx)
	end = func() { cancel(nil) }
	others := a.needs()
	others.MustFit, others.Exclude = true, maps.Clone(a.tried) // the timer may outlast the attempt
	usual, free := a.tracker.Usual(others)
	limit := patienceFor(usual, time.Until(a.deadline))
	if a.route.Kind != catalog.Idempotent || a.sent+1 >= a.route.MaxAttempts || !free || limit == 0 {
		return bounded, func() {}, end
	}
	timer := time.AfterFunc(limit, func() {
		if _, free := a.tracker.Usual(others); free && a.budget.spend() {
			cancel(errSilent)
		}
	})
	return bounded, func() { timer.Stop() }, end
}
