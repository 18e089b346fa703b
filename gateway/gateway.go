// Package gateway forwards requests of callers to replicas according to the configuration
// in force. It retries where the route allows it and responds to each request once.
package gateway

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hornbeamtide/hornbeamtide/catalog"
	"github.com/hornbeamtide/hornbeamtide/connlimit"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/measure"
	"github.com/hornbeamtide/hornbeamtide/placement"
	"github.com/hornbeamtide/hornbeamtide/upstream"
)

const (
	// responseMargin is the part of a deadline reserved for sending the response to the
	// caller.
	responseMargin = 20 * time.Millisecond
	// maxBufferedBody is the size up to which a response body is buffered before its first
	// byte is sent to the caller, so that the request can be retried if it is truncated.
	maxBufferedBody = 1 << 20
	// defaultTimeout applies to routes without a timeout.
	defaultTimeout = 30 * time.Second
)

// Request is a request as received from the caller.
type Request struct {
	ID            string
	Method        string
	Target        string // path and query
	Host          string
	Header        http.Header
	Body          []byte
	RemainingTime time.Duration // time until the caller's deadline, 0 for none
	// ResumeAfter is the ID of the last stream event that the caller received, 0 for none.
	ResumeAfter int64
	Model       string // required model, "" for any
	Caller      string // address of the caller, without the port
	AffinityKey string // key of requests that share a prompt
	// Organisation is the one that sent the request, "" for none.
	Organisation string
	// Admit returns an error with outcome fault.NotRun if the request may not be sent to a replica now;
	// nil for requests that always may.
	Admit func() error
}

// Gateway forwards requests.
type Gateway struct {
	backend  upstream.Backend
	tracker  *placement.Tracker
	measures *measure.Set
	log      *event.Logger
	guard    Guard
	timeouts *timeoutTracker
	budget   *retryBudget
	buffers  *connlimit.Budget // of response bodies that are buffered before their first byte is sent
	usual    *usualTimes
	stopBy   atomic.Pointer[time.Time] // nil unless the daemon is stopping
	counts   counters
	onRun    func(organisation string, begunAt time.Time)
}

// Guard keeps requests that crash replicas away from them. Requests with the same fingerprint are the
// same request.
type Guard interface {
	// IsIdle reports whether no request is suspected.
	IsIdle() bool
	// IsSuspected reports whether Check may refuse the request.
	IsSuspected(fingerprint string) bool
	// Check returns an error, with outcome fault.NotRun, if the request may not be sent to a replica now.
	// healthy are the healthy replicas of its service that it has not been sent to, listed is the number
	// of all.
	Check(fingerprint string, healthy []catalog.Replica, listed int) error
	// RecordBreak records that the connection to a replica broke while the request was in flight there,
	// so that the replica may have ended. It may take some milliseconds to find out.
	RecordBreak(fingerprint string, replica catalog.Replica)
	// RecordResponse records that a replica responded to the request.
	RecordResponse(fingerprint string)
}

// New returns a gateway.
func New(backend upstream.Backend, tracker *placement.Tracker, guard Guard, measures *measure.Set, log *event.Logger) *Gateway {
	return &Gateway{
		backend: backend, tracker: tracker, guard: guard, measures: measures, log: log, timeouts: newTimeoutTracker(), budget: newRetryBudget(),
		buffers: connlimit.NewBudget(math.MaxInt64), usual: newUsualTimes(), onRun: func(string, time.Time) {},
	}
}

// LimitBuffers sets the memory for buffered responses; without it there is no limit. It must be called
// before Forward.
func (g *Gateway) LimitBuffers(buffers *connlimit.Budget) { g.buffers = buffers }

// OnRun calls f once for each request that a replica began to run, with the organisation that sent it
// and the time at which it began. It must be called before Forward. f must not block.
func (g *Gateway) OnRun(f func(organisation string, begunAt time.Time)) { g.onRun = f }

// pendingRequest is the state of a request that is being forwarded.
type pendingRequest struct {
	*Gateway

	request    Request
	route      *catalog.Route
	started    time.Time
	deadline   time.Time // for the response
	tried      map[string]bool
	sentCount  int    // number of replicas to which the request was sent
	mayHaveRun bool   // a replica may have run the request
	isCounted  bool   // onRun was called
	lastErr    error  // error of the last failed attempt
	servedBy   string // ID of the replica that responded
	status     int    // HTTP status of the response

	computedFingerprint string // "" until it is needed
}

// Deadline returns the deadline for the response of a replica: the earlier of the caller's
// deadline and the route's timeout, less responseMargin.
func Deadline(route *catalog.Route, remaining time.Duration) time.Time {
	limit := route.Timeout
	if limit <= 0 {
		limit = defaultTimeout
	}
	if remaining > 0 {
		limit = min(limit, remaining)
	}
	return time.Now().Add(limit - responseMargin)
}

// isRetryable reports whether a request that may have run may be sent again.
func isRetryable(route *catalog.Route) bool {
	return route.Kind == catalog.Idempotent || route.Kind == catalog.Streaming && route.Resumable
}

