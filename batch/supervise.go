package batch

import (
	"context"
	"math"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamtide/hornbeamtide/batch/batchpb"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fault"
)

const (
	superviseInterval = 500 * time.Millisecond
	// A daemon takes a batch over after takeoverRounds consecutive rounds without a runner for
	// each candidate before it.
	takeoverRounds = 3
	// maxBackups is the number of daemons besides the owner that supervise a batch.
	maxBackups      = 3
	peerCallTimeout = 400 * time.Millisecond
	// handOverTimeout bounds the call that hands a batch over.
	handOverTimeout = 2 * time.Second
	// stallThreshold is the time between two rounds from which on this daemon must have been
	// suspended or without CPU so long that others may consider it lost. It then reads the store
	// for suspectPeriod before it returns results of its batches.
	stallThreshold = 1500 * time.Millisecond
	suspectPeriod  = 5 * time.Second
)

// candidates returns the daemons that should run a batch in order of preference: the owner,
// which accepted it, then the others by rendezvous hashing.
func (m *Manager) candidates(job Job, peers map[string]string) []string {
	ids := []string{job.Owner}
	rest := make([]string, 0, len(peers))
	for id := range peers {
		if id != job.Owner {
			rest = append(rest, id)
		}
	}
	sort.Slice(rest, func(a, b int) bool { return weight(job.ID, rest[a]) > weight(job.ID, rest[b]) })
	return append(ids, rest...)
}

func weight(job, daemon string) uint64 { return xxhash.Sum64String(job + "\x00" + daemon) }

// supervise starts the batches that this daemon owns, and those that no candidate before it runs.
func (m *Manager) supervise(ctx context.Context) {
	if !m.mirror.Known(KindBatches) || !m.mirror.Known(KindBatchEnds) {
		return // a batch that seems open may have ended
	}
	peers := m.members()
	// In parallel: after a loss of all instances, calls to daemons that are not back yet take
	// their full timeout, and a daemon has several batches to resume.
	var wg sync.WaitGroup
	for _, b := range m.unservedBatches() {
		order := m.candidates(m.jobOf(b), peers)
		if rank := slices.Index(order, m.self); rank >= 0 && rank <= maxBackups {
			wg.Go(func() {
				m.log.Guard("supervision of batch "+m.jobOf(b).ID, func() { m.superviseBatch(ctx, b, order[:rank], peers) })
			})
		}
	}
	wg.Wait()
	m.yieldDuplicates(ctx, peers)
	m.releaseListed()
	m.expire(ctx)
}

// releaseListed releases the items of batches whose items are all listed: their clients may end them late or
// never.
func (m *Manager) releaseListed() {
	m.mu.Lock()
	var listed []*run
	for _, b := range m.batches {
		if b.run != nil && !b.ended && b.log.confirmedCount() >= b.total() {
			listed = append(listed, b.run)
		}
	}
	m.mu.Unlock()
	for _, r := range listed {
		r.releaseItems()
	}
}

// IsRunning reports whether this daemon runs a batch or is about to.
func (m *Manager) IsRunning(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := m.batches[id]
	return b != nil && (b.run != nil || b.starting)
}

// yieldDuplicates stops the batches that this daemon runs as a backup while a candidate before it
// runs them too.
func (m *Manager) yieldDuplicates(ctx context.Context, peers map[string]string) {
	m.mu.Lock()
	var running []*batchState
	for _, b := range m.batches {
		if b.run != nil && !b.ended && b.job.Owner != m.self {
			running = append(running, b)
		}
	}
	m.mu.Unlock()
	for _, b := range running {
		job := m.jobOf(b)
		for i, id := range m.candidates(job, peers) {
			if id == m.self || i >= maxBackups {
				break
			}
			if m.peerRuns(ctx, peers[id], job.ID) {
				m.yield(job.ID)
				break
			}
		}
	}
}

// yield stops this daemon's run of a batch that another daemon runs.
func (m *Manager) yield(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := m.batches[id]
	if b == nil || b.run == nil || b.ended {
		return
	}
	m.log.Log(event.BatchYielded, event.F("batch", id))
	b.run.cancel()
	b.run = nil
}

// unservedBatches returns the open batches that this daemon does not run.
func (m *Manager) unservedBatches() []*batchState {
	m.mu.Lock()
	defer m.mu.Unlock()
	var found []*batchState
	for _, b := range m.batches {
		if b.job.ID != "" && b.run == nil && !b.starting && !b.ended && !m.draining && m.accepting[b.job.ID] == 0 {
			found = append(found, b)
		}
	}
	return found
}

