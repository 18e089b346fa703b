package routing

import (
	"cmp"
	"math/rand/v2"
)

// minCostLimit is the number of requests that a replica may have before the load bound
// applies: an engine runs a batch of this size at full speed.
const minCostLimit = 2

// ProbeChooser picks a failing or slow replica that is due for a trial request.
type ProbeChooser struct{}

// Choose implements Chooser.
func (ProbeChooser) Choose(_ *rand.Rand, candidates []Candidate) (int, bool) {
	for i := range candidates {
		if candidates[i].ProbeDue {
			return i, true
		}
	}
	return 0, false
}

// PrefixChooser picks the first replica, by rank, of the request's key whose cost is
// within Bound times the mean, so that requests with a shared prefix hit its cache.
type PrefixChooser struct {
	Bound float64
}

// Choose implements Chooser.
func (p PrefixChooser) Choose(_ *rand.Rand, candidates []Candidate) (int, bool) {
	limit := costLimit(candidates, p.Bound)
	best := -1
	for i := range candidates {
		c := &candidates[i]
		if c.Rank == 0 || c.Cost > limit {
			continue
		}
		if best < 0 || c.Rank < candidates[best].Rank {
			best = i
		}
	}
	return best, best >= 0
}

// LocalChooser picks the cheaper of two random replicas of the subset in the daemon's
// failure domain if its cost is within Bound times the mean.
type LocalChooser struct {
	Bound float64
}

// Choose implements Chooser.
func (l LocalChooser) Choose(random *rand.Rand, candidates []Candidate) (int, bool) {
	index := betterOfTwo(random, candidates, func(c *Candidate) bool { return c.Local && c.InSubset })
	if index < 0 || candidates[index].Cost > costLimit(candidates, l.Bound) {
		return 0, false
	}
	return index, true
}

// TwoChoiceChooser picks the cheaper of two random replicas of the subset, or of all
// candidates if none is in the subset.
type TwoChoiceChooser struct{}

// Choose implements Chooser.
func (TwoChoiceChooser) Choose(random *rand.Rand, candidates []Candidate) (int, bool) {
	index := betterOfTwo(random, candidates, func(c *Candidate) bool { return c.InSubset })
	if index < 0 {
		index = betterOfTwo(random, candidates, func(*Candidate) bool { return true })
	}
	return index, true
}

// RandomChooser picks a random candidate.
type RandomChooser struct{}

// Choose implements Chooser.
func (RandomChooser) Choose(random *rand.Rand, candidates []Candidate) (int, bool) {
	return random.IntN(len(candidates)), true
}

// LeastCostChooser picks the candidate with the lowest cost and breaks ties at random.
type LeastCostChooser struct{}

// Choose implements Chooser.
func (LeastCostChooser) Choose(random *rand.Rand, candidates []Candidate) (int, bool) {
	best, equals := 0, 1
	for i := 1; i < len(candidates); i++ {
		switch cmp.Compare(candidates[i].Cost, candidates[best].Cost) {
		case -1:
			best, equals = i, 1
		case 0:
			equals++
			if random.IntN(equals) == 0 {
				best = i
			}
		}
	}
	return best, true
}

// RoundRobinChooser picks the candidates in turn, in the order of their IDs.
type RoundRobinChooser struct {
	last string // ID of the replica chosen last
}

// Choose implements Chooser.
func (c *RoundRobinChooser) Choose(_ *rand.Rand, candidates []Candidate) (int, bool) {
	first, next := -1, -1
	for i := range candidates {
		id := candidates[i].State.Replica.ID
		if first < 0 || id < candidates[first].State.Replica.ID {
			first = i
		}
		if id > c.last && (next < 0 || id < candidates[next].State.Replica.ID) {
			next = i
		}
	}
	if next < 0 {
		next = first
	}
	c.last = candidates[next].State.Replica.ID
	return next, true
}

// betterOfTwo returns the cheaper of two random candidates that fit, -1 if none fits.
func betterOfTwo(random *rand.Rand, candidates []Candidate, fits func(*Candidate) bool) int {
	first, second, seen := -1, -1, 0
	for i := range candidates {
		if !fits(&candidates[i]) {
			continue
		}
		seen++
		// Reservoir sampling with a reservoir of two.
		switch slot := random.IntN(seen); {
		case seen <= 2 && first < 0:
			first = i
		case seen == 2:
			second = i
		case slot == 0:
			first = i
		case slot == 1:
			second = i
		}
	}
	if second < 0 || candidates[first].Cost < candidates[second].Cost {
		return first
	}
	if candidates[second].Cost < candidates[first].Cost || random.IntN(2) == 0 {
		return second
	}
	return first
}

// costLimit returns bound times the mean cost, but at least minCostLimit.
func costLimit(candidates []Candidate, bound float64) float64 {
	sum := 0.0
	for i := range candidates {
		sum += candidates[i].Cost
	}
	return max(bound*sum/float64(len(candidates)), minCostLimit)
}
