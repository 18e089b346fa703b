package rollout

import (
	"context"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/dispatch"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/rollout/rolloutpb"
)

// openTestStep opens a session and a step through d and returns a trainer without samples.
func (c *cluster) openTestStep(d *testDaemon, step int64, groups, samples int) *trainerClient {
	c.t.Helper()
	session := d.session("")
	return newTrainer(c, d.step(openStep(session.Epoch, step, groups, samples)).Token)
}

func TestLostResponseIsDeliveredAgain(t *testing.T) {
	c := newCluster(t, 2, nil)
	trainer := c.openTestStep(c.daemons[0], 1, 2, 4)
	lost, f, ok := c.daemons[0].pull(PullRequest{Token: trainer.token, WaitMS: 5000})
	if !ok || len(lost.Samples) == 0 {
		t.Fatalf("first pull: %+v %+v", lost, f)
	}
	trainer.pullAll(c.daemons[1])
	trainer.check(8)
}

func TestOwnerKilledMidStepLosesNoSample(t *testing.T) {
	c := newCluster(t, 3, nil)
	owner := c.owner(1)
	other := c.otherThan(owner)
	trainer := c.openTestStep(other, 1, 4, 4)
	response, f, ok := other.pull(PullRequest{Token: trainer.token, Max: 5, WaitMS: 5000})
	if !ok {
		t.Fatalf("first pull: %+v", f)
	}
	trainer.accept(response)
	owner.kill()
	trainer.pullAll(other)
	trainer.check(16)
}

func TestOwnerFrozenAndResumedDeliversOnce(t *testing.T) {
	c := newCluster(t, 3, nil)
	owner := c.owner(1)
	other := c.otherThan(owner)
	trainer := c.openTestStep(other, 1, 2, 2)
	response, f, ok := other.pull(PullRequest{Token: trainer.token, Max: 1, WaitMS: 5000})
	if !ok {
		t.Fatalf("first pull: %+v", f)
	}
	trainer.accept(response)
	owner.gate.freeze()
	response, f, ok = other.pull(PullRequest{Token: trainer.token, Max: 1, WaitMS: 15000})
	if !ok || len(response.Samples) != 1 {
		t.Fatalf("pull past the frozen owner: %+v %+v", response, f)
	}
	trainer.accept(response)
	owner.gate.open()
	trainer.pullAll(other)
	trainer.check(4)
}

func TestSamplesOfKilledRunnerAreGeneratedAgain(t *testing.T) {
	c := newCluster(t, 3, nil)
	owner := c.owner(1)
	runner := c.otherThan(owner)
	trainer := c.openTestStep(owner, 1, 8, 2)
	c.waitHeld(16)
	runner.kill()
	runner.remove()
	trainer.pullAll(owner)
	trainer.check(16)
}

func TestPullsContinueDuringObjectAPIOutage(t *testing.T) {
	c := newCluster(t, 3, nil)
	owner := c.owner(1)
	other := c.otherThan(owner)
	trainer := c.openTestStep(other, 1, 4, 4)
	c.store.setDown(true)
	if _, ok := other.call("/sessions", OpenSessionRequest{Service: testService}, &Session{}); ok {
		t.Fatal("a session was opened without the object API")
	}
	owner.kill()
	trainer.pullAll(other)
	trainer.check(16)
}

func TestOlderSessionIsRefused(t *testing.T) {
	c := newCluster(t, 3, nil)
	old := c.openTestStep(c.daemons[0], 1, 2, 2)
	session := c.daemons[1].session(old.token)
	for _, d := range c.daemons {
		if _, f, ok := d.pull(PullRequest{Token: old.token}); ok || f.Kind != fault.Fenced || f.Outcome != fault.NotRun {
			t.Fatalf("%s answered the older session: %+v", d.member.ID, f)
		}
	}
	carried := newTrainer(c, session.Token)
	carried.pullAll(c.daemons[2])
	carried.check(4)
}

