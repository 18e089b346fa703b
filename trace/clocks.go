package trace

import (
	"time"

	"github.com/hornbeamtide/hornbeamtide/event"
)

// causalPairs are pairs of events about one batch on two daemons. The cause always happens
// before the effect.
var causalPairs = []struct{ causeEvent, effectEvent int }{
	{event.BatchAccepted.Number, event.BatchForwarded.Number},   // the owner responds after it has stored the batch
	{event.BatchTakenOver.Number, event.BatchHandedOver.Number}, // the new owner responds after it has taken over the batch
}

// clockOffsets returns the offset to add to each daemon's clock so that no effect is dated
// before its cause. It compares only entries of the given batches, because clocks may be
// adjusted between batches.
func clockOffsets(entries []Entry, batches map[string]bool) map[string]time.Duration {
	offsets := map[string]time.Duration{}
	for _, pair := range causalPairs {
		for _, cause := range entries {
			if cause.Event != pair.causeEvent || !batches[cause.stringField("batch")] {
				continue
			}
			for _, effect := range entries {
				if effect.Event != pair.effectEvent || effect.stringField("batch") != cause.stringField("batch") || effect.Daemon == cause.Daemon {
					continue
				}
				lag := cause.Time.Add(offsets[cause.Daemon]).Sub(effect.Time.Add(offsets[effect.Daemon]))
				if lag > 0 && lag < maxClockOffset {
					offsets[effect.Daemon] += lag + time.Millisecond
				}
			}
		}
	}
	return offsets
}

// maxClockOffset is the largest difference between clocks that is corrected. A larger one
// means that the two entries belong to different runs.
const maxClockOffset = time.Hour
