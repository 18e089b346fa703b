package combined

import (
	"context"
	"fmt"
	"sync/atomic"

	"github.com/hornbeamtide/hornbeamtide/rollout"
	"github.com/hornbeamtide/hornbeamtide/standin/trainer"
)

const (
	groupsPerStep   = 8
	samplesPerGroup = 8
	samplesPerPull  = 8
	sampleMaxTokens = 96
)

// weightVersion holds the weight version that the trainer uses.
type weightVersion struct{ version atomic.Int64 }

func (w *weightVersion) set(version int64) { w.version.Store(version) }
func (w *weightVersion) get() int64        { return w.version.Load() }

// train runs steps until the required number is complete and every fault was injected, and
// checks the result of each.
func (r *run) train(ctx context.Context, faultsDone <-chan struct{}) error {
	t := trainer.New(trainer.Config{
		Name: "captions", Service: modelService, Daemons: r.addresses(), StalenessBound: stalenessBound,
		Version: r.trainerVersion.get, MaxSamplesPerPull: samplesPerPull,
	})
	if err := t.Open(ctx); err != nil {
		return err
	}
	for number := 0; number < r.options.MinSteps || !isClosed(faultsDone); number++ {
		result, err := t.Step(ctx, int64(number+1), stepGroups(number), func(int) {})
		r.report.Steps = append(r.report.Steps, result)
		if err != nil {
			return fmt.Errorf("step %d, %d of %d samples: %w", number+1, result.Delivered, result.Expected, err)
		}
		if result.Violated() {
			r.addViolation("step %d: expected %d delivered %d duplicated %d missing %d over bound %d untagged %d wrong %d",
				number+1, result.Expected, result.Delivered, result.Duplicated, result.Missing, result.OverBound,
				result.Untagged, result.MismatchedCompletions)
		}
	}
	return nil
}

func stepGroups(step int) []rollout.Group {
	var all []rollout.Group
	for i := range groupsPerStep {
		all = append(all, rollout.Group{
			ID: fmt.Sprintf("group-%d", i), Prompt: fmt.Sprintf("Step %d, sketch %d: describe it.", step, i),
			Samples: samplesPerGroup, MaxTokens: sampleMaxTokens,
		})
	}
	return all
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
