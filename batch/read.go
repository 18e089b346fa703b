package batch

import (
	"context"
	"encoding/json"
	"time"

	"github.com/hornbeamtide/hornbeamtide/batch/batchpb"
	"github.com/hornbeamtide/hornbeamtide/measure"
)

const (
	// readLimit bounds a read beyond the wait that its client allows.
	readLimit = 1200 * time.Millisecond
	// peerLimit bounds a question to the daemon that runs a batch, beyond the wait.
	peerLimit = 500 * time.Millisecond
	// askedReaders is how many daemons are asked before the store is read.
	askedReaders = 2
	// loadInterval is the least time between two reads of a batch's log from the store:
	// a position that one daemon showed must be seen everywhere within a second.
	loadInterval = 800 * time.Millisecond
	// lateWrite is how long after the end of a batch a write of its results may still
	// take effect; then its log is read once more and never again.
	lateWrite = 12 * time.Second
	// aloneAge is how long a daemon may hear of no other before it may have been taken
	// for lost, and its batches may be run elsewhere.
	aloneAge = 1500 * time.Millisecond
)

// Results returns the results from a position on, waiting for one up to wait. Whatever it
// returns is in the store: it stays at its position.
func (m *Manager) Results(ctx context.Context, id string, after int, wait time.Duration) (Page, error) {
	k, err := m.find(ctx, id)
	if err != nil {
		return Page{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, wait+readLimit)
	defer cancel()
	if page, known, err := m.runPage(ctx, k, after, wait); known {
		return page, err
	}
	if page, ok := m.runnersPage(ctx, k, after, wait); ok {
		return page, nil
	}
	return m.storedPage(ctx, k, after)
}

// total is the number of the batch's items. The manager's lock is held.
func (k *known) total() int { return k.job.total() }

// runPage reads a batch that this daemon runs, or ran to its end.
func (m *Manager) runPage(ctx context.Context, k *known, after int, wait time.Duration) (page Page, runs bool, err error) {
	m.mu.Lock()
	r, total := k.run, k.total()
	m.mu.Unlock()
	if r == nil {
		return Page{}, false, nil
	}
	sure := r.ctx.Err() == nil && !m.mayRunElsewhere() && !r.results.isContested()
	if sure {
		r.results.await(ctx, after, total, wait, r.ctx.Done())
		sure = r.ctx.Err() == nil
	}
	if sure {
		results, _ := r.results.page(after)
		return Page{Total: total, Results: results}, true, nil
	}
	page, err = m.storedPage(ctx, k, after)
	return page, true, err
}

// mayRunElsewhere reports whether other daemons may have taken this one for lost.
func (m *Manager) mayRunElsewhere() bool {
	return m.mirror.HeardAge() > aloneAge || time.Now().UnixNano() < m.suspectUntil.Load()
}

// await waits until there is a result at a position.
func (l *resultLog) await(ctx context.Context, after, total int, wait time.Duration, ended <-chan struct{}) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		results, changed := l.page(after)
		if len(results) > 0 || l.size() >= total {
			return
		}
		select {
		case <-changed:
			continue
		case <-timer.C:
		case <-ended:
		case <-ctx.Done():
		}
		return
	}
}

// runnersPage asks the daemons that probably run the batch.
func (m *Manager) runnersPage(ctx context.Context, k *known, after int, wait time.Duration) (Page, bool) {
	m.mu.Lock()
	job, ended, read := k.job, k.ended, k.log.size()
	m.mu.Unlock()
	if read > after {
		return Page{}, false
	}
	if ended {
		wait = 0 // nothing more will come
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
	begun := time.Now()
	answer, err := batchpb.NewDRPCBatchClient(conn).Results(ctx, &batchpb.ResultsRequest{
		Id: id, After: int64(after), WaitMs: wait.Milliseconds(),
	})
	outcome := "answered"
	if err != nil {
		outcome = "failed"
	}
	m.measures.Observe(measure.PeerRead, time.Since(begun), outcome)
	if err != nil || !answer.Known {
		return Page{}, false
	}
	var page Page
	return page, json.Unmarshal(answer.Json, &page) == nil
}

// storedPage reads what the store has of a batch beyond what this daemon knows of it.
func (m *Manager) storedPage(ctx context.Context, k *known, after int) (Page, error) {
	m.mu.Lock()
	log, total := k.log, k.total()
	settled := k.ended && time.Since(k.endedAt) > lateWrite
	fresh := k.final || time.Since(k.loadedAt) < loadInterval
	m.mu.Unlock()
	results, _ := log.page(after)
	if len(results) > 0 || log.size() >= total || fresh {
		return Page{Total: total, Results: results}, nil
	}
	if err := log.load(ctx); err != nil {
		return Page{}, unsure(err)
	}
	m.mu.Lock()
	k.loadedAt, k.final = time.Now(), settled
	m.mu.Unlock()
	results, _ = log.page(after)
	return Page{Total: total, Results: results}, nil
}
