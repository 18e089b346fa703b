package backend

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fault"
)

// noLimit leaves the wait for response headers to the context.
const noLimit time.Duration = 0

// errStalled is the cancel cause of a request whose server made no progress in time.
var errStalled = errors.New("no progress within the deadline")

// call is one request in progress. cancel closes its connection.
type call struct {
	server   *server
	ctx      context.Context
	cancel   context.CancelCauseFunc
	exchange exchange
	response *http.Response
}

// send sends r exactly once and waits for the response headers within the first byte
// deadline. The caller has made sure that the transport can't replay r. A returned call
// must be released or aborted.
func (s *server) send(ctx context.Context, r *http.Request) (*call, error) {
	return s.sendWithin(ctx, r, s.timeouts.Connect+s.timeouts.FirstByte)
}

// sendWithin is send with another limit; noLimit leaves the bound to ctx.
func (s *server) sendWithin(ctx context.Context, r *http.Request, limit time.Duration) (*call, error) {
	if err := ctx.Err(); err != nil {
		return nil, ended(err, fault.NotRun)
	}
	s.counters.requests.Add(1)
	s.inProgress.Add(1)
	c := &call{server: s}
	c.ctx, c.cancel = context.WithCancelCause(ctx)
	context.AfterFunc(c.ctx, func() { s.inProgress.Add(-1) })
	if limit != noLimit {
		timer := time.AfterFunc(limit, func() { c.cancel(errStalled) })
		defer timer.Stop()
	}
	response, err := s.transport.RoundTrip(r.WithContext(c.exchange.trace(c.ctx)))
	if err != nil {
		outcome := c.exchange.abandon()
		s.counters.count(outcome)
		failure := c.failure(err, outcome)
		c.cancel(context.Canceled)
		return nil, failure
	}
	c.response = response
	return c, nil
}

// failure types the error that ended the call.
func (c *call) failure(err error, outcome fault.Outcome) error {
	cause := context.Cause(c.ctx)
	if errors.Is(cause, errStalled) {
		c.server.stalled()
		return fault.Wrap(errStalled, fault.Unavailable, "backend server "+c.server.address,
			"look whether the server hangs; idempotent requests are retried elsewhere", fault.WithOutcome(outcome))
	}
	if cause != nil {
		return ended(cause, outcome)
	}
	return fault.Wrap(err, fault.Unavailable, "backend server "+c.server.address,
		"look whether the server runs; idempotent requests are retried elsewhere", fault.WithOutcome(outcome))
}

// ended types the end of a request by its own context.
func ended(cause error, outcome fault.Outcome) error {
	if errors.Is(cause, context.DeadlineExceeded) {
		return fault.Wrap(cause, fault.Deadline, "the request's deadline passed", "send it with a longer deadline", fault.WithOutcome(outcome))
	}
	return fault.Wrap(cause, fault.Canceled, "the request was canceled", "", fault.WithOutcome(outcome))
}

// stalled closes the idle connections to the server: they may be silent for good too,
// and the next request finds out on a fresh one.
func (s *server) stalled() {
	s.counters.stalls.Add(1)
	s.transport.CloseIdleConnections()
	s.log.Log(event.BackendStalled, event.F("server", s.address))
}

// mismatch reports an answer that belongs to another request. The connection is
// closed, since every later answer on it may be crossed too.
func (c *call) mismatch(message string) error {
	c.abort()
	c.server.counters.mismatched.Add(1)
	c.server.log.Log(event.BackendMismatched, event.F("server", c.server.address), event.F("detail", message))
	return fault.New(fault.Mismatched, "backend server "+c.server.address+": "+message,
		"look for a fault in the server; idempotent requests are retried elsewhere", fault.WithOutcome(fault.Unknown))
}

// abort closes the connection, which cancels the request on the server.
func (c *call) abort() {
	c.cancel(context.Canceled)
	_ = c.response.Body.Close()
}

// release ends a call whose response was read to its end; its connection is reused.
func (c *call) release() {
	_ = c.response.Body.Close()
	c.cancel(context.Canceled)
}

// guard ends a call that makes no progress.
type guard struct {
	timer    *time.Timer
	limit    time.Duration
	stopWait func() bool
}

// guard ends the call when ctx ends, or when the progress deadline passes without a
// call of progress, until stop is called.
func (c *call) guard(ctx context.Context) guard {
	limit := c.server.timeouts.Progress
	return guard{
		timer:    time.AfterFunc(limit, func() { c.cancel(errStalled) }),
		limit:    limit,
		stopWait: context.AfterFunc(ctx, func() { c.cancel(context.Cause(ctx)) }),
	}
}

func (g guard) progress() { g.timer.Reset(g.limit) }

func (g guard) stop() {
	g.timer.Stop()
	g.stopWait()
}

// refusal types a response that says the server did not start or finish the request;
// nil for any other. requestID is what the server must echo when it echoes any.
func (c *call) refusal(requestID string) error {
	header := c.response.Header
	if echoed := header.Get(HeaderRequestID); echoed != "" && echoed != requestID {
		return c.mismatch("answered request " + echoed + " instead of " + requestID)
	}
	if c.response.StatusCode != http.StatusServiceUnavailable || header.Get(HeaderNotStarted) != "true" {
		return nil
	}
	c.discard()
	if header.Get(HeaderLeaving) == "true" {
		return fault.New(fault.Draining, "backend server "+c.server.address+" takes no new work",
			"try another replica", fault.WithOutcome(fault.NotRun))
	}
	return fault.New(fault.Overloaded, "backend server "+c.server.address+" did not start the request",
		"try another replica or later", fault.WithOutcome(fault.NotRun), fault.WithRetryAfter(notStartedRetry))
}
