package routing

import "math/rand/v2"

// Candidate is one replica during a choice.
type Candidate struct {
	State    ReplicaState
	Rank     int     // 1 and 2 for the candidates of the request's key, 0 for others
	InSubset bool    // one of the daemon's servers for unkeyed work
	Local    bool    // in the daemon's own failure domain
	ProbeDue bool    // failing or slow, and due for one trial request
	Load     float64 // estimated requests on the replica, from all daemons
	Cost     float64 // set by the scorer; lower is better
}

// Filter drops candidates that must not or should not be chosen.
type Filter interface {
	Keep(r Request, c *Candidate) bool
}

// Scorer returns the cost of choosing a candidate.
type Scorer interface {
	Score(c *Candidate) float64
}

// Chooser picks one of the candidates, which are never empty. ok is false when it
// leaves the choice to the next chooser.
type Chooser interface {
	Choose(random *rand.Rand, candidates []Candidate) (index int, ok bool)
}

// policy is a chain of steps. Candidates that fail a requirement are dropped;
// a preference that would leave no candidate is passed over.
type policy struct {
	requirements []Filter
	preferences  []Filter
	scorer       Scorer
	choosers     []Chooser
}

// choose returns the chosen candidate; ok is false when none meets the requirements.
// It overwrites candidates.
func (p policy) choose(random *rand.Rand, r Request, candidates []Candidate) (chosen *Candidate, ok bool) {
	for _, filter := range p.requirements {
		candidates = keep(filter, r, candidates)
	}
	for _, filter := range p.preferences {
		if keepsAny(filter, r, candidates) {
			candidates = keep(filter, r, candidates)
		}
	}
	if len(candidates) == 0 {
		return nil, false
	}
	for i := range candidates {
		candidates[i].Cost = p.scorer.Score(&candidates[i])
	}
	for _, chooser := range p.choosers {
		if index, ok := chooser.Choose(random, candidates); ok {
			return &candidates[index], true
		}
	}
	return nil, false
}

func keepsAny(filter Filter, r Request, candidates []Candidate) bool {
	for i := range candidates {
		if filter.Keep(r, &candidates[i]) {
			return true
		}
	}
	return false
}

func keep(filter Filter, r Request, candidates []Candidate) []Candidate {
	kept := 0
	for i := range candidates {
		if !filter.Keep(r, &candidates[i]) {
			continue
		}
		if kept != i {
			candidates[kept] = candidates[i]
		}
		kept++
	}
	return candidates[:kept]
}
