// Package gateway carries requests of callers to replicas: it follows the configuration
// in force, repeats what may be repeated and answers each request once.
package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/hornbeamtide/hornbeamtide/catalog"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/measure"
	"github.com/hornbeamtide/hornbeamtide/placement"
	"github.com/hornbeamtide/hornbeamtide/upstream"
)

const (
	// answerMargin is kept of a deadline for the way of the answer to the caller.
	answerMargin = 20 * time.Millisecond
	// maxHeldBody is the largest answer that is read whole before its first byte is
	// passed on, so that one which breaks off can be repeated.
	maxHeldBody = 1 << 20
	// defaultTimeout is that of routes that name none.
	defaultTimeout = 30 * time.Second
)

// Request is a caller's request as it came in.
type Request struct {
	ID     string
	Method string
	Target string // path and query
	Host   string
	Header http.Header
	Body   []byte
	Left   time.Duration // the caller waits no longer, 0 when it names no deadline
	// ResumeAfter is the last event of a stream that the caller has, 0 for none.
	ResumeAfter int64
	Model       string // that must run it, "" when any will do
	Affinity    string // key of a shared prompt
}

// Gateway forwards requests.
type Gateway struct {
	backend  upstream.Backend
	tracker  *placement.Tracker
	measures *measure.Set
	log      *event.Logger
	blame    *blame
	budget   *budget
	counts   counters
}

// New returns a gateway.
func New(backend upstream.Backend, tracker *placement.Tracker, measures *measure.Set, log *event.Logger) *Gateway {
	return &Gateway{backend: backend, tracker: tracker, measures: measures, log: log, blame: newBlame(), budget: newBudget()}
}

// attempt is a request on its way.
type attempt struct {
	*Gateway

	request  Request
	route    *catalog.Route
	begun    time.Time
	deadline time.Time // of the answer
	tried    map[string]bool
	sent     int    // replicas to which it was sent
	mayRan   bool   // a replica may have run it
	last     error  // why the last replica did not serve
	server   string // that served
	status   int    // of its answer
}

// Deadline returns when a request must be answered: the earlier of the caller's deadline
// and the route's timeout.
func Deadline(route *catalog.Route, left time.Duration) time.Time {
	limit := route.Timeout
	if limit <= 0 {
		limit = defaultTimeout
	}
	if left > 0 {
		limit = min(limit, left)
	}
	return time.Now().Add(limit - answerMargin)
}

// mayRepeat says whether a request that may have run may be sent again.
func mayRepeat(route *catalog.Route) bool {
	return route.Kind == catalog.Idempotent || route.Kind == catalog.Streaming && route.Resumable
}

// Forward sends the request to replicas of the route's service until one serves it, and
// writes the answer. An error means that nothing was written; its outcome is
// fault.NotRun only if no replica ran the request or ever will.
func (g *Gateway) Forward(ctx context.Context, w http.ResponseWriter, route *catalog.Route, request Request) error {
	a := &attempt{
		Gateway: g, request: request, route: route, begun: time.Now(),
		deadline: Deadline(route, request.Left), tried: map[string]bool{},
	}
	ctx, cancel := context.WithDeadline(ctx, a.deadline)
	defer cancel()
	g.counts.requests.Add(1)
	g.budget.earn()
	err := errCut // what holds if run panics because the answer broke off
	defer func() { a.ended(ctx, err) }()
	err = a.run(ctx, w)
	return err
}

// errCut says that a part of the answer was passed on and the rest is not.
var errCut = fault.New(fault.Truncated, "the answer broke off on its way to the caller", "resume or repeat it")

// run makes attempts until one serves, none is left or the deadline passes.
func (a *attempt) run(ctx context.Context, w http.ResponseWriter) error {
	for {
		if ctx.Err() != nil {
			return a.outOfTime(ctx)
		}
		if a.sent >= a.route.MaxAttempts {
			return a.giveUp()
		}
		lease := a.pick()
		if lease == nil {
			return a.giveUp()
		}
		a.logPlaced(lease)
		a.tried[lease.ID] = true
		served, err := a.try(ctx, w, lease)
		if served {
			return nil
		}
		a.tell(lease, err)
		a.last = err
		if a.mayRan && !mayRepeat(a.route) {
			return a.giveUp()
		}
	}
}

func (a *attempt) pick() *placement.Lease { return a.tracker.Pick(a.needs()) }

// needs are what the replica of the next attempt must be.
func (a *attempt) needs() placement.Request {
	return placement.Request{
		Service: ChooseService(a.route.Split, rand.Float64()), Exclude: a.tried,
		Model: a.request.Model, Affinity: a.request.Affinity,
	}
}

// ChooseService takes a share of the split; point is from 0 up to 1.
func ChooseService(split []catalog.Share, point float64) string {
	var total float64
	for _, s := range split {
		total += s.Weight
	}
	point *= total
	for _, s := range split {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	if len(split) > 0 {
		return split[0].Service
	}
	return ""
}

// retryPause is when a caller may come back whose request found every replica full: about
// the time that a replica needs to finish one request.
const retryPause = 60 * time.Millisecond

// giveUp returns the final error: not run only if that is certain.
func (a *attempt) giveUp() error {
	if a.mayRan {
		return fault.Wrap(orUnknown(a.last), fault.Ambiguous, "the request may have run and got no whole answer",
			"look at its effect before sending it again", fault.WithOutcome(fault.Unknown)) // whatever the last replica said
	}
	if a.last == nil {
		return fault.New(fault.Unavailable, "no replica can take the request", "send it again later",
			fault.WithOutcome(fault.NotRun), fault.WithRetryAfter(4*retryPause))
	}
	return fault.Wrap(a.last, fault.Overloaded, "no replica took the request", "send it again later",
		fault.WithOutcome(fault.NotRun), fault.WithRetryAfter(retryPause))
}

func orUnknown(err error) error {
	if err != nil {
		return err
	}
	return fault.New(fault.Unavailable, "no answer", "")
}

func (a *attempt) outOfTime(ctx context.Context) error {
	if !a.mayRan {
		return fault.Wrap(ctx.Err(), fault.Deadline, "no replica took the request in time", "allow more time", fault.WithOutcome(fault.NotRun))
	}
	return fault.Wrap(ctx.Err(), fault.Deadline, "the request was not answered in time", "allow more time")
}
