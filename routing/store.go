package routing

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/backend"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/fleet"
)

// Config configures a Store.
type Config struct {
	Policy       string        // "affinity" (default), "random", "round_robin", "least_load"
	PollInterval time.Duration // interval between two status polls of an engine
	LoadBound    float64       // maximum ratio of cost to the mean before a key spills over to other replicas
	Seed         uint64        // seed of the random choices
}

// Store holds the states of the replicas that this daemon uses and implements Picker.
type Store struct {
	config    Config
	view      fleet.View
	documents fleet.Documents
	backends  backend.Dialer
	log       *event.Logger
	now       func() time.Time
	dial      Dial

	mu       sync.Mutex
	reporter LeavingReporter
	policy   policy
	replicas map[string]*replica // by replica ID
	pools    map[string]*pool    // by name
	random   *rand.Rand
	counters Counters
}

// NewStore returns a Store for the pools of documents with the replicas of view.
func NewStore(config Config, view fleet.View, documents fleet.Documents, backends backend.Dialer, log *event.Logger) *Store {
	return &Store{
		config:    config,
		view:      view,
		documents: documents,
		backends:  backends,
		log:       log,
		now:       time.Now,
		dial:      dialTCP,
		policy:    newPolicy(config.Policy, config.LoadBound),
		replicas:  make(map[string]*replica),
		pools:     make(map[string]*pool),
		random:    rand.New(rand.NewPCG(config.Seed, config.Seed)),
	}
}

// SetLeavingReporter sets the reporter that is notified when a server reports that it
// accepts no new work. Each call is made in its own goroutine.
func (s *Store) SetLeavingReporter(reporter LeavingReporter) {
	s.mu.Lock()
	s.reporter = reporter
	s.mu.Unlock()
}

// Pick implements Picker.
func (s *Store) Pick(_ context.Context, r Request) (Lease, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	p := s.refresh(r.Pool, now)
	p.picks++
	if r.Sample {
		p.lastSample = now
	}
	s.counters.Picks++
	chosen, ok := s.policy.choose(s.random, r, s.candidates(p, r, now))
	if !ok {
		s.counters.Refused++
		return Lease{}, noReplicaError(r, p, now)
	}
	rep := s.replicas[chosen.State.Replica.ID]
	s.countChoice(r, chosen)
	trial := rep.startRequest(p.picks, now)
	return s.lease(rep, now, trial), nil
}

// noReplicaError returns the error for a request for which no replica can be chosen.
func noReplicaError(r Request, p *pool, now time.Time) error {
	for _, rep := range p.allReplicas {
		c := Candidate{State: rep.snapshot(now)}
		eligible := LeavingFilter{}.Keep(r, &c) && ExcludeFilter{}.Keep(r, &c) && CompleteVersionFilter{}.Keep(r, &c) && SampleSuspensionFilter{}.Keep(r, &c)
		if eligible {
			return fault.New(fault.Overloaded, "all backend servers of pool "+r.Pool+" are full",
				"retry later", fault.WithOutcome(fault.NotRun), fault.WithRetryAfter(time.Second))
		}
	}
	return fault.New(fault.Unavailable, "no backend server of pool "+r.Pool+" accepts this request",
		"retry later; check the instance list and status", fault.WithOutcome(fault.NotRun), fault.WithRetryAfter(time.Second))
}

// candidates returns the replicas of the subset and the two of the request's key.
func (s *Store) candidates(p *pool, r Request, now time.Time) []Candidate {
	first, second := p.keyCandidates(r.Key)
	shared := choiceContext{now: now, picks: p.picks, isSample: r.Sample, recentSamples: now.Sub(p.lastSample) < minProbeInterval, domain: s.view.Self().FailureDomain, defaultLoad: meanOtherDaemonsLoad(p.subset)}
	out := make([]Candidate, 0, len(p.subset)+2)
	for _, rep := range p.subset {
		out = append(out, rep.candidate(shared, rankOf(rep, first, second)))
	}
	for rank, id := range []string{first, second} {
		rep := s.replicas[id]
		if rep == nil || rep.inSubset || (rank == 1 && second == first) {
			continue
		}
		out = append(out, rep.candidate(shared, rank+1))
	}
	return out
}

func rankOf(rep *replica, first, second string) int {
	switch rep.state.Replica.ID {
	case first:
		return 1
	case second:
		return 2
	}
	return 0
}

