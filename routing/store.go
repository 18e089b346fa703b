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
	PollInterval time.Duration // between two status polls of an engine
	LoadBound    float64       // busiest replica over the mean before a key spills over
	Seed         uint64        // of the random choices
}

// Store keeps the states of the replicas that this daemon talks to and implements Picker.
type Store struct {
	config   Config
	view     fleet.View
	docs     fleet.Documents
	backends backend.Dialer
	log      *event.Logger
	now      func() time.Time
	dial     Dial

	mu       sync.Mutex
	reporter LeavingReporter
	policy   policy
	replicas map[string]*replica // by replica ID
	pools    map[string]*pool    // by name
	random   *rand.Rand
	counters Counters
}

// NewStore returns a Store that follows the replicas of view for the pools of docs.
func NewStore(config Config, view fleet.View, docs fleet.Documents, backends backend.Dialer, log *event.Logger) *Store {
	return &Store{
		config:   config,
		view:     view,
		docs:     docs,
		backends: backends,
		log:      log,
		now:      time.Now,
		dial:     dialTCP,
		policy:   newPolicy(config.Policy, config.LoadBound),
		replicas: make(map[string]*replica),
		pools:    make(map[string]*pool),
		random:   rand.New(rand.NewPCG(config.Seed, config.Seed)),
	}
}

// SetLeavingReporter sets who is told when a server says that it takes no new work.
// Calls come from goroutines of their own.
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
		return Lease{}, refusal(r, p, now)
	}
	rep := s.replicas[chosen.State.Replica.ID]
	s.countChoice(r, chosen)
	trial := rep.begin(p.picks, now)
	return s.lease(rep, now, trial), nil
}

// refusal says why no replica can be chosen.
func refusal(r Request, p *pool, now time.Time) error {
	for _, rep := range p.whole {
		c := Candidate{State: rep.snapshot(now)}
		open := LeavingFilter{}.Keep(r, &c) && ExcludeFilter{}.Keep(r, &c) && WholeFilter{}.Keep(r, &c) && SuspendedFilter{}.Keep(r, &c)
		if open {
			return fault.New(fault.Overloaded, "all backend servers of pool "+r.Pool+" are full",
				"retry later", fault.WithOutcome(fault.NotRun), fault.WithRetryAfter(time.Second))
		}
	}
	return fault.New(fault.Unavailable, "no backend server of pool "+r.Pool+" takes this work",
		"retry later; check the instance list and status", fault.WithOutcome(fault.NotRun), fault.WithRetryAfter(time.Second))
}

// candidates returns the subset and the two replicas of the request's key.
func (s *Store) candidates(p *pool, r Request, now time.Time) []Candidate {
	first, second := p.keyCandidates(r.Key)
	shared := choiceContext{now: now, picks: p.picks, sample: r.Sample, samples: now.Sub(p.lastSample) < probeInterval, domain: s.view.Self().FailureDomain, unknown: meanOthers(p.subset)}
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

// meanOthers is the mean load by other daemons, assumed for replicas that never
// reported their load.
func meanOthers(replicas []*replica) float64 {
	sum, known := 0.0, 0
	for _, rep := range replicas {
		if others, ok := rep.others(); ok {
			sum += others
			known++
		}
	}
	if known == 0 {
		return 0
	}
	return sum / float64(known)
}

// choiceContext is what the candidates of one choice have in common.
type choiceContext struct {
	now     time.Time
	picks   int64   // choices of the pool so far
	sample  bool    // the request is a sample
	samples bool    // the pool generated samples lately
	domain  string  // the daemon's failure domain
	unknown float64 // assumed load by other daemons of a replica without reports
}

func (r *replica) candidate(c choiceContext, rank int) Candidate {
	r.wanted = c.now
	others, ok := r.others()
	if !ok {
		others = c.unknown
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

// begin counts a chosen request in. It reports whether this is the trial request of
// a failing replica.
func (r *replica) begin(picks int64, now time.Time) (trial bool) {
	r.state.InFlight++
	r.probePicks = picks
	r.lastProbe = now
	trial = r.state.Failing && r.health.halfOpen && !r.health.trial
	r.health.trial = r.health.trial || trial
	return trial
}

func (s *Store) lease(rep *replica, started time.Time, trial bool) Lease {
	var once sync.Once
	partial := rep.partial
	proof := rep.latency.token.count
	if rep.state.Slow {
		proof += minObservations
	}
	return Lease{
		Replica: rep.state.Replica,
		Done: func(err error, duration time.Duration) {
			once.Do(func() { s.end(rep, err, started, duration, trial) })
		},
		Progress: func(tokens int, elapsed time.Duration) {
			s.mu.Lock()
			rep.observeTokens(tokens, elapsed)
			s.mu.Unlock()
		},
		Slow: func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return rep.state.Slow && rep.latency.token.count >= proof
		},
		Partial: func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return rep.partial != partial || !rep.state.Whole
		},
		Load: func(load backend.Load) {
			s.mu.Lock()
			rep.loaded = s.now()
			rep.report(load, rep.loaded)
			s.mu.Unlock()
		},
	}
}

// end takes the end of a request in.
func (s *Store) end(rep *replica, err error, started time.Time, duration time.Duration, trial bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	rep.state.InFlight--
	if trial {
		rep.health.trial = false
	}
	outcome := judge(err, started, rep.health.lastSuccess)
	rep.observe(err, duration)
	switch {
	case outcome == succeeded:
		s.markSuccess(rep, now)
	case outcome == suspect && trial:
		s.holdFailing(rep, now)
	case outcome == suspect:
		s.counters.Failures++
		s.markSuspect(rep, started, now)
	case outcome == busy:
		rep.busyUntil = now.Add(busyHold)
	case outcome == leaves:
		s.markLeaving(rep, now)
	}
}

// observe takes the duration of a request in. That of an unfinished one is a lower
// bound.
func (r *replica) observe(err error, duration time.Duration) {
	unfinished := fault.Is(err, fault.Deadline) || fault.Is(err, fault.Canceled)
	if err == nil || (unfinished && duration.Seconds() > r.latency.request.mean) {
		r.observeRequest(duration)
	}
}

// Suspend stops sample work on the replica until it reports one whole version,
// which is at least min.
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
	rep.partial++
	rep.resume = max(rep.resume, min)
}
