package batch

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hornbeamtide/hornbeamtide/clock"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/placement"
	"github.com/hornbeamtide/hornbeamtide/upstream"
)

const (
	// scoresAtOnce bounds the scoring requests of this daemon in progress, and callersShare
	// is the part of a server's slots that they leave to callers. Load pattern: groups end
	// in bursts of many short requests at the servers that callers wait for; what does not
	// fit beside the callers waits here, never in a server's queue.
	scoresAtOnce = 24
	callersShare = 0.34
	// scoreTimeout is that of routes that name none.
	scoreTimeout   = 3 * time.Second
	maxScoreAnswer = 1 << 20
	scorePause     = 50 * time.Millisecond
)

// score sends a finished text's scoring request until it is answered, then lists the item.
func (r *run) score(t *task) {
	text := r.text(t.item.ID)
	result := Result{
		ID: t.item.ID, State: Completed, Output: strings.Join(text.Events, "\n"), Versions: text.Versions,
	}
	if t.item.Scorer == nil {
		r.finish(t.item, result)
		return
	}
	failures, begun := 0, time.Now()
	tried := map[string]bool{}
	for r.ctx.Err() == nil {
		score, server, failed := r.scoreOnce(t.item.Scorer, tried)
		if score != "" {
			r.scoreEnded(t, server, begun, failures, true)
			result.Score = score
			r.finish(t.item, result)
			return
		}
		if failed {
			failures++
		}
		if limit := r.scoreAttempts(t.item.Scorer); limit > 0 && failures >= limit {
			r.scoreEnded(t, server, begun, failures, false)
			r.finish(t.item, Result{ID: t.item.ID, State: Errored})
			return
		}
		clock.Sleep(r.ctx, scorePause)
	}
}

func (r *run) scoreAttempts(s *Scorer) int {
	if c := r.configuration(); c != nil {
		if route, ok := c.Match(s.Host, s.Path); ok {
			return route.MaxAttempts
		}
	}
	return 0
}

// scoreOnce makes one attempt. It returns the score, or whether a server said that the
// request failed. tried holds the servers that did not answer.
func (r *run) scoreOnce(s *Scorer, tried map[string]bool) (score, server string, failed bool) {
	select {
	case r.scoring <- struct{}{}:
		defer func() { <-r.scoring }()
	case <-r.ctx.Done():
		return "", "", false
	}
	c := r.configuration()
	if c == nil {
		return "", "", false
	}
	route, ok := c.Match(s.Host, s.Path)
	if !ok {
		return "", "", false
	}
	request := placement.Request{Service: serviceOf(route, s.ID), Exclude: tried, MustFit: true, Reserve: callersShare}
	lease := r.tracker.Pick(request)
	if lease == nil {
		clear(tried)
		r.awaitPlace()
		return "", "", false
	}
	limit := route.Timeout
	if limit <= 0 {
		limit = scoreTimeout
	}
	ctx, cancel := context.WithTimeout(r.ctx, limit)
	defer cancel()
	started := time.Now()
	answer, err := r.backend.Send(ctx, upstream.Call{
		Replica: lease.Replica, RequestID: s.ID, Method: http.MethodPost, Target: s.Path, Host: s.Host,
		Body: s.Body, Left: limit, MayRepeat: true,
	})
	if err != nil {
		lease.Done(r.brokeOr(), nil, 0)
		r.scoreFailed(s, lease, err)
		tried[lease.ID] = true
		return "", "", false
	}
	defer answer.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(answer.Body, maxScoreAnswer)); err != nil {
		lease.Done(r.brokeOr(), answer.Load, 0)
		r.scoreFailed(s, lease, err)
		tried[lease.ID] = true
		return "", "", false
	}
	lease.Done(outcomeOf(answer), answer.Load, time.Since(started))
	if answer.Status < 300 && answer.Signed {
		return answer.Score, lease.ID, false
	}
	r.scoreFailed(s, lease, fault.New(fault.Unavailable, "the server answered with status "+strconv.Itoa(answer.Status), "try another server"))
	return "", lease.ID, answer.Status == http.StatusInternalServerError
}

// placeWait bounds the wait for a place at a scoring server.
const placeWait = 100 * time.Millisecond

// awaitPlace waits until a place may have become free.
func (r *run) awaitPlace() {
	timer := time.NewTimer(placeWait)
	defer timer.Stop()
	select {
	case <-r.ctx.Done():
	case <-r.tracker.Changed():
	case <-timer.C:
	}
}
