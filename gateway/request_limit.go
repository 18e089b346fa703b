package gateway

import (
	"context"
	"time"

	"github.com/hornbeamtide/hornbeamtide/clock"
)

// limitWaitShare is the part of a route's target latency after which a request that no replica
// takes because of request limits is refused instead of waiting on.
const limitWaitShare = 0.5

// shouldAwaitLimit decides whether a request waits for the time at which a replica's request limit
// allows it. Load pattern: replicas in need accept fewer requests than arrive. A request whose turn
// comes early enough to be served in time waits; any other is refused at once and told when its
// turn is, so that its caller does not wait here in vain.
func shouldAwaitLimit(elapsed, wait, target time.Duration) bool {
	return elapsed+wait <= time.Duration(limitWaitShare*float64(target))
}

// awaitRequestLimit waits until a replica whose request limit is used up takes requests again. It
// returns false at once if there is none or if the request should not wait.
func (p *pendingRequest) awaitRequestLimit(ctx context.Context) bool {
	wait, limited := p.untilLimitAllows()
	if !limited || !shouldAwaitLimit(time.Since(p.started), wait, p.route.TargetLatency) {
		return false
	}
	clock.Sleep(ctx, wait)
	return true
}

// untilLimitAllows returns the time until the first replica of the route whose request limit is used
// up takes requests again. It returns false if there is no such replica.
func (p *pendingRequest) untilLimitAllows() (time.Duration, bool) {
	var first time.Duration
	limited := false
	for _, share := range p.route.Split {
		if wait, found := p.tracker.UntilDeferredEnd(share.Service); found && (!limited || wait < first) {
			first, limited = wait, true
		}
	}
	return first, limited
}

// retryAfter returns the delay after which the caller should send a refused request again: the usual
// one, or later if request limits allow no request before.
func (p *pendingRequest) retryAfter(usual time.Duration) time.Duration {
	wait, _ := p.untilLimitAllows()
	return max(usual, wait)
}
