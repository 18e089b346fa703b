package rollout

import (
	"math"
	"time"

	"github.com/hornbeamtide/hornbeamtide/document"
)

const (
	trainerAway = 3 * time.Second // without a pull the trainer counts as away
	aheadShare  = 4               // one in this many groups runs ahead of an absent trainer
)

// runLimit returns how many groups of the step may run now. The staleness preference
// holds work back while the trainer is away, since what is generated then ages until
// it comes, but not longer than half of the step's time. The caller holds mu.
func (s *step) runLimit(doc *document.Document) int {
	if s.m.config.DisableFreshness || doc.Samples.Preference != document.PreferStaleness {
		return math.MaxInt
	}
	if s.m.now().Sub(s.lastPull) < trainerAway || s.age() > doc.Samples.StepTime/2 {
		return math.MaxInt
	}
	return max(1, len(s.groups)/aheadShare) - s.readyGroups()
}

// readyGroups returns how many groups' worth of samples wait for the trainer. The
// caller holds mu.
func (s *step) readyGroups() int {
	waiting := 0
	for _, sample := range s.samples {
		if sample.phase == ready {
			waiting++
		}
	}
	return waiting * len(s.groups) / len(s.samples)
}
