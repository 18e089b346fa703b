package rollout

import (
	"math"
	"time"

	"github.com/hornbeamtide/hornbeamtide/document"
)

const (
	trainerAbsentAfter   = 3 * time.Second // a trainer that has not pulled for this long counts as absent
	absentTrainerDivisor = 4               // while the trainer is absent, one in this many groups may run
)

// runsAllowed returns how many groups of the step may run now. Under the staleness
// preference it limits the groups while the trainer is absent, because finished samples
// age until the trainer pulls them. The limit ends after half of the step's time. The
// caller holds mu.
func (s *step) runsAllowed(doc *document.Document) int {
	if s.m.config.DisableStalenessPreference || doc.Samples.Preference != document.PreferStaleness {
		return math.MaxInt
	}
	if s.m.now().Sub(s.lastPullAt) < trainerAbsentAfter || s.age() > doc.Samples.StepTime/2 {
		return math.MaxInt
	}
	return max(1, len(s.groups)/absentTrainerDivisor) - s.readyGroups()
}

// readyGroups returns the number of ready samples, converted to whole groups. The
// caller holds mu.
func (s *step) readyGroups() int {
	readySamples := 0
	for _, sample := range s.samples {
		if sample.phase == ready {
			readySamples++
		}
	}
	return readySamples * len(s.groups) / len(s.samples)
}
