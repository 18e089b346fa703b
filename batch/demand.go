package batch

import "sort"

const (
	// recentSteps is the number of latest batches of a model that its demand is averaged over.
	recentSteps = 3
	// defaultItemTokens is the assumed output tokens of items without an estimate.
	defaultItemTokens = 500
)

// Demand returns the recent demand by model: the mean of the expected output tokens of its
// latest batches.
func (m *Manager) Demand() map[string]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	byModel := map[string][]*batchState{}
	for _, b := range m.batches {
		if b.job.ID != "" {
			byModel[b.job.Model] = append(byModel[b.job.Model], b)
		}
	}
	demand := map[string]float64{}
	for model, batches := range byModel {
		sort.Slice(batches, func(a, b int) bool { return batches[a].job.Step > batches[b].job.Step })
		batches = batches[:min(len(batches), recentSteps)]
		for _, b := range batches {
			demand[model] += b.expectedTokens / float64(len(batches))
		}
	}
	return demand
}

// expectedTokens returns the expected output tokens of a batch.
func expectedTokens(job Job) float64 {
	var tokens float64
	for _, item := range job.Items {
		if item.ExpectedTokens > 0 {
			tokens += float64(item.ExpectedTokens)
		} else {
			tokens += defaultItemTokens
		}
	}
	if len(job.Items) == 0 {
		return job.ExpectedTokens
	}
	return tokens
}
