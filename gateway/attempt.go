package gateway

import (
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

// minRunTime is the time from the start of an attempt from which a connection that breaks counts as broken
// while the request ran. One that is refused or was closed before breaks within a round trip.
const minRunTime = 5 * time.Millisecond

// tryReplica sends the request to one replica. served is true if the caller got its
// response.
func (p *pendingRequest) tryReplica(ctx context.Context, w http.ResponseWriter, lease *placement.Lease) (served bool, err error) {
	started := time.Now()
	defer lease.Done(placement.Inconclusive, nil, 0) // counts only if the attempt panics
	ctx, responseStarted, stop := p.withAttemptTimeout(ctx)
	defer stop()
	resp, err := p.backend.Send(ctx, upstream.Call{
		Replica: lease.Replica, RequestID: p.request.ID, Method: p.request.Method, Target: p.request.Target,
		Host: p.request.Host, Header: p.request.Header, Body: p.request.Body,
		RemainingTime: time.Until(p.deadline), ResumeAfter: p.request.ResumeAfter, Retryable: isRetryable(p.route),
		Organisation: p.request.Organisation,
	})
	p.observeHead(resp, err, time.Since(started))
	responseStarted()
	if err != nil {
		if errors.Is(context.Cause(ctx), errAttemptTimeout) {
			err = errAttemptTimeout // its outcome is unknown
		}
		p.logBrokenConnection(lease, err, time.Since(started))
		p.recordBreak(lease, err)
		var broken *upstream.BrokenError
		if errors.As(err, &broken) && time.Since(started) >= minRunTime {
			p.countRun(started) // the replica received the request, so it most likely began to run it
		}
		p.countAttempt(fault.OutcomeOf(err) == fault.NotRun)
		lease.Done(p.failureOutcome(ctx, lease.ID, err), nil, 0)
		return false, err
	}
	defer resp.Body.Close()
	if resp.NotRun {
		p.sentCount++
		lease.Done(placement.Refused, resp.Load, 0)
		p.log.Log(event.GatewayReplicaRefused, event.F("request", p.request.ID), event.F("replica", lease.ID), event.F("status", resp.Status))
		return false, fault.New(fault.Overloaded, "replica "+lease.ID+" is full", "try another replica", fault.WithOutcome(fault.NotRun))
	}
	p.countAttempt(false)
	p.countRun(started)
	if resp.Status < 300 && !resp.Signed {
		lease.Done(placement.Failed, nil, 0)
		return false, fault.New(fault.Mismatched, "replica "+lease.ID+" did not sign its response", "try another replica")
	}
	if p.route.Kind == catalog.Streaming {
		return p.writeStream(ctx, w, lease, resp)
	}
	return p.writeResponse(ctx, w, lease, resp, started)
}

func (p *pendingRequest) observeHead(resp *upstream.Response, err error, duration time.Duration) {
	outcome := outcomeAnswered
	switch {
	case err != nil:
		outcome = outcomeFailed
	case resp.NotRun:
		outcome = outcomeNotRun
	}
	p.measures.Observe(measure.RequestHead, duration, p.route.Name, outcome)
}

// countAttempt counts an attempt that reached a replica, unless it certainly did not run.
func (p *pendingRequest) countAttempt(notRun bool) {
	if !notRun {
		p.sentCount++
		p.mayHaveRun = true
	}
}

// countRun counts the request once. A stream begins to run with its first event, which comes right
// after the head of the response; any other request when it reaches its replica.
func (p *pendingRequest) countRun(sentAt time.Time) {
	if p.isCounted {
		return
	}
	p.isCounted = true
	if p.route.Kind == catalog.Streaming {
		sentAt = time.Now()
	}
	p.onRun(p.request.Organisation, sentAt)
}

// failureOutcome returns the outcome of an attempt without a complete response. It does not
// count against the replica if the caller disconnected, if requests of the route time out on other
// replicas too, or if the request was not sent because of the replica's request limit.
func (p *pendingRequest) failureOutcome(ctx context.Context, replica string, err error) placement.Outcome {
	attemptTimedOut := errors.Is(context.Cause(ctx), errAttemptTimeout)
	switch {
	case errors.Is(ctx.Err(), context.Canceled) && !attemptTimedOut, errors.Is(err, upstream.ErrRateLimited):
		return placement.Inconclusive
	case (attemptTimedOut || errors.Is(ctx.Err(), context.DeadlineExceeded)) && !p.timeouts.recordTimeout(p.route.Name, replica):
		return placement.Inconclusive
	}
	return placement.Failed
}

// writeResponse sends the response to the caller. If the response is truncated before its
// first byte was sent to the caller, the request may be retried. While the memory for buffered
// responses is used up, less of the response is buffered or nothing.
func (p *pendingRequest) writeResponse(ctx context.Context, w http.ResponseWriter, lease *placement.Lease, resp *upstream.Response, started time.Time) (bool, error) {
	holder := p.buffers.Holder(maxBufferedBody)
	defer holder.Release()
	head, complete, err := holder.ReadParts(resp.Body, resp.Length, maxBufferedBody)
	if err != nil {
		lease.Done(p.failureOutcome(ctx, lease.ID, err), resp.Load, 0)
		return false, fault.Wrap(err, fault.Truncated, "the response of replica "+lease.ID+" was truncated", "try another replica")
	}
	p.recordSurvival()
	if complete && p.shouldRetry(resp) {
		lease.Done(placement.Answered, resp.Load, 0)
		return false, fault.New(fault.Unavailable, "replica "+lease.ID+" failed with status "+strconv.Itoa(resp.Status), "try another replica")
	}
	lease.Done(placement.Answered, resp.Load, time.Since(started))
	p.timeouts.recordResponse(p.route.Name)
	p.servedBy, p.status = lease.ID, resp.Status
	copyHeader(w.Header(), resp.Header)
	if complete {
		w.Header().Set("Content-Length", strconv.Itoa(totalLength(head)))
	}
	w.WriteHeader(resp.Status)
	if p.request.Method == http.MethodHead {
		return true, nil
	}
	for _, part := range head {
		if _, err := w.Write(part); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
	if complete {
		return true, nil
	}
	if _, err := io.Copy(w, resp.Body); err != nil {
		panic(http.ErrAbortHandler) // closes the connection, so that the caller detects the truncation
	}
	return true, nil
}

func totalLength(parts [][]byte) int {
	total := 0
	for _, part := range parts {
		total += len(part)
	}
	return total
}

// shouldRetry reports whether the response is a server error and another attempt is allowed.
func (p *pendingRequest) shouldRetry(resp *upstream.Response) bool {
	return resp.Status >= http.StatusInternalServerError && isRetryable(p.route) &&
		p.sentCount < p.route.MaxAttempts && time.Until(p.deadline) > 2*responseMargin
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}
