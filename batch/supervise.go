package batch

import (
	"context"
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
	// takeOverRounds is how many rounds in a row the daemons ahead must not run a batch
	// before the next one does.
	takeOverRounds = 3
	// standIns is how many daemons beside the owner look after a batch.
	standIns = 3
	askLimit = 400 * time.Millisecond
	// handLimit bounds the handing over of a batch.
	handLimit = 2 * time.Second
	// stallLimit is the pause between two rounds from which on this daemon was suspended
	// or starved so long that others may have taken it for lost, and suspectTime is how
	// long it then reads the store before it shows results of its batches.
	stallLimit  = 1500 * time.Millisecond
	suspectTime = 5 * time.Second
)

// candidates are the daemons that should run a batch, best first: the one that accepted
// it, then the others by rendezvous hashing.
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

// supervise starts the batches that this daemon should run because it accepted them, or
// because those ahead of it don't.
func (m *Manager) supervise(ctx context.Context) {
	if !m.mirror.Known(KindJobs) || !m.mirror.Known(KindEnds) {
		return // a batch that seems open may have ended
	}
	peers := m.members()
	// Side by side: after the loss of all machines the questions to daemons that are not
	// back yet take their whole time, and a daemon has several batches to take up again.
	var batches sync.WaitGroup
	for _, k := range m.unserved() {
		order := m.candidates(m.jobOf(k), peers)
		if rank := slices.Index(order, m.self); rank >= 0 && rank <= standIns {
			batches.Go(func() { m.superviseOne(ctx, k, order[:rank], peers) })
		}
	}
	batches.Wait()
	m.yieldDoubles(ctx, peers)
	m.expire(ctx)
}

// Runs reports whether this daemon runs a batch.
func (m *Manager) Runs(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.jobs[id]
	return k != nil && (k.run != nil || k.starting)
}

// yieldDoubles stops the batches that this daemon runs as a stand-in while one ahead of it
// runs them too.
func (m *Manager) yieldDoubles(ctx context.Context, peers map[string]string) {
	m.mu.Lock()
	var running []*known
	for _, k := range m.jobs {
		if k.run != nil && !k.ended && k.job.Owner != m.self {
			running = append(running, k)
		}
	}
	m.mu.Unlock()
	for _, k := range running {
		job := m.jobOf(k)
		for i, id := range m.candidates(job, peers) {
			if id == m.self || i >= standIns {
				break
			}
			if m.askRuns(ctx, peers[id], job.ID) {
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
	k := m.jobs[id]
	if k == nil || k.run == nil || k.ended {
		return
	}
	m.log.Log(event.BatchYielded, event.F("batch", id))
	k.run.cancel()
	k.run = nil
}

// unserved are the open batches that this daemon does not run.
func (m *Manager) unserved() []*known {
	m.mu.Lock()
	defer m.mu.Unlock()
	var found []*known
	for _, k := range m.jobs {
		if k.job.ID != "" && k.run == nil && !k.starting && !k.ended && !m.draining {
			found = append(found, k)
		}
	}
	return found
}

func (m *Manager) superviseOne(ctx context.Context, k *known, ahead []string, peers map[string]string) {
	job := m.jobOf(k)
	if k.log.size() >= job.total() {
		return
	}
	others := ahead
	if len(ahead) == 0 { // the owner after a restart: a stand-in may have begun
		others = m.candidates(job, peers)[1:]
		others = others[:min(len(others), standIns-1)]
	}
	rounds := m.countUnserved(k, m.anyRuns(ctx, others, peers, job.ID))
	if rounds == 0 || len(ahead) > 0 && rounds < takeOverRounds*len(ahead) {
		return
	}
	m.takeOver(ctx, k, nil)
}

// countUnserved returns in how many rounds in a row nobody ahead of this daemon ran a batch,
// this one included. A batch may be handed over at the same moment.
func (m *Manager) countUnserved(k *known, served bool) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	k.unserved++
	if served {
		k.unserved = 0
	}
	return k.unserved
}

// anyRuns asks daemons side by side whether one of them runs a batch: those that are lost
// take the whole time for an answer.
func (m *Manager) anyRuns(ctx context.Context, daemons []string, peers map[string]string, id string) bool {
	answers := make(chan bool, len(daemons))
	for _, daemon := range daemons {
		go func() { answers <- m.askRuns(ctx, peers[daemon], id) }()
	}
	for range daemons {
		if <-answers {
			return true
		}
	}
	return false
}

func (m *Manager) askRuns(ctx context.Context, address, id string) bool {
	if address == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	conn, err := m.conns.Conn(ctx, address)
	if err != nil {
		return false
	}
	answer, err := batchpb.NewDRPCBatchClient(conn).Runs(ctx, &batchpb.JobRequest{Id: id})
	return err == nil && answer.Running
}

// takeOver runs a batch from where its log stands. texts are of its unfinished items, nil
// when the daemon that ran it did not hand them over: then those that it saved are used.
func (m *Manager) takeOver(ctx context.Context, k *known, texts map[string]*Text) {
	m.mu.Lock()
	if k.run != nil || k.starting || k.ended || m.draining {
		m.mu.Unlock()
		return
	}
	k.starting = true
	job, log := k.job, k.log
	m.mu.Unlock()
	items, err := m.items(ctx, job)
	if err == nil {
		var saved map[string]*Text
		if saved, err = log.loadWithTexts(ctx); texts == nil {
			texts = saved
		}
	}
	ended := false
	if err == nil {
		ended, err = m.hasEnded(ctx, job.ID)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	k.starting = false
	if ended {
		m.noteEnd(job.ID)
	}
	if err != nil || k.ended || m.draining {
		return // looked at again in the next round
	}
	job.Items = items
	k.job = job
	log.contest()
	k.run = m.start(job, log, texts)
	k.unserved = 0
	go m.tellTaken(job)
	m.log.Log(event.BatchTakenOver, event.F("batch", job.ID), event.F("owner", job.Owner),
		event.F("listed", log.size()), event.F("texts", len(texts)))
}

// hasEnded asks the store whether a batch ended: the mirror may not have heard of it yet.
func (m *Manager) hasEnded(ctx context.Context, id string) (bool, error) {
	_, err := m.store.Get(ctx, endKey(id))
	if fault.Is(err, fault.NotFound) {
		return false, nil
	}
	return err == nil, err
}

// tellTaken tells the daemons ahead of this one that it runs their batch, in case they
// were only slow.
func (m *Manager) tellTaken(job Job) {
	peers := m.members()
	for i, id := range m.candidates(job, peers) {
		if id == m.self || i >= standIns {
			return
		}
		ctx, cancel := context.WithTimeout(m.ctx, askLimit)
		if conn, err := m.conns.Conn(ctx, peers[id]); err == nil && peers[id] != "" {
			// One that does not answer reads the store before it shows results again.
			_, _ = batchpb.NewDRPCBatchClient(conn).Taken(ctx, &batchpb.JobRequest{Id: job.ID})
		}
		cancel()
	}
}
