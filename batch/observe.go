package batch

import (
	"time"

	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/measure"
	"github.com/hornbeamtide/hornbeamtide/placement"
)

// Outcomes in the histograms.
const (
	measuredWhole  = "whole"
	measuredFailed = "failed"
)

// logPlaced tells where an item goes and from which choice. after is the last event that is
// held of its text.
func (r *run) logPlaced(t *task, lease *placement.Lease, after int) {
	waited := time.Since(r.job.Accepted)
	r.mu.Lock()
	queue := len(r.queue)
	r.mu.Unlock()
	r.measures.Observe(measure.ItemQueue, waited, r.job.Model)
	r.log.Log(event.BatchItemPlaced, append(lease.Choice.Fields(),
		event.F("batch", r.job.ID), event.F("item", t.item.ID), event.F("replica", lease.ID), event.F("after", after),
		event.F("has_version", lease.Versions[r.job.Model]), event.F("min_version", r.job.MinVersion),
		event.F("waited_ms", waited.Milliseconds()), event.F("queue", queue))...)
}

// textEnded tells that a replica's stream of an item ended.
func (r *run) textEnded(t *task, lease *placement.Lease, text *Text, begun time.Time, err error) {
	outcome := measuredWhole
	if err != nil {
		outcome = measuredFailed
	}
	r.measures.Observe(measure.ItemText, time.Since(begun), r.job.Model, outcome)
	if err == nil {
		r.log.Log(event.BatchItemText, event.F("batch", r.job.ID), event.F("item", t.item.ID), event.F("replica", lease.ID),
			event.F("events", len(text.Events)), event.F("versions", text.Versions), event.F("ms", time.Since(begun).Milliseconds()))
	}
}

// scoreEnded tells that an item's score is there, or that it is given up.
func (r *run) scoreEnded(t *task, server string, begun time.Time, failures int, scored bool) {
	outcome := measuredWhole
	if !scored {
		outcome = measuredFailed
	}
	r.measures.Observe(measure.ItemScore, time.Since(begun), r.job.Model, outcome)
	if scored {
		r.log.Log(event.BatchItemScored, event.F("batch", r.job.ID), event.F("item", t.item.ID), event.F("request", t.item.Scorer.ID),
			event.F("replica", server), event.F("failures", failures), event.F("ms", time.Since(begun).Milliseconds()))
	}
}

// scoreFailed tells that a server gave no score.
func (r *run) scoreFailed(s *Scorer, lease *placement.Lease, err error) {
	if r.ctx.Err() != nil {
		return // the batch ended
	}
	r.log.Log(event.BatchScoreFailed, append(lease.Choice.Fields(),
		event.F("batch", r.job.ID), event.F("request", s.ID), event.F("replica", lease.ID), event.Err(err))...)
}

// waitsInterval is the least time between two lines about items that wait.
const waitsInterval = time.Second

// logWaits tells that the first item in the queue finds no replica. The run's lock is held.
func (r *run) logWaits(t *task, request placement.Request) {
	if time.Since(r.toldWaits) < waitsInterval {
		return
	}
	r.toldWaits = time.Now()
	r.log.Log(event.BatchWaits, append(r.tracker.Survey(request).Counts(),
		event.F("batch", r.job.ID), event.F("item", t.item.ID), event.F("service", request.Service),
		event.F("min_version", request.MinVersion), event.F("queue", len(r.queue)),
		event.F("since_ms", time.Since(r.job.Accepted).Milliseconds()))...)
}

// chunkListed tells that a chunk stands in the store.
func (r *run) chunkListed(key string, results []Result, listed int, took time.Duration) {
	items := make([]string, 0, len(results))
	for _, result := range results {
		items = append(items, result.ID)
	}
	r.measures.Observe(measure.ChunkWrite, took)
	if listed >= len(r.job.Items) {
		r.measures.Observe(measure.BatchWhole, time.Since(r.job.Accepted), r.job.Model)
	}
	r.log.Log(event.BatchListed, event.F("batch", r.job.ID), event.F("chunk", key), event.F("items", items),
		event.F("listed", listed), event.F("total", len(r.job.Items)), event.F("write_ms", took.Milliseconds()),
		event.F("since_ms", time.Since(r.job.Accepted).Milliseconds()))
}
