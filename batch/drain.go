package batch

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/batch/batchpb"
	"github.com/hornbeamtide/hornbeamtide/clock"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fault"
)

const (
	// storeCheckInterval is the time between two checks whether the store responds, and
	// storeCheckTimeout bounds one.
	storeCheckInterval = 300 * time.Millisecond
	storeCheckTimeout  = 700 * time.Millisecond
	// handOverReserve is the part of the stop time that is kept for the hand-over itself.
	handOverReserve = 2500 * time.Millisecond
	// maxMessageBytes bounds what is sent to another daemon at once: drpc refuses messages over 4 MiB.
	maxMessageBytes = 3 << 20
)

// Drain hands the batches that this daemon runs over to other daemons, with the completions of the items
// whose results are not in the store, until ctx ends. Batches are handed over concurrently, since each may
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
		handOvers.Go(func() { m.log.Guard("hand-over of batch "+m.jobOf(b).ID, func() { m.handOver(ctx, b) }) })
	}
	handOvers.Wait()
}

// awaitStore waits until the store responds, so that another daemon can take the batch over, or until
// only handOverReserve is left of ctx. Load pattern: a planned stop during an outage of the store. A
// daemon that takes a batch over must read its log first, so a batch that is handed over too early runs
// nowhere until the store is back.
func (m *Manager) awaitStore(ctx context.Context, id string) {
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline.Add(-handOverReserve))
		defer cancel()
	}
	for ctx.Err() == nil {
		checkCtx, cancel := context.WithTimeout(ctx, storeCheckTimeout)
		_, err := m.store.Get(checkCtx, endKey(id))
		cancel()
		if err == nil || fault.Is(err, fault.NotFound) {
			return
		}
		clock.Sleep(ctx, storeCheckInterval)
	}
}

func (m *Manager) handOver(ctx context.Context, b *batchState) {
	m.mu.Lock()
	r := b.run
	m.mu.Unlock()
	if r == nil {
		return // left to another daemon meanwhile
	}
	m.awaitStore(ctx, r.job.ID)
	completions := r.stop()
	m.mu.Lock()
	b.run = nil
	m.mu.Unlock()
	if r.results.confirmedCount() >= r.job.total() {
		return
	}
	value, err := encodeHandOver(completions)
	if err != nil {
		return
	}
	peers, settled := m.members(), r.results.isSettled()
	for _, id := range m.candidates(r.job, peers) {
		if id == m.self || peers[id] == "" || ctx.Err() != nil {
			continue
		}
		err := m.handOverTo(ctx, peers[id], &batchpb.JobRequest{Id: r.job.ID, Json: value, Settled: settled})
		if err == nil {
			m.log.Log(event.BatchHandedOver, event.F("batch", r.job.ID), event.F("to", id), event.F("texts", len(completions)))
			return
		}
		if fault.OutcomeOf(err) != fault.NotRun {
			settled = false // it may run the batch
		}
	}
}

// encodeHandOver encodes completions for one message. If not all fit, the longest go over; of the others
// only their failures, and they are generated again.
func encodeHandOver(completions map[string]*Completion) ([]byte, error) {
	value, err := json.Marshal(completions)
	if err != nil || len(value) <= maxMessageBytes {
		return value, err
	}
	all := make(map[string]Completion, len(completions))
	for id, completion := range completions {
		all[id] = *completion
	}
	for limit := maxMessageBytes; len(value) > maxMessageBytes && limit > 0; limit /= 2 { // encoded text may be longer
		chosen := selectCompletions(all, limit)
		for id, completion := range all {
			if _, fits := chosen[id]; !fits && completion.Failures > 0 {
				chosen[id] = Completion{Failures: completion.Failures}
			}
		}
		if value, err = json.Marshal(chosen); err != nil {
			return nil, err
		}
	}
	return value, nil
}

func (m *Manager) handOverTo(ctx context.Context, address string, request *batchpb.JobRequest) error {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	conn, err := m.conns.Conn(ctx, address)
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "the daemon can't be reached", "hand the batch to another daemon", fault.WithOutcome(fault.NotRun))
	}
	_, err = batchpb.NewDRPCBatchClient(conn).TakeOver(ctx, request)
	return err
}
