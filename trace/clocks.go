package trace

import (
	"time"

	"github.com/hornbeamtide/hornbeamtide/event"
)

// causes are pairs of events about one batch on two daemons of which the first always
// comes before the second.
var causes = []struct{ first, then int }{
	{event.BatchAccepted.Number, event.BatchForwarded.Number},   // the host answers after it stored the batch
	{event.BatchTakenOver.Number, event.BatchHandedOver.Number}, // the same
}

// shifts returns what must be added to the daemons' clocks so that no effect comes before
// its cause. Only the batches of the story are looked at: clocks may be set meanwhile.
func shifts(entries []Entry, batches map[string]bool) map[string]time.Duration {
	found := map[string]time.Duration{}
	for _, pair := range causes {
		for _, cause := range entries {
			if cause.Event != pair.first || !batches[cause.text("batch")] {
				continue
			}
			for _, effect := range entries {
				if effect.Event != pair.then || effect.text("batch") != cause.text("batch") || effect.Daemon == cause.Daemon {
					continue
				}
				late := cause.Time.Add(found[cause.Daemon]).Sub(effect.Time.Add(found[effect.Daemon]))
				if late > 0 && late < maxShift {
					found[effect.Daemon] += late + time.Millisecond
				}
			}
		}
	}
	return found
}

// maxShift is the largest difference of clocks that is put right; beyond it the two
// entries are of different runs.
const maxShift = time.Hour
