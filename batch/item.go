package batch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hornbeamtide/hornbeamtide/catalog"
	"github.com/hornbeamtide/hornbeamtide/clock"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/measure"
	"github.com/hornbeamtide/hornbeamtide/placement"
	"github.com/hornbeamtide/hornbeamtide/upstream"
)

const (
	// firstEventTimeout and eventTimeout bound the wait for a replica's next event before the
	// item moves to another replica.
	firstEventTimeout = 4 * time.Second
	eventTimeout      = 2500 * time.Millisecond
	// fixedTimeouts is the number of timeouts of an item after which each further one doubles the
	// wait, at most maxTimeoutDoublings times.
	fixedTimeouts       = 2
	maxTimeoutDoublings = 5
	requeueDelay        = 30 * time.Millisecond
)

// waitForEvent returns how long an item waits for an event, given how often it has timed out. Load
// pattern: all replicas generate slowly but steadily. With a fixed wait an item whose events take
// longer would be interrupted before each of them and never be complete. A replica that hangs costs
// the fixed wait as long as others respond.
func waitForEvent(wait time.Duration, timeouts int) time.Duration {
	return wait << min(max(timeouts-fixedTimeouts, 0), maxTimeoutDoublings)
}

// errWeightsTooOld means that a replica generates with weights older than the batch allows.
var errWeightsTooOld = fault.New(fault.Stale, "the replica's weights are older than the batch allows", "wait until the replica has loaded newer weights")

func (r *run) routeOf(item *Item) (*catalog.Route, bool) {
	cfg := r.configuration()
	if cfg == nil {
		return nil, false
	}
	return cfg.Match(r.job.Host, item.Path)
}

// generate streams an item's completion from a replica and scores it when it is complete.
// An item that is not complete goes back into the queue.
func (r *run) generate(t *task, lease *placement.Lease) {
	defer lease.Done(placement.Inconclusive, nil, 0) // counts only if stream panics
	err := r.stream(t, lease)
	switch {
	case err == nil:
		r.score(t)
	case r.ctx.Err() != nil:
	case errors.Is(err, upstream.ErrRateLimited):
		r.requeue(t)
	case errors.Is(err, errItemFailed):
		r.finish(t.item, Result{ID: t.item.ID, State: Errored})
	default:
		r.log.Log(event.BatchItemMoved, event.F("batch", r.job.ID), event.F("item", t.item.ID),
			event.F("replica", lease.ID), event.F("events", len(r.completion(t.item.ID).Events)), event.Err(err))
		if t.tried == nil {
			t.tried = map[string]bool{}
		}
		t.tried[lease.ID] = true
		clock.Sleep(r.ctx, requeueDelay)
		r.requeue(t)
	}
}

// errEndNotConfirmed means that a replica has nothing to add to the events of another one whose stream
// broke off. The first one may have sent more than the completion has, so that no replica would ever end it
// where it ends. The completion starts over, but only once: a stream may also break right before its end.
var errEndNotConfirmed = fault.New(fault.Truncated, "the replica has no event after those of another one", "start the completion over")

// errItemFailed means that the replica rejected the item or that its attempts are used up.
var errItemFailed = fault.New(fault.Invalid, "the item failed and is not retried", "correct the item")

// stream sends an item to a replica and reads its events. A nil error means that the
// completion is complete.
func (r *run) stream(t *task, lease *placement.Lease) error {
	ctx, cancel := context.WithCancel(r.ctx)
	defer cancel()
	var timedOut atomic.Bool
	idleTimer := time.AfterFunc(waitForEvent(firstEventTimeout, t.timeouts), func() {
		timedOut.Store(true)
		cancel()
	})
	defer func() {
		idleTimer.Stop()
		if timedOut.Load() {
			t.timeouts++
		}
	}()
	start := time.Now()
	s := &completionStream{
		task: t, lease: lease, cancel: cancel, completion: r.completion(t.item.ID), pace: streamPace{sentAt: start},
		text: r.textHolder(t.item), textLimit: textLimit(t.item),
	}
	if s.textSize = textMemory(s.completion.Events); s.textSize > s.textLimit {
		s.reset() // handed over by a daemon that did not bound it
	}
	resumeAfter := len(s.completion.Events)
	defer r.track(s)()
	r.logPlaced(t, lease, resumeAfter)
	resp, err := r.backend.Send(ctx, upstream.Call{
		Replica: lease.Replica, RequestID: t.item.ID, Method: http.MethodPost, Target: t.item.Path,
		Host: r.job.Host, Header: t.item.Header, Body: t.item.Body,
		ResumeAfter: int64(resumeAfter), Retryable: true, Deferrable: true, Organisation: r.job.Organisation,
	})
	if err != nil {
		return r.recordFailure(s, err, 0)
	}
	defer resp.Body.Close()
	lease.ReportLoad(resp.Load)
	if resp.Version > 0 {
		r.tracker.SetVersion(lease.ID, r.job.Model, resp.Version)
	}
	if err := r.checkStatus(t, resp); err != nil {
		lease.Done(responseOutcome(resp), resp.Load, 0)
		return err
	}
	streamStart := time.Now()
	err = r.readEvents(s, resp, idleTimer)
	r.setCompletion(t.item.ID, s.completion)
	r.observeCompletion(t, lease, &s.completion, start, err)
	generated := len(s.completion.Events) - resumeAfter
	var timePerEvent time.Duration
	if generated > 1 {
		timePerEvent = time.Since(streamStart) / time.Duration(generated)
	}
	switch {
	case err == nil:
		lease.Done(placement.Answered, nil, timePerEvent)
	case errors.Is(err, errWeightsTooOld), errors.Is(err, errTextMemory), errors.Is(err, errEndNotConfirmed):
		lease.Done(placement.Inconclusive, nil, 0)
	default:
		return r.recordFailure(s, err, timePerEvent)
	}
	return err
}

