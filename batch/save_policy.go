package batch

import (
	"sort"
	"time"

	"github.com/hornbeamtide/hornbeamtide/objectapi"
)

const (
	// minSaveInterval is the minimum time between two writes and the minimum age of a
	// completion worth saving. maxLostShare of the oldest completion's age is added to the
	// interval, so that a loss costs about that share of its time.
	minSaveInterval = 1500 * time.Millisecond
	maxLostShare    = 0.125
	// maxSavedBytes bounds the completions in the object; eventOverheadBytes is the encoding overhead
	// of an event.
	maxSavedBytes      = objectapi.MaxValueBytes / 4
	eventOverheadBytes = 10
)

// shouldSave decides whether unfinished completions are written to the store. Load pattern: a
// step is complete only when its longest completions are, and its daemon, or all daemons at once,
// are lost. A step without saved completions takes as long again as it ran, while a write per
// completion would cost more calls than it is worth. oldest is the age of the oldest completion,
// sinceSave the time since the last write.
func shouldSave(oldest, sinceSave time.Duration) bool {
	return oldest >= minSaveInterval && sinceSave >= minSaveInterval+time.Duration(maxLostShare*float64(oldest))
}

// selectCompletions returns the completions to save: the longest, which would take the most time
// to regenerate, as far as they fit into maxBytes.
func selectCompletions(completions map[string]Completion, maxBytes int) map[string]Completion {
	ids := make([]string, 0, len(completions))
	for id, completion := range completions {
		if len(completion.Events) > 0 {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(a, b int) bool { return len(completions[ids[a]].Events) > len(completions[ids[b]].Events) })
	chosen, size := map[string]Completion{}, 0
	for _, id := range ids {
		for _, e := range completions[id].Events {
			size += len(e) + eventOverheadBytes
		}
		if size > maxBytes {
			break
		}
		chosen[id] = completions[id]
	}
	return chosen
}