func (m *Manager) superviseBatch(ctx context.Context, b *batchState, ahead []string, peers map[string]string) {
	job := m.jobOf(b)
	if b.log.confirmedCount() >= job.total() {
		return
	}
	others := ahead
	if len(ahead) == 0 { // the owner after a restart: a backup may have taken over
		others = m.candidates(job, peers)[1:]
		others = others[:min(len(others), maxBackups-1)]
	}
	rounds := m.countUnserved(b, m.anyPeerRuns(ctx, others, peers, job.ID))
	if rounds == 0 || len(ahead) > 0 && rounds < takeoverRounds*len(ahead) {
		return
	}
	m.takeOver(ctx, b, nil, false)
}

// countUnserved returns the number of consecutive rounds, including this one, in which none of
// the other daemons that were asked ran a batch. The batch may be taken over concurrently.
func (m *Manager) countUnserved(b *batchState, served bool) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	b.unservedRounds++
	if served {
		b.unservedRounds = 0
	}
	return b.unservedRounds
}

// anyPeerRuns asks daemons in parallel whether one of them runs a batch, since calls to lost
// daemons take their full timeout.
func (m *Manager) anyPeerRuns(ctx context.Context, daemons []string, peers map[string]string, id string) bool {
	replies := make(chan bool, len(daemons))
	for _, daemon := range daemons {
		go func() {
			runs := false
			m.log.Guard("question to daemon "+daemon, func() { runs = m.peerRuns(ctx, peers[daemon], id) })
			replies <- runs
		}()
	}
	for range daemons {
		if <-replies {
			return true
		}
	}
	return false
}

func (m *Manager) peerRuns(ctx context.Context, address, id string) bool {
	if address == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	conn, err := m.conns.Conn(ctx, address)
	if err != nil {
		return false
	}
	resp, err := batchpb.NewDRPCBatchClient(conn).Runs(ctx, &batchpb.JobRequest{Id: id})
	return err == nil && resp.Running
}

// takeOver runs a batch from the current end of its log. completions are those of its unfinished
// items, nil if the previous runner did not hand them over: then the saved ones are used. settled means
// that the previous runner has ended and none of its writes may still take effect.
func (m *Manager) takeOver(ctx context.Context, b *batchState, completions map[string]*Completion, settled bool) {
	m.mu.Lock()
	if b.run != nil || b.starting || b.ended || m.draining {
		m.mu.Unlock()
		return
	}
	b.starting = true
	job, log := b.job, b.log
	m.mu.Unlock()
	memory := m.itemMemory.PriorityHolder(math.MaxInt64)
	defer memory.Release()
	loading := true
	defer func() { // counts only if loading panics: the batch would otherwise count as run here for ever
		if loading {
			m.mu.Lock()
			b.starting = false
			m.mu.Unlock()
		}
	}()
	items, err := m.loadItems(ctx, job, memory)
	if err == nil {
		var savedCompletions map[string]*Completion
		if savedCompletions, err = log.loadWithCompletions(ctx); completions == nil {
			completions = savedCompletions
		}
	}
	ended := false
	if err == nil {
		ended, err = m.hasEnded(ctx, job.ID)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	b.starting, loading = false, false
	if ended {
		m.markEnded(job.ID)
	}
	if err != nil || b.ended || m.draining {
		return // retried in the next round
	}
	job.Items = items
	memory.ShrinkTo(job.itemMemory())
	b.job = job
	if !settled {
		log.markContested()
	}
	b.run = m.start(job, log, completions, memory.Transfer())
	b.unservedRounds = 0
	go m.log.Guard("notice of batch "+job.ID, func() { m.notifyTakenOver(job) })
	m.log.Log(event.BatchTakenOver, event.F("batch", job.ID), event.F("owner", job.Owner),
		event.F("listed", log.confirmedCount()), event.F("texts", len(completions)))
}

// hasEnded reads from the store whether a batch ended: the mirror may be lagging.
func (m *Manager) hasEnded(ctx context.Context, id string) (bool, error) {
	_, err := m.store.Get(ctx, endKey(id))
	if fault.Is(err, fault.NotFound) {
		return false, nil
	}
	return err == nil, err
}

// notifyTakenOver notifies the candidates before this daemon that it runs their batch, in case
// they were only slow.
func (m *Manager) notifyTakenOver(job Job) {
	peers := m.members()
	for i, id := range m.candidates(job, peers) {
		if id == m.self || i >= maxBackups {
			return
		}
		ctx, cancel := context.WithTimeout(m.ctx, peerCallTimeout)
		if conn, err := m.conns.Conn(ctx, peers[id]); err == nil && peers[id] != "" {
			// A daemon that does not respond reads the store before it returns results again.
			_, _ = batchpb.NewDRPCBatchClient(conn).Taken(ctx, &batchpb.JobRequest{Id: job.ID})
		}
		cancel()
	}
}
