package batch

import (
	"errors"
	"time"

	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/measure"
	"github.com/hornbeamtide/hornbeamtide/placement"
	"github.com/hornbeamtide/hornbeamtide/upstream"
)

// Outcome labels of the histograms.
const (
	outcomeComplete = "whole"
	outcomeFailed   = "failed"
)

// logPlaced logs the replica chosen for an item and the choice it was made from. after is the
// ID of the last event received before.
func (r *run) logPlaced(t *task, lease *placement.Lease, after int) {
	queued := time.Since(r.job.AcceptedAt)
	r.mu.Lock()
	queueLength := len(r.queue)
	r.mu.Unlock()
	r.measures.Observe(measure.ItemQueue, queued, r.job.Model)
	r.log.Log(event.BatchItemPlaced, append(lease.Choice.Fields(),
		event.F("batch", r.job.ID), event.F("item", t.item.ID), event.F("replica", lease.ID), event.F("after", after),
		event.F("has_version", lease.Versions[r.job.Model]), event.F("min_version", r.job.MinVersion),
		event.F("waited_ms", queued.Milliseconds()), event.F("queue", queueLength))...)
}

// observeCompletion records the end of a replica's stream of an item.
func (r *run) observeCompletion(t *task, lease *placement.Lease, completion *Completion, start time.Time, err error) {
	outcome := outcomeComplete
	if err != nil {
		outcome = outcomeFailed
	}
	r.measures.Observe(measure.ItemCompletion, time.Since(start), r.job.Model, outcome)
	if err == nil {
		r.log.Log(event.BatchItemGenerated, event.F("batch", r.job.ID), event.F("item", t.item.ID), event.F("replica", lease.ID),
			event.F("events", len(completion.Events)), event.F("versions", completion.Versions), event.F("ms", time.Since(start).Milliseconds()))
	}
}

// observeScore records that an item was scored, or that scoring failed for good.
func (r *run) observeScore(t *task, server string, start time.Time, failures int, scored bool) {
	outcome := outcomeComplete
	if !scored {
		outcome = outcomeFailed
	}
	r.measures.Observe(measure.ItemScore, time.Since(start), r.job.Model, outcome)
	if scored {
		r.log.Log(event.BatchItemScored, event.F("batch", r.job.ID), event.F("item", t.item.ID), event.F("request", t.item.Scorer.ID),
			event.F("replica", server), event.F("failures", failures), event.F("ms", time.Since(start).Milliseconds()))
	}
}

// logScoreFailure logs that a server returned no score.
func (r *run) logScoreFailure(s *Scorer, lease *placement.Lease, err error) {
	if r.ctx.Err() != nil || errors.Is(err, upstream.ErrRateLimited) {
		return // expected: the batch ended, or the request was not sent
	}
	r.log.Log(event.BatchScoreFailed, append(lease.Choice.Fields(),
		event.F("batch", r.job.ID), event.F("request", s.ID), event.F("replica", lease.ID), event.Err(err))...)
}

// waitLogInterval is the minimum interval between two log lines about waiting items.
const waitLogInterval = time.Second

// logWaiting logs that no replica is free for an item at the front of the queue. The caller
// holds r.mu.
func (r *run) logWaiting(t *task, request placement.Request) {
	if time.Since(r.lastWaitLog) < waitLogInterval {
		return
	}
	r.lastWaitLog = time.Now()
	r.log.Log(event.BatchItemsWaiting, append(r.tracker.Explain(request).FilterCounts(),
		event.F("batch", r.job.ID), event.F("item", t.item.ID), event.F("service", request.Service),
		event.F("min_version", request.MinVersion), event.F("queue", len(r.queue)),
		event.F("since_ms", time.Since(r.job.AcceptedAt).Milliseconds()))...)
}

// observeChunk records that a chunk was stored.
func (r *run) observeChunk(key string, results []Result, confirmedCount int, took time.Duration) {
	items := make([]string, 0, len(results))
	for _, result := range results {
		items = append(items, result.ID)
	}
	r.measures.Observe(measure.ChunkWrite, took)
	if confirmedCount >= r.job.total() {
		r.measures.Observe(measure.BatchWhole, time.Since(r.job.AcceptedAt), r.job.Model)
	}
	r.log.Log(event.BatchListed, event.F("batch", r.job.ID), event.F("chunk", key), event.F("items", items),
		event.F("listed", confirmedCount), event.F("total", r.job.total()), event.F("write_ms", took.Milliseconds()),
		event.F("since_ms", time.Since(r.job.AcceptedAt).Milliseconds()))
}
