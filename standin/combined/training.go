package combined

import (
	"context"
	"fmt"
	"sync/atomic"

	"github.com/hornbeamtide/hornbeamtide/rollout"
	"github.com/hornbeamtide/hornbeamtide/standin/trainer"
)

const (
	groupCount     = 8 // groups a step
	samplesAGroup  = 8
	samplesAPull   = 8
	sampleMaxToken = 96
)

// trainerWeights is the weight version of the trainer.
type trainerWeights struct{ version atomic.Int64 }

func (w *trainerWeights) set(version int64) { w.version.Store(version) }
func (w *trainerWeights) get() int64        { return w.version.Load() }

// train runs steps until enough of them are whole and every fault was caused, and
// checks each.
func (r *run) train(ctx context.Context, faultsEnded <-chan struct{}) error {
	t := trainer.New(trainer.Config{
		Name: "captions", Service: modelService, Daemons: r.addresses(), Bound: bound,
		Version: r.weights.get, Max: samplesAPull,
	})
	if err := t.Open(ctx); err != nil {
		return err
	}
	for number := 0; number < r.options.Steps || !closed(faultsEnded); number++ {
		result, err := t.Step(ctx, int64(number+1), groups(number), func(int) {})
		r.report.Steps = append(r.report.Steps, result)
		if err != nil {
			return fmt.Errorf("step %d, %d of %d samples: %w", number+1, result.Delivered, result.Expected, err)
		}
		if result.Broken() {
			r.broken("step %d: expected %d delivered %d duplicated %d missing %d over bound %d untagged %d wrong %d",
				number+1, result.Expected, result.Delivered, result.Duplicated, result.Missing, result.OverBound,
				result.Untagged, result.Wrong)
		}
	}
	return nil
}

func groups(step int) []rollout.Group {
	var all []rollout.Group
	for i := range groupCount {
		all = append(all, rollout.Group{
			ID: fmt.Sprintf("group-%d", i), Prompt: fmt.Sprintf("Step %d, sketch %d: describe it.", step, i),
			Samples: samplesAGroup, MaxTokens: sampleMaxToken,
		})
	}
	return all
}

func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
