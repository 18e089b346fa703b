package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/measure"
	"github.com/hornbeamtide/hornbeamtide/placement"
)

// Outcomes of requests and attempts in the histograms.
const (
	answered = "answered"
	failed   = "failed"
	notRun   = "not_run"
	canceled = "canceled"
)

func (a *attempt) logPlaced(lease *placement.Lease) {
	a.log.Log(event.GatewayPlaced, append(lease.Choice.Fields(),
		event.F("request", a.request.ID), event.F("route", a.route.Name), event.F("attempt", len(a.tried)+1),
		event.F("replica", lease.ID), event.F("left_ms", time.Until(a.deadline).Milliseconds()))...)
}

// tell logs and counts the end of an attempt that served nobody.
func (a *attempt) tell(lease *placement.Lease, err error) {
	a.log.Log(event.GatewayTried, event.F("request", a.request.ID), event.F("replica", lease.ID),
		event.F("may_have_run", a.mayRan), event.F("left_ms", time.Until(a.deadline).Milliseconds()), event.Err(err))
}

// ended logs and counts the end of a request.
func (a *attempt) ended(ctx context.Context, err error) {
	took := time.Since(a.begun)
	switch {
	case err == nil:
		a.counts.answered.Add(1)
		a.measures.Observe(measure.RequestWhole, took, a.route.Name, answered)
		a.log.Log(event.GatewayAnswered, event.F("request", a.request.ID), event.F("route", a.route.Name),
			event.F("replica", a.server), event.F("status", a.status), event.F("attempts", len(a.tried)), event.F("ms", took.Milliseconds()))
	case errors.Is(ctx.Err(), context.Canceled):
		a.counts.canceled.Add(1)
		a.measures.Observe(measure.RequestWhole, took, a.route.Name, canceled)
		a.log.Log(event.GatewayLeft, event.F("request", a.request.ID), event.F("route", a.route.Name), event.F("ms", took.Milliseconds()))
	default:
		a.counts.failed.Add(1)
		outcome := failed
		if fault.OutcomeOf(err) == fault.NotRun {
			outcome = notRun
		}
		a.measures.Observe(measure.RequestWhole, took, a.route.Name, outcome)
		a.log.Log(event.GatewayFailed, append(a.tracker.Survey(a.needs()).Counts(),
			event.F("request", a.request.ID), event.F("route", a.route.Name), event.F("sent", a.sent),
			event.F("may_have_run", a.mayRan), event.F("outcome", outcome), event.F("ms", took.Milliseconds()),
			event.F("retry_after_ms", fault.RetryAfterOf(err).Milliseconds()), event.Err(err))...)
	}
}
