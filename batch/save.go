package batch

import (
	"context"
	"encoding/json"
	"time"

	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
)

const (
	// saveCheckInterval is the interval between two checks of whether to save.
	saveCheckInterval = 250 * time.Millisecond
	// saveTimeout bounds a write.
	saveTimeout = time.Second
)

// completionSaver writes the unfinished completions of a run into one object next to its results,
// so that a daemon that takes the batch over, or this one after a restart, resumes from them. They
// are an optimisation only: a failed or lost write costs the time to regenerate the completions.
type completionSaver struct {
	*run

	version int64 // object version, 0 if unknown
}

// saveCompletions saves unfinished completions until the batch ends.
func (r *run) saveCompletions() {
	s := &completionSaver{run: r}
	ticker := time.NewTicker(saveCheckInterval)
	defer ticker.Stop()
	for lastSave := time.Now(); ; {
		select {
		case <-r.ctx.Done():
			return
		case <-ticker.C:
		}
		if !shouldSave(s.oldest(), time.Since(lastSave)) {
			continue
		}
		lastSave = time.Now()
		if completions := selectCompletions(s.unstored(), maxSavedBytes); len(completions) > 0 {
			if err := s.save(completions); err != nil {
				lastSave = lastSave.Add(-minSaveInterval / 2) // retry early, but not at each check while the store fails
				r.log.Log(event.BatchPartialsNotSaved, event.F("batch", r.job.ID), event.F("texts", len(completions)), event.Err(err))
			}
		}
	}
}

// oldest returns the age of the oldest item that is being streamed.
func (s *completionSaver) oldest() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	earliest := time.Now()
	for stream := range s.streams {
		if stream.task.startedAt.Before(earliest) {
			earliest = stream.task.startedAt
		}
	}
	return time.Since(earliest)
}

// unstored returns, by item, the completions whose results the store does not have, including
// those being streamed.
func (s *completionSaver) unstored() map[string]Completion {
	s.mu.Lock()
	defer s.mu.Unlock()
	completions := map[string]Completion{}
	for id, completion := range s.finished {
		if !s.results.isConfirmed(id) {
			completions[id] = *completion.copy()
		}
	}
	for id, completion := range s.unfinished {
		completions[id] = *completion.copy()
	}
	for stream := range s.streams {
		completions[stream.task.item.ID] = stream.snapshot()
	}
	return completions
}

func (s *completionSaver) save(completions map[string]Completion) error {
	value := encodeJSON(completions)
	for limit := maxSavedBytes / 2; objectapi.EncodedSize(value) > maxObjectBytes && limit > 0; limit /= 2 { // many escapes
		completions = selectCompletions(completions, limit)
		value = encodeJSON(completions)
	}
	ctx, cancel := context.WithTimeout(s.ctx, saveTimeout)
	defer cancel()
	start, key := time.Now(), completionsKey(s.job.ID)
	var err error
	if s.version, err = s.write(ctx, key, value); err != nil {
		return err
	}
	s.log.Log(event.BatchPartialsSaved, event.F("batch", s.job.ID), event.F("texts", len(completions)),
		event.F("bytes", len(value)), event.F("ms", time.Since(start).Milliseconds()))
	return nil
}

// write replaces the object and returns its version, 0 if unknown.
func (s *completionSaver) write(ctx context.Context, key string, value []byte) (int64, error) {
	if s.version == 0 {
		o, err := s.store.Create(ctx, key, value)
		if !fault.Is(err, fault.Conflict) {
			return o.Version, err
		}
		if o, err = s.store.Get(ctx, key); err != nil {
			return 0, err
		}
		s.version = o.Version
	}
	o, err := s.store.Update(ctx, key, value, s.version)
	if err != nil {
		return 0, err
	}
	return o.Version, nil
}

// decodeCompletions decodes saved completions without those of items that have a result.
func decodeCompletions(value []byte, hasResult func(item string) bool) map[string]*Completion {
	var completions map[string]*Completion
	if json.Unmarshal(value, &completions) != nil {
		return nil // unreadable completions are regenerated
	}
	for id := range completions {
		if hasResult(id) || completions[id] == nil {
			delete(completions, id)
		}
	}
	return completions
}
