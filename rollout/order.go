package rollout

import (
	"math"
	"sort"
	"time"

	"github.com/hornbeamtide/hornbeamtide/document"
)

const (
	trainerAway = 3 * time.Second // without a pull the trainer counts as away
	aheadShare  = 4               // one in this many groups runs ahead of an absent trainer
)

// groupWork is what is left to do of a group.
type groupWork struct {
	group   int
	partial bool // some of its samples were generated
	samples int  // wanted
	tokens  int  // most that these may take
}

// order returns the groups in the order in which they start. The idle time preference
// finishes the step soonest: groups that were begun first, since they hold the step
// up, then the largest. The staleness preference starts the groups that are nearest to
// complete first, so that fewer finished samples wait for their group. The caller
// holds mu.
func (s *step) order(doc *document.Document, groups []int) []int {
	if s.m.config.DisableGroupOrder || len(groups) < 2 {
		return groups
	}
	work := s.work(groups)
	sort.SliceStable(work, func(i, j int) bool {
		a, b := work[i], work[j]
		if doc.Samples.Preference == document.PreferStaleness {
			return a.samples < b.samples
		}
		if a.partial != b.partial {
			return a.partial
		}
		return a.tokens > b.tokens
	})
	ordered := make([]int, len(work))
	for i, w := range work {
		ordered[i] = w.group
	}
	return ordered
}

// work returns what is left to do of the groups. The caller holds mu.
func (s *step) work(groups []int) []groupWork {
	work := make([]groupWork, len(groups))
	for i, group := range groups {
		g := s.definition.Groups[group]
		w := groupWork{group: group}
		for id := g.First; id < g.First+g.Samples; id++ {
			if s.samples[id].phase == wanted {
				w.samples++
				continue
			}
			w.partial = true
		}
		w.tokens = w.samples * int(g.MaxTokens)
		work[i] = w
	}
	return work
}

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
