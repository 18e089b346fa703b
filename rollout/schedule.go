package rollout

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/hornbeamtide/hornbeamtide/alarm"
	"github.com/hornbeamtide/hornbeamtide/document"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fleet"
	"github.com/hornbeamtide/hornbeamtide/rollout/rolloutpb"
)

const (
	scheduleInterval   = 200 * time.Millisecond // longest interval between checks for runnable groups
	runnerTimeout      = 4 * time.Second        // a run fails if its runner sends no event for this long
	runBackoff         = 100 * time.Millisecond // before a failed group runs again, doubled after each failure
	maxRunBackoff      = 2 * time.Second
	runnerCandidates   = 8               // daemons tried as a group's runner
	lateReportInterval = 5 * time.Second // interval between reports that a step is still late
)

// schedule starts groups that have wanted samples until the step is stopped.
func (s *step) schedule() {
	ticker := time.NewTicker(scheduleInterval)
	defer ticker.Stop()
	for {
		changed := s.startGroups()
		select {
		case <-s.ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
		}
	}
}

// startGroups starts all groups that may run now and returns a channel that is closed at
// the next change of the step.
func (s *step) startGroups() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	doc := s.document()
	if doc == nil {
		return s.changed
	}
	s.requeueStale()
	s.checkLate(doc)
	for _, group := range s.runnable() {
		if s.runsInProgress >= s.runsAllowed(doc) {
			break
		}
		s.runsInProgress++
		go s.runGroup(group, s.beginRun(group))
	}
	return s.changed
}

// checkLate reports that the step is not complete within its step time, and repeats the
// report every lateReportInterval while samples are missing. The caller holds mu.
func (s *step) checkLate(doc *document.Document) {
	if s.complete || s.age() <= doc.Samples.StepTime || s.m.now().Sub(s.lateReportedAt) < lateReportInterval {
		return
	}
	missing := 0
	for _, sample := range s.samples {
		if sample.phase == wanted {
			missing++
		}
	}
	if missing == 0 {
		return
	}
	s.lateReportedAt = s.m.now()
	s.m.deps.Log.Log(event.RolloutStepLate, event.F("trainer", s.key.trainer), event.F("step", s.key.step), event.F("missing", missing))
	s.m.deps.Recorder.Broken(alarm.StepsInTime, alarm.Evidence{
		Service: s.definition.Service,
		Subject: fmt.Sprintf("step %s/%d", s.key.trainer, s.key.step),
		Detail:  fmt.Sprintf("%d of %d samples are missing after %s", missing, len(s.samples), s.age().Round(time.Millisecond)),
		At:      s.m.now(),
	})
}

// runnable returns the groups that have samples to generate and are not in backoff. The
// caller holds mu.
func (s *step) runnable() []int {
	pending := make([]bool, len(s.groups))
	for _, sample := range s.samples {
		if sample.phase == wanted && !sample.running {
			pending[sample.group] = true
		}
	}
	now := s.m.now()
	var groups []int
	for i, g := range s.groups {
		if pending[i] && !now.Before(g.notBefore) {
			groups = append(groups, i)
		}
	}
	return groups
}

// beginRun marks the group's wanted samples as running and returns the request for the
// runner. The caller holds mu.
func (s *step) beginRun(group int) *rolloutpb.RunRequest {
	g := s.definition.Groups[group]
	r := &rolloutpb.RunRequest{Definition: withGroup(s.definition, group), Layout: s.key.layout}
	for id := g.First; id < g.First+g.Samples; id++ {
		sample := &s.samples[id]
		if sample.phase != wanted || sample.running {
			continue
		}
		sample.running = true
		r.Wanted = append(r.Wanted, id)
		if sample.regenerate {
			r.Again = append(r.Again, id)
		}
	}
	return r
}

// runGroup runs the group on its candidate runners, one after another, until all its
// samples are finished. Daemons that recently failed to respond come last.
func (s *step) runGroup(group int, r *rolloutpb.RunRequest) {
	var err error
	for _, member := range s.m.suspects.suspectsLast(s.candidateRunners(group)) {
		if !s.dropFinished(r) || s.ctx.Err() != nil {
			break
		}
		err = s.runOn(member, r)
		if err == nil {
			break
		}
		if !errors.Is(err, errRunnerBusy) && s.ctx.Err() == nil {
			s.m.suspects.add(member.PeerAddress)
			s.m.deps.Log.Log(event.RolloutRunnerLost, event.F("step", s.key.placement()), event.F("group", s.definition.Groups[group].Id),
				event.F("runner", member.ID), event.Err(err))
		}
	}
	s.endRun(group, r, err)
}

// candidateRunners returns the daemons to run the group, in rendezvous order.
func (s *step) candidateRunners(group int) []fleet.Member {
	candidates := s.m.deps.View.Owners(s.groupPlacement(group), runnerCandidates)
	if len(candidates) == 0 {
		candidates = []fleet.Member{s.m.deps.View.Self()}
	}
	return candidates
}

// dropFinished removes from the request the samples that are no longer wanted, and
// reports whether any remain.
func (s *step) dropFinished(r *rolloutpb.RunRequest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var remaining []int32
	for _, id := range r.Wanted {
		sample := &s.samples[id]
		if sample.phase == wanted {
			remaining = append(remaining, id)
			continue
		}
		sample.running = false
	}
	r.Wanted = remaining
	return len(remaining) > 0
}

// groupPlacement is the rendezvous key of the group's runner.
func (s *step) groupPlacement(group int) string {
	return s.key.placement() + "/" + s.definition.Groups[group].Id
}

// errRunnerBusy is the error of a run that the runner refused because it drains or has
// reached its limit of groups.
var errRunnerBusy = errors.New("the runner accepts no more groups")

// endRun makes the samples that the run did not finish runnable again, after a backoff
// if the run failed.
func (s *step) endRun(group int, r *rolloutpb.RunRequest, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runsInProgress--
	for _, id := range r.Wanted {
		s.samples[id].running = false
	}
	g := &s.groups[group]
	if err == nil {
		g.failures = 0
	} else {
		g.notBefore = s.m.now().Add(min(runBackoff<<min(g.failures, 8), maxRunBackoff))
		g.failures++
	}
	s.notifyChanged()
}

// runOn runs the group on one daemon until all wanted samples are finished.
func (s *step) runOn(member fleet.Member, r *rolloutpb.RunRequest) error {
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	if s.m.isSelf(member.PeerAddress) {
		return s.m.runner.run(ctx, r, func(e *rolloutpb.RunEvent) error { return s.handleEvent(member, e) })
	}
	client, err := s.m.client(ctx, member.PeerAddress)
	if err != nil {
		return err
	}
	stream, err := client.Run(ctx, r)
	if err != nil {
		return err
	}
	timeout := time.AfterFunc(runnerTimeout, cancel)
	defer timeout.Stop()
	for {
		e, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		timeout.Reset(runnerTimeout)
		if err := s.handleEvent(member, e); err != nil {
			return err
		}
	}
}

func (s *step) handleEvent(member fleet.Member, e *rolloutpb.RunEvent) error {
	if e.Busy {
		return errRunnerBusy
	}
	if !e.Heartbeat {
		s.recordFinished(member.PeerAddress, e)
	}
	return nil
}
