package batch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamtide/hornbeamtide/catalog"
	"github.com/hornbeamtide/hornbeamtide/clock"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/gateway"
	"github.com/hornbeamtide/hornbeamtide/measure"
	"github.com/hornbeamtide/hornbeamtide/placement"
	"github.com/hornbeamtide/hornbeamtide/upstream"
)

const (
	// firstEventLimit and eventLimit are the longest silence of a replica before the
	// item goes on elsewhere.
	firstEventLimit = 4 * time.Second
	eventLimit      = 2500 * time.Millisecond
	refusedPause    = 30 * time.Millisecond
)

// errTooOld says that a replica generates with weights that the batch does not allow.
var errTooOld = fault.New(fault.Stale, "the replica's weights are too old for the batch", "wait until it has loaded newer ones")

// serviceOf takes the share of the route's split that belongs to the item, the same at
// each try.
func serviceOf(route *catalog.Route, item string) string {
	if len(route.Split) == 1 {
		return route.Split[0].Service
	}
	point := float64(xxhash.Sum64String(item)%1000) / 1000
	return gateway.ChooseService(route.Split, point)
}

func (r *run) routeOf(item *Item) (*catalog.Route, bool) {
	configuration := r.configuration()
	if configuration == nil {
		return nil, false
	}
	return configuration.Match(r.job.Host, item.Path)
}

// generate makes the text of an item, or as much of it as the replica gives, then scores
// it. What is left undone goes back into the queue.
func (r *run) generate(t *task, lease *placement.Lease) {
	err := r.stream(t, lease)
	switch {
	case err == nil:
		r.score(t)
	case r.ctx.Err() != nil:
	case errors.Is(err, errItemFailed):
		r.finish(t.item, Result{ID: t.item.ID, State: Errored})
	default:
		r.log.Log(event.BatchItemMoved, event.F("batch", r.job.ID), event.F("item", t.item.ID),
			event.F("replica", lease.ID), event.F("events", len(r.text(t.item.ID).Events)), event.Err(err))
		if t.tried == nil {
			t.tried = map[string]bool{}
		}
		t.tried[lease.ID] = true
		clock.Sleep(r.ctx, refusedPause)
		r.again(t)
	}
}

// errItemFailed says that an item can't be done.
var errItemFailed = fault.New(fault.Invalid, "the item failed at each try", "correct the item")

// stream sends an item to a replica and takes its events. A nil error means that the text
// is whole.
func (r *run) stream(t *task, lease *placement.Lease) error {
	ctx, cancel := context.WithCancel(r.ctx)
	defer cancel()
	silence := time.AfterFunc(firstEventLimit, cancel)
	defer silence.Stop()
	begun := time.Now()
	s := &textStream{task: t, lease: lease, cancel: cancel, text: r.text(t.item.ID), pace: paceRecord{sent: begun}}
	before := len(s.text.Events)
	defer r.begin(s)()
	r.logPlaced(t, lease, before)
	answer, err := r.backend.Send(ctx, upstream.Call{
		Replica: lease.Replica, RequestID: t.item.ID, Method: http.MethodPost, Target: t.item.Path,
		Host: r.job.Host, Header: t.item.Header, Body: t.item.Body,
		ResumeAfter: int64(before), MayRepeat: true,
	})
	if err != nil {
		return r.streamFailed(s, err, 0)
	}
	defer answer.Body.Close()
	lease.Report(answer.Load)
	if answer.Version > 0 {
		r.tracker.SetVersion(lease.ID, r.job.Model, answer.Version)
	}
	if err := r.checkStatus(t, answer); err != nil {
		lease.Done(outcomeOf(answer), answer.Load, 0)
		return err
	}
	started := time.Now()
	err = r.readEvents(s, answer, silence)
	r.keepText(t.item.ID, s.text)
	r.textEnded(t, lease, &s.text, begun, err)
	made := len(s.text.Events) - before
	var pace time.Duration
	if made > 1 {
		pace = time.Since(started) / time.Duration(made)
	}
	switch {
	case err == nil:
		lease.Done(placement.Answered, nil, pace)
	case errors.Is(err, errTooOld):
		lease.Done(placement.Unclear, nil, 0)
	default:
		return r.streamFailed(s, err, pace)
	}
	return err
}

// streamFailed records a stream that ended early and returns why.
func (r *run) streamFailed(s *textStream, err error, pace time.Duration) error {
	if s.wasMoved() {
		s.lease.Done(placement.Unclear, nil, pace)
		return errStraggles
	}
	s.lease.Done(r.brokeOr(), nil, pace)
	return err
}

// brokeOr is the outcome of a broken stream: no evidence against the replica if the batch
// ended.
func (r *run) brokeOr() placement.Outcome {
	if r.ctx.Err() != nil {
		return placement.Unclear
	}
	return placement.Broke
}

func outcomeOf(answer *upstream.Answer) placement.Outcome {
	if answer.NotRun {
		return placement.Refused
	}
	return placement.Answered
}

// checkStatus returns an error for an answer that brings no text.
func (r *run) checkStatus(t *task, answer *upstream.Answer) error {
	switch {
	case answer.NotRun:
		return fault.New(fault.Overloaded, "the replica is full", "try another replica", fault.WithOutcome(fault.NotRun))
	case answer.Status == http.StatusUnprocessableEntity:
		return errItemFailed
	case answer.Status == http.StatusInternalServerError:
		t.failures++
		if t.failures >= r.maxAttempts(t.item) {
			return errItemFailed
		}
		return fault.New(fault.Unavailable, "the replica failed the item", "try another replica")
	case answer.Status >= 300 || !answer.Signed:
		return fault.New(fault.Unavailable, "the replica gave no text", "try another replica")
	case answer.Version > 0 && answer.Version < r.job.MinVersion:
		return errTooOld
	}
	return nil
}

func (r *run) maxAttempts(item *Item) int {
	if route, ok := r.routeOf(item); ok {
		return route.MaxAttempts
	}
	return 1
}

// readEvents appends a replica's events to the text until its end.
func (r *run) readEvents(s *textStream, answer *upstream.Answer, silence *time.Timer) error {
	text := &s.text
	first := int64(len(text.Events)) + 1
	single := false
	if route, ok := r.routeOf(s.task.item); ok {
		single = route.SingleVersion
	}
	events := r.backend.Events(answer)
	for {
		e, err := events.Next()
		if errors.Is(err, io.EOF) {
			if len(text.Events) == 0 {
				return fault.New(fault.Truncated, "the replica sent no event", "try another replica")
			}
			s.end()
			return nil
		}
		if err != nil {
			return fault.Wrap(err, fault.Truncated, "the stream broke off", "go on at another replica")
		}
		if e.ID != int64(len(text.Events))+1 {
			return fault.New(fault.Mismatched, "the stream left an event out", "go on at another replica")
		}
		if e.Version < r.job.MinVersion {
			return errTooOld
		}
		if single && len(text.Versions) > 0 && text.Versions[0] != e.Version {
			s.restart() // one version only: begin anew
			return fault.New(fault.Stale, "the weights changed within a text of one version", "begin it anew")
		}
		if s.add(e.Data, e.Version); e.ID == first {
			r.measures.Observe(measure.ItemFirst, time.Since(s.pace.sent), r.job.Model)
		}
		silence.Reset(eventLimit)
	}
}