func TestNewerPullSupersedesTheOlder(t *testing.T) {
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
	trainer := c.openTestStep(c.daemons[0], 1, 1, 2)
	older := make(chan fault.Body, 1)
	go func() {
		_, f, _ := c.daemons[0].pull(PullRequest{Token: trainer.token, WaitMS: 60000})
		older <- f
	}()
	owner := c.owner(1)
	waitFor(t, "the older pull at the owner", func() bool {
		for _, s := range owner.manager.ownedSteps() {
			s.mu.Lock()
			pull := s.newestPull
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

func TestDrainingDaemonHandsOverItsSamples(t *testing.T) {
	c := newCluster(t, 2, nil)
	owner := c.owner(1)
	other := c.otherThan(owner)
	trainer := c.openTestStep(other, 1, 8, 2)
	c.waitHeld(16)
	owner.remove()
	owner.manager.Drain(t.Context())
	if held := other.manager.runner.heldSamples(); held != 16 {
		t.Errorf("%d of 16 samples are held after the handover", held)
	}
	if _, f, ok := owner.pull(PullRequest{Token: trainer.token, WaitMS: 60000}); !ok && f.Kind != fault.Draining {
		t.Errorf("pull at the draining daemon: %+v", f)
	}
	owner.stop()
	trainer.pullAll(other)
	trainer.check(16)
	if c.gen.callCount() != 16 {
		t.Errorf("%d samples were generated for 16", c.gen.callCount())
	}
}

func TestTrainerRestoredFromOlderTokenGetsMissingSamples(t *testing.T) {
	c := newCluster(t, 2, nil)
	trainer := c.openTestStep(c.daemons[0], 1, 4, 4)
	c.waitHeld(16)
	var checkpoint trainerClient
	for pull := range 3 {
		response, f, ok := c.daemons[pull%2].pull(PullRequest{Token: trainer.token, Max: 4, WaitMS: 5000})
		if !ok {
			t.Fatalf("pull %d: %+v", pull, f)
		}
		trainer.accept(response)
		if pull == 0 {
			checkpoint = trainerClient{c: c, token: trainer.token, got: map[int]Sample{}}
			for id, s := range trainer.got {
				checkpoint.got[id] = s
			}
		}
	}
	restored := c.daemons[1].session(checkpoint.token)
	checkpoint.token = restored.Token
	checkpoint.pullAll(c.daemons[0])
	checkpoint.check(16)
}

func TestNewestTokenIsStoredForTrainerThatLostItsOwn(t *testing.T) {
	c := newCluster(t, 2, func(config *Config) { config.TokenStoreInterval = time.Millisecond })
	trainer := c.openTestStep(c.daemons[0], 1, 2, 4)
	c.waitHeld(8)
	for range 3 {
		response, f, ok := c.daemons[1].pull(PullRequest{Token: trainer.token, Max: 2, WaitMS: 5000})
		if !ok {
			t.Fatalf("pull: %+v", f)
		}
		trainer.accept(response)
		time.Sleep(2 * time.Millisecond)
	}
	waitFor(t, "token stored", func() bool {
		stored, err := ParseToken(storedRecord(c).Token)
		return err == nil && stored.DeliveredCount() > 0
	})
	session := c.daemons[0].session("")
	resumed := newTrainer(c, session.Token)
	resumed.pullAll(c.daemons[0])
	if len(resumed.got) > 6 || len(resumed.got) < 4 {
		t.Errorf("%d samples after the stored token", len(resumed.got))
	}
}

// storedRecord returns the test trainer's session object.
func storedRecord(c *cluster) sessionRecord {
	record, _, _ := c.daemons[0].manager.sessions.read(context.Background(), testTrainer)
	return record
}

func TestSessionWhoseResponseWasLostIsOpenedOnce(t *testing.T) {
	c := newCluster(t, 2, nil)
	c.store.mu.Lock()
	c.store.lostResponses = 1
	c.store.mu.Unlock()
	if epoch := c.daemons[0].session("").Epoch; epoch != 1 {
		t.Errorf("epoch %d", epoch)
	}
	if epoch := c.daemons[1].session("").Epoch; epoch != 2 {
		t.Errorf("epoch %d", epoch)
	}
}

func TestStepIsReopenedWhenItsDefinitionIsLost(t *testing.T) {
	c := newCluster(t, 2, nil)
	request := openStep(1, 1, 2, 2)
	trainer := c.openTestStep(c.daemons[0], 1, 2, 2)
	response, _, _ := c.daemons[0].pull(PullRequest{Token: trainer.token, Max: 1, WaitMS: 5000})
	trainer.accept(response)
	for _, d := range c.daemons {
		d.manager.evictCopies(time.Now().Add(time.Hour))
		for _, s := range d.manager.ownedSteps() {
			d.manager.removeStep(s)
		}
	}
	c.store.setDown(true)
	_, f, ok := c.daemons[1].pull(PullRequest{Token: trainer.token, WaitMS: 100})
	if ok || f.Kind != fault.NotFound || f.Outcome != fault.NotRun {
		t.Fatalf("pull without a definition: %+v", f)
	}
	c.daemons[1].step(request)
	trainer.pullAll(c.daemons[1])
	trainer.check(4)
}

func TestPullSupersededAfterCollectIsRefused(t *testing.T) {
	c := newCluster(t, 1, nil)
	trainer := c.openTestStep(c.daemons[0], 1, 1, 2)
	token, err := ParseToken(trainer.token)
	if err != nil {
		t.Fatal(err)
	}
	m := c.daemons[0].manager
	collect := func(pull string) {
		reply, err := m.collect(t.Context(), &rolloutpb.CollectRequest{Token: token.Bytes(), Pull: pull, WaitMs: 5000})
		if err != nil || len(reply.Ready) == 0 {
			t.Fatalf("pull %s: %v %v", pull, reply, err)
		}
	}
	confirm := func(pull string) error {
		return m.confirm(t.Context(), &rolloutpb.ConfirmRequest{Token: token.Bytes(), Pull: pull})
	}
	collect("older")
	collect("newer")
	if err := confirm("older"); !fault.Is(err, fault.Fenced) {
		t.Errorf("the older pull was confirmed: %v", err)
	}
	if err := confirm("newer"); err != nil {
		t.Errorf("the newer pull: %v", err)
	}
	m.sessions.raiseEpoch(testTrainer, token.Epoch+1)
	if err := confirm("newer"); !fault.Is(err, fault.Fenced) {
		t.Errorf("a pull of the older session was confirmed: %v", err)
	}
}
