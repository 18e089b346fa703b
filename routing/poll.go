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
	minPollTimeout      = 2 * time.Second  // minimum timeout of a status poll
	pollTicks           = 4                // ticks per poll interval; suspended replicas are polled on each tick
	maxSkippedPolls     = 3                // consecutive polls skipped while the load is known or not needed
	recentUsePeriod     = 10 * time.Second // a replica outside the subset is polled this long after its last use
)

// Run polls engines and probes failing servers until ctx is done.
func (s *Store) Run(ctx context.Context) error {
	interval := s.config.PollInterval
	if interval <= 0 {
		interval = defaultPollInterval
	}
	ticker := time.NewTicker(interval / pollTicks)
	defer ticker.Stop()
	for tick := 0; ; tick++ {
		s.startPolls(ctx, tick%pollTicks, interval)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// startPolls starts the polls and probes that are due. Replicas are spread over the
// ticks of an interval.
func (s *Store) startPolls(ctx context.Context, tick int, interval time.Duration) {
	for _, versioned := range s.documents.All() {
		model := versioned.Document.Kind == document.KindModel
		for _, r := range s.duePolls(versioned.Document.Pool, model, tick, interval) {
			go s.pollReplica(ctx, r, model, interval)
		}
	}
}

// duePolls returns the pool's replicas to poll or probe now and marks them as polled.
func (s *Store) duePolls(name string, model bool, tick int, interval time.Duration) []*replica {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	var out []*replica
	for i, r := range s.refresh(name, now).allReplicas {
		scheduled := i%pollTicks == tick
		if r.pollInFlight || !r.pollDue(model, scheduled, now, interval) {
			continue
		}
		r.pollInFlight = true
		r.lastPoll = now
		r.skippedPolls = 0
		s.counters.Polls++
		out = append(out, r)
	}
	return out
}

// pollDue reports whether the replica is to be polled or probed in this tick. scheduled
// is true in one tick per interval.
func (r *replica) pollDue(model, scheduled bool, now time.Time, interval time.Duration) bool {
	if r.state.Failing {
		return !r.health.halfOpen && !now.Before(r.health.nextProbe)
	}
	if !model {
		return false
	}
	inUse := r.inSubset || now.Sub(r.lastConsidered) < recentUsePeriod
	neverReported := r.state.Reported.IsZero()
	if !inUse || !(scheduled || neverReported || r.state.Suspended) {
		return false
	}
	if neverReported || r.statusChangeExpected(now) || r.skippedPolls >= maxSkippedPolls {
		return true
	}
	loadKnown := now.Sub(r.lastLoadResponse) < interval
	unused := !r.lastRequest.After(r.lastPoll)
	if loadKnown || unused {
		r.skippedPolls++
		return false
	}
	return true
}

// statusChangeExpected reports whether the replica's status is likely to change soon.
func (r *replica) statusChangeExpected(now time.Time) bool {
	return r.state.Suspended || !r.state.Whole || r.leaving(now)
}

// pollReplica requests the status of a model replica; for a replica of a plain service
// it opens a connection.
func (s *Store) pollReplica(ctx context.Context, r *replica, model bool, interval time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, max(interval, minPollTimeout))
	defer cancel()
	s.mu.Lock()
	server := r.state.Replica
	s.mu.Unlock()
	started := s.now()
	if !model {
		s.recordPollResult(r, s.dial(ctx, server.Address), started)
		return
	}
	engine := s.backends.Engine(server.Address)
	status, err := engine.Status(ctx)
	if err != nil && ctx.Err() == nil {
		// The connection may be stale; the second call uses a new one.
		status, err = engine.Status(ctx)
	}
	if err == nil {
		s.updateStatus(server, status)
	}
	s.recordPollResult(r, err, started)
}

// recordPollResult records the result of a poll or probe. A failing replica that
// responds becomes half-open: the result of one trial request decides.
func (s *Store) recordPollResult(r *replica, err error, started time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.pollInFlight = false
	switch {
	case err == nil && r.state.Failing:
		r.health.halfOpen = true
	case err != nil && r.state.Failing:
		s.markFailing(r, s.now())
	case err != nil:
		s.markSuspect(r, started, s.now())
	}
}

// updateStatus records the status that an engine reported.
func (s *Store) updateStatus(server fleet.Replica, status backend.EngineStatus) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.replicas[server.ID]
	if r == nil {
		return
	}
	now := s.now()
	r.updateLoad(status.Load, now)
	r.state.Version = status.Version
	r.state.Whole = status.Complete
	if !status.Complete {
		r.partialSwaps++
	}
	if status.Leaving {
		s.markLeaving(r, now)
	} else {
		r.leavingReportedAt = time.Time{}
	}
	if r.state.Suspended && status.Complete && status.Version >= r.resumeVersion {
		r.state.Suspended = false
		s.log.Log(event.ReplicaResumed, event.F("replica", server.ID), event.F("version", status.Version))
	}
}
