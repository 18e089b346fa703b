package batch

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/hornbeamtide/hornbeamtide/batch/batchpb"
	"github.com/hornbeamtide/hornbeamtide/event"
)

// Drain hands the batches that this daemon runs over to other daemons, with the completions
// of their unfinished items, until ctx ends. Batches are handed over concurrently, since each may
// meet a daemon that does not respond.
func (m *Manager) Drain(ctx context.Context) {
	m.mu.Lock()
	m.draining = true
	var running []*batchState
	for _, b := range m.batches {
		if b.run != nil && !b.ended {
			running = append(running, b)
		}
	}
	m.mu.Unlock()
	var handOvers sync.WaitGroup
	for _, b := range running {
		handOvers.Go(func() { m.handOver(ctx, b) })
	}
	handOvers.Wait()
}

func (m *Manager) handOver(ctx context.Context, b *batchState) {
	m.mu.Lock()
	r := b.run
	m.mu.Unlock()
	completions := r.stop()
	m.mu.Lock()
	b.run = nil
	m.mu.Unlock()
	if r.results.confirmedCount() >= len(r.job.Items) {
		return
	}
	value, err := json.Marshal(completions)
	if err != nil {
		return
	}
	peers := m.members()
	for _, id := range m.candidates(r.job, peers) {
		if id == m.self || peers[id] == "" || ctx.Err() != nil {
			continue
		}
		if m.handOverTo(ctx, peers[id], r.job.ID, value) == nil {
			m.log.Log(event.BatchHandedOver, event.F("batch", r.job.ID), event.F("to", id), event.F("texts", len(completions)))
			return
		}
	}
}

func (m *Manager) handOverTo(ctx context.Context, address, id string, completions []byte) error {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	conn, err := m.conns.Conn(ctx, address)
	if err != nil {
		return err
	}
	_, err = batchpb.NewDRPCBatchClient(conn).TakeOver(ctx, &batchpb.JobRequest{Id: id, Json: completions})
	return err
}
