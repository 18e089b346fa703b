package batch

import (
	"context"
	"encoding/json"

	"github.com/hornbeamtide/hornbeamtide/batch/batchpb"
	"github.com/hornbeamtide/hornbeamtide/event"
)

// Drain hands the batches that this daemon runs to others, with their unfinished texts.
func (m *Manager) Drain(ctx context.Context) {
	m.mu.Lock()
	m.draining = true
	var running []*known
	for _, k := range m.jobs {
		if k.run != nil && !k.ended {
			running = append(running, k)
		}
	}
	m.mu.Unlock()
	for _, k := range running {
		m.handOver(ctx, k)
	}
}

func (m *Manager) handOver(ctx context.Context, k *known) {
	m.mu.Lock()
	r := k.run
	m.mu.Unlock()
	texts := r.stop()
	m.mu.Lock()
	k.run = nil
	m.mu.Unlock()
	if r.results.size() >= len(r.job.Items) {
		return
	}
	value, err := json.Marshal(texts)
	if err != nil {
		return
	}
	peers := m.members()
	for _, id := range m.candidates(r.job, peers) {
		if id == m.self || peers[id] == "" || ctx.Err() != nil {
			continue
		}
		if m.giveTo(ctx, peers[id], r.job.ID, value) == nil {
			m.log.Log(event.BatchHandedOver, event.F("batch", r.job.ID), event.F("to", id), event.F("texts", len(texts)))
			return
		}
	}
}

func (m *Manager) giveTo(ctx context.Context, address, id string, texts []byte) error {
	ctx, cancel := context.WithTimeout(ctx, handLimit)
	defer cancel()
	conn, err := m.conns.Conn(ctx, address)
	if err != nil {
		return err
	}
	_, err = batchpb.NewDRPCBatchClient(conn).TakeOver(ctx, &batchpb.JobRequest{Id: id, Json: texts})
	return err
}
