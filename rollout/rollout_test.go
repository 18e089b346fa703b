package rollout

import (
	"context"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/alarm"
	"github.com/hornbeamtide/hornbeamtide/dispatch"
)

func TestStepIsDeliveredOnceThroughAnyDaemon(t *testing.T) {
	c := newCluster(t, 3, nil)
	session := c.daemons[0].session("")
	step := c.daemons[1].step(openStep(session.Epoch, 1, 4, 4))
	if step.Samples != 16 {
		t.Fatalf("step has %d samples", step.Samples)
	}
	trainer := newTrainer(c, step.Token)
	trainer.pullAll(c.daemons[2])
	trainer.check(16)
	for _, promise := range []alarm.Promise{alarm.VersionTags, alarm.StalenessBound, alarm.ExactlyOnce} {
		if kept := c.recorder.keptCount(promise); kept != 16 {
			t.Errorf("%s was recorded as kept %d times", promise, kept)
		}
	}
	if c.recorder.keptCount(alarm.StepsInTime) == 0 || len(c.recorder.brokenEvidence()) > 0 {
		t.Errorf("broken: %+v", c.recorder.brokenEvidence())
	}
}

func TestLateStepIsReportedOnceWithEvidence(t *testing.T) {
	c := newCluster(t, 1, nil)
	c.doc.Samples.StepTime = 10 * time.Millisecond
	release := make(chan struct{})
	c.gen.setHook(func(ctx context.Context, _ int, r dispatch.SampleRequest) (dispatch.Completion, error) {
		<-release
		c.gen.setHook(nil)
		return c.gen.Generate(ctx, r)
	})
	trainer := c.openTestStep(c.daemons[0], 1, 1, 2)
	waitFor(t, "alarm", func() bool { return len(c.recorder.brokenEvidence()) > 0 })
	close(release)
	trainer.pullAll(c.daemons[0])
	trainer.check(2)
	broken := c.recorder.brokenEvidence()
	if len(broken) != 1 || broken[0].Subject != "step captions/1" || broken[0].Detail == "" {
		t.Errorf("evidence %+v", broken)
	}
	if c.recorder.keptCount(alarm.StepsInTime) != 0 {
		t.Error("a late step was recorded as kept")
	}
}

func TestStepThatStaysLateIsReportedAgain(t *testing.T) {
	c := newCluster(t, 1, nil)
	c.doc.Samples.StepTime = 10 * time.Millisecond
	release := make(chan struct{})
	c.gen.setHook(func(_ context.Context, _ int, r dispatch.SampleRequest) (dispatch.Completion, error) {
		<-release
		return c.gen.newCompletion(r, "e0", segmentOf(1)), nil
	})
	trainer := c.openTestStep(c.daemons[0], 1, 1, 2)
	waitFor(t, "first report", func() bool { return len(c.recorder.brokenEvidence()) == 1 })
	for _, s := range c.daemons[0].manager.steps {
		s.mu.Lock()
		s.lateReportedAt = s.lateReportedAt.Add(-lateReportInterval)
		s.mu.Unlock()
	}
	waitFor(t, "second report", func() bool { return len(c.recorder.brokenEvidence()) == 2 })
	close(release)
	trainer.pullAll(c.daemons[0])
	trainer.check(2)
}

func TestGroupsOfBusyRunnersRunOnOthers(t *testing.T) {
	c := newCluster(t, 3, func(config *Config) { config.MaxConcurrentGroups = 1 })
	release := make(chan struct{})
	c.gen.setHook(func(ctx context.Context, _ int, r dispatch.SampleRequest) (dispatch.Completion, error) {
		<-release
		return c.gen.newCompletion(r, "e0", segmentOf(1)), nil
	})
	trainer := c.openTestStep(c.daemons[0], 1, 9, 1)
	waitFor(t, "one group on each daemon", func() bool { return c.gen.callCount() == 3 })
	for _, d := range c.daemons {
		if running := d.manager.runner.groupsInProgress(); running > 1 {
			t.Errorf("%s runs %d groups", d.member.ID, running)
		}
	}
	close(release)
	trainer.pullAll(c.daemons[1])
	trainer.check(9)
}
