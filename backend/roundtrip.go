package backend

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fault"
)

// noTimeout disables the timeout for the response headers; only the context limits the wait.
const noTimeout time.Duration = 0

// errStalled is the cancel cause of a request whose server made no progress within the
// timeout.
var errStalled = errors.New("no progress within the timeout")

// call is one request in progress. cancel ends it and closes its connection.
type call struct {
	server    *server
	ctx       context.Context
	cancel    context.CancelCauseFunc
	connTrace connTrace
	response  *http.Response
}

// send sends r once and waits for the response headers until the connect and first-byte
// timeouts have passed. The caller must have called preventReplay, so that the transport
// can't resend r. A returned call must be released or aborted.
func (s *server) send(ctx context.Context, r *http.Request) (*call, error) {
	return s.sendWithTimeout(ctx, r, s.timeouts.Connect+s.timeouts.FirstByte)
}

// sendWithTimeout is like send with another timeout, or with noTimeout.
func (s *server) sendWithTimeout(ctx context.Context, r *http.Request, timeout time.Duration) (*call, error) {
	if err := ctx.Err(); err != nil {
		return nil, contextError(err, fault.NotRun)
	}
	s.counters.requests.Add(1)
	s.callsInProgress.Add(1)
	c := &call{server: s}
	c.ctx, c.cancel = context.WithCancelCause(ctx)
	context.AfterFunc(c.ctx, func() { s.callsInProgress.Add(-1) })
	if timeout != noTimeout {
		timer := time.AfterFunc(timeout, func() { c.cancel(errStalled) })
		defer timer.Stop()
	}
	response, err := s.transport.RoundTrip(r.WithContext(c.connTrace.withClientTrace(c.ctx)))
	if err != nil {
		outcome := c.connTrace.closeConn()
		s.counters.countFailure(outcome)
		failure := c.roundTripError(err, outcome)
		c.cancel(context.Canceled)
		return nil, failure
	}
	c.response = response
	return c, nil
}

// roundTripError returns the error of a call that failed with err.
func (c *call) roundTripError(err error, outcome fault.Outcome) error {
	cause := context.Cause(c.ctx)
	if errors.Is(cause, errStalled) {
		c.server.handleStall()
		return fault.Wrap(errStalled, fault.Unavailable, "backend server "+c.server.address,
			"check whether the server hangs; idempotent requests are retried elsewhere", fault.WithOutcome(outcome))
	}
	if cause != nil {
		return contextError(cause, outcome)
	}
	return fault.Wrap(err, fault.Unavailable, "backend server "+c.server.address,
		"check whether the server is running; idempotent requests are retried elsewhere", fault.WithOutcome(outcome))
}

// contextError returns the error of a request whose own context ended.
func contextError(cause error, outcome fault.Outcome) error {
	if errors.Is(cause, context.DeadlineExceeded) {
		return fault.Wrap(cause, fault.Deadline, "the request's deadline passed", "send it with a longer deadline", fault.WithOutcome(outcome))
	}
	return fault.Wrap(cause, fault.Canceled, "the request was canceled", "", fault.WithOutcome(outcome))
}

// handleStall closes the idle connections to the server, since they may have stalled too.
// The next request opens a new one.
func (s *server) handleStall() {
	s.counters.stalls.Add(1)
	s.transport.CloseIdleConnections()
	s.log.Log(event.BackendStalled, event.F("server", s.address))
}

// mismatchError ends the call and returns the error for a response that belongs to another
// request. It closes the connection, since later responses on it may be mismatched too.
func (c *call) mismatchError(message string) error {
	c.abort()
	c.server.counters.mismatches.Add(1)
	c.server.log.Log(event.BackendMismatched, event.F("server", c.server.address), event.F("detail", message))
	return fault.New(fault.Mismatched, "backend server "+c.server.address+": "+message,
		"check the server for a fault; idempotent requests are retried elsewhere", fault.WithOutcome(fault.Unknown))
}

// abort ends the call and closes its connection, which cancels the request on the server.
func (c *call) abort() {
	c.cancel(context.Canceled)
	_ = c.response.Body.Close()
}

// release ends a call whose response was read to its end, so that its connection is reused.
func (c *call) release() {
	_ = c.response.Body.Close()
	c.cancel(context.Canceled)
}

// progressTimer cancels a call that makes no progress.
type progressTimer struct {
	timer           *time.Timer
	timeout         time.Duration
	stopContextFunc func() bool
}

// startProgressTimer returns a timer that cancels the call when ctx ends, or when the
// progress timeout passes without a reset. The caller must stop it.
func (c *call) startProgressTimer(ctx context.Context) progressTimer {
	timeout := c.server.timeouts.Progress
	return progressTimer{
		timer:           time.AfterFunc(timeout, func() { c.cancel(errStalled) }),
		timeout:         timeout,
		stopContextFunc: context.AfterFunc(ctx, func() { c.cancel(context.Cause(ctx)) }),
	}
}

func (p progressTimer) reset() { p.timer.Reset(p.timeout) }

func (p progressTimer) stop() {
	p.timer.Stop()
	p.stopContextFunc()
}

// headerError checks the response headers. It returns an error if the server echoes a
// request ID other than requestID or did not start the request, else nil. A response
// without a request ID passes.
func (c *call) headerError(requestID string) error {
	header := c.response.Header
	if echoed := header.Get(HeaderRequestID); echoed != "" && echoed != requestID {
		return c.mismatchError("responded to request " + echoed + " instead of " + requestID)
	}
	if c.response.StatusCode != http.StatusServiceUnavailable || header.Get(HeaderNotStarted) != "true" {
		return nil
	}
	c.discard()
	if header.Get(HeaderLeaving) == "true" {
		return fault.New(fault.Draining, "backend server "+c.server.address+" is draining and accepts no new requests",
			"try another replica", fault.WithOutcome(fault.NotRun))
	}
	return fault.New(fault.Overloaded, "backend server "+c.server.address+" did not start the request",
		"try another replica or retry later", fault.WithOutcome(fault.NotRun), fault.WithRetryAfter(notStartedRetryDelay))
}
