package placement

import (
	"math/rand/v2"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamtide/hornbeamtide/catalog"
)

// Request is what a request needs of its replica.
type Request struct {
	Service    string
	Exclude    map[string]bool // replicas that were tried
	Model      string          // "" when any will do
	MinVersion int64           // oldest weight version of Model that may run it
	Affinity   string          // requests with the same key share a prompt prefix
	Reserve    float64         // part of the slots that a request with MustFit leaves to others
	MustFit    bool            // only where a slot is free and nothing failed lately; the request can wait
}

// fits reports whether a replica has a slot free beside those kept for others.
func (r Request) fits(c candidate) bool { return c.load < (1-r.Reserve)*float64(c.slots) }

// candidate is a replica at the time of a choice.
type candidate struct {
	*replica

	load  float64 // requests there, of all daemons
	slots int
}

// Pick chooses a replica and takes a place there. It returns nil if none can take the
// request now.
func (t *Tracker) Pick(request Request) *Lease {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.survey(request)
	chosen := choose(s.candidates, request.Affinity, medianPace(s.candidates))
	if chosen == nil {
		return nil
	}
	lease := &Lease{Replica: chosen.Replica, Choice: s.choice, tracker: t, taken: t.now()}
	lease.Choice.Load, lease.Choice.Slots, lease.Choice.LoadAge = t.loadOf(chosen), slotsOf(chosen), t.ageOf(chosen)
	chosen.inProgress++
	return lease
}

// Survey tells what a choice for the request would be made from, without making it.
func (t *Tracker) Survey(request Request) Choice {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.survey(request).choice
}

// survey is the state of the filters for one request.
type survey struct {
	candidates []candidate // that the last filter left
	choice     Choice
}

func (t *Tracker) survey(request Request) survey {
	able := t.candidates(request)
	trusted := keep(able, t.isTrusted)
	s := survey{choice: Choice{Able: len(able), Trusted: len(trusted)}}
	for _, r := range t.replicas {
		if r.Service == request.Service {
			s.choice.Listed++
		}
	}
	if request.MustFit {
		s.candidates = keep(trusted, request.fits)
		s.choice.Free = len(s.candidates)
		return s
	}
	if len(trusted) == 0 {
		trusted = able
	}
	free := keep(trusted, hasRoom)
	s.choice.Free = len(free)
	s.candidates = free
	if len(free) == 0 {
		s.candidates = trusted
	}
	return s
}

// candidates are the replicas that may run the request at all.
func (t *Tracker) candidates(request Request) []candidate {
	var found []candidate
	for _, r := range t.replicas {
		switch {
		case r.Service != request.Service, r.State != catalog.Ready, request.Exclude[r.ID]:
		case request.Model != "" && r.Versions[request.Model] < request.MinVersion:
		case t.now().Before(r.held):
		default:
			found = append(found, candidate{replica: r, load: t.loadOf(r), slots: slotsOf(r)})
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].ID < found[j].ID })
	return found
}

// isTrusted leaves out replicas that failed a short time ago.
func (t *Tracker) isTrusted(c candidate) bool { return !t.now().Before(c.suspect) }

func hasRoom(c candidate) bool { return c.load < float64(c.slots) }

func keep(candidates []candidate, holds func(candidate) bool) []candidate {
	var kept []candidate
	for _, c := range candidates {
		if holds(c) {
			kept = append(kept, c)
		}
	}
	return kept
}

func medianPace(candidates []candidate) float64 {
	var paces []float64
	for _, c := range candidates {
		if c.pace > 0 {
			paces = append(paces, c.pace)
		}
	}
	if len(paces) == 0 {
		return 0
	}
	sort.Float64s(paces)
	return paces[len(paces)/2]
}

// affinityLoad is the share of its slots up to which the replica of a shared prompt takes
// more: beyond it, the time in a batch costs more than reading the prompt again.
const affinityLoad = 0.75

// choose takes the replica that the key leads to while it has room, else the one that
// would finish first.
func choose(candidates []candidate, key string, median float64) *replica {
	if key != "" {
		if c := preferred(candidates, key); c != nil && c.load < affinityLoad*float64(c.slots) && slowness(*c, median) < slowReplica {
			return c.replica
		}
	}
	var best *candidate
	var bestCost float64
	for i, c := range candidates {
		cost := cost(c, median) * (1 + tieBreak*rand.Float64())
		if best == nil || cost < bestCost {
			best, bestCost = &candidates[i], cost
		}
	}
	if best == nil {
		return nil
	}
	return best.replica
}

// tieBreak spreads equal candidates.
const tieBreak = 0.05

// slowReplica is how many times slower than the median a replica is that a shared
// prompt no longer leads to.
const slowReplica = 1.5

func slowness(c candidate, median float64) float64 {
	if c.pace == 0 || median == 0 {
		return 1
	}
	return max(c.pace/median, 0.5)
}

// cost grows with the requests that share the replica's batch and with its slowness.
func cost(c candidate, median float64) float64 {
	share := (c.load + 1) / float64(c.slots)
	return (0.5 + share) * slowness(c, median) * slowness(c, median)
}

// preferred is the candidate that rendezvous hashing gives the key.
func preferred(candidates []candidate, key string) *candidate {
	var best *candidate
	var bestWeight uint64
	for i, c := range candidates {
		if weight := xxhash.Sum64String(key + "\x00" + c.ID); best == nil || weight > bestWeight {
			best, bestWeight = &candidates[i], weight
		}
	}
	return best
}
