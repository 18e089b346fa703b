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

// attempt is one try of a call on one replica.
type attempt struct {
	call   *call
	id     string // request id towards the backend server
	number int    // from 1
	lease  routing.Lease
}

// exchange sends an attempt and answers the caller. committed reports that bytes of
// the answer were passed on, after which an error has been told to the caller.
type exchange func(ctx context.Context, w http.ResponseWriter, a attempt) (committed bool, err error)

func (m *Manager) exchangeFor(c *call) (exchange, error) {
	if c.document.Kind == document.Plain {
		return m.exchangePlain, nil
	}
	if c.method != http.MethodPost || c.path != "/generate" {
		return nil, fault.New(fault.Unsupported, "model services take POST /generate only",
			"use that path", fault.WithOutcome(fault.NotRun))
	}
	return m.newModelExchange(c)
}

// runAttempts tries the call on replicas until the caller has an answer or the
// error is final. A nil error means that the caller was answered.
func (m *Manager) runAttempts(ctx context.Context, w http.ResponseWriter, c *call, send exchange) error {
	m.fillBudget(c)
	unique := newID()
	var tried []string
	var last error
	for number := 1; ; number++ {
		lease, err := m.pick(ctx, c, tried, last)
		if err != nil {
			return c.final(firstError(last, err))
		}
		if number == 1 {
			if err := m.claim(ctx, c); err != nil {
				lease.Done(errNotSent, 0)
				return err
			}
		}
		a := attempt{call: c, id: attemptID(c.requestID, unique, number), number: number, lease: lease}
		committed, err := m.try(ctx, w, a, send)
		if committed || err == nil {
			return nil
		}
		last = worse(last, err)
		m.noteLeaving(c.document, lease.Replica.ID, err)
		tried = append(tried, lease.Replica.ID)
		if !m.mayRetry(ctx, c, number, err) {
			return c.final(last)
		}
	}
}

// errNotSent ends a lease whose request was not sent; it says nothing of the server.
var errNotSent = fault.New(fault.Canceled, "the request was not sent", "", fault.WithOutcome(fault.NotRun))

// final is the error that the caller gets. A key that was claimed is used up, though
// the request was not run.
func (c *call) final(err error) error {
	if !c.claimed || fault.OutcomeOf(err) != fault.NotRun {
		return err
	}
	return fault.Wrap(err, fault.KindOf(err), "the request was not run and its key is used up", "send it again with a new key",
		fault.WithOutcome(fault.NotRun), fault.WithRetryAfter(fault.RetryAfterOf(err)))
}

// try runs one attempt and reports its end to routing.
func (m *Manager) try(ctx context.Context, w http.ResponseWriter, a attempt, send exchange) (bool, error) {
	m.count(func(c *Counters) { c.Attempts++ })
	w.Header().Set(headerReplica, a.lease.Replica.ID)
	w.Header().Set(headerAttempts, strconv.Itoa(a.number))
	started := m.now()
	committed, err := send(ctx, w, a)
	a.lease.Done(err, m.now().Sub(started))
	m.noteRejected(a, err)
	var cut *cutAnswer
	if errors.As(err, &cut) {
		panic(http.ErrAbortHandler)
	}
	return committed, err
}

func (m *Manager) noteRejected(a attempt, err error) {
	switch fault.KindOf(err) {
	case fault.Truncated, fault.Mismatched, fault.Untagged:
		m.count(func(c *Counters) { c.Rejected++ })
		m.parts.Log.Log(event.AnswerRejected, event.F("request", a.id),
			event.F("replica", a.lease.Replica.ID), event.Err(err))
	}
}

// pick chooses a replica that was not tried. When there is no other and only the
// connection failed, it chooses any: the next attempt uses a fresh connection.
func (m *Manager) pick(ctx context.Context, c *call, tried []string, last error) (routing.Lease, error) {
	lease, err := m.parts.Picker.Pick(ctx, c.routingRequest(tried))
	if err != nil && fault.Is(last, fault.Unavailable) {
		return m.parts.Picker.Pick(ctx, c.routingRequest(nil))
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

// claim makes a keyed non-idempotent call the only one with its key.
func (m *Manager) claim(ctx context.Context, c *call) error {
	if c.idempotent || c.key == "" {
		return nil
	}
	err := m.parts.Claimer.Claim(ctx, claims.Claim{
		Service:     c.document.Service,
		Key:         c.key,
		Fingerprint: c.fingerprint(),
	})
	c.claimed = err == nil
	if c.claimed {
		m.parts.Recorder.Kept(alarm.AtMostOnce, c.document.Service)
	}
	return err
}

// mayRetry allows another attempt of an idempotent call. A non-idempotent one is
// tried again only under its claim and only when no server started it.
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
		m.parts.Log.Log(event.RetriesExhausted, event.F("service", c.document.Service))
		return false
	}
	m.parts.Log.Log(event.RequestRetried, event.F("request", c.requestID), event.Err(err))
	return true
}

func retryable(err error) bool {
	switch fault.KindOf(err) {
	case fault.Unavailable, fault.Overloaded, fault.Draining, fault.Truncated, fault.Mismatched, fault.Untagged:
		return true
	}
	return false
}

// worse returns the error that tells more of what may have happened: once an
// attempt may have run, the request's outcome stays unknown.
func worse(earlier, later error) error {
	if earlier == nil || fault.OutcomeOf(earlier) == fault.NotRun {
		return later
	}
	if fault.OutcomeOf(later) != fault.NotRun {
		return later
	}
	return earlier
}

func firstError(last, err error) error {
	if last != nil {
		return last
	}
	return err
}
