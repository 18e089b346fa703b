package dispatch

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	"github.com/hornbeamtide/hornbeamtide/alarm"
	"github.com/hornbeamtide/hornbeamtide/claims"
	"github.com/hornbeamtide/hornbeamtide/document"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/routing"
)

// attempt is a call sent to one replica.
type attempt struct {
	call   *call
	id     string // request ID sent to the backend server
	number int    // from 1
	lease  routing.Lease
}

// exchange sends an attempt to its replica and writes the response to the caller.
// committed means that the caller has received part of the response: the attempt cannot be
// retried, and exchange has already reported any error to the caller.
type exchange func(ctx context.Context, w http.ResponseWriter, a attempt) (committed bool, err error)

// exchangeFor returns the exchange for the kind of the call's service.
func (m *Manager) exchangeFor(c *call) (exchange, error) {
	if c.document.Kind == document.KindPlain {
		return m.exchangePlain, nil
	}
	if c.method != http.MethodPost || c.path != "/generate" {
		return nil, fault.New(fault.Unsupported, "model services take POST /generate only",
			"use that path", fault.WithOutcome(fault.NotRun))
	}
	return m.newModelExchange(c)
}

// runAttempts sends the call to replicas until the caller has a response or the error is
// final. It returns nil if the caller has received a response.
func (m *Manager) runAttempts(ctx context.Context, w http.ResponseWriter, c *call, send exchange) error {
	m.refillBudget(c)
	nonce := newRequestID()
	var tried []string
	var lastErr error
	for number := 1; ; number++ {
		lease, err := m.pick(ctx, c, tried, lastErr)
		if err != nil {
			return c.finalError(firstNonNil(lastErr, err))
		}
		if number == 1 {
			if err := m.claim(ctx, c); err != nil {
				lease.Done(errNotSent, 0)
				return err
			}
		}
		a := attempt{call: c, id: attemptID(c.requestID, nonce, number), number: number, lease: lease}
		committed, err := m.sendAttempt(ctx, w, a, send)
		if committed || err == nil {
			return nil
		}
		lastErr = errorToReport(lastErr, err)
		m.recordLeavingRefusal(c.document, lease.Replica.ID, err)
		tried = append(tried, lease.Replica.ID)
		if !m.mayRetry(ctx, c, number, err) {
			return c.finalError(lastErr)
		}
	}
}

// errNotSent ends a lease whose request was not sent. It does not count against the
// server.
var errNotSent = fault.New(fault.Canceled, "the request was not sent", "", fault.WithOutcome(fault.NotRun))

// finalError returns the error for the caller. If the call has claimed its key, the caller
// needs a new key even though the request was not run.
func (c *call) finalError(err error) error {
	if !c.claimed || fault.OutcomeOf(err) != fault.NotRun {
		return err
	}
	return fault.Wrap(err, fault.KindOf(err), "the request was not run, but its key cannot be reused", "send it again with a new key",
		fault.WithOutcome(fault.NotRun), fault.WithRetryAfter(fault.RetryAfterOf(err)))
}

// sendAttempt runs one attempt and reports its result to routing. It aborts the caller's
// connection if the response is truncated.
func (m *Manager) sendAttempt(ctx context.Context, w http.ResponseWriter, a attempt, send exchange) (bool, error) {
	m.count(func(c *Counters) { c.Attempts++ })
	w.Header().Set(headerReplica, a.lease.Replica.ID)
	w.Header().Set(headerAttempts, strconv.Itoa(a.number))
	started := m.now()
	committed, err := send(ctx, w, a)
	a.lease.Done(err, m.now().Sub(started))
	m.recordRejected(a, err)
	var truncated *truncatedError
	if errors.As(err, &truncated) {
		panic(http.ErrAbortHandler)
	}
	return committed, err
}

// recordRejected counts and logs a response that was rejected as truncated, mismatched or
// untagged.
func (m *Manager) recordRejected(a attempt, err error) {
	switch fault.KindOf(err) {
	case fault.Truncated, fault.Mismatched, fault.Untagged:
		m.count(func(c *Counters) { c.Rejected++ })
		m.deps.Log.Log(event.ResponseRejected, event.F("request", a.id),
			event.F("replica", a.lease.Replica.ID), event.Err(err))
	}
}

// pick chooses a replica that is not in tried. If there is none and last is
// fault.Unavailable, for example because a connection broke, it chooses among all replicas:
// the next attempt uses a new connection.
func (m *Manager) pick(ctx context.Context, c *call, tried []string, last error) (routing.Lease, error) {
	lease, err := m.deps.Picker.Pick(ctx, c.routingRequest(tried))
	if err != nil && fault.Is(last, fault.Unavailable) {
		return m.deps.Picker.Pick(ctx, c.routingRequest(nil))
	}
	return lease, err
}

func (c *call) routingRequest(tried []string) routing.Request {
	return routing.Request{
		Service:     c.document.Service,
		Pool:        c.document.Pool,
		Key:         c.prefixKey,
		Exclude:     tried,
		MaxInFlight: c.document.Servers.MaxInFlight,
	}
}

// claim claims the key of a keyed non-idempotent call, so that no other call with that key
// runs.
func (m *Manager) claim(ctx context.Context, c *call) error {
	if c.idempotent || c.key == "" {
		return nil
	}
	err := m.deps.Claimer.Claim(ctx, claims.Claim{
		Service:     c.document.Service,
		Key:         c.key,
		Fingerprint: c.fingerprint(),
	})
	c.claimed = err == nil
	if c.claimed {
		m.deps.Recorder.Kept(alarm.AtMostOnce, c.document.Service)
	}
	return err
}

// mayRetry reports whether the call may be attempted again, and takes the retry from the
// budget. A non-idempotent call is retried only with a claimed key and only if no server
// has started it.
func (m *Manager) mayRetry(ctx context.Context, c *call, attempts int, err error) bool {
	if ctx.Err() != nil || attempts >= max(c.document.Retry.Attempts, 1) {
		return false
	}
	if !c.idempotent && (c.key == "" || fault.OutcomeOf(err) != fault.NotRun) {
		return false
	}
	if !retryable(err) {
		return false
	}
	if !m.takeRetry(c) {
		m.deps.Log.Log(event.RetryBudgetExhausted, event.F("service", c.document.Service))
		return false
	}
	m.deps.Log.Log(event.RequestRetried, event.F("request", c.requestID), event.Err(err))
	return true
}

func retryable(err error) bool {
	switch fault.KindOf(err) {
	case fault.Unavailable, fault.Overloaded, fault.Draining, fault.Truncated, fault.Mismatched, fault.Untagged:
		return true
	}
	return false
}

// errorToReport returns the error to report after two attempts. It is the later one, unless
// only the earlier attempt may have run.
func errorToReport(earlier, later error) error {
	if earlier == nil || fault.OutcomeOf(earlier) == fault.NotRun {
		return later
	}
	if fault.OutcomeOf(later) != fault.NotRun {
		return later
	}
	return earlier
}

func firstNonNil(last, err error) error {
	if last != nil {
		return last
	}
	return err
}
