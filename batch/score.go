package batch

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/catalog"
	"github.com/hornbeamtide/hornbeamtide/clock"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/placement"
	"github.com/hornbeamtide/hornbeamtide/upstream"
)

const (
	// maxConcurrentScores bounds this daemon's concurrent scoring requests to one service, and
	// callerReserve is the share of a server's slots that scoring leaves to callers. Load pattern:
	// groups end in bursts of many short requests to the servers that callers wait for. Requests
	// that do not fit wait here, never in a server's queue.
	maxConcurrentScores = 24
	callerReserve       = 0.34
	// defaultScoreTimeout applies to routes without a timeout.
	defaultScoreTimeout   = 3 * time.Second
	maxScoreResponseBytes = 1 << 20
	scoreRetryDelay       = 50 * time.Millisecond
)

// score retries the scoring request of a complete item until it has a result, then finishes the item.
func (r *run) score(t *task) {
	completion := r.completion(t.item.ID)
	result := Result{
		ID: t.item.ID, State: Completed, Output: strings.Join(completion.Events, "\n"), Versions: completion.Versions,
	}
	if t.item.Scorer == nil || completion.Score != "" {
		result.Score = completion.Score // the daemon that ran the batch before has it already
		r.finish(t.item, result)
		return
	}
	failures, start := 0, time.Now()
	tried := map[string]bool{}
	for r.ctx.Err() == nil {
		score, server, failed := r.scoreOnce(t.item.Scorer, tried)
		if score != "" {
			r.observeScore(t, server, start, failures, true)
			result.Score = score
			r.finish(t.item, result)
			return
		}
		if failed {
			failures++
		}
		if limit := r.maxScoreAttempts(t.item.Scorer); limit > 0 && failures >= limit {
			r.observeScore(t, server, start, failures, false)
			r.finish(t.item, Result{ID: t.item.ID, State: Errored})
			return
		}
		clock.Sleep(r.ctx, scoreRetryDelay)
	}
}

func (r *run) maxScoreAttempts(s *Scorer) int {
	if cfg := r.configuration(); cfg != nil {
		if route, ok := cfg.Match(s.Host, s.Path); ok {
			return route.MaxAttempts
		}
	}
	return 0
}

// scoreOnce makes one attempt. It returns the score, or whether a server responded that the
// request failed. tried holds the servers that gave no score.
func (r *run) scoreOnce(s *Scorer, tried map[string]bool) (score, server string, failed bool) {
	route, service := r.scoringService(s)
	if route == nil {
		return "", "", false
	}
	slots := r.scoreSlots.of(service)
	select {
	case slots <- struct{}{}:
		defer func() { <-slots }()
	case <-r.ctx.Done():
		return "", "", false
	}
	if _, now := r.scoringService(s); now != service {
		return "", "", false // it changed during the wait; the next attempt waits for the other one
	}
	request := placement.Request{Service: service, Exclude: tried, RequireFreeSlot: true, ReservedFraction: callerReserve}
	lease := r.tracker.Pick(request)
	if lease == nil {
		clear(tried)
		r.awaitSlot()
		return "", "", false
	}
	timeout := route.Timeout
	if timeout <= 0 {
		timeout = defaultScoreTimeout
	}
	ctx, cancel := context.WithTimeout(r.ctx, timeout)
	defer cancel()
	start := time.Now()
	resp, err := r.backend.Send(ctx, upstream.Call{
		Replica: lease.Replica, RequestID: s.ID, Method: http.MethodPost, Target: s.Path, Host: s.Host,
		Body: s.Body, RemainingTime: timeout, Retryable: true, Deferrable: true,
	})
	if err != nil {
		lease.Done(r.failureOutcome(err), nil, 0)
		r.logScoreFailure(s, lease, err)
		tried[lease.ID] = true
		return "", "", false
	}
	defer resp.Body.Close()
	if err := discardComplete(resp.Body, maxScoreResponseBytes); err != nil {
		lease.Done(r.failureOutcome(err), resp.Load, 0)
		r.logScoreFailure(s, lease, err)
		tried[lease.ID] = true
		return "", "", false
	}
	lease.Done(responseOutcome(resp), resp.Load, time.Since(start))
	if resp.Status < 300 && resp.Signed {
		return resp.Score, lease.ID, false
	}
	tried[lease.ID] = true
	r.logScoreFailure(s, lease, fault.New(fault.Unavailable, "the scoring server responded with status "+strconv.Itoa(resp.Status), "try another server"))
	return "", lease.ID, resp.Status == http.StatusInternalServerError
}

// scoringService returns the route of a scoring request and the service to which it goes now, nil if
// there is no route.
func (r *run) scoringService(s *Scorer) (*catalog.Route, string) {
	cfg := r.configuration()
	if cfg == nil {
		return nil, ""
	}
	route, ok := cfg.Match(s.Host, s.Path)
	if !ok {
		return nil, ""
	}
	return route, usableService(route, s.ID, r.usability(placement.Request{RequireFreeSlot: true}))
}

// serviceSlots limits concurrent requests to each service. Load pattern: the servers of one scoring
// service are all gone or hang while those of another one are idle. With one limit for all services the
// requests of the first would take all of it again and again, and hold up complete groups of other
// trainers.
type serviceSlots struct {
	mu    sync.Mutex
	slots map[string]chan struct{} // by service
}

func newServiceSlots() *serviceSlots { return &serviceSlots{slots: map[string]chan struct{}{}} }

// of returns the slots of a service: a request sends to take one and receives to release it.
func (s *serviceSlots) of(service string) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slots[service] == nil {
		s.slots[service] = make(chan struct{}, maxConcurrentScores)
	}
	return s.slots[service]
}

// discardComplete reads a body of at most limit bytes to its end. A body that breaks off or is longer
// is an error: the response does not count then.
func discardComplete(body io.Reader, limit int64) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, limit+1))
	if err == nil && n > limit {
		return fault.New(fault.Truncated, "the response is over "+strconv.FormatInt(limit, 10)+" bytes", "try another server")
	}
	return err
}

// maxSlotWait bounds the wait for a free slot at a scoring server.
const maxSlotWait = 100 * time.Millisecond

// awaitSlot waits until a slot may be free.
func (r *run) awaitSlot() {
	timer := time.NewTimer(maxSlotWait)
	defer timer.Stop()
	select {
	case <-r.ctx.Done():
	case <-r.tracker.Changed():
	case <-timer.C:
	}
}
