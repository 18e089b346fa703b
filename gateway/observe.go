package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/measure"
	"github.com/hornbeamtide/hornbeamtide/placement"
	"github.com/hornbeamtide/hornbeamtide/upstream"
)

// Values of the outcome label of the request and attempt histograms.
const (
	outcomeAnswered = "answered"
	outcomeFailed   = "failed"
	outcomeNotRun   = "not_run"
	outcomeCanceled = "canceled"
)

func (p *pendingRequest) logPlacement(lease *placement.Lease) {
	p.log.Log(event.GatewayPlaced, append(lease.Choice.Fields(),
		event.F("request", p.request.ID), event.F("route", p.route.Name), event.F("attempt", len(p.tried)+1),
		event.F("replica", lease.ID), event.F("left_ms", time.Until(p.deadline).Milliseconds()))...)
}

// logFailedAttempt logs the end of an attempt that did not serve the request.
func (p *pendingRequest) logFailedAttempt(lease *placement.Lease, err error) {
	p.log.Log(event.GatewayAttemptFailed, event.F("request", p.request.ID), event.F("replica", lease.ID),
		event.F("may_have_run", p.mayHaveRun), event.F("left_ms", time.Until(p.deadline).Milliseconds()), event.Err(err))
}

// logBrokenConnection logs that the connection to a replica broke during the request.
func (p *pendingRequest) logBrokenConnection(lease *placement.Lease, err error, after time.Duration) {
	var broken *upstream.BrokenError
	if errors.As(err, &broken) {
		p.log.Log(event.GatewayConnectionBroke, event.F("request", p.request.ID), event.F("replica", lease.ID), event.F("caller", p.request.Caller),
			event.F("fingerprint", p.fingerprint()), event.F("sends", broken.Sends), event.F("after_ms", after.Milliseconds()), event.Err(err))
	}
}

// recordResult logs, counts and measures the end of a request.
func (p *pendingRequest) recordResult(ctx context.Context, err error) {
	duration := time.Since(p.started)
	switch {
	case err == nil:
		p.counts.answered.Add(1)
		p.usual.record(p.route.Name, duration)
		p.measures.Observe(measure.RequestWhole, duration, p.route.Name, outcomeAnswered)
		p.log.Log(event.GatewayResponseForwarded, event.F("request", p.request.ID), event.F("route", p.route.Name),
			event.F("replica", p.servedBy), event.F("status", p.status), event.F("attempts", len(p.tried)), event.F("ms", duration.Milliseconds()))
	case errors.Is(ctx.Err(), context.Canceled) && !stopTimeOver(ctx):
		p.counts.canceled.Add(1)
		p.measures.Observe(measure.RequestWhole, duration, p.route.Name, outcomeCanceled)
		p.log.Log(event.GatewayCallerDisconnected, event.F("request", p.request.ID), event.F("route", p.route.Name), event.F("ms", duration.Milliseconds()))
	default:
		p.counts.failed.Add(1)
		outcome := outcomeFailed
		if fault.OutcomeOf(err) == fault.NotRun {
			outcome = outcomeNotRun
		}
		p.measures.Observe(measure.RequestWhole, duration, p.route.Name, outcome)
		p.log.Log(event.GatewayFailed, append(p.tracker.Explain(p.placementRequest()).FilterCounts(),
			event.F("request", p.request.ID), event.F("route", p.route.Name), event.F("sent", p.sentCount),
			event.F("may_have_run", p.mayHaveRun), event.F("outcome", outcome), event.F("ms", duration.Milliseconds()),
			event.F("retry_after_ms", fault.RetryAfterOf(err).Milliseconds()), event.Err(err))...)
	}
}
