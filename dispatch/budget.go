package dispatch

import (
	"cmp"
	"slices"
)

// Parameters of the retry budget.
const (
	retryBurst     = 10.0 // maximum number of unused retries that accumulate
	percentDivisor = 100.0
)

// retryBudget is a token bucket that limits retries to a percentage of the caller requests:
// each request adds a fraction of a retry.
type retryBudget struct {
	tokens float64
}

func newRetryBudget() *retryBudget { return &retryBudget{tokens: retryBurst} }

// refill adds the fraction of a retry that one request contributes.
func (b *retryBudget) refill(percent int) {
	b.tokens = min(b.tokens+float64(percent)/percentDivisor, retryBurst)
}

// take removes one retry and reports whether one was available.
func (b *retryBudget) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// budget returns the service's retry budget; m.mu must be held.
func (m *Manager) budget(service string) *retryBudget {
	b := m.budgets[service]
	if b == nil {
		b = newRetryBudget()
		m.budgets[service] = b
	}
	return b
}

func (m *Manager) refillBudget(c *call) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget(c.document.Service).refill(c.document.Retry.Budget)
}

func (m *Manager) takeRetry(c *call) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	taken := m.budget(c.document.Service).take()
	if taken {
		m.counters.Retries++
	} else {
		m.counters.RetriesDenied++
	}
	return taken
}

// Dump returns a snapshot of the package's state.
func (m *Manager) Dump() State {
	m.mu.Lock()
	defer m.mu.Unlock()
	state := State{Counters: m.counters}
	for service, b := range m.budgets {
		state.Budgets = append(state.Budgets, BudgetState{Service: service, Tokens: b.tokens})
	}
	slices.SortFunc(state.Budgets, func(a, b BudgetState) int { return cmp.Compare(a.Service, b.Service) })
	return state
}
