package batch

import (
	"context"
	"encoding/json"
	"time"

	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fault"
)

const (
	// saveLook is the pause between two looks at the growing texts of a batch.
	saveLook = 250 * time.Millisecond
	// saveLimit bounds a write.
	saveLimit = time.Second
)

// saver writes the growing texts of a run into one object beside its results, so that a
// daemon that takes the batch over, or this one after a restart, goes on with them. They are
// a help only: a write that fails or is lost costs the time to make the texts again.
type saver struct {
	*run

	version int64 // of the object, 0 when unknown
}

// saveTexts saves growing texts until the batch ends.
func (r *run) saveTexts() {
	s := &saver{run: r}
	ticker := time.NewTicker(saveLook)
	defer ticker.Stop()
	for last := time.Now(); ; {
		select {
		case <-r.ctx.Done():
			return
		case <-ticker.C:
		}
		if !worthSaving(s.oldest(), time.Since(last)) {
			continue
		}
		last = time.Now()
		if texts := chooseTexts(s.growing()); len(texts) > 0 {
			if err := s.save(texts); err != nil {
				last = last.Add(-saveInterval / 2) // a store in trouble is not asked at each look
				r.log.Log(event.BatchTextsUnsaved, event.F("batch", r.job.ID), event.F("texts", len(texts)), event.Err(err))
			}
		}
	}
}

// oldest is how long the oldest text on its way has grown.
func (s *saver) oldest() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	begun := time.Now()
	for stream := range s.streams {
		if stream.task.begun.Before(begun) {
			begun = stream.task.begun
		}
	}
	return time.Since(begun)
}

// growing are the texts by item whose results the store does not have, those on their way
// included.
func (s *saver) growing() map[string]Text {
	s.mu.Lock()
	defer s.mu.Unlock()
	texts := map[string]Text{}
	for id, text := range s.whole {
		if !s.results.isListed(id) {
			texts[id] = *text.copy()
		}
	}
	for id, text := range s.texts {
		texts[id] = *text.copy()
	}
	for stream := range s.streams {
		texts[stream.task.item.ID] = stream.snapshot()
	}
	return texts
}

func (s *saver) save(texts map[string]Text) error {
	value, err := json.Marshal(texts)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(s.ctx, saveLimit)
	defer cancel()
	begun, key := time.Now(), textsKey(s.job.ID)
	if s.version, err = s.write(ctx, key, value); err != nil {
		return err
	}
	s.log.Log(event.BatchTextsSaved, event.F("batch", s.job.ID), event.F("texts", len(texts)),
		event.F("bytes", len(value)), event.F("ms", time.Since(begun).Milliseconds()))
	return nil
}

// write replaces the object and returns its version, 0 when that is unknown.
func (s *saver) write(ctx context.Context, key string, value []byte) (int64, error) {
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

// decodeTexts reads saved texts of which those of listed items are left out.
func decodeTexts(value []byte, listed func(item string) bool) map[string]*Text {
	var texts map[string]*Text
	if json.Unmarshal(value, &texts) != nil {
		return nil // made anew
	}
	for id := range texts {
		if listed(id) || texts[id] == nil {
			delete(texts, id)
		}
	}
	return texts
}
