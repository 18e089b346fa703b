package batch

import (
	"context"
	"time"
)

// keepTime is how long a batch stays readable after it was accepted, with a margin.
const keepTime = 150 * time.Second

// expire deletes ended batches whose time is over, the definition last. Only the first
// daemon in line does it.
func (m *Manager) expire(ctx context.Context) {
	m.mu.Lock()
	var expired []*known
	for _, k := range m.jobs {
		if k.ended && k.job.ID != "" && time.Since(k.job.Accepted) > keepTime {
			expired = append(expired, k)
		}
	}
	m.mu.Unlock()
	peers := m.members()
	for _, k := range expired {
		job := m.jobOf(k)
		if order := m.candidates(job, peers); order[0] != m.self && (peers[order[0]] != "" || order[1] != m.self) {
			continue
		}
		m.remove(ctx, job)
	}
}

// remove deletes a batch's objects. What fails is tried again in the next round.
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
		if o, err := m.store.Get(ctx, partKey(job.ID, i)); err == nil && m.store.Delete(ctx, o.Key, o.Version) != nil {
			return
		}
	}
	for _, key := range []string{endKey(job.ID), jobKey(job.ID)} {
		if o, err := m.store.Get(ctx, key); err == nil {
			_ = m.store.Delete(ctx, o.Key, o.Version) // tried again in the next round
		}
	}
}
