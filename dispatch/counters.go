package dispatch

import "github.com/hornbeamtide/hornbeamtide/fault"

// Counters holds totals since the daemon started.
type Counters struct {
	Requests        int64 `json:"requests"`  // caller requests
	Attempts        int64 `json:"attempts"`  // attempts of caller requests
	Retries         int64 `json:"retries"`   // attempts of caller requests after the first
	RetriesDenied   int64 `json:"withheld"`  // retries denied by the budget
	Complete        int64 `json:"whole"`     // responses forwarded completely
	Truncated       int64 `json:"cut"`       // responses that ended early after part of them was forwarded
	NotRun          int64 `json:"not_run"`   // requests with outcome fault.NotRun
	Unknown         int64 `json:"unknown"`   // requests with outcome fault.Unknown
	Failed          int64 `json:"failed"`    // requests with outcome fault.Failed
	Rejected        int64 `json:"rejected"`  // responses rejected as truncated, mismatched or untagged
	Samples         int64 `json:"samples"`   // complete samples
	FailedSamples   int64 `json:"voided"`    // failed sample attempts
	Tokens          int64 `json:"tokens"`    // forwarded to callers or in complete samples
	DiscardedTokens int64 `json:"discarded"` // tokens of failed sample attempts
}

func (c *Counters) countOutcome(outcome fault.Outcome) {
	switch outcome {
	case fault.NotRun:
		c.NotRun++
	case fault.Failed:
		c.Failed++
	default:
		c.Unknown++
	}
}

func (m *Manager) count(change func(*Counters)) {
	m.mu.Lock()
	change(&m.counters)
	m.mu.Unlock()
}

// Counters returns a copy of the current totals.
func (m *Manager) Counters() Counters {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counters
}

// BudgetState is the retry budget of one service.
type BudgetState struct {
	Service string  `json:"service"`
	Tokens  float64 `json:"tokens"` // retries available now
}

// State is the package's state dump.
type State struct {
	Counters Counters      `json:"counters"`
	Budgets  []BudgetState `json:"budgets"` // ordered by service
}