// Forward sends the request to replicas of the route's service until one serves it, and
// writes the response. It returns an error only if nothing was written. The error's outcome
// is fault.NotRun only if no replica has run the request or will run it.
func (g *Gateway) Forward(ctx context.Context, w http.ResponseWriter, route *catalog.Route, request Request) error {
	p := &pendingRequest{
		Gateway: g, request: request, route: route, started: time.Now(),
		deadline: Deadline(route, request.RemainingTime), tried: map[string]bool{},
	}
	ctx, cancel := context.WithDeadline(ctx, p.deadline)
	defer cancel()
	g.counts.requests.Add(1)
	g.budget.deposit()
	err := errResponseTruncated // applies if run panics because the response was truncated
	defer func() { p.recordResult(ctx, err) }()
	err = p.run(ctx, w)
	return err
}

// errResponseTruncated reports that only a part of the response was sent to the caller.
var errResponseTruncated = fault.New(fault.Truncated, "the response to the caller was truncated", "resume or repeat it")

// run makes attempts until one succeeds, none is left or the deadline passes.
func (p *pendingRequest) run(ctx context.Context, w http.ResponseWriter) error {
	for {
		if ctx.Err() != nil {
			return p.deadlineError(ctx)
		}
		if p.sentCount >= p.route.MaxAttempts {
			return p.finalError()
		}
		if err := p.admit(); err != nil {
			return p.guardError(err)
		}
		if err := p.checkGuard(); err != nil {
			return p.guardError(err)
		}
		if err := p.checkStop(); err != nil {
			return p.guardError(err)
		}
		lease := p.pick()
		if lease == nil && p.awaitRequestLimit(ctx) {
			continue
		}
		if lease == nil {
			return p.finalError()
		}
		p.logPlacement(lease)
		p.tried[lease.ID] = true
		served, err := p.tryReplica(ctx, w, lease)
		if served {
			return nil
		}
		p.logFailedAttempt(lease, err)
		p.lastErr = err
		if errors.Is(err, upstream.ErrRateLimited) {
			delete(p.tried, lease.ID) // it was not tried; the tracker picks it again once its limit allows
			continue
		}
		if p.mayHaveRun && !isRetryable(p.route) {
			return p.finalError()
		}
	}
}

func (p *pendingRequest) pick() *placement.Lease { return p.tracker.Pick(p.placementRequest()) }

// placementRequest returns the requirements for the replica of the next attempt.
func (p *pendingRequest) placementRequest() placement.Request {
	request := placement.Request{Exclude: p.tried, Model: p.request.Model, AffinityKey: p.request.AffinityKey}
	request.Service = chooseForAttempt(p.route.Split, rand.Float64(), func(service string) placement.Choice {
		request.Service = service
		return p.tracker.Explain(request)
	})
	return request
}

// retryDelay is the retry delay for a caller whose request found all replicas full: about
// the time in which a replica finishes one request.
const retryDelay = 60 * time.Millisecond

// finalError returns the error of a request that is not tried any further. Its outcome is
// fault.NotRun only if it is certain that no replica ran the request.
func (p *pendingRequest) finalError() error {
	if p.mayHaveRun {
		return fault.Wrap(orNoResponse(p.lastErr), fault.Ambiguous, "the request may have run and got no complete response",
			"check its effect before sending it again", fault.WithOutcome(fault.Unknown)) // overrides the outcome of the last replica's error
	}
	if p.lastErr == nil {
		return fault.New(fault.Unavailable, "no replica can accept the request", "send it again later",
			fault.WithOutcome(fault.NotRun), fault.WithRetryAfter(p.retryAfter(4*retryDelay)))
	}
	return fault.Wrap(p.lastErr, fault.Overloaded, "no replica accepted the request", "send it again later",
		fault.WithOutcome(fault.NotRun), fault.WithRetryAfter(p.retryAfter(retryDelay)))
}

func orNoResponse(err error) error {
	if err != nil {
		return err
	}
	return fault.New(fault.Unavailable, "no response", "")
}

// deadlineError returns the error of a request whose context ended.
func (p *pendingRequest) deadlineError(ctx context.Context) error {
	switch {
	case stopTimeOver(ctx) && p.mayHaveRun:
		return fault.Wrap(ErrStopTimeOver, fault.Ambiguous, "the request may have run", "check its effect before sending it again", fault.WithOutcome(fault.Unknown))
	case stopTimeOver(ctx):
		return fault.Wrap(ErrStopTimeOver, fault.Draining, "no replica ran the request", "send it again to another daemon",
			fault.WithOutcome(fault.NotRun), fault.WithRetryAfter(stopRetryDelay))
	}
	if !p.mayHaveRun {
		return fault.Wrap(ctx.Err(), fault.Deadline, "no replica accepted the request before the deadline", "allow more time", fault.WithOutcome(fault.NotRun))
	}
	return fault.Wrap(ctx.Err(), fault.Deadline, "the request got no response before the deadline", "allow more time")
}
