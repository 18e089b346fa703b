package batch

import (
	"context"
	"time"
)

// batchRetention is how long a batch stays readable after it was accepted, including a margin.
const batchRetention = 150 * time.Second

// expire deletes ended batches after their retention period. Only the first available
// candidate of a batch deletes it.
func (m *Manager) expire(ctx context.Context) {
	m.mu.Lock()
	var expired []*batchState
	for _, b := range m.batches {
		if b.ended && b.job.ID != "" && time.Since(b.job.AcceptedAt) > batchRetention {
			expired = append(expired, b)
		}
	}
	m.mu.Unlock()
	peers := m.members()
	for _, b := range expired {
		job := m.jobOf(b)
		if order := m.candidates(job, peers); order[0] != m.self && (peers[order[0]] != "" || order[1] != m.self) {
			continue
		}
		m.remove(ctx, job)
	}
}

// remove deletes a batch's objects, the head last, so that a failed deletion is retried in the
// next round.
func (m *Manager) remove(ctx context.Context, job Job) {
	chunks, err := m.store.List(ctx, resultsKind(job.ID)+"/")
	if err != nil {
		return
	}
	for _, o := range chunks.Objects {
		if m.store.Delete(ctx, o.Key, o.Version) != nil {
			return
		}
	}
	for i := range job.Parts {
		if o, err := m.store.Get(ctx, job.partKey(i)); err == nil && m.store.Delete(ctx, o.Key, o.Version) != nil {
			return
		}
	}
	for _, key := range []string{endKey(job.ID), jobKey(job.ID)} {
		if o, err := m.store.Get(ctx, key); err == nil {
			_ = m.store.Delete(ctx, o.Key, o.Version) // retried in the next round
		}
	}
}
