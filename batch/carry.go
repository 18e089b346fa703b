package batch

// carried returns the texts that this daemon holds of items which come back in a later
// batch of the same model: the groups that an earlier step did not wait for. A text fits if
// no weight version of it is older than the batch allows. The manager's lock is held.
func (m *Manager) carried(job Job) map[string]*Text {
	wanted := map[string]bool{}
	for _, item := range job.Items {
		wanted[item.ID] = true
	}
	texts := map[string]*Text{}
	for _, k := range m.jobs {
		if k.run == nil || k.job.ID == job.ID || k.job.Model != job.Model || k.job.Step >= job.Step {
			continue
		}
		for id, text := range k.run.held() {
			if wanted[id] && text.allowed(job.MinVersion) && (texts[id] == nil || len(texts[id].Events) < len(text.Events)) {
				texts[id] = text
			}
		}
	}
	return texts
}

// allowed reports whether all versions of the text are new enough.
func (t *Text) allowed(minVersion int64) bool {
	for _, v := range t.Versions {
		if v < minVersion {
			return false
		}
	}
	return len(t.Events) > 0
}

// held returns copies of the run's texts, whole ones too.
func (r *run) held() map[string]*Text {
	r.mu.Lock()
	defer r.mu.Unlock()
	texts := map[string]*Text{}
	for _, source := range []map[string]*Text{r.texts, r.whole} {
		for id, t := range source {
			texts[id] = t.copy()
		}
	}
	return texts
}

func (t *Text) copy() *Text {
	return &Text{Events: append([]string(nil), t.Events...), Versions: append([]int64(nil), t.Versions...), Whole: t.Whole}
}
