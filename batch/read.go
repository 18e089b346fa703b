package batch

import (
	"context"
	"encoding/json"
	"time"

	"github.com/hornbeamtide/hornbeamtide/batch/batchpb"
	"github.com/hornbeamtide/hornbeamtide/measure"
)

const (
	// readTimeout bounds a read, in addition to the wait that its client allows.
	readTimeout = 1200 * time.Millisecond
	// peerReadTimeout bounds a read from a peer, in addition to the wait.
	peerReadTimeout = 500 * time.Millisecond
	// maxPeersAsked is how many peers are asked before the store is read.
	maxPeersAsked = 2
	// minLoadInterval is the minimum interval between two reads of a batch's log from the
	// store: a position returned by one daemon must be visible everywhere within a second.
	minLoadInterval = 800 * time.Millisecond
	// lateWritePeriod is how long after the end of a batch a write of its results may still
	// take effect. After that its log is read once more and never again.
	lateWritePeriod = 12 * time.Second
	// maxContactAge is how long a daemon may receive nothing from its peers before they may
	// consider it lost and run its batches.
	maxContactAge = 1500 * time.Millisecond
)

// Results returns the results from a position on, waiting up to wait for the first one. Every
// returned result is in the store, so it keeps its position.
func (m *Manager) Results(ctx context.Context, id string, after int, wait time.Duration) (Page, error) {
	b, err := m.find(ctx, id)
	if err != nil {
		return Page{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	if page, runs, err := m.localPage(ctx, b, after, wait); runs {
		return page, err
	}
	if page, ok := m.peerPage(ctx, b, after, wait); ok {
		return page, nil
	}
	return m.storedPage(ctx, b, after)
}

// total returns the number of the batch's items. The caller holds the manager's mu.
func (b *batchState) total() int { return b.job.total() }

// localPage reads a batch that this daemon runs or has run to its end.
func (m *Manager) localPage(ctx context.Context, b *batchState, after int, wait time.Duration) (page Page, runs bool, err error) {
	m.mu.Lock()
	r, total := b.run, b.total()
	m.mu.Unlock()
	if r == nil {
		return Page{}, false, nil
	}
	authoritative := r.ctx.Err() == nil && !m.mayRunElsewhere() && !r.results.isContested()
	if authoritative {
		r.results.await(ctx, after, total, wait, r.ctx.Done())
		authoritative = r.ctx.Err() == nil
	}
	if authoritative {
		results, _ := r.results.page(after)
		return Page{Total: total, Results: results}, true, nil
	}
	page, err = m.storedPage(ctx, b, after)
	return page, true, err
}

// mayRunElsewhere reports whether other daemons may consider this one lost.
func (m *Manager) mayRunElsewhere() bool {
	return m.mirror.SinceLastContact() > maxContactAge || time.Now().UnixNano() < m.suspectUntil.Load()
}

// await waits until there is a result at a position, all results are there, or the wait is over.
func (l *resultLog) await(ctx context.Context, after, total int, wait time.Duration, ended <-chan struct{}) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		results, changed := l.page(after)
		if len(results) > 0 || l.confirmedCount() >= total {
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

// peerPage reads a page from the daemons most likely to run the batch.
func (m *Manager) peerPage(ctx context.Context, b *batchState, after int, wait time.Duration) (Page, bool) {
	m.mu.Lock()
	job, ended, confirmed := b.job, b.ended, b.log.confirmedCount()
	m.mu.Unlock()
	if confirmed > after {
		return Page{}, false
	}
	if ended {
		wait = 0 // no more results will come
	}
	peers := m.members()
	candidates := m.candidates(job, peers)
	asked := 0
	for _, id := range candidates {
		if asked >= maxPeersAsked {
			break
		}
		if id == m.self || peers[id] == "" {
			continue // it does not run the batch, but one after it may have taken it over at a planned stop
		}
		asked++
		page, ok, responded := m.requestPage(ctx, peers[id], job.ID, after, wait)
		if ok {
			return page, true
		}
		if !responded && !ended && ctx.Err() == nil {
			m.suspectCandidates(candidates, peers)
		}
	}
	return Page{}, false
}

// suspectCandidates has the daemons checked that should run a batch. Load pattern: its owner and all of
// its backups are lost together, such as a failure domain. The other daemons do not supervise the batch;
// they become its backups once the lost ones are no longer listed, and the reader of its results is the
// first to notice. Those that respond stay listed.
func (m *Manager) suspectCandidates(candidates []string, peers map[string]string) {
	for i, id := range candidates {
		if i > maxBackups {
			return
		}
		if id != m.self && peers[id] != "" {
			m.reportUnresponsive(id)
		}
	}
}

// requestPage asks one daemon for a page. responded is false if the daemon may be lost.
func (m *Manager) requestPage(ctx context.Context, address, id string, after int, wait time.Duration) (page Page, ok, responded bool) {
	ctx, cancel := context.WithTimeout(ctx, wait+peerReadTimeout)
	defer cancel()
	conn, err := m.conns.Conn(ctx, address)
	if err != nil {
		return Page{}, false, false
	}
	start := time.Now()
	resp, err := batchpb.NewDRPCBatchClient(conn).Results(ctx, &batchpb.ResultsRequest{
		Id: id, After: int64(after), WaitMs: wait.Milliseconds(),
	})
	outcome := "answered"
	if err != nil {
		outcome = "failed"
	}
	m.measures.Observe(measure.PeerRead, time.Since(start), outcome)
	if err != nil || !resp.Known {
		return Page{}, false, err == nil
	}
	return page, json.Unmarshal(resp.Json, &page) == nil, true
}

// storedPage returns the results known to this daemon, or reads the store for new ones.
func (m *Manager) storedPage(ctx context.Context, b *batchState, after int) (Page, error) {
	m.mu.Lock()
	log, total := b.log, b.total()
	noMoreWrites := b.ended && time.Since(b.endedAt) > lateWritePeriod
	fresh := b.fullyLoaded || time.Since(b.loadedAt) < minLoadInterval
	m.mu.Unlock()
	results, _ := log.page(after)
	if len(results) > 0 || log.confirmedCount() >= total || fresh {
		return Page{Total: total, Results: results}, nil
	}
	if err := log.load(ctx); err != nil {
		return Page{}, storeUnavailable(err)
	}
	m.mu.Lock()
	b.loadedAt, b.fullyLoaded = time.Now(), noMoreWrites
	m.mu.Unlock()
	results, _ = log.page(after)
	return Page{Total: total, Results: results}, nil
}
