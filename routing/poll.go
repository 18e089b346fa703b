package routing

import (
	"context"
	"time"

	"github.com/hornbeamtide/hornbeamtide/backend"
	"github.com/hornbeamtide/hornbeamtide/document"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fleet"
)

const (
	defaultPollInterval = time.Second
	statusTimeout       = 2 * time.Second  // of a status poll, at least
	pollTicks           = 4                // ticks in a poll interval; suspended replicas are polled each tick
	pollsSkipped        = 3                // turns without a poll where the load is known or not needed
	pollWanted          = 10 * time.Second // a replica outside the subset is polled this long after its last use
)

// Run polls engines and probes failing servers until ctx ends.
func (s *Store) Run(ctx context.Context) error {
	interval := s.config.PollInterval
	if interval <= 0 {
		interval = defaultPollInterval
	}
	ticker := time.NewTicker(interval / pollTicks)
	defer ticker.Stop()
	for tick := 0; ; tick++ {
		s.pollTick(ctx, tick%pollTicks, interval)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// pollTick starts the polls and probes that are due. Replicas are spread over the
// ticks of an interval.
func (s *Store) pollTick(ctx context.Context, tick int, limit time.Duration) {
	for _, versioned := range s.docs.All() {
		model := versioned.Document.Kind == document.Model
		for _, r := range s.due(versioned.Document.Pool, model, tick, limit) {
			go s.check(ctx, r, model, limit)
		}
	}
}

// due returns the pool's replicas to poll or probe now and marks them as polling.
func (s *Store) due(name string, model bool, tick int, interval time.Duration) []*replica {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	var out []*replica
	for i, r := range s.refresh(name, now).whole {
		turn := i%pollTicks == tick
		if r.polling || !r.pollDue(model, turn, now, interval) {
			continue
		}
		r.polling = true
		r.polled = now
		r.skipped = 0
		s.counters.Polls++
		out = append(out, r)
	}
	return out
}

// pollDue reports whether the replica is to be polled or probed in this tick; turn is
// true once an interval.
func (r *replica) pollDue(model, turn bool, now time.Time, interval time.Duration) bool {
	if r.state.Failing {
		return !r.health.halfOpen && !now.Before(r.health.nextProbe)
	}
	if !model {
		return false
	}
	followed := r.inSubset || now.Sub(r.wanted) < pollWanted
	first := r.state.Reported.IsZero()
	if !followed || !(turn || first || r.state.Suspended) {
		return false
	}
	if first || r.unsettled(now) || r.skipped >= pollsSkipped {
		return true
	}
	known := now.Sub(r.loaded) < interval
	unused := !r.lastProbe.After(r.polled)
	if known || unused {
		r.skipped++
		return false
	}
	return true
}

// unsettled reports whether the replica's status is about to change.
func (r *replica) unsettled(now time.Time) bool {
	return r.state.Suspended || !r.state.Whole || r.leaving(now)
}

// check asks the replica for its status or, a plain service, for a connection.
func (s *Store) check(ctx context.Context, r *replica, model bool, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, max(limit, statusTimeout))
	defer cancel()
	s.mu.Lock()
	server := r.state.Replica
	s.mu.Unlock()
	started := s.now()
	if !model {
		s.checked(r, s.dial(ctx, server.Address), started)
		return
	}
	engine := s.backends.Engine(server.Address)
	status, err := engine.Status(ctx)
	if err != nil && ctx.Err() == nil {
		// The connection may be stale: the second call uses a fresh one.
		status, err = engine.Status(ctx)
	}
	if err == nil {
		s.report(server, status)
	}
	s.checked(r, err, started)
}

// checked takes the result of a poll or probe in. A failing replica that answers
// becomes half-open: one trial request decides.
func (s *Store) checked(r *replica, err error, started time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.polling = false
	switch {
	case err == nil && r.state.Failing:
		r.health.halfOpen = true
	case err != nil && r.state.Failing:
		s.holdFailing(r, s.now())
	case err != nil:
		s.markSuspect(r, started, s.now())
	}
}

// report takes an engine's status in.
func (s *Store) report(server fleet.Replica, status backend.EngineStatus) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.replicas[server.ID]
	if r == nil {
		return
	}
	now := s.now()
	r.report(status.Load, now)
	r.state.Version = status.Version
	r.state.Whole = status.Whole
	if !status.Whole {
		r.partial++
	}
	if status.Leaving {
		s.markLeaving(r, now)
	} else {
		r.saidLeaving = time.Time{}
	}
	if r.state.Suspended && status.Whole && status.Version >= r.resume {
		r.state.Suspended = false
		s.log.Log(event.ReplicaResumed, event.F("replica", server.ID), event.F("version", status.Version))
	}
}
