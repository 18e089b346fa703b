package routing

import "math/rand/v2"

// Candidate is a replica that is considered for a request.
type Candidate struct {
	State    ReplicaState
	Rank     int     // 1 or 2 for the replicas that the request's key maps to, 0 for others
	InSubset bool    // in the daemon's subset of replicas for unkeyed requests
	Local    bool    // in the daemon's failure domain
	ProbeDue bool    // failing or slow, and due for a trial request
	Load     float64 // estimated number of requests on the replica from all daemons
	Cost     float64 // set by the scorer; lower is better
}

// Filter removes candidates that must not or should not be chosen.
type Filter interface {
	Keep(r Request, c *Candidate) bool
}

// Scorer returns the cost of choosing a candidate.
type Scorer interface {
	Score(c *Candidate) float64
}

// Chooser picks one of the candidates; there is at least one. ok is false if the next
// chooser has to pick.
type Chooser interface {
	Choose(random *rand.Rand, candidates []Candidate) (index int, ok bool)
}

// policy is a sequence of steps. Candidates that fail a requirement are removed. A
// preference that would remove every candidate is ignored.
type policy struct {
	requirements []Filter
	preferences  []Filter
	scorer       Scorer
	choosers     []Chooser
}

// choose returns the chosen candidate; ok is false if none meets the requirements.
// It modifies the candidates slice.
func (p policy) choose(random *rand.Rand, r Request, candidates []Candidate) (chosen *Candidate, ok bool) {
	for _, filter := range p.requirements {
		candidates = filterCandidates(filter, r, candidates)
	}
	for _, filter := range p.preferences {
		if anyPasses(filter, r, candidates) {
			candidates = filterCandidates(filter, r, candidates)
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

func anyPasses(filter Filter, r Request, candidates []Candidate) bool {
	for i := range candidates {
		if filter.Keep(r, &candidates[i]) {
			return true
		}
	}
	return false
}

func filterCandidates(filter Filter, r Request, candidates []Candidate) []Candidate {
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