// recordFailure reports a stream that ended early to the tracker and returns the cause.
func (r *run) recordFailure(s *completionStream, err error, timePerEvent time.Duration) error {
	if s.isMoved() {
		s.lease.Done(placement.Inconclusive, nil, timePerEvent)
		return errStraggler
	}
	s.lease.Done(r.failureOutcome(err), nil, timePerEvent)
	return err
}

// failureOutcome returns the outcome of a request that ended with err. It does not count against
// the replica after the end of the batch, or if the request was not sent because of the replica's
// request limit.
func (r *run) failureOutcome(err error) placement.Outcome {
	if r.ctx.Err() != nil || errors.Is(err, upstream.ErrRateLimited) {
		return placement.Inconclusive
	}
	return placement.Failed
}

func responseOutcome(resp *upstream.Response) placement.Outcome {
	switch {
	case resp.NotRun:
		return placement.Refused
	case resp.Status < 300 && !resp.Signed:
		return placement.Failed
	}
	return placement.Answered
}

// checkStatus returns an error for a response whose events must not be read.
func (r *run) checkStatus(t *task, resp *upstream.Response) error {
	switch {
	case resp.NotRun:
		return fault.New(fault.Overloaded, "the replica is full", "try another replica", fault.WithOutcome(fault.NotRun))
	case resp.Status == http.StatusUnprocessableEntity:
		return errItemFailed
	case resp.Status == http.StatusInternalServerError:
		if r.recordItemFailure(t.item.ID) >= r.maxAttempts(t.item) {
			return errItemFailed
		}
		return fault.New(fault.Unavailable, "the replica returned an internal error for the item", "try another replica")
	case resp.Status >= 300 || !resp.Signed:
		return fault.New(fault.Unavailable, "the replica returned no completion", "try another replica")
	case resp.Version > 0 && resp.Version < r.job.MinVersion:
		return errWeightsTooOld
	}
	return nil
}

func (r *run) maxAttempts(item *Item) int {
	if route, ok := r.routeOf(item); ok {
		return route.MaxAttempts
	}
	return 1
}

// readEvents appends a replica's events to the completion until the stream ends.
func (r *run) readEvents(s *completionStream, resp *upstream.Response, idleTimer *time.Timer) error {
	completion := &s.completion
	firstID := int64(len(completion.Events)) + 1
	singleVersion := false
	if route, ok := r.routeOf(s.task.item); ok {
		singleVersion = route.SingleVersion
	}
	events := r.backend.Events(resp)
	for {
		e, err := events.Next()
		if errors.Is(err, io.EOF) {
			if len(completion.Events) == 0 {
				return fault.New(fault.Truncated, "the stream ended without an event", "try another replica")
			}
			if int64(len(completion.Events)) < firstID && !s.task.startedOver {
				s.task.startedOver = true
				s.reset()
				return errEndNotConfirmed
			}
			s.markComplete()
			return nil
		}
		if err != nil {
			return fault.Wrap(err, fault.Truncated, "the stream was interrupted", "continue on another replica")
		}
		if e.ID != int64(len(completion.Events))+1 {
			return fault.New(fault.Mismatched, "the stream skipped an event", "continue on another replica")
		}
		if e.Version < r.job.MinVersion {
			return errWeightsTooOld
		}
		if singleVersion && len(completion.Versions) > 0 && completion.Versions[0] != e.Version {
			s.reset() // the route allows one version per completion: start over
			return fault.New(fault.Stale, "the weights changed during a completion that must use a single version", "start the completion over")
		}
		if err := s.admitText(e.Data); err != nil {
			s.reset()
			if errors.Is(err, errTextTooLong) {
				return r.textError(s.task.item)
			}
			return err
		}
		if s.add(e.Data, e.Version); e.ID == firstID {
			r.measures.Observe(measure.ItemFirstEvent, time.Since(s.pace.sentAt), r.job.Model)
		}
		idleTimer.Reset(waitForEvent(eventTimeout, s.task.timeouts))
	}
}
