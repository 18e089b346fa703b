package rollout

import (
	"context"
	"testing"

	"github.com/hornbeamtide/hornbeamtide/backend"
	"github.com/hornbeamtide/hornbeamtide/dispatch"
	"github.com/hornbeamtide/hornbeamtide/document"
)

// checkNotOlder fails the test unless all versions of all samples are at least minVersion.
func (tr *trainerClient) checkNotOlder(minVersion int64) {
	tr.c.t.Helper()
	for id, s := range tr.got {
		if oldest := oldestVersion(s.Segments); oldest < minVersion {
			tr.c.t.Errorf("sample %d has version %d, older than %d", id, oldest, minVersion)
		}
	}
}

func TestBoundExceededWhileTheResponseIsEncoded(t *testing.T) {
	c := newCluster(t, 2, nil)
	owner := c.owner(1)
	serving := c.otherThan(owner)
	trainer := c.openTestStep(owner, 1, 2, 4)
	c.waitHeld(8)
	// The owner only knows version 1; only the daemon that writes the response knows
	// version 3.
	known := &fakeVersions{}
	known.set(3)
	c.mu.Lock()
	serving.versions = known
	c.mu.Unlock()
	c.gen.setHook(func(_ context.Context, _ int, r dispatch.SampleRequest) (dispatch.Completion, error) {
		return c.gen.newCompletion(r, "e0", segmentOf(3)), nil
	})
	trainer.pullAll(serving)
	trainer.check(8)
	trainer.checkNotOlder(2)
}

func TestSlowTrainerGetsNoSampleOverTheBound(t *testing.T) {
	c := newCluster(t, 2, nil)
	trainer := c.openTestStep(c.daemons[0], 1, 2, 4)
	c.waitHeld(8)
	c.versions.set(3)
	trainer.pullAll(c.daemons[1])
	trainer.check(8)
	trainer.checkNotOlder(2)
}

func TestVersionPublishedDuringThePull(t *testing.T) {
	c := newCluster(t, 2, nil)
	c.gen.setHook(func(ctx context.Context, _ int, r dispatch.SampleRequest) (dispatch.Completion, error) {
		version := c.versions.Newest(testPool)
		if err := r.OnVersion(version); err != nil {
			return dispatch.Completion{}, err
		}
		if version == 1 {
			<-ctx.Done() // blocks until the attempt is canceled as stale
			return dispatch.Completion{}, ctx.Err()
		}
		return c.gen.newCompletion(r, "e0", segmentOf(version)), nil
	})
	trainer := c.openTestStep(c.daemons[0], 1, 2, 4)
	waitFor(t, "samples in progress", func() bool { return c.gen.callCount() >= 8 })
	c.versions.set(3)
	trainer.pullAll(c.daemons[0])
	trainer.check(8)
	trainer.checkNotOlder(2)
}

func TestTrainerRestoredToAnOlderVersionIsServed(t *testing.T) {
	c := newCluster(t, 2, nil)
	c.versions.set(7)
	trainer := c.openTestStep(c.daemons[0], 1, 2, 4)
	trainer.version = 3
	trainer.pullAll(c.daemons[1])
	trainer.check(8)
	trainer.checkNotOlder(7)
}

func TestTrainerAheadOfThePublishedVersionSetsTheBound(t *testing.T) {
	c := newCluster(t, 2, nil)
	trainer := c.openTestStep(c.daemons[0], 1, 2, 4)
	c.waitHeld(8)
	c.gen.setHook(func(_ context.Context, _ int, r dispatch.SampleRequest) (dispatch.Completion, error) {
		return c.gen.newCompletion(r, "e0", segmentOf(5)), nil
	})
	trainer.version = 5
	trainer.pullAll(c.daemons[1])
	trainer.check(8)
	trainer.checkNotOlder(4)
}

func TestStalenessPreferenceRestartsOnNewerVersion(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		c := newCluster(t, 1, func(config *Config) { config.DisableStalenessPreference = disabled })
		c.doc.Samples.Preference = document.PreferStaleness
		c.gen.setHook(func(_ context.Context, call int, r dispatch.SampleRequest) (dispatch.Completion, error) {
			_ = r.OnVersion(1)
			r.OnProgress("e0", 1)
			segments := []backend.Segment{{Version: 1, Tokens: 1}, {Version: 2, FirstToken: 1, Tokens: 7}}
			if call > 1 {
				segments = []backend.Segment{{Version: 2, Tokens: 8}}
			} else if err := r.OnVersion(2); err != nil {
				return dispatch.Completion{}, err
			}
			return c.gen.newCompletion(r, "e0", segments...), nil
		})
		trainer := c.openTestStep(c.daemons[0], 1, 1, 1)
		trainer.pullAll(c.daemons[0])
		want := int64(2)
		if disabled {
			want = 1
		}
		if oldest := oldestVersion(trainer.got[0].Segments); oldest != want {
			t.Errorf("DisableStalenessPreference %v: the sample's oldest version is %d", disabled, oldest)
		}
	}
}

func TestStalenessPreferenceLimitsRunsWhileTrainerIsAbsent(t *testing.T) {
	c := newCluster(t, 1, nil)
	c.doc.Samples.Preference = document.PreferStaleness
	trainer := c.openTestStep(c.daemons[0], 1, 8, 2)
	c.waitHeld(4)
	if calls := c.gen.callCount(); calls != 4 {
		t.Errorf("%d of 16 samples were started before the trainer's first pull", calls)
	}
	trainer.pullAll(c.daemons[0])
	trainer.check(16)
}