// meanOtherDaemonsLoad returns the mean load from other daemons. It is assumed for
// replicas that never reported their load.
func meanOtherDaemonsLoad(replicas []*replica) float64 {
	sum, known := 0.0, 0
	for _, rep := range replicas {
		if others, ok := rep.otherDaemonsLoad(); ok {
			sum += others
			known++
		}
	}
	if known == 0 {
		return 0
	}
	return sum / float64(known)
}

// choiceContext holds the values shared by all candidates of a request.
type choiceContext struct {
	now           time.Time
	picks         int64   // pool.picks at the choice
	isSample      bool    // the request generates a sample
	recentSamples bool    // the pool had a sample request within minProbeInterval
	domain        string  // the daemon's failure domain
	defaultLoad   float64 // load from other daemons assumed for a replica that never reported its load
}

func (r *replica) candidate(c choiceContext, rank int) Candidate {
	r.lastConsidered = c.now
	others, ok := r.otherDaemonsLoad()
	if !ok {
		others = c.defaultLoad
	}
	return Candidate{
		State:    r.snapshot(c.now),
		Rank:     rank,
		InSubset: r.inSubset,
		Local:    r.state.Replica.FailureDomain == c.domain,
		ProbeDue: r.probeDue(c),
		Load:     others + float64(r.state.InFlight),
	}
}

func (r *replica) snapshot(now time.Time) ReplicaState {
	state := r.state
	state.Leaving = r.leaving(now)
	state.Busy = now.Before(r.busyUntil)
	return state
}

// startRequest counts a request as in flight. trial is true if it is the trial request
// of a failing replica.
func (r *replica) startRequest(picks int64, now time.Time) (trial bool) {
	r.state.InFlight++
	r.picksAtLastRequest = picks
	r.lastRequest = now
	trial = r.state.Failing && r.health.halfOpen && !r.health.trialInFlight
	r.health.trialInFlight = r.health.trialInFlight || trial
	return trial
}

func (s *Store) lease(rep *replica, started time.Time, trial bool) Lease {
	var once sync.Once
	partialSwapsAtStart := rep.partialSwaps
	requiredObservations := rep.latency.token.count
	if rep.state.Slow {
		requiredObservations += minObservations
	}
	return Lease{
		Replica: rep.state.Replica,
		Done: func(err error, duration time.Duration) {
			once.Do(func() { s.finishRequest(rep, err, started, duration, trial) })
		},
		ReportProgress: func(tokens int, elapsed time.Duration) {
			s.mu.Lock()
			rep.observeTokens(tokens, elapsed)
			s.mu.Unlock()
		},
		Slow: func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return rep.state.Slow && rep.latency.token.count >= requiredObservations
		},
		PartiallySwapped: func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return rep.partialSwaps != partialSwapsAtStart || !rep.state.Whole
		},
		ReportLoad: func(load backend.Load) {
			s.mu.Lock()
			rep.lastLoadResponse = s.now()
			rep.updateLoad(load, rep.lastLoadResponse)
			s.mu.Unlock()
		},
	}
}

// finishRequest records the end of a request.
func (s *Store) finishRequest(rep *replica, err error, started time.Time, duration time.Duration, trial bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	rep.state.InFlight--
	if trial {
		rep.health.trialInFlight = false
	}
	outcome := classifyResult(err, started, rep.health.lastSuccess)
	rep.observe(err, duration)
	switch {
	case outcome == succeeded:
		s.markSuccess(rep, now)
	case outcome == suspect && trial:
		s.markFailing(rep, now)
	case outcome == suspect:
		s.counters.Failures++
		s.markSuspect(rep, started, now)
	case outcome == busy:
		rep.busyUntil = now.Add(busyPeriod)
	case outcome == serverLeaving:
		s.markLeaving(rep, now)
	}
}

// observe records the duration of a request. For an unfinished one it is a lower bound
// and counts only if it exceeds the mean.
func (r *replica) observe(err error, duration time.Duration) {
	unfinished := fault.Is(err, fault.Deadline) || fault.Is(err, fault.Canceled)
	if err == nil || (unfinished && duration.Seconds() > r.latency.request.mean) {
		r.observeRequest(duration)
	}
}

// Suspend stops sample requests to the replica until it reports a complete version that
// is at least min.
func (s *Store) Suspend(replicaID string, min int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rep := s.replicas[replicaID]
	if rep == nil {
		rep = newReplica(fleet.Replica{ID: replicaID})
		s.replicas[replicaID] = rep
	}
	if !rep.state.Suspended {
		s.log.Log(event.ReplicaSuspended, event.F("replica", replicaID), event.F("version", min))
	}
	rep.state.Suspended = true
	rep.partialSwaps++
	rep.resumeVersion = max(rep.resumeVersion, min)
}
