package batch

// Counts is a snapshot of the manager's workload.
type Counts struct {
	Known   int `json:"known"`   // batches that are open or readable
	Running int `json:"running"` // batches run by this daemon
	Queue   int `json:"queue"`   // items waiting for a replica
	Pending int `json:"pending"` // results not yet written to the store
}

// Counts returns the current workload.
func (m *Manager) Counts() Counts {
	m.mu.Lock()
	counts := Counts{Known: len(m.batches)}
	var running []*run
	for _, b := range m.batches {
		if b.run != nil && !b.ended {
			running = append(running, b.run)
		}
	}
	m.mu.Unlock()
	counts.Running = len(running)
	for _, r := range running {
		r.mu.Lock()
		counts.Queue += len(r.queue)
		r.mu.Unlock()
		counts.Pending += r.results.pendingCount()
	}
	return counts
}

// pendingCount returns the number of results not yet confirmed by the store.
func (l *resultLog) pendingCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pending)
}
