package batch

// carriedOver returns the completions that this daemon has for items of the batch from earlier
// batches of the same model and organisation: items of groups that an earlier step did not wait for are submitted
// again. A completion is usable if none of its weight versions is older than the batch allows.
// The caller holds m.mu.
func (m *Manager) carriedOver(job Job) map[string]*Completion {
	wanted := map[string]bool{}
	for _, item := range job.Items {
		wanted[item.ID] = true
	}
	completions := map[string]*Completion{}
	for _, b := range m.batches {
		if b.run == nil || b.job.ID == job.ID || b.job.Model != job.Model || b.job.Step >= job.Step || b.job.Organisation != job.Organisation {
			continue
		}
		for id, completion := range b.run.copyCompletions() {
			if wanted[id] && completion.satisfies(job.MinVersion) && (completions[id] == nil || len(completions[id].Events) < len(completion.Events)) {
				completion.Score, completion.Failures = "", 0 // an item is scored and counted anew in each batch
				completions[id] = completion
			}
		}
	}
	return completions
}

// satisfies reports whether the completion has events and all its versions are at least minVersion.
func (c *Completion) satisfies(minVersion int64) bool {
	for _, v := range c.Versions {
		if v < minVersion {
			return false
		}
	}
	return len(c.Events) > 0
}

// copyCompletions returns copies of the run's completions by item, partial and complete.
func (r *run) copyCompletions() map[string]*Completion {
	r.mu.Lock()
	defer r.mu.Unlock()
	completions := map[string]*Completion{}
	for _, source := range []map[string]*Completion{r.unfinished, r.finished} {
		for id, completion := range source {
			completions[id] = completion.copy()
		}
	}
	return completions
}

func (c *Completion) copy() *Completion {
	copied := *c
	copied.Events, copied.Versions = append([]string(nil), c.Events...), append([]int64(nil), c.Versions...)
	return &copied
}
