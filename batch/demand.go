package batch

import "sort"

const (
	// recentSteps is how many batches of a model count for its demand.
	recentSteps = 3
	// unknownLength is assumed of items whose length nobody estimated.
	unknownLength = 500
)

// Demand returns the recent work by model: the expected output tokens of a step, as a mean
// of the last batches.
func (m *Manager) Demand() map[string]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	byModel := map[string][]*known{}
	for _, k := range m.jobs {
		if k.job.ID != "" {
			byModel[k.job.Model] = append(byModel[k.job.Model], k)
		}
	}
	demand := map[string]float64{}
	for model, jobs := range byModel {
		sort.Slice(jobs, func(a, b int) bool { return jobs[a].job.Step > jobs[b].job.Step })
		jobs = jobs[:min(len(jobs), recentSteps)]
		for _, k := range jobs {
			demand[model] += k.work / float64(len(jobs))
		}
	}
	return demand
}

// workOf is the expected output tokens of a batch.
func workOf(job Job) float64 {
	var tokens float64
	for _, item := range job.Items {
		if item.Length > 0 {
			tokens += float64(item.Length)
		} else {
			tokens += unknownLength
		}
	}
	if len(job.Items) == 0 {
		return job.Work
	}
	return tokens
}
