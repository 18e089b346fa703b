package dispatch

import (
	"cmp"
	"slices"
)

// Retry budget limits.
const (
	budgetBurst    = 10.0 // retries saved up at most
	percentDivisor = 100.0
)

// retryBudget is a token bucket filled by live requests: each adds a share of a
// retry, so that retries stay a share of the traffic.
type retryBudget struct {
	tokens float64
}

func newRetryBudget() *retryBudget { return &retryBudget{tokens: budgetBurst} }

// fill adds the share of one live request.
func (b *retryBudget) fill(percent int) {
	b.tokens = min(b.tokens+float64(percent)/percentDivisor, budgetBurst)
}

// take uses one retry if there is one.
func (b *retryBudget) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (m *Manager) budget(service string) *retryBudget {
	b := m.budgets[service]
	if b == nil {
		b = newRetryBudget()
		m.budgets[service] = b
	}
	return b
}

func (m *Manager) fillBudget(c *call) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget(c.document.Service).fill(c.document.Retry.Budget)
}

func (m *Manager) takeRetry(c *call) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	taken := m.budget(c.document.Service).take()
	if taken {
		m.counters.Retries++
	} else {
		m.counters.Withheld++
	}
	return taken
}

// Dump returns the module's state.
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
