package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/hornbeamtide/hornbeamtide/catalog"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/measure"
	"github.com/hornbeamtide/hornbeamtide/placement"
	"github.com/hornbeamtide/hornbeamtide/upstream"
)

// try sends the request to one replica. It reports whether the caller got its answer.
func (a *attempt) try(ctx context.Context, w http.ResponseWriter, lease *placement.Lease) (served bool, err error) {
	started := time.Now()
	ctx, headCame, end := a.watch(ctx)
	defer end()
	answer, err := a.backend.Send(ctx, upstream.Call{
		Replica: lease.Replica, RequestID: a.request.ID, Method: a.request.Method, Target: a.request.Target,
		Host: a.request.Host, Header: a.request.Header, Body: a.request.Body,
		Left: time.Until(a.deadline), ResumeAfter: a.request.ResumeAfter, MayRepeat: mayRepeat(a.route),
	})
	a.measureHead(answer, err, time.Since(started))
	headCame()
	if err != nil {
		if errors.Is(context.Cause(ctx), errSilent) {
			err = errSilent // its outcome is unknown
		}
		a.sentUnless(fault.OutcomeOf(err) == fault.NotRun)
		lease.Done(a.broke(ctx, lease.ID), nil, 0)
		return false, err
	}
	defer answer.Body.Close()
	if answer.NotRun {
		a.sent++
		lease.Done(placement.Refused, answer.Load, 0)
		a.log.Log(event.GatewayShed, event.F("request", a.request.ID), event.F("replica", lease.ID), event.F("status", answer.Status))
		return false, fault.New(fault.Overloaded, "replica "+lease.ID+" is full", "try another replica", fault.WithOutcome(fault.NotRun))
	}
	a.sentUnless(false)
	if answer.Status < 300 && !answer.Signed {
		lease.Done(placement.Broke, nil, 0)
		return false, fault.New(fault.Mismatched, "replica "+lease.ID+" did not sign its answer", "try another replica")
	}
	if a.route.Kind == catalog.Streaming {
		return a.stream(ctx, w, lease, answer)
	}
	return a.deliver(ctx, w, lease, answer, started)
}

func (a *attempt) measureHead(answer *upstream.Answer, err error, took time.Duration) {
	outcome := answered
	switch {
	case err != nil:
		outcome = failed
	case answer.NotRun:
		outcome = notRun
	}
	a.measures.Observe(measure.RequestHead, took, a.route.Name, outcome)
}

// sentUnless counts an attempt that reached a replica.
func (a *attempt) sentUnless(notRun bool) {
	if !notRun {
		a.sent++
		a.mayRan = true
	}
}

// broke is the outcome of a request without a whole answer: no evidence against the replica
// if the caller left, or if the route leaves its requests too little time.
func (a *attempt) broke(ctx context.Context, replica string) placement.Outcome {
	silent := errors.Is(context.Cause(ctx), errSilent)
	switch {
	case errors.Is(ctx.Err(), context.Canceled) && !silent:
		return placement.Unclear
	case (silent || errors.Is(ctx.Err(), context.DeadlineExceeded)) && !a.blame.outOfTime(a.route.Name, replica):
		return placement.Unclear
	}
	return placement.Broke
}

// deliver passes a whole answer on. One that breaks off before its first byte was passed
// on may be repeated.
func (a *attempt) deliver(ctx context.Context, w http.ResponseWriter, lease *placement.Lease, answer *upstream.Answer, started time.Time) (bool, error) {
	head, err := io.ReadAll(io.LimitReader(answer.Body, maxHeldBody))
	if err != nil {
		lease.Done(a.broke(ctx, lease.ID), answer.Load, 0)
		return false, fault.Wrap(err, fault.Truncated, "the answer of replica "+lease.ID+" broke off", "try another replica")
	}
	whole := len(head) < maxHeldBody
	if whole && a.worthRepeating(answer) {
		lease.Done(placement.Answered, answer.Load, 0)
		return false, fault.New(fault.Unavailable, "replica "+lease.ID+" failed with status "+strconv.Itoa(answer.Status), "try another replica")
	}
	lease.Done(placement.Answered, answer.Load, time.Since(started))
	a.blame.answered(a.route.Name)
	a.server, a.status = lease.ID, answer.Status
	copyHeader(w.Header(), answer.Header)
	if whole {
		w.Header().Set("Content-Length", strconv.Itoa(len(head)))
	}
	w.WriteHeader(answer.Status)
	if a.request.Method == http.MethodHead {
		return true, nil
	}
	if _, err := io.Copy(w, io.MultiReader(bytes.NewReader(head), answer.Body)); err != nil {
		panic(http.ErrAbortHandler) // the caller must not take a part for the whole
	}
	return true, nil
}

// worthRepeating says whether another replica may do better than this failure.
func (a *attempt) worthRepeating(answer *upstream.Answer) bool {
	return answer.Status >= http.StatusInternalServerError && mayRepeat(a.route) &&
		a.sent < a.route.MaxAttempts && time.Until(a.deadline) > 2*answerMargin
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}
