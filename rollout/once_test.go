package rollout

import (
	"context"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/dispatch"
	"github.com/hornbeamtide/hornbeamtide/fault"
)

// openTest opens a session and a step through d and returns a trainer at its start.
func (c *cluster) openTest(d *testDaemon, step int64, groups, samples int) *trainerClient {
	c.t.Helper()
	session := d.session("")
	return newTrainer(c, d.step(openStep(session.Epoch, step, groups, samples)).Token)
}

func TestLostAnswerIsDeliveredAgain(t *testing.T) {
	c := newCluster(t, 2, nil)
	trainer := c.openTest(c.daemons[0], 1, 2, 4)
	lost, f, ok := c.daemons[0].pull(Pull{Token: trainer.token, WaitMS: 5000})
	if !ok || len(lost.Samples) == 0 {
		t.Fatalf("first pull: %+v %+v", lost, f)
	}
	trainer.pullAll(c.daemons[1])
	trainer.check(8)
}

func TestOwnerKilledMidStepLosesNoSample(t *testing.T) {
	c := newCluster(t, 3, nil)
	owner := c.owner(1)
	other := c.other(owner)
	trainer := c.openTest(other, 1, 4, 4)
	b, f, ok := other.pull(Pull{Token: trainer.token, Max: 5, WaitMS: 5000})
	if !ok {
		t.Fatalf("first pull: %+v", f)
	}
	trainer.take(b)
	owner.kill()
	trainer.pullAll(other)
	trainer.check(16)
}

func TestOwnerFrozenAndWokenDeliversOnce(t *testing.T) {
	c := newCluster(t, 3, nil)
	owner := c.owner(1)
	other := c.other(owner)
	trainer := c.openTest(other, 1, 2, 2)
	b, f, ok := other.pull(Pull{Token: trainer.token, Max: 1, WaitMS: 5000})
	if !ok {
		t.Fatalf("first pull: %+v", f)
	}
	trainer.take(b)
	owner.gate.freeze()
	b, f, ok = other.pull(Pull{Token: trainer.token, Max: 1, WaitMS: 15000})
	if !ok || len(b.Samples) != 1 {
		t.Fatalf("pull past the frozen owner: %+v %+v", b, f)
	}
	trainer.take(b)
	owner.gate.open()
	trainer.pullAll(other)
	trainer.check(4)
}

func TestRunnerKilledIsGeneratedAgain(t *testing.T) {
	c := newCluster(t, 3, nil)
	owner := c.owner(1)
	runner := c.other(owner)
	trainer := c.openTest(owner, 1, 8, 2)
	waitFor(t, "all samples ready", func() bool { return c.gen.count() >= 16 })
	runner.kill()
	runner.remove()
	trainer.pullAll(owner)
	trainer.check(16)
}

func TestObjectAPIDownThroughoutThePulls(t *testing.T) {
	c := newCluster(t, 3, nil)
	owner := c.owner(1)
	other := c.other(owner)
	trainer := c.openTest(other, 1, 4, 4)
	c.store.setDown(true)
	if _, ok := other.call("/sessions", OpenSession{Service: testService}, &Session{}); ok {
		t.Fatal("a session was opened without the object API")
	}
	owner.kill()
	trainer.pullAll(other)
	trainer.check(16)
}

func TestOlderSessionIsRefused(t *testing.T) {
	c := newCluster(t, 3, nil)
	old := c.openTest(c.daemons[0], 1, 2, 2)
	session := c.daemons[1].session(old.token)
	for _, d := range c.daemons {
		if _, f, ok := d.pull(Pull{Token: old.token}); ok || f.Kind != fault.Fenced || f.Outcome != fault.NotRun {
			t.Fatalf("%s answered the older session: %+v", d.member.ID, f)
		}
	}
	carried := newTrainer(c, session.Token)
	carried.pullAll(c.daemons[2])
	carried.check(4)
}

func TestNewerPullEndsTheOlder(t *testing.T) {
	c := newCluster(t, 2, nil)
	release := make(chan struct{})
	c.gen.setHook(func(ctx context.Context, _ int, r dispatch.SampleRequest) (dispatch.Completion, error) {
		select {
		case <-release:
		case <-ctx.Done():
			return dispatch.Completion{}, ctx.Err()
		}
		c.gen.setHook(nil)
		return c.gen.Generate(ctx, r)
	})
	trainer := c.openTest(c.daemons[0], 1, 1, 2)
	older := make(chan fault.Body, 1)
	go func() {
		_, f, _ := c.daemons[0].pull(Pull{Token: trainer.token, WaitMS: 60000})
		older <- f
	}()
	owner := c.owner(1)
	waitFor(t, "the older pull at the owner", func() bool {
		for _, s := range owner.manager.ownedSteps() {
			s.mu.Lock()
			pull := s.pull
			s.mu.Unlock()
			if pull != "" {
				return true
			}
		}
		return false
	})
	time.AfterFunc(100*time.Millisecond, func() { close(release) })
	trainer.pullAll(c.daemons[1])
	trainer.check(2)
	if f := <-older; f.Kind != fault.Fenced {
		t.Fatalf("the older pull ended with %+v", f)
	}
}

func TestStoppingDaemonHandsItsSamplesOver(t *testing.T) {
	c := newCluster(t, 2, nil)
	owner := c.owner(1)
	other := c.other(owner)
	trainer := c.openTest(other, 1, 8, 2)
	waitFor(t, "all samples generated", func() bool {
		return owner.manager.runner.held()+other.manager.runner.held() == 16
	})
	owner.remove()
	owner.manager.Drain(t.Context())
	if held := other.manager.runner.held(); held != 16 {
		t.Errorf("%d of 16 samples are held after the hand-over", held)
	}
	if _, f, ok := owner.pull(Pull{Token: trainer.token, WaitMS: 60000}); !ok && f.Kind != fault.Draining {
		t.Errorf("pull at the stopping daemon: %+v", f)
	}
	owner.stop()
	trainer.pullAll(other)
	trainer.check(16)
	if c.gen.count() != 16 {
		t.Errorf("%d samples were generated for 16", c.gen.count())
	}
}
