package batch

import (
	"context"
	"encoding/json"
	"time"

	"github.com/hornbeamtide/hornbeamtide/batch/batchpb"
)

func decodeItems(value []byte) ([]Item, error) {
	var items []Item
	err := json.Unmarshal(value, &items)
	return items, err
}

// Results returns the results from a position on, waiting for one up to wait. Whatever it
// returns is in the store: it stays at its position.
func (m *Manager) Results(ctx context.Context, id string, after int, wait time.Duration) (Page, error) {
	k, err := m.find(ctx, id)
	if err != nil {
		return Page{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, wait+readLimit)
	defer cancel()
	if page, ok := m.ownPage(ctx, k, after, wait); ok {
		return page, nil
	}
	if page, ok := m.runnersPage(ctx, k, after, wait); ok {
		return page, nil
	}
	return m.storedPage(ctx, k, after)
}

const (
	// readLimit bounds a read beyond the wait that its client allows.
	readLimit = 1200 * time.Millisecond
	// peerLimit bounds a question to the daemon that runs a batch, beyond the wait.
	peerLimit = 500 * time.Millisecond
)

// ownPage reads a batch that this daemon runs.
func (m *Manager) ownPage(ctx context.Context, k *known, after int, wait time.Duration) (Page, bool) {
	m.mu.Lock()
	r, total := k.run, k.total()
	m.mu.Unlock()
	if r == nil || r.ctx.Err() != nil {
		return Page{}, false // a write that the end cut off may have taken effect
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		results, changed := r.log.page(after)
		if len(results) > 0 || r.log.size() >= total {
			return Page{Total: total, Results: results}, true
		}
		select {
		case <-changed:
		case <-timer.C:
			return Page{Total: total, Results: results}, true
		case <-r.ctx.Done():
			return Page{}, false
		case <-ctx.Done():
			return Page{Total: total, Results: results}, true
		}
	}
}

// total is the number of the batch's items. The manager's lock is held.
func (k *known) total() int {
	if k.job.Parts > 0 {
		return k.job.Total
	}
	return len(k.job.Items)
}

// runnersPage asks the daemon that probably runs the batch.
func (m *Manager) runnersPage(ctx context.Context, k *known, after int, wait time.Duration) (Page, bool) {
	m.mu.Lock()
	job, ended, read := k.job, k.ended, k.log.size()
	m.mu.Unlock()
	if ended || read > after {
		return Page{}, false
	}
	peers := m.members()
	for i, id := range m.candidates(job, peers) {
		if i >= askedReaders || id == m.self {
			break
		}
		if page, ok := m.askPage(ctx, peers[id], job.ID, after, wait); ok {
			return page, true
		}
	}
	return Page{}, false
}

// askedReaders is how many daemons are asked before the store is read.
const askedReaders = 2

func (m *Manager) askPage(ctx context.Context, address, id string, after int, wait time.Duration) (Page, bool) {
	if address == "" {
		return Page{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, wait+peerLimit)
	defer cancel()
	conn, err := m.conns.Conn(ctx, address)
	if err != nil {
		return Page{}, false
	}
	answer, err := batchpb.NewDRPCBatchClient(conn).Results(ctx, &batchpb.ResultsRequest{
		Id: id, After: int64(after), WaitMs: wait.Milliseconds(),
	})
	if err != nil || !answer.Known {
		return Page{}, false
	}
	var page Page
	return page, json.Unmarshal(answer.Json, &page) == nil
}

// storedPage reads what the store has of a batch that nobody seems to run.
func (m *Manager) storedPage(ctx context.Context, k *known, after int) (Page, error) {
	m.mu.Lock()
	log, total, final := k.log, k.total(), k.final
	settled := k.ended && time.Since(k.endedAt) > lateWrite
	m.mu.Unlock()
	results, _ := log.page(after)
	if len(results) > 0 || log.size() >= total || final {
		return Page{Total: total, Results: results}, nil
	}
	if err := log.load(ctx); err != nil {
		return Page{}, unsure(err)
	}
	if settled {
		m.mu.Lock()
		k.final = true
		m.mu.Unlock()
	}
	results, _ = log.page(after)
	return Page{Total: total, Results: results}, nil
}

// lateWrite is how long after the end of a batch a write of its results may still take
// effect; then its log is read once more and never again.
const lateWrite = 12 * time.Second
