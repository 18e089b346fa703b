package batch

// Counts is the manager's work at one moment.
type Counts struct {
	Known   int `json:"known"`   // batches that are open or readable
	Running int `json:"running"` // of them run by this daemon
	Queue   int `json:"queue"`   // items that wait for a replica
	Pending int `json:"pending"` // results that wait to be listed
}

// Counts returns the work at this moment.
func (m *Manager) Counts() Counts {
	m.mu.Lock()
	counts := Counts{Known: len(m.jobs)}
	var running []*run
	for _, k := range m.jobs {
		if k.run != nil && !k.ended {
			running = append(running, k.run)
		}
	}
	m.mu.Unlock()
	counts.Running = len(running)
	for _, r := range running {
		r.mu.Lock()
		counts.Queue += len(r.queue)
		r.mu.Unlock()
		counts.Pending += r.results.pendingSize()
	}
	return counts
}

// pendingSize returns how many results wait to be listed.
func (l *resultLog) pendingSize() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pending)
}
