package batch

import (
	"context"
	"encoding/json"
	"sort"
	"time"

	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
)

const (
	// saveLook is the pause between two looks at the growing texts of a batch.
	saveLook = 250 * time.Millisecond
	// saveInterval is the least time between two writes, and how long a text must have
	// grown to be worth one. saveShare is added to it: the part of the longest text's time
	// that may be lost.
	saveInterval = 1500 * time.Millisecond
	saveShare    = 0.125
	// saveLimit bounds a write.
	saveLimit = time.Second
	// saveBytes bounds the texts in the object, eventBytes is what one takes beside its data.
	saveBytes  = objectapi.MaxValueBytes / 4
	eventBytes = 10
)

// worthSaving decides whether growing texts are written to the store. Load pattern: a step
// that is whole only when its longest texts are, while its daemon, or all daemons at once, are
// lost. A step of which nothing is saved takes as long again as it ran; one text a write would
// cost more calls than it is worth. oldest is how long the oldest text has grown, sinceSave
// the time since the last write.
func worthSaving(oldest, sinceSave time.Duration) bool {
	return oldest >= saveInterval && sinceSave >= saveInterval+time.Duration(saveShare*float64(oldest))
}

// chooseTexts decides which growing texts are in the object: the longest, which would take
// the most time to make anew, as far as they fit.
func chooseTexts(texts map[string]Text) map[string]Text {
	ids := make([]string, 0, len(texts))
	for id, text := range texts {
		if len(text.Events) > 0 {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(a, b int) bool { return len(texts[ids[a]].Events) > len(texts[ids[b]].Events) })
	chosen, size := map[string]Text{}, 0
	for _, id := range ids {
		for _, e := range texts[id].Events {
			size += len(e) + eventBytes
		}
		if size > saveBytes {
			break
		}
		chosen[id] = texts[id]
	}
	return chosen
}

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
