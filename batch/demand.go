package batch

import (
	"sort"
	"time"
)

const (
	// stepMemory is how long a trainer counts after its last batch.
	stepMemory = 12 * time.Second

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
			tokens += float64(min(item.ExpectedTokens, maxExpectedTokens))
		} else {
			tokens += defaultItemTokens
		}
	}
	if len(job.Items) == 0 {
		return job.ExpectedTokens
	}
	return tokens
}

// StepItems returns the number of items of the latest batch of each model, added by the service of their
// route's split to which they belong. Models without a batch in the last stepMemory are left out.
func (m *Manager) StepItems() map[string]int {
	configuration := m.configuration()
	if configuration == nil {
		return nil
	}
	m.mu.Lock()
	latest := map[string]Job{}
	for _, b := range m.batches {
		if b.job.ID != "" && time.Since(b.job.AcceptedAt) < stepMemory && b.job.Step >= latest[b.job.Model].Step {
			latest[b.job.Model] = b.job
		}
	}
	m.mu.Unlock()
	items := map[string]int{}
	for _, job := range latest {
		route, found := configuration.Match(job.Host, job.Path)
		if !found {
			continue
		}
		var weights float64
		for _, share := range route.Split {
			weights += share.Weight
		}
		for _, share := range route.Split {
			if weights > 0 {
				items[share.Service] += int(float64(job.total()) * share.Weight / weights)
			}
		}
	}
	return items
}
