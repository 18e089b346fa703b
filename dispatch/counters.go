package dispatch

import "github.com/hornbeamtide/hornbeamtide/fault"

// Counters count since the daemon's start.
type Counters struct {
	Requests  int64 `json:"requests"`  // of callers
	Attempts  int64 `json:"attempts"`  // of callers' requests
	Retries   int64 `json:"retries"`   // attempts after the first
	Withheld  int64 `json:"withheld"`  // retries that the budget did not allow
	Whole     int64 `json:"whole"`     // answers passed on whole
	Cut       int64 `json:"cut"`       // answers that broke after they were partly passed on
	NotRun    int64 `json:"not_run"`   // requests ended as not run
	Unknown   int64 `json:"unknown"`   // requests ended as unknown
	Failed    int64 `json:"failed"`    // requests ended as failed
	Rejected  int64 `json:"rejected"`  // answers that were crossed, truncated or untagged
	Samples   int64 `json:"samples"`   // whole samples
	Voided    int64 `json:"voided"`    // sample attempts that failed
	Tokens    int64 `json:"tokens"`    // passed on or kept
	Discarded int64 `json:"discarded"` // tokens of failed attempts
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

// Counters returns the counts so far.
func (m *Manager) Counters() Counters {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counters
}

// BudgetState is the retry budget of one service.
type BudgetState struct {
	Service string  `json:"service"`
	Tokens  float64 `json:"tokens"` // retries allowed now
}

// State is the module's state dump.
type State struct {
	Counters Counters      `json:"counters"`
	Budgets  []BudgetState `json:"budgets"` // ordered by service
}
