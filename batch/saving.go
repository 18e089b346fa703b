package batch

import (
	"sort"
	"time"

	"github.com/hornbeamtide/hornbeamtide/objectapi"
)

const (
	// saveInterval is the least time between two writes, and how long a text must have
	// grown to be worth one. saveShare is added to it: the part of the longest text's time
	// that may be lost.
	saveInterval = 1500 * time.Millisecond
	saveShare    = 0.125
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
