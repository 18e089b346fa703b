package duty

import "slices"

const (
	// maxCandidates is the number of daemons at the head of the duty order that may take the lease.
	maxCandidates = 3
	// takeoverRounds is the number of rounds without a response before a candidate tries to take the
	// lease.
	takeoverRounds = 3
)

// daemonsAhead returns the daemons that keep this one from taking the lease as long as they respond,
// and whether this daemon is a candidate. It answers the loss of the holder in a large fleet: few
// daemons watch it, each watches only those that come before it, and the load on the store does not
// grow with the number of daemons.
func daemonsAhead(self string, order []string) (ahead []string, candidate bool) {
	rank := slices.Index(order, self)
	if rank < 0 || rank >= maxCandidates {
		return nil, false
	}
	return order[:rank], true
}

// action is what a candidate without the lease does after a round of queries.
type action int

const (
	stay    action = iota // the lease stays where it is, and the store is not called
	observe               // read the lease, which starts its expiry on this daemon's clock
	acquire               // try to take the lease
)

// answer is a daemon's response to a status query.
type answer struct {
	responded bool
	holds     bool
}

// nextAction returns what a candidate does after a round of queries, and the number of rounds without
// a response up to it. It answers a holder that was killed, cut off or frozen, without taking the
// lease from one that is only slow for a moment. A candidate ahead counts if it responds, since it
// takes a free lease itself; the known holder counts only while it says that it holds the lease. The
// first round without a response already reads the lease, so that its expiry runs during the others.
func nextAction(ahead []string, holder string, answers map[string]answer, silentRounds int) (action, int) {
	if answers[holder].holds {
		return stay, 0
	}
	for _, id := range ahead {
		if answers[id].responded {
			return stay, 0
		}
	}
	silentRounds++
	switch {
	case silentRounds >= takeoverRounds:
		return acquire, silentRounds
	case silentRounds == 1:
		return observe, silentRounds
	}
	return stay, silentRounds
}
