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
	// attemptTimeoutFactor is the attempt timeout as a multiple of the usual duration of a
	// request, minAttemptTimeout its minimum.
	attemptTimeoutFactor = 8
	minAttemptTimeout    = 200 * time.Millisecond
	// retryBudgetRatio is the fraction of requests that may leave an unresponsive replica,
	// retryBudgetBurst the number that may do so in a row.
	retryBudgetRatio = 0.1
	retryBudgetBurst = 10
)

// errAttemptTimeout reports that a replica did not respond for much longer than requests
// usually take.
var errAttemptTimeout = fault.New(fault.Unavailable, "the replica did not respond for much longer than usual", "try another replica")

// attemptTimeout returns how long an idempotent request waits for one replica before it is
// sent to another one, 0 for no limit. usual is the usual duration of a request, remaining the
// time until the deadline. Load pattern: a replica hangs, or a kept-alive connection is dead,
// while other replicas respond as usual; without a limit the request waits there until its
// caller disconnects.
func attemptTimeout(usual, remaining time.Duration) time.Duration {
	limit := max(minAttemptTimeout, attemptTimeoutFactor*usual)
	if usual <= 0 || limit > remaining/2 {
		return 0 // usual duration unknown, or too late for another attempt
	}
	return limit
}

// retryBudget is a token bucket that limits how many requests leave a replica after an attempt
// timeout. Load pattern: all replicas become slow because they are overloaded; requests that
// run twice would slow them down further.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

func newRetryBudget() *retryBudget { return &retryBudget{tokens: retryBudgetBurst} }

// deposit adds the share of one request to the budget.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retryBudgetRatio, retryBudgetBurst)
}

// withdraw takes a token and reports whether there was one, so that a request may leave its
// replica.
func (b *retryBudget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// withAttemptTimeout returns the context of an attempt. It is canceled with the cause
// errAttemptTimeout at the attempt timeout if the request is idempotent, another replica has
// a free slot and the retry budget allows it. The caller calls responseStarted when the replica
// responds and stop when the attempt ends.
func (p *pendingRequest) withAttemptTimeout(ctx context.Context) (bounded context.Context, responseStarted, stop func()) {
	bounded, cancel := context.WithCancelCause(ctx)
	stop = func() { cancel(nil) }
	others := p.placementRequest()
	others.RequireFreeSlot, others.Exclude = true, maps.Clone(p.tried) // the timer may fire after the attempt has ended
	usual, free := p.tracker.MedianTimePerUnit(others)
	limit := attemptTimeout(usual, time.Until(p.deadline))
	if p.route.Kind != catalog.Idempotent || p.sentCount+1 >= p.route.MaxAttempts || !free || limit == 0 {
		return bounded, func() {}, stop
	}
	timer := time.AfterFunc(limit, func() {
		if _, free := p.tracker.MedianTimePerUnit(others); free && p.budget.withdraw() {
			cancel(errAttemptTimeout)
		}
	})
	return bounded, func() { timer.Stop() }, stop
}
