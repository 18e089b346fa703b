package waves

// Counts is the manager's work at one moment.
type Counts struct {
	Orders int  `json:"orders"` // in progress
	Behind int  `json:"behind"` // replicas without the newest version that is meant for them
	Lease  bool `json:"lease"`  // this daemon gives the orders
}

// Counts returns the work at this moment.
func (m *Manager) Counts() Counts {
	_, holds := m.lease.holds()
	m.mu.Lock()
	defer m.mu.Unlock()
	return Counts{Orders: len(m.orders), Behind: m.behind, Lease: holds}
}
