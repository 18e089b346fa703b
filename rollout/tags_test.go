package rollout

import (
	"context"
	"slices"
	"testing"

	"github.com/hornbeamtide/hornbeamtide/backend"
	"github.com/hornbeamtide/hornbeamtide/dispatch"
	"github.com/hornbeamtide/hornbeamtide/fault"
)

func TestSampleIsTaggedWithAllVersionsOfAMidStreamSwap(t *testing.T) {
	c := newCluster(t, 2, nil)
	segments := []backend.Segment{{Version: 1, Tokens: 3}, {Version: 2, FirstToken: 3, Tokens: 5}}
	c.gen.setHook(func(_ context.Context, _ int, r dispatch.SampleRequest) (dispatch.Completion, error) {
		return c.gen.newCompletion(r, "e0", segments...), nil
	})
	c.versions.set(2)
	trainer := c.openTestStep(c.daemons[0], 1, 1, 2)
	trainer.pullAll(c.daemons[1])
	trainer.check(2)
	if !slices.Equal(trainer.got[0].Segments, segments) {
		t.Errorf("delivered segments %+v", trainer.got[0].Segments)
	}
}

func TestGroupOnReplicasOfDifferentVersionsIsTaggedCorrectly(t *testing.T) {
	c := newCluster(t, 2, nil)
	c.versions.set(2)
	c.gen.setHook(func(_ context.Context, call int, r dispatch.SampleRequest) (dispatch.Completion, error) {
		if call%2 == 0 {
			return c.gen.newCompletion(r, "old", segmentOf(1)), nil
		}
		return c.gen.newCompletion(r, "new", segmentOf(2)), nil
	})
	trainer := c.openTestStep(c.daemons[0], 1, 1, 4)
	trainer.pullAll(c.daemons[1])
	trainer.check(4)
	for id, s := range trainer.got {
		if want := map[string]int64{"old": 1, "new": 2}[s.Replica]; s.Segments[0].Version != want {
			t.Errorf("sample %d of replica %s is tagged with version %d", id, s.Replica, s.Segments[0].Version)
		}
	}
}

func TestUntaggedSamplesAreGeneratedAgain(t *testing.T) {
	tests := []struct {
		name     string
		segments []backend.Segment
		err      error
	}{
		{"chunk without a version", []backend.Segment{{Version: 1, Tokens: 4}, {FirstToken: 4, Tokens: 4}}, nil},
		{"gap", []backend.Segment{{Version: 1, Tokens: 4}, {Version: 1, FirstToken: 5, Tokens: 4}}, nil},
		{"no segments", nil, nil},
		{"swap failed partway", nil, fault.New(fault.Untagged, "a chunk names no weight version", "")},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster(t, 1, nil)
			excluded := make(chan []string, 2)
			c.gen.setHook(func(_ context.Context, call int, r dispatch.SampleRequest) (dispatch.Completion, error) {
				excluded <- r.Exclude
				if call == 1 {
					r.OnProgress("e1", 0)
					completion := c.gen.newCompletion(r, "e1", test.segments...)
					completion.Tokens = 8
					return completion, test.err
				}
				return c.gen.newCompletion(r, "e0", segmentOf(1)), nil
			})
			trainer := c.openTestStep(c.daemons[0], 1, 1, 1)
			trainer.pullAll(c.daemons[0])
			trainer.check(1)
			<-excluded
			if again := <-excluded; !slices.Contains(again, "e1") {
				t.Errorf("the next attempt excludes %v", again)
			}
		})
	}
}

func TestFailedReplicasAreTriedAgainWhenThereAreNoOthers(t *testing.T) {
	c := newCluster(t, 1, nil)
	replicas := []string{"e0", "e1"}
	c.gen.setHook(func(_ context.Context, call int, r dispatch.SampleRequest) (dispatch.Completion, error) {
		for _, replica := range replicas {
			if slices.Contains(r.Exclude, replica) {
				continue
			}
			r.OnProgress(replica, 0)
			if call <= len(replicas) {
				return dispatch.Completion{}, fault.New(fault.Truncated, "the engine crashed", "")
			}
			return c.gen.newCompletion(r, replica, segmentOf(1)), nil
		}
		return dispatch.Completion{}, fault.New(fault.Unavailable, "no replica", "", fault.WithOutcome(fault.NotRun))
	})
	trainer := c.openTestStep(c.daemons[0], 1, 1, 1)
	trainer.pullAll(c.daemons[0])
	trainer.check(1)
}
