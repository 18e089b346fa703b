package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hornbeamtide/hornbeamtide/rollout"
	"github.com/hornbeamtide/hornbeamtide/standin/local"
	"github.com/hornbeamtide/hornbeamtide/standin/trainer"
)

// training runs the trainers of one run. Each trains on a step while the samples of its next
// step are generated; the first trainer publishes weights after each step.
type training struct {
	run     Run
	system  *local.System
	version atomic.Int64

	mu       sync.Mutex
	steps    []trainer.Result
	idleTime time.Duration // time that trainers waited for samples
	busyTime time.Duration // time that trainers trained
}

func (t *training) runTrainers(ctx context.Context) error {
	t.version.Store(1)
	errs := make(chan error, t.run.Workload.Trainers)
	for i := range t.run.Workload.Trainers {
		go func() { errs <- t.runTrainer(ctx, i) }()
	}
	var first error
	for range t.run.Workload.Trainers {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// runTrainer runs one trainer, which pulls the samples of a step while it trains on those of
// the step before.
func (t *training) runTrainer(ctx context.Context, number int) error {
	w := t.run.Workload
	addresses := t.system.Addresses()
	rotated := append(append([]string{}, addresses[number%len(addresses):]...), addresses[:number%len(addresses)]...)
	client := trainer.New(trainer.Config{
		Name: fmt.Sprintf("trainer-%d", number), Service: w.ModelService, Daemons: rotated,
		StalenessBound: w.StalenessBound, Version: t.version.Load, MaxSamplesPerPull: w.SamplesPerGroup,
	})
	if err := client.Open(ctx); err != nil {
		return err
	}
	trained := make(chan struct{}, 1)
	trained <- struct{}{}
	for step := range t.run.Steps {
		result, err := client.Step(ctx, int64(step+1), t.stepGroups(number, step), func(int) {})
		if err != nil {
			return fmt.Errorf("trainer %d step %d (%d of %d samples): %w", number, step+1, result.Delivered, result.Expected, err)
		}
		<-trained
		t.record(result, step)
		go t.simulateTraining(ctx, number, trained)
	}
	<-trained
	return nil
}

// simulateTraining waits for the duration of a training step. The first trainer then publishes
// new weights.
func (t *training) simulateTraining(ctx context.Context, number int, trained chan<- struct{}) {
	_ = sleep(ctx, t.run.Workload.TrainTime)
	if number == 0 {
		t.system.Weights.Publish(t.run.Workload.ModelService, t.version.Load()+1)
		t.version.Add(1)
	}
	trained <- struct{}{}
}

// record adds the result of a step. The samples of a step are generated while the trainer
// trains on the step before, so the trainer is idle for the time by which generation takes
// longer than training. The first step follows no training and adds no idle time.
func (t *training) record(result trainer.Result, step int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.steps = append(t.steps, result)
	t.busyTime += t.run.Workload.TrainTime
	if step > 0 {
		t.idleTime += max(result.Duration-t.run.Workload.TrainTime, 0)
	}
}

// stepGroups returns the groups of a step, which depend on the seed and not on the variant.
func (t *training) stepGroups(number, step int) []rollout.Group {
	w := t.run.Workload
	random := rand.New(rand.NewPCG(t.run.Seed, uint64(number*1000+step)))
	var groups []rollout.Group
	for i := range w.GroupsPerStep {
		groups = append(groups, rollout.Group{
			ID: fmt.Sprintf("g%d", i), Prompt: randomPrompt(random, w.PromptWords), Samples: w.SamplesPerGroup, MaxTokens: w.MaxTokens,
		})
	}
	return groups
}

func randomPrompt(random *rand.Rand, words int) string {
	var text strings.Builder
	for range words {
		fmt.Fprintf(&text, "w%d ", random.IntN(5000))
	}
	return text.String()
}
