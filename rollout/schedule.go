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
	scheduleTick   = 200 * time.Millisecond // longest wait between two looks at the groups
	runSilence     = 4 * time.Second        // a runner sends at least a heartbeat within this
	runBackoff     = 100 * time.Millisecond // before a failed group runs again, doubled each time
	runBackoffMost = 2 * time.Second
	runnerTries    = 8               // daemons asked to run a group
	lateInterval   = 5 * time.Second // between two reports that a step is still late
)

// schedule starts groups that have wanted samples until the step is forgotten.
func (s *step) schedule() {
	ticker := time.NewTicker(scheduleTick)
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

// startGroups starts all groups that may run now.
func (s *step) startGroups() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	doc := s.document()
	if doc == nil {
		return s.changed
	}
	s.dropStale()
	s.checkLate(doc)
	for _, group := range s.runnable() {
		if s.runs >= s.runLimit(doc) {
			break
		}
		s.runs++
		go s.runGroup(group, s.beginRun(group))
	}
	return s.changed
}

// checkLate reports that the step is not whole in time, again at each lateInterval
// while samples are missing. The caller holds mu.
func (s *step) checkLate(doc *document.Document) {
	if s.whole || s.age() <= doc.Samples.StepTime || s.m.now().Sub(s.lateAt) < lateInterval {
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
	s.lateAt = s.m.now()
	s.m.parts.Log.Log(event.RolloutStepLate, event.F("trainer", s.key.trainer), event.F("step", s.key.step), event.F("missing", missing))
	s.m.parts.Recorder.Broken(alarm.TrainerIdle, alarm.Evidence{
		Service: s.definition.Service,
		Subject: fmt.Sprintf("step %s/%d", s.key.trainer, s.key.step),
		Detail:  fmt.Sprintf("%d of %d samples are missing after %s", missing, len(s.samples), s.age().Round(time.Millisecond)),
		At:      s.m.now(),
	})
}

// runnable returns the groups with samples to generate. The caller holds mu.
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

// beginRun marks the group's wanted samples as running and returns the order to the
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
		if sample.again {
			r.Again = append(r.Again, id)
		}
	}
	return r
}

// runGroup has the daemons in line run the group, one after another until all its
// samples are finished, and takes in their events.
func (s *step) runGroup(group int, r *rolloutpb.RunRequest) {
	var err error
	for _, member := range s.m.suspects.last(s.runners(group)) {
		if !s.narrow(r) || s.ctx.Err() != nil {
			break
		}
		err = s.runOn(member, r)
		if err == nil {
			break
		}
		if !errors.Is(err, errBusy) && s.ctx.Err() == nil {
			s.m.suspects.add(member.PeerAddress)
			s.m.parts.Log.Log(event.RolloutRunnerLost, event.F("step", s.key.placement()), event.F("group", s.definition.Groups[group].Id),
				event.F("runner", member.ID), event.Err(err))
		}
	}
	s.endRun(group, r, err)
}

// runners returns the daemons in line for the group.
func (s *step) runners(group int) []fleet.Member {
	line := s.m.parts.View.Owners(s.groupPlacement(group), runnerTries)
	if len(line) == 0 {
		line = []fleet.Member{s.m.parts.View.Self()}
	}
	return line
}

// narrow leaves in the order only the samples that are still wanted, and reports
// whether there are any.
func (s *step) narrow(r *rolloutpb.RunRequest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var left []int32
	for _, id := range r.Wanted {
		sample := &s.samples[id]
		if sample.phase == wanted {
			left = append(left, id)
			continue
		}
		sample.running = false
	}
	r.Wanted = left
	return len(left) > 0
}

// groupPlacement is the rendezvous key of the group's runner.
func (s *step) groupPlacement(group int) string {
	return s.key.placement() + "/" + s.definition.Groups[group].Id
}

// errBusy says that a runner takes no more groups.
var errBusy = errors.New("the runner is busy")

// endRun lets the samples that the run did not finish be run again after a backoff.
func (s *step) endRun(group int, r *rolloutpb.RunRequest, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs--
	for _, id := range r.Wanted {
		s.samples[id].running = false
	}
	g := &s.groups[group]
	if err == nil {
		g.failures = 0
	} else {
		g.notBefore = s.m.now().Add(min(runBackoff<<min(g.failures, 8), runBackoffMost))
		g.failures++
	}
	s.notify()
}

// runOn runs the group on one daemon until all wanted samples are finished.
func (s *step) runOn(member fleet.Member, r *rolloutpb.RunRequest) error {
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	if s.m.isSelf(member.PeerAddress) {
		return s.m.runner.run(ctx, r, func(e *rolloutpb.RunEvent) error { return s.takeEvent(member, e) })
	}
	client, err := s.m.client(ctx, member.PeerAddress)
	if err != nil {
		return err
	}
	stream, err := client.Run(ctx, r)
	if err != nil {
		return err
	}
	silence := time.AfterFunc(runSilence, cancel)
	defer silence.Stop()
	for {
		e, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		silence.Reset(runSilence)
		if err := s.takeEvent(member, e); err != nil {
			return err
		}
	}
}

// takeEvent takes in one event of a runner.
func (s *step) takeEvent(member fleet.Member, e *rolloutpb.RunEvent) error {
	if e.Busy {
		return errBusy
	}
	if !e.Heartbeat {
		s.finished(member.PeerAddress, e)
	}
	return nil
}
