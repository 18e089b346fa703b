package duty

// Counts counts the reports that this daemon sent, by answer.
type Counts struct {
	Sent      int64 `json:"sent"`
	Accepted  int64 `json:"accepted"`
	Refused   int64 `json:"refused"` // 409: a newer holder exists
	Throttled int64 `json:"throttled"`
	Failed    int64 `json:"failed"` // no answer or an unexpected one
}

// State is the state of a window's report.
type State string

// Values of State.
const (
	StateStored   State = "stored"   // in the store; not accepted as far as this daemon knows
	StateAccepted State = "accepted" // accepted by the platform
)

// Window is the state of one window's report.
type Window struct {
	Window  int64 `json:"window"`
	State   State `json:"state"`
	DelayMs int64 `json:"delay_ms,omitempty"` // from the window's end until this daemon got the acceptance
}

// Dump is the state of a Manager.
type Dump struct {
	Holder       string   `json:"holder"` // as known here; "" if unknown
	Holds        bool     `json:"holds"`  // this daemon holds the lease as far as it knows
	LastAccepted int64    `json:"last_accepted"`
	Windows      []Window `json:"windows"` // those known here, oldest first; up to date on the holder only
	Counts       Counts   `json:"counts"`
}

// Dump returns the manager's state.
func (m *Manager) Dump() Dump {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := Dump{Holder: m.lease.Holder(), Holds: m.lease.IsHolder(), LastAccepted: m.last, Counts: m.counts}
	for _, r := range m.table.reports {
		w := Window{Window: r.Window, State: StateStored}
		if r.Accepted {
			w.State, w.DelayMs = StateAccepted, m.delays[r.Window].Milliseconds()
		}
		d.Windows = append(d.Windows, w)
	}
	return d
}
