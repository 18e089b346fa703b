package waves

// Counts is a snapshot of the manager's work.
type Counts struct {
	Orders     int  `json:"orders"` // load orders in progress
	Lagging    int  `json:"behind"` // replicas without the newest version of the model assigned to them
	HoldsLease bool `json:"lease"`  // this daemon holds the lease and sends the orders
}

// Counts returns the current counts.
func (m *Manager) Counts() Counts {
	_, holds := m.lease.Holds()
	m.mu.Lock()
	defer m.mu.Unlock()
	return Counts{Orders: len(m.orders), Lagging: m.lagging, HoldsLease: holds}
}
